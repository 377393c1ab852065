"""Finds the sequence of endpoints that a request passes through.

The finder searches for the cheapest path from layer 0 to the last. The cost of
an endpoint is what it adds to the time to the first token, plus `STEP_WEIGHT`
times what it adds to the time per token. `STEP_WEIGHT` stands for the usual
length of an answer; it is fixed and doesn't depend on the published mean number
of tokens. Crossings between failure domains and loaded endpoints cost more.
"""

import bisect
import copy
import math
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import partial_paths
from sardinebend_policy import readings

# Maximum number of parts, that is, endpoints, of a path.
MAX_PATH_PARTS: typing.Final = 32
# One-way latency within a failure domain and between domains; used where the
# deployment doesn't state it.
HOP_LATENCY_MS: typing.Final = 0.3
CROSSING_LATENCY_MS: typing.Final = 0.8
# Costs are divided by the square of the free share of memory or of link
# capacity, but of no smaller share than this: a cost doesn't rise further when
# less is free.
MIN_FREE_SHARE: typing.Final = 0.05
# Link utilization at or above which no new request may cross domains, because
# prompts would queue for longer than callers wait. Streams that have begun have
# a higher limit, so that they take precedence over new ones.
LINK_LIMIT: typing.Final = 0.8
STARTED_LINK_LIMIT: typing.Final = 1.0
# Weight of the time that a prompt takes to cross between domains. It delays all
# other crossings, since they share one link.
CROSSING_WEIGHT: typing.Final = 1.0
# Weight of the time per token, relative to the time to the first token.
STEP_WEIGHT: typing.Final = 20.0


class Part(typing.NamedTuple):
    """An endpoint and the layers that it runs for a request."""

    endpoint: endpoints_lib.Endpoint
    span: endpoints_lib.Span


Path = tuple[Part, ...]


class Load(typing.NamedTuple):
    """Current load of an endpoint, as known to a host.

    Attributes:
        requests: Requests that it is running.
        token_layers: Memory that they take, in tokens x layers.
        slowness: Factor by which it is slower than its published figures.
        reading_token_layers: Prompt tokens x layers that wait to be read.
        first_requests: Requests whose path begins there; 0 if they aren't in
            the cost of paths.
    """

    requests: float = 0.0
    token_layers: float = 0.0
    slowness: float = 1.0
    reading_token_layers: float = 0.0
    first_requests: float = 0.0


IDLE: typing.Final = Load()


def link_ms_per_token(engine: catalog.EngineModel) -> float:
    """Returns the time for which a token occupies the links between domains.

    It depends on the links' capacity; their latency is `CROSSING_LATENCY_MS`.
    """
    return engine.activation_mb / max(engine.pipe_mb_per_ms, 1e-9)


def is_complete(path: Path, layers: int) -> bool:
    """Returns whether a path runs each layer once and in order."""
    layer = 0
    for part in path:
        if part.span.start != layer or part.span.end <= layer:
            return False
        if part.endpoint.span is None or not part.endpoint.span.covers(
            part.span
        ):
            return False
        layer = part.span.end
    names = {part.endpoint.endpoint_id for part in path}
    return layer == layers and len(names) == len(path) <= MAX_PATH_PARTS


def predict_pause_s(
    engine: catalog.EngineModel, path: Path, loads: typing.Mapping[str, Load]
) -> float:
    """Returns the longest gap between events that a new prompt leads to.

    The streams of a path wait at each part for half of the pass in progress and
    then for their own, and go from part to part beside the prompts that are
    read there.
    """
    total_ms = 0.0
    for endpoint, span in path:
        load = loads.get(endpoint.endpoint_id, IDLE)
        card = engine.cards.get(endpoint.card)
        if card is None:
            # Of a newer configuration.
            continue
        held = typing.cast(endpoints_lib.Span, endpoint.span).size
        work = readings.Work(
            load.requests,
            load.token_layers / held,
            load.reading_token_layers / held + engine.usual_prompt,
        )
        pause_ms = readings.pause_ms(engine, card, work) * load.slowness
        total_ms += pause_ms * span.size / engine.layers
    return total_ms / 1e3


