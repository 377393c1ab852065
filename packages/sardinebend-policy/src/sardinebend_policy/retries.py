"""Retry budgets and pauses between retries."""

import random
import typing

from sardinebend_policy import errors

WINDOW_S: typing.Final = 10.0


class RetryBudget:
    """Bounds retries to a share of recent successes.

    Successes and retries are counted in two windows, the current and the
    previous one, so that the budget neither jumps to zero nor remembers an
    old peak.
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
        self._window = 0
        self._successes = [0, 0]
        self._retries = [0, 0]

    def set_floor(self, floor: int) -> None:
        """Changes how many retries are allowed besides the share."""
        if floor < 0:
            raise errors.InvalidArgument('floor', floor, '0 or more')
        self._floor = floor

    def record_success(self, now: float) -> None:
        """Counts a request that ended well on its first attempt."""
        self._roll(now)
        self._successes[0] += 1

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget, or returns false."""
        if not self.can_spend(now):
            return False
        self._retries[0] += 1
        return True

    def can_spend(self, now: float) -> bool:
        """Tells whether a retry is left."""
        self._roll(now)
        allowed = self._floor + self._ratio * sum(self._successes)
        return sum(self._retries) < allowed

    def _roll(self, now: float) -> None:
        window = int(now / self._window_s)
        passed = window - self._window
        if passed <= 0:
            # A clock that jumped back must not empty the counts.
            return
        self._window = window
        for counts in (self._successes, self._retries):
            counts[1] = counts[0] if passed == 1 else 0
            counts[0] = 0


class BudgetPool:
    """One retry budget for each name, for instance for each customer."""

    MAX_NAMES: typing.Final = 10_000

    def __init__(self, ratio: float, floor: int) -> None:
        self._ratio = ratio
        self._floor = floor
        self._budgets: dict[str, RetryBudget] = {}

    def get(self, name: str) -> RetryBudget:
        """Returns the budget of a name; the oldest one makes room."""
        budget = self._budgets.pop(name, None)
        if budget is None:
            budget = RetryBudget(self._ratio, self._floor)
            if len(self._budgets) >= self.MAX_NAMES:
                self._budgets.pop(next(iter(self._budgets)))
        self._budgets[name] = budget
        return budget


def next_pause_s(
    previous_s: float, base_s: float, cap_s: float, rng: random.Random
) -> float:
    """Returns a pause with decorrelated jitter.

    Args:
        previous_s: The pause before the last retry; 0 before the first.
        base_s: Shortest pause.
        cap_s: Longest pause.
        rng: Source of randomness.
    """
    return min(cap_s, rng.uniform(base_s, max(base_s, previous_s * 3)))
