"""The decision log: rate-limited, non-blocking, higher limit for failures."""

import json
import os

import pytest

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


def test_the_lines_dropped_last_are_counted_before_the_process_ends():
    # Guards against counts that only a later line would have written: the last
    # second of a host, in which it cuts requests, has none.
    reader, writer, handler, log = make_log()
    count = audit.FAILURE_LINES_PER_S + 107
    for number in range(count):
        log.log(events.REQUEST_CUT, request=str(number))
    handler.write_dropped()
    lines = read_lines(reader)
    dropped = sum(
        line['request_cut']
        for line in lines
        if line['event'] == 'lines_dropped'
    )
    written = sum(line['event'] == 'request_cut' for line in lines)
    assert dropped > 0
    assert written + dropped == count
    handler.write_dropped()
    assert read_lines(reader) == []
    os.close(reader)
    os.close(writer)


def test_counts_that_cannot_be_written_yet_are_kept():
    # Guards against counts that are lost because the reader didn't keep up at
    # the moment at which they were to be written.
    reader, writer, handler, log = make_log()
    fill = b'x' * 4096 + b'\n'
    os.set_blocking(writer, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, fill)
    log.log(events.REQUEST_CUT, request='r1')
    handler._start_second(1)
    handler._start_second(2)
    os.set_blocking(reader, False)
    while True:
        try:
            os.read(reader, 65536)
        except BlockingIOError:
            break
    handler.write_dropped()
    (line,) = read_lines(reader)
    assert line['request_cut'] == 1
    os.close(reader)
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
