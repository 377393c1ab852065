"""One HTTP/1.1 connection of a caller, based on `h11` and trio sockets."""

import abc
import collections.abc
import contextlib
import socket
import typing

import h11
import trio

from sardinebend_gateway import audit
from sardinebend_gateway import caller_account
from sardinebend_gateway import caller_sockets
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import message_framing
from sardinebend_gateway import request_bodies
from sardinebend_gateway import request_reader
from sardinebend_gateway import responder as responder_lib
from sardinebend_policy import catalog

READ_BYTES: typing.Final = message_framing.BODY_READ_BYTES
# Bytes of a body that are read before another task runs; they take some 1 ms.
# A late host has few turns, so what has arrived is read at once.
MAX_READ_AT_A_TIME_BYTES: typing.Final = 1024 * 1024
# A caller may pipeline its next request. Reading pauses once more than this
# many bytes of it have arrived before the current one has ended.
MAX_EARLY_BYTES: typing.Final = 65536
CROWDED_EARLY_BYTES: typing.Final = 8192
# The kernel may hold as much for a connection that isn't read meanwhile.
PAUSED_BYTES: typing.Final = 128 * 1024
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
        account: What the connections of callers hold.
        bodies: The bodies of the requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], catalog.Limits],
        wait_limit: WaitLimit,
        account: caller_account.CallerAccount,
    ) -> None:
        self.in_flight = 0
        self.is_stopping = False
        self.is_closing = False
        self.handler = handler
        self.limits = limits
        self.wait_limit = wait_limit
        self.account = account
        self.bodies = account.bodies

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


