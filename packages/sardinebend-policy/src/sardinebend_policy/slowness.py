"""Knows which engines are slower than their published figures.

A stream shows only how slow its whole path is. So a pause that callers notice
merely raises a doubt about the engines of a path, unless slow ones that are
known explain it. Each engine that is doubted is asked for its pace, and what it
states is shared between hosts. No engine takes less than its published time, so
a path that is fast bounds how slow each of its engines can be.

Silence makes nobody slow: a late event, or one that is still missing, raises a
doubt and no more.
"""

import math
import random
import typing

from sardinebend_policy import catalog
from sardinebend_policy import paths

# Factor from which an engine counts as slow. A pass that waits for another one
# and reads a prompt meanwhile may take twice the published time.
SLOW_FACTOR: typing.Final = 2.0
# Larger factors are cut: an engine that is so slow serves nobody in time.
MAX_FACTOR: typing.Final = 100.0
# Time for which evidence counts in full, and after which half of what exceeds 1
# is left. An engine that gets no work shows nothing, so it must get some again.
HOLD_S: typing.Final = 3.0
HALF_LIFE_S: typing.Final = 0.5
# Evidence that is older tells nothing.
MAX_AGE_S: typing.Final = 10.0
# An engine isn't asked again while what is known of it is newer than this.
FRESH_S: typing.Final = 2.0
# Time for which others are told that an engine is no longer slow; heartbeats of
# a large fleet take some rounds to reach all hosts.
RECOVERY_NEWS_S: typing.Final = 5.0
# A doubt that nothing renews ends after this time.
DOUBT_S: typing.Final = 1.0
# A stream waits half a pass on average for the one in progress at each engine.
PASSES_PER_EVENT: typing.Final = 1.5
# A pause of this many times the predicted one isn't explained by it.
UNEXPLAINED_FACTOR: typing.Final = 2.0


class _Doubt(typing.NamedTuple):
    """Late events of paths through an engine, and when the last one came."""

    events: int
    at: float


class Statement(typing.NamedTuple):
    """How slow an engine was found to be.

    Attributes:
        endpoint_id: The engine.
        factor: Time that it takes, relative to its published figures.
        at: When it was.
        number: Rises with each finding about the engine. Ages grow by less than
            the time that heartbeats take, so that a finding which returns over
            other hosts would seem to be newer than it is.
    """

    endpoint_id: str
    factor: float
    at: float
    number: int


class Change(typing.NamedTuple):
    """An engine that begins or ceases to count as slow."""

    endpoint_id: str
    factor: float
    previous: float


def part_ms(
    engine: catalog.EngineModel, part: paths.Part, requests: float = 1.0
) -> float:
    """Returns the published time of a pass that writes, at one engine.

    Args:
        engine: Published figures of the engines.
        part: The engine and its layers.
        requests: Requests that it runs.
    """
    card = engine.cards.get(part.endpoint.card)
    if card is None or engine.layers <= 0:
        return 0.0
    context = engine.usual_prompt + engine.usual_answer / 2
    step_ms = engine.step_ms + requests * (
        engine.per_request_ms + engine.context_ms_per_token * context
    )
    share = part.span.size / engine.layers
    return engine.stride * step_ms * card.step_factor * share


def event_ms(
    engine: catalog.EngineModel,
    path: paths.Path,
    loads: typing.Mapping[str, paths.Load],
) -> float:
    """Returns the time between events that a path is expected to take."""
    total = 0.0
    for part in path:
        load = loads.get(part.endpoint.endpoint_id, paths.IDLE)
        total += part_ms(engine, part, max(1.0, load.requests)) * load.slowness
    return PASSES_PER_EVENT * total


def explains(
    engine: catalog.EngineModel,
    path: paths.Path,
    loads: typing.Mapping[str, paths.Load],
    gap_s: float,
) -> bool:
    """Returns whether a path is known to be slow enough for a gap."""
    return gap_s * 1e3 <= UNEXPLAINED_FACTOR * event_ms(engine, path, loads)


