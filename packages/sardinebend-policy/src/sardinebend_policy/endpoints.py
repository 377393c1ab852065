"""The endpoints that a host knows, and which of them may get new work.

An endpoint that has been seen leaving stays so for that start of it, also when
an older listing shows it as ready again.
"""

import typing

# Shortest and longest time for which an endpoint is passed over.
FIRST_HOLD_S: typing.Final = 0.5
MAX_HOLD_S: typing.Final = 4.0
# Callers leave a stream after a silence of 2 s, so a shorter look at an engine
# that stalls several costs another one.
STALL_HOLD_S: typing.Final = 2.0
# A silent endpoint's listing lapses after three heartbeats of 1.2 s.
DEAD_HOLD_S: typing.Final = 4.0
# Starts that have left and are remembered; some 120 a day leave.
MAX_LEFT: typing.Final = 10_000


class Span(typing.NamedTuple):
    """A range of layers, `start` to `end` - 1."""

    start: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.start

    def covers(self, other: 'Span') -> bool:
        """Tells whether another range lies within this one."""
        return self.start <= other.start and other.end <= self.end


class Endpoint(typing.NamedTuple):
    """An endpoint as it describes itself.

    Attributes:
        endpoint_id: Its name.
        service: The service that it belongs to.
        address: Where it listens, `ip:port`.
        domain: Its failure domain.
        slots: Requests that it runs at once.
        is_draining: Whether it is about to stop.
        born: When it started; tells two starts under one name apart.
        card: Kind of its accelerator, if it has one.
        span: Layers that it holds, if any.
        version: Version of the weights that it holds.
    """

    endpoint_id: str
    service: str
    address: str
    domain: str
    slots: int
    is_draining: bool
    born: int
    card: str = ''
    span: Span | None = None
    version: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells this start of the endpoint from every other."""
        return (self.endpoint_id, self.born)


class _Doubt(typing.NamedTuple):
    """Why an endpoint is passed over for a while."""

    until: float
    hold_s: float
    reason: str


class EndpointTable:
    """All known endpoints, by name, with what has been seen of them."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._left: dict[tuple[str, int], bool] = {}
        self._doubts: dict[tuple[str, int], _Doubt] = {}
        self._backoffs: dict[tuple[str, int], float] = {}
        self.revision = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Takes in a listing; returns whether it changes anything."""
        if endpoint.incarnation in self._left:
            endpoint = endpoint._replace(is_draining=True)
        if self._endpoints.get(endpoint.endpoint_id) == endpoint:
            return False
        if endpoint.is_draining:
            self._note_left(endpoint.incarnation)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self.revision += 1
        return True

    def remove(self, endpoint_id: str) -> Endpoint | None:
        """Drops an endpoint that is gone; returns what was known of it."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self.revision += 1
        return endpoint

    def mark_left(self, incarnation: tuple[str, int]) -> bool:
        """Takes in that a start of an endpoint leaves; false if known.

        It needn't be listed yet.
        """
        if incarnation in self._left:
            return False
        self._note_left(incarnation)
        known = self._endpoints.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._endpoints[known.endpoint_id] = known._replace(
                is_draining=True
            )
            self.revision += 1
        return True

    def _note_left(self, incarnation: tuple[str, int]) -> None:
        self._left[incarnation] = True
        if len(self._left) > MAX_LEFT:
            self._left.pop(next(iter(self._left)))

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint by name."""
        return self._endpoints.get(endpoint_id)

    def all_of(self, service: str) -> list[Endpoint]:
        """Returns a service's endpoints, also those that are leaving."""
        return [e for e in self._endpoints.values() if e.service == service]

    def open_of(self, service: str, now: float) -> list[Endpoint]:
        """Returns a service's endpoints that may get new work."""
        return [
            e
            for e in self._endpoints.values()
            if e.service == service
            and not e.is_draining
            and not self.is_doubted(e, now)
            and not self.is_backing_off(e, now)
        ]

    def count_domains(self) -> int:
        """Returns in how many failure domains there are endpoints."""
        return len({e.domain for e in self._endpoints.values()})

    def names(self) -> set[str]:
        """Returns the names of all endpoints."""
        return set(self._endpoints)

    def doubt(
        self,
        endpoint: Endpoint,
        now: float,
        reason: str,
        first_hold_s: float = FIRST_HOLD_S,
    ) -> float:
        """Passes an endpoint over for a while, longer each time in a row.

        Returns:
            For how long, in seconds.
        """
        last = self._doubts.get(endpoint.incarnation)
        if last is not None and last.until > now:
            if now + first_hold_s > last.until:
                # Better evidence than that of the doubt so far.
                self._doubts[endpoint.incarnation] = _Doubt(
                    now + first_hold_s, last.hold_s, reason
                )
                self.revision += 1
            return max(first_hold_s, last.until - now)
        hold_s = first_hold_s
        if last is not None and now < last.until + 2 * last.hold_s:
            hold_s = max(hold_s, min(MAX_HOLD_S, last.hold_s * 2))
        self._doubts[endpoint.incarnation] = _Doubt(
            now + hold_s, hold_s, reason
        )
        self.revision += 1
        return hold_s

    def clear_doubt(self, endpoint: Endpoint) -> None:
        """Takes in that an endpoint has served a request."""
        if self._doubts.pop(endpoint.incarnation, None) is not None:
            self.revision += 1

    def back_off(self, endpoint: Endpoint, now: float, for_s: float) -> None:
        """Keeps all new work from an endpoint that asks for it."""
        self._backoffs = {
            start: until
            for start, until in self._backoffs.items()
            if until > now and start[0] in self._endpoints
        }
        until = max(now + for_s, self._backoffs.get(endpoint.incarnation, now))
        self._backoffs[endpoint.incarnation] = until
        self.revision += 1

    def is_backing_off(self, endpoint: Endpoint, now: float) -> bool:
        """Tells whether an endpoint wants nothing at the moment."""
        return self._backoffs.get(endpoint.incarnation, now) > now

    def backoff_left_s(self, service: str, now: float) -> float | None:
        """Returns when the first endpoint that backs off wants work again.

        Returns:
            Seconds from now; `None` if none of the service backs off.
        """
        left = [
            self._backoffs[e.incarnation] - now
            for e in self.all_of(service)
            if not e.is_draining and self.is_backing_off(e, now)
        ]
        return min(left, default=None)

    def is_doubted(self, endpoint: Endpoint, now: float) -> bool:
        """Tells whether an endpoint is passed over at the moment."""
        doubt = self._doubts.get(endpoint.incarnation)
        return doubt is not None and doubt.until > now
