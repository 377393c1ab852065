"""Which endpoint of a plain service gets a request.

Each endpoint is judged by the work that this host has with it and by the
times and failures of its last answers. What was seen fades, so that an
endpoint that was slow or failing is tried again.
"""

import math
import random
import typing

from sardinebend_policy import endpoints as endpoints_lib

# Weight of the newest answer in the averages.
NEWEST_WEIGHT: typing.Final = 0.3
# Time after which half of what was seen has faded.
HALF_LIFE_S: typing.Final = 4.0
NEUTRAL_S: typing.Final = 0.03
# Share of successes below which an endpoint counts no worse.
MIN_SUCCESS: typing.Final = 0.1


class _Seen:
    """What was seen of one endpoint."""

    def __init__(self) -> None:
        self.running = 0
        self.answer_s = NEUTRAL_S
        self.success = 1.0
        self.at = 0.0

    def fade(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.answer_s = NEUTRAL_S + (self.answer_s - NEUTRAL_S) * kept
        self.success = 1 + (self.success - 1) * kept
        self.at = now


class Balancer:
    """Chooses among endpoints that all do the same work."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._seen: dict[str, _Seen] = {}

    def choose(
        self,
        candidates: typing.Iterable[endpoints_lib.Endpoint],
        domain: str,
        now: float,
    ) -> endpoints_lib.Endpoint | None:
        """Returns the endpoint that is expected to answer best."""
        return min(
            candidates,
            key=lambda e: self._cost(e, domain, now),
            default=None,
        )

    def begin(self, endpoint_id: str) -> None:
        """Notes that a request goes to an endpoint."""
        self._get(endpoint_id).running += 1

    def end(self, endpoint_id: str) -> None:
        """Notes that a request to an endpoint has ended."""
        seen = self._get(endpoint_id)
        seen.running = max(0, seen.running - 1)

    def record(
        self, endpoint_id: str, took_s: float, is_success: bool, now: float
    ) -> None:
        """Takes in how an endpoint answered."""
        seen = self._get(endpoint_id)
        seen.fade(now)
        seen.answer_s += NEWEST_WEIGHT * (took_s - seen.answer_s)
        seen.success += NEWEST_WEIGHT * (float(is_success) - seen.success)

    def forget(self, known: typing.Collection[str]) -> None:
        """Drops endpoints that are no longer known."""
        for name in set(self._seen) - set(known):
            del self._seen[name]

    def _get(self, endpoint_id: str) -> _Seen:
        return self._seen.setdefault(endpoint_id, _Seen())

    def _cost(
        self, endpoint: endpoints_lib.Endpoint, domain: str, now: float
    ) -> float:
        seen = self._get(endpoint.endpoint_id)
        seen.fade(now)
        room = max(1, endpoint.slots)
        # Work beyond the endpoint's places waits there or is refused.
        queue = (seen.running + 1) / room
        cost = seen.answer_s * (1 + math.pow(queue, 2) * room)
        cost /= max(MIN_SUCCESS, seen.success) ** 2
        if endpoint.domain != domain:
            cost *= 1.05
        return cost * self._rng.uniform(0.9, 1.1)
