"""Stall time-outs of streams, derived from the gaps between their tokens."""

import typing

GAP_FACTOR: typing.Final = 8.0
DECAY: typing.Final = 0.05


class GapTracker:
    """Keeps an upper estimate of the gaps between tokens.

    The estimate rises to a larger gap at once and decays slowly. A tracker
    therefore stores a single number and tends to give time-outs that are too
    long rather than too short.
    """

    def __init__(self) -> None:
        self._estimate_s = 0.0

    def record(self, gap_s: float) -> None:
        """Records a gap; ignores a negative one, caused by a clock jump."""
        if gap_s < 0:
            return
        if gap_s > self._estimate_s:
            self._estimate_s = gap_s
        else:
            self._estimate_s += DECAY * (gap_s - self._estimate_s)

    def bound_s(self, floor_s: float, ceiling_s: float) -> float:
        """Returns the time without tokens after which a stream is stalled."""
        return min(ceiling_s, max(floor_s, GAP_FACTOR * self._estimate_s))
