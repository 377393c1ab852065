"""One stage of a pipeline in a stand-in engine: runs, records, hand-on."""

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
PREFILL_LAYER_SHARE: typing.Final = 2.0


class StageOrder(typing.TypedDict):
    """One stage of an order's route."""

    endpoint: str
    url: str
    first_layer: int
    end_layer: int


class Order(typing.TypedDict):
    """An order to run a request through a route."""

    request: str
    attempt: int
    model: str
    model_version: str
    layers: int
    route: list[StageOrder]
    position: int
    prompt: str
    start_index: int
    delivered: list[str]
    max_tokens: int
    deadline_s: float
    priority: int


class Held(typing.NamedTuple):
    """What an engine holds and how fast it is."""

    endpoint: str
    model: str
    model_version: str
    first_layer: int
    end_layer: int
    layer_cost_us: float
    batch_slots: int


class StageLost(Exception):
    """Raised when the next stage, or one behind it, is gone."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        super().__init__(endpoint)


class OrderRefused(Exception):
    """Raised when an order doesn't fit what an engine holds.

    Attributes:
        endpoint: The engine that refused.
    """

    def __init__(self, endpoint: str, why: str = '') -> None:
        self.endpoint = endpoint
        super().__init__(f'{endpoint}: {why}')


class LineStream:
    """JSON values, one a line, on a byte stream."""

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
        records: (request, attempt, token, first layer, end layer, time).
        hand_on_port: Port on which earlier stages hand tokens on.
        faults: Faults shown by runs: `crash_on` (text of a prompt), `gap_at`,
            `stop_at` (a token after which the stream goes silent),
            `extra_tokens`, `no_final`.
    """

    def __init__(self, held: Held) -> None:
        self.held = held
        self.records: list[tuple[str, int, int, int, int, float]] = []
        self.hand_on_port = 0
        self.faults: dict[str, typing.Any] = {}
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.cache_events: list[str] = []
        self._scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self._active = 0
        self._next_ports: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Number of runs under way."""
        return len(self._scopes)

    def cancel(self, request: str, attempt: int) -> bool:
        """Stops a run; true if there was one."""
        scope = self._scopes.get((request, attempt))
        if scope is not None:
            scope.cancel()
        return scope is not None

    def check(self, order: Order) -> None:
        """Refuses an order that doesn't cover the model or fit this engine."""
        expected = 0
        for stage in order['route']:
            if stage['first_layer'] != expected:
                why = f'layers {expected} and on are not covered'
                raise OrderRefused(self.held.endpoint, why)
            expected = stage['end_layer']
        own = order['route'][order['position']]
        held = (
            self.held.model,
            self.held.model_version,
            self.held.first_layer,
            self.held.end_layer,
        )
        wanted = (
            order['model'],
            order['model_version'],
            own['first_layer'],
            own['end_layer'],
        )
        if expected != order['layers'] or held != wanted:
            why = f'holds {held}; the order wants {wanted}'
            raise OrderRefused(self.held.endpoint, why)

    @contextlib.contextmanager
    def entered(
        self, order: Order
    ) -> collections.abc.Generator[trio.CancelScope, None, None]:
        """Registers a run, bounded by the order's deadline."""
        key = (order['request'], order['attempt'])
        with trio.move_on_after(order['deadline_s']) as scope:
            self._scopes[key] = scope
            try:
                yield scope
            finally:
                del self._scopes[key]

    async def prefill(self, order: Order) -> None:
        """Takes the time of reading prompt and delivered tokens."""
        if self.faults.get('crash_on', '\0') in order['prompt']:
            os._exit(3)
        prefix = order['prompt'][:PREFIX_CHARS]
        layers = self.held.end_layer - self.held.first_layer
        cost_s = layers * self.held.layer_cost_us * PREFILL_LAYER_SHARE / 1e6
        if prefix in self.prefixes:
            cost_s /= 2
        self.prefixes[prefix] = None
        self.cache_events.append(prefix)
        await trio.sleep(cost_s)

    async def run_layers(self, order: Order, token: int) -> None:
        """Runs this engine's layers for one token and records it."""
        layers = self.held.end_layer - self.held.first_layer
        self._active += 1
        crowd = max(1.0, self._active / self.held.batch_slots)
        self.records.append(
            (
                order['request'],
                order['attempt'],
                token,
                self.held.first_layer,
                self.held.end_layer,
                time.monotonic(),
            )
        )
        try:
            await trio.sleep(layers * self.held.layer_cost_us * crowd / 1e6)
        finally:
            self._active -= 1

    async def open_next(self, order: Order) -> LineStream | None:
        """Connects to the next stage and passes the order; `None` if last."""
        position = order['position'] + 1
        if position == len(order['route']):
            return None
        stage = order['route'][position]
        url = stage['url']
        try:
            if url not in self._next_ports:
                self._next_ports[url] = await web.fetch_hand_on_port(url)
            host = url.split('//')[1].rpartition(':')[0]
            stream = await trio.open_tcp_stream(host, self._next_ports[url])
            lines = LineStream(stream)
            await lines.send({**order, 'position': position})
        except (OSError, trio.BrokenResourceError) as exc:
            self._next_ports.pop(url, None)
            raise StageLost(stage['endpoint']) from exc
        return lines

    async def step(
        self, order: Order, token: int, following: LineStream | None
    ) -> str:
        """Runs a token through this stage and those behind it."""
        await self.run_layers(order, token)
        if following is None:
            return words.token_text(order['prompt'], token)
        next_id = order['route'][order['position'] + 1]['endpoint']
        try:
            await following.send(token)
            answer = await following.receive()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise StageLost(next_id) from exc
        if answer is None:
            raise StageLost(next_id)
        if 'refused' in answer:
            raise OrderRefused(answer['refused'])
        if 'lost' in answer:
            raise StageLost(answer['lost'])
        return answer['text']

    async def serve_hand_on(self, stream: trio.SocketStream) -> None:
        """Serves one run for the stage before this one."""
        lines = LineStream(stream)
        following = None
        try:
            order = typing.cast(Order, await lines.receive())
            if order is None:
                return
            self.check(order)
            with self.entered(order):
                await self.prefill(order)
                following = await self.open_next(order)
                while (token := await lines.receive()) is not None:
                    text = await self.step(order, token, following)
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
                if following is not None:
                    await following.close()
