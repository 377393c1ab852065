"""Simulates a draft at one host.

Session and session runner are the product's; the engines are fakes.
"""

import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_policy import outcomes
from sardinebend_policy import routes
from sardinebend_router import drafting
from sardinebend_router import engines
from sardinebend_router import watching
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors
from tests.common import world as world_lib

LAYERS = 6
SPANS = ((0, 2), (2, 4), (4, 6))
REPLICAS = 'ab'
SPEC = routes.ModelSpec('tide', '1', LAYERS)
TOKENS = 8
TOKEN_S = 0.02
DEADLINE_S = 30.0
FREEZE_S = 10.0
OUTAGE_S = 6.0
END_S = 60.0
# From this time after an endpoint began leaving, hosts must send it nothing.
LEAVING_BOUND_S = 3.0
TIMEOUTS_S = (1.0, 1.0)

STEPS = (
    'admitted',
    'routed',
    'connected',
    'order_sent',
    'first_token',
    'mid_token',
    'last_token',
    'final',
)
FAULTS = (
    'kill_host',
    'freeze_host',
    'cut_host',
    'silent_connection',
    'first_stage_dies',
    'middle_stage_dies',
    'last_stage_dies',
    'endpoint_freezes',
    'endpoint_leaves',
    'host_stops',
    'list_stale',
    'caller_leaves',
)
NOT_APPLICABLE = {
    'repeat_elsewhere': 'a repeated draft is another request',
    'endpoint_dies': 'one column for each stage',
    'table_down': 'a draft touches no table',
    'table_slow': 'a draft touches no table',
    'table_reply_lost': 'a draft touches no table',
    'table_effect_late': 'a draft touches no table',
    'objects_down': 'a draft touches no object store',
}


class Record(typing.NamedTuple):
    """What a run recorded for the checkers."""

    expected_tokens: list[str]
    delivered: list[str]
    received_outcomes: list[outcomes.Outcome]
    # Attempt, token, first layer and end layer of each run of a stage.
    runs: list[tuple[int, int, int, int]]
    still_running: set[tuple[str, int]]
    orders_after_leaving: int
    runs_after_caller_left: int
    # The longest time between two tokens.
    longest_gap_s: float
    reached: list[str]
    injected: list[tuple[str, str]]


class SimEngines:
    """All engines; their attempts go on while the host is cut off."""

    def __init__(self, world: 'DraftWorld') -> None:
        self.world = world
        self.failed: set[str] = set()
        self.frozen: set[str] = set()
        self.leaving: set[str] = set()
        self.orders_after_leaving = 0
        self.runs: dict[str, list[tuple[int, int, int, int]]] = {}
        self.scopes: dict[tuple[str, int], trio.CancelScope] = {}

    def is_unreachable(self, endpoint_id: str) -> bool:
        return endpoint_id in self.failed or endpoint_id in self.frozen

    async def run(self, order: engines.DraftOrder, emit) -> None:
        """Runs an attempt and emits its events."""
        request, send = order
        key = (request.request_id, send.attempt)
        runs = self.runs.setdefault(request.request_id, [])
        limit = send.deadline - trio.current_time()
        with trio.move_on_after(limit) as scope:
            self.scopes[key] = scope
            try:
                for index in range(send.start_index, TOKENS):
                    if not await self._run_token(send, index, runs):
                        emit(msg.StreamBroken(send.attempt))
                        return
                    emit(msg.Chunk(send.attempt, index, make_token_text(index)))
                emit(msg.Finished(send.attempt, TOKENS))
            finally:
                del self.scopes[key]

    async def _run_token(self, send, index, runs) -> bool:
        for stage in send.route.stages:
            while stage.endpoint_id in self.frozen:
                await trio.sleep(TOKEN_S)
            if stage.endpoint_id in self.failed:
                return False
            runs.append(
                (send.attempt, index, stage.first_layer, stage.end_layer)
            )
            if self.world.caller_left_at is not None:
                self.world.runs_after_caller_left += 1
            await trio.sleep(TOKEN_S / len(SPANS))
        return True


