"""Detects when the stream of a draft is silent for too long."""

import typing

from sardinebend_policy import stalls

# Multiple of the floor between tokens that is the floor for the first token.
FIRST_TOKEN_FLOOR_FACTOR: typing.Final = 2.0
# A sound endpoint may be silent for a second or so and then go on.
SILENCE_S: typing.Final = 2.0
# Time between two probes of a stream that can't be moved elsewhere.
WAIT_S: typing.Final = 0.5


class Gaps(typing.NamedTuple):
    """Gaps in the streams of a host.

    Attributes:
        first: Times from the start of an attempt to its first token.
        between: Times between tokens of one attempt.
    """

    first: stalls.GapTracker
    between: stalls.GapTracker


class StreamWatch:
    """Decides when the stages of a silent stream are probed.

    The wait for the first token of an attempt includes queueing and prefill,
    and the wait after a lost attempt includes the repair. Neither reflects the
    usual gap between tokens, so they are tracked separately.
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
        self._probes = 0
        self._silent_since: float | None = None

    @property
    def has_token(self) -> bool:
        """Whether the attempt has produced a token."""
        return self._last_at is not None

    def begin(self, now: float) -> float:
        """Starts an attempt; returns when to probe its stages."""
        self._began_at = now
        self._last_at = None
        self._probes = 0
        self._silent_since = None
        return self._next_first_token_probe(now)

    def add_delay(self, delay_s: float) -> None:
        """Counts a time for which the host was held up as no silence."""
        self._began_at += delay_s
        if self._last_at is not None:
            self._last_at += delay_s
        if self._silent_since is not None:
            self._silent_since += delay_s

    def on_token(self, now: float) -> float:
        """Records a token; returns when to probe the stages."""
        if self._last_at is None:
            self._gaps.first.record(now - self._began_at)
        else:
            self._gaps.between.record(now - self._last_at)
        self._last_at = now
        self._silent_since = None
        bound_s = self._gaps.between.bound_s(self._floor_s, self._ceiling_s)
        return now + bound_s

    def on_probe(self, now: float) -> None:
        """Records that a probe of all stages begins."""
        if self._silent_since is None:
            self._silent_since = now if self._last_at is None else self._last_at

    def on_probes_answered(self, now: float) -> float | None:
        """Records that all stages have answered a probe.

        Returns:
            When to check again, or `None` if the wait is over: the stages are
            live, so the connection must have failed.
        """
        if self.has_token:
            # The probe may have been answered just before the next token.
            return self.on_probes_unanswered(now)
        self._silent_since = None
        if now - self._began_at >= self._first_s:
            return None
        self._probes += 1
        return self._next_first_token_probe(now)

    def on_probes_unanswered(self, now: float) -> float | None:
        """Records that a stage hasn't answered a probe.

        Returns:
            When to check again, or `None` if the wait is over.
        """
        return None if self.is_over(now) else self._silent_until()

    def is_over(self, now: float) -> bool:
        """Returns whether a stage has been silent for too long."""
        return now >= self._silent_until()

    def wait_on(self, now: float) -> float:
        """Returns when to probe a stream that can't be moved elsewhere."""
        self._silent_since = None
        return now + WAIT_S

    def _silent_until(self) -> float:
        if self._silent_since is None:
            return float('inf')
        return self._silent_since + min(SILENCE_S, self._ceiling_s)

    def _next_first_token_probe(self, now: float) -> float:
        """Returns when to probe next: a wait that doubles, up to the limit."""
        floor_s = self._floor_s * FIRST_TOKEN_FLOOR_FACTOR
        bound_s = self._gaps.first.bound_s(floor_s, self._first_s)
        wait_s = bound_s * 2**self._probes
        return min(now + wait_s, self._began_at + self._first_s)
