"""HTTP/1.1 towards callers, by `h11` on trio sockets.

Three things that the rules of a request need can't be had through an ASGI
server: a write to a caller that has stopped reading can be cancelled, an
answer that breaks off resets its connection so that it can't be taken for a
whole one, and the end of a caller's connection is seen while its request is
being served.
"""

import errno
import logging
import socket
import struct
import typing

import h11
import trio

from sardinebend_gateway import errors
from sardinebend_gateway import responder as responder_lib
from sardinebend_policy import catalog

READ_BYTES: typing.Final = 65536
# A caller may send its next request early; more than this of it isn't read
# before the current one has ended.
MAX_EARLY_BYTES: typing.Final = 65536
BACKLOG: typing.Final = 1024
# Silence after which the system tells whether a caller is still there.
KEEPALIVE_IDLE_S: typing.Final = 2
KEEPALIVE_PROBES: typing.Final = 2
USER_TIMEOUT_MS: typing.Final = 4000
ACCEPT_RETRY_S: typing.Final = 0.05
LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)

_LOGGER = logging.getLogger('sardinebend.decisions')


class Request(typing.NamedTuple):
    """A request that has been read whole.

    Attributes:
        method: HTTP method.
        target: Path and query as they were sent.
        headers: Names in lower case, with values, in order.
        body: The body without its framing.
        arrived_at: When its headers had been read, by trio's clock.
    """

    method: bytes
    target: bytes
    headers: responder_lib.Pairs
    body: bytes
    arrived_at: float


Handler = typing.Callable[
    [Request, responder_lib.Responder],
    typing.Coroutine[typing.Any, typing.Any, None],
]