class SlownessTable:
    """What a host knows of slow engines, and which it doubts."""

    def __init__(self) -> None:
        self._statements: dict[str, Statement] = {}
        self._doubts: dict[str, _Doubt] = {}
        self._slow: dict[str, float] = {}
        self._recovered: set[str] = set()

    @property
    def has_suspects(self) -> bool:
        """Whether any engine is doubted or counted as slow at the last look."""
        return bool(self._slow or self._doubts)

    def record(self, endpoint_id: str, factor: float, at: float) -> None:
        """Records how slow this host has found an engine to be.

        Args:
            endpoint_id: The engine.
            factor: Its factor; one below 1 counts as 1.
            at: When it was found.
        """
        last = self._statements.get(endpoint_id)
        number = last.number + 1 if last else 1
        self.apply(Statement(endpoint_id, factor, at, number))

    def apply(self, statement: Statement) -> bool:
        """Applies a finding of any host; returns whether it was news."""
        name = statement.endpoint_id
        last = self._statements.get(name)
        if last is not None and last.number >= statement.number:
            return False
        if not math.isfinite(statement.factor):
            return False
        self._doubts.pop(name, None)
        factor = min(MAX_FACTOR, max(1.0, statement.factor))
        if factor >= SLOW_FACTOR:
            self._recovered.discard(name)
        elif last is not None and last.factor >= SLOW_FACTOR:
            self._recovered.add(name)
        self._statements[name] = statement._replace(factor=factor)
        return True

    def record_late_event(
        self,
        engine: catalog.EngineModel,
        path: paths.Path,
        gap_s: float,
        loads: typing.Mapping[str, paths.Load],
        now: float,
    ) -> None:
        """Doubts the engines of a path whose event came too late for callers.

        Args:
            engine: Published figures of the engines.
            path: The path.
            gap_s: Time since the event before.
            loads: Load of each engine, with what is known of its slowness.
            now: The time.
        """
        if explains(engine, path, loads, gap_s):
            return
        for part in path:
            name = part.endpoint.endpoint_id
            if not self._is_fresh(name, now):
                last = self._doubts.get(name)
                events = last.events if last else 0
                self._doubts[name] = _Doubt(events + 1, now)

    def record_events(
        self,
        engine: catalog.EngineModel,
        path: paths.Path,
        gap_s: float,
        now: float,
    ) -> None:
        """Bounds how slow the engines of a path are by events in time.

        Args:
            engine: Published figures of the engines.
            path: The path.
            gap_s: Mean time between some of its last events.
            now: The time.
        """
        least_ms = [part_ms(engine, part) for part in path]
        excess_ms = max(0.0, gap_s * 1e3 - sum(least_ms))
        for part, own_ms in zip(path, least_ms, strict=True):
            name = part.endpoint.endpoint_id
            bound = 1 + excess_ms / max(own_ms, 1e-9)
            self._weaken_doubt(name)
            if bound < SLOW_FACTOR and (
                name in self._doubts or self.factor(name, now) > bound
            ):
                self.record(name, bound, now)

    def _weaken_doubt(self, endpoint_id: str) -> None:
        """Halves what speaks against an engine whose events come in time."""
        doubt = self._doubts.get(endpoint_id)
        if doubt is not None:
            self._doubts[endpoint_id] = doubt._replace(
                events=max(1, doubt.events // 2)
            )

    def doubtful(self, now: float) -> dict[str, int]:
        """Returns the engines that are doubted, and asked by nobody yet.

        Returns:
            For each, how many late events speak against it.
        """
        self._doubts = {
            name: doubt
            for name, doubt in self._doubts.items()
            if now - doubt.at <= DOUBT_S and not self._is_fresh(name, now)
        }
        return {name: d.events for name, d in sorted(self._doubts.items())}

    def factor(self, endpoint_id: str, now: float) -> float:
        """Returns how slow an engine is taken to be; 1 if nothing is known."""
        known = self._statements.get(endpoint_id)
        if known is None:
            return 1.0
        excess_age_s = max(0.0, now - known.at - HOLD_S)
        decay: float = 0.5 ** (excess_age_s / HALF_LIFE_S)
        return 1 + (known.factor - 1) * decay

    def age_s(self, endpoint_id: str, now: float) -> float:
        """Returns the age of what is known of an engine, else infinity."""
        known = self._statements.get(endpoint_id)
        return math.inf if known is None else now - known.at

    def slow(self, now: float) -> dict[str, float]:
        """Returns the factor of each engine that counts as slow."""
        factors = {
            name: self.factor(name, now)
            for name, known in self._statements.items()
            if known.factor >= SLOW_FACTOR
        }
        return {n: f for n, f in factors.items() if f >= SLOW_FACTOR}

    def take_changes(self, now: float) -> list[Change]:
        """Returns what has changed since the last call, and drops what is old.

        An engine is named once when it begins to count as slow, and once when
        it ceases to.
        """
        for name, known in list(self._statements.items()):
            if now - known.at > MAX_AGE_S:
                del self._statements[name]
        self._recovered &= self._statements.keys()
        before, self._slow = self._slow, self.slow(now)
        return [
            Change(name, self.factor(name, now), before.get(name, 1.0))
            for name in sorted(before.keys() ^ self._slow.keys())
        ]

    def statements_to_send(
        self, now: float, limit: int, rng: random.Random
    ) -> list[Statement]:
        """Returns some of what other hosts should know.

        Those that are slow or have ceased to be come first. What else was found
        not to be slow is of use while it is fresh, so that nobody asks again.
        """
        urgent, others = [], []
        for name, known in self._statements.items():
            is_recovery = name in self._recovered and (
                now - known.at < RECOVERY_NEWS_S
            )
            if is_recovery or self.factor(name, now) >= SLOW_FACTOR:
                urgent.append(known)
            elif self._is_fresh(name, now):
                others.append(known)
        chosen = rng.sample(urgent, min(limit, len(urgent)))
        left = min(limit - len(chosen), len(others))
        return chosen + rng.sample(others, left)

    def forget(self, listed: typing.Collection[str]) -> None:
        """Drops all engines except those named."""
        for name in self._statements.keys() - set(listed):
            del self._statements[name]

    def _is_fresh(self, endpoint_id: str, now: float) -> bool:
        return self.age_s(endpoint_id, now) < FRESH_S