class CallerConnection(caller_account.Holder):
    """Serves one connection of a caller."""

    def __init__(self, server: Server, stream: trio.SocketStream) -> None:
        self._server = server
        self._stream = stream
        limits = server.limits()
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        # Received, and not passed to the parser.
        self._arrived = bytearray()
        self._framing: message_framing.Framing = message_framing.Lines()
        # Upper limit for what the parser holds.
        self._parsed_bytes = 0
        self._next_turn_at = message_framing.MAX_CHUNKS_AT_A_TIME
        self._early_bytes = 0
        self._is_paused = False
        self._drops_early = False
        self._early_dropped = trio.Event()
        self._is_eof = False
        self._read_at_a_time = 0
        self._body: request_bodies.Body | None = None
        self._has_served = False
        self._is_ending = False
        self._discards_body = False
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
            status = await self._serve_all()
            if status:
                await self._refuse(status)
            else:
                await self._linger()
        except _CONNECTION_ERRORS as exc:
            self._reset(str(exc))
        except Exception:
            # A failure of one connection must not end the process, which also
            # serves the others.
            _AUDIT.log_error('a connection failed', **self._log_fields)
            self._reset('unexpected error')
        else:
            if not status and caller_sockets.count_unread_bytes(
                self._stream.socket
            ):
                self._log_reset('closed with unread bytes')
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)
            self._server.record_connection_end(self)

    async def _serve_all(self) -> int:
        """Serves requests; returns the status of the last one if it is refused.

        The traceback of an exception would hold pieces of the request.
        """
        try:
            while await self._serve_one():
                self._conn.start_next_cycle()
                self._early_bytes = 0
                self._log_fields = {}
        except errors.BadRequest as exc:
            return exc.status
        return 0

    @property
    def stage(self) -> caller_account.Stage:
        """What the connection is worth."""
        if self._is_ending:
            return caller_account.Stage.ENDED
        if self._responder is not None:
            if self._arrived or self._is_paused:
                return caller_account.Stage.EARLY
            if self._responder.unsent_bytes:
                return caller_account.Stage.UNREAD
            return caller_account.Stage.SERVED
        if self._body is not None or self._parsed_bytes:
            return caller_account.Stage.PARTIAL
        if self._has_served:
            return caller_account.Stage.IDLE
        return caller_account.Stage.SILENT

    @property
    def body_bytes(self) -> int:
        """What its body has of the budget for bodies."""
        return self._body.reserved_bytes if self._body is not None else 0

    def give_up(self) -> None:
        """Ends it, or drops what its caller has sent ahead."""
        if self.stage is caller_account.Stage.EARLY:
            self._drops_early = True
            self._is_paused = False
            self._arrived.clear()
            assert self._responder is not None
            self._responder.closes_connection = True
            self._early_dropped.set()
            self._note_held()
            return
        self._record_given_up('too much held by callers')
        if self._body is not None:
            self._body.give_up()
        self._server.account.remove(self)
        caller_sockets.reset_on_close(self._stream.socket)
        # Its descriptor is free at once; the tasks that use it wake up.
        self._stream.socket.close()

    def _note_held(self) -> None:
        """Tells the account what the connection holds."""
        self.stage_since = trio.current_time()
        responder = self._responder
        self._server.account.set_size(
            self,
            caller_account.CONNECTION_BYTES
            + self._parsed_bytes
            + len(self._arrived)
            + (responder.held_bytes if responder is not None else 0)
            + (PAUSED_BYTES if self._is_paused else 0),
        )

    def _release_parsed(self) -> None:
        """Forgets the bytes of a request that has ended, or been refused."""
        self._parsed_bytes = 0
        self._note_held()

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
        self._body = body
        try:
            await self._read_body(head, body)
            headers = list(head.headers)
            req = request_reader.Request(
                head.method, head.target, headers, body, arrived_at
            )
            responder = responder_lib.Responder(
                self._conn, self._stream, self._note_held
            )
            # A caller that waits with its body may send it or not, so what
            # comes next would be ambiguous.
            responder.closes_connection = (
                self._server.is_stopping
                or self._conn.they_are_waiting_for_100_continue
            )
            self._log_fields = responder.log_fields
            self._responder = responder
            if not body.is_refused:
                self._framing = message_framing.Lines()
            self._release_parsed()
            await self._handle(req, responder)
            if body.is_refused and responder.is_finished:
                await self._discard_body()
        finally:
            body.release()
            self._body = None
            self._has_served = True
            self._server.in_flight -= 1
        if not responder.is_finished:
            raise errors.ConnectionAborted('answer aborted before its end')
        return (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
            and not self._is_eof
            and not self._drops_early
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
        while self._early_bytes <= self._max_early and not self._drops_early:
            data = await self._receive()
            if not data:
                self._end_handler(scope, responder)
                return
            self._early_bytes += len(data)
            if not self._drops_early:
                self._arrived += data
                self._note_held()
        if not self._drops_early:
            self._is_paused = True
            self._note_held()
            await self._early_dropped.wait()
        while await caller_sockets.discard(self._stream.socket):
            pass
        self._end_handler(scope, responder)

    @property
    def _max_early(self) -> int:
        is_crowded = self._server.account.is_crowded
        return CROWDED_EARLY_BYTES if is_crowded else MAX_EARLY_BYTES

    def _end_handler(
        self, scope: trio.CancelScope, responder: responder_lib.Responder
    ) -> None:
        self._is_eof = True
        responder.is_caller_gone = True
        scope.cancel()

    async def _read_head(self) -> h11.Request | None:
        limits = self._server.limits()
        self._responder = None
        self._is_paused = False
        self._framing = message_framing.Lines()
        self._release_parsed()
        if not self._arrived:
            data = await self._receive_first(limits.idle_timeout_s)
            if not data:
                return None
            self._arrived += data
        self._parsed_bytes = len(self._arrived)
        self._note_held()
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
        self._framing = message_framing.Length(length)
        if request_reader.is_chunked(head):
            self._framing = message_framing.Chunked(limits.max_header_bytes)
            self._next_turn_at = message_framing.MAX_CHUNKS_AT_A_TIME
        self._release_parsed()
        if length > limits.max_body_bytes:
            self._discards_body = (
                not self._conn.they_are_waiting_for_100_continue
            )
            raise errors.BadRequest(413, 'request body too large')
        body.reserve(length)
        if (
            self._server.account.is_crowded
            and length > caller_sockets.UNREAD_BYTES
            and not body.is_refused
        ):
            caller_sockets.widen_window(self._stream.socket)
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
        self._is_ending = True
        limits = self._server.limits()
        with self._server.wait_limit(limits.idle_timeout_s):
            await request_reader.discard_body(
                self._next_event, limits.max_body_bytes
            )
        self._is_ending = False

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
            if (
                self._is_overdue
                and not self._arrived
                and not caller_sockets.count_unread_bytes(self._stream.socket)
            ):
                raise errors.BadRequest(408, 'timeout while reading a request')
            await self._feed(receive)

    async def _feed(
        self, receive: typing.Callable[[], typing.Awaitable[bytes]]
    ) -> None:
        """Passes what comes next of a request to the parser."""
        if not self._arrived:
            data = await receive()
            if not data:
                self._conn.receive_data(b'')
                return
            # Kept here in case that a time limit passes before its turn.
            self._arrived += data
        if self._framing.chunks >= self._next_turn_at:
            async with self._server.account.decoding:
                await trio.lowlevel.checkpoint()
            self._next_turn_at = (
                self._framing.chunks + message_framing.MAX_CHUNKS_AT_A_TIME
            )
        data = bytes(self._arrived)
        self._arrived.clear()
        used, rest = self._framing.take(data)
        self._arrived += rest
        if used:
            self._conn.receive_data(used)
        if self._body is None:
            self._parsed_bytes += len(used)
        self._note_held()

    async def _receive_body(self) -> bytes:
        """Receives bytes of a body; waits only if none have arrived.

        Only a few bytes are held besides those of the body, which has room for
        them, as each piece is added to it before the next one is read.
        """
        if self._read_at_a_time < MAX_READ_AT_A_TIME_BYTES:
            data = caller_sockets.read_arrived(
                self._stream.socket, self._framing.read_bytes
            )
            if data:
                self._read_at_a_time += len(data)
                return data
        self._read_at_a_time = 0
        return await self._receive()

    async def _receive(self) -> bytes:
        if self._is_eof:
            return b''
        try:
            data = await self._stream.receive_some(self._framing.read_bytes)
        except _CONNECTION_ERRORS:
            data = b''
        self._is_eof = not data
        return bytes(data)

    async def _discard_arrived(self) -> int:
        """Reads the bytes that have arrived by now; returns their number."""
        sock = self._stream.socket
        size = 0
        left = caller_sockets.count_unread_bytes(sock)
        while size < left and (count := await caller_sockets.discard(sock)):
            size += count
        return size

    async def _refuse(self, status: int) -> None:
        self._is_ending = True
        self._arrived.clear()
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            caller_sockets.reset_on_close(self._stream.socket)
            return
        # The parser may hold a part of the request.
        self._conn = h11.Connection(h11.SERVER)
        self._release_parsed()
        responder = responder_lib.Responder(self._conn, self._stream)
        responder.closes_connection = True
        try:
            with self._server.wait_limit(LINGER_S):
                await responder.answer(status, [], b'')
            if responder.is_finished:
                await self._discard_refused()
                await self._linger()
        except _CONNECTION_ERRORS:
            caller_sockets.reset_on_close(self._stream.socket)

    async def _discard_refused(self) -> None:
        """Lets a caller send a body that was refused by its stated size."""
        if not self._discards_body:
            return
        limits = self._server.limits()
        size = 0
        with self._server.wait_limit(limits.idle_timeout_s):
            while size <= limits.max_body_bytes:
                count = await caller_sockets.discard(self._stream.socket)
                if not count:
                    return
                size += count

    async def _linger(self) -> None:
        """Lets the caller receive its answer before the connection is closed.

        Closing a socket with unread bytes, and bytes that arrive after the
        close, reset the connection, which discards the answer in transit.
        """
        sock = self._stream.socket
        self._is_ending = True
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
                while count := await caller_sockets.discard(sock):
                    unread_bytes += count
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
