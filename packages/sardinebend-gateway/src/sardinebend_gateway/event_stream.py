"""Splits an event stream into whole events."""

import typing

from sardinebend_gateway import errors

MAX_EVENT_BYTES: typing.Final = 1024 * 1024


class StreamEvent(typing.NamedTuple):
    """One event: its bytes as they came, and its id if it has one."""

    data: bytes
    event_id: bytes | None


class Splitter:
    """Collects bytes and returns events once they are whole."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Whether part of an event has come and its end hasn't."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are whole after more bytes.

        Raises:
            errors.Malformed: An event is larger than any may be.
        """
        self._rest += data
        found = []
        while (end := _find_end(self._rest)) > 0:
            found.append(_make_event(self._rest[:end]))
            self._rest = self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.Malformed('an event is too large')
        return found


def _find_end(data: bytes) -> int:
    """Returns where the first event ends, or 0."""
    ends = [
        at + len(mark)
        for mark in (b'\n\n', b'\r\n\r\n')
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _make_event(data: bytes) -> StreamEvent:
    for line in data.splitlines():
        if line.startswith(b'id:'):
            return StreamEvent(data, line[3:].strip())
    return StreamEvent(data, None)


def follows(newer: bytes, older: bytes | None) -> bool:
    """Tells whether an event id comes after another one."""
    if older is None:
        return True
    try:
        return int(newer) > int(older)
    except ValueError:
        return newer != older
