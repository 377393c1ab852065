"""Web application with fault injection that all stand-ins share."""

import collections.abc
import signal
import sys
import typing
import urllib.parse

import msgspec
import trio

from sardinebend_router import asgi
from sardinebend_store import connections
from sardinebend_store import errors

MAX_BODY_BYTES: typing.Final = 64 * 1024 * 1024


class Faults(typing.TypedDict, total=False):
    """Faults that a stand-in injects on request.

    Attributes:
        down: Answers every call with status 503, without effect.
        delay_s: Delays every call by this many seconds.
        lose_replies: Number of calls that take effect but whose connection
            is closed without a reply.
        late_s: Delay, in seconds, of the effect of a call counted in
            `lose_replies`; 0: the effect comes before the connection closes.
        silent: Accepts calls and never answers them.
        status: Answers every call with this status, without effect.
    """

    down: bool
    delay_s: float
    lose_replies: int
    late_s: float
    silent: bool
    status: int


class Request(typing.NamedTuple):
    """An HTTP request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    receive: asgi.Receive
    send: asgi.Send

    def json(self) -> typing.Any:
        """Returns the body decoded from JSON."""
        return msgspec.json.decode(self.body)


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[tuple[int, typing.Any] | None]
]


class WebApp:
    """Dispatches requests by method and first matching path prefix.

    A handler returns status and value, or `None` if it has sent its own reply.
    """

    def __init__(self) -> None:
        self.faults: Faults = {}
        self.nursery: trio.Nursery | None = None
        self._routes: list[tuple[str, str, Handler, bool]] = []
        self.add('POST', '/faults', self._set_faults, subject_to_faults=False)

    def add(
        self,
        method: str,
        prefix: str,
        handler: Handler,
        subject_to_faults: bool = True,
    ) -> None:
        """Adds a handler.

        Args:
            method: HTTP method.
            prefix: Prefix of the path.
            handler: The handler.
            subject_to_faults: Whether the faults in `faults` affect calls of
                the handler.
        """
        self._routes.append((method, prefix, handler, subject_to_faults))

    def make_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns further headers of the replies of handlers."""
        return []

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one ASGI connection."""
        if scope['type'] == 'lifespan':
            await asgi.run_lifespan(receive, send)
            return
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
        path = scope['raw_path'].decode().partition('?')[0]
        query = urllib.parse.parse_qsl(
            scope['query_string'].decode(), keep_blank_values=True
        )
        headers = {k.decode(): v.decode() for k, v in scope['headers']}
        req = Request(
            scope['method'], path, dict(query), headers, body, receive, send
        )
        for method, prefix, handler, subject_to_faults in self._routes:
            if method == req.method and path.startswith(prefix):
                await self._run(handler, req, subject_to_faults)
                return
        await asgi.send_json(send, 404, {'error': f'no {req.method} {path}'})

    async def _run(
        self, handler: Handler, req: Request, subject_to_faults: bool
    ) -> None:
        faults = self.faults if subject_to_faults else Faults()
        await trio.sleep(faults.get('delay_s', 0))
        if faults.get('silent'):
            await trio.sleep_forever()
        if faults.get('down') or 'status' in faults:
            status = faults.get('status', 503)
            await asgi.send_json(req.send, status, {'error': 'fault'})
            return
        if faults.get('lose_replies', 0) > 0:
            self.faults['lose_replies'] -= 1
            await self._lose_reply(handler, req)
            return
        answer = await handler(req)
        if answer is not None:
            await asgi.send_json(req.send, *answer, self.make_headers())

    async def _lose_reply(self, handler: Handler, req: Request) -> None:
        """Runs the handler, now or later, and drops the connection."""
        late_s = self.faults.get('late_s', 0)
        if late_s and self.nursery is not None:
            self.nursery.start_soon(self._run_delayed, handler, req, late_s)
        else:
            await handler(req)
        # The server closes the connection when an application starts a reply
        # and returns without its body.
        headers = [(b'content-length', b'1')]
        await asgi.start_reply(req.send, 200, 'text/plain', headers)

    async def _run_delayed(
        self, handler: Handler, req: Request, late_s: float
    ) -> None:
        await trio.sleep(late_s)
        await handler(req)

    async def _set_faults(self, req: Request) -> tuple[int, typing.Any]:
        self.faults = msgspec.convert(req.json(), Faults)
        return 200, self.faults


async def run(app: WebApp, address: str, port: int) -> None:
    """Serves until SIGTERM or SIGINT."""
    sock = asgi.listen(address, port)
    print(f'listening on {sock.getsockname()}', file=sys.stderr, flush=True)
    shutdown = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            app.nursery = nursery

            async def stop() -> None:
                async for _ in signals:
                    shutdown.set()
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop)
            await asgi.serve(app, sock, shutdown=shutdown)


async def fetch_forward_port(url: str) -> int:
    """Returns the port for tokens forwarded by the previous stage.

    An engine reports it in `/health` as `hand_on_port`.
    """
    origin = connections.Origin(url)
    try:
        reply = await origin.exchange('GET', '/health', timeout_s=2.0)
    except errors.PlatformError as exc:
        raise OSError(str(exc)) from exc
    finally:
        await origin.close()
    return msgspec.json.decode(reply.body)['hand_on_port']
