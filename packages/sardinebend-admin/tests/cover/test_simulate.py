"""Tests of the command that simulates a deployment."""

import json

import pytest

from sardinebend_admin import errors
from sardinebend_admin import simulate


def write_deployment(folder, **changes):
    deployment = {
        'name': 'small',
        'engine': {
            'layers': 4,
            'layer_mb': 100.0,
            'token_layer_mb': 0.01,
            'step_ms': 1.0,
            'per_request_ms': 0.0,
            'read_tokens_per_ms': 100.0,
            'activation_mb': 0.01,
            'pipe_mb_per_ms': 1.0,
            'cards': {'card': [1000.0, 1.0, 1.0]},
        },
        'endpoints': [{'domain': 'east', 'card': 'card', 'count': 2}],
        'traffic': {'per_s': 3.0},
        'last_s': 3.0,
    }
    file = folder / 'deployment.json'
    file.write_text(json.dumps({**deployment, **changes}))
    return str(file)


def test_simulate_prints_the_result_and_writes_the_page(tmp_path, capsys):
    page = tmp_path / 'page.html'
    simulate.simulate(write_deployment(tmp_path), page=str(page))
    result = json.loads(capsys.readouterr().out)
    assert result['ends'] == {'in time': result['asked']}
    assert '<svg' in page.read_text()


@pytest.mark.parametrize('text', ['draw:', 'draw:x', 'no-such-file.json'])
def test_argument_that_names_no_deployment_is_rejected(text):
    with pytest.raises(errors.BadInput):
        simulate.simulate(text)


def test_invalid_deployment_is_rejected_with_the_name_of_its_field(tmp_path):
    file = write_deployment(tmp_path, last_s=-1.0)
    with pytest.raises(errors.BadInput, match='last_s'):
        simulate.simulate(file)


def test_unknown_chooser_is_rejected(tmp_path):
    with pytest.raises(errors.BadInput, match='chooser'):
        simulate.simulate(write_deployment(tmp_path), chooser='best')
