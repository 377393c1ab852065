"""Which layers each endpoint holds.

Prompts are large and all links between failure domains share one capacity, so
a path should stay within a domain. Each domain gets whole copies of the model
first; its spare cards stand in for parts of those copies, the largest first.
When a domain loses a part, a spare card of the same domain takes its layers.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib

# Share of a card's memory that is kept for requests. Memory runs out before
# anything else once a few engines are lost; more than this leaves too few
# stand-ins.
REQUEST_SHARE: typing.Final = 0.3
# Share that is left where a card must hold more than planned.
TIGHT_SHARE: typing.Final = 0.08
# A path names at most 32 parts; half of that leaves room for repairs, in which
# one part is replaced by two.
MAX_PARTS: typing.Final = 16
# A copy that fits into a domain only with less memory for requests may have
# more parts: without it every request of the domain crosses the links.
TIGHT_PARTS: typing.Final = 24
# Steps from the planned memory for requests towards the least.
TIGHT_STEPS: typing.Final = (0.25, 0.5, 0.75)
# Need of a layer without any holder, and of one without a holder in its
# domain, next to that of one which only lacks a stand-in.
NO_HOLDER_NEED: typing.Final = 1000.0
NO_NEIGHBOUR_NEED: typing.Final = 10.0
# Extra need of layers whose only holder in a domain is a large part of a copy.
LARGE_PART_NEED: typing.Final = 0.5


class Card(typing.NamedTuple):
    """An endpoint to place layers on.

    Attributes:
        endpoint_id: Its name.
        domain: Its failure domain.
        capacity: Layers that fit beside the memory kept for requests.
        held: Layers that it holds or has been ordered to hold.
        most: Layers that fit with little memory left for requests.
    """

    endpoint_id: str
    domain: str
    capacity: int
    held: endpoints_lib.Span | None
    most: int = 0


def capacity_of(
    engine: catalog.EngineModel, card: str, share: float = REQUEST_SHARE
) -> int:
    """Returns how many layers a kind of card is to hold; 0 if none fits.

    Args:
        engine: The model.
        card: Kind of the card.
        share: Share of its memory that is kept for requests.
    """
    kind = engine.cards.get(card)
    if kind is None or engine.layer_mb <= 0 or engine.layers <= 0:
        return 0
    most = int(kind.memory_mb / engine.layer_mb)
    aimed = int(kind.memory_mb * (1 - share) / engine.layer_mb)
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
    plan: dict[str, endpoints_lib.Span] = {}
    rest: list[Card] = []
    for domain in sorted({card.domain for card in cards}):
        own = [card for card in cards if card.domain == domain]
        own.sort(key=lambda c: (-c.capacity, c.endpoint_id))
        copy = _take_copy(layers, own) or _take_tight_copy(layers, own)
        while copy:
            plan.update(_divide(layers, copy))
            copy = _take_copy(layers, own)
        rest += own
    if not plan:
        # No domain holds a whole copy: one over all of them, domain by domain,
        # so that its path crosses as rarely as may be.
        rest.sort(key=lambda c: (-c.capacity, c.endpoint_id))
        copy = _take_copy(layers, rest, max_parts=2 * MAX_PARTS)
        copy.sort(key=lambda c: (c.domain, -c.capacity))
        plan.update(_divide(layers, copy))
    held = [card._replace(held=plan.get(card.endpoint_id)) for card in cards]
    return {**plan, **_fill_gaps(layers, held)}


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


def _take_tight_copy(layers: int, rest: list[Card]) -> list[Card]:
    """Takes a copy that leaves less memory for requests than planned."""
    for step in TIGHT_STEPS:
        grown = [
            card._replace(capacity=_grow_capacity(card, step)) for card in rest
        ]
        grown.sort(key=lambda c: (-c.capacity, c.endpoint_id))
        copy = _take_copy(layers, grown, TIGHT_PARTS)
        if copy:
            taken = {card.endpoint_id for card in copy}
            rest[:] = [c for c in rest if c.endpoint_id not in taken]
            return copy
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


def _fill_gaps(
    layers: int, cards: typing.Sequence[Card]
) -> dict[str, endpoints_lib.Span]:
    """Gives each empty card the range that needs it most."""
    plan = {}
    placed = [card for card in cards if card.held is not None]
    empty = [card for card in cards if card.held is None]
    for card in sorted(empty, key=lambda c: (-c.capacity, c.endpoint_id)):
        size = _size_for(layers, card, cards)
        span = _neediest(_needs(layers, placed, card.domain), size)
        plan[card.endpoint_id] = span
        placed.append(card._replace(held=span))
    return plan


def _size_for(layers: int, card: Card, cards: typing.Sequence[Card]) -> int:
    """Returns how many layers a card is to hold.

    More than planned where its domain has too little memory for a copy.
    """
    sizes = [
        c.held.size if c.held is not None else c.capacity
        for c in cards
        if c.domain == card.domain
    ]
    if sum(sizes) >= layers:
        return card.capacity
    return _grow_capacity(card, TIGHT_STEPS[-1])


def _grow_capacity(card: Card, step: float) -> int:
    """Returns a capacity between what is planned and the most that fits."""
    more = int(step * (card.most - card.capacity))
    return card.capacity + max(0, more)


class Move(typing.NamedTuple):
    """A card that is to hold other layers than it does."""

    endpoint_id: str
    span: endpoints_lib.Span


def find_move(layers: int, cards: typing.Sequence[Card]) -> Move | None:
    """Returns a card that closes a gap in its failure domain, if there is one.

    A card moves only if others of its domain hold all of its layers, so that
    no gap opens elsewhere and moves come to an end. Without such a card, one
    beside the gap takes more layers than planned.
    """
    for domain in sorted({card.domain for card in cards}):
        own = [c for c in cards if c.domain == domain and c.held is not None]
        counts = _count_holders(layers, own)
        gap = {layer for layer in range(layers) if counts[layer] == 0}
        if not gap or len(gap) > layers / 2:
            continue
        move = _move_spare(layers, own, counts, gap) or _grow(layers, own, gap)
        if move is not None:
            return move
    return None


def _move_spare(
    layers: int,
    own: typing.Sequence[Card],
    counts: typing.Sequence[int],
    gap: set[int],
) -> Move | None:
    best: tuple[int, Move] | None = None
    for card in own:
        held = typing.cast(endpoints_lib.Span, card.held)
        if not held.size or min(counts[n] for n in range(*held)) < 2:
            continue
        start = max(0, min(min(gap), layers - card.capacity))
        span = endpoints_lib.Span(start, start + card.capacity)
        gain = len(gap & set(range(*span)))
        if gain and (best is None or gain > best[0]):
            best = (gain, Move(card.endpoint_id, span))
    return best[1] if best else None


def _grow(
    layers: int, own: typing.Sequence[Card], gap: set[int]
) -> Move | None:
    for card in own:
        held = typing.cast(endpoints_lib.Span, card.held)
        room = card.most - held.size
        if room <= 0:
            continue
        if held.end in gap:
            end = held.end
            while end in gap and end - held.end < room:
                end += 1
            return Move(card.endpoint_id, endpoints_lib.Span(held.start, end))
        if held.start - 1 in gap:
            start = held.start
            while start - 1 in gap and held.start - start < room:
                start -= 1
            return Move(card.endpoint_id, endpoints_lib.Span(start, held.end))
    return None


def _count_holders(layers: int, cards: typing.Iterable[Card]) -> list[int]:
    counts = [0] * layers
    for card in cards:
        for layer in range(*(card.held or (0, 0))):
            counts[layer] += 1
    return counts


def _needs(
    layers: int, cards: typing.Sequence[Card], domain: str
) -> list[float]:
    """Returns how much each layer needs another holder in a domain."""
    own = [card for card in cards if card.domain == domain]
    overall = _count_holders(layers, cards)
    counts = _count_holders(layers, own)
    largest = [0] * layers
    for card in own:
        held = card.held or endpoints_lib.Span(0, 0)
        for layer in range(*held):
            largest[layer] = max(largest[layer], held.size)
    return [
        NO_HOLDER_NEED * (overall[n] == 0)
        + NO_NEIGHBOUR_NEED * (counts[n] == 0)
        + (1 + LARGE_PART_NEED * largest[n] / layers) / (1 + counts[n]) ** 2
        for n in range(layers)
    ]


def _neediest(needs: typing.Sequence[float], size: int) -> endpoints_lib.Span:
    """Returns the range of a size that has the greatest need."""
    layers = len(needs)
    size = min(size, layers)
    best = total = sum(needs[:size])
    at = 0
    for start in range(1, layers - size + 1):
        total += needs[start + size - 1] - needs[start - 1]
        if total > best + 1e-9:
            best, at = total, start
    return endpoints_lib.Span(at, at + size)
