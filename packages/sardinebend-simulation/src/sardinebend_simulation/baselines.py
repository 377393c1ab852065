"""How layers are placed and paths chosen: as shipped, and simpler ways."""

import abc
import random
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import pathbook
from sardinebend_policy import paths
from sardinebend_policy import placement

Plan = dict[str, endpoints_lib.Span]


class Placement(abc.ABC):
    """Decides which layers each endpoint of an empty fleet holds."""

    @abc.abstractmethod
    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the range of each endpoint that gets one."""


class Shipped(Placement):
    """The router's own placement."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the range of each endpoint that gets one."""
        cards = [
            placement.Card(
                e.endpoint_id,
                e.domain,
                placement.capacity_of(engine, e.card),
                None,
            )
            for e in endpoints
        ]
        return placement.make_plan(engine.layers, cards)


class FastestCards(Placement):
    """One copy on the fastest cards, wherever they are."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the range of each endpoint that gets one."""
        return _fill_by_speed(engine, endpoints, copies=1)


class Greedy(Placement):
    """Copy after copy, card by card from the fastest on."""

    def plan(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Sequence[endpoints_lib.Endpoint],
    ) -> Plan:
        """Returns the range of each endpoint that gets one."""
        return _fill_by_speed(engine, endpoints, copies=len(endpoints))


def _fill_by_speed(
    engine: catalog.EngineModel,
    endpoints: typing.Sequence[endpoints_lib.Endpoint],
    copies: int,
) -> Plan:
    """Lays copies one after the other over cards, the fastest first."""
    found: Plan = {}
    at = made = 0
    ordered = sorted(
        endpoints,
        key=lambda e: (engine.cards[e.card].step_factor, e.endpoint_id),
    )
    for endpoint in ordered:
        size = placement.capacity_of(engine, endpoint.card)
        if size <= 0 or made >= copies:
            continue
        end = min(engine.layers, at + size)
        found[endpoint.endpoint_id] = endpoints_lib.Span(at, end)
        made += end == engine.layers
        at = end % engine.layers
    return found


class Question(typing.NamedTuple):
    """What a path is chosen by.

    Attributes:
        endpoints: Those that are up, with the layers that they hold.
        loads: Work that each has.
        tokens: Tokens that the request is expected to reach.
        avoid: Names of endpoints to pass over.
        now: The time in seconds.
        link_use: Share of the links between domains that is taken.
        revision: Changes when the endpoints do.
    """

    endpoints: typing.Sequence[endpoints_lib.Endpoint]
    loads: typing.Mapping[str, paths.Load]
    tokens: float
    avoid: typing.Collection[str]
    now: float
    link_use: float
    revision: int


class Chooser(abc.ABC):
    """Decides which endpoints a request passes through."""

    def __init__(self, engine: catalog.EngineModel, rng: random.Random) -> None:
        self.engine = engine
        self.rng = rng

    @abc.abstractmethod
    def choose(self, question: Question) -> paths.Path | None:
        """Returns a path; `None` if there is none."""

    @abc.abstractmethod
    def finder(self) -> paths.Finder:
        """Returns what repairs look for stand-ins with."""


class ShippedPaths(Chooser):
    """The router's own choice."""

    def __init__(self, engine: catalog.EngineModel, rng: random.Random) -> None:
        super().__init__(engine, rng)
        self._book = pathbook.PathBook(engine)

    def choose(self, question: Question) -> paths.Path | None:
        """Returns a path with room; `None` if there is none."""
        self._book.refresh(
            question.endpoints, question.loads, question.revision, question.now
        )
        return self._book.choose(
            question.tokens, question.loads, question.avoid, question.link_use
        )

    def finder(self) -> paths.Finder:
        """Returns what repairs look for stand-ins with."""
        return self._book.finder


class Walk(Chooser):
    """Takes at each layer one of the endpoints that hold it."""

    def __init__(self, engine: catalog.EngineModel, rng: random.Random) -> None:
        super().__init__(engine, rng)
        self._finder = paths.Finder(engine, (), {})

    @abc.abstractmethod
    def pick(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns one of the endpoints that hold the next layer."""

    def choose(self, question: Question) -> paths.Path | None:
        """Returns a path; `None` if a layer has no holder."""
        self._finder = paths.Finder(
            self.engine, question.endpoints, question.loads
        )
        parts: list[paths.Part] = []
        at = 0
        used = set(question.avoid)
        while at < self.engine.layers:
            holders = [
                e
                for e in question.endpoints
                if e.span is not None
                and e.span.start <= at < e.span.end
                and e.endpoint_id not in used
            ]
            if not holders or len(parts) >= paths.MAX_PARTS:
                return None
            chosen = self.pick(holders, question.loads)
            used.add(chosen.endpoint_id)
            end = typing.cast(endpoints_lib.Span, chosen.span).end
            parts.append(paths.Part(chosen, endpoints_lib.Span(at, end)))
            at = end
        return tuple(parts)

    def finder(self) -> paths.Finder:
        """Returns what repairs look for stand-ins with."""
        return self._finder


class RandomWalk(Walk):
    """Any of them."""

    def pick(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns one of the endpoints that hold the next layer."""
        return self.rng.choice(holders)


class LeastRequests(Walk):
    """That with the fewest requests."""

    def pick(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns one of the endpoints that hold the next layer."""
        return min(
            holders,
            key=lambda e: (
                loads.get(e.endpoint_id, paths.IDLE).requests,
                e.endpoint_id,
            ),
        )


class RoundRobin(Walk):
    """Each in turn."""

    def __init__(self, engine: catalog.EngineModel, rng: random.Random) -> None:
        super().__init__(engine, rng)
        self._turn = 0

    def pick(
        self,
        holders: typing.Sequence[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, paths.Load],
    ) -> endpoints_lib.Endpoint:
        """Returns one of the endpoints that hold the next layer."""
        self._turn += 1
        return holders[self._turn % len(holders)]


PLACEMENTS: typing.Final[dict[str, type[Placement]]] = {
    'shipped': Shipped,
    'fastest cards': FastestCards,
    'greedy': Greedy,
}
CHOOSERS: typing.Final[dict[str, type[Chooser]]] = {
    'shipped': ShippedPaths,
    'random': RandomWalk,
    'least requests': LeastRequests,
    'round robin': RoundRobin,
}
