"""Which layers each endpoint holds.

Each failure domain gets whole copies of the model first, since a path that
stays within one domain doesn't use the links between them. What is left holds
stand-ins: ranges that continue from one domain to the next, so that together
they back up every layer about equally often.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib

# Share of a card's memory that is kept for requests. At a fifth, a card's
# layers serve some forty requests of usual size at once on the users' engines.
REQUEST_SHARE: typing.Final = 0.2
# A path names at most 32 parts; half of that leaves room for repairs, in which
# one part is replaced by two.
MAX_PARTS: typing.Final = 16


class Card(typing.NamedTuple):
    """An endpoint to place layers on.

    Attributes:
        endpoint_id: Its name.
        domain: Its failure domain.
        capacity: Layers that fit beside the memory kept for requests.
        held: Layers that it holds or has been ordered to hold.
    """

    endpoint_id: str
    domain: str
    capacity: int
    held: endpoints_lib.Span | None


def capacity_of(engine: catalog.EngineModel, card: str) -> int:
    """Returns how many layers a kind of card is to hold; 0 if none fits."""
    kind = engine.cards.get(card)
    if kind is None or engine.layer_mb <= 0 or engine.layers <= 0:
        return 0
    most = int(kind.memory_mb / engine.layer_mb)
    aimed = int(kind.memory_mb * (1 - REQUEST_SHARE) / engine.layer_mb)
    return max(0, min(engine.layers, most, max(1, aimed)))


def make_plan(
    layers: int, cards: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    """Returns the range for each card that holds none yet.

    Cards that hold layers keep them. On a fleet that is empty whole copies are
    planned; later arrivals go where the fewest endpoints stand behind a layer.
    """
    usable = [card for card in cards if card.capacity > 0]
    if layers <= 0 or not usable:
        return {}
    if not any(card.held for card in usable):
        return _plan_empty(layers, usable)
    return _fill_gaps(layers, usable)


def _plan_empty(
    layers: int, cards: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    by_domain: dict[str, list[Card]] = {}
    for card in cards:
        by_domain.setdefault(card.domain, []).append(card)
    plan: dict[str, endpoints_lib.Span] = {}
    spares: list[Card] = []
    for domain in sorted(by_domain):
        rest = sorted(
            by_domain[domain], key=lambda c: (-c.capacity, c.endpoint_id)
        )
        while copy := _take_copy(layers, rest):
            plan.update(_divide(layers, copy))
        spares += rest
    if not plan:
        # No domain holds a whole copy: one over all of them.
        spares.sort(key=lambda c: (-c.capacity, c.endpoint_id))
        copy = _take_copy(layers, spares, max_parts=2 * MAX_PARTS)
        plan.update(_divide(layers, copy))
    plan.update(_lay_out_spares(layers, spares))
    return plan


def _take_copy(
    layers: int, rest: list[Card], max_parts: int = MAX_PARTS
) -> list[Card]:
    """Takes the fewest cards that hold a whole copy; none if too few."""
    taken: list[Card] = []
    total = 0
    for card in rest[:max_parts]:
        taken.append(card)
        total += card.capacity
        if total >= layers:
            del rest[: len(taken)]
            return taken
    return []


def _divide(
    layers: int, copy: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    """Divides all layers over a copy's cards, in proportion to capacity."""
    plan = {}
    total = sum(card.capacity for card in copy)
    start = passed = 0
    for card in copy:
        passed += card.capacity
        end = layers * passed // total if total else 0
        if end > start:
            plan[card.endpoint_id] = endpoints_lib.Span(start, end)
        start = end
    return plan


def _lay_out_spares(
    layers: int, spares: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    """Lays ranges end to end around the layers, domain after domain."""
    plan = {}
    start = 0
    for card in sorted(spares, key=lambda c: (c.domain, -c.capacity)):
        end = min(layers, start + card.capacity)
        # A short rest at the end would waste a card: it reaches back instead.
        plan[card.endpoint_id] = endpoints_lib.Span(
            max(0, end - card.capacity), end
        )
        start = 0 if end == layers else end
    return plan


def _fill_gaps(
    layers: int, cards: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    """Gives each empty card the range that is backed up least."""
    overall = [0] * layers
    by_domain: dict[str, list[int]] = {}
    for card in cards:
        counts = by_domain.setdefault(card.domain, [0] * layers)
        for layer in range(*(card.held or (0, 0))):
            overall[layer] += 1
            counts[layer] += 1
    plan = {}
    empty = [card for card in cards if card.held is None]
    for card in sorted(empty, key=lambda c: (-c.capacity, c.endpoint_id)):
        counts = by_domain[card.domain]
        span = _neediest(layers, card.capacity, overall, counts)
        plan[card.endpoint_id] = span
        for layer in range(*span):
            overall[layer] += 1
            counts[layer] += 1
    return plan


def _neediest(
    layers: int,
    size: int,
    overall: typing.Sequence[int],
    in_domain: typing.Sequence[int],
) -> endpoints_lib.Span:
    """Returns the range of a size whose layers have the fewest holders."""
    # A layer without any holder stops all requests; one without a holder in
    # this domain only costs a crossing.
    need = [
        (100.0 if overall[layer] == 0 else 0.0)
        + 1 / (1 + overall[layer]) ** 2
        + 1 / (1 + in_domain[layer]) ** 2
        for layer in range(layers)
    ]
    size = min(size, layers)
    best = total = sum(need[:size])
    at = 0
    for start in range(1, layers - size + 1):
        total += need[start + size - 1] - need[start - 1]
        if total > best + 1e-9:
            best, at = total, start
    return endpoints_lib.Span(at, at + size)
