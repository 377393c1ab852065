"""The operator command against a host that answers as told."""

import json

import httpcore
import pytest

from sardinebend_admin import cli
from sardinebend_admin import client as client_lib
from sardinebend_admin import commands
from sardinebend_admin import errors


class FakePool:
    """Answers requests one after another, or raises."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    def request(self, method, url, headers, content, extensions):
        self.requests.append((method, url, json.loads(content or b'null')))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        status, body = answer
        response = httpcore.Response(status, content=json.dumps(body).encode())
        response.read()
        return response


CHANGE = {'change_id': 'c', 'why': 'w', 'edits': []}
DONE = (200, {'version': 2})
LOST = httpcore.ReadError('reset')
UNKNOWN = (504, {'outcome': 'unknown', 'detail': 'd'})
DOWN = (503, {'outcome': 'not_run', 'detail': 'd'})


def make_client(*answers):
    return client_lib.Client('http://h', 'key', FakePool(*answers))


def test_a_change_is_repeated_under_its_id_after_a_lost_reply():
    client = make_client(LOST, UNKNOWN, DONE)
    assert client.change(CHANGE) == {'version': 2}
    ids = [body['change_id'] for _, _, body in client._pool.requests]
    assert ids == ['c', 'c', 'c']


def test_a_change_stays_unknown_if_only_a_later_try_was_refused():
    with pytest.raises(errors.OutcomeUnknown) as caught:
        make_client(LOST, DOWN, DOWN).change(CHANGE)
    assert '--change-id c' in str(caught.value)


def test_a_first_try_that_was_refused_is_not_unknown():
    with pytest.raises(errors.Unavailable):
        make_client(DOWN).change(CHANGE)


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (httpcore.ConnectError('refused'), errors.Unavailable),
        ((401, {'detail': 'd'}), errors.Refused),
        ((400, {'detail': 'd'}), errors.Refused),
    ],
)
def test_each_failure_has_its_type(answer, kind):
    with pytest.raises(kind):
        make_client(answer).get('hosts')


def test_a_conflict_shows_both_values():
    problem = {
        'detail': 'expected version 1, found version 2',
        'current_value': {'a': 1},
        'proposed_value': {'a': 2},
    }
    with pytest.raises(errors.Conflict) as caught:
        make_client((409, problem)).change(CHANGE)
    assert "{'a': 1}" in str(caught.value)
    assert "{'a': 2}" in str(caught.value)


def test_a_bad_value_is_refused_before_anything_is_sent(tmp_path):
    path = tmp_path / 'value.jsonc'
    path.write_text('{"draft.max_attempts": 99}')
    with pytest.raises(errors.BadInput) as caught:
        commands.set_node(
            'values/fleet', str(path), why='w', host='http://h', key_file=''
        )
    assert 'from 1 to 10' in str(caught.value)


def test_what_cannot_be_undone_needs_confirmation(monkeypatch):
    monkeypatch.setattr('sys.stdin.isatty', lambda: False, raising=False)
    with pytest.raises(errors.NotConfirmed):
        commands.drain(host='http://h')
    with pytest.raises(errors.NotConfirmed):
        commands.remove('values/fleet', why='w', host='http://h')


def test_every_error_has_an_exit_code_of_its_own(monkeypatch, capsys):
    codes = [kind.exit_code for kind in errors.AdminError.__subclasses__()]
    assert sorted(codes) == [1, 2, 3, 4, 5, 6, 7]
    monkeypatch.setattr('sys.argv', ['sardinebendctl', 'hosts'])
    monkeypatch.delenv(commands.HOST_VARIABLE, raising=False)
    with pytest.raises(SystemExit) as caught:
        cli.main()
    assert caught.value.code == errors.BadInput.exit_code
    assert commands.HOST_VARIABLE in capsys.readouterr().err
