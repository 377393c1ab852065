"""Which endpoints a request passes through, and in which order.

The finder walks from layer 0 to the last by cheapest cost. A step to an
endpoint costs the time it adds to the first event and, weighed by the usual
length of an answer, to each token; crossing failure domains and busy endpoints
cost more.
"""

import bisect
import math
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib

MAX_PARTS: typing.Final = 32
# One way between endpoints of a failure domain, and between domains; used
# where the deployment doesn't state them.
HOP_MS: typing.Final = 0.3
CROSSING_MS: typing.Final = 0.8
# Free share of memory below which an endpoint's cost stops rising.
MIN_LEFT: typing.Final = 0.05
# Use of the links from which no prompt more is sent over them: beyond, prompts
# queue for longer than callers wait. Streams under way go before new ones.
LINK_LIMIT: typing.Final = 0.8
BEGUN_LINK_LIMIT: typing.Final = 1.0
# A prompt that crosses holds up all other crossings, which share one link.
CROSSING_WEIGHT: typing.Final = 1.0
# Weight of a token step's time against the time to the first event.
STEP_WEIGHT: typing.Final = 20.0


class Part(typing.NamedTuple):
    """An endpoint and the layers that it runs for a request."""

    endpoint: endpoints_lib.Endpoint
    span: endpoints_lib.Span


Path = tuple[Part, ...]


class Load(typing.NamedTuple):
    """Work that an endpoint has at the moment, as far as a host knows.

    Attributes:
        requests: Requests that run through it.
        token_layers: Memory they take, in tokens x layers.
        slowness: Factor by which it is slower than published.
    """

    requests: float = 0.0
    token_layers: float = 0.0
    slowness: float = 1.0


IDLE: typing.Final = Load()


class _Reached:
    """The cheapest way found to a layer, ending in one failure domain."""

    __slots__ = ('before', 'cost', 'depth', 'part')

    def __init__(
        self,
        cost: float,
        part: Part | None = None,
        before: '_Reached | None' = None,
    ) -> None:
        self.cost = cost
        self.part = part
        self.before = before
        self.depth: int = before.depth + 1 if before else 0

    def path(self) -> Path:
        parts = []
        at: _Reached | None = self
        while at is not None and at.part is not None:
            parts.append(at.part)
            at = at.before
        return tuple(reversed(parts))

    def passes(self, endpoint_id: str) -> bool:
        at: _Reached | None = self
        while at is not None and at.part is not None:
            if at.part.endpoint.endpoint_id == endpoint_id:
                return True
            at = at.before
        return False


def crossing_ms(engine: catalog.EngineModel) -> float:
    """Returns how long one token takes the links between domains."""
    return engine.activation_mb / max(engine.pipe_mb_per_ms, 1e-9)


def is_whole(path: Path, layers: int) -> bool:
    """Tells whether a path runs each layer once and in order."""
    at = 0
    for part in path:
        if part.span.start != at or part.span.end <= at:
            return False
        if part.endpoint.span is None or not part.endpoint.span.covers(
            part.span
        ):
            return False
        at = part.span.end
    names = {part.endpoint.endpoint_id for part in path}
    return at == layers and len(names) == len(path) <= MAX_PARTS


