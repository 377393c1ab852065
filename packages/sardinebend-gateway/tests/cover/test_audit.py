"""The decision log: rate-limited, non-blocking, higher limit for failures."""

import json
import os

from sardinebend_gateway import audit
from sardinebend_gateway import events


def read_lines(fd):
    os.set_blocking(fd, False)
    data = b''
    while True:
        try:
            chunk = os.read(fd, 65536)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return [json.loads(line) for line in data.splitlines()]


def make_log():
    reader, writer = os.pipe()
    handler = audit.set_up(writer, 'host-1')
    return reader, writer, handler, audit.Audit()


def test_a_decision_is_logged_as_one_line_with_its_fields():
    reader, writer, _, log = make_log()
    log.log(events.REQUEST_REFUSED, request='r1', status=503, reason='x')
    (line,) = read_lines(reader)
    assert line.pop('time') > 0
    assert line == {
        'host': 'host-1',
        'event': 'request_refused',
        'request': 'r1',
        'status': 503,
        'reason': 'x',
    }
    os.close(reader)
    os.close(writer)


def test_ten_thousand_failures_are_rate_limited_and_counted():
    reader, writer, handler, log = make_log()
    for number in range(10_000):
        log.log(events.REQUEST_FAILED, request=str(number))
    lines = read_lines(reader)
    assert len(lines) + handler.lines_dropped >= 10_000
    assert handler.lines_dropped > 0
    os.close(reader)
    os.close(writer)


def test_logging_does_not_block_when_the_reader_does_not_read():
    reader, writer, handler, log = make_log()
    for number in range(20_000):
        handler._second = 0
        log.log(events.REQUEST_FAILED, request=str(number), reason='x' * 500)
    assert handler.lines_dropped > 0
    os.close(reader)
    os.close(writer)


def test_logging_continues_when_the_reader_has_closed_the_pipe():
    reader, writer, handler, log = make_log()
    os.close(reader)
    log.log(events.REQUEST_FAILED, request='r1')
    assert handler.lines_dropped == 1
    os.close(writer)


def test_the_line_limit_is_higher_for_failures():
    assert audit.FAILURE_LINES_PER_S > audit.LINES_PER_S


def test_a_line_too_long_for_one_write_is_replaced_by_its_length():
    reader, writer, _, log = make_log()
    log.log(events.REQUEST_FAILED, reason='x' * 10_000)
    (line,) = read_lines(reader)
    assert line['cut'] > audit.MAX_LINE_BYTES
    os.close(reader)
    os.close(writer)


def test_event_names_are_unique_and_documented():
    names = [event.name for event in events.ALL]
    assert len(names) == len(set(names))
    assert all(event.fields for event in events.ALL)
