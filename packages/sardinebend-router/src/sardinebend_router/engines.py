"""Calls to model engines: draft runs and their streams, cancels, load orders.

A load report says how busy an engine is; a load order makes it load a model.
"""

import abc
import typing

import msgspec
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import orders
from sardinebend_policy import routes
from sardinebend_store import connections
from sardinebend_store import documents
from sardinebend_store import errors as platform_errors

CANCEL_TIMEOUT_S: typing.Final = 2.0
MAX_LINE_BYTES: typing.Final = 256 * 1024
# Number of chunks of a stream after which other tasks may run.
CHUNKS_PER_CHECKPOINT: typing.Final = 8
STATUS_MODEL_NOT_LOADED: typing.Final = 409
STATUS_BUSY: typing.Final = 429

_JSON = ((b'content-type', b'application/json'),)


class Health(typing.TypedDict, total=False):
    """An endpoint's answer to a probe."""

    incarnation: str
    leaving: bool


class Load(typing.TypedDict, total=False):
    """An engine's load report: how busy it is and which model it holds."""

    running: int
    incarnation: str
    leaving: bool
    model: str
    model_version: str


class DraftOrder(typing.NamedTuple):
    """An order to run a draft, with the request that it belongs to."""

    request: msg.DraftRequest
    send: msg.SendOrder


class _StreamLine(msgspec.Struct):
    """A line of an engine's stream."""

    request: str = ''
    attempt: int = 0
    index: int = -1
    text: str = ''
    final: bool = False
    count: int = -1
    lost: str = ''
    refused: str = ''


class OpenPipeline(abc.ABC):
    """A connection to a route's first stage."""

    @abc.abstractmethod
    async def run(
        self, order: DraftOrder, post: typing.Callable[[msg.Event], None]
    ) -> None:
        """Sends the order and reports the stream as events.

        Returns after one of `Finished`, `Refused`, `StageRefused` or
        `StreamBroken` was reported. A further `StreamBroken` may follow it,
        which has no effect.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connection."""


class PipelineDriver(abc.ABC):
    """Opens pipelines and makes the other calls to engines."""

    @abc.abstractmethod
    async def connect(
        self, route: routes.PipelineRoute, timeout_s: float
    ) -> OpenPipeline:
        """Opens a new connection to the first stage.

        Raises:
            sardinebend_store.errors.ConnectFailed: It couldn't be opened.
        """

    @abc.abstractmethod
    async def cancel(
        self, endpoint_id: str, request_id: str, attempt: int
    ) -> bool:
        """Cancels an attempt at one endpoint; returns whether it confirmed."""

    @abc.abstractmethod
    async def probe(
        self, endpoint_id: str, timeout_s: float
    ) -> Health | platform_errors.PlatformError:
        """Probes the health of an endpoint over a new connection."""

    @abc.abstractmethod
    async def fetch_load(self, endpoint_id: str) -> Load | None:
        """Returns an engine's load report, or `None` if it is unavailable."""

    @abc.abstractmethod
    async def order(
        self, order: orders.LoadOrder
    ) -> int | platform_errors.PlatformError:
        """Orders an engine to load a model; returns its HTTP status.

        The order is sent once; the caller decides whether to repeat it.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes idle connections."""


class ForwardingPipeline(OpenPipeline):
    """A pipeline that streams lines from its first stage over HTTP."""

    def __init__(
        self,
        conn: connections.Connection,
        fleet: fleet_lib.Fleet,
    ) -> None:
        self._conn = conn
        self._fleet = fleet

    async def run(
        self, order: DraftOrder, post: typing.Callable[[msg.Event], None]
    ) -> None:
        """Sends the order and reports the stream as events."""
        attempt = order.send.attempt
        body = encode_order(order, self._fleet, trio.current_time())
        try:
            async with self._conn.stream(
                'POST', '/v1/run', _JSON, body
            ) as response:
                first = order.send.route.endpoint_ids[0]
                if response.status == STATUS_MODEL_NOT_LOADED:
                    post(msg.StageRefused(attempt, first, False))
                elif response.status == STATUS_BUSY:
                    post(msg.Refused(attempt, first, 1.0))
                elif response.status == 200:
                    await self._read_lines(response, order, post)
                # Reports an unexpected status, or a stream that ended without a
                # final marker. If an event that ends the attempt was already
                # posted above, the session ignores this one.
                post(msg.StreamBroken(attempt))
        except platform_errors.ExchangeFailed:
            post(msg.StreamBroken(attempt))

    async def _read_lines(
        self,
        response: typing.Any,
        order: DraftOrder,
        post: typing.Callable[[msg.Event], None],
    ) -> None:
        buffer = bytearray()
        chunk_count = 0
        async for chunk in response.aiter_stream():
            chunk_count += 1
            if chunk_count % CHUNKS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            buffer.extend(chunk)
            lines: list[bytes] = []
            # Splitting copies the buffer, so it isn't done for each chunk.
            if b'\n' in chunk:
                *lines, rest = bytes(buffer).split(b'\n')
                buffer = bytearray(rest)
            if len(buffer) > MAX_LINE_BYTES:
                return
            for line in lines:
                event = decode_line(line, order)
                post(event)
                if not isinstance(event, msg.Chunk):
                    return

    async def close(self) -> None:
        """Closes the connection."""
        await self._conn.close()


