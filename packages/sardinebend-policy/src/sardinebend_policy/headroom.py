"""Headroom: the room that less urgent requests leave to more urgent ones.

A request that isn't of the most urgent rank present may start on a path if the
path would still have memory and keep its streams' pauses after the more urgent
requests that are expected before the hosts hear of each other's sends.
"""

import enum
import typing

from sardinebend_policy import catalog
from sardinebend_policy import fleet_shares
from sardinebend_policy import paths

# The more urgent requests may double within the time that is looked ahead.
BURST_FACTOR: typing.Final = 2.0
# Passes that a stream waits for at an engine: half of the one in progress on
# average, and its own.
PASSES_PER_EVENT: typing.Final = 1.5
# Reading beyond this share of an engine's time would never be caught up with.
MAX_READING_SHARE: typing.Final = 0.9


class Verdict(enum.Enum):
    """Whether a request leaves enough room."""

    FITS = 'fits'
    MEMORY = 'memory'
    PAUSES = 'pauses'


class Outlook(typing.NamedTuple):
    """What is expected of the requests that are more urgent than one.

    Attributes:
        urgent_share: Their share of the requests in flight.
        ahead_s: Time until the hosts have heard of what others send now.
        service_s: Mean time that a request is in flight.
    """

    urgent_share: float
    ahead_s: float
    service_s: float

    @property
    def growth(self) -> float:
        """Expected new urgent requests, relative to all that are in flight."""
        ahead = self.ahead_s / max(self.service_s, self.ahead_s, 1e-9)
        return BURST_FACTOR * self.urgent_share * ahead


def is_held_back(view: fleet_shares.ShareView, rank: int) -> bool:
    """Returns whether a rank has to leave room: it isn't the most urgent."""
    return any(r < rank and u.requests > 0 for r, u in view.by_rank.items())


def check(
    engine: catalog.EngineModel,
    gap_target_s: float,
    path: paths.Path,
    tokens: float,
    loads: typing.Mapping[str, paths.Load],
    outlook: Outlook,
) -> Verdict:
    """Returns whether a path has the room for a less urgent request.

    Args:
        engine: Published figures of the engines.
        gap_target_s: Shortest of the gaps that the service's routes expect;
            0 if they expect none.
        path: The path.
        tokens: Tokens that the request is expected to reach.
        loads: Load of each endpoint.
        outlook: What is expected of more urgent requests.
    """
    gap_ms = 0.0
    for part in path:
        load = loads.get(part.endpoint.endpoint_id, paths.IDLE)
        held = part.endpoint.span.size if part.endpoint.span else 0
        card = engine.cards[part.endpoint.card]
        capacity = (card.memory_mb - held * engine.layer_mb) / max(
            engine.token_layer_mb, 1e-9
        )
        grown = load._replace(
            requests=1 + load.requests * (1 + outlook.growth),
            token_layers=tokens * held
            + load.token_layers * (1 + outlook.growth),
        )
        if grown.token_layers > capacity:
            return Verdict.MEMORY
        gap_ms += predict_part_gap_ms(engine, part, grown, outlook.service_s)
    if gap_target_s > 0 and gap_ms > gap_target_s * 1e3:
        return Verdict.PAUSES
    return Verdict.FITS


def predict_part_gap_ms(
    engine: catalog.EngineModel,
    part: paths.Part,
    load: paths.Load,
    service_s: float,
) -> float:
    """Returns what an endpoint adds to the gaps between a stream's events.

    Args:
        engine: Published figures of the engines.
        part: The endpoint and the layers that it runs.
        load: Its load.
        service_s: Mean time that a request is in flight; in this time each of
            its requests is replaced by another, whose prompt it reads.
    """
    card = engine.cards[part.endpoint.card]
    share = part.span.size / engine.layers
    held = part.endpoint.span.size if part.endpoint.span else part.span.size
    step_ms = (
        engine.step_ms
        + engine.per_request_ms * load.requests
        + engine.context_ms_per_token * load.token_layers / max(held, 1)
    ) * card.step_factor
    read_ms = engine.usual_prompt / engine.read_tokens_per_ms * card.read_factor
    reading = load.requests * read_ms * share / max(service_s * 1e3, 1e-9)
    pass_ms = engine.stride * step_ms * share * load.slowness
    busy = min(MAX_READING_SHARE, reading * load.slowness)
    return PASSES_PER_EVENT * pass_ms / (1 - busy)
