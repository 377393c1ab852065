"""Splits a server-sent event stream into complete events."""

import typing

TERMINATORS: typing.Final = (b'\n\n', b'\r\n\r\n')
MAX_TERMINATOR_BYTES: typing.Final = 4
# An event holds a few tokens; a much larger one is taken to be endless.
MAX_EVENT_BYTES: typing.Final = 256 * 1024


class StreamEvent(typing.NamedTuple):
    """One event: its bytes as received, and its id if it has one."""

    data: bytes
    event_id: bytes | None

    @property
    def is_progress(self) -> bool:
        """Whether the event advances the answer; one without an id doesn't."""
        return bool(self.event_id)


class EventSplitter:
    """Buffers bytes and returns events once they are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._search_start = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered; blank bytes don't count."""
        return bool(self._buffer.strip())

    @property
    def partial_event_bytes(self) -> int:
        """Number of buffered bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that they complete.

        The caller must bound the size of an incomplete event.
        """
        self._buffer += data
        events = []
        while (end := _find_end(self._buffer, self._search_start)) > 0:
            events.append(_make_event(bytes(self._buffer[:end])))
            del self._buffer[:end]
            self._search_start = 0
        # The last bytes may be the beginning of a terminator.
        self._search_start = max(
            0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1
        )
        return events


def _find_end(data: bytearray, start: int) -> int:
    """Returns where the first event ends, or 0 if no terminator is found."""
    ends = [
        at + len(terminator)
        for terminator in TERMINATORS
        if (at := data.find(terminator, start)) >= 0
    ]
    return min(ends, default=0)


def _make_event(data: bytes) -> StreamEvent:
    for line in data.splitlines():
        if line.startswith(b'id:'):
            return StreamEvent(data, line[3:].strip())
    return StreamEvent(data, None)


def is_later_id(newer: bytes, older: bytes | None) -> bool:
    """Returns whether an event id comes after another one.

    Ids that aren't numbers only have to differ.
    """
    if older is None:
        return True
    try:
        return int(newer) > int(older)
    except ValueError:
        return newer != older
