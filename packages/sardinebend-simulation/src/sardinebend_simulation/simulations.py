"""Plays a deployment: callers, one host's decisions, engines and faults."""

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

# From an engine's loss until its streams are repaired: the pause that hosts
# look into, and one question to the first engine.
DETECT_S: typing.Final = 0.4
# A caller that is refused is told to come back after this long.
RETRY_AFTER_S: typing.Final = 1.0
# Endpoints that a request is sent to before it is refused.
MAX_SENDS: typing.Final = 4


class Request:
    """One caller's request.

    Attributes:
        prompt: Tokens to read.
        events: Events to write.
        asked_at: When the caller first asked.
        made: Events that have come.
        last_at: When the last one came.
        longest_gap_s: Longest pause between two.
        send: Where it runs at the moment.
        sends: How often it was sent to an engine.
        tries_left: How often the caller comes back after a refusal.
        end: How it ended, once it has.
    """

    def __init__(
        self, prompt: int, events: int, asked_at: float, tries_left: int
    ) -> None:
        self.prompt = prompt
        self.events = events
        self.asked_at = asked_at
        self.made = 0
        self.first_at: float | None = None
        self.last_at = asked_at
        self.longest_gap_s = 0.0
        self.send: engines_lib.Send | None = None
        self.counted: tuple[paths.Path, int] | None = None
        self.sends = 0
        self.tries_left = tries_left
        self.end: str | None = None


