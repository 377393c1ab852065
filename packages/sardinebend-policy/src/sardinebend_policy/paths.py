"""Which endpoints a request passes through, and in which order.

The finder walks from layer 0 to the last by cheapest cost. A step to an
endpoint costs the time it adds to the first event and, weighed by the usual
length of an answer, to each token; crossing failure domains and busy endpoints
cost more.
"""

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


class _Reached(typing.NamedTuple):
    cost: float
    parts: Path


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
    ) -> None:
        self._engine = engine
        self._holders = [
            e
            for e in endpoints
            if e.span is not None and e.card in engine.cards
        ]
        self._loads = loads

    def with_loads(self, loads: typing.Mapping[str, Load]) -> 'Finder':
        """Returns a finder over the same endpoints under another load."""
        return Finder(self._engine, self._holders, loads)

    def cost_of_path(self, path: Path, tokens: float) -> float:
        """Returns what a whole path costs, in ms."""
        total = 0.0
        for index, part in enumerate(path):
            total += self.cost_of(part, tokens)
            total += self._hop_cost(path[:index], part.endpoint)
        return total

    def cost_of(self, part: Part, tokens: float) -> float:
        """Returns what a part adds, in ms; infinite without memory room."""
        engine = self._engine
        card = engine.cards[part.endpoint.card]
        load = self._loads.get(part.endpoint.endpoint_id, IDLE)
        held = part.endpoint.span
        if held is None:
            return math.inf
        room = (card.memory_mb - held.size * engine.layer_mb) / max(
            engine.token_layer_mb, 1e-9
        )
        if load.token_layers + tokens * part.span.size > room:
            return math.inf
        share = part.span.size / engine.layers
        read = (
            engine.usual_prompt / engine.read_tokens_per_ms * card.read_factor
        )
        step = (
            engine.step_ms + engine.per_request_ms * load.requests
        ) * card.step_factor
        cost = (read + STEP_WEIGHT * step) * share * load.slowness
        # Memory is what runs out: a request that overfills it evicts another.
        # Speed beyond what callers expect is worth little next to that.
        left = 1 - (load.token_layers + tokens * part.span.size) / room
        return cost / max(MIN_LEFT, left) ** 2

    def find(
        self,
        tokens: float,
        start: int = 0,
        end: int | None = None,
        first: endpoints_lib.Endpoint | None = None,
        avoid: typing.Collection[str] = (),
    ) -> Path | None:
        """Returns the cheapest path over a range of layers.

        Args:
            tokens: Tokens that the request is expected to reach.
            start: First layer.
            end: Layer after the last; all by default.
            first: Endpoint that the path must begin with.
            avoid: Names of endpoints to pass over.
        """
        end = self._engine.layers if end is None else end
        holders = [
            e
            for e in self._holders
            if e.endpoint_id not in avoid and e.span is not None
        ]
        cuts = self._cuts(holders, start, end)
        reached: dict[int, dict[str, _Reached]] = {start: {'': _Reached(0, ())}}
        for at in cuts:
            for last in list(reached.get(at, {}).values()):
                for endpoint in holders:
                    if not last.parts and first and endpoint != first:
                        continue
                    self._extend(reached, last, endpoint, at, end, cuts, tokens)
        found = reached.get(end, {}).values()
        best = min(found, key=lambda r: r.cost, default=None)
        return None if best is None or math.isinf(best.cost) else best.parts

    def _cuts(
        self,
        holders: typing.Iterable[endpoints_lib.Endpoint],
        start: int,
        end: int,
    ) -> list[int]:
        points = {start}
        for endpoint in holders:
            span = endpoint.span
            if span is not None:
                points |= {span.start, span.end}
        return sorted(p for p in points if start <= p <= end)

    def _extend(
        self,
        reached: dict[int, dict[str, _Reached]],
        last: _Reached,
        endpoint: endpoints_lib.Endpoint,
        at: int,
        end: int,
        cuts: typing.Sequence[int],
        tokens: float,
    ) -> None:
        span = endpoint.span
        if span is None or not span.start <= at < span.end:
            return
        if len(last.parts) >= MAX_PARTS:
            return
        if any(
            p.endpoint.endpoint_id == endpoint.endpoint_id for p in last.parts
        ):
            return
        stops = [c for c in cuts if at < c <= min(span.end, end)]
        for stop in {min(span.end, end), *stops[-2:]}:
            part = Part(endpoint, endpoints_lib.Span(at, stop))
            cost = last.cost + self.cost_of(part, tokens)
            cost += self._hop_cost(last.parts, endpoint)
            if math.isinf(cost):
                continue
            best = reached.setdefault(stop, {})
            known = best.get(endpoint.domain)
            if known is None or cost < known.cost:
                best[endpoint.domain] = _Reached(cost, (*last.parts, part))

    def _hop_cost(self, parts: Path, endpoint: endpoints_lib.Endpoint) -> float:
        if not parts:
            return 0.0
        if parts[-1].endpoint.domain == endpoint.domain:
            return HOP_MS * (1 + STEP_WEIGHT)
        engine = self._engine
        prompt_ms = (
            engine.usual_prompt
            * engine.activation_mb
            / max(engine.pipe_mb_per_ms, 1e-9)
        )
        return prompt_ms + CROSSING_MS * (1 + STEP_WEIGHT)


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
        detour = finder.find(
            tokens, part.span.start, part.span.end, avoid=avoid
        )
        if detour is None:
            return None
        parts += detour
    return tuple(parts) if len(parts) <= MAX_PARTS else None