_GONE: typing.Final = (
    errors.CallerGone,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class _CallerConnection:
    """One connection of a caller."""

    def __init__(self, server: 'Server', stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream
        limits = server.limits()
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._early_bytes = 0
        self._is_eof = False

    async def run(self) -> None:
        """Serves requests until either side closes."""
        try:
            while await self._serve_one():
                self._conn.start_next_cycle()
                self._early_bytes = 0
        except errors.BadRequest as exc:
            await self._refuse(exc)
        except _GONE:
            self._reset()
        except Exception:
            # One connection must not end the process that serves the others.
            _LOGGER.exception('a connection failed')
            self._reset()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _serve_one(self) -> bool:
        head = await self._read_head()
        if head is None:
            return False
        arrived_at = trio.current_time()
        self._server.in_flight += 1
        try:
            body = await self._read_body(head)
            headers = list(head.headers)
            req = Request(head.method, head.target, headers, body, arrived_at)
            responder = responder_lib.Responder(self._conn, self._stream)
            responder.closes = self._server.is_stopping
            await self._handle(req, responder)
        finally:
            self._server.end_one()
        if not responder.is_finished:
            raise errors.CallerGone('the answer was broken off')
        return (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._is_eof
        )

    async def _handle(
        self, req: Request, responder: responder_lib.Responder
    ) -> None:
        """Runs the handler and cancels it when the caller has gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            try:
                await self._server.handler(req, responder)
            except errors.CallerGone:
                # The answer stays unfinished, which resets the connection.
                pass
            except Exception:
                # One request must not end the process that serves the others.
                _LOGGER.exception('a request handler failed')
            nursery.cancel_scope.cancel()

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        while self._early_bytes <= MAX_EARLY_BYTES:
            data = await self._receive()
            if not data:
                scope.cancel()
                return
            self._early_bytes += len(data)
            self._conn.receive_data(data)
        await trio.sleep_forever()

    async def _read_head(self) -> h11.Request | None:
        limits = self._server.limits()
        first_wait = limits.idle_timeout_s
        idle = self._conn.trailing_data[0] == b''
        with trio.move_on_after(first_wait if idle else 0) as scope:
            if idle:
                data = await self._server.wait_or_stop(self._receive)
                if not data:
                    return None
                self._conn.receive_data(data)
        if scope.cancelled_caught and idle:
            return None
        with trio.move_on_after(limits.header_timeout_s):
            event = await self._next_event()
            if isinstance(event, h11.Request):
                _check_head(event, limits.max_header_bytes)
                return event
            return None
        raise errors.BadRequest(408, 'the headers took too long')

    async def _read_body(self, head: h11.Request) -> bytes:
        limits = self._server.limits()
        chunks: list[bytes] = []
        size = 0
        if self._conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._conn.send(go_on) or b'')
        with trio.move_on_after(limits.idle_timeout_s):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b''.join(chunks)
                if not isinstance(event, h11.Data):
                    raise errors.CallerGone('closed within a body')
                size += len(event.data)
                if size > limits.max_body_bytes:
                    raise errors.BadRequest(413, 'the body is too large')
                chunks.append(bytes(event.data))
        raise errors.BadRequest(408, 'the body took too long')

    async def _next_event(self) -> typing.Any:
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                status = exc.error_status_hint
                raise errors.BadRequest(status, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            self._conn.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        if self._is_eof:
            return b''
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except _GONE:
            data = b''
        self._is_eof = not data
        return bytes(data)

    async def _refuse(self, exc: errors.BadRequest) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._reset()
            return
        responder = responder_lib.Responder(self._conn, self._stream)
        responder.closes = True
        with trio.move_on_after(1.0):
            try:
                await responder.answer(exc.status, [], b'')
                await self._stream.send_eof()
                # Closing with unread bytes would reset the connection and
                # could destroy the answer on its way.
                while await self._receive():
                    pass
            except _GONE:
                self._reset()

    def _reset(self) -> None:
        """Makes the coming close a reset."""
        self._stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )


def _check_head(req: h11.Request, max_bytes: int) -> None:
    """Refuses headers that are too large or leave two ways to read on."""
    size = len(req.method) + len(req.target)
    size += sum(len(name) + len(value) + 4 for name, value in req.headers)
    if size > max_bytes:
        raise errors.BadRequest(431, 'the headers are too large')
    names = [name for name, _ in req.headers]
    has_length = b'content-length' in names
    if has_length and b'transfer-encoding' in names:
        raise errors.BadRequest(400, 'a length and a transfer encoding')


class Server:
    """Listens on one address.

    Attributes:
        in_flight: Requests that are being read or served.
        is_stopping: Whether answers ask callers to close.
        handler: Serves one request.
        limits: Returns the bounds in force on what callers may send.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], catalog.Limits] = catalog.Limits,
    ) -> None:
        self.in_flight = 0
        self.is_stopping = False
        self.handler = handler
        self.limits = limits
        self._closing_idle = trio.Event()
        self._ended = trio.Event()
        self._socket: trio.socket.SocketType | None = None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._socket.getsockname()[1] if self._socket else 0

    async def start(self, nursery: trio.Nursery, ip: str, port: int) -> None:
        """Binds and begins to accept connections."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.bind((ip, port))
        sock.listen(BACKLOG)
        self._socket = sock
        nursery.start_soon(self._accept, nursery, sock)

    def begin_stop(self) -> None:
        """Has answers ask callers to use other connections."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Closes connections on which no request is under way."""
        self._closing_idle.set()

    def end_one(self) -> None:
        """Notes that a request is no longer under way."""
        self.in_flight -= 1
        self._ended.set()
        self._ended = trio.Event()

    async def wait_idle(self) -> None:
        """Waits until no request is under way."""
        while self.in_flight:
            await self._ended.wait()

    def close(self) -> None:
        """Stops accepting connections."""
        if self._socket is not None:
            self._socket.close()

    async def wait_or_stop(
        self, receive: typing.Callable[[], typing.Awaitable[bytes]]
    ) -> bytes:
        """Waits for bytes of a next request; empty when idle ones close."""
        data = b''
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await self._closing_idle.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            data = await receive()
            nursery.cancel_scope.cancel()
        return data

    async def _accept(
        self, nursery: trio.Nursery, sock: trio.socket.SocketType
    ) -> None:
        while True:
            try:
                conn, _ = await sock.accept()
            except OSError as exc:
                if exc.errno in (errno.EBADF, errno.EINVAL):
                    return
                # Out of descriptors, or the caller left before the accept.
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            except trio.ClosedResourceError:
                return
            _set_options(conn)
            caller = _CallerConnection(self, trio.SocketStream(conn))
            nursery.start_soon(caller.run)


def _set_options(conn: trio.socket.SocketType) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        conn.setsockopt(socket.IPPROTO_TCP, option, value)