class PathFinder:
    """Finds paths over one set of endpoints."""

    def __init__(
        self,
        engine: catalog.EngineModel,
        endpoints: typing.Iterable[endpoints_lib.Endpoint],
        loads: typing.Mapping[str, Load],
        link_use: float = 0.0,
        link_limit: float = LINK_LIMIT,
        pause_s: float | None = None,
    ) -> None:
        """Creates a finder.

        Args:
            engine: Published figures of the engines.
            endpoints: Endpoints that may be used.
            loads: Load of each endpoint.
            link_use: Used share of the capacity between domains.
            link_limit: Used share at or above which no path may cross domains.
            pause_s: Longest expected gap between events, if prompts that are
                read can exceed it; their reading is in the costs then.
        """
        self._engine = engine
        self._pause_s = pause_s
        self._holders = [
            e
            for e in endpoints
            if e.span is not None
            and e.span.fits(engine.layers)
            and e.card in engine.cards
        ]
        self._same_domain_cost = HOP_LATENCY_MS * (1 + STEP_WEIGHT)
        self._set_loads(loads, link_use, link_limit)

    def with_loads(
        self,
        loads: typing.Mapping[str, Load],
        link_use: float = 0.0,
        link_limit: float = LINK_LIMIT,
    ) -> 'PathFinder':
        """Returns a finder over the same endpoints with other loads."""
        finder = copy.copy(self)
        finder._set_loads(loads, link_use, link_limit)
        return finder

    def _set_loads(
        self,
        loads: typing.Mapping[str, Load],
        link_use: float,
        link_limit: float,
    ) -> None:
        self._loads = loads
        prompt_ms = self._engine.usual_prompt * link_ms_per_token(self._engine)
        free = max(MIN_FREE_SHARE, 1 - link_use)
        self._cross_domain_cost = CROSSING_WEIGHT * prompt_ms / free**2 + (
            CROSSING_LATENCY_MS * (1 + STEP_WEIGHT)
        )
        if link_use >= link_limit:
            self._cross_domain_cost = math.inf

    def cost_of_path(self, path: Path, tokens: float) -> float:
        """Returns the cost of a path in ms.

        It is infinite if an endpoint lacks the memory for the tokens, or if the
        path crosses domains while the link limit is reached.
        """
        total = 0.0
        domain = None
        for part in path:
            total += self._layer_cost(part.endpoint, tokens) * part.span.size
            if domain is not None:
                same = part.endpoint.domain == domain
                total += (
                    self._same_domain_cost if same else self._cross_domain_cost
                )
            domain = part.endpoint.domain
        if path:
            total *= self._first_penalty(path[0].endpoint)
        if self._pause_s is not None:
            total *= readings.pause_penalty(
                predict_pause_s(self._engine, path, self._loads),
                self._pause_s,
            )
        return total

    def find(
        self,
        tokens: float,
        start: int = 0,
        end: int | None = None,
        avoid: typing.Collection[str] = (),
        domain: str | None = None,
        avoid_first: typing.Collection[str] = (),
    ) -> Path | None:
        """Returns the cheapest path over a range of layers.

        Args:
            tokens: Tokens that the request is expected to reach.
            start: First layer.
            end: Layer after the last; all by default.
            avoid: Names of endpoints to exclude.
            domain: The only failure domain to use; all by default.
            avoid_first: Names of endpoints that the path may not begin with.
        """
        end = self._engine.layers if end is None else end
        starts: dict[int, list[tuple[endpoints_lib.Endpoint, float]]] = {}
        boundaries = self._find_boundaries(start, end)
        for endpoint in self._holders:
            if domain is not None and endpoint.domain != domain:
                continue
            cost = self._layer_cost(endpoint, tokens)
            if endpoint.endpoint_id in avoid or math.isinf(cost):
                continue
            span = typing.cast(endpoints_lib.Span, endpoint.span)
            for boundary in boundaries:
                if span.start <= boundary < span.end and not (
                    boundary == start and endpoint.endpoint_id in avoid_first
                ):
                    starts.setdefault(boundary, []).append((endpoint, cost))
        if not start:
            starts[start] = [
                (endpoint, cost * self._first_penalty(endpoint))
                for endpoint, cost in starts.get(start, ())
            ]
        found: dict[int, dict[str, partial_paths.PartialPath]] = {
            start: {'': partial_paths.PartialPath(0.0)}
        }
        for index, boundary in enumerate(boundaries):
            for last in list(found.get(boundary, {}).values()):
                for endpoint, cost in starts.get(boundary, ()):
                    self._extend(found, last, endpoint, cost, boundaries, index)
        best = min(
            found.get(end, {}).values(),
            key=lambda r: r.cost,
            default=None,
        )
        return None if best is None else best.path()

    def find_replacement(
        self, tokens: float, part: Part, avoid: typing.Collection[str]
    ) -> Path | None:
        """Returns parts to replace one, from its own domain if possible.

        Other domains are used only if the links between them have capacity.
        """
        start, end = part.span
        in_domain = self.find(tokens, start, end, avoid, part.endpoint.domain)
        if in_domain is not None or math.isinf(self._cross_domain_cost):
            return in_domain
        return self.find(tokens, start, end, avoid)

    def _layer_cost(
        self, endpoint: endpoints_lib.Endpoint, tokens: float
    ) -> float:
        """Returns the cost of each layer at an endpoint, in ms."""
        engine = self._engine
        card = engine.cards[endpoint.card]
        load = self._loads.get(endpoint.endpoint_id, IDLE)
        held = typing.cast(endpoints_lib.Span, endpoint.span).size
        token_capacity = (card.memory_mb - held * engine.layer_mb) / max(
            engine.token_layer_mb, 1e-9
        )
        free_share = 1 - (load.token_layers + tokens * held) / max(
            token_capacity, 1e-9
        )
        if free_share <= 0:
            return math.inf
        read = (
            engine.usual_prompt / engine.read_tokens_per_ms * card.read_factor
        )
        step = (
            engine.step_ms + engine.per_request_ms * load.requests
        ) * card.step_factor
        if self._pause_s is not None:
            # The prompts that wait are read first.
            read += readings.read_ms(
                engine, card, load.reading_token_layers / held
            )
        cost = (read + STEP_WEIGHT * step) * load.slowness / engine.layers
        # Memory is the scarce resource: a request that exceeds it evicts
        # another. An eviction costs more than a path gains by being faster than
        # callers expect, so the cost rises steeply as memory fills.
        return cost / max(MIN_FREE_SHARE, free_share) ** 2

    def _first_penalty(self, endpoint: endpoints_lib.Endpoint) -> float:
        """Returns the factor on the cost of paths that begin at an endpoint."""
        if self._pause_s is None:
            return 1.0
        load = self._loads.get(endpoint.endpoint_id, IDLE)
        return readings.slot_penalty(load.first_requests + 1, endpoint.slots)

    def _find_boundaries(self, start: int, end: int) -> list[int]:
        points = {start, end}
        for endpoint in self._holders:
            points.update(endpoint.span or ())
        return sorted(p for p in points if start <= p <= end)

    def _extend(
        self,
        found: dict[int, dict[str, partial_paths.PartialPath]],
        last: partial_paths.PartialPath,
        endpoint: endpoints_lib.Endpoint,
        layer_cost: float,
        boundaries: typing.Sequence[int],
        index: int,
    ) -> None:
        boundary, end = boundaries[index], boundaries[-1]
        span = typing.cast(endpoints_lib.Span, endpoint.span)
        cost = last.cost
        if last.part is not None:
            same = last.part.endpoint.domain == endpoint.domain
            cost += self._same_domain_cost if same else self._cross_domain_cost
        # The part ends at the last layer that the endpoint holds, or at the
        # boundary before that, where the layers of another endpoint begin.
        last_stop = bisect.bisect_right(boundaries, min(span.end, end)) - 1
        for stop in boundaries[max(index + 1, last_stop - 1) : last_stop + 1]:
            total = cost + layer_cost * (stop - boundary)
            if math.isinf(total):
                continue
            best = found.setdefault(stop, {})
            known = best.get(endpoint.domain)
            if known is not None and known.cost <= total:
                continue
            if last.depth >= MAX_PATH_PARTS or last.includes(
                endpoint.endpoint_id
            ):
                continue
            part = Part(endpoint, endpoints_lib.Span(boundary, stop))
            best[endpoint.domain] = partial_paths.PartialPath(total, part, last)


def repair(
    finder: PathFinder,
    path: Path,
    failed: typing.Collection[str],
    tokens: float,
) -> Path | None:
    """Returns a path in which the failed endpoints of a path are replaced.

    The live parts keep the state of the request in their memory, so only the
    layers of the failed parts go to other endpoints. The first part can't be
    replaced, since the request was sent to it.

    Args:
        finder: Path finder over the endpoints that may be used.
        path: The path to repair.
        failed: Names of the failed endpoints.
        tokens: Tokens that the request is expected to reach.

    Returns:
        The repaired path, or `None` if it can't be repaired.
    """
    if not path or path[0].endpoint.endpoint_id in failed:
        return None
    kept = {
        p.endpoint.endpoint_id
        for p in path
        if p.endpoint.endpoint_id not in failed
    }
    parts: list[Part] = []
    for part in path:
        if part.endpoint.endpoint_id not in failed:
            parts.append(part)
            continue
        avoid = kept | set(failed) | {p.endpoint.endpoint_id for p in parts}
        replacement = finder.find_replacement(tokens, part, avoid)
        if replacement is None:
            return None
        parts += replacement
    return tuple(parts) if len(parts) <= MAX_PATH_PARTS else None
