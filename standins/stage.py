"""One pipeline stage of a stand-in engine.

It runs the layers of the stage, records each token and forwards it to the next
stage.
"""

import collections
import collections.abc
import contextlib
import os
import time
import typing

import msgspec
import trio

from standins import web
from standins import words

PREFIX_CHARS: typing.Final = 64
MAX_LINE_BYTES: typing.Final = 1024 * 1024
PREFILL_COST_FACTOR: typing.Final = 2.0


class RouteStage(typing.TypedDict):
    """One stage of a request's route."""

    endpoint: str
    url: str
    first_layer: int
    end_layer: int


class Order(typing.TypedDict):
    """An order to run a request through the stages of a route.

    `position` is the index in `route` of the stage that receives the order,
    `start_index` the index of the first token to generate, and `deadline_s`
    the number of seconds left from receipt of the order.
    """

    request: str
    attempt: int
    model: str
    model_version: str
    layers: int
    route: list[RouteStage]
    position: int
    prompt: str
    start_index: int
    delivered: list[str]
    max_tokens: int
    deadline_s: float
    priority: int


class EngineSpec(typing.NamedTuple):
    """The layers that an engine holds, and its speed."""

    endpoint: str
    model: str
    model_version: str
    first_layer: int
    end_layer: int
    layer_cost_us: float
    batch_slots: int


class StageLost(Exception):
    """Raised when the next stage, or a later one, has failed."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        super().__init__(endpoint)


class OrderRefused(Exception):
    """Raised when an order does not match the layers of an engine.

    Attributes:
        endpoint: The engine that refused.
    """

    def __init__(self, endpoint: str, reason: str = '') -> None:
        self.endpoint = endpoint
        super().__init__(f'{endpoint}: {reason}')


class LineStream:
    """JSON values on a byte stream, one per line."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def send(self, value: typing.Any) -> None:
        """Sends one value."""
        await self._stream.send_all(msgspec.json.encode(value) + b'\n')

    async def receive(self) -> typing.Any:
        """Returns the next value, or `None` at the end of the stream."""
        while b'\n' not in self._buffer:
            chunk = await self._stream.receive_some(65536)
            if not chunk or len(self._buffer) > MAX_LINE_BYTES:
                return None
            self._buffer += chunk
        line, _, rest = self._buffer.partition(b'\n')
        self._buffer = bytearray(rest)
        return msgspec.json.decode(line)

    async def close(self) -> None:
        """Closes the stream at once."""
        await trio.aclose_forcefully(self._stream)


