"""Stories of requests, told from recorded decision logs."""

import json

import pytest

from sardinebend_admin import errors
from sardinebend_admin import explain

LINES = (
    (10.0, 'a', 'request_sent', {'request': 'r1', 'endpoint': 'e1'}),
    (10.2, 'b', 'request_sent', {'request': 'r2', 'endpoint': 'e9'}),
    (10.9, 'a', 'endpoint_doubted', {'endpoint': 'e2', 'reason': 'silent'}),
    (11.0, 'a', 'stream_repaired', {'request': 'r1', 'dead': ['e2']}),
    (11.5, 'a', 'attempt_failed', {'request': 'r1', 'endpoint': 'e1'}),
    (12.7, 'a', 'request_failed', {'request': 'r1', 'end': 'broken off'}),
)
LOG = '\n'.join(
    # Some collectors put their own time and host in front of a line.
    '  3.1 a '
    + json.dumps({'time': at, 'host': host, 'event': event, **fields})
    for at, host, event, fields in LINES
)
LOG += '\n{"time":12.8,"host":"a","event":"reque\nnot a line\n'


def test_a_failed_request_is_told_with_its_causes_first():
    story = explain.find_story(explain.parse(LOG), 'r1')
    texts = explain.render(story, 'r1')
    assert texts[1] == '  ended as broken off: None'
    assert texts[2].startswith('  cause: endpoint_doubted endpoint=e2')
    assert texts[3].startswith('  cause: attempt_failed endpoint=e1')
    assert texts[4] == '  story:'
    assert 'r2' not in '\n'.join(texts)
    assert 'e9' not in '\n'.join(texts)


def test_a_served_request_has_no_failure():
    texts = explain.render(explain.find_story(explain.parse(LOG), 'r2'), 'r2')
    assert '  no line tells of a failure' in texts


def test_an_unknown_request_and_a_missing_file_are_told_apart(tmp_path):
    log = tmp_path / 'log'
    log.write_text(LOG)
    with pytest.raises(errors.NotFound):
        explain.explain('r3', str(log))
    with pytest.raises(errors.BadInput):
        explain.explain('r1', str(tmp_path / 'missing'))


def test_logs_of_several_hosts_are_read_together(tmp_path, capsys):
    for name, line in enumerate(LOG.splitlines()):
        (tmp_path / str(name)).write_text(line)
    files = [str(file) for file in sorted(tmp_path.iterdir())]
    explain.explain('r1', *files)
    assert 'ended as broken off' in capsys.readouterr().out


def test_the_verdict_on_a_content_explains_a_request_that_has_it():
    log = '\n'.join(
        (
            '{"time":1.0,"host":"h","event":"request_sent","request":"q1",'
            '"endpoint":"e1","content":"abcd"}',
            '{"time":1.1,"host":"h","event":"endpoint_crashed","endpoint":"e1",'
            '"contents":["abcd"]}',
            '{"time":1.2,"host":"h","event":"content_quarantined",'
            '"content":"abcd","source":"e1/1"}',
            '{"time":1.2,"host":"h","event":"content_quarantined",'
            '"content":"other","source":"e1/1"}',
            '{"time":1.3,"host":"h","event":"request_failed","request":"q1",'
            '"end":"status 502","reason":"ends the endpoints that run it"}',
        )
    )
    story = explain.find_story(explain.parse(log), 'q1')
    assert [line.event for line in story] == [
        'request_sent',
        'endpoint_crashed',
        'content_quarantined',
        'request_failed',
    ]
