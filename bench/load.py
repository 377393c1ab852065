"""Simulated callers under a virtual clock, and their measurements."""

import random
import statistics
import typing

import trio
import trio.lowlevel

from bench import deployments
from bench import engines as bench_engines
from sardinebend_policy import draft_messages as msg
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_router import calls
from sardinebend_router import draft_runner
from sardinebend_router import state as state_lib
from sardinebend_router import watching
from sardinebend_settings import tree as tree_lib

MIN_TOKENS: typing.Final = 20
MAX_TOKENS: typing.Final = 80
DISCONNECT_SHARE: typing.Final = 0.7
DEADLINE_S: typing.Final = 20.0
REPORT_INTERVAL_S: typing.Final = 1.0


_ROUTE: typing.Final = {
    'model': deployments.MODEL,
    'model_version': '1',
    'layers': deployments.LAYERS,
}


class Sample(typing.NamedTuple):
    """Measurements of one request at its caller.

    Attributes:
        customer: Customer that made the request.
        at: Time of the request.
        first_s: Time to the first token; `None` without one.
        gaps_s: Times between successive tokens.
        outcome: Outcome of the request.
        cancelled: Whether the caller disconnected before the end.
        ended_at: Time at which the request ended.
    """

    customer: str
    at: float
    first_s: float | None
    gaps_s: tuple[float, ...]
    outcome: outcomes.Outcome | None
    cancelled: bool
    ended_at: float


class LoadPhase(typing.NamedTuple):
    """A phase of constant load.

    Attributes:
        tokens_per_s: Tokens per second that callers ask for and stay to
            receive, on average.
        seconds: Length of the phase.
        customers: Relative arrival rate of each customer.
    """

    tokens_per_s: float
    seconds: float
    customers: dict[str, float]


