"""HTTP connections that are opened explicitly and never resend a request.

A caller of this module always knows whether a request may have been sent:
connecting is a separate step, and an exchange on an open connection is tried
once. `httpcore`'s pool isn't used: its cost per request grows with the number
of its connections, and it opens connections without the caller's knowledge.
"""

import collections.abc
import contextlib
import ipaddress
import socket
import ssl
import typing
import urllib.parse

import httpcore
import httpcore._backends.trio as httpcore_trio
import trio

from sardinebend_store import errors
from sardinebend_store import held_replies
from sardinebend_store import reply_heads

MAX_IDLE_CONNECTIONS: typing.Final = 8
# A table's change may hold a configuration, of which peers relay up to 16 MB.
MAX_REPLY_BYTES: typing.Final = 16 * 1024 * 1024
MAX_QUOTED_CHARS: typing.Final = 80
IDLE_TIMEOUT_S: typing.Final = 20.0

Headers = typing.Sequence[tuple[bytes, bytes]]
# Raises `trio.TooSlowError` if its block takes longer than a number of seconds.
WaitLimit = typing.Callable[
    [float], contextlib.AbstractContextManager[typing.Any]
]

_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Content(typing.Protocol):
    """A request body in pieces.

    Attributes:
        size: Number of bytes of all pieces.
    """

    size: int

    def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Returns the pieces."""


class Reply(typing.NamedTuple):
    """A complete HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes


class ExchangeEnd(typing.NamedTuple):
    """What is known of the end of an exchange.

    Attributes:
        ends_with_connection: Whether nothing but the end of the connection
            ended the reply.
        send_failure: The error that ended the sending of the request; empty if
            there was none.
    """

    ends_with_connection: bool = False
    send_failure: str = ''


