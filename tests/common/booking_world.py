"""Simulates bookings over several hosts.

Sessions and their runners are the product's; table, objects, network and
services are fakes.
"""

import typing

import trio

from sardinebend_peers import errors as peer_errors
from sardinebend_policy import booking_messages as msg
from sardinebend_policy import bookings
from sardinebend_policy import claims
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_router import booking
from sardinebend_router import claim_recovery
from sardinebend_router import services
from sardinebend_settings import tree as tree_lib
from sardinebend_store import connections
from sardinebend_store import errors as platform_errors
from tests.common import world as world_lib

HOSTS = ('a', 'b', 'c')
ENDPOINTS = ('book-1', 'book-2')
KEY = 'claims/vanua/key'
WORK_S = 0.02
DEADLINE_S = 8.0
FREEZE_S = 10.0
OUTAGE_S = 6.0
ASK_TIMEOUT_S = 1.0
REPEATS = ((0.5, 'b'), (15.0, 'c'), (40.0, 'b'))
END_S = 120.0
# From this time after an endpoint began leaving, hosts must send it nothing.
LEAVING_BOUND_S = 3.0
LARGE = 'x' * 20_000

STEPS = (
    'received',
    'connected',
    'claim_sent',
    'claim_written',
    'claim_known',
    'sent',
    'executed',
    'answered',
    'outcome_written',
    'told',
)
FAULTS = (
    'kill_host',
    'freeze_host',
    'cut_host',
    'silent_connection',
    'endpoint_dies',
    'endpoint_leaves',
    'host_stops',
    'table_down',
    'table_slow',
    'table_reply_lost',
    'table_effect_late',
    'table_returns',
    'objects_down',
    'list_stale',
    'repeat_elsewhere',
    'caller_leaves',
)


class Execution(typing.NamedTuple):
    """A call that a service executed."""

    key: str
    request_id: str
    confirmation: bytes
    at: float


class CallerOutcome(typing.NamedTuple):
    """The outcome that a caller received."""

    request_id: str
    host: str
    outcome: outcomes.Outcome
    at: float


class Record(typing.NamedTuple):
    """What a run recorded for the checkers."""

    executions: list[Execution]
    received_outcomes: list[CallerOutcome]
    request_hosts: dict[str, str]
    sends_after_leaving: int
    reached: list[str]
    injected: list[tuple[str, str]]


class SimServiceClient(services.ServiceClient):
    """A client of the simulated service endpoints for one host."""

    def __init__(self, world: 'BookingWorld', host: world_lib.SimHost) -> None:
        self.world = world
        self.host = host

    async def connect(self, endpoint_id, timeout_s):
        await self.host.wait_until_running()
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut:
            await trio.sleep(timeout_s)
            raise platform_errors.ConnectFailed(endpoint_id)
        if endpoint_id in self.world.failed_endpoints:
            raise platform_errors.ConnectFailed(endpoint_id, True)
        return SimConnection(self.world, self.host, endpoint_id)


class SimConnection(services.ServiceConnection):
    """A connection to a simulated service endpoint."""

    def __init__(self, world, host, endpoint_id) -> None:
        self.world = world
        self.host = host
        self.endpoint_id = endpoint_id
        self.replied = trio.Event()
        self.reply: connections.Reply | None = None

    async def send(self, call):
        await self.host.wait_until_running()
        await trio.sleep(world_lib.HOP_S)
        if call.request_id == self.world.main_request_id:
            self.world.record_step('sent')
        if self.host.is_cut:
            await trio.sleep_forever()
        if self.endpoint_id in self.world.failed_endpoints:
            raise platform_errors.ExchangeFailed('reset')
        left_at = self.world.leaving.get(self.endpoint_id, END_S)
        if trio.current_time() > left_at + LEAVING_BOUND_S:
            self.world.sends_after_leaving += 1
        self.world.nursery.start_soon(self._execute, call)
        await self.replied.wait()
        if self.host.is_cut or self.world.is_silent:
            await trio.sleep_forever()
        await self.host.wait_until_running()
        if self.reply is None:
            raise platform_errors.ExchangeFailed('reset')
        return self.reply

    async def _execute(self, call) -> None:
        number = len(self.world.executions) + 1
        body = f'C{number}'.encode()
        if self.world.has_large_answers:
            body += LARGE.encode()
        now = trio.current_time()
        self.world.executions.append(
            Execution(call.idempotency_key, call.request_id, body, now)
        )
        if call.request_id == self.world.main_request_id:
            self.world.record_step('executed')
        await trio.sleep(WORK_S)
        if self.endpoint_id not in self.world.failed_endpoints:
            self.reply = connections.Reply(200, {'content-type': 't'}, body)
        self.replied.set()

    async def close(self):
        pass