class Simulation:
    """A simulated deployment under load.

    Attributes:
        pool: The engines.
        hosts: States of the entry hosts.
        samples: One sample for each request that has ended.
        delivered_at: Time of delivery of each token.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        nursery: trio.Nursery,
        seed: int,
        values: dict[str, typing.Any],
    ) -> None:
        self._nursery = nursery
        self._rng = random.Random(seed)
        specs = deployments.make_engines(deployment)
        self.pool = bench_engines.Pool(specs)
        self.pool.has_caller_disconnected = self._has_caller_disconnected
        self.samples: list[Sample] = []
        self.delivered_at: list[float] = []
        self.hosts: list[state_lib.HostState] = []
        self._runners: list[draft_runner.DraftRunner] = []
        self._disconnected_requests: set[str] = set()
        self._request_count = 0
        for index in range(deployment.hosts):
            self._add_host(deployment, specs, index, values)
        nursery.start_soon(self._refresh_hosts)

    def _add_host(
        self,
        deployment: deployments.Deployment,
        specs: list,
        index: int,
        values: dict[str, typing.Any],
    ) -> None:
        domains = deployment.failure_domains
        domain = domains[index % len(domains)]
        own = membership.Member(f'h{index}', domain, 'http://h', 'h:1')
        tree = tree_lib.Tree(
            1, {'values/fleet': values, 'routes/assistant': _ROUTE}
        )
        rng = random.Random(self._rng.random())
        state = state_lib.HostState(own, 'r', tree, b'secret', rng)
        state.fleet.apply_specs(specs)
        driver = bench_engines.SimDriver(self.pool, self._nursery, domain)

        async def notify_peers(crashes: object) -> None:
            await trio.sleep(bench_engines.NETWORK_DELAY_S)

        runner = draft_runner.DraftRunner(state, driver, notify_peers)
        background_tasks = watching.BackgroundTasks(
            state, *typing.cast(typing.Any, (None, None, driver, None))
        )
        self._nursery.start_soon(background_tasks.run_cancels)
        self._nursery.start_soon(background_tasks.run_suspect_probes)
        self.hosts.append(state)
        self._runners.append(runner)

    async def _refresh_hosts(self) -> None:
        """Updates loads, heartbeats and admission limits of all hosts."""
        while True:
            now = trio.current_time()
            loads = self.pool.read_loads(now)
            for state in self.hosts:
                for endpoint_id in self.pool.specs:
                    running = loads.get(endpoint_id, 0)
                    state.fleet.record_report(endpoint_id, running, now)
                self._apply_heartbeats(state, now)
                state.update_limit()
            await trio.sleep(REPORT_INTERVAL_S)

    def _apply_heartbeats(self, state: state_lib.HostState, now: float) -> None:
        """Applies the heartbeats of all other hosts to a host."""
        others = [host for host in self.hosts if host is not state]
        state.membership.apply_listing([(host.own, False) for host in others])
        for host in others:
            # Settings version 1, no running requests, not leaving, ready.
            heartbeat = membership.Heartbeat(
                host.own.host_id, 'i', 1, 0, False, True
            )
            state.membership.record_heartbeat(heartbeat, now)

    def _has_caller_disconnected(self, request_id: str) -> bool:
        return request_id in self._disconnected_requests

    async def offer(self, phase: LoadPhase) -> None:
        """Makes requests at random times until the end of the phase."""
        mean_tokens = (MIN_TOKENS + MAX_TOKENS) / 2
        # A caller that disconnects early receives half of its answer on
        # average.
        mean_tokens *= 1 - DISCONNECT_SHARE / 2
        rate = phase.tokens_per_s / mean_tokens
        names = list(phase.customers)
        weights = list(phase.customers.values())
        end = trio.current_time() + phase.seconds
        while trio.current_time() < end:
            await trio.sleep(self._rng.expovariate(rate))
            [customer] = self._rng.choices(names, weights)
            self._nursery.start_soon(self._request, customer)

    async def _request(self, customer: str) -> None:
        self._request_count += 1
        index = self._rng.randrange(len(self._runners))
        tokens = self._rng.randint(MIN_TOKENS, MAX_TOKENS)
        disconnect_after_tokens = None
        if self._rng.random() < DISCONNECT_SHARE:
            disconnect_after_tokens = self._rng.randint(0, tokens - 1)
        now = trio.current_time()
        request_id = f'r{self._request_count}'
        request = msg.DraftRequest(
            request_id,
            customer,
            request_id,
            deployments.make_spec(),
            'p',
            tokens,
            now + DEADLINE_S,
        )
        runner = self._runners[index]
        session_runner = runner.make_session_runner(request, 'assistant')
        watch = calls.CallerPresence()
        times: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._read_answer,
                session_runner,
                watch,
                times,
                disconnect_after_tokens,
                request_id,
            )
            await runner.run(watch, session_runner, request, 'assistant')
            await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        self._add_sample(
            customer, now, times, session_runner.answer.outcome, watch
        )

    async def _read_answer(
        self,
        session_runner: typing.Any,
        watch: calls.CallerPresence,
        times: list[float],
        disconnect_after_tokens: int | None,
        request_id: str,
    ) -> None:
        """Notes when tokens arrive, and disconnects early if required.

        `session_runner` runs the request's session and holds its answer.
        """
        answer = session_runner.answer
        while answer.outcome is None:
            if (
                disconnect_after_tokens is not None
                and len(times) >= disconnect_after_tokens
            ):
                # A caller that disconnects before its first token does so
                # 0.2 s after its request.
                await trio.sleep(0.0 if times else 0.2)
                self._disconnected_requests.add(request_id)
                watch.mark_disconnected()
                return
            await answer.wait_for_more_than(len(times))
            now = trio.current_time()
            while len(times) < len(answer.tokens):
                times.append(now)
                self.delivered_at.append(now)

    def _add_sample(
        self,
        customer: str,
        at: float,
        times: list[float],
        outcome: outcomes.Outcome | None,
        watch: calls.CallerPresence,
    ) -> None:
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        first_s = times[0] - at if times else None
        self.samples.append(
            Sample(
                customer,
                at,
                first_s,
                tuple(gaps),
                outcome,
                watch.disconnected.is_set(),
                trio.current_time(),
            )
        )


def quantile(values: typing.Sequence[float], share: float) -> float:
    """Returns a quantile; 0 for no values."""
    if not values:
        return 0.0
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method='inclusive')
    return cuts[min(98, max(0, round(share * 100) - 1))]
