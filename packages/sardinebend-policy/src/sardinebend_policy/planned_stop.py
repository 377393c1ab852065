"""Decides which requests a host still admits during a planned stop."""

import typing

# Callers cache the address of a host for a few seconds and still connect to it.
LATE_CALLERS_S: typing.Final = 3.0
# A busy host handles the signal to stop late by up to this time. A request that
# was sent later than LATE_CALLERS_S after the signal must not be cut off, so a
# host that may be late begins none that may outlast it.
SIGNAL_DELAY_S: typing.Final = 1.0
# Largest share of the grace period that is taken to have passed before the
# signal is handled.
MAX_LATE_SHARE: typing.Final = 0.5
# Share of the grace period, from when the signal is handled, before which no
# request is cut off, however late the signal may be.
MIN_CUT_SHARE: typing.Final = 5 / 6
# Time left at the end of the grace period to end the process.
EXIT_MARGIN_S: typing.Final = 0.6
# For up to this much longer, a host reads what has arrived before it gives
# requests up, and before it cuts them off.
LAST_READ_S: typing.Final = 0.1
# For this long before requests in flight are cut off, no connection is
# accepted, so that whatever has been read is still answered.
CLOSING_S: typing.Final = 0.4
# This long before the cut, the host itself answers requests that have no answer
# and might outlast it.
LAST_ANSWERS_S: typing.Final = 0.1


def drain_wait_s(limit_s: float, signal_late_s: float) -> float:
    """Returns how long a stop that is handled now waits for its requests.

    Args:
        limit_s: Longest wait, from the signal.
        signal_late_s: How long ago the signal may have been sent.
    """
    return max(limit_s - max(0.0, signal_late_s), limit_s * MIN_CUT_SHARE)


class PlannedStop(typing.NamedTuple):
    """A planned stop that has begun.

    Times are those of the clock that the caller uses, in seconds.

    Attributes:
        started_at: When the signal may have been sent, at the earliest.
        ends_at: When a request must have ended that is begun during the stop.
        cut_at: When requests that are still in flight are cut off.
    """

    started_at: float
    ends_at: float
    cut_at: float

    @classmethod
    def begin(
        cls, now: float, grace_s: float, signal_late_s: float = 0.0
    ) -> 'PlannedStop':
        """Returns a stop whose signal is handled now.

        Args:
            now: The time.
            grace_s: Time from the signal to the forced end of the process.
            signal_late_s: How long ago the signal may have been sent.
        """
        # The process would have ended by now if the signal were much older.
        late_s = min(max(0.0, signal_late_s), grace_s * MAX_LATE_SHARE)
        duration_s = max(0.0, grace_s - EXIT_MARGIN_S)
        ends_at = now - late_s + duration_s
        # If the signal has just been sent, an early cut ends requests that
        # would have been answered.
        cut_s = min(duration_s, grace_s * MIN_CUT_SHARE)
        return cls(now - late_s, ends_at, max(ends_at, now + cut_s))

    @property
    def closes_at(self) -> float:
        """When connections are no longer accepted, at the latest."""
        return max(self.started_at, self.cut_at - CLOSING_S)

    @property
    def gives_up_at(self) -> float:
        """When requests without an answer are given up that may be cut off."""
        return max(self.started_at, self.cut_at - LAST_ANSWERS_S)

    @property
    def refuses_at(self) -> float:
        """When all requests are refused."""
        return min(self.started_at + LATE_CALLERS_S, self.closes_at)

    def may_admit(
        self, now: float, deadline: float, predicted_s: float | None
    ) -> bool:
        """Returns whether a request is expected to end before the host does.

        A caller that is refused at once can go to another host; one whose
        answer is cut off has waited for nothing.

        Args:
            now: The time.
            deadline: When the request ends at the latest.
            predicted_s: How long it will take, if that is known.
        """
        if now >= self.refuses_at:
            return False
        if now >= self.refuses_at - SIGNAL_DELAY_S:
            # The grace period began with the signal, too.
            forced_end_at = self.ends_at + EXIT_MARGIN_S - SIGNAL_DELAY_S
            return deadline <= min(self.ends_at, forced_end_at)
        if deadline <= self.ends_at:
            return True
        return predicted_s is not None and now + predicted_s <= self.ends_at
