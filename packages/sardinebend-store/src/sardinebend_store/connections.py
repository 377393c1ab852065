"""HTTP connections: opened explicitly, never resent upon by themselves.

A caller of this module always learns whether a request can have left: opening
is a step of its own, and an exchange on an open connection is tried once.
`httpcore`'s pool isn't used: its cost per request grows with the number of
its connections, and it opens connections out of sight.
"""

import collections.abc
import contextlib
import ssl
import typing
import urllib.parse

import httpcore
import trio

from sardinebend_store import errors

MAX_IDLE: typing.Final = 8
MAX_REPLY_BYTES: typing.Final = 64 * 1024 * 1024
IDLE_LIMIT_S: typing.Final = 20.0
HEAD_TOO_LARGE: typing.Final = 431
# One is usual, where a server takes its time over a long request.
MAX_INTERIM: typing.Final = 8
INTERIM_MARK: typing.Final = b'HTTP/1.1 1'

Headers = typing.Sequence[tuple[bytes, bytes]]

_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Reply(typing.NamedTuple):
    """A whole HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes


class _GuardedStream(httpcore.AsyncNetworkStream):
    """A network stream on which an answer's head has to come at some point.

    The client below reads interim answers for ever, thousands of them without
    letting another task run.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._interim: int | None = None

    def expect_head(self) -> None:
        """Counts interim answers from now on."""
        self._interim = 0

    def end_head(self) -> None:
        """Stops counting."""
        self._interim = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes."""
        data = await self._stream.read(max_bytes, timeout)
        if self._interim is not None:
            self._interim += data.count(INTERIM_MARK)
            if self._interim > MAX_INTERIM:
                raise httpcore.RemoteProtocolError('interim answers, no end')
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Goes on encrypted."""
        return await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )

    def get_extra_info(self, info: str) -> typing.Any:
        """Returns what is known of the connection."""
        return self._stream.get_extra_info(info)