class SimDriver(engines.PipelineDriver):
    """A driver of the simulated engines."""

    def __init__(self, world: 'DraftWorld') -> None:
        self.world = world

    async def connect(self, route, timeout_s):
        world = self.world
        await world.host.wait_until_running()
        world.record_step('routed')
        first = route.endpoint_ids[0]
        await trio.sleep(world_lib.HOP_S)
        if world.host.is_cut or first in world.engines.frozen:
            await trio.sleep(timeout_s)
            raise platform_errors.ConnectFailed(first)
        if first in world.engines.failed:
            raise platform_errors.ConnectFailed(first, True)
        return SimPipeline(world)

    async def cancel(self, endpoint_id, request_id, attempt):
        await self.world.host.wait_until_running()
        await trio.sleep(world_lib.HOP_S)
        if self.world.host.is_cut or self.world.engines.is_unreachable(
            endpoint_id
        ):
            return False
        scope = self.world.engines.scopes.get((request_id, attempt))
        if scope is not None:
            scope.cancel()
        return True

    async def probe(self, endpoint_id, timeout_s):
        await self.world.host.wait_until_running()
        await trio.sleep(world_lib.HOP_S)
        frozen = endpoint_id in self.world.engines.frozen
        if self.world.host.is_cut or frozen:
            await trio.sleep(timeout_s)
            return platform_errors.ExchangeFailed(endpoint_id)
        if endpoint_id in self.world.engines.failed:
            return platform_errors.ConnectFailed(endpoint_id, True)
        return {'incarnation': 'i', 'leaving': False}

    async def fetch_load(self, endpoint_id):
        return None

    async def order(self, order):
        return 200

    async def close(self):
        pass


class SimPipeline(engines.OpenPipeline):
    """A connection to the engine of the first stage."""

    def __init__(self, world: 'DraftWorld') -> None:
        self.world = world
        self.is_silent = world.is_next_silent
        world.is_next_silent = False
        world.pipelines.append(self)

    async def run(self, order, post):
        world = self.world
        await world.host.wait_until_running()
        world.record_step('order_sent')
        await trio.sleep(world_lib.HOP_S)
        leaving = set(order.send.route.endpoint_ids) & world.engines.leaving
        if (
            leaving
            and world.leaving_since < trio.current_time() - LEAVING_BOUND_S
        ):
            world.engines.orders_after_leaving += 1
        ended = trio.Event()

        def emit(event: msg.Event) -> None:
            if not (self.is_silent or world.host.is_cut):
                post(event)
                if not isinstance(event, msg.Chunk):
                    ended.set()

        if not world.host.is_cut:
            world.nursery.start_soon(world.engines.run, order, emit)
        await ended.wait()

    async def close(self):
        pass


class SimSessionRunner(
    world_lib.FreezableSessionRunnerMixin, drafting.DraftSessionRunner
):
    """A session runner of a draft at a host that can be frozen."""


class DraftWorld(world_lib.World):
    """One host, three stages of two engines each and one draft."""

    def __init__(self, nursery, plan, session_type) -> None:
        super().__init__(nursery, plan)
        self.session_type = session_type
        self.host = world_lib.SimHost('a', make_tree(), 1, nursery)
        self.engines = SimEngines(self)
        self.pipelines: list[SimPipeline] = []
        self.is_next_silent = False
        self.caller_left_at: float | None = None
        self.leaving_since = 0.0
        self.runs_after_caller_left = 0
        self.received_outcomes: list[outcomes.Outcome] = []
        self.token_times: list[float] = []
        self.session_runner = self._make_session_runner()

    def _make_session_runner(self) -> SimSessionRunner:
        request = msg.DraftRequest(
            'r0', 'vanua', 'f0', SPEC, 'p', TOKENS, DEADLINE_S
        )
        session = self.session_type(
            request, msg.DraftConfig(), self.host.state.drafts
        )

        async def report_crashes(crashes) -> None:
            await trio.sleep(world_lib.HOP_S)

        driver = SimDriver(self)
        session_runner = SimSessionRunner(
            session, self.host.state, driver, report_crashes, TIMEOUTS_S
        )
        session_runner.host = self.host
        session_runner.observe = self.observe
        return session_runner

    def observe(self, event: msg.Event) -> None:
        """Records the steps that are events of the request."""
        if isinstance(event, msg.Connected):
            self.record_step('connected')
        elif isinstance(event, msg.Chunk):
            self.token_times.append(trio.current_time())
            names = {
                0: 'first_token',
                TOKENS // 2: 'mid_token',
                TOKENS - 1: 'last_token',
            }
            if event.token_index in names:
                self.record_step(names[event.token_index])
        elif isinstance(event, msg.Finished):
            self.record_step('final')

    async def request(self) -> None:
        """Sends the request."""
        self.record_step('admitted')
        if not self.host.is_live:
            return
        self.nursery.start_soon(self._send_cancels)
        await self.host.run_until_killed(self.session_runner.run, msg.Started())
        if self.session_runner.answer.outcome is not None:
            self.received_outcomes.append(self.session_runner.answer.outcome)

    async def _send_cancels(self) -> None:
        background_tasks = watching.BackgroundTasks(
            self.host.state, None, None, SimDriver(self), None
        )
        await self.host.run_until_killed(background_tasks.run_cancels)


