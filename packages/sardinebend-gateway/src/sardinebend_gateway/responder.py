"""Sends the answer to one request of a caller."""

import collections
import typing

import h11
import trio

from sardinebend_gateway import errors

# Larger pieces of an answer are sent without a copy.
COPIED_BYTES: typing.Final = 64 * 1024

Pairs = typing.Sequence[tuple[bytes, bytes]]


class Responder:
    """Sends the answer to one request.

    A call that is cancelled leaves its unsent bytes to the next one, so that
    another attempt can go on with the answer.

    Attributes:
        is_started: Whether the answer has a head, sent or not.
        media_type: Media type that the head states; empty if none.
        is_ended: Whether the answer has its end, sent or not.
        closes_connection: Whether the answer tells the caller that the
            connection is closed.
        is_caller_gone: Whether the caller is known to have disconnected.
        sent_bytes: Number of bytes that were sent.
        log_fields: What identifies the request in log lines; set by its
            handler.
    """

    def __init__(
        self,
        conn: h11.Connection,
        stream: trio.SocketStream,
        note_unsent: typing.Callable[[], None] = lambda: None,
    ) -> None:
        """Creates an answer that hasn't begun.

        Args:
            conn: The parser of the connection.
            stream: The connection.
            note_unsent: Is called when the number of unsent bytes changes.
        """
        self.is_started = False
        self.media_type = b''
        self.is_ended = False
        self.closes_connection = False
        self.is_caller_gone = False
        self.sent_bytes = 0
        self.log_fields: dict[str, str] = {}
        self._conn = conn
        self._stream = stream
        self._unsent: collections.deque[bytearray | memoryview] = (
            collections.deque()
        )
        self._whole_bytes = 0
        self._note_unsent = note_unsent

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer has been sent."""
        return self.is_ended and not self._unsent

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        return sum(len(piece) for piece in self._unsent)

    @property
    def held_bytes(self) -> int:
        """Number of bytes that the answer takes until it has been sent."""
        return max(self.unsent_bytes, self._whole_bytes) if self._unsent else 0

    async def answer(self, status: int, headers: Pairs, body: bytes) -> None:
        """Sends a complete answer."""
        length = (b'content-length', str(len(body)).encode())
        # The whole body is kept until the last byte of it has been sent.
        self._whole_bytes = len(body)
        self._start(status, [*headers, length])
        if body:
            self._add(h11.Data(data=body))
        self._end()
        await self.flush()

    async def start(self, status: int, headers: Pairs) -> None:
        """Starts an answer of unknown length."""
        self._start(status, [*headers, (b'transfer-encoding', b'chunked')])
        await self.flush()

    async def write(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        self._add(h11.Data(data=data))
        await self.flush()

    async def finish(self) -> None:
        """Sends the end of the answer."""
        self._end()
        await self.flush()

    async def flush(self) -> None:
        """Sends what earlier calls have left unsent.

        Raises:
            errors.ConnectionAborted: The caller has disconnected.
        """
        try:
            while self._unsent:
                # Unlike `send_all`, returns how much a cancelled call has sent.
                piece = self._unsent[0]
                sent = await self._stream.socket.send(piece)
                if sent == len(piece):
                    self._unsent.popleft()
                elif isinstance(piece, bytearray):
                    del piece[:sent]
                else:
                    self._unsent[0] = piece[sent:]
                self.sent_bytes += sent
                self._note_unsent()
        except (OSError, trio.ClosedResourceError) as exc:
            self.is_caller_gone = True
            raise errors.ConnectionAborted(str(exc)) from exc

    def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self.is_started:
            # A second head would be taken for a part of the body.
            raise errors.ConnectionAborted('the answer has begun already')
        if self.closes_connection:
            headers.append((b'connection', b'close'))
        self._add(h11.Response(status_code=status, headers=headers))
        self.is_started = True
        self.media_type = get_media_type(headers)

    def _end(self) -> None:
        self._add(h11.EndOfMessage())
        self.is_ended = True

    def _add(self, event: h11.Event) -> None:
        for data in self._conn.send_with_data_passthrough(event) or ():
            if not data:
                continue
            if len(data) >= COPIED_BYTES:
                self._unsent.append(memoryview(data))
                continue
            if not self._unsent or not isinstance(self._unsent[-1], bytearray):
                self._unsent.append(bytearray())
            last = self._unsent[-1]
            assert isinstance(last, bytearray)
            last += data
        self._note_unsent()


def get_media_type(headers: Pairs) -> bytes:
    """Returns the media type that headers state; empty if none."""
    for name, value in headers:
        if name.lower() == b'content-type':
            return value.partition(b';')[0].strip().lower()
    return b''
