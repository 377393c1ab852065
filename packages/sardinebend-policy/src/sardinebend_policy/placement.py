"""Decides which layers each endpoint holds.

Prompts are large and all links between failure domains share one capacity, so
a path should stay within a domain. Each domain first gets whole copies of the
model. Its spare endpoints then replicate parts of those copies, beginning with
the largest. When a domain loses a part, a spare endpoint of the same domain
takes over its layers.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib

# Share of an endpoint's memory that is reserved for requests. Memory for
# requests is the first thing to run out once a few engines are lost, so the
# share should be large. But the larger it is, the fewer layers fit on an
# endpoint and the more endpoints a copy needs, so that with a larger share too
# few endpoints would remain spare.
REQUEST_SHARE: typing.Final = 0.3
# Share that stays reserved if an endpoint must hold more layers than planned.
MIN_REQUEST_SHARE: typing.Final = 0.08
# Maximum number of parts of a copy. A path may have at most 32 parts
# (`paths.MAX_PATH_PARTS`); half of that allows for repairs, in which one part
# is replaced by two.
MAX_COPY_PARTS: typing.Final = 16
# Maximum number of parts of a copy that fits into a domain only if less memory
# is reserved for requests. The limit is higher, because without this copy every
# request of the domain would have to cross to another domain.
MAX_TIGHT_PARTS: typing.Final = 24
# Fractions of the way from the planned capacity of endpoints to their maximum,
# tried in this order.
TIGHT_STEPS: typing.Final = (0.25, 0.5, 0.75)
# Added to the priority of a layer without any holder, and of one without a
# holder in the domain. Before these, the priority is 1 without a holder in the
# domain and between 1/4 and 3/8 with one.
NO_HOLDER_PRIORITY: typing.Final = 1000.0
NO_DOMAIN_HOLDER_PRIORITY: typing.Final = 10.0
# Raises the priority of layers that a domain holds as a large part of a copy:
# the base of 1 grows by this much for a part that holds all layers.
LARGE_PART_PRIORITY: typing.Final = 0.5


class PlacementEndpoint(typing.NamedTuple):
    """An endpoint to place layers on.

    Fields named `card` (`Endpoint.card`, `EngineModel.cards`) name the kind of
    an endpoint's accelerator, not the endpoint.

    Attributes:
        endpoint_id: Its name.
        domain: Its failure domain.
        capacity: Layers that fit beside the memory reserved for requests.
        held: Layers that it holds or has been ordered to hold.
        max_capacity: Layers that fit if less memory is reserved.
    """

    endpoint_id: str
    domain: str
    capacity: int
    held: endpoints_lib.Span | None
    max_capacity: int = 0


def capacity_of(
    engine: catalog.EngineModel, card_kind: str, share: float = REQUEST_SHARE
) -> int:
    """Returns the planned layers of an endpoint by its kind; 0 if none fits.

    Args:
        engine: The model.
        card_kind: Name of the accelerator kind.
        share: Share of the memory that is reserved for requests.
    """
    card = engine.cards.get(card_kind)
    if card is None or engine.layer_mb <= 0 or engine.layers <= 0:
        return 0
    max_layers = int(card.memory_mb / engine.layer_mb)
    planned = int(card.memory_mb * (1 - share) / engine.layer_mb)
    return max(0, min(engine.layers, max_layers, max(1, planned)))


def make_plan(
    layers: int, endpoints: typing.Sequence[PlacementEndpoint]
) -> dict[str, endpoints_lib.Span]:
    """Returns the range for each endpoint that holds no layers yet.

    Endpoints that hold layers keep them. In an empty fleet, whole copies are
    planned; endpoints that join later get the layers with the fewest holders.
    """
    usable = [endpoint for endpoint in endpoints if endpoint.capacity > 0]
    if layers <= 0 or not usable:
        return {}
    if not any(endpoint.held for endpoint in usable):
        return _plan_empty_fleet(layers, usable)
    return _place_empty_endpoints(layers, usable)


def _plan_empty_fleet(
    layers: int, endpoints: typing.Sequence[PlacementEndpoint]
) -> dict[str, endpoints_lib.Span]:
    plan: dict[str, endpoints_lib.Span] = {}
    remaining: list[PlacementEndpoint] = []
    for domain in sorted({endpoint.domain for endpoint in endpoints}):
        domain_endpoints = [
            endpoint for endpoint in endpoints if endpoint.domain == domain
        ]
        domain_endpoints.sort(key=lambda e: (-e.capacity, e.endpoint_id))
        copy = _take_copy(layers, domain_endpoints) or _take_tight_copy(
            layers, domain_endpoints
        )
        while copy:
            plan.update(_divide(layers, copy))
            copy = _take_copy(layers, domain_endpoints)
        remaining += domain_endpoints
    if not plan:
        # No domain can hold a whole copy, so one copy spans all of them, domain
        # by domain, so that its path crosses as rarely as possible.
        remaining.sort(key=lambda e: (-e.capacity, e.endpoint_id))
        copy = _take_copy(layers, remaining, max_parts=2 * MAX_COPY_PARTS)
        copy.sort(key=lambda e: (e.domain, -e.capacity))
        plan.update(_divide(layers, copy))
    held = [
        endpoint._replace(held=plan.get(endpoint.endpoint_id))
        for endpoint in endpoints
    ]
    return {**plan, **_place_empty_endpoints(layers, held)}


def _take_copy(
    layers: int,
    remaining: list[PlacementEndpoint],
    max_parts: int = MAX_COPY_PARTS,
) -> list[PlacementEndpoint]:
    """Removes and returns the fewest endpoints for a copy, or none."""
    taken: list[PlacementEndpoint] = []
    total = 0
    for endpoint in remaining[:max_parts]:
        taken.append(endpoint)
        total += endpoint.capacity
        if total >= layers:
            del remaining[: len(taken)]
            return taken
    return []


def _take_tight_copy(
    layers: int, remaining: list[PlacementEndpoint]
) -> list[PlacementEndpoint]:
    """Removes and returns endpoints for a copy with less reserved memory."""
    for step in TIGHT_STEPS:
        enlarged = [
            endpoint._replace(capacity=_raise_capacity(endpoint, step))
            for endpoint in remaining
        ]
        enlarged.sort(key=lambda e: (-e.capacity, e.endpoint_id))
        copy = _take_copy(layers, enlarged, MAX_TIGHT_PARTS)
        if copy:
            taken = {endpoint.endpoint_id for endpoint in copy}
            remaining[:] = [e for e in remaining if e.endpoint_id not in taken]
            return copy
    return []


def _divide(
    layers: int, copy: typing.Sequence[PlacementEndpoint]
) -> dict[str, endpoints_lib.Span]:
    """Divides all layers over a copy's endpoints, in proportion to capacity."""
    plan = {}
    total = sum(endpoint.capacity for endpoint in copy)
    start = cumulative = 0
    for endpoint in copy:
        cumulative += endpoint.capacity
        end = layers * cumulative // total if total else 0
        if end > start:
            plan[endpoint.endpoint_id] = endpoints_lib.Span(start, end)
        start = end
    return plan


