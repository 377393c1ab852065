"""Strategies for choosing the endpoints of a pipeline."""

import abc
import random
import typing

from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes

PREFIX_DISCOUNT: typing.Final = 0.5
RANDOM_CANDIDATES: typing.Final = 2
OVERLOAD_FACTOR: typing.Final = 4.0
CROSS_DOMAIN_LINK_US: typing.Final = 1000.0
LOCAL_LINK_US: typing.Final = 50.0

_LayerRange = tuple[int, int]


class PipelineQuery(typing.NamedTuple):
    """Requirements and preferences for a pipeline.

    Attributes:
        spec: Model, version and layers.
        avoid: Endpoints to exclude.
        keep: Endpoints whose cache holds the state of this request.
        prefix: Hash of the beginning of the prompt.
        failure_domain: Failure domain of the requesting host.
    """

    spec: routes.ModelSpec
    avoid: frozenset[str] = frozenset()
    keep: frozenset[str] = frozenset()
    prefix: str = ''
    failure_domain: str = ''


class Planner(abc.ABC):
    """Chooses the endpoints of a pipeline."""

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    def choose(
        self, query: PipelineQuery, now: float
    ) -> routes.PipelineRoute | None:
        """Returns a route that covers all layers, or `None`."""
        groups = self._group_by_span(query, now)
        picks = {
            span: self.pick(states, query, now)
            for span, states in groups.items()
        }
        stages = self._join_spans(picks, query, now)
        if stages is None:
            return None
        routes.check_cover(query.spec.layers, stages)
        return routes.PipelineRoute(query.spec, tuple(stages))

    @abc.abstractmethod
    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns one of several endpoints that hold the same layers."""

    def _group_by_span(
        self, query: PipelineQuery, now: float
    ) -> dict[_LayerRange, list[fleet_lib.EndpointState]]:
        groups: dict[_LayerRange, list[fleet_lib.EndpointState]] = {}
        model = query.spec.model
        for state in self._fleet.list_usable_engines(model, now):
            spec = state.spec
            if (
                not state.holds(query.spec.model, query.spec.model_version)
                or spec.endpoint_id in query.avoid
            ):
                continue
            span = (spec.first_layer, spec.end_layer)
            groups.setdefault(span, []).append(state)
        return groups

    def _join_spans(
        self,
        picks: dict[_LayerRange, fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> list[routes.Stage] | None:
        """Joins spans from layer 0 so that the slowest stage is fastest."""
        best: dict[int, tuple[float, float, list[routes.Stage], str]] = {
            0: (0.0, 0.0, [], query.failure_domain)
        }
        for span in sorted(picks):
            first, end = span
            if first not in best:
                continue
            slowest, total, stages, domain = best[first]
            state = picks[span]
            cost = stage_cost_us(state, query, now)
            cost += link_cost_us(domain, state.spec.failure_domain)
            candidate = (max(slowest, cost), total + cost)
            if end in best and best[end][:2] <= candidate:
                continue
            stage = routes.Stage(state.spec.endpoint_id, first, end)
            best[end] = (
                *candidate,
                [*stages, stage],
                state.spec.failure_domain,
            )
        found = best.get(query.spec.layers)
        return found[2] if found else None


class RandomPlanner(Planner):
    """Picks an endpoint at random; a baseline."""

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns one of the endpoints at random."""
        return self._rng.choice(states)


class RoundRobinPlanner(Planner):
    """Picks each endpoint in turn; a baseline."""

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        self._turns: dict[_LayerRange, int] = {}

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns the next endpoint in turn."""
        span = (states[0].spec.first_layer, states[0].spec.end_layer)
        turn = self._turns.get(span, 0)
        self._turns[span] = turn + 1
        return states[turn % len(states)]


class LeastLoadedPlanner(Planner):
    """Picks the endpoint with the least reported load; a baseline."""

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns the endpoint that reported the least load."""
        return min(states, key=lambda state: state.report.running)


class SlowestStagePlanner(Planner):
    """Picks the cheapest of two random endpoints and one with a warm cache.

    Random candidates prevent all hosts from choosing the same endpoint, the
    one that looks best in an outdated report.
    """

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        query: PipelineQuery,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns an endpoint to keep, or the cheapest of the candidates."""
        for state in states:
            if state.spec.endpoint_id in query.keep:
                return state
        candidates = self._rng.sample(
            states, min(RANDOM_CANDIDATES, len(states))
        )
        if query.prefix:
            warm = [s for s in states if s.holds_prefix(query.prefix, now)]
            if warm:
                candidates.append(self._rng.choice(warm))
        return min(
            candidates, key=lambda state: stage_cost_us(state, query, now)
        )


PLANNERS: typing.Final[dict[str, type[Planner]]] = {
    'slowest_stage': SlowestStagePlanner,
    'least_loaded': LeastLoadedPlanner,
    'round_robin': RoundRobinPlanner,
    'random': RandomPlanner,
}


def make_planner(
    name: str, fleet: fleet_lib.Fleet, rng: random.Random
) -> Planner:
    """Returns the planner that the setting `routing.policy` names."""
    return PLANNERS[name](fleet, rng)


def stage_cost_us(
    state: fleet_lib.EndpointState, query: PipelineQuery, now: float
) -> float:
    """Estimates a token's time at an endpoint, in microseconds."""
    spec = state.spec
    layers = spec.end_layer - spec.first_layer
    running = state.estimate_running(now)
    # The tokens of a request are produced one after another, so it occupies one
    # stage at a time, and this one for about its share of the layers.
    share = layers / max(1, query.spec.layers)
    load = (running + 1) * share / spec.batch_slots
    factor = 1 + load if load <= 1 else 2 + OVERLOAD_FACTOR * (load - 1)
    cost = layers * spec.layer_cost_us * factor
    if query.prefix and state.holds_prefix(query.prefix, now):
        cost *= PREFIX_DISCOUNT
    return cost


def count_pipelines(
    fleet: fleet_lib.Fleet, spec: routes.ModelSpec, now: float
) -> float:
    """Estimates how many requests all engines can run at full speed.

    The capacity of a span of layers is the sum of its engines' batch slots,
    divided by the share of time that a request spends there. The span with the
    least capacity limits the total. Overlapping spans are counted separately.
    """
    capacities: dict[_LayerRange, float] = {}
    for state in fleet.list_usable_engines(spec.model, now):
        item = state.spec
        if not state.holds(spec.model, spec.model_version):
            continue
        span = (item.first_layer, item.end_layer)
        share = (item.end_layer - item.first_layer) / spec.layers
        capacities[span] = capacities.get(span, 0.0) + item.batch_slots / share
    return min(capacities.values(), default=0.0)


def link_cost_us(from_domain: str, to_domain: str) -> float:
    """Estimates the time of one hop within or between failure domains."""
    return LOCAL_LINK_US if from_domain == to_domain else CROSS_DOMAIN_LINK_US
