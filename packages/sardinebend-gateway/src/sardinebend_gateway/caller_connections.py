"""One HTTP/1.1 connection of a caller, based on `h11` and trio sockets."""

import abc
import collections.abc
import contextlib
import socket
import typing

import h11
import trio

from sardinebend_gateway import audit
from sardinebend_gateway import caller_sockets
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import request_bodies
from sardinebend_gateway import request_reader
from sardinebend_gateway import responder as responder_lib
from sardinebend_policy import catalog

READ_BYTES: typing.Final = 65536
# Bytes of a body that are read before another task runs; they take some 1 ms.
# A late host has few turns, so what has arrived is read at once.
MAX_READ_AT_A_TIME_BYTES: typing.Final = 1024 * 1024
# A caller may pipeline its next request. Reading pauses once more than this
# many bytes of it have arrived before the current one has ended.
MAX_EARLY_BYTES: typing.Final = 65536
# After the last answer on a connection, the caller has this long to receive it
# and to close.
LINGER_S: typing.Final = 1.0

_AUDIT = audit.Audit()


Handler = typing.Callable[
    [request_reader.Request, responder_lib.Responder],
    typing.Coroutine[typing.Any, typing.Any, None],
]


WaitLimit = typing.Callable[
    [float], contextlib.AbstractContextManager[trio.CancelScope]
]