def _place_empty_endpoints(
    layers: int, endpoints: typing.Sequence[PlacementEndpoint]
) -> dict[str, endpoints_lib.Span]:
    """Returns the range with the highest priority for each empty endpoint."""
    plan = {}
    placed = [endpoint for endpoint in endpoints if endpoint.held is not None]
    empty = [endpoint for endpoint in endpoints if endpoint.held is None]
    for endpoint in sorted(empty, key=lambda e: (-e.capacity, e.endpoint_id)):
        size = _choose_size(layers, endpoint, endpoints)
        span = _find_best_span(
            _prioritize_layers(layers, placed, endpoint.domain), size
        )
        plan[endpoint.endpoint_id] = span
        placed.append(endpoint._replace(held=span))
    return plan


def _choose_size(
    layers: int,
    endpoint: PlacementEndpoint,
    endpoints: typing.Sequence[PlacementEndpoint],
) -> int:
    """Returns the number of layers for an empty endpoint.

    It is more than planned if its domain has too little memory for a copy.
    """
    sizes = [
        e.held.size if e.held is not None else e.capacity
        for e in endpoints
        if e.domain == endpoint.domain
    ]
    if sum(sizes) >= layers:
        return endpoint.capacity
    return _raise_capacity(endpoint, TIGHT_STEPS[-1])


def _raise_capacity(endpoint: PlacementEndpoint, step: float) -> int:
    """Returns a capacity between the planned one and the maximum."""
    additional = int(step * (endpoint.max_capacity - endpoint.capacity))
    return endpoint.capacity + max(0, additional)


