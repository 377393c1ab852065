"""Splits a server-sent event stream into complete events."""

import itertools
import re
import typing

_TERMINATOR_RE: typing.Final = re.compile(rb'\n\n|\r\n\r\n')
MAX_TERMINATOR_BYTES: typing.Final = 4
# An event holds a few tokens; a much larger one is taken to be endless.
MAX_EVENT_BYTES: typing.Final = 256 * 1024
# Names of fields; the empty one begins a comment.
_STANDARD_FIELDS: typing.Final = frozenset(
    (b'', b'data', b'event', b'id', b'retry')
)
# An endpoint may send fields of its own, before the others.
_OWN_FIELD_RE: typing.Final = re.compile(rb'[A-Za-z][A-Za-z0-9_-]*')
_BYTE_ORDER_MARK: typing.Final = b'\xef\xbb\xbf'


class StreamEvent(typing.NamedTuple):
    """One event.

    Attributes:
        data: Its bytes as received.
        event_id: Its id, if it has one.
        is_well_formed: Whether all of its lines are fields or comments. The
            text or the head of an error isn't.
    """

    data: bytes
    event_id: bytes | None
    is_well_formed: bool = True

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
        # All ends are found in one go: a search for each event would go over
        # the rest of the bytes for each of many blank ones.
        ends = [
            match.end()
            for match in _TERMINATOR_RE.finditer(
                self._buffer, self._search_start
            )
        ]
        events = [
            _make_event(bytes(self._buffer[start:end]))
            for start, end in itertools.pairwise((0, *ends))
        ]
        if ends:
            del self._buffer[: ends[-1]]
        # The last bytes may be the beginning of a terminator.
        self._search_start = max(
            0, len(self._buffer) - MAX_TERMINATOR_BYTES + 1
        )
        return events


def _make_event(data: bytes) -> StreamEvent:
    event_id = None
    has_standard_field = False
    is_well_formed = True
    for line in data.removeprefix(_BYTE_ORDER_MARK).splitlines():
        name, colon, value = line.partition(b':')
        if name in _STANDARD_FIELDS:
            has_standard_field = has_standard_field or bool(line)
            if name == b'id' and colon and event_id is None:
                event_id = value.strip()
        elif (
            has_standard_field or not colon or not _OWN_FIELD_RE.fullmatch(name)
        ):
            is_well_formed = False
    is_blank = not data.strip()
    return StreamEvent(
        data, event_id, is_well_formed and (has_standard_field or is_blank)
    )


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