class Connection:
    """One open HTTP/1.1 connection to one origin."""

    def __init__(
        self,
        origin: 'Origin',
        conn: reply_heads.LimitedConnection,
        stream: httpcore.AsyncNetworkStream,
    ) -> None:
        self._origin = origin
        self._conn = conn
        self._stream = stream

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str | bytes,
        path: str | bytes,
        headers: Headers = (),
        body: bytes | Content = b'',
    ) -> collections.abc.AsyncGenerator[httpcore.Response, None]:
        """Sends a request and yields the response once its headers are read.

        A `host` among the headers replaces that of the origin; `path` is sent
        unchanged.

        Raises:
            errors.ExchangeFailed: The connection failed; the request may have
                been received.
        """
        size = len(body) if isinstance(body, bytes) else body.size
        default_headers = [(b'content-length', str(size).encode())]
        if not any(name == b'host' for name, _ in headers):
            default_headers.append((b'host', self._origin.host_header))
        req = httpcore.Request(
            method,
            self._origin.make_url(path),
            headers=[*default_headers, *headers],
            content=body,
        )
        try:
            response = await self._conn.handle_async_request(req)
        except _CONNECTION_ERRORS as exc:
            raise _make_failure(exc) from exc
        try:
            yield response
        except _CONNECTION_ERRORS as exc:
            raise errors.ExchangeFailed(format_exception(exc)) from exc
        finally:
            with trio.CancelScope(
                shield=True, deadline=trio.current_time() + 1
            ):
                await response.aclose()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b'',
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> Reply:
        """Sends a request once and returns the complete reply.

        Raises:
            errors.ReplyTooLarge: The reply's body is larger than `max_bytes`,
                or was dropped to free memory.
            errors.ExchangeFailed: The connection failed; the request may have
                been received.
        """
        async with self.stream(method, path, headers, body) as response:
            with held_replies.REPLIES.open(max_bytes) as held:
                async for chunk in response.aiter_stream():
                    await held.add(chunk)
                reply_body = held.complete()
            header_values = {
                name.decode('latin-1').lower(): value.decode('latin-1')
                for name, value in response.headers
            }
            return Reply(response.status, header_values, reply_body)

    @property
    def exchange_end(self) -> ExchangeEnd:
        """What is known of the end of the last exchange."""
        return ExchangeEnd(
            self._conn.ends_with_connection, self._conn.send_failure
        )

    def is_reusable(self) -> bool:
        """Returns whether another request can be sent on this connection.

        Bytes beyond a reply would be read as the beginning of the next one.
        """
        return (
            self._conn.is_idle()
            and not self._conn.has_expired()
            and not self._has_unread_bytes()
        )

    async def has_further_bytes(self, wait_s: float) -> bool:
        """Returns whether bytes follow a reply that has been read completely.

        A closed connection has only those that had arrived by then. Bytes that
        it waited for are lost.

        Args:
            wait_s: How long to wait for bytes that haven't arrived yet.
        """
        if self._has_unread_bytes():
            return True
        with trio.move_on_after(wait_s):
            try:
                return bool(await self._stream.read(1))
            except _CONNECTION_ERRORS:
                return False
        return False

    async def ends_within(self, wait_s: float) -> bool:
        """Returns whether the other side ends an idle connection within a time.

        Bytes that it sends meanwhile are lost.
        """
        with trio.move_on_after(wait_s):
            try:
                return not await self._stream.read(1)
            except _CONNECTION_ERRORS:
                return True
        return False

    def _has_unread_bytes(self) -> bool:
        # `httpcore` has no public way to learn of them.
        return bool(self._conn._h11_state.trailing_data[0])

    async def close(self) -> None:
        """Closes the connection, within at most a second."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._conn.aclose()


class Origin:
    """HTTP client of one origin, with a small pool of idle connections.

    An origin is a scheme, a host and a port.

    Attributes:
        url: The origin as text, without a path.
        host_header: Value of the `Host` header.
    """

    def __init__(
        self,
        url: str,
        tls: ssl.SSLContext | None = None,
        fail_after: WaitLimit = trio.fail_after,
    ) -> None:
        """Creates a client without a connection.

        Args:
            url: The origin, as text.
            tls: How to verify a server whose URL is of `https`.
            fail_after: Limits how long an exchange waits.
        """
        self.url = url
        self._fail_after = fail_after
        self.host_header = b''
        self._secure = False
        self._host = ''
        self._port = 0
        self._parse_url()
        self._tls = tls
        self._idle: list[tuple[float, Connection]] = []

    def _parse_url(self) -> None:
        """Sets the parts of the URL; an invalid one leaves no host."""
        try:
            parts = urllib.parse.urlsplit(self.url)
            secure = parts.scheme == 'https'
            port = parts.port
            host_header = parts.netloc.encode()
        except ValueError:
            # The URL may have come from another program. `connect` fails.
            return
        if port == 0:
            return
        self.url = f'{parts.scheme}://{parts.netloc}'
        self.host_header = host_header
        self._secure = secure
        self._host = parts.hostname or ''
        self._port = port or (443 if secure else 80)

    def make_url(self, target: str | bytes) -> httpcore.URL:
        """Returns the URL of a path and query, without normalising them."""
        return httpcore.URL(
            scheme='https' if self._secure else 'http',
            host=self._host,
            port=self._port,
            target=target,
        )

    @property
    def idle_count(self) -> int:
        """Number of idle connections in the pool."""
        return len(self._idle)

    async def connect(self, timeout_s: float) -> Connection:
        """Opens a new connection.

        Raises:
            errors.ConnectFailed: Connecting failed; nothing was sent.
        """
        if not self._host:
            raise errors.ConnectFailed(
                f'{self.url[:MAX_QUOTED_CHARS]!r} is not the URL of a host'
            )
        try:
            with self._fail_after(timeout_s):
                stream = await self._open_stream()
        # A `ValueError` is a host name that can't be encoded.
        except (*_CONNECTION_ERRORS, trio.TooSlowError, ValueError) as exc:
            text = f'{self.url}: {format_exception(exc)}'
            raise errors.ConnectFailed(
                text, is_connection_refused(exc)
            ) from exc
        scheme = 'https' if self._secure else 'http'
        origin = httpcore.Origin(
            scheme.encode(), self._host.encode(), self._port
        )
        network_stream = httpcore_trio.TrioStream(stream)
        conn = reply_heads.LimitedConnection(origin, network_stream)
        return Connection(self, conn, network_stream)

    async def _open_stream(self) -> trio.abc.Stream:
        stream = await _connect_tcp(self._host, self._port)
        if not self._secure:
            return stream
        # `httpcore` would take the end of the connection for an orderly end of
        # TLS, and a part of a reply without a length for a whole one (RFC 9112,
        # section 9.8).
        tls_stream = trio.SSLStream(
            stream,
            self._tls or ssl.create_default_context(),
            server_hostname=self._host,
        )
        try:
            await tls_stream.do_handshake()
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return tls_stream

    async def acquire(self, timeout_s: float) -> Connection:
        """Returns an idle connection, or opens a new one."""
        oldest_usable = trio.current_time() - IDLE_TIMEOUT_S
        while self._idle:
            since, conn = self._idle.pop()
            if since >= oldest_usable and conn.is_reusable():
                return conn
            await conn.close()
        return await self.connect(timeout_s)

    async def release(self, conn: Connection) -> None:
        """Returns a connection to the pool, or closes it."""
        if conn.is_reusable() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((trio.current_time(), conn))
        else:
            await conn.close()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: Headers = (),
        body: bytes = b'',
        *,
        timeout_s: float,
        new_connection: bool = False,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> Reply:
        """Makes one exchange, on an idle connection or a new one.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Headers besides `host` and `content-length`.
            body: Request body.
            timeout_s: Time-out of the exchange, including connecting.
            new_connection: Whether to open one even if another is idle.
            max_bytes: Largest size of the reply's body.

        Raises:
            errors.ConnectFailed: Connecting failed; nothing was sent.
            errors.ExchangeFailed: The exchange failed; the request may have
                been received.
        """
        open_connection = self.connect if new_connection else self.acquire
        conn: Connection | None = None
        done = False
        try:
            with self._fail_after(timeout_s):
                conn = await open_connection(timeout_s)
                reply = await conn.exchange(
                    method, path, headers, body, max_bytes
                )
                done = True
        except trio.TooSlowError as exc:
            text = f'{self.url}: timed out'
            if conn is None:
                raise errors.ConnectFailed(text) from exc
            raise errors.ExchangeFailed(text) from exc
        finally:
            if conn is not None and not done:
                await conn.close()
        await self.release(conn)
        return reply

    async def drop_idle(self) -> None:
        """Closes all idle connections, for instance after one timed out."""
        idle, self._idle = self._idle, []
        for _, conn in idle:
            await conn.close()

    async def close(self) -> None:
        """Closes the idle connections."""
        await self.drop_idle()


async def _connect_tcp(host: str, port: int) -> trio.SocketStream:
    """Connects to a host.

    The library tries all addresses of a name beside each other, which takes
    several passes through the tasks of this process. A late one would find that
    each connect times out, so an address is connected to directly.
    """
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return await trio.open_tcp_stream(host, port)
    family = socket.AF_INET if address.version == 4 else socket.AF_INET6
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def _make_failure(exc: BaseException) -> errors.ExchangeFailed:
    """Returns the error for a reply whose head couldn't be read."""
    # The parser sets this hint when a head exceeds the size of its buffer.
    hint = getattr(exc.__cause__, 'error_status_hint', None)
    if hint == reply_heads.STATUS_HEAD_TOO_LARGE:
        return errors.ReplyTooLarge(format_exception(exc))
    return errors.ExchangeFailed(format_exception(exc))


def format_exception(exc: BaseException) -> str:
    """Returns the type and text of an error."""
    return f'{type(exc).__name__}: {exc}'


def is_connection_refused(exc: BaseException | None) -> bool:
    """Returns whether an error was caused by a refused connection."""
    while exc is not None:
        if isinstance(exc, ConnectionRefusedError):
            return True
        if isinstance(exc, BaseExceptionGroup):
            return any(is_connection_refused(item) for item in exc.exceptions)
        exc = exc.__cause__ or exc.__context__
    return False
