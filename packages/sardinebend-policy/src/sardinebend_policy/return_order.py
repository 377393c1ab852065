"""When refused callers may return: the urgent first, and not all at once."""

import random
import typing

from sardinebend_policy import catalog

# Hosts hear of each other's sends about as fast; nothing changes before. Each
# more urgent rank gets as much again before the next one.
RANK_STEP_S: typing.Final = 0.5
# A part of a model that is missing has to be noticed, ordered and loaded; that
# takes about so many times as long as to load it.
LOADS_UNTIL_READY: typing.Final = 2.0
# Share of the room coming free that returning callers may count on. The rest
# goes to new ones.
RETURN_SHARE: typing.Final = 0.5
# Callers honour a longer `Retry-After` only up to this share of their time.
HELPFUL_SHARE: typing.Final = 1 / 3
# A return is spread over this share of its time before and after it.
SPREAD: typing.Final = 0.2
# Ends a second that are assumed before any has been seen.
LEAST_ENDS_PER_S: typing.Final = 0.2


class ReturnOrder:
    """Places in time that a host promises to refused callers of a service."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # By rank, when the next place is free.
        self._next_at: dict[int, float] = {}

    def book(
        self,
        rank: int,
        earliest_s: float,
        ends_per_s: float,
        time_left_s: float,
        now: float,
    ) -> float:
        """Returns in how many seconds a refused caller may return.

        It waits behind the returns promised to its own and more urgent ranks,
        but not longer than helps it.

        Args:
            rank: Rank of the request.
            earliest_s: Time before which no room for it is expected.
            ends_per_s: Requests of this host that end in a second, each of
                which frees room for another.
            time_left_s: Time that the caller has left.
            now: The time.
        """
        gap_s = 1 / (max(ends_per_s, LEAST_ENDS_PER_S) * RETURN_SHARE)
        at = max(
            (at for r, at in self._next_at.items() if r <= rank), default=0.0
        )
        at = max(at, now + earliest_s)
        latest_s = max(0.0, time_left_s * HELPFUL_SHARE)
        wait_s = (at - now) * self._rng.uniform(1 - SPREAD, 1 + SPREAD)
        if at - now >= latest_s / (1 + SPREAD):
            # The last helpful places are shared by all that come too late.
            return latest_s * self._rng.uniform(1 - 2 * SPREAD, 1)
        self._next_at[rank] = at + gap_s
        return wait_s


def find_earliest_s(
    ranks_ahead: int, engine: catalog.EngineModel | None, missing_layers: float
) -> float:
    """Returns the time before which no room is expected for a request.

    Args:
        ranks_ahead: Number of more urgent ranks present.
        engine: Published figures of the engines, if there are any.
        missing_layers: Layers that one endpoint loads before there is any
            path; 0 if there is one.
    """
    earliest_s = RANK_STEP_S * (1 + ranks_ahead)
    if engine is not None and engine.layers > 0:
        load_s = engine.load_s * missing_layers / engine.layers
        earliest_s += LOADS_UNTIL_READY * load_s
    return earliest_s
