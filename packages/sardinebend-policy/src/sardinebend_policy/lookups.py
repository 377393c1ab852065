"""State machine of a repeatable call to a plain service.

Such a call may run any number of times, so after a failure it may be retried
at another endpoint, within the caller's deadline and the retry budget.
"""

import random
import typing

from sardinebend_policy import outcomes
from sardinebend_policy import retries


class LookupRequest(typing.NamedTuple):
    """A repeatable call.

    Attributes:
        customer: The customer that the caller belongs to.
        deadline: Time on the host's clock at which the request expires.
        refusal_statuses: HTTP statuses by which the service declares that
            the call didn't run.
    """

    customer: str
    deadline: float
    refusal_statuses: frozenset[int] = frozenset()


class Backoff(typing.NamedTuple):
    """Wait, then retry at an endpoint that isn't in `avoid`."""

    backoff_s: float
    avoid: frozenset[str]


class LookupSession:
    """Decides after each attempt whether the call is retried."""

    def __init__(
        self,
        request: LookupRequest,
        max_attempts: int,
        backoff_s: tuple[float, float],
        budget: retries.RetryBudget,
        rng: random.Random,
    ) -> None:
        self._request = request
        self._max_attempts = max_attempts
        self._backoff_bounds_s = backoff_s
        self._budget = budget
        self._rng = rng
        self._attempts = 0
        self._last_backoff_s = 0.0
        self._may_have_run = False
        self._is_sending = False
        self._avoid: set[str] = set()

    def record_send(self) -> None:
        """Records that the next attempt is about to be sent."""
        self._is_sending = True

    def on_reply(
        self, endpoint_id: str, answer: outcomes.Answered, now: float
    ) -> outcomes.Outcome | Backoff:
        """Handles a complete reply."""
        self._is_sending = False
        if answer.status in self._request.refusal_statuses:
            return self._fail(
                endpoint_id, outcomes.Reason.ENDPOINT_REFUSED, now
            )
        if answer.status >= 500:
            self._may_have_run = True
            return self._fail(endpoint_id, outcomes.Reason.ENDPOINT_ERROR, now)
        if self._attempts == 0:
            self._budget.record_success(now)
        return answer

    def on_connect_failed(
        self, endpoint_id: str, now: float
    ) -> outcomes.Outcome | Backoff:
        """Handles an attempt that failed before anything was sent."""
        return self._fail(endpoint_id, outcomes.Reason.NO_ROUTE, now)

    def on_reply_lost(
        self, endpoint_id: str, now: float
    ) -> outcomes.Outcome | Backoff:
        """Handles an attempt that may have run but whose reply was lost."""
        self._is_sending = False
        self._may_have_run = True
        return self._fail(endpoint_id, outcomes.Reason.REPLY_LOST, now)

    def on_no_endpoint(self) -> outcomes.Outcome:
        """Ends the call because no endpoint is left to try."""
        return self.give_up(outcomes.Reason.NO_ROUTE, 1.0)

    def give_up(
        self, reason: outcomes.Reason, retry_after_s: float | None = None
    ) -> outcomes.Outcome:
        """Returns the outcome of a call without an answer.

        The outcome is `NotRun` only if no attempt can have run.
        """
        if self._may_have_run or self._is_sending:
            return outcomes.Incomplete(reason, 0, retry_after_s)
        return outcomes.NotRun(reason, retry_after_s)

    def _fail(
        self, endpoint_id: str, reason: outcomes.Reason, now: float
    ) -> outcomes.Outcome | Backoff:
        self._attempts += 1
        self._avoid.add(endpoint_id)
        if now >= self._request.deadline:
            return self.give_up(outcomes.Reason.DEADLINE)
        if self._attempts >= self._max_attempts:
            return self.give_up(reason, 1.0)
        if not self._budget.try_spend(now):
            return self.give_up(outcomes.Reason.RETRY_BUDGET, 1.0)
        if self._attempts > 1:
            base_s, cap_s = self._backoff_bounds_s
            self._last_backoff_s = retries.next_backoff_s(
                self._last_backoff_s, base_s, cap_s, self._rng
            )
        return Backoff(self._last_backoff_s, frozenset(self._avoid))
