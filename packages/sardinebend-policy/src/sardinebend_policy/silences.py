"""Whether a silent stream is stalled or only slow.

When engines are overloaded all their streams pause for long. Moving those
streams costs each a whole prompt elsewhere, which spreads the overload, so a
silence counts as a stall only next to the pauses that the engine has shown.
"""

import collections
import typing

# Pauses older than this say nothing of an engine's pace now.
WINDOW_S: typing.Final = 5.0
# Pauses kept for an engine; a busy one writes several a millisecond.
MAX_GAPS: typing.Final = 64
# A silence beyond the longest pause seen by this factor is unusual.
UNUSUAL_FACTOR: typing.Final = 1.5
# An engine whose pauses are longer than this part of the silence is no faster.
FASTER_SHARE: typing.Final = 0.5
# Streams that are moved off an engine before it is passed over.
STALLS_TO_DOUBT: typing.Final = 2


class Silence(typing.NamedTuple):
    """The silence of one stream.

    Attributes:
        silent_s: How long it has made no progress.
        limit_s: The silence from which a caller is about to leave.
        longest_s: Its own longest wait for an event so far, the first one's
            included.
        usual_s: The longest pause that its engine has shown of late.
    """

    silent_s: float
    limit_s: float
    longest_s: float
    usual_s: float

    @property
    def is_unusual(self) -> bool:
        """Whether the stream is silent for longer than its pace explains."""
        slowest_s = max(self.longest_s, self.usual_s)
        return self.silent_s > max(self.limit_s, UNUSUAL_FACTOR * slowest_s)

    def would_gain(self, other_usual_s: float) -> bool:
        """Tells whether an engine of some usual pause can be faster."""
        return other_usual_s < FASTER_SHARE * self.silent_s


class PauseBook:
    """Pauses of streams by engine, as one host has seen them."""

    def __init__(self) -> None:
        self._gaps: dict[str, collections.deque[tuple[float, float]]] = {}
        self._stalls: dict[str, list[float]] = {}

    def record(self, endpoint_id: str, gap_s: float, now: float) -> None:
        """Takes in that a stream of an engine went on after a pause."""
        gaps = self._gaps.get(endpoint_id)
        if gaps is None:
            gaps = collections.deque(maxlen=MAX_GAPS)
            self._gaps[endpoint_id] = gaps
        gaps.append((now, gap_s))

    def usual_s(self, endpoint_id: str, now: float) -> float:
        """Returns an engine's longest pause of late; 0 if none is known."""
        gaps = self._gaps.get(endpoint_id, ())
        return max((g for at, g in gaps if now - at <= WINDOW_S), default=0.0)

    def record_stall(self, endpoint_id: str, now: float) -> bool:
        """Takes in that a stream was moved off an engine for its silence.

        Returns:
            Whether several streams have been of late.
        """
        stalls = self._stalls.setdefault(endpoint_id, [])
        stalls[:] = [at for at in stalls if now - at <= WINDOW_S]
        stalls.append(now)
        return len(stalls) >= STALLS_TO_DOUBT

    def forget(self, kept: typing.Collection[str]) -> None:
        """Drops engines that aren't listed any more."""
        for name in self._gaps.keys() - set(kept):
            del self._gaps[name]
        for name in self._stalls.keys() - set(kept):
            del self._stalls[name]