class SimSessionRunner(
    world_lib.FreezableSessionRunnerMixin, booking.BookingSessionRunner
):
    """A session runner of a booking at a host that can be frozen."""


class SimRecovery(claim_recovery.ClaimRecovery):
    """A host's recovery of claims, which stops while the host is frozen."""

    host: world_lib.SimHost

    async def tick(self):
        await self.host.wait_until_running()
        await super().tick()


class BookingWorld(world_lib.World):
    """Three hosts and two endpoints; all requests have the same key."""

    def __init__(self, nursery, plan, session_type) -> None:
        super().__init__(nursery, plan)
        self.session_type = session_type
        self.main_request_id = 'r0'
        self.failed_endpoints: set[str] = set()
        self.leaving: dict[str, float] = {}
        self.unlisted: set[str] = set()
        self.is_silent = False
        self.has_large_answers = any(
            fault == 'objects_down' for _, fault in plan.faults
        )
        self.sends_after_leaving = 0
        self.executions: list[Execution] = []
        self.received_outcomes: list[CallerOutcome] = []
        self.request_hosts: dict[str, str] = {}
        self.session_runners: dict[str, SimSessionRunner] = {}
        self.recoveries: dict[str, SimRecovery] = {}
        for index, name in enumerate(HOSTS):
            self._start_host(name, index, HOSTS)

    def _start_host(
        self, name: str, seed: int, listed: typing.Iterable[str]
    ) -> world_lib.SimHost:
        host = world_lib.SimHost(name, make_tree(), seed, self.nursery)
        self.hosts[name] = host
        self.list_hosts(host, listed)
        recovery = SimRecovery(host.state, world_lib.HostTable(self, host))
        recovery.host = host
        self.recoveries[name] = recovery
        self.nursery.start_soon(host.run_until_killed, recovery.run)
        return host

    def list_hosts(
        self, host: world_lib.SimHost, listed: typing.Iterable[str]
    ) -> None:
        """Gives a host the platform's list."""
        host.state.membership.apply_listing(
            (membership.Member(name, 'd', name, name), False) for name in listed
        )

    def restart_host(self, name: str) -> None:
        """Kills a host and starts it anew; the others hear of it at once."""
        old = self.hosts[name]
        old.kill()
        host = self._start_host(name, len(HOSTS), HOSTS)
        host.state.incarnation = f'{old.state.incarnation}-again'
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Lets all hosts hear from all others that are live."""
        now = trio.current_time()
        for sender in self.hosts.values():
            if not sender.is_live or sender.is_frozen:
                continue
            heartbeat = membership.Heartbeat(
                sender.name, sender.state.incarnation, 1, 0, False, True
            )
            for receiver in self.hosts.values():
                receiver.state.membership.record_heartbeat(heartbeat, now)

    async def query_claimant(
        self, requester: str, host: str, incarnation: str, nonce: str
    ):
        """Sends a claim question to another host, or to the same one."""
        target = self.hosts[host]
        if requester != host:
            await trio.sleep(world_lib.HOP_S)
            is_unreachable = (
                not target.is_live
                or target.is_frozen
                or target.is_cut
                or self.hosts[requester].is_cut
                or host in self.unlisted
            )
            if is_unreachable:
                await trio.sleep(ASK_TIMEOUT_S)
                raise peer_errors.PeerUnreachable(host)
        if incarnation != target.state.incarnation:
            return claims.ClaimantAnswer(claims.ClaimantState.UNKNOWN)
        return target.state.claims.describe(nonce)

    def record_write_step(self, request_id: str, phase: str, write) -> None:
        """Records the steps at which the main request's rows are written."""
        if request_id != self.main_request_id:
            return
        is_claim = write.value['state'] == claims.RowState.CLAIMED
        if phase == 'sent' and is_claim:
            self.record_step('claim_sent')
        elif phase == 'written':
            self.record_step('claim_written' if is_claim else 'outcome_written')

    def observe(self, request_id: str, event: msg.Event) -> None:
        """Records the steps that are events of the main request."""
        if request_id != self.main_request_id:
            return
        if isinstance(event, msg.Connected):
            self.record_step('connected')
        elif isinstance(event, msg.ClaimWritten):
            self.record_step('claim_known')
        elif isinstance(event, msg.Replied):
            self.record_step('answered')

    async def request(self, request_id: str, host_name: str) -> None:
        """Sends one request with the key to a host."""
        host = self.hosts[host_name]
        if not host.is_live or host.state.is_draining:
            return
        self.request_hosts[request_id] = host_name
        session_runner = self._make_session_runner(request_id, host)
        self.session_runners[request_id] = session_runner
        if request_id == self.main_request_id:
            self.record_step('received')
        if not host.is_live:
            return
        self.nursery.start_soon(
            self._record_outcome, request_id, host, session_runner
        )
        await host.run_until_killed(session_runner.run, msg.Started())

    async def _record_outcome(self, request_id, host, session_runner) -> None:
        await session_runner.has_outcome.wait()
        await host.wait_until_running()
        if not host.is_live:
            return
        now = trio.current_time()
        self.received_outcomes.append(
            CallerOutcome(request_id, host.name, session_runner.outcome, now)
        )
        if request_id == self.main_request_id:
            self.record_step('told')

    def _make_session_runner(self, request_id, host) -> SimSessionRunner:
        request = msg.BookingRequest(
            request_id,
            'vanua',
            KEY,
            'digest',
            f'nonce-{request_id}',
            trio.current_time() + DEADLINE_S,
        )
        cfg = msg.BookingConfig(host.name, host.state.incarnation)
        table = world_lib.HostTable(
            self,
            host,
            lambda phase, w: self.record_write_step(request_id, phase, w),
        )

        async def query_claimant(claimant, incarnation, nonce):
            return await self.query_claimant(
                host.name, claimant, incarnation, nonce
            )

        call = services.Call('confirm', 't', b'{}', KEY, request_id)
        session_runner = SimSessionRunner(
            self.session_type(request, cfg, host.state.fleet.is_usable),
            host.state,
            SimServiceClient(self, host),
            booking.PlatformStores(
                table, self.objects, self.recoveries[host.name]
            ),
            query_claimant,
            booking.ServiceCall('bookings', call, 1.0),
        )
        session_runner.host = host
        session_runner.observe = lambda event: self.observe(request_id, event)
        return session_runner


