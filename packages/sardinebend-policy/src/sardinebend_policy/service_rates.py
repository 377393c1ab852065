"""How long requests of a service are in flight at a host, and end how fast."""

import typing

# Weight of the latest request in the mean.
DECAY: typing.Final = 0.05
# Assumed until a request has ended.
USUAL_SERVICE_S: typing.Final = 4.0
MIN_SERVICE_S: typing.Final = 0.1


class ServiceRates:
    """Running requests, and the mean time that they take."""

    def __init__(self) -> None:
        self.running = 0
        self._mean_s = USUAL_SERVICE_S

    def begin(self) -> None:
        """Counts a request that starts."""
        self.running += 1

    def end(self, took_s: float) -> None:
        """Counts a request that ends, after a time that isn't negative."""
        self.running = max(0, self.running - 1)
        self._mean_s += DECAY * (max(0.0, took_s) - self._mean_s)

    @property
    def service_s(self) -> float:
        """Mean time that a request is in flight."""
        return max(MIN_SERVICE_S, self._mean_s)

    @property
    def ends_per_s(self) -> float:
        """Requests that end in a second, on average."""
        return self.running / self.service_s