class StageRunner:
    """Runs this engine's layers for all requests and records each token.

    Attributes:
        token_records: One tuple for each token that ran through this engine:
            request, attempt, token index, first layer, end layer and start
            time.
        forward_port: Port for tokens forwarded by the previous stage;
            `hand_on_port` in `/health`.
        faults: Faults to inject into requests: `crash_on` (the process exits
            when the prompt contains this text), `gap_at` (index of the token
            to leave out), `stop_at` (index of the first token not sent; the
            stream then stays open and silent), `extra_tokens` (number of
            tokens sent past the end), `no_final` (the final line is not sent).
    """

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.token_records: list[tuple[str, int, int, int, int, float]] = []
        self.forward_port = 0
        self.faults: dict[str, typing.Any] = {}
        self.cached_prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[str] = []
        self._cancel_scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self._active_tokens = 0
        self._forward_ports: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self._cancel_scopes)

    def cancel(self, request: str, attempt: int) -> bool:
        """Cancels a request and returns whether it was in progress."""
        scope = self._cancel_scopes.get((request, attempt))
        if scope is not None:
            scope.cancel()
        return scope is not None

    def check(self, order: Order) -> None:
        """Checks that an order covers the model and matches this engine.

        Raises:
            OrderRefused: The route has a gap or does not end at the model's
                last layer, or the order names another model, version or range
                of layers than this engine holds.
        """
        expected = 0
        for stage in order['route']:
            if stage['first_layer'] != expected:
                reason = f'layers {expected} and on are not covered'
                raise OrderRefused(self.spec.endpoint, reason)
            expected = stage['end_layer']
        own = order['route'][order['position']]
        held = (
            self.spec.model,
            self.spec.model_version,
            self.spec.first_layer,
            self.spec.end_layer,
        )
        requested = (
            order['model'],
            order['model_version'],
            own['first_layer'],
            own['end_layer'],
        )
        if expected != order['layers'] or held != requested:
            reason = (
                f'holds {held}; the order requests {requested},'
                ' or its route does not end at the last layer'
            )
            raise OrderRefused(self.spec.endpoint, reason)

    @contextlib.contextmanager
    def register_request(
        self, order: Order
    ) -> collections.abc.Generator[trio.CancelScope, None, None]:
        """Registers a request for cancellation and limits its time."""
        key = (order['request'], order['attempt'])
        with trio.move_on_after(order['deadline_s']) as scope:
            self._cancel_scopes[key] = scope
            try:
                yield scope
            finally:
                del self._cancel_scopes[key]

    async def prefill(self, order: Order) -> None:
        """Simulates the time to process the input before the first token.

        The time is fixed per layer, and halved if the prompt's prefix is
        cached; the lengths of the prompt and of the delivered tokens have no
        influence.
        """
        if self.faults.get('crash_on', '\0') in order['prompt']:
            os._exit(3)
        prefix = order['prompt'][:PREFIX_CHARS]
        layers = self.spec.end_layer - self.spec.first_layer
        cost_s = layers * self.spec.layer_cost_us * PREFILL_COST_FACTOR / 1e6
        if prefix in self.cached_prefixes:
            cost_s /= 2
        self.cached_prefixes[prefix] = None
        self.cache_events.append(prefix)
        await trio.sleep(cost_s)

    async def run_layers(self, order: Order, token_index: int) -> None:
        """Simulates this engine's layers for one token and records it."""
        layers = self.spec.end_layer - self.spec.first_layer
        self._active_tokens += 1
        slowdown = max(1.0, self._active_tokens / self.spec.batch_slots)
        self.token_records.append(
            (
                order['request'],
                order['attempt'],
                token_index,
                self.spec.first_layer,
                self.spec.end_layer,
                time.monotonic(),
            )
        )
        try:
            await trio.sleep(layers * self.spec.layer_cost_us * slowdown / 1e6)
        finally:
            self._active_tokens -= 1

    async def connect_next(self, order: Order) -> LineStream | None:
        """Connects to the next stage and sends it the order.

        Returns `None` if this is the last stage.
        """
        position = order['position'] + 1
        if position == len(order['route']):
            return None
        stage = order['route'][position]
        url = stage['url']
        try:
            if url not in self._forward_ports:
                self._forward_ports[url] = await web.fetch_forward_port(url)
            host = url.split('//')[1].rpartition(':')[0]
            stream = await trio.open_tcp_stream(host, self._forward_ports[url])
            lines = LineStream(stream)
            await lines.send({**order, 'position': position})
        except (OSError, trio.BrokenResourceError) as exc:
            self._forward_ports.pop(url, None)
            raise StageLost(stage['endpoint']) from exc
        return lines

    async def run_token(
        self, order: Order, token_index: int, next_stage: LineStream | None
    ) -> str:
        """Runs a token through this stage and all later ones."""
        await self.run_layers(order, token_index)
        if next_stage is None:
            return words.token_text(order['prompt'], token_index)
        next_id = order['route'][order['position'] + 1]['endpoint']
        try:
            await next_stage.send(token_index)
            answer = await next_stage.receive()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise StageLost(next_id) from exc
        if answer is None:
            raise StageLost(next_id)
        if 'refused' in answer:
            raise OrderRefused(answer['refused'])
        if 'lost' in answer:
            raise StageLost(answer['lost'])
        return answer['text']

    async def serve_previous_stage(self, stream: trio.SocketStream) -> None:
        """Serves one request for the previous stage."""
        lines = LineStream(stream)
        next_stage = None
        try:
            order = typing.cast(Order, await lines.receive())
            if order is None:
                return
            self.check(order)
            with self.register_request(order):
                await self.prefill(order)
                next_stage = await self.connect_next(order)
                while (token_index := await lines.receive()) is not None:
                    text = await self.run_token(order, token_index, next_stage)
                    await lines.send({'text': text})
        except StageLost as exc:
            with contextlib.suppress(trio.BrokenResourceError):
                await lines.send({'lost': exc.endpoint})
        except OrderRefused as exc:
            with contextlib.suppress(trio.BrokenResourceError):
                await lines.send({'refused': exc.endpoint})
        except (trio.BrokenResourceError, OSError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await lines.close()
                if next_stage is not None:
                    await next_stage.close()