class Finder:
    """Finds paths over one set of endpoints."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Iterable[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, Load],
        link_use: float = 0.0,
        link_limit: float = LINK_LIMIT,
    ) -> None:
        """Makes a finder.

        Args:
            engine: The engines' figures.
            endpoints: Those that may be used.
            loads: Their load.
            link_use: Share of the links between domains that is taken.
            link_limit: Share from which no path crosses them.
        """
        self._engine = engine
        self._link_use = link_use
        self._holders = [
            e
            for e in endpoints
            if e.span is not None and e.card in engine.cards
        ]
        self._loads = loads
        self._hop = HOP_MS * (1 + STEP_WEIGHT)
        prompt_ms = engine.usual_prompt * crossing_ms(engine)
        free = max(MIN_LEFT, 1 - link_use)
        self._crossing = CROSSING_WEIGHT * prompt_ms / free**2 + (
            CROSSING_MS * (1 + STEP_WEIGHT)
        )
        if link_use >= link_limit:
            self._crossing = math.inf

    def with_loads(
        self,
        loads: typing.Mapping[str, Load],
        link_use: float = 0.0,
        link_limit: float = LINK_LIMIT,
    ) -> 'Finder':
        """Returns a finder over the same endpoints under another load."""
        return Finder(self._engine, self._holders, loads, link_use, link_limit)

    def cost_of_path(self, path: Path, tokens: float) -> float:
        """Returns what a whole path costs, in ms; infinite without room."""
        total = 0.0
        domain = None
        for part in path:
            total += self._layer_cost(part.endpoint, tokens) * part.span.size
            if domain is not None:
                same = part.endpoint.domain == domain
                total += self._hop if same else self._crossing
            domain = part.endpoint.domain
        return total

    def find(
        self,
        tokens: float,
        start: int = 0,
        end: int | None = None,
        avoid: typing.Collection[str] = (),
        domain: str | None = None,
    ) -> Path | None:
        """Returns the cheapest path over a range of layers.

        Args:
            tokens: Tokens that the request is expected to reach.
            start: First layer.
            end: Layer after the last; all by default.
            avoid: Names of endpoints to pass over.
            domain: The only failure domain to use; all by default.
        """
        end = self._engine.layers if end is None else end
        starts: dict[int, list[tuple[endpoints_lib.Endpoint, float]]] = {}
        cuts = self._cuts(start, end)
        for endpoint in self._holders:
            if domain is not None and endpoint.domain != domain:
                continue
            cost = self._layer_cost(endpoint, tokens)
            if endpoint.endpoint_id in avoid or math.isinf(cost):
                continue
            span = typing.cast(endpoints_lib.Span, endpoint.span)
            for at in cuts:
                if span.start <= at < span.end:
                    starts.setdefault(at, []).append((endpoint, cost))
        reached: dict[int, dict[str, _Reached]] = {start: {'': _Reached(0.0)}}
        for index, at in enumerate(cuts):
            for last in list(reached.get(at, {}).values()):
                for endpoint, cost in starts.get(at, ()):
                    self._extend(reached, last, endpoint, cost, cuts, index)
        best = min(
            reached.get(end, {}).values(), key=lambda r: r.cost, default=None
        )
        return None if best is None else best.path()

    def find_detour(
        self, tokens: float, part: Part, avoid: typing.Collection[str]
    ) -> Path | None:
        """Returns a way around a part; beyond its domain if links are free."""
        start, end = part.span
        near = self.find(tokens, start, end, avoid, part.endpoint.domain)
        if near is not None or math.isinf(self._crossing):
            return near
        return self.find(tokens, start, end, avoid)

    def _layer_cost(
        self, endpoint: endpoints_lib.Endpoint, tokens: float
    ) -> float:
        """Returns what an endpoint adds for each layer, in ms."""
        engine = self._engine
        card = engine.cards[endpoint.card]
        load = self._loads.get(endpoint.endpoint_id, IDLE)
        held = typing.cast(endpoints_lib.Span, endpoint.span).size
        room = (card.memory_mb - held * engine.layer_mb) / max(
            engine.token_layer_mb, 1e-9
        )
        left = 1 - (load.token_layers + tokens * held) / max(room, 1e-9)
        if left <= 0:
            return math.inf
        read = (
            engine.usual_prompt / engine.read_tokens_per_ms * card.read_factor
        )
        step = (
            engine.step_ms + engine.per_request_ms * load.requests
        ) * card.step_factor
        cost = (read + STEP_WEIGHT * step) * load.slowness / engine.layers
        # Memory is what runs out: a request that overfills it evicts another.
        # Speed beyond what callers expect is worth little next to that.
        return cost / max(MIN_LEFT, left) ** 2

    def _cuts(self, start: int, end: int) -> list[int]:
        points = {start, end}
        for endpoint in self._holders:
            points.update(endpoint.span or ())
        return sorted(p for p in points if start <= p <= end)

    def _extend(
        self,
        reached: dict[int, dict[str, _Reached]],
        last: _Reached,
        endpoint: endpoints_lib.Endpoint,
        layer_cost: float,
        cuts: typing.Sequence[int],
        index: int,
    ) -> None:
        at, end = cuts[index], cuts[-1]
        span = typing.cast(endpoints_lib.Span, endpoint.span)
        cost = last.cost
        if last.part is not None:
            same = last.part.endpoint.domain == endpoint.domain
            cost += self._hop if same else self._crossing
        # To the end of what the endpoint holds, or to the cut before that,
        # where another begins.
        last_stop = bisect.bisect_right(cuts, min(span.end, end)) - 1
        for stop in cuts[max(index + 1, last_stop - 1) : last_stop + 1]:
            total = cost + layer_cost * (stop - at)
            if math.isinf(total):
                continue
            best = reached.setdefault(stop, {})
            known = best.get(endpoint.domain)
            if known is not None and known.cost <= total:
                continue
            if last.depth >= MAX_PARTS or last.passes(endpoint.endpoint_id):
                continue
            part = Part(endpoint, endpoints_lib.Span(at, stop))
            best[endpoint.domain] = _Reached(total, part, last)


def repair(
    finder: Finder, path: Path, dead: typing.Collection[str], tokens: float
) -> Path | None:
    """Returns a path that keeps what lives of another one.

    Parts that live keep their memory of the request, so only the ranges of
    the dead parts are given to others. The first part can't be replaced: the
    request was sent to it.
    """
    if not path or path[0].endpoint.endpoint_id in dead:
        return None
    kept = {
        p.endpoint.endpoint_id
        for p in path
        if p.endpoint.endpoint_id not in dead
    }
    parts: list[Part] = []
    for part in path:
        if part.endpoint.endpoint_id not in dead:
            parts.append(part)
            continue
        avoid = kept | set(dead) | {p.endpoint.endpoint_id for p in parts}
        detour = finder.find_detour(tokens, part, avoid)
        if detour is None:
            return None
        parts += detour
    return tuple(parts) if len(parts) <= MAX_PARTS else None
