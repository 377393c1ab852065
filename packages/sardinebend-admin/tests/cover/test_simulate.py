"""The command that plays a deployment on the model."""

import json

import pytest

from sardinebend_admin import errors
from sardinebend_admin import simulate


def write(folder, **changes):
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


def test_a_result_is_printed_and_a_page_written(tmp_path, capsys):
    page = tmp_path / 'page.html'
    simulate.simulate(write(tmp_path), page=str(page))
    result = json.loads(capsys.readouterr().out)
    assert result['ends'] == {'in time': result['asked']}
    assert '<svg' in page.read_text()


@pytest.mark.parametrize('text', ['draw:', 'draw:x', 'no-such-file.json'])
def test_what_names_no_deployment_is_refused(text):
    with pytest.raises(errors.BadInput):
        simulate.simulate(text)


def test_an_unsound_deployment_is_refused_by_its_field(tmp_path):
    file = write(tmp_path, last_s=-1.0)
    with pytest.raises(errors.BadInput, match='last_s'):
        simulate.simulate(file)


def test_an_unknown_baseline_is_refused(tmp_path):
    with pytest.raises(errors.BadInput, match='chooser'):
        simulate.simulate(write(tmp_path), chooser='best')
