"""Measures how much a host itself was held up.

A host that is suspended, or that shares its processor with others, reads
messages late. The time that it measures then says nothing about their senders.
"""

import collections
import typing

# Interval at which a host records that it runs.
TICK_S: typing.Final = 0.1
# Longest time between two records that counts as on time.
MAX_STEP_S: typing.Final = 0.12
# A step longer than this shows that the host was held up. Shorter delays are
# usual on a busy host, which must still find endpoints that have failed.
HELD_UP_STEP_S: typing.Final = 0.15
# A signal that was sent while the host was held up is handled this long after
# the end of the delay, at the latest.
SIGNAL_HANDLING_S: typing.Final = 0.1
# Delays are summed over this time.
RECENT_S: typing.Final = 1.0
# A host is overloaded if so many steps in a row were late. A pause of the
# process, however long, is one.
OVERLOAD_STEPS: typing.Final = 3


class HostDelays:
    """Time during which a host was on time, and its last delay.

    Times are those of one clock that the caller uses, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._on_time_at_tick = now
        self._delay_began_at = now
        self._delay_ended_at = float('-inf')
        self._held_up_until = float('-inf')
        # When each recent delay ended, and its length.
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # Delays of the last steps, all of which were late.
        self._late_steps: collections.deque[float] = collections.deque(
            maxlen=OVERLOAD_STEPS
        )

    def record_tick(self, now: float) -> float:
        """Records that the host runs.

        Returns:
            The delay since the last record; 0 if the host was on time.
        """
        step_s = now - self._ticked_at
        if step_s > MAX_STEP_S:
            self._delay_began_at = self._ticked_at
            self._delay_ended_at = now
        if step_s > HELD_UP_STEP_S:
            self._held_up_until = now
        self._on_time_at_tick = self.on_time(now)
        self._ticked_at = now
        delay_s = step_s - TICK_S if step_s > MAX_STEP_S else 0.0
        if delay_s:
            self._recent.append((now, delay_s))
            self._late_steps.append(delay_s)
        else:
            self._late_steps.clear()
        while self._recent and now - self._recent[0][0] > RECENT_S:
            self._recent.popleft()
        return delay_s

    def overload_s(self) -> float:
        """Returns how late the tasks of an overloaded host run on average.

        It is 0 for a host that isn't overloaded.
        """
        if len(self._late_steps) < OVERLOAD_STEPS:
            return 0.0
        return sum(self._late_steps) / OVERLOAD_STEPS

    def recent_delay_s(self) -> float:
        """Returns the sum of the delays that ended within `RECENT_S`."""
        return sum(delay_s for _, delay_s in self._recent)

    def on_time(self, now: float) -> float:
        """Returns the time of a clock that stands still during delays."""
        return self._on_time_at_tick + min(now - self._ticked_at, MAX_STEP_S)

    def was_on_time_for(self, duration_s: float, now: float) -> bool:
        """Returns whether the host wasn't held up for some time until now."""
        return (
            now - self._ticked_at <= HELD_UP_STEP_S
            and now - self._held_up_until > duration_s
        )

    def earliest_signal_at(self, now: float) -> float:
        """Returns when a signal that is handled now was sent, at the earliest.

        That is the beginning of the delay that has just ended, if there is one.
        """
        if now - self._ticked_at > MAX_STEP_S:
            return self._ticked_at
        if now - self._delay_ended_at <= SIGNAL_HANDLING_S:
            return self._delay_began_at
        return now