class Move(typing.NamedTuple):
    """A change of the layers that an endpoint holds."""

    endpoint_id: str
    span: endpoints_lib.Span


def find_move(
    layers: int, endpoints: typing.Sequence[PlacementEndpoint]
) -> Move | None:
    """Returns a move that gives a failure domain layers it lacks, if any.

    A domain that lacks more than half of the layers is skipped, so it gets no
    move.

    An endpoint gets other layers only if other endpoints of its domain hold all
    of its present ones, so that no layer loses its last holder and the moves
    can't go on forever. If there is no such endpoint, one that holds a layer
    next to a missing one is extended beyond its planned capacity.
    """
    for domain in sorted({endpoint.domain for endpoint in endpoints}):
        domain_endpoints = [
            e for e in endpoints if e.domain == domain and e.held is not None
        ]
        counts = _count_holders(layers, domain_endpoints)
        missing = {layer for layer in range(layers) if counts[layer] == 0}
        if not missing or len(missing) > layers / 2:
            continue
        move = _move_redundant_endpoint(
            layers, domain_endpoints, counts, missing
        ) or _extend_endpoint(layers, domain_endpoints, missing)
        if move is not None:
            return move
    return None


def _move_redundant_endpoint(
    layers: int,
    domain_endpoints: typing.Sequence[PlacementEndpoint],
    counts: typing.Sequence[int],
    missing: set[int],
) -> Move | None:
    best: tuple[int, Move] | None = None
    for endpoint in domain_endpoints:
        held = typing.cast(endpoints_lib.Span, endpoint.held)
        if not held.size or min(counts[n] for n in range(*held)) < 2:
            continue
        start = max(0, min(min(missing), layers - endpoint.capacity))
        span = endpoints_lib.Span(start, start + endpoint.capacity)
        gain = len(missing & set(range(*span)))
        if gain and (best is None or gain > best[0]):
            best = (gain, Move(endpoint.endpoint_id, span))
    return best[1] if best else None


def _extend_endpoint(
    layers: int,
    domain_endpoints: typing.Sequence[PlacementEndpoint],
    missing: set[int],
) -> Move | None:
    for endpoint in domain_endpoints:
        held = typing.cast(endpoints_lib.Span, endpoint.held)
        additional = endpoint.max_capacity - held.size
        if additional <= 0:
            continue
        if held.end in missing:
            end = held.end
            while end in missing and end - held.end < additional:
                end += 1
            return Move(
                endpoint.endpoint_id, endpoints_lib.Span(held.start, end)
            )
        if held.start - 1 in missing:
            start = held.start
            while start - 1 in missing and held.start - start < additional:
                start -= 1
            return Move(
                endpoint.endpoint_id, endpoints_lib.Span(start, held.end)
            )
    return None


def _count_holders(
    layers: int, endpoints: typing.Iterable[PlacementEndpoint]
) -> list[int]:
    counts = [0] * layers
    for endpoint in endpoints:
        for layer in range(*(endpoint.held or (0, 0))):
            counts[layer] += 1
    return counts


def _prioritize_layers(
    layers: int, endpoints: typing.Sequence[PlacementEndpoint], domain: str
) -> list[float]:
    """Returns the priority of another holder for each layer in a domain."""
    domain_endpoints = [
        endpoint for endpoint in endpoints if endpoint.domain == domain
    ]
    overall = _count_holders(layers, endpoints)
    counts = _count_holders(layers, domain_endpoints)
    largest = [0] * layers
    for endpoint in domain_endpoints:
        held = endpoint.held or endpoints_lib.Span(0, 0)
        for layer in range(*held):
            largest[layer] = max(largest[layer], held.size)
    return [
        NO_HOLDER_PRIORITY * (overall[n] == 0)
        + NO_DOMAIN_HOLDER_PRIORITY * (counts[n] == 0)
        + (1 + LARGE_PART_PRIORITY * largest[n] / layers) / (1 + counts[n]) ** 2
        for n in range(layers)
    ]


def _find_best_span(
    priorities: typing.Sequence[float], size: int
) -> endpoints_lib.Span:
    """Returns the range of a size with the highest total priority."""
    layers = len(priorities)
    size = min(size, layers)
    best = total = sum(priorities[:size])
    best_start = 0
    for start in range(1, layers - size + 1):
        total += priorities[start + size - 1] - priorities[start - 1]
        if total > best + 1e-9:
            best, best_start = total, start
    return endpoints_lib.Span(best_start, best_start + size)
