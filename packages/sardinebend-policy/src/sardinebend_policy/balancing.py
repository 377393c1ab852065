"""Chooses the endpoint of a plain service for a request.

The cost of an endpoint depends on the requests that this host has running there
and on the times and failures of its recent answers. These statistics decay, so
that an endpoint that was slow or failing is tried again.
"""

import math
import random
import typing

from sardinebend_policy import endpoints as endpoints_lib

# Weight of the newest answer in the averages.
NEWEST_WEIGHT: typing.Final = 0.3
# Half-life of the statistics, which decay towards those of an unknown endpoint.
HALF_LIFE_S: typing.Final = 4.0
# Answer time assumed for an unknown endpoint.
DEFAULT_ANSWER_S: typing.Final = 0.03
# Share of successes below which the cost of an endpoint stops rising.
MIN_SUCCESS_SHARE: typing.Final = 0.1


class _Stats:
    """Decaying statistics of one endpoint."""

    def __init__(self) -> None:
        self.running = 0
        self.answer_s = DEFAULT_ANSWER_S
        self.success_share = 1.0
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        remaining = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.answer_s = (
            DEFAULT_ANSWER_S + (self.answer_s - DEFAULT_ANSWER_S) * remaining
        )
        self.success_share = 1 + (self.success_share - 1) * remaining
        self.updated_at = now


class Balancer:
    """Balances requests over endpoints of the same service."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._stats: dict[str, _Stats] = {}

    def choose(
        self,
        candidates: typing.Iterable[endpoints_lib.Endpoint],
        domain: str,
        now: float,
    ) -> endpoints_lib.Endpoint | None:
        """Returns the endpoint with the lowest expected cost."""
        return min(
            candidates,
            key=lambda e: self._cost(e, domain, now),
            default=None,
        )

    def begin(self, endpoint_id: str) -> None:
        """Counts a request that is sent to an endpoint."""
        self._get(endpoint_id).running += 1

    def end(self, endpoint_id: str) -> None:
        """Counts the end of a request at an endpoint."""
        stats = self._get(endpoint_id)
        stats.running = max(0, stats.running - 1)

    def record(
        self, endpoint_id: str, took_s: float, is_success: bool, now: float
    ) -> None:
        """Records the time and success of an answer."""
        stats = self._get(endpoint_id)
        stats.decay(now)
        stats.answer_s += NEWEST_WEIGHT * (took_s - stats.answer_s)
        stats.success_share += NEWEST_WEIGHT * (
            float(is_success) - stats.success_share
        )

    def forget(self, known: typing.Collection[str]) -> None:
        """Drops endpoints that are no longer known."""
        for name in set(self._stats) - set(known):
            del self._stats[name]

    def _get(self, endpoint_id: str) -> _Stats:
        return self._stats.setdefault(endpoint_id, _Stats())

    def _cost(
        self, endpoint: endpoints_lib.Endpoint, domain: str, now: float
    ) -> float:
        stats = self._get(endpoint.endpoint_id)
        stats.decay(now)
        slots = max(1, endpoint.slots)
        # Requests beyond the endpoint's slots queue there or are refused.
        queue = (stats.running + 1) / slots
        cost = stats.answer_s * (1 + math.pow(queue, 2) * slots)
        cost /= max(MIN_SUCCESS_SHARE, stats.success_share) ** 2
        if endpoint.domain != domain:
            cost *= 1.05
        return cost * self._rng.uniform(0.9, 1.1)
