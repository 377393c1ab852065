"""Tests of the commands against a host with scripted responses."""

import json

import httpcore
import pytest

from sardinebend_admin import cli
from sardinebend_admin import client as client_lib
from sardinebend_admin import commands
from sardinebend_admin import errors


class ScriptedPool:
    """Connection pool that returns or raises scripted responses in order."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    def request(self, method, url, headers, content, extensions):
        self.requests.append((method, url, json.loads(content or b'null')))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        status, body = answer
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        response = httpcore.Response(status, content=data)
        response.read()
        return response


CHANGE = {'change_id': 'c', 'why': 'w', 'edits': []}
ACCEPTED = (200, {'version': 2})
REPLY_LOST = httpcore.ReadError('reset')
OUTCOME_UNKNOWN = (504, {'outcome': 'unknown', 'detail': 'd'})
UNAVAILABLE = (503, {'outcome': 'not_run', 'detail': 'd'})


def make_client(*answers):
    return client_lib.Client('http://h', 'key', ScriptedPool(*answers))


def test_change_is_retried_under_the_same_id_after_a_lost_reply():
    client = make_client(REPLY_LOST, OUTCOME_UNKNOWN, ACCEPTED)
    assert client.submit_change(CHANGE) == {'version': 2}
    ids = [body['change_id'] for _, _, body in client._pool.requests]
    assert ids == ['c', 'c', 'c']


def test_outcome_stays_unknown_if_only_the_retries_are_unavailable():
    with pytest.raises(errors.OutcomeUnknown) as caught:
        make_client(REPLY_LOST, UNAVAILABLE, UNAVAILABLE).submit_change(CHANGE)
    assert '--change-id c' in str(caught.value)


def test_change_is_unavailable_if_the_first_attempt_is_unavailable():
    with pytest.raises(errors.Unavailable):
        make_client(UNAVAILABLE).submit_change(CHANGE)


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (httpcore.ConnectError('refused'), errors.Unavailable),
        ((401, {'detail': 'd'}), errors.Refused),
        ((400, {'detail': 'd'}), errors.Refused),
    ],
)
def test_failed_request_raises_the_error_for_its_cause(answer, kind):
    with pytest.raises(kind):
        make_client(answer).get('hosts')


# Guards against a part of a reply whose connection was reset, which was shown
# as the reply.
def test_a_reply_that_is_cut_is_no_success():
    cut = (200, b'{"version": 2, "no')
    with pytest.raises(errors.OutcomeUnknown):
        make_client(cut).get('hosts')
    client = make_client(cut, ACCEPTED)
    assert client.submit_change(CHANGE) == {'version': 2}


def test_conflict_message_shows_the_current_and_the_proposed_value():
    problem = {
        'detail': 'expected version 1, found version 2',
        'current_value': {'a': 1},
        'proposed_value': {'a': 2},
    }
    with pytest.raises(errors.Conflict) as caught:
        make_client((409, problem)).submit_change(CHANGE)
    assert "{'a': 1}" in str(caught.value)
    assert "{'a': 2}" in str(caught.value)


def test_invalid_value_is_rejected_before_any_request_is_sent(tmp_path):
    path = tmp_path / 'value.jsonc'
    path.write_text('{"draft.max_attempts": 99}')
    with pytest.raises(errors.BadInput) as caught:
        commands.set_node(
            'values/fleet', str(path), why='w', host='http://h', key_file=''
        )
    assert 'from 1 to 10' in str(caught.value)


def test_irreversible_commands_need_confirmation(monkeypatch):
    monkeypatch.setattr('sys.stdin.isatty', lambda: False, raising=False)
    with pytest.raises(errors.NotConfirmed):
        commands.drain(host='http://h')
    with pytest.raises(errors.NotConfirmed):
        commands.remove('values/fleet', why='w', host='http://h')


def test_each_error_has_its_own_exit_code_and_the_command_uses_it(
    monkeypatch, capsys
):
    codes = [kind.exit_code for kind in errors.AdminError.__subclasses__()]
    assert sorted(codes) == [1, 2, 3, 4, 5, 6, 7, 8]
    monkeypatch.setattr('sys.argv', ['sardinebendctl', 'hosts'])
    monkeypatch.delenv(commands.HOST_VARIABLE, raising=False)
    with pytest.raises(SystemExit) as caught:
        cli.main()
    assert caught.value.code == errors.BadInput.exit_code
    assert commands.HOST_VARIABLE in capsys.readouterr().err


@pytest.mark.parametrize(
    ('text', 'exit_code', 'expected'),
    [
        ('{} // nothing yet', None, '0 errors, 0 warnings'),
        ('{"customers": {"nile": {}}}', 8, 'customers/nile.key_hashes'),
        ('{"customers": {"nile": 5}}', 2, 'error: customers/nile: '),
        ('{"customers": ', 2, ''),
    ],
)
def test_a_check_of_a_file_ends_with_a_code_for_scripts(
    text, exit_code, expected, tmp_path, capsys, monkeypatch
):
    path = tmp_path / 'tree.jsonc'
    path.write_text(text)
    monkeypatch.setattr('sys.argv', ['sardinebendctl', 'check', str(path)])
    if exit_code is None:
        cli.main()
    else:
        with pytest.raises(SystemExit) as caught:
            cli.main()
        assert caught.value.code == exit_code
    assert expected in capsys.readouterr().out
