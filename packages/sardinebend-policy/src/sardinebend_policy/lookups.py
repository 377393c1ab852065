"""The session of a repeatable call to a plain service.

Such a call may run any number of times, so each failure may be followed by a
try at another endpoint, within the caller's deadline and the retry budget.
"""

import random
import typing

from sardinebend_policy import outcomes
from sardinebend_policy import retries


class LookupRequest(typing.NamedTuple):
    """A repeatable call.

    Attributes:
        customer: The caller's customer.
        deadline: When the answer is no longer wanted, on the host's clock.
        refusal_statuses: Statuses that promise that the call didn't run.
    """

    customer: str
    deadline: float
    refusal_statuses: frozenset[int] = frozenset()


class Pause(typing.NamedTuple):
    """Wait, then try an endpoint that isn't in `avoid`."""

    pause_s: float
    avoid: frozenset[str]


class LookupSession:
    """Decides after each try whether there is another one."""

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
        self._backoff_s = backoff_s
        self._budget = budget
        self._rng = rng
        self._attempts = 0
        self._pause_s = 0.0
        self._may_have_run = False
        self._is_sending = False
        self._avoid: set[str] = set()

    def note_sent(self) -> None:
        """Takes in that the next try is about to be sent."""
        self._is_sending = True

    def on_reply(
        self, endpoint_id: str, answer: outcomes.Answered, now: float
    ) -> outcomes.Outcome | Pause:
        """Takes in a whole reply."""
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
    ) -> outcomes.Outcome | Pause:
        """Takes in a try of which nothing was sent."""
        return self._fail(endpoint_id, outcomes.Reason.NO_ROUTE, now)

    def on_reply_lost(
        self, endpoint_id: str, now: float
    ) -> outcomes.Outcome | Pause:
        """Takes in a try that may have run."""
        self._is_sending = False
        self._may_have_run = True
        return self._fail(endpoint_id, outcomes.Reason.REPLY_LOST, now)

    def on_no_endpoint(self) -> outcomes.Outcome:
        """Takes in that no endpoint is left to try."""
        return self.give_up(outcomes.Reason.NO_ROUTE, 1.0)

    def give_up(
        self, reason: outcomes.Reason, retry_after_s: float | None = None
    ) -> outcomes.Outcome:
        """Returns the truthful end of a call that has no answer."""
        if self._may_have_run or self._is_sending:
            return outcomes.Incomplete(reason, 0, retry_after_s)
        return outcomes.NotRun(reason, retry_after_s)

    def _fail(
        self, endpoint_id: str, reason: outcomes.Reason, now: float
    ) -> outcomes.Outcome | Pause:
        self._attempts += 1
        self._avoid.add(endpoint_id)
        if now >= self._request.deadline:
            return self.give_up(outcomes.Reason.DEADLINE)
        if self._attempts >= self._max_attempts:
            return self.give_up(reason, 1.0)
        if not self._budget.try_spend(now):
            return self.give_up(outcomes.Reason.RETRY_BUDGET, 1.0)
        if self._attempts > 1:
            base_s, cap_s = self._backoff_s
            self._pause_s = retries.next_pause_s(
                self._pause_s, base_s, cap_s, self._rng
            )
        return Pause(self._pause_s, frozenset(self._avoid))