def make_tree() -> tree_lib.Tree:
    """Returns settings with two endpoints of one service."""
    endpoints = {
        name: {
            'url': f'http://{name}',
            'failure_domain': 'd',
            'role': 'service',
            'service': 'bookings',
        }
        for name in ENDPOINTS
    }
    operations = {'confirm': {'repeatable': False}}
    return tree_lib.Tree.from_document(
        {
            'services': {'bookings': {'operations': operations}},
            'endpoints': endpoints,
        }
    )


def inject(world: BookingWorld, fault: str) -> None:
    """Injects a fault at the main request's host or its endpoint."""
    host = world.hosts[HOSTS[0]]
    session_runner = world.session_runners.get(world.main_request_id)
    endpoint = getattr(session_runner, '_endpoint_id', '') or ENDPOINTS[0]
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
            world.is_silent = True
            world.call_later(
                OUTAGE_S, lambda: setattr(world, 'is_silent', False)
            )
        case 'endpoint_dies':
            world.failed_endpoints.add(endpoint)
        case 'endpoint_leaves':
            for sim in world.hosts.values():
                sim.state.fleet.mark_leaving(endpoint, 'i')
            world.leaving[endpoint] = trio.current_time()
        case 'host_stops':
            host.state.is_draining = True
        case 'objects_down':
            world.objects.is_down = True
            world.call_later(
                OUTAGE_S, lambda: setattr(world.objects, 'is_down', False)
            )
        case 'list_stale':
            world.unlisted.add(host.name)
        case 'repeat_elsewhere':
            repeat = f'r-else-{len(world.request_hosts)}'
            world.nursery.start_soon(world.request, repeat, 'b')
        case 'caller_leaves':
            if session_runner is not None:
                session_runner.post(msg.CallerLeft())
        case 'table_returns':
            world.table.return_from_copy({})
        case _:
            world.fail_table(fault, OUTAGE_S)


async def _run(faults, session_type) -> Record:
    plan = world_lib.FaultPlan(faults, inject)
    async with trio.open_nursery() as nursery:
        world = BookingWorld(nursery, plan, session_type)
        nursery.start_soon(world.request, world.main_request_id, HOSTS[0])
        for index, (delay_s, host) in enumerate(REPEATS, 1):
            nursery.start_soon(_repeat, world, delay_s, f'r{index}', host)
        await trio.sleep(END_S)
        nursery.cancel_scope.cancel()
    return Record(
        world.executions,
        world.received_outcomes,
        world.request_hosts,
        world.sends_after_leaving,
        world.reached,
        world.injected,
    )


async def _repeat(world, delay_s, request_id, host) -> None:
    await trio.sleep(delay_s)
    await world.request(request_id, host)


def run(
    faults: tuple[tuple[str, str], ...],
    tested_type: type = bookings.BookingSession,
    seed: int = 0,
) -> Record:
    """Runs one booking and its repeats, with faults injected at steps."""
    return world_lib.run_virtual(_run, faults, tested_type, seed=seed)
