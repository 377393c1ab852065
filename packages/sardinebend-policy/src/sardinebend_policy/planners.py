"""Ways to choose a pipeline among the endpoints."""

import abc
import random
import typing

from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes

PREFIX_DISCOUNT: typing.Final = 0.5
CANDIDATES: typing.Final = 2
OVERLOAD_FACTOR: typing.Final = 4.0
DEFAULT_LINK_US: typing.Final = 1000.0
LOCAL_LINK_US: typing.Final = 50.0

_Range = tuple[int, int]


class Wish(typing.NamedTuple):
    """What a pipeline is wanted for.

    Attributes:
        spec: Model, version and layers.
        avoid: Endpoints that must not take part.
        keep: Endpoints whose cache holds this request's state.
        prefix: Hash of the prompt's first part.
        failure_domain: Failure domain of the asking host.
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

    def choose(self, wish: Wish, now: float) -> routes.PipelineRoute | None:
        """Returns a route that covers all layers, or `None`."""
        groups = self._group(wish, now)
        picks = {
            span: self.pick(states, wish, now)
            for span, states in groups.items()
        }
        stages = self._join(picks, wish, now)
        if stages is None:
            return None
        routes.check_cover(wish.spec.layers, stages)
        return routes.PipelineRoute(wish.spec, tuple(stages))

    @abc.abstractmethod
    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns one of several endpoints that hold the same layers."""

    def _group(
        self, wish: Wish, now: float
    ) -> dict[_Range, list[fleet_lib.EndpointState]]:
        groups: dict[_Range, list[fleet_lib.EndpointState]] = {}
        model = wish.spec.model
        for state in self._fleet.list_usable_engines(model, now):
            spec = state.spec
            if (
                not state.holds(wish.spec.model, wish.spec.model_version)
                or spec.endpoint_id in wish.avoid
            ):
                continue
            span = (spec.first_layer, spec.end_layer)
            groups.setdefault(span, []).append(state)
        return groups

    def _join(
        self,
        picks: dict[_Range, fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> list[routes.Stage] | None:
        """Joins ranges from layer 0 so that the slowest stage is fastest."""
        best: dict[int, tuple[float, float, list[routes.Stage], str]] = {
            0: (0.0, 0.0, [], wish.failure_domain)
        }
        for span in sorted(picks):
            first, end = span
            if first not in best:
                continue
            slowest, total, stages, domain = best[first]
            state = picks[span]
            cost = stage_cost_us(state, wish, now)
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
        found = best.get(wish.spec.layers)
        return found[2] if found else None


class RandomPlanner(Planner):
    """Picks by chance; a baseline."""

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns any of the endpoints."""
        return self._rng.choice(states)


class RoundRobinPlanner(Planner):
    """Picks each endpoint in turn; a baseline."""

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random) -> None:
        super().__init__(fleet, rng)
        self._turns: dict[_Range, int] = {}

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns the next endpoint in turn."""
        span = (states[0].spec.first_layer, states[0].spec.end_layer)
        turn = self._turns.get(span, 0)
        self._turns[span] = turn + 1
        return states[turn % len(states)]


class LeastLoadedPlanner(Planner):
    """Picks the endpoint with the smallest last report; a baseline."""

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns the endpoint that reported the least load."""
        return min(states, key=lambda state: state.report.running)


class SlowestStagePlanner(Planner):
    """Picks the cheaper of two random endpoints, warm ones first.

    Two random candidates keep the hosts from all choosing the one endpoint
    that a stale report shows as best.
    """

    def pick(
        self,
        states: list[fleet_lib.EndpointState],
        wish: Wish,
        now: float,
    ) -> fleet_lib.EndpointState:
        """Returns a kept endpoint, or the cheaper of two drawn by chance."""
        for state in states:
            if state.spec.endpoint_id in wish.keep:
                return state
        drawn = self._rng.sample(states, min(CANDIDATES, len(states)))
        if wish.prefix:
            warm = [s for s in states if s.holds_prefix(wish.prefix, now)]
            if warm:
                drawn.append(self._rng.choice(warm))
        return min(drawn, key=lambda state: stage_cost_us(state, wish, now))


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
    state: fleet_lib.EndpointState, wish: Wish, now: float
) -> float:
    """Estimates a token's time at an endpoint, in microseconds."""
    spec = state.spec
    layers = spec.end_layer - spec.first_layer
    running = state.estimate_running(now)
    # A request's tokens come one after another, so it occupies one stage at a
    # time: this one for about its share of the layers.
    share = layers / max(1, wish.spec.layers)
    load = (running + 1) * share / spec.batch_slots
    factor = 1 + load if load <= 1 else 2 + OVERLOAD_FACTOR * (load - 1)
    cost = layers * spec.layer_cost_us * factor
    if wish.prefix and state.holds_prefix(wish.prefix, now):
        cost *= PREFIX_DISCOUNT
    return cost


def count_pipelines(
    fleet: fleet_lib.Fleet, spec: routes.ModelSpec, now: float
) -> float:
    """Estimates how many requests all engines carry at full speed.

    Each span of layers carries the sum of its engines' batch slots, divided
    by the share of time that a request spends there; the scarcest span
    decides. The spans are taken as they are, also where they overlap.
    """
    room: dict[_Range, float] = {}
    for state in fleet.list_usable_engines(spec.model, now):
        item = state.spec
        if not state.holds(spec.model, spec.model_version):
            continue
        span = (item.first_layer, item.end_layer)
        share = (item.end_layer - item.first_layer) / spec.layers
        room[span] = room.get(span, 0.0) + item.batch_slots / share
    return min(room.values(), default=0.0)


def link_cost_us(from_domain: str, to_domain: str) -> float:
    """Estimates the time of one hop between failure domains."""
    return LOCAL_LINK_US if from_domain == to_domain else DEFAULT_LINK_US