_CONNECTION_ERRORS: typing.Final = (
    errors.ConnectionAborted,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Server(abc.ABC):
    """The server that a connection belongs to.

    Attributes:
        in_flight: Number of requests that are being read or served.
        is_stopping: Whether answers tell callers to close the connection.
        is_closing: Whether connections without a request are being closed.
        handler: Serves one request.
        limits: Returns the current limits for requests.
        wait_limit: Cancels a wait for a caller that takes longer than a number
            of seconds.
        bodies: The bodies of the requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], catalog.Limits],
        wait_limit: WaitLimit,
        bodies: request_bodies.RequestBodies,
    ) -> None:
        self.in_flight = 0
        self.is_stopping = False
        self.is_closing = False
        self.handler = handler
        self.limits = limits
        self.wait_limit = wait_limit
        self.bodies = bodies

    @abc.abstractmethod
    async def receive_unless_closing(
        self, receive: typing.Callable[[], typing.Awaitable[bytes]]
    ) -> bytes:
        """Receives bytes of the next request.

        Returns:
            The bytes; empty if the server closes.
        """

    @abc.abstractmethod
    def record_connection_end(self, caller: 'CallerConnection') -> None:
        """Records that a connection has been closed."""


class CallerConnection:
    """Serves one connection of a caller."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream
        limits = server.limits()
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._early_bytes = 0
        self._is_eof = False
        self._read_at_a_time = 0
        self._is_idle = False
        # Whether the limit for the request that is being read is over.
        self._is_overdue = False
        self._idle_since = trio.current_time()
        self._log_fields: dict[str, str] = {}
        self._responder: responder_lib.Responder | None = None
        # What the last look at the connection has found.
        self._had_unsent = False
        self._confirmed_bytes = 0
        self._taken_at = trio.current_time()
        self._is_given_up = False

    async def run(self) -> None:
        """Serves requests until either side closes."""
        try:
            caller_sockets.detect_lost_callers(self._stream.socket)
            while await self._serve_one():
                self._conn.start_next_cycle()
                self._early_bytes = 0
                self._log_fields = {}
            await self._linger()
        except errors.BadRequest as exc:
            await self._refuse(exc)
        except _CONNECTION_ERRORS as exc:
            self._reset(str(exc))
        except Exception:
            # A failure of one connection must not end the process, which also
            # serves the others.
            _AUDIT.log_error('a connection failed', **self._log_fields)
            self._reset('unexpected error')
        else:
            if caller_sockets.count_unread_bytes(self._stream.socket):
                self._log_reset('closed with unread bytes')
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)
            self._server.record_connection_end(self)

    def hand_over_unsent_bytes(self) -> None:
        """Lets answers go on although the caller reads slowly."""
        caller_sockets.hand_over_unsent_bytes(self._stream.socket)

    def give_up_if_lost(self, now: float) -> None:
        """Ends the connection if its caller is gone or takes nothing any more.

        Args:
            now: The time, by trio's clock.
        """
        delivery = caller_sockets.read_delivery(self._stream.socket)
        if delivery is None:
            return
        has_unsent = self._responder is not None and (
            self._responder.unsent_bytes > 0
        )
        # A late host may find what it is just sending: only bytes that also
        # waited at the last look show a caller that takes nothing.
        has_waited = has_unsent and self._had_unsent
        if not has_waited or delivery.confirmed_bytes != self._confirmed_bytes:
            self._confirmed_bytes = delivery.confirmed_bytes
            self._taken_at = now
        self._had_unsent = has_unsent
        is_stuck = now - self._taken_at > self._server.limits().idle_timeout_s
        if delivery.is_lost or is_stuck:
            self._record_given_up(
                'caller lost' if delivery.is_lost else 'caller takes nothing'
            )
            # Wakes the tasks that send and receive. The connection may have
            # been reset meanwhile.
            with contextlib.suppress(OSError):
                self._stream.socket.shutdown(socket.SHUT_RDWR)

    def _record_given_up(self, reason: str) -> None:
        """Logs, once, that the host itself ends a request's connection.

        To the request it looks as if its caller had closed it.
        """
        responder = self._responder
        is_open = responder is not None and not responder.is_finished
        if is_open and not self._is_given_up:
            self._log_reset(reason)
        self._is_given_up = True

    def _reset(self, reason: str) -> None:
        if self._responder is not None and not self._responder.is_caller_gone:
            self._log_reset(reason)
        caller_sockets.reset_on_close(self._stream.socket)

    def _log_reset(self, reason: str) -> None:
        """Logs that the close of the connection is going to reset it.

        A reset discards what the caller hasn't received of an answer.
        """
        sock = self._stream.socket
        responder = self._responder
        _AUDIT.log(
            events.CONNECTION_RESET,
            **self._log_fields,
            reason=reason,
            is_answered=responder is not None and responder.is_finished,
            unread_bytes=caller_sockets.count_unread_bytes(sock),
            unacknowledged_bytes=(
                caller_sockets.count_unacknowledged_bytes(sock)
            ),
        )

    async def _serve_one(self) -> bool:
        head = await self._read_head()
        self._is_idle = head is None
        if head is None:
            return False
        arrived_at = trio.current_time()
        self._server.in_flight += 1
        body = request_bodies.Body(self._server.bodies)
        try:
            await self._read_body(head, body)
            headers = list(head.headers)
            req = request_reader.Request(
                head.method, head.target, headers, body, arrived_at
            )
            responder = responder_lib.Responder(self._conn, self._stream)
            # A caller that waits with its body may send it or not, so what
            # comes next would be ambiguous.
            responder.closes_connection = (
                self._server.is_stopping
                or self._conn.they_are_waiting_for_100_continue
            )
            self._log_fields = responder.log_fields
            self._responder = responder
            await self._handle(req, responder)
            if body.is_refused and responder.is_finished:
                await self._discard_body()
        finally:
            body.release()
            self._server.in_flight -= 1
        if not responder.is_finished:
            raise errors.ConnectionAborted('answer aborted before its end')
        return (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._is_eof
        )

    async def _handle(
        self, req: request_reader.Request, responder: responder_lib.Responder
    ) -> None:
        """Runs the handler; cancels it if the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._watch_caller, nursery.cancel_scope, responder
            )
            try:
                await self._server.handler(req, responder)
                if responder.is_ended:
                    await responder.flush()
            except errors.ConnectionAborted:
                # The answer stays incomplete, which resets the connection.
                pass
            except Exception:
                # A failure of one request must not end the process, which
                # also serves the others.
                _AUDIT.log_error(
                    'a request handler failed', **responder.log_fields
                )
            nursery.cancel_scope.cancel()

    async def _watch_caller(
        self, scope: trio.CancelScope, responder: responder_lib.Responder
    ) -> None:
        while self._early_bytes <= MAX_EARLY_BYTES:
            data = await self._receive()
            if not data:
                responder.is_caller_gone = True
                scope.cancel()
                return
            self._early_bytes += len(data)
            self._conn.receive_data(data)
        await trio.sleep_forever()

    async def _read_head(self) -> h11.Request | None:
        limits = self._server.limits()
        if self._conn.trailing_data[0] == b'':
            data = await self._receive_first(limits.idle_timeout_s)
            if not data:
                return None
            self._conn.receive_data(data)
        with self._server.wait_limit(limits.header_timeout_s):
            return await self._next_request(limits)
        with self._reading_arrived_only(limits.header_timeout_s):
            return await self._next_request(limits)
        raise errors.BadRequest(408, 'timeout while reading headers')

    async def _next_request(self, limits: catalog.Limits) -> h11.Request | None:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        request_reader.check_head(event, limits.max_header_bytes)
        return event

    @contextlib.contextmanager
    def _reading_arrived_only(
        self, seconds: float
    ) -> collections.abc.Iterator[None]:
        """Refuses to wait for further bytes of a request whose limit is over.

        What has arrived by then is read, within as much time once more: a host
        that is late finds a limit over before it has read what was sent in
        time.
        """
        self._is_overdue = True
        try:
            with self._server.wait_limit(seconds):
                yield
        finally:
            self._is_overdue = False

    async def _receive_first(self, idle_timeout_s: float) -> bytes:
        """Returns the first bytes of a request; empty if none comes."""
        self._idle_since = trio.current_time()
        with self._server.wait_limit(idle_timeout_s):
            data = await self._server.receive_unless_closing(self._receive)
            if data or self._is_eof:
                return data
        # A process that was suspended finds its limits over before it looks at
        # its sockets.
        if caller_sockets.count_unread_bytes(self._stream.socket):
            return await self._receive()
        return b''

    async def _read_body(
        self, head: h11.Request, body: request_bodies.Body
    ) -> None:
        limits = self._server.limits()
        length = request_reader.get_content_length(head)
        if length <= limits.max_body_bytes:
            body.reserve(length)
        if self._conn.they_are_waiting_for_100_continue and not body.is_refused:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._conn.send(interim) or b'')
        with self._server.wait_limit(limits.idle_timeout_s):
            await request_reader.read_body(
                body, self._next_body_event, limits.max_body_bytes
            )
            return
        with self._reading_arrived_only(limits.idle_timeout_s):
            await request_reader.read_body(
                body, self._next_body_event, limits.max_body_bytes
            )
            return
        raise errors.BadRequest(408, 'timeout while reading the request body')

    async def _discard_body(self) -> None:
        """Lets a caller send its refused body, so that it gets the answer."""
        if self._conn.they_are_waiting_for_100_continue:
            return
        limits = self._server.limits()
        with self._server.wait_limit(limits.idle_timeout_s):
            await request_reader.discard_body(
                self._next_event, limits.max_body_bytes
            )

    async def _next_body_event(self) -> typing.Any:
        return await self._next_event(self._receive_body)

    async def _next_event(
        self,
        receive: typing.Callable[[], typing.Awaitable[bytes]] | None = None,
    ) -> typing.Any:
        receive = receive or self._receive
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                status = exc.error_status_hint
                raise errors.BadRequest(status, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if self._is_overdue and not caller_sockets.count_unread_bytes(
                self._stream.socket
            ):
                raise errors.BadRequest(408, 'timeout while reading a request')
            self._conn.receive_data(await receive())

    async def _receive_body(self) -> bytes:
        """Receives bytes of a body; waits only if none have arrived.

        Only a few bytes are held besides those of the body, which has room for
        them, as each piece is added to it before the next one is read.
        """
        if self._read_at_a_time < MAX_READ_AT_A_TIME_BYTES:
            data = caller_sockets.read_arrived(self._stream.socket, READ_BYTES)
            if data:
                self._read_at_a_time += len(data)
                return data
        self._read_at_a_time = 0
        return await self._receive()

    async def _receive(self) -> bytes:
        if self._is_eof:
            return b''
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except _CONNECTION_ERRORS:
            data = b''
        self._is_eof = not data
        return bytes(data)

    async def _discard_arrived(self) -> int:
        """Reads the bytes that have arrived by now; returns their number."""
        size = 0
        left = caller_sockets.count_unread_bytes(self._stream.socket)
        while size < left and (data := await self._receive()):
            size += len(data)
        return size

    async def _refuse(self, exc: errors.BadRequest) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            caller_sockets.reset_on_close(self._stream.socket)
            return
        responder = responder_lib.Responder(self._conn, self._stream)
        responder.closes_connection = True
        try:
            with self._server.wait_limit(LINGER_S):
                await responder.answer(exc.status, [], b'')
            if responder.is_finished:
                await self._linger()
        except _CONNECTION_ERRORS:
            caller_sockets.reset_on_close(self._stream.socket)

    async def _linger(self) -> None:
        """Lets the caller receive its answer before the connection is closed.

        Closing a socket with unread bytes, and bytes that arrive after the
        close, reset the connection, which discards the answer in transit.
        """
        sock = self._stream.socket
        if self._is_idle and not (
            caller_sockets.count_unread_bytes(sock)
            or caller_sockets.count_unacknowledged_bytes(sock)
        ):
            return
        idle_s = trio.current_time() - self._idle_since
        unread_bytes = 0
        # The caller may close the connection meanwhile.
        with contextlib.suppress(*_CONNECTION_ERRORS):
            with self._server.wait_limit(LINGER_S):
                await self._stream.send_eof()
                while data := await self._receive():
                    unread_bytes += len(data)
            # A late host finds the time over before it has read what came in
            # time.
            unread_bytes += await self._discard_arrived()
        if self._is_idle and unread_bytes:
            _AUDIT.log(
                events.CONNECTION_CLOSED_UNREAD,
                reason='host stops' if self._server.is_closing else 'idle',
                idle_s=round(idle_s, 3),
                unread_bytes=unread_bytes,
            )