class Simulation:
    """One play of a deployment.

    Attributes:
        cluster: Its engines.
        requests: All requests so far.
        repairs_s: Time from the loss of a part to the stream's next event.

    Raises:
        errors.InvalidDeployment: No placement or chooser has that name.
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
        model = deployment.model()
        plan = baselines.PLACEMENTS[placement]().plan(
            model, deployment.make_endpoints()
        )
        self.cluster = engines_lib.Cluster(self._agenda, deployment, plan)
        self._chooser = baselines.CHOOSERS[chooser](model, self._rng)
        self._inflight = inflight_lib.InFlight()
        self.requests: list[Request] = []
        self.repairs_s: list[float] = []
        self._lost_at: dict[Request, float] = {}
        self._names = (placement, chooser, seed)

    def run(self) -> reports.Result:
        """Plays it and returns what it showed."""
        for fault in self._deployment.faults:
            strike = functools.partial(self._strike, fault)
            self._agenda.at(fault.at_s, strike)
        self._agenda.after(0.0, self._arrive)
        last_s = self._deployment.last_s
        self._agenda.run(last_s)
        self._agenda.run(last_s + self._traffic.leaves_s * 2)
        return reports.make(
            self._deployment,
            self._names,
            self.cluster,
            self.requests,
            self.repairs_s,
        )

    # Callers.

    def _rate(self) -> float:
        traffic = self._traffic
        phase = self._agenda.now / traffic.period_s
        if traffic.shape == 'wave':
            wave = math.sin(2 * math.pi * phase)
            return traffic.per_s * (1 + traffic.swing * wave)
        if traffic.shape == 'burst' and int(phase) % 2:
            return traffic.per_s * (1 + traffic.swing)
        return traffic.per_s

    def _arrive(self) -> None:
        if self._agenda.now >= self._deployment.last_s:
            return
        rate = max(1e-6, self._rate())
        self._agenda.after(self._rng.expovariate(rate), self._arrive)
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
            self._agenda.after(leaves_s, lambda: self._leave(request, 'gone'))
        self._watch_patience(request)
        self._send(request, frozenset())

    def _watch_patience(self, request: Request) -> None:
        """Has the caller leave once nothing has come for too long."""
        if request.end is not None:
            return
        left_s = self._traffic.leaves_s - (self._agenda.now - request.last_at)
        if left_s <= 1e-9:
            self._leave(request, 'left')
            return
        self._agenda.after(left_s, lambda: self._watch_patience(request))

    def _leave(self, request: Request, how: str) -> None:
        if request.end is None:
            self._stop(request)
            request.end = how

    # The host.

    def _send(self, request: Request, avoid: frozenset[str]) -> None:
        if request.end is not None:
            return
        engine = self._deployment.engine
        written = request.made * engine.tokens_per_event
        expected = request.prompt + int(engine.usual_answer)
        now = self._agenda.now
        path = None
        if request.sends < MAX_SENDS:
            question = baselines.Question(
                self.cluster.up(),
                self._inflight.loads(now),
                expected,
                avoid,
                now,
                self._link_use(now),
                self.cluster.revision,
            )
            path = self._chooser.choose(question)
        if path is None:
            self._refuse(request)
            return
        request.sends += 1
        self._count(request, path, expected)
        self._inflight.crossings.add(path, request.prompt + written, now)
        request.send = engines_lib.Send(
            path,
            request.prompt + written,
            lambda: self._on_event(request),
            lambda name: self._on_refused(request, name, avoid),
        )
        self.cluster.begin(request.send)

    def _link_use(self, now: float) -> float:
        tokens = self._inflight.crossing_tokens(now)
        domains = {e.endpoint.domain for e in self.cluster.engines.values()}
        links = max(1, len(domains) * (len(domains) - 1) / 2)
        busy_ms = tokens * paths.crossing_ms(self.cluster.model)
        return busy_ms / 1000 / links

    def _count(self, request: Request, path: paths.Path, tokens: int) -> None:
        self._uncount(request)
        request.counted = (path, tokens)
        self._inflight.add(path, tokens)

    def _uncount(self, request: Request) -> None:
        if request.counted is not None:
            self._inflight.remove(*request.counted)
            request.counted = None

    def _stop(self, request: Request) -> None:
        self._uncount(request)
        if request.send is not None:
            self.cluster.end(request.send)
            request.send = None

    def _refuse(self, request: Request) -> None:
        self._stop(request)
        if request.made or request.tries_left <= 0:
            request.end = 'broken' if request.made else 'refused'
            return
        request.tries_left -= 1
        request.sends = 0
        wait_s = RETRY_AFTER_S
        if self._rng.random() < self._traffic.repeats_at_once:
            wait_s = 0.0
        request.last_at = self._agenda.now + wait_s
        self._agenda.after(wait_s, lambda: self._send(request, frozenset()))

    def _on_refused(
        self, request: Request, name: str, avoid: frozenset[str]
    ) -> None:
        self._uncount(request)
        request.send = None
        # Sent again from outside the engine's own pass.
        again = avoid | {name}
        self._agenda.after(0.002, lambda: self._send(request, again))

    def _on_event(self, request: Request) -> bool:
        """Takes in an event; returns whether more are to come."""
        now = self._agenda.now
        lost_at = self._lost_at.pop(request, None)
        if lost_at is not None:
            self.repairs_s.append(now - lost_at)
        if request.first_at is None:
            request.first_at = now
        else:
            gap_s = now - request.last_at
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        request.last_at = now
        request.made += 1
        if request.made < request.events:
            return True
        self._uncount(request)
        request.send = None
        request.end = 'whole'
        return False

    # Faults.

    def _strike(self, fault: deployments.Fault) -> None:
        names = self._pick(fault)
        for name in names:
            if fault.kind == 'slow':
                self.cluster.engines[name].slowness = fault.factor
            else:
                self._lose(name)
        self._agenda.after(fault.for_s, lambda: self._heal(fault, names))

    def _pick(self, fault: deployments.Fault) -> list[str]:
        found = [
            e
            for e in self.cluster.engines.values()
            if e.is_up
            and e.endpoint.span is not None
            and fault.domain in ('', e.endpoint.domain)
        ]
        if fault.kind == 'domain':
            domain = fault.domain or self._rng.choice(found).endpoint.domain
            return [
                e.endpoint.endpoint_id
                for e in found
                if e.endpoint.domain == domain
            ]
        self._rng.shuffle(found)
        return [e.endpoint.endpoint_id for e in found[: fault.count]]

    def _heal(
        self, fault: deployments.Fault, names: typing.Iterable[str]
    ) -> None:
        for name in names:
            if fault.kind == 'slow':
                self.cluster.engines[name].slowness = 1.0
            else:
                self.cluster.set_up(name, True)

    def _lose(self, name: str) -> None:
        self.cluster.set_up(name, False)
        for request in self.requests:
            send = request.send
            if send is not None and any(
                part.endpoint.endpoint_id == name for part in send.path
            ):
                self._lost_at.setdefault(request, self._agenda.now)
                mend = functools.partial(self._mend, request, send)
                self._agenda.after(DETECT_S, mend)

    def _mend(self, request: Request, send: engines_lib.Send) -> None:
        """Continues a stream around dead engines, or elsewhere."""
        if request.end is not None or request.send is not send:
            return
        up = {e.endpoint_id for e in self.cluster.up()}
        dead = {
            part.endpoint.endpoint_id
            for part in send.path
            if part.endpoint.endpoint_id not in up
        }
        path = None
        if dead:
            loads = self._inflight.loads(self._agenda.now)
            finder = self._chooser.finder().with_loads(loads)
            path = paths.repair(finder, send.path, dead, send.tokens)
        if path is not None and self.cluster.change_path(send, path):
            expected = request.prompt + int(
                self._deployment.engine.usual_answer
            )
            self._count(request, path, expected)
            return
        self._stop(request)
        self._send(request, frozenset(dead))
