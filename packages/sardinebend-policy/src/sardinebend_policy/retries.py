"""Retry budgets and backoff between retries."""

import random
import typing

from sardinebend_policy import errors

WINDOW_S: typing.Final = 10.0


class RetryBudget:
    """Limits retries to a ratio of recent successes.

    Successes and retries are counted over the current and the previous window,
    so that the budget neither drops to zero at the start of a window nor
    counts an old peak.
    """

    def __init__(
        self, ratio: float, floor: int, window_s: float = WINDOW_S
    ) -> None:
        if not 0 <= ratio <= 1:
            raise errors.InvalidArgument('ratio', ratio, '0 to 1')
        if floor < 0:
            raise errors.InvalidArgument('floor', floor, '0 or more')
        if not window_s > 0:
            raise errors.InvalidArgument('window_s', window_s, 'more than 0')
        self._ratio = ratio
        self._floor = floor
        self._window_s = window_s
        self._window_index = 0
        self._successes = [0, 0]
        self._retries = [0, 0]

    def set_floor(self, floor: int) -> None:
        """Sets the number of retries allowed in addition to the ratio."""
        if floor < 0:
            raise errors.InvalidArgument('floor', floor, '0 or more')
        self._floor = floor

    def record_success(self, now: float) -> None:
        """Counts a request that succeeded on its first attempt."""
        self._advance_window(now)
        self._successes[0] += 1

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns false if none is left."""
        if not self.can_spend(now):
            return False
        self._retries[0] += 1
        return True

    def can_spend(self, now: float) -> bool:
        """Returns whether the budget allows another retry."""
        self._advance_window(now)
        allowed = self._floor + self._ratio * sum(self._successes)
        return sum(self._retries) < allowed

    def _advance_window(self, now: float) -> None:
        window_index = int(now / self._window_s)
        elapsed = window_index - self._window_index
        if elapsed <= 0:
            # The counts must be kept when the clock jumps back.
            return
        self._window_index = window_index
        for counts in (self._successes, self._retries):
            counts[1] = counts[0] if elapsed == 1 else 0
            counts[0] = 0


class BudgetPool:
    """One retry budget for each name, e.g. for each customer."""

    MAX_NAMES: typing.Final = 10_000

    def __init__(self, ratio: float, floor: int) -> None:
        self._ratio = ratio
        self._floor = floor
        self._budgets: dict[str, RetryBudget] = {}

    def get(self, name: str) -> RetryBudget:
        """Returns the budget of a name, creating it if it doesn't exist.

        If the pool is full, the least recently used budget is evicted.
        """
        budget = self._budgets.pop(name, None)
        if budget is None:
            budget = RetryBudget(self._ratio, self._floor)
            if len(self._budgets) >= self.MAX_NAMES:
                self._budgets.pop(next(iter(self._budgets)))
        self._budgets[name] = budget
        return budget


def next_backoff_s(
    previous_s: float, base_s: float, cap_s: float, rng: random.Random
) -> float:
    """Returns a backoff with decorrelated jitter.

    Args:
        previous_s: Backoff before the previous retry; 0 before the first.
        base_s: Minimum backoff.
        cap_s: Maximum backoff.
        rng: Random number generator.
    """
    return min(cap_s, rng.uniform(base_s, max(base_s, previous_s * 3)))
