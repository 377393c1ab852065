"""Decision log: rate-limited, non-blocking JSON lines on standard output."""

import collections
import logging
import os
import select
import time
import typing

import msgspec

from sardinebend_gateway import events

LOGGER_NAME: typing.Final = 'sardinebend.decisions'
# Limits on the lines of one event per second. Normal operation stays far below
# them; when many failures occur at once, they limit the log to about 0.2 MB/s.
LINES_PER_S: typing.Final = 100
FAILURE_LINES_PER_S: typing.Final = 300
# Bytes that can be written to a pipe without blocking after POLLOUT.
MAX_LINE_BYTES: typing.Final = select.PIPE_BUF
# Time that the end of the process waits for the reader to take the last line.
END_WAIT_MS: typing.Final = 500

_FIELDS: typing.Final = 'decision_fields'


class LineHandler(logging.Handler):
    """Writes records as JSON lines to a file descriptor.

    A line is dropped and counted if its event has reached its limit for the
    current second, or if the reader of the descriptor doesn't keep up.
    """

    def __init__(self, fd: int, host: str) -> None:
        super().__init__()
        self._fd = fd
        self._host = host
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        self.lines_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or drops and counts it."""
        event = getattr(record, 'decision_event', None)
        name = event.name if event else record.name
        now = time.time()
        if int(now) != self._second:
            self._start_second(int(now))
        limit = LINES_PER_S
        if event is None or event.is_failure:
            limit = FAILURE_LINES_PER_S
        self._written[name] += 1
        if self._written[name] > limit:
            self._drop(name)
            return
        fields = dict(getattr(record, _FIELDS, {}))
        if event is None:
            fields['text'] = record.getMessage()
        if record.exc_info and record.exc_info[0]:
            fields['error'] = record.exc_info[0].__name__
        self._write(name, now, fields)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._written.clear()
        self._write_dropped(0)

    def write_dropped(self) -> None:
        """Writes the counts of dropped lines; call it before the process ends.

        Waits a little for a reader that doesn't keep up.
        """
        self._write_dropped(END_WAIT_MS)

    def _write_dropped(self, wait_ms: int) -> None:
        if not self._dropped or not self._poll.poll(wait_ms):
            return
        counts = dict(self._dropped)
        self._dropped.clear()
        self._write(events.LINES_DROPPED.name, time.time(), counts)

    def _drop(self, name: str) -> None:
        self._dropped[name] += 1
        self.lines_dropped += 1

    def _write(
        self, name: str, now: float, fields: dict[str, typing.Any]
    ) -> None:
        line = {
            'time': round(now, 3),
            'host': self._host,
            'event': name,
            **fields,
        }
        data = msgspec.json.encode(line, enc_hook=str) + b'\n'
        if len(data) > MAX_LINE_BYTES:
            short = {'time': line['time'], 'host': self._host, 'event': name}
            data = msgspec.json.encode({**short, 'cut': len(data)}) + b'\n'
        if not self._poll.poll(0):
            self._drop(name)
            return
        try:
            os.write(self._fd, data)
        except OSError:
            # The reader has closed the pipe, so the line can only be counted.
            self._drop(name)


class Audit:
    """Logs decisions of one host."""

    def __init__(self) -> None:
        self._logger = logging.getLogger(LOGGER_NAME)

    def log(self, event: events.Event, **fields: typing.Any) -> None:
        """Logs one decision with its inputs and outcome."""
        level = logging.WARNING if event.is_failure else logging.INFO
        self._logger.log(
            level,
            event.name,
            extra={'decision_event': event, _FIELDS: fields},
        )

    def log_error(self, text: str, **fields: typing.Any) -> None:
        """Logs the exception that is being handled, which nobody expected."""
        self._logger.exception(text, extra={_FIELDS: fields})


def set_up(fd: int, host: str) -> LineHandler:
    """Directs the decision log of the process to a file descriptor."""
    handler = LineHandler(fd, host)
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return handler
