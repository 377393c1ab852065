"""Distinguishes stalled streams from slow ones.

All streams of an overloaded engine have long gaps between events. Moving such
a stream means that another engine reads the whole prompt again, which spreads
the overload. So a stream counts as stalled only if it has been silent for much
longer than the engine's recent gaps.
"""

import collections
import typing

# Gaps older than this no longer reflect an engine's current speed.
WINDOW_S: typing.Final = 5.0
# Most recent gaps kept per engine; a busy engine sends several events per
# millisecond, each with a gap before it.
MAX_GAPS: typing.Final = 64
# A silence longer than this multiple of the longest known gap is unusual.
UNUSUAL_FACTOR: typing.Final = 1.5
# An engine whose longest recent gap reaches this share of the silence is not
# expected to be faster than the engine of the silent stream.
FASTER_SHARE: typing.Final = 0.5
# Streams that are moved off an engine within `WINDOW_S` before it is marked
# unhealthy.
UNHEALTHY_STALLS: typing.Final = 2


class StreamStall(typing.NamedTuple):
    """How long one stream has been silent, with what to compare it to.

    Not every silence is a stall; `is_unusual` decides.

    Attributes:
        idle_s: Time since its last progress.
        limit_s: Silence after which the caller is expected to give up soon.
        longest_gap_s: Its own longest wait for an event so far, including the
            wait for the first event.
        longest_recent_gap_s: The longest recent gap of its engine.
    """

    idle_s: float
    limit_s: float
    longest_gap_s: float
    longest_recent_gap_s: float

    @property
    def is_unusual(self) -> bool:
        """Whether the silence is too long to be explained by slowness."""
        slowest_s = max(self.longest_gap_s, self.longest_recent_gap_s)
        return self.idle_s > max(self.limit_s, UNUSUAL_FACTOR * slowest_s)

    def is_likely_faster(self, other_longest_gap_s: float) -> bool:
        """Returns whether an engine with such gaps is likely faster.

        It is compared with the engine of the silent stream.
        """
        return other_longest_gap_s < FASTER_SHARE * self.idle_s


class StreamGapHistory:
    """Recent gaps and stalls of streams by engine, as seen by one host."""

    def __init__(self) -> None:
        self._gaps: dict[str, collections.deque[tuple[float, float]]] = {}
        self._stalls: dict[str, list[float]] = {}

    def record(self, endpoint_id: str, gap_s: float, now: float) -> None:
        """Records the gap before an event of a stream of an engine."""
        gaps = self._gaps.get(endpoint_id)
        if gaps is None:
            gaps = collections.deque(maxlen=MAX_GAPS)
            self._gaps[endpoint_id] = gaps
        gaps.append((now, gap_s))

    def longest_recent_gap_s(self, endpoint_id: str, now: float) -> float:
        """Returns an engine's longest recent gap, or 0 if none is known."""
        gaps = self._gaps.get(endpoint_id, ())
        return max((g for at, g in gaps if now - at <= WINDOW_S), default=0.0)

    def record_stall(self, endpoint_id: str, now: float) -> bool:
        """Records that a stream was moved off an engine because it stalled.

        Returns:
            Whether that makes `UNHEALTHY_STALLS` or more within `WINDOW_S`.
        """
        stalls = self._stalls.setdefault(endpoint_id, [])
        stalls[:] = [at for at in stalls if now - at <= WINDOW_S]
        stalls.append(now)
        return len(stalls) >= UNHEALTHY_STALLS

    def forget(self, listed: typing.Collection[str]) -> None:
        """Drops all engines except those named."""
        for name in self._gaps.keys() - set(listed):
            del self._gaps[name]
        for name in self._stalls.keys() - set(listed):
            del self._stalls[name]
