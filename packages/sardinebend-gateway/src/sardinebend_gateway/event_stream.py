"""Splits an event stream into whole events."""

import typing

MARKS: typing.Final = (b'\n\n', b'\r\n\r\n')
LONGEST_MARK: typing.Final = 4
# An event holds a few tokens; much larger ones have no end.
MAX_EVENT_BYTES: typing.Final = 256 * 1024


class StreamEvent(typing.NamedTuple):
    """One event: its bytes as they came, and its id if it has one."""

    data: bytes
    event_id: bytes | None

    @property
    def is_progress(self) -> bool:
        """Whether the answer has come further; comments don't count."""
        return bool(self.event_id)


class Splitter:
    """Collects bytes and returns events once they are whole."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self._searched = 0

    @property
    def has_rest(self) -> bool:
        """Whether part of an event has come and its end hasn't."""
        return bool(self._rest.strip())

    @property
    def rest_bytes(self) -> int:
        """Bytes of the event that has begun."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are whole after more bytes.

        Whoever feeds it bounds the bytes of an event that has no end.
        """
        self._rest += data
        found = []
        while (end := _find_end(self._rest, self._searched)) > 0:
            found.append(_make_event(bytes(self._rest[:end])))
            del self._rest[:end]
            self._searched = 0
        # An end mark may have begun in the last bytes.
        self._searched = max(0, len(self._rest) - LONGEST_MARK + 1)
        return found


def _find_end(data: bytearray, start: int) -> int:
    """Returns where the first event ends, or 0; searches from a place on."""
    ends = [
        at + len(mark) for mark in MARKS if (at := data.find(mark, start)) >= 0
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
