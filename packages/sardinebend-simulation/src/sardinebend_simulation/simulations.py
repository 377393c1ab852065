"""Simulates a deployment: callers, one host's decisions, engines, faults."""

import functools
import math
import random
import typing

from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import paths
from sardinebend_simulation import agenda as agenda_lib
from sardinebend_simulation import baselines
from sardinebend_simulation import deployments
from sardinebend_simulation import engines as engines_lib
from sardinebend_simulation import errors
from sardinebend_simulation import reports

# Delay from the loss of an engine to the repair of its streams: the stream gap
# after which a host checks for lost parts, plus one query to the first engine.
REPAIR_DELAY_S: typing.Final = 0.4
# Retry delay that a refused caller is given.
RETRY_AFTER_S: typing.Final = 1.0
# Number of times that a request is sent to engines before it is refused.
MAX_ATTEMPTS: typing.Final = 4


class Request:
    """One caller's request.

    Attributes:
        prompt_tokens: Number of prompt tokens.
        event_count: Number of events in the complete answer.
        arrived_at: Time at which the caller first sent the request.
        events_received: Number of events received so far.
        first_event_at: Time of the first event; `None` before it.
        idle_since: Start of the caller's current wait: the arrival or the last
            event, or the next retry after a refusal, which is in the future
            during the retry delay.
        longest_gap_s: Longest time between two events.
        attempt: The running attempt, if any.
        in_flight_entry: Path and tokens counted as load for the attempt.
        reading_entry: Path and tokens counted as unread for the attempt.
        attempt_count: Number of attempts since the request or its last retry.
        retries_left: Number of retries left to the caller after a refusal.
        outcome: How the request ended; `None` while it runs. It is `whole`
            after the last event, `refused` if no engines could run it and no
            retries are left, `broken` if no engines could continue it after
            its first event, `left` if the caller got no event for `leaves_s`,
            and `disconnected at random` for the callers of `leaving_share`.
    """

    def __init__(
        self,
        prompt_tokens: int,
        event_count: int,
        arrived_at: float,
        retries_left: int,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.event_count = event_count
        self.arrived_at = arrived_at
        self.events_received = 0
        self.first_event_at: float | None = None
        self.idle_since = arrived_at
        self.longest_gap_s = 0.0
        self.attempt: engines_lib.Attempt | None = None
        self.in_flight_entry: tuple[paths.Path, int] | None = None
        self.reading_entry: tuple[paths.Path, int] | None = None
        self.attempt_count = 0
        self.retries_left = retries_left
        self.outcome: str | None = None


class Simulation:
    """One simulation run of a deployment.

    Attributes:
        cluster: Engines of the deployment.
        requests: All requests so far.
        repair_times_s: Times from the loss of a part to the stream's next
            event.

    Raises:
        errors.InvalidDeployment: The placement or chooser is unknown.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        seed: int,
        placement: str = 'shipped',
        chooser: str = 'shipped',
    ) -> None:
        if placement not in baselines.PLACEMENTS:
            raise errors.InvalidDeployment(f'placement={placement!r}')
        if chooser not in baselines.CHOOSERS:
            raise errors.InvalidDeployment(f'chooser={chooser!r}')
        self._deployment = deployment
        self._traffic = deployment.traffic
        self._rng = random.Random(seed)
        self._agenda = agenda_lib.Agenda()
        model = deployment.engine_model()
        plan = baselines.PLACEMENTS[placement]().plan(
            model, deployment.make_endpoints()
        )
        self.cluster = engines_lib.Cluster(self._agenda, deployment, plan)
        gap_s = self._traffic.gap_s
        self._pause_s = gap_s if model.reading_can_break_pauses(gap_s) else None
        self._chooser = baselines.CHOOSERS[chooser](
            model, self._rng, self._pause_s
        )
        self._inflight = inflight_lib.InFlight()
        self.requests: list[Request] = []
        self.repair_times_s: list[float] = []
        self._part_lost_at: dict[Request, float] = {}
        self._labels = (placement, chooser, seed)

    def run(self) -> reports.Result:
        """Runs the simulation and returns its result."""
        for fault in self._deployment.faults:
            inject = functools.partial(self._inject_fault, fault)
            self._agenda.schedule_at(fault.at_s, inject)
        self._agenda.schedule_after(0.0, self._start_request)
        last_s = self._deployment.last_s
        self._agenda.run_until(last_s)
        # No requests start from here on. The running ones may finish or time
        # out; those that still run after twice the caller's time-out are
        # reported as `unfinished`.
        self._agenda.run_until(last_s + self._traffic.leaves_s * 2)
        return reports.summarize(
            self._deployment,
            self._labels,
            self.cluster,
            self.requests,
            self.repair_times_s,
        )

    # Callers.

    def _arrival_rate(self) -> float:
        traffic = self._traffic
        phase = self._agenda.now / traffic.period_s
        if traffic.shape == 'wave':
            wave = math.sin(2 * math.pi * phase)
            return traffic.per_s * (1 + traffic.swing * wave)
        if traffic.shape == 'burst' and int(phase) % 2:
            return traffic.per_s * (1 + traffic.swing)
        return traffic.per_s

    def _start_request(self) -> None:
        if self._agenda.now >= self._deployment.last_s:
            return
        rate = max(1e-6, self._arrival_rate())
        self._agenda.schedule_after(
            self._rng.expovariate(rate), self._start_request
        )
        engine, traffic = self._deployment.engine, self._traffic
        spread = traffic.prompt_spread
        factor = self._rng.lognormvariate(-spread * spread / 2, spread)
        request = Request(
            max(1, round(engine.usual_prompt * factor)),
            max(1, round(engine.usual_answer / engine.tokens_per_event)),
            self._agenda.now,
            traffic.retries,
        )
        self.requests.append(request)
        if self._rng.random() < traffic.leaving_share:
            leaves_s = self._rng.uniform(0.05, traffic.leaves_s)
            self._agenda.schedule_after(
                leaves_s,
                lambda: self._disconnect(request, 'disconnected at random'),
            )
        self._watch_idle_timeout(request)
        self._start_attempt(request, frozenset())

    def _watch_idle_timeout(self, request: Request) -> None:
        """Disconnects the caller after `leaves_s` without an event."""
        if request.outcome is not None:
            return
        remaining_s = self._traffic.leaves_s - (
            self._agenda.now - request.idle_since
        )
        if remaining_s <= 1e-9:
            self._disconnect(request, 'left')
            return
        self._agenda.schedule_after(
            remaining_s, lambda: self._watch_idle_timeout(request)
        )

    def _disconnect(self, request: Request, outcome: str) -> None:
        if request.outcome is None:
            self._stop_attempt(request)
            request.outcome = outcome

    # The host.

    def _start_attempt(
        self, request: Request, excluded: frozenset[str]
    ) -> None:
        if request.outcome is not None:
            return
        engine = self._deployment.engine
        generated_tokens = request.events_received * engine.tokens_per_event
        expected_tokens = request.prompt_tokens + int(engine.usual_answer)
        now = self._agenda.now
        path = None
        if request.attempt_count < MAX_ATTEMPTS:
            query = baselines.PathQuery(
                self.cluster.live_endpoints(),
                self._inflight.loads(now),
                expected_tokens,
                excluded,
                now,
                self._link_use(now),
                self.cluster.revision,
            )
            path = self._chooser.choose(query)
        if path is None:
            self._refuse(request)
            return
        request.attempt_count += 1
        self._add_in_flight(request, path, expected_tokens)
        self._inflight.crossings.add(
            path, request.prompt_tokens + generated_tokens, now
        )
        request.attempt = engines_lib.Attempt(
            path,
            request.prompt_tokens + generated_tokens,
            lambda: self._on_event(request),
            lambda engine_id: self._on_refused(request, engine_id, excluded),
        )
        self.cluster.start(request.attempt)

    def _link_use(self, now: float) -> float:
        tokens = self._inflight.crossing_tokens(now)
        domains = {e.endpoint.domain for e in self.cluster.engines.values()}
        links = max(1, len(domains) * (len(domains) - 1) / 2)
        busy_ms = tokens * paths.link_ms_per_token(self.cluster.model)
        return busy_ms / 1000 / links

    def _add_in_flight(
        self, request: Request, path: paths.Path, tokens: int
    ) -> None:
        self._remove_in_flight(request)
        request.in_flight_entry = (path, tokens)
        self._inflight.add(path, tokens)
        if self._pause_s is not None:
            read_tokens = (
                tokens if request.events_received else request.prompt_tokens
            )
            request.reading_entry = (path, read_tokens)
            self._inflight.begin_reading(*request.reading_entry)

    def _end_reading(self, request: Request) -> None:
        if request.reading_entry is not None:
            self._inflight.end_reading(*request.reading_entry)
            request.reading_entry = None

    def _remove_in_flight(self, request: Request) -> None:
        self._end_reading(request)
        if request.in_flight_entry is not None:
            self._inflight.remove(*request.in_flight_entry)
            request.in_flight_entry = None

    def _stop_attempt(self, request: Request) -> None:
        self._remove_in_flight(request)
        if request.attempt is not None:
            self.cluster.stop(request.attempt)
            request.attempt = None

    def _refuse(self, request: Request) -> None:
        self._stop_attempt(request)
        if request.events_received or request.retries_left <= 0:
            request.outcome = 'broken' if request.events_received else 'refused'
            return
        request.retries_left -= 1
        request.attempt_count = 0
        wait_s = RETRY_AFTER_S
        if self._rng.random() < self._traffic.repeats_at_once:
            wait_s = 0.0
        request.idle_since = self._agenda.now + wait_s
        self._agenda.schedule_after(
            wait_s, lambda: self._start_attempt(request, frozenset())
        )

    def _on_refused(
        self, request: Request, engine_id: str, excluded: frozenset[str]
    ) -> None:
        self._remove_in_flight(request)
        request.attempt = None
        # Schedules the retry instead of calling `_start_attempt`, because
        # `Cluster.start` is still running.
        excluded_next = excluded | {engine_id}
        self._agenda.schedule_after(
            0.002, lambda: self._start_attempt(request, excluded_next)
        )

    def _on_event(self, request: Request) -> bool:
        """Records an event; returns whether the stream continues."""
        now = self._agenda.now
        self._end_reading(request)
        part_lost_at = self._part_lost_at.pop(request, None)
        if part_lost_at is not None:
            self.repair_times_s.append(now - part_lost_at)
        if request.first_event_at is None:
            request.first_event_at = now
        else:
            gap_s = now - request.idle_since
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.idle_since = now
        request.events_received += 1
        if request.events_received < request.event_count:
            return True
        self._remove_in_flight(request)
        request.attempt = None
        request.outcome = 'whole'
        return False

    # Faults.

    def _inject_fault(self, fault: deployments.Fault) -> None:
        engine_ids = self._select_engines(fault)
        for engine_id in engine_ids:
            if fault.kind == 'slow':
                self.cluster.engines[engine_id].slowdown = fault.factor
            else:
                self._crash_engine(engine_id)
        self._agenda.schedule_after(
            fault.for_s, lambda: self._end_fault(fault, engine_ids)
        )

    def _select_engines(self, fault: deployments.Fault) -> list[str]:
        candidates = [
            e
            for e in self.cluster.engines.values()
            if e.is_running
            and e.endpoint.span is not None
            and fault.domain in ('', e.endpoint.domain)
        ]
        if fault.kind == 'domain':
            domain = (
                fault.domain or self._rng.choice(candidates).endpoint.domain
            )
            return [
                e.endpoint.endpoint_id
                for e in candidates
                if e.endpoint.domain == domain
            ]
        self._rng.shuffle(candidates)
        return [e.endpoint.endpoint_id for e in candidates[: fault.count]]

    def _end_fault(
        self, fault: deployments.Fault, engine_ids: typing.Iterable[str]
    ) -> None:
        for engine_id in engine_ids:
            if fault.kind == 'slow':
                self.cluster.engines[engine_id].slowdown = 1.0
            else:
                self.cluster.set_running(engine_id, True)

    def _crash_engine(self, engine_id: str) -> None:
        self.cluster.set_running(engine_id, False)
        for request in self.requests:
            attempt = request.attempt
            if attempt is not None and any(
                part.endpoint.endpoint_id == engine_id for part in attempt.path
            ):
                self._part_lost_at.setdefault(request, self._agenda.now)
                repair = functools.partial(self._repair, request, attempt)
                self._agenda.schedule_after(REPAIR_DELAY_S, repair)

    def _repair(self, request: Request, attempt: engines_lib.Attempt) -> None:
        """Replaces the failed parts of a stream, or starts a new attempt."""
        if request.outcome is not None or request.attempt is not attempt:
            return
        live = {e.endpoint_id for e in self.cluster.live_endpoints()}
        dead = {
            part.endpoint.endpoint_id
            for part in attempt.path
            if part.endpoint.endpoint_id not in live
        }
        path = None
        if dead:
            loads = self._inflight.loads(self._agenda.now)
            finder = self._chooser.finder().with_loads(loads)
            path = paths.repair(finder, attempt.path, dead, attempt.tokens)
        if path is not None and self.cluster.change_path(attempt, path):
            expected_tokens = request.prompt_tokens + int(
                self._deployment.engine.usual_answer
            )
            self._add_in_flight(request, path, expected_tokens)
            return
        self._stop_attempt(request)
        self._start_attempt(request, frozenset(dead))
