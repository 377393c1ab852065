"""Bounds on the silence of a stream, from the gaps seen on its route."""

import typing

GAP_FACTOR: typing.Final = 8.0
DECAY: typing.Final = 0.05


class GapTracker:
    """Follows an upper estimate of the gaps between tokens of one route.

    The estimate rises to a larger gap at once and sinks slowly, so a single
    tracker costs two numbers and errs towards patience.
    """

    def __init__(self) -> None:
        self._estimate_s = 0.0

    def record(self, gap_s: float) -> None:
        """Takes in one gap; one below zero (a clock that jumped) is ignored."""
        if gap_s < 0:
            return
        if gap_s > self._estimate_s:
            self._estimate_s = gap_s
        else:
            self._estimate_s += DECAY * (gap_s - self._estimate_s)

    def bound_s(self, floor_s: float, ceiling_s: float) -> float:
        """Returns the silence after which the stream counts as stalled."""
        return min(ceiling_s, max(floor_s, GAP_FACTOR * self._estimate_s))
