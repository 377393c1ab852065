"""Placement and path selection: the product's own algorithms and baselines.

The algorithms of the product, that is, of the router, are called `shipped`.
"""

import abc
import random
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import path_cache
from sardinebend_policy import paths
from sardinebend_policy import placement

Plan = dict[str, endpoints_lib.Span]


class Placement(abc.ABC):
    """Assigns layers to endpoints that hold no layers yet."""

    @abc.abstractmethod
    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the layer range of each endpoint that holds layers."""


class ShippedPlacement(Placement):
    """Uses the placement algorithm of the product."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the layer range of each endpoint that holds layers."""
        cards = [
            placement.PlacementEndpoint(
                e.endpoint_id,
                e.domain,
                placement.capacity_of(engine, e.card),
                None,
            )
            for e in endpoints
        ]
        return placement.make_plan(engine.layers, cards)


class FastestCardsPlacement(Placement):
    """Places one copy on the fastest cards, regardless of their domain."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the layer range of each endpoint that holds layers."""
        return _place_by_speed(engine, endpoints, copies=1)


class GreedyPlacement(Placement):
    """Places as many copies as fit, card by card, fastest cards first."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the layer range of each endpoint that holds layers."""
        return _place_by_speed(engine, endpoints, copies=len(endpoints))


def _place_by_speed(
    engine: catalog.EngineModel,
    endpoints: typing.Sequence[endpoints_lib.Endpoint],
    copies: int,
) -> Plan:
    """Places copies one after the other on the cards, fastest first."""
    plan: Plan = {}
    next_layer = complete_copies = 0
    ordered = sorted(
        endpoints,
        key=lambda e: (engine.cards[e.card].step_factor, e.endpoint_id),
    )
    for endpoint in ordered:
        size = placement.capacity_of(engine, endpoint.card)
        if size <= 0 or complete_copies >= copies:
            continue
        end = min(engine.layers, next_layer + size)
        plan[endpoint.endpoint_id] = endpoints_lib.Span(next_layer, end)
        complete_copies += end == engine.layers
        next_layer = end % engine.layers
    return plan


class PathQuery(typing.NamedTuple):
    """Input to the choice of a path.

    Attributes:
        endpoints: Live endpoints, with the layers that they hold.
        loads: Load by endpoint id.
        tokens: Expected number of tokens at the end of the request.
        excluded: Ids of endpoints that the path must not use.
        now: Virtual time in seconds.
        link_use: Utilization of the links between domains, as a share.
        revision: Counter that is incremented when the set of live endpoints
            changes.
    """

    endpoints: typing.Sequence[endpoints_lib.Endpoint]
    loads: typing.Mapping[str, paths.Load]
    tokens: float
    excluded: typing.Collection[str]
    now: float
    link_use: float
    revision: int


class Chooser(abc.ABC):
    """Chooses the endpoints that a request runs on."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        rng: random.Random,
        pause_s: float | None = None,
    ) -> None:
        """Creates a chooser.

        Args:
            engine: Published figures of the engines.
            rng: Source of random choices.
            pause_s: Longest expected gap between events, if prompts that are
                read can exceed it.
        """
        self.engine = engine
        self.rng = rng
        self.pause_s = pause_s

    @abc.abstractmethod
    def choose(self, query: PathQuery) -> paths.Path | None:
        """Returns a path, or `None` if there is none."""

    @abc.abstractmethod
    def finder(self) -> paths.PathFinder:
        """Returns the finder with which repairs find replacement endpoints."""


class ShippedChooser(Chooser):
    """Uses the path selection of the product."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        rng: random.Random,
        pause_s: float | None = None,
    ) -> None:
        super().__init__(engine, rng, pause_s)
        self._path_cache = path_cache.PathCache(engine, pause_s)

    def choose(self, query: PathQuery) -> paths.Path | None:
        """Returns a path with free capacity, or `None` if there is none."""
        self._path_cache.refresh(
            query.endpoints, query.loads, query.revision, query.now
        )
        return self._path_cache.choose(
            query.tokens, query.loads, query.excluded, query.link_use
        )

    def finder(self) -> paths.PathFinder:
        """Returns the finder with which repairs find replacement endpoints."""
        return self._path_cache.finder


class StepwiseChooser(Chooser):
    """Builds a path step by step from the holders of the next layer."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        rng: random.Random,
        pause_s: float | None = None,
    ) -> None:
        super().__init__(engine, rng, pause_s)
        self._finder = paths.PathFinder(engine, (), {})

    @abc.abstractmethod
    def select_holder(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns the chosen endpoint among the holders of the next layer."""

    def choose(self, query: PathQuery) -> paths.Path | None:
        """Returns a path, or `None` if a layer has no holder left."""
        self._finder = paths.PathFinder(
            self.engine, query.endpoints, query.loads
        )
        parts: list[paths.Part] = []
        next_layer = 0
        used = set(query.excluded)
        while next_layer < self.engine.layers:
            holders = [
                e
                for e in query.endpoints
                if e.span is not None
                and e.span.start <= next_layer < e.span.end
                and e.endpoint_id not in used
            ]
            if not holders or len(parts) >= paths.MAX_PATH_PARTS:
                return None
            chosen = self.select_holder(holders, query.loads)
            used.add(chosen.endpoint_id)
            end = typing.cast(endpoints_lib.Span, chosen.span).end
            parts.append(
                paths.Part(chosen, endpoints_lib.Span(next_layer, end))
            )
            next_layer = end
        return tuple(parts)

    def finder(self) -> paths.PathFinder:
        """Returns the finder with which repairs find replacement endpoints."""
        return self._finder


class RandomChooser(StepwiseChooser):
    """Chooses holders at random."""

    def select_holder(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns the chosen endpoint among the holders of the next layer."""
        return self.rng.choice(holders)


class LeastRequestsChooser(StepwiseChooser):
    """Chooses the holder with the fewest requests."""

    def select_holder(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns the chosen endpoint among the holders of the next layer."""
        return min(
            holders,
            key=lambda e: (
                loads.get(e.endpoint_id, paths.IDLE).requests,
                e.endpoint_id,
            ),
        )


class RoundRobinChooser(StepwiseChooser):
    """Chooses holders in rotation."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        rng: random.Random,
        pause_s: float | None = None,
    ) -> None:
        super().__init__(engine, rng, pause_s)
        self._choice_count = 0

    def select_holder(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns the chosen endpoint among the holders of the next layer."""
        self._choice_count += 1
        return holders[self._choice_count % len(holders)]


PLACEMENTS: typing.Final[dict[str, type[Placement]]] = {
    'shipped': ShippedPlacement,
    'fastest cards': FastestCardsPlacement,
    'greedy': GreedyPlacement,
}
CHOOSERS: typing.Final[dict[str, type[Chooser]]] = {
    'shipped': ShippedChooser,
    'random': RandomChooser,
    'least requests': LeastRequestsChooser,
    'round robin': RoundRobinChooser,
}
