"""One HTTP exchange with a caller: parsing, watching, replying."""

import secrets
import typing
import urllib.parse

import msgspec
import trio

from sardinebend_policy import outcomes
from sardinebend_router import asgi
from sardinebend_router import errors
from sardinebend_router import problems

Shape = typing.TypeVar('Shape')

REQUEST_ID_HEADER: typing.Final = b'x-request-id'
TIMEOUT_HEADER: typing.Final = 'request-timeout'


class CallerWatch:
    """Knows whether a caller is still there.

    Attributes:
        left: Set once the caller is gone.
    """

    def __init__(self) -> None:
        self.left = trio.Event()
        self._functions: list[typing.Callable[[], None]] = []

    def on_left(self, function: typing.Callable[[], None]) -> None:
        """Calls a function once the caller is gone."""
        if self.left.is_set():
            function()
        else:
            self._functions.append(function)

    def note_left(self) -> None:
        """Takes in that the caller left, cancelled or stopped reading."""
        if self.left.is_set():
            return
        self.left.set()
        for function in self._functions:
            function()


class Call:
    """One exchange.

    Attributes:
        request_id: Made by this host for each exchange.
        method: HTTP method.
        path: Path without the query.
        query: Query parameters.
        headers: Request headers, names in lower case.
        caller: Knows whether the caller is still there.
        has_started: Whether the reply's status was sent.
    """

    def __init__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        self.request_id = secrets.token_hex(12)
        self.method: str = scope['method']
        self.path: str = scope['path']
        query = scope['query_string'].decode('latin-1')
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in scope['headers']
        }
        self.caller = CallerWatch()
        self.has_started = False
        self._receive = receive
        self._send = send

    # Reading.

    async def read_body(self, limit: int, wait_s: float) -> bytes:
        """Returns the whole body; see `asgi.read_body`."""
        return await asgi.read_body(self._receive, limit, wait_s)

    def read_timeout_s(self, limit_s: float) -> float:
        """Returns the time for which the caller waits.

        Raises:
            errors.BadRequest: The header isn't a number within bounds.
        """
        text = self.headers.get(TIMEOUT_HEADER)
        if text is None:
            return limit_s
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 < value <= limit_s:
            raise errors.BadRequest(
                f'{TIMEOUT_HEADER}: {text[:40]!r}; expected seconds above 0 '
                f'up to {limit_s:g}'
            )
        return value

    # Watching.

    async def watch(self) -> None:
        """Waits for the caller to go; run it once the body was read."""
        while (await self._receive())['type'] != 'http.disconnect':
            pass
        self.caller.note_left()

    # Replying.

    async def start(
        self, status: int, content_type: str, headers: asgi.Headers
    ) -> None:
        """Sends status and headers of a streamed reply."""
        self.has_started = True
        await asgi.start_reply(
            self._send, status, content_type, [*headers, self._id_header()]
        )

    async def write(self, data: bytes, more: bool = True) -> None:
        """Sends a part of a streamed reply."""
        await asgi.send_chunk(self._send, data, more)

    async def reply(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: typing.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a whole reply."""
        self.has_started = True
        await asgi.send_reply(
            self._send,
            status,
            content_type,
            body,
            [*headers, self._id_header()],
        )

    async def reply_json(self, status: int, value: typing.Any) -> None:
        """Sends a whole reply in JSON."""
        body = msgspec.json.encode(value)
        await self.reply(status, 'application/json', body)

    async def reply_problem(self, problem: problems.Problem) -> None:
        """Sends a refusal."""
        await self.reply(
            problem['status'],
            problems.CONTENT_TYPE,
            msgspec.json.encode(problem),
            problems.make_headers(problem),
        )

    async def reply_outcome(self, outcome: outcomes.Outcome) -> None:
        """Sends the end of a call to a plain service."""
        if isinstance(outcome, outcomes.Answered):
            content_type = outcome.content_type or 'application/octet-stream'
            await self.reply(outcome.status, content_type, outcome.body)
            return
        await self.reply_problem(
            problems.from_outcome(outcome, self.request_id)
        )

    def _id_header(self) -> tuple[bytes, bytes]:
        return (REQUEST_ID_HEADER, self.request_id.encode())


def parse_json(body: bytes, shape: type[Shape]) -> Shape:
    """Returns a body as a typed value.

    Raises:
        errors.MalformedBody: It isn't JSON in UTF-8 of this shape.
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MalformedBody(str(exc)) from exc
