"""Predicts how prompts that are read hold up the streams of an engine.

An engine reads prompts in pieces between the token steps of its streams: a pass
takes some steps, each with a piece of what waits to be read. All times are for
all layers; a part takes the share of its layers.
"""

import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib

# A stream waits for the pass in progress, half of it on average, and then for
# its own.
PASSES: typing.Final = 1.5
# Share of the expected gap above which a path costs more.
PAUSE_SHARE: typing.Final = 0.8
PAUSE_EXPONENT: typing.Final = 4
# Free share of the slots of a first engine below which its paths cost more. A
# host knows the others' requests by a sample, so it errs by as much.
SCARCE_SLOTS: typing.Final = 0.5
MIN_FREE_SLOTS: typing.Final = 0.05


class Work(typing.NamedTuple):
    """What an engine has to do.

    Attributes:
        requests: Requests that it writes for.
        context_tokens: Tokens that these have so far.
        unread_tokens: Prompt tokens that wait to be read.
    """

    requests: float
    context_tokens: float
    unread_tokens: float


def read_rates(
    engine: catalog.EngineModel,
    endpoints: typing.Iterable[endpoints_lib.Endpoint],
) -> dict[str, float]:
    """Returns the tokens x layers that each endpoint reads in a second."""
    rate = engine.read_tokens_per_ms * 1000 * engine.layers
    return {
        e.endpoint_id: rate / engine.cards[e.card].read_factor
        for e in endpoints
        if e.card in engine.cards
    }


def read_ms(
    engine: catalog.EngineModel, card: catalog.CardKind, tokens: float
) -> float:
    """Returns how long an engine takes to read prompt tokens."""
    return tokens / engine.read_tokens_per_ms * card.read_factor


def pause_ms(
    engine: catalog.EngineModel, card: catalog.CardKind, work: Work
) -> float:
    """Returns how long a stream waits for its next event."""
    step_ms = (
        engine.step_ms
        + engine.per_request_ms * work.requests
        + engine.context_ms_per_token * work.context_tokens
    )
    steps = PASSES * engine.stride
    # A step reads only a piece of what waits.
    tokens = min(work.unread_tokens, steps * engine.chunk_tokens)
    return steps * step_ms * card.step_factor + read_ms(engine, card, tokens)


def pause_penalty(pause_s: float, expected_s: float) -> float:
    """Returns the factor by which a path costs more for its long pauses.

    One that nears what callers accept makes all its streams late, so the factor
    rises steeply there.
    """
    return max(1.0, pause_s / (PAUSE_SHARE * expected_s)) ** PAUSE_EXPONENT


def slot_penalty(requests: float, slots: int) -> float:
    """Returns the factor by which a path costs more for its first engine.

    That engine reads no prompt beyond its slots, however much memory it has.

    Args:
        requests: Requests whose path begins there, with the new one.
        slots: Requests that it runs at once.
    """
    free_share = max(MIN_FREE_SLOTS, 1 - requests / max(1, slots))
    return max(1.0, SCARCE_SLOTS / free_share) ** 2
