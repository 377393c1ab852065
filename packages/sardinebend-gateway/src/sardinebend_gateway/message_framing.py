"""Where the messages of a caller end, and cheap reading of small chunks.

The parser gets no byte of a request before the one before it has ended, so it
holds little, and what comes early can be counted. It also gets the many small
chunks of a piece as one, since it takes some 15 us for each.
"""

import abc
import re
import typing

from sardinebend_gateway import errors
from sardinebend_store import message_heads

HEAD_READ_BYTES: typing.Final = 8192
BODY_READ_BYTES: typing.Final = 65536
# Chunks that are joined at a time; they take up to 0.5 ms.
MAX_CHUNKS_AT_A_TIME: typing.Final = 512
# Framing that a chunked body may have for each byte of it, on top of the limit
# for headers. A chunk of one byte has 5 bytes of framing.
MAX_FRAMING_RATIO: typing.Final = 16

_BLANK_LINE: typing.Final = re.compile(rb'\n\r?\n')
_ONE_BYTE_CHUNKS: typing.Final = re.compile(
    rb'(?:1\r\n.\r\n){1,%d}+' % MAX_CHUNKS_AT_A_TIME, re.DOTALL
)
_ONE_BYTE_CHUNK_BYTES: typing.Final = 6
_ONE_BYTE_CHUNK_DATA: typing.Final = 3
_CHUNK_LINE: typing.Final = re.compile(
    rb'([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n'
)
_CHUNK_END: typing.Final = b'\r\n'


class Framing(abc.ABC):
    """Takes the bytes of one part of a message.

    Attributes:
        read_bytes: How much is read at a time.
        chunks: Number of chunks that were joined so far.
    """

    read_bytes = HEAD_READ_BYTES
    chunks = 0

    @abc.abstractmethod
    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes for the parser, and those to be taken later.

        Raises:
            errors.BadRequest: There is far more framing than content, a chunk
                doesn't end where it should, or a line isn't valid.
        """


class Lines(Framing):
    """Lines until a blank one: a head, or trailers."""

    def __init__(self, start: bytes = b'') -> None:
        self._last = start
        self._is_over = False

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes up to the blank line, and those behind it.

        Raises:
            errors.BadRequest: A line isn't valid.
        """
        if self._is_over:
            return data, b''
        fault = message_heads.find_fault(self._last + data)
        if fault:
            raise errors.BadRequest(400, fault)
        found = _BLANK_LINE.search(self._last + data)
        if found is None:
            self._last = (self._last + data)[-2:]
            return data, b''
        self._is_over = True
        end = found.end() - len(self._last)
        return data[:end], data[end:]


class Length(Framing):
    """A body of a known length."""

    def __init__(self, size: int) -> None:
        self._left = size

    @property
    def read_bytes(self) -> int:  # type: ignore[override]
        """No more than the body lacks."""
        return max(1, min(BODY_READ_BYTES, self._left))

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes of the body, and those behind it."""
        used = data[: self._left]
        self._left -= len(used)
        return used, data[len(used) :]


class Chunked(Framing):
    """A body in chunks; the parser gets one chunk for each piece read.

    What isn't valid is passed on, so that the parser refuses it.
    """

    read_bytes = BODY_READ_BYTES

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._spare_bytes = max_line_bytes
        self._rest = b''
        self._left = 0
        self._lacks_end = False
        self._trailers: Framing | None = None

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Returns the bytes of the next chunks as one, and those behind."""
        if self._trailers is not None:
            return self._trailers.take(data)
        data = self._rest + data
        content = bytearray()
        up_to = self.chunks + MAX_CHUNKS_AT_A_TIME
        end, is_over = self._join(data, content, up_to)
        framing = end - len(self._rest) - len(content)
        self._rest = b''
        self._spare_bytes += MAX_FRAMING_RATIO * len(content) - framing
        if self._spare_bytes < 0:
            raise errors.BadRequest(413, 'too much framing of chunks')
        used = bytes(content)
        if used:
            used = b'%x\r\n%b\r\n' % (len(used), used)
        rest = b''
        if is_over:
            self._trailers = Lines()
            last, rest = self._trailers.take(data[end:])
            used += last
        elif self.chunks >= up_to:
            rest = data[end:]
        else:
            self._rest = data[end:]
        return used, rest

    def _join(
        self, data: bytes, content: bytearray, up_to: int
    ) -> tuple[int, bool]:
        """Adds the content of chunks, up to a number of them.

        Returns:
            Where the chunks end, and whether what follows is for the parser.
        """
        at = 0
        while at < len(data) and self.chunks < up_to:
            if self._left:
                piece = data[at : at + self._left]
                content += piece
                at += len(piece)
                self._left -= len(piece)
                self._lacks_end = not self._left
            elif self._lacks_end:
                if data[at : at + 2] != _CHUNK_END:
                    if data[at:] == _CHUNK_END[:1]:
                        return at, False
                    # The parser would take what follows for the next chunk.
                    raise errors.BadRequest(400, 'a chunk without its end')
                at += 2
                self._lacks_end = False
            elif run := _ONE_BYTE_CHUNKS.match(data, at):
                start = at + _ONE_BYTE_CHUNK_DATA
                content += data[start : run.end() : _ONE_BYTE_CHUNK_BYTES]
                self.chunks += (run.end() - at) // _ONE_BYTE_CHUNK_BYTES
                at = run.end()
            elif line := _CHUNK_LINE.match(data, at):
                self.chunks += 1
                self._left = int(line[1], 16)
                if not self._left:
                    return at, True
                at = line.end()
            else:
                is_invalid = b'\n' in data[at:]
                return at, is_invalid or len(data) - at > self._max_line_bytes
        return at, False
