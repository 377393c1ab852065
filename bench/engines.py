"""Simulated engines under a virtual clock.

They model batching, delayed load reports and failures.
"""

import collections
import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import orders
from sardinebend_policy import planners
from sardinebend_policy import routes
from sardinebend_router import engines
from sardinebend_store import errors as platform_errors

NETWORK_DELAY_S: typing.Final = 0.0005
LOAD_LAG_S: typing.Final = 1.0
WARM_COST_SHARE: typing.Final = 0.1
PREFILL_TOKENS: typing.Final = 4.0


class Pool:
    """All simulated engines of a deployment.

    Attributes:
        specs: The engines by endpoint ID.
        running: Number of attempts in progress at each engine.
        active_tokens: Number of `run_tokens` calls in progress at each engine.
        dead: Engines that have failed and refuse connections.
        silent: Engines that never answer.
        tokens_run: Number of tokens generated.
        wasted_tokens: Number of tokens generated after the caller had
            disconnected.
        has_caller_disconnected: Returns whether the caller of a request has
            disconnected.
    """

    def __init__(self, specs: list[fleet_lib.EndpointSpec]) -> None:
        self.specs = {spec.endpoint_id: spec for spec in specs}
        self.running: collections.Counter[str] = collections.Counter()
        self.active_tokens: collections.Counter[str] = collections.Counter()
        self.dead: set[str] = set()
        self.silent: set[str] = set()
        self.tokens_run = 0
        self.wasted_tokens = 0
        self.has_caller_disconnected: typing.Callable[[str], bool] = (
            lambda request: False
        )
        self._cancel_scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self._warm_requests: dict[str, set[str]] = collections.defaultdict(set)
        self._load_history: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque()
        )

    async def run_tokens(
        self, route: routes.PipelineRoute, domain: str, count: float = 1.0
    ) -> None:
        """Simulates the time that tokens take through all stages.

        An engine processes up to `batch_slots` calls at full speed; more calls
        share its speed.

        Args:
            route: Stages to pass through.
            domain: Failure domain that the tokens come from.
            count: Cost in tokens; one call takes one slot at any cost.
        """
        for stage in route.stages:
            spec = self.specs[stage.endpoint_id]
            layers = stage.end_layer - stage.first_layer
            self.active_tokens[stage.endpoint_id] += 1
            try:
                active_tokens = self.active_tokens[stage.endpoint_id]
                slowdown = max(1.0, active_tokens / spec.batch_slots)
                time_us = layers * spec.layer_cost_us * slowdown * count
                time_us += planners.link_cost_us(domain, spec.failure_domain)
                await trio.sleep(time_us / 1e6)
            finally:
                self.active_tokens[stage.endpoint_id] -= 1
            domain = spec.failure_domain

    def read_loads(self, now: float) -> dict[str, int]:
        """Records the present loads and returns delayed ones.

        Returns the latest loads that were recorded at least `LOAD_LAG_S` ago,
        or the oldest recorded ones if there are none.
        """
        self._load_history.append((now, dict(self.running)))
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now - LOAD_LAG_S
        ):
            self._load_history.popleft()
        return self._load_history[0][1]

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancels an attempt if it is in progress."""
        scope = self._cancel_scopes.get((request_id, attempt))
        if scope is not None:
            scope.cancel()

    async def run(
        self,
        order: engines.DraftOrder,
        domain: str,
        emit: typing.Callable[[msg.Event], None],
    ) -> None:
        """Runs an attempt up to its deadline and emits its events."""
        request, send_order = order
        key = (request.request_id, send_order.attempt)
        ids = send_order.route.endpoint_ids
        limit_s = max(0.0, send_order.deadline - trio.current_time())
        with trio.move_on_after(limit_s) as scope:
            self._cancel_scopes[key] = scope
            self.running.update(ids)
            try:
                count = self._prefill_tokens(order)
                await self.run_tokens(send_order.route, domain, count)
                await self._generate_tokens(order, domain, emit)
            finally:
                self.running.subtract(ids)
                del self._cancel_scopes[key]

    def _prefill_tokens(self, order: engines.DraftOrder) -> float:
        """Returns the cost of reading prompt and delivered tokens, in tokens.

        An engine that has read the request before has it in its cache and
        reads it at `WARM_COST_SHARE` of the cost.
        """
        request, send_order = order
        ids = send_order.route.endpoint_ids
        warm = sum(
            request.request_id in self._warm_requests[item] for item in ids
        )
        cold_share = 1 - (1 - WARM_COST_SHARE) * warm / len(ids)
        for item in ids:
            self._warm_requests[item].add(request.request_id)
        tokens = PREFILL_TOKENS + 0.25 * send_order.start_index
        return tokens * cold_share

    async def _generate_tokens(
        self,
        order: engines.DraftOrder,
        domain: str,
        emit: typing.Callable[[msg.Event], None],
    ) -> None:
        request, send_order = order
        ids = set(send_order.route.endpoint_ids)
        for index in range(send_order.start_index, request.max_tokens):
            await self.run_tokens(send_order.route, domain)
            if ids & self.silent:
                await trio.sleep_forever()
            if ids & self.dead:
                emit(msg.StreamBroken(send_order.attempt))
                return
            self.tokens_run += 1
            self.wasted_tokens += self.has_caller_disconnected(
                request.request_id
            )
            emit(msg.Chunk(send_order.attempt, index, 't'))
        emit(msg.Finished(send_order.attempt, request.max_tokens))


class SimDriver(engines.PipelineDriver):
    """Driver through which one host reaches the pool."""

    def __init__(self, pool: Pool, nursery: trio.Nursery, domain: str) -> None:
        self._pool = pool
        self._nursery = nursery
        self._domain = domain

    async def connect(
        self, route: routes.PipelineRoute, timeout_s: float
    ) -> engines.OpenPipeline:
        """Connects to the first engine of a route."""
        await trio.sleep(NETWORK_DELAY_S)
        first = route.endpoint_ids[0]
        if first in self._pool.silent:
            await trio.sleep(timeout_s)
            raise platform_errors.ConnectFailed(first)
        if first in self._pool.dead:
            # `True`: the connection is refused.
            raise platform_errors.ConnectFailed(first, True)
        return SimPipeline(self._pool, self._nursery, self._domain)

    async def cancel(
        self, endpoint_id: str, request_id: str, attempt: int
    ) -> bool:
        """Cancels an attempt in the pool."""
        await trio.sleep(NETWORK_DELAY_S)
        self._pool.cancel(request_id, attempt)
        return True

    async def probe(
        self, endpoint_id: str, timeout_s: float
    ) -> engines.Health | platform_errors.PlatformError:
        """Probes the health of an engine."""
        await trio.sleep(NETWORK_DELAY_S)
        if endpoint_id in self._pool.silent:
            await trio.sleep(timeout_s)
            return platform_errors.ExchangeFailed(endpoint_id)
        if endpoint_id in self._pool.dead:
            # `True`: the connection is refused.
            return platform_errors.ConnectFailed(endpoint_id, True)
        return {'incarnation': 'i'}

    async def fetch_load(self, endpoint_id: str) -> engines.Load | None:
        """Returns no load; the simulation reports the loads of all engines."""
        return None

    async def order(
        self, order: orders.LoadOrder
    ) -> int | platform_errors.PlatformError:
        """Refuses every order."""
        return 409

    async def close(self) -> None:
        """Does nothing; no resource is held."""


class SimPipeline(engines.OpenPipeline):
    """An open pipeline through simulated engines."""

    def __init__(self, pool: Pool, nursery: trio.Nursery, domain: str) -> None:
        self._pool = pool
        self._nursery = nursery
        self._domain = domain

    async def run(
        self,
        order: engines.DraftOrder,
        post: typing.Callable[[msg.Event], None],
    ) -> None:
        """Runs the order in the pool and reports its events."""
        ended = trio.Event()

        def emit(event: msg.Event) -> None:
            post(event)
            if not isinstance(event, msg.Chunk):
                ended.set()

        self._nursery.start_soon(self._pool.run, order, self._domain, emit)
        await ended.wait()

    async def close(self) -> None:
        """Does nothing; no resource is held."""
