"""Predicts how long requests will take from those of the recent past."""

import collections
import typing

# Most recent served requests kept per service.
MAX_SAMPLES: typing.Final = 128
# Fewer samples don't support a prediction.
MIN_SAMPLES: typing.Final = 8
# Share of requests that take no longer than predicted.
QUANTILE: typing.Final = 0.9


class Running(typing.NamedTuple):
    """A request that is being served.

    Attributes:
        service: Name of its service.
        size: Expected size of its answer in units that the time grows with,
            for instance tokens; at least 1.
        began_at: When it arrived.
    """

    service: str
    size: int
    began_at: float


class ServiceTimes:
    """Times that requests take, by service, as seen by one host.

    Times are those of the clock that the caller uses, in seconds.
    """

    def __init__(self) -> None:
        self._running: dict[int, Running] = {}
        self._s_per_unit: dict[str, collections.deque[float]] = {}
        self._next_key = 0

    def begin(self, service: str, size: int, now: float) -> int:
        """Records that a request is being served.

        Args:
            service: Name of its service.
            size: Expected size of its answer.
            now: When it arrived.

        Returns:
            A key, to be passed to `record_served` and `end`.
        """
        self._next_key += 1
        self._running[self._next_key] = Running(service, max(1, size), now)
        return self._next_key

    def record_served(self, key: int, now: float) -> None:
        """Records that a request has been served as a whole."""
        running = self._running[key]
        samples = self._s_per_unit.get(running.service)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self._s_per_unit[running.service] = samples
        samples.append((now - running.began_at) / running.size)

    def end(self, key: int) -> None:
        """Records that a request is no longer being served."""
        del self._running[key]

    def predict_s(self, service: str, size: int, now: float) -> float | None:
        """Returns a time within which a request most likely ends.

        Requests that are still running count with their age: without them the
        shortest requests, which end first, would dominate.

        Returns:
            Seconds; `None` if too few requests were served to tell.
        """
        served = self._s_per_unit.get(service, ())
        if len(served) < MIN_SAMPLES:
            return None
        ages = [
            (now - running.began_at) / running.size
            for running in self._running.values()
            if running.service == service
        ]
        samples = sorted([*served, *ages])
        return samples[int(QUANTILE * len(samples))] * max(1, size)
