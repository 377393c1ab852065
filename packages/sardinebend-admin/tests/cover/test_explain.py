"""Tests of the reports on requests, from recorded decision logs."""

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
    # Some log collectors prefix each line with their own time and host.
    '  3.1 a '
    + json.dumps({'time': at, 'host': host, 'event': event, **fields})
    for at, host, event, fields in LINES
)
LOG += '\n{"time":12.8,"host":"a","event":"reque\nnot a line\n'


def test_report_of_a_failed_request_lists_its_causes_first():
    selected = explain.select_lines(explain.parse(LOG), 'r1')
    output = explain.format_report(selected, 'r1')
    assert output[1] == '  ended as broken off: None'
    assert output[2].startswith('  cause: endpoint_doubted endpoint=e2')
    assert output[3].startswith('  cause: attempt_failed endpoint=e1')
    assert output[4] == '  timeline:'
    assert 'r2' not in '\n'.join(output)
    assert 'e9' not in '\n'.join(output)


def test_report_of_a_served_request_shows_no_failure():
    output = explain.format_report(
        explain.select_lines(explain.parse(LOG), 'r2'), 'r2'
    )
    assert '  no failure logged' in output


def test_unknown_request_and_missing_file_raise_different_errors(tmp_path):
    log = tmp_path / 'log'
    log.write_text(LOG)
    with pytest.raises(errors.NotFound):
        explain.explain('r3', str(log))
    with pytest.raises(errors.BadInput):
        explain.explain('r1', str(tmp_path / 'missing'))


def test_lines_of_several_log_files_are_combined(tmp_path, capsys):
    for name, line in enumerate(LOG.splitlines()):
        (tmp_path / str(name)).write_text(line)
    files = [str(file) for file in sorted(tmp_path.iterdir())]
    explain.explain('r1', *files)
    assert 'ended as broken off' in capsys.readouterr().out


def test_quarantine_of_a_content_is_context_of_requests_with_that_content():
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
    selected = explain.select_lines(explain.parse(log), 'q1')
    assert [line.event for line in selected] == [
        'request_sent',
        'endpoint_crashed',
        'content_quarantined',
        'request_failed',
    ]


def test_a_return_of_an_older_store_explains_a_refusal_some_seconds_later():
    log = '\n'.join(
        (
            '{"time":1.0,"host":"h","event":"store_era_changed","table":"op",'
            '"era":4,"previous":3,"lost_rows":1,"evidence_age_s":0.4}',
            '{"time":1.1,"host":"h","event":"store_lost","table":"op"}',
            '{"time":9.0,"host":"h","event":"request_refused","request":"q1",'
            '"status":503,"reason":"configuration outdated"}',
        )
    )
    selected = explain.select_lines(explain.parse(log), 'q1')
    output = explain.format_report(selected, 'q1')
    assert output[2].startswith('  cause: store_era_changed table=op era=4')
    assert 'store_lost' not in '\n'.join(output)


def test_quarantine_of_a_prompt_part_is_context_of_requests_with_it():
    log = '\n'.join(
        (
            '{"time":1.0,"host":"h","event":"request_sent","request":"q1",'
            '"endpoint":"e1","prompt_parts":["a1979a9a","48720f35"]}',
            '{"time":1.2,"host":"h","event":"prompt_part_quarantined",'
            '"prompt_part":"48720f35","source":"crashes under it"}',
            '{"time":1.2,"host":"h","event":"prompt_part_quarantined",'
            '"prompt_part":"other","source":"crashes under it"}',
            '{"time":1.3,"host":"h","event":"request_failed","request":"q1",'
            '"end":"status 502","reason":"its content is quarantined"}',
        )
    )
    selected = explain.select_lines(explain.parse(log), 'q1')
    assert [line.event for line in selected] == [
        'request_sent',
        'prompt_part_quarantined',
        'request_failed',
    ]


def make_log(*lines):
    """Returns a log of lines `(time, host, event, fields)`."""
    return '\n'.join(
        json.dumps({'time': at, 'host': host, 'event': event, **fields})
        for at, host, event, fields in lines
    )


def report(log, request_id):
    selected = explain.select_lines(explain.parse(log), request_id)
    return explain.format_report(selected, request_id)


def make_cut(**changes):
    return {
        'request': 'q1',
        'route': 'draft',
        'took_s': 9.5,
        'arrived_after_stop_s': -2.1,
        'cut_after_stop_s': 7.4,
        'endpoint': 'e1',
        'has_begun': True,
        'answered': None,
        'sent_bytes': 120,
        'unsent_bytes': 0,
        'since_event_s': 0.1,
        **changes,
    }


STOP_LINES = (
    (10.0, 'b', 'host_stopping', {'in_flight': 9, 'grace_s': 8.0}),
    (20.0, 'a', 'host_stopping', {'in_flight': 2, 'grace_s': 8.0}),
    (27.4, 'a', 'host_stopped', {'in_flight': 1, 'cut': 1, 'after_s': 7.4}),
)
SENT = {'request': 'q1', 'endpoint': 'e1'}


