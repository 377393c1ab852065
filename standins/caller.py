"""Client of the entry hosts for the demonstration, tests and benchmarks."""

import json
import typing

import trio

from sardinebend_store import connections

TIMEOUT_S: typing.Final = 30.0


class StreamResult(typing.NamedTuple):
    """The part of a streamed draft that a caller received.

    Attributes:
        status: HTTP status.
        text: The received part of the answer.
        tokens: Number of tokens according to the final event; -1 without one.
        error: The error event or problem document; `None` without one.
        token_times: Arrival time of each chunk, in seconds since the start.
        request_id: ID that the host gave to the request.
    """

    status: int
    text: str
    tokens: int
    error: dict[str, typing.Any] | None
    token_times: tuple[float, ...]
    request_id: str


class Caller:
    """Client of one entry host with the key of one customer."""

    def __init__(self, url: str, key: str) -> None:
        self._origin = connections.Origin(url)
        self._key = key

    def _headers(self, **extra: str) -> list[tuple[bytes, bytes]]:
        headers = [
            (b'authorization', f'Bearer {self._key}'.encode()),
            (b'content-type', b'application/json'),
        ]
        for name, value in extra.items():
            headers.append((name.replace('_', '-').encode(), value.encode()))
        return headers

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        **headers: str,
    ) -> tuple[int, typing.Any]:
        """Makes one JSON request and returns status and decoded body."""
        data = b'' if body is None else json.dumps(body).encode()
        reply = await self._origin.exchange(
            method,
            path,
            self._headers(**headers),
            data,
            timeout_s=TIMEOUT_S,
            new_connection=True,
        )
        value = json.loads(reply.body) if reply.body else None
        return reply.status, value

    async def operate(
        self, operation: str, body: typing.Any, key: str = ''
    ) -> tuple[int, typing.Any]:
        """Calls an operation of the booking service."""
        path = f'/v1/services/bookings/{operation}'
        headers = {'idempotency_key': key} if key else {}
        return await self.call('POST', path, body, **headers)

    async def draft(
        self,
        prompt: str,
        max_tokens: int,
        disconnect_after_tokens: int | None = None,
    ) -> StreamResult:
        """Requests a draft: an answer that a model streams token by token.

        Disconnects after `disconnect_after_tokens` tokens if given.
        """
        body = {
            'model': 'assistant',
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        conn = await self._origin.connect(TIMEOUT_S)
        try:
            async with conn.stream(
                'POST',
                '/v1/completions',
                self._headers(),
                json.dumps(body).encode(),
            ) as response:
                return await _read_stream(response, disconnect_after_tokens)
        finally:
            await conn.close()


async def _read_stream(
    response: typing.Any, disconnect_after_tokens: int | None
) -> StreamResult:
    start = trio.current_time()
    header_values = {name.lower(): value for name, value in response.headers}
    request_id = header_values.get(b'x-request-id', b'').decode()
    if response.status != 200:
        data = b''.join([chunk async for chunk in response.aiter_stream()])
        problem = json.loads(data) if data else {}
        return StreamResult(response.status, '', -1, problem, (), request_id)
    texts: list[str] = []
    times: list[float] = []
    tokens, error, buffer = -1, None, b''
    async for chunk in response.aiter_stream():
        *events, buffer = (buffer + chunk).split(b'\n\n')
        for event in events:
            text, count, problem = _read_event(event)
            if text:
                texts.append(text)
                times.append(trio.current_time() - start)
            tokens = count if count is not None else tokens
            error = problem or error
        if (
            disconnect_after_tokens is not None
            and len(texts) >= disconnect_after_tokens
        ):
            break
    return StreamResult(
        200, ''.join(texts), tokens, error, tuple(times), request_id
    )


def _read_event(
    event: bytes,
) -> tuple[str, int | None, dict[str, typing.Any] | None]:
    """Returns text, final token count and error of one server-sent event."""
    is_error = event.startswith(b'event: error')
    _, _, data = event.partition(b'data: ')
    if not data or data == b'[DONE]':
        return '', None, None
    value = json.loads(data)
    if is_error:
        return '', None, value
    count = value.get('usage', {}).get('completion_tokens')
    return value['choices'][0]['text'], count, None