def make_token_text(index: int) -> str:
    """Returns the expected text of a token."""
    return f'w{index} '


def make_tree() -> tree_lib.Tree:
    """Returns settings with three stages of two engines each."""
    endpoints = {}
    for number, (first, end) in enumerate(SPANS, 1):
        for replica in REPLICAS:
            endpoints[f'e{number}{replica}'] = {
                'url': f'http://e{number}{replica}',
                'failure_domain': f'd-{replica}',
                'role': 'engine',
                'model': 'tide',
                'model_version': '1',
                'first_layer': first,
                'end_layer': end,
            }
    return tree_lib.Tree.from_document({'endpoints': endpoints})


def inject(world: DraftWorld, fault: str) -> None:
    """Injects a fault."""
    host = world.host
    route = world.session_runner._session.route
    ids = route.endpoint_ids if route else ('e1a', 'e2a', 'e3a')
    positions = {
        'first_stage_dies': 0,
        'middle_stage_dies': 1,
        'last_stage_dies': 2,
        'list_stale': 0,
    }
    match fault:
        case 'kill_host':
            host.kill()
        case 'freeze_host':
            host.freeze()
            world.call_later(FREEZE_S, host.thaw)
        case 'cut_host':
            host.is_cut = True
            world.call_later(OUTAGE_S, lambda: setattr(host, 'is_cut', False))
        case 'silent_connection':
            world.is_next_silent = not world.pipelines
            for pipeline in world.pipelines:
                pipeline.is_silent = True
        case 'endpoint_freezes':
            world.engines.frozen.add(ids[1])
            world.call_later(FREEZE_S, lambda: world.engines.frozen.clear())
        case 'endpoint_leaves':
            host.state.fleet.mark_leaving(ids[1], 'i')
            world.engines.leaving.add(ids[1])
            world.leaving_since = trio.current_time()
        case 'host_stops':
            host.state.is_draining = True
        case 'caller_leaves':
            world.caller_left_at = trio.current_time()
            world.session_runner.post(msg.CallerLeft())
        case _:
            world.engines.failed.add(ids[positions[fault]])


async def _run(faults, session_type) -> Record:
    plan = world_lib.FaultPlan(faults, inject)
    async with trio.open_nursery() as nursery:
        world = DraftWorld(nursery, plan, session_type)
        nursery.start_soon(world.request)
        await trio.sleep(END_S)
        nursery.cancel_scope.cancel()
    gaps = [
        b - a
        for a, b in zip(world.token_times, world.token_times[1:], strict=False)
    ]
    return Record(
        [make_token_text(i) for i in range(TOKENS)],
        world.session_runner.answer.tokens,
        world.received_outcomes,
        world.engines.runs.get('r0', []),
        set(world.engines.scopes),
        world.engines.orders_after_leaving,
        world.runs_after_caller_left,
        max(gaps, default=0.0),
        world.reached,
        world.injected,
    )


def run(
    faults: tuple[tuple[str, str], ...],
    tested_type: type = drafts.DraftSession,
    seed: int = 0,
) -> Record:
    """Runs one draft, with faults injected at steps."""
    return world_lib.run_virtual(_run, faults, tested_type, seed=seed)
