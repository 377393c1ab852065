"""HTTP/1.1 server for callers, based on `h11` and trio sockets.

An ASGI server isn't used because it lacks three required properties: a write to
a caller that has stopped reading can be cancelled, an aborted answer resets its
connection so that it isn't mistaken for a complete one, and a closed caller
connection is detected while the request is being served.
"""

import itertools
import socket
import typing

import trio

from sardinebend_gateway import caller_account
from sardinebend_gateway import caller_connections
from sardinebend_gateway import caller_sockets
from sardinebend_gateway import request_bodies
from sardinebend_policy import catalog

BACKLOG: typing.Final = 1024
ACCEPT_RETRY_S: typing.Final = 0.05
# Connections that are accepted before another task runs; each takes 0.1 ms.
MAX_ACCEPTED_AT_A_TIME: typing.Final = 64
# When a server closes, connections without a request in progress are kept for
# this long: a caller may have sent one already.
LAST_REQUEST_WAIT_S: typing.Final = 0.2
# Interval at which callers are checked that may be gone.
LOST_CHECK_INTERVAL_S: typing.Final = 1.0
# Budget for the request bodies of a server that shares none.
MAX_BODIES_BYTES: typing.Final = 32 * 1024 * 1024


class Server(caller_connections.Server):
    """HTTP server on one address."""

    def __init__(
        self,
        handler: caller_connections.Handler,
        limits: typing.Callable[[], catalog.Limits] = catalog.Limits,
        wait_limit: caller_connections.WaitLimit = trio.move_on_after,
        account: caller_account.CallerAccount | None = None,
    ) -> None:
        super().__init__(
            handler,
            limits,
            wait_limit,
            account or _make_account(),
        )
        self._callers: set[caller_connections.CallerConnection] = set()
        self._connection_ended = trio.Event()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._accept_scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        # Whether new connections take few bytes before they are read.
        self._is_narrow = False
        # Both are the listening socket. Only the first can be read without
        # waiting.
        self._socket: socket.socket | None = None
        self._listener: trio.socket.SocketType | None = None

    @property
    def port(self) -> int:
        """The port that it listens on; 0 before it has started."""
        return self._socket.getsockname()[1] if self._socket else 0

    async def start(self, nursery: trio.Nursery, ip: str, port: int) -> None:
        """Binds the address and starts accepting connections."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener = trio.socket.from_stdlib_socket(sock)
        await listener.bind((ip, port))
        sock.listen(BACKLOG)
        self._socket = sock
        self._listener = listener
        self._nursery = nursery
        nursery.start_soon(self._accept, listener)
        nursery.start_soon(self._watch_lost_callers)

    def begin_stop(self) -> None:
        """Makes answers tell callers to close their connections.

        Answers no longer wait for callers that read slowly.
        """
        self.is_stopping = True
        for caller in self._callers:
            caller.hand_over_unsent_bytes()

    def record_connection_end(
        self, caller: caller_connections.CallerConnection
    ) -> None:
        """Records that a connection has been closed."""
        self._callers.discard(caller)
        self.account.remove(caller)
        self._connection_ended.set()
        self._connection_ended = trio.Event()

    async def wait_closed(self) -> None:
        """Waits until all connections have been closed."""
        while self._callers:
            await self._connection_ended.wait()

    def close(self) -> None:
        """Stops accepting connections and closes those that are idle.

        Connections that wait to be accepted are accepted first, since closing
        the listening socket would reset them. Each idle connection may still
        bring one request.
        """
        self.begin_stop()
        self.is_closing = True
        for scope in self._idle_scopes:
            scope.deadline = trio.current_time() + LAST_REQUEST_WAIT_S
        self._accept_scope.cancel()
        if self._listener is None:
            return
        self._accept_waiting()
        self._listener.close()

    async def receive_unless_closing(
        self, receive: typing.Callable[[], typing.Awaitable[bytes]]
    ) -> bytes:
        """Receives bytes of the next request; none if the server closes."""
        # No nursery, whose end can be cancelled: bytes that have been received
        # would be lost if the caller's time limit passed meanwhile.
        scope = trio.CancelScope()
        if self.is_closing:
            scope.deadline = trio.current_time() + LAST_REQUEST_WAIT_S
        self._idle_scopes.add(scope)
        try:
            with scope:
                return await receive()
            return b''
        finally:
            self._idle_scopes.remove(scope)

    async def _watch_lost_callers(self) -> None:
        while True:
            await trio.sleep(LOST_CHECK_INTERVAL_S)
            now = trio.current_time()
            for caller in list(self._callers):
                caller.give_up_if_lost(now)

    async def _accept(self, listener: trio.socket.SocketType) -> None:
        with self._accept_scope:
            while True:
                try:
                    conn, _ = await listener.accept()
                except OSError:
                    # Out of file descriptors, or the caller disconnected
                    # before the accept.
                    await trio.sleep(ACCEPT_RETRY_S)
                    continue
                self._serve(conn)
                # One connection for each pass through all tasks would let them
                # pile up at a host that is late.
                self._accept_waiting(MAX_ACCEPTED_AT_A_TIME)

    def _accept_waiting(self, limit: int | None = None) -> None:
        """Accepts connections that wait to be accepted.

        Args:
            limit: The largest number of them; all if it is `None`.
        """
        assert self._socket is not None
        for _ in itertools.count() if limit is None else range(limit):
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            self._serve(trio.socket.from_stdlib_socket(conn))

    def _serve(self, conn: trio.socket.SocketType) -> None:
        assert self._nursery is not None
        caller = caller_connections.CallerConnection(
            self, trio.SocketStream(conn)
        )
        if self.is_stopping:
            caller.hand_over_unsent_bytes()
        if not self.account.add(caller):
            conn.close()
            return
        is_crowded = self.account.is_crowded
        if is_crowded:
            caller_sockets.limit_unread_bytes(conn)
        if is_crowded != self._is_narrow and self._socket is not None:
            # New connections have the option of the listening socket.
            caller_sockets.limit_unread_bytes(self._socket, is_crowded)
            self._is_narrow = is_crowded
        self._callers.add(caller)
        self._nursery.start_soon(caller.run)


def _make_account() -> caller_account.CallerAccount:
    return caller_account.CallerAccount(
        request_bodies.RequestBodies(lambda: MAX_BODIES_BYTES)
    )