class ForwardingDriver(PipelineDriver):
    """Sends the whole route to the first stage, which calls the next one.

    The answer is read from the first stage as one stream.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        fail_after: connections.WaitLimit = trio.fail_after,
    ) -> None:
        """Creates a driver without a connection.

        Args:
            fleet: The known endpoints.
            fail_after: Limits how long an exchange waits.
        """
        self._fleet = fleet
        self._fail_after = fail_after
        self._origins: dict[str, connections.Origin] = {}

    async def connect(
        self, route: routes.PipelineRoute, timeout_s: float
    ) -> OpenPipeline:
        """Opens a new connection to the first stage."""
        origin = self._origin(route.endpoint_ids[0])
        conn = await origin.connect(timeout_s)
        return ForwardingPipeline(conn, self._fleet)

    async def cancel(
        self, endpoint_id: str, request_id: str, attempt: int
    ) -> bool:
        """Cancels an attempt at one endpoint; returns whether it confirmed."""
        body = msgspec.json.encode({'request': request_id, 'attempt': attempt})
        try:
            reply = await self._origin(endpoint_id).exchange(
                'POST', '/v1/cancel', _JSON, body, timeout_s=CANCEL_TIMEOUT_S
            )
        except platform_errors.PlatformError:
            return False
        return reply.status == 200

    async def probe(
        self, endpoint_id: str, timeout_s: float
    ) -> Health | platform_errors.PlatformError:
        """Probes the health of an endpoint over a new connection."""
        try:
            reply = await self._origin(endpoint_id).exchange(
                'GET', '/health', timeout_s=timeout_s, new_connection=True
            )
        except platform_errors.PlatformError as exc:
            return exc
        try:
            health: Health = documents.decode(reply.body, Health)
        except platform_errors.MalformedDocument:
            return Health()
        return health

    async def fetch_load(self, endpoint_id: str) -> Load | None:
        """Returns an engine's load report, or `None` if it is unavailable."""
        try:
            reply = await self._origin(endpoint_id).exchange(
                'GET', '/load', timeout_s=CANCEL_TIMEOUT_S
            )
            load: Load = documents.decode(reply.body, Load)
        except platform_errors.PlatformError:
            return None
        return load

    async def order(
        self, order: orders.LoadOrder
    ) -> int | platform_errors.PlatformError:
        """Orders an engine to load a model; returns its HTTP status.

        The order is sent once; the caller decides whether to repeat it.
        """
        body = msgspec.json.encode(
            {
                'kind': 'load',
                'model': order.held.model,
                'model_version': order.held.model_version,
                'fencing': order.fencing,
                'life_s': order.life_s,
            }
        )
        try:
            # An order must not be sent when its life is over, so a pause of
            # the host counts.
            with trio.fail_after(order.life_s):
                reply = await self._origin(order.endpoint_id).exchange(
                    'POST',
                    '/v1/orders',
                    _JSON,
                    body,
                    timeout_s=order.life_s,
                    new_connection=True,
                )
        except platform_errors.PlatformError as exc:
            return exc
        except trio.TooSlowError:
            return platform_errors.ExchangeFailed('timed out')
        return reply.status

    async def close(self) -> None:
        """Closes idle connections."""
        for origin in self._origins.values():
            await origin.close()

    def _origin(self, endpoint_id: str) -> connections.Origin:
        state = self._fleet.get(endpoint_id)
        if state is None:
            raise platform_errors.ConnectFailed(
                f'unknown endpoint {endpoint_id}'
            )
        url = state.spec.url
        origin = self._origins.get(url)
        if origin is None:
            origin = connections.Origin(url, fail_after=self._fail_after)
            self._origins[url] = origin
        return origin


def encode_order(
    order: DraftOrder, fleet: fleet_lib.Fleet, now: float
) -> bytes:
    """Returns the body of an order in the engines' protocol."""
    request, send = order
    stages = []
    for stage in send.route.stages:
        state = fleet.get(stage.endpoint_id)
        stages.append(
            {
                'endpoint': stage.endpoint_id,
                'url': state.spec.url if state else '',
                'first_layer': stage.first_layer,
                'end_layer': stage.end_layer,
            }
        )
    spec = send.route.spec
    return msgspec.json.encode(
        {
            'request': request.request_id,
            'attempt': send.attempt,
            'model': spec.model,
            'model_version': spec.model_version,
            'layers': spec.layers,
            'route': stages,
            'position': 0,
            'prompt': request.prompt,
            'start_index': send.start_index,
            'delivered': send.delivered,
            'max_tokens': request.max_tokens,
            'deadline_s': max(0.001, send.deadline - now),
            'priority': 0,
        }
    )


_decode_line = msgspec.json.Decoder(_StreamLine).decode


def decode_line(line: bytes, order: DraftOrder) -> msg.Event:
    """Returns the event that a line of an engine's stream reports."""
    attempt = order.send.attempt
    try:
        fields = _decode_line(line)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return msg.StreamBroken(attempt)
    if fields.lost:
        return msg.StreamBroken(attempt, fields.lost)
    if fields.refused:
        return msg.StageRefused(attempt, fields.refused, True)
    if fields.final:
        return msg.Finished(attempt, fields.count)
    if fields.request != order.request.request_id or fields.index < 0:
        return msg.StreamBroken(attempt)
    return msg.Chunk(fields.attempt, fields.index, fields.text)