class Connection:
    """One open HTTP/1.1 connection to one origin."""

    def __init__(
        self,
        origin: 'Origin',
        conn: httpcore.AsyncHTTP11Connection,
        stream: _GuardedStream,
    ) -> None:
        self._origin = origin
        self._conn = conn
        self._stream = stream
        self._idle_since = 0.0

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str | bytes,
        path: str | bytes,
        headers: Headers = (),
        body: bytes = b'',
    ) -> collections.abc.AsyncGenerator[httpcore.Response, None]:
        """Sends a request and yields the response once its headers came.

        A `host` among the headers goes before that of the origin; `path` is
        sent as it is.

        Raises:
            errors.ExchangeFailed: The connection failed; the request may
                have reached the other end.
        """
        fixed = [(b'content-length', str(len(body)).encode())]
        if not any(name == b'host' for name, _ in headers):
            fixed.append((b'host', self._origin.host_header))
        req = httpcore.Request(
            method,
            self._origin.make_url(path),
            headers=[*fixed, *headers],
            content=body,
        )
        self._stream.expect_head()
        try:
            response = await self._conn.handle_async_request(req)
        except _FAILURES as exc:
            raise _make_failure(exc) from exc
        finally:
            self._stream.end_head()
        try:
            yield response
        except _FAILURES as exc:
            raise errors.ExchangeFailed(describe(exc)) from exc
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
        """Sends a request once and returns the whole reply.

        Raises:
            errors.ReplyTooLarge: The reply's body is larger than `max_bytes`.
            errors.ExchangeFailed: As above.
        """
        async with self.stream(method, path, headers, body) as response:
            chunks = []
            size = 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > max_bytes:
                    raise errors.ReplyTooLarge('the reply is too large')
                chunks.append(chunk)
            pairs = {
                name.decode('latin-1').lower(): value.decode('latin-1')
                for name, value in response.headers
            }
            return Reply(response.status, pairs, b''.join(chunks))

    def is_reusable(self) -> bool:
        """Tells whether another request can be sent on this connection."""
        return self._conn.is_idle() and not self._conn.has_expired()

    async def close(self) -> None:
        """Closes the connection at once."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._conn.aclose()


class Origin:
    """One scheme, address and port, with a small set of idle connections.

    Attributes:
        url: The origin as text, without a path.
        host_header: Value of the `Host` header.
    """

    def __init__(self, url: str, tls: ssl.SSLContext | None = None) -> None:
        parts = urllib.parse.urlsplit(url)
        self.url = f'{parts.scheme}://{parts.netloc}'
        self.host_header = parts.netloc.encode()
        self._secure = parts.scheme == 'https'
        self._host = parts.hostname or ''
        self._port = parts.port or (443 if self._secure else 80)
        self._tls = tls
        self._idle: list[tuple[float, Connection]] = []

    def make_url(self, target: str | bytes) -> httpcore.URL:
        """Returns the URL of a path and query, which aren't normalised."""
        return httpcore.URL(
            scheme='https' if self._secure else 'http',
            host=self._host,
            port=self._port,
            target=target,
        )

    @property
    def idle_count(self) -> int:
        """Number of idle connections that are kept."""
        return len(self._idle)

    async def connect(self, timeout_s: float) -> Connection:
        """Opens a new connection.

        Raises:
            errors.ConnectFailed: It couldn't be opened; nothing was sent.
        """
        backend = httpcore.TrioBackend()
        try:
            with trio.fail_after(timeout_s):
                stream = await backend.connect_tcp(self._host, self._port)
                if self._secure:
                    context = self._tls or ssl.create_default_context()
                    stream = await stream.start_tls(context, self._host)
        except (*_FAILURES, trio.TooSlowError) as exc:
            text = f'{self.url}: {describe(exc)}'
            raise errors.ConnectFailed(text, was_refused(exc)) from exc
        scheme = 'https' if self._secure else 'http'
        origin = httpcore.Origin(
            scheme.encode(), self._host.encode(), self._port
        )
        guarded = _GuardedStream(stream)
        conn = httpcore.AsyncHTTP11Connection(origin, guarded)
        return Connection(self, conn, guarded)

    async def take(self, timeout_s: float) -> Connection:
        """Returns an idle connection, or opens a new one."""
        oldest = trio.current_time() - IDLE_LIMIT_S
        while self._idle:
            since, conn = self._idle.pop()
            if since >= oldest and conn.is_reusable():
                return conn
            await conn.close()
        return await self.connect(timeout_s)

    async def give_back(self, conn: Connection) -> None:
        """Keeps a connection for later use, or closes it."""
        if conn.is_reusable() and len(self._idle) < MAX_IDLE:
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
        fresh: bool = False,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> Reply:
        """Makes one exchange on an idle or a new connection.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Headers besides host and length.
            body: Request body.
            timeout_s: Bound on the exchange, connecting included.
            fresh: Whether a new connection is wanted.
            max_bytes: Largest body of a reply.

        Raises:
            errors.ConnectFailed: Nothing was sent.
            errors.ExchangeFailed: The request may have been received.
        """
        start = trio.current_time()
        conn = await (self.connect if fresh else self.take)(timeout_s)
        left = max(0.001, timeout_s - (trio.current_time() - start))
        done = False
        try:
            with trio.fail_after(left):
                reply = await conn.exchange(
                    method, path, headers, body, max_bytes
                )
                done = True
        except trio.TooSlowError as exc:
            raise errors.ExchangeFailed(f'{self.url}: timed out') from exc
        finally:
            if not done:
                await conn.close()
        await self.give_back(conn)
        return reply

    async def drop_idle(self) -> None:
        """Closes every idle connection, for instance after a silent one."""
        idle, self._idle = self._idle, []
        for _, conn in idle:
            await conn.close()

    async def close(self) -> None:
        """Closes what is idle."""
        await self.drop_idle()


def _make_failure(exc: BaseException) -> errors.ExchangeFailed:
    """Returns the error for a reply whose head didn't come whole."""
    # The parser gives up on a head that outgrows its buffer with this hint.
    hint = getattr(exc.__cause__, 'error_status_hint', None)
    if hint == HEAD_TOO_LARGE:
        return errors.ReplyTooLarge(describe(exc))
    return errors.ExchangeFailed(describe(exc))


def describe(exc: BaseException) -> str:
    """Returns the type and text of an error."""
    return f'{type(exc).__name__}: {exc}'


def was_refused(exc: BaseException | None) -> bool:
    """Tells whether an error goes back to a refused connection."""
    while exc is not None:
        if isinstance(exc, ConnectionRefusedError):
            return True
        if isinstance(exc, BaseExceptionGroup):
            return any(was_refused(item) for item in exc.exceptions)
        exc = exc.__cause__ or exc.__context__
    return False
