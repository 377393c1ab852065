"""Watches one draft's stream for silence."""

import typing

from sardinebend_policy import stalls

FIRST_CHECK_FLOORS: typing.Final = 2.0


class Gaps(typing.NamedTuple):
    """What a host has seen of its streams' silences.

    Attributes:
        first: Times from an order to its first token.
        between: Times between tokens of one attempt.
    """

    first: stalls.GapTracker
    between: stalls.GapTracker


class StreamWatch:
    """Decides when a silent stream is looked into.

    The wait for an attempt's first token holds queueing and prefill, and the
    wait after a lost attempt holds the repair; neither says anything of the
    usual gap between tokens, so they are kept apart.
    """

    def __init__(
        self, gaps: Gaps, floor_s: float, ceiling_s: float, first_s: float
    ) -> None:
        self._gaps = gaps
        self._floor_s = floor_s
        self._ceiling_s = ceiling_s
        self._first_s = first_s
        self._began_at = 0.0
        self._last_at: float | None = None
        self._checks = 0

    @property
    def has_token(self) -> bool:
        """Whether the attempt has brought a token."""
        return self._last_at is not None

    def begin(self, now: float) -> float:
        """Starts an attempt; returns when to look into it."""
        self._began_at = now
        self._last_at = None
        self._checks = 0
        return self._next_first_check(now)

    def on_token(self, now: float) -> float:
        """Takes in a token; returns when to look into the stream."""
        if self._last_at is None:
            self._gaps.first.record(now - self._began_at)
        else:
            self._gaps.between.record(now - self._last_at)
        self._last_at = now
        bound_s = self._gaps.between.bound_s(self._floor_s, self._ceiling_s)
        return now + bound_s

    def on_all_alive(self, now: float) -> float | None:
        """Takes in that all stages answered a probe.

        Returns:
            When to look again, or `None` if the wait is over: the stages
            live, so the connection is at fault.
        """
        if self.has_token or now - self._began_at >= self._first_s:
            return None
        self._checks += 1
        return self._next_first_check(now)

    def _next_first_check(self, now: float) -> float:
        """Looks early, then half as often each time, up to the limit."""
        floor_s = self._floor_s * FIRST_CHECK_FLOORS
        bound_s = self._gaps.first.bound_s(floor_s, self._first_s)
        wait_s = bound_s * 2**self._checks
        return min(now + wait_s, self._began_at + self._first_s)