def test_report_of_a_request_that_a_stop_cut_names_the_stop_as_its_cause():
    # Guards against a report without a failure for a stream that was cut.
    log = make_log(
        (1.0, 'a', 'host_stopping', {'in_flight': 0, 'grace_s': 8.0}),
        *STOP_LINES,
        (17.9, 'a', 'request_sent', SENT),
        (27.4, 'a', 'request_cut', make_cut()),
    )
    output = report(log, 'q1')
    assert output[:6] == [
        'request q1',
        '  cut by the planned stop of a: arrived 2.100 s before the stop began,'
        ' cut 7.400 s after that',
        '  served by e1, whose last event came 0.100 s before the cut',
        '  cause: host_stopping in_flight=2 grace_s=8.0',
        '  timeline:',
        '    +  0.000 s a: request_sent endpoint=e1',
    ]
    assert sum('host_stopped' in line for line in output) == 1
    assert not any('in_flight=9' in line for line in output)
    assert '  no failure logged' not in output


def test_report_of_a_request_that_came_during_the_stop_says_so():
    # Guards against a stop that is left out because it began long before the
    # request.
    fields = make_cut(arrived_after_stop_s=6.3, endpoint=None)
    fields['since_event_s'] = None
    log = make_log(
        *STOP_LINES,
        (26.3, 'a', 'request_sent', SENT),
        (27.4, 'a', 'request_cut', fields),
    )
    output = report(log, 'q1')
    assert output[1].endswith(
        'arrived 6.300 s after the stop began, cut 7.400 s after that'
    )
    assert output[2] == '  served by no endpoint when it was cut'
    assert output[3].startswith('  cause: host_stopping in_flight=2')


def test_report_of_a_cut_request_tells_of_an_answer_left_unsent():
    fields = make_cut(answered='200', unsent_bytes=5000)
    log = make_log(*STOP_LINES, (27.4, 'a', 'request_cut', fields))
    output = report(log, 'q1')
    assert output[2] == (
        '  the whole answer was there; 5000 bytes of it were not sent'
    )


def test_report_of_a_request_cut_without_a_stop_names_the_error():
    fields = make_cut(arrived_after_stop_s=None, cut_after_stop_s=None)
    log = make_log(
        (3.0, 'b', 'host_failed', {'error': 'of another host'}),
        (3.0, 'a', 'request_cut', fields),
        (3.1, 'a', 'host_failed', {'error': "KeyError('x')"}),
    )
    output = report(log, 'q1')
    assert output[1] == '  cut by the end of a, which no planned stop began'
    assert output[3] == "  cause: host_failed error=KeyError('x')"
    assert 'another host' not in '\n'.join(output)


def test_report_of_a_request_whose_caller_left_says_so():
    fields = {'request': 'q1', 'route': 'draft', 'took_s': 3.2}
    log = make_log(
        *STOP_LINES,
        (26.0, 'a', 'request_sent', SENT),
        (27.4, 'a', 'request_cancelled', fields),
    )
    output = report(log, 'q1')
    assert output[1] == '  its caller left after 3.2 s'
    assert output[2] == '  timeline:'
    assert not any('host_stop' in line for line in output)


def test_report_of_a_request_without_a_last_line_says_so():
    # Guards against a report that reads as if all had gone well.
    log = make_log((17.9, 'a', 'request_sent', SENT))
    output = report(log, 'q1')
    assert output[1:3] == [
        '  no failure logged',
        '  no end logged: it still runs, its host was killed, or lines were'
        ' dropped',
    ]


def test_lines_of_the_same_moment_are_reported_in_the_order_of_the_log():
    # Guards against a report that fails with a type error: lines that are alike
    # up to their fields were compared by these.
    log = make_log(
        (1.0, 'a', 'request_sent', SENT),
        (1.0, 'a', 'request_sent', {**SENT, 'attempt': 2}),
        (1.0, 'a', 'attempt_failed', SENT),
    )
    output = report(log, 'q1')
    assert [line.split()[4] for line in output[-3:]] == [
        'request_sent',
        'request_sent',
        'attempt_failed',
    ]


def test_a_delay_of_the_host_is_a_cause_on_that_host_only():
    log = '\n'.join(
        (
            '{"time":1.0,"host":"h","event":"host_delayed","delay_s":1.2}',
            '{"time":1.0,"host":"i","event":"host_delayed","delay_s":0.7}',
            '{"time":1.1,"host":"h","event":"request_failed","request":"q1",'
            '"end":"broken off","reason":"stalled without a known cause"}',
            '{"time":1.1,"host":"h","event":"connection_reset","request":"q1",'
            '"reason":"aborted","is_answered":false}',
        )
    )
    selected = explain.select_lines(explain.parse(log), 'q1')
    output = explain.format_report(selected, 'q1')
    causes = [line for line in output if 'cause: ' in line]
    assert len(causes) == 2
    assert causes[0].startswith('  cause: host_delayed delay_s=1.2')
    assert causes[1].startswith('  cause: connection_reset')
