"""Sends the answer to one request of a caller."""

import typing

import h11
import trio

from sardinebend_gateway import errors

Pairs = typing.Sequence[tuple[bytes, bytes]]


class Responder:
    """Sends the answer to one request.

    Attributes:
        is_started: Whether the status line has been sent.
        is_finished: Whether the answer is complete.
        closes_connection: Whether the answer tells the caller that the
            connection is closed.
    """

    def __init__(self, conn: h11.Connection, stream: trio.SocketStream) -> None:
        self.is_started = False
        self.is_finished = False
        self.closes_connection = False
        self._conn = conn
        self._stream = stream

    async def answer(self, status: int, headers: Pairs, body: bytes) -> None:
        """Sends a complete answer."""
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        data = self._conn.send(h11.Data(data=body)) if body else b''
        await self._send((data or b'') + (self._end() or b''))
        self.is_finished = True

    async def start(self, status: int, headers: Pairs) -> None:
        """Starts an answer of unknown length."""
        await self._start(
            status, [*headers, (b'transfer-encoding', b'chunked')]
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        await self._send(self._conn.send(h11.Data(data=data)) or b'')

    async def finish(self) -> None:
        """Marks the answer as complete."""
        await self._send(self._end() or b'')
        self.is_finished = True

    def _end(self) -> bytes | None:
        return self._conn.send(h11.EndOfMessage())

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self.closes_connection:
            headers.append((b'connection', b'close'))
        head = h11.Response(status_code=status, headers=headers)
        self.is_started = True
        await self._send(self._conn.send(head) or b'')

    async def _send(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise errors.ConnectionAborted(str(exc)) from exc
