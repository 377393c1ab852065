"""The endpoints known to a host, and which of them may get new work.

A listing is the description that an endpoint publishes of itself. An endpoint
that is about to stop is leaving, which its listing shows as draining.

Once an incarnation of an endpoint is known to be leaving, it stays marked as
leaving, even when an older listing still shows it as ready.
"""

import typing

# Shortest and longest cooldown of an unhealthy endpoint.
FIRST_COOLDOWN_S: typing.Final = 0.5
MAX_COOLDOWN_S: typing.Final = 4.0
# Cooldown of an engine that stalls several streams. Callers give up a stream
# after 2 s without an event, so sending another request to the engine sooner
# risks losing that stream as well.
STALL_COOLDOWN_S: typing.Final = 2.0
# Cooldown of an unreachable endpoint. Endpoints renew their listing every
# 1.2 s; it expires after three missed renewals, 3.6 s.
UNREACHABLE_COOLDOWN_S: typing.Final = 4.0
# Time for which an endpoint that has answered this host isn't avoided on the
# word of others. If it has failed since, this host finds out by a connection
# that times out, which costs less than to lose sound endpoints.
CONTACT_TTL_S: typing.Final = 2.0
# Reasons for which an endpoint is unhealthy that tell of a refusal and no more:
# it may be dead or leaving, or short of memory, and then what it runs goes on.
NAMED_IN_REFUSAL: typing.Final = 'named in a refusal'
REFUSED_REPAIR: typing.Final = 'refused a repair'
# Leaving incarnations that are remembered; some 120 a day leave.
MAX_LEAVING: typing.Final = 10_000


class Span(typing.NamedTuple):
    """A range of layers, `start` to `end` - 1."""

    start: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.start

    def covers(self, other: 'Span') -> bool:
        """Returns whether another range lies within this one."""
        return self.start <= other.start and other.end <= self.end

    def fits(self, layers: int) -> bool:
        """Returns whether the range lies within a model of so many layers."""
        return 0 <= self.start <= self.end <= layers


class Endpoint(typing.NamedTuple):
    """An endpoint as described by its own listing.

    Attributes:
        endpoint_id: Its name.
        service: The service that it belongs to.
        address: Where it listens, `ip:port`.
        domain: Its failure domain.
        slots: Requests that it runs at once.
        is_draining: Whether it is leaving, that is, about to stop.
        born: Its start time; distinguishes incarnations of the same name.
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
        """Name and start time, which identify one run of the endpoint."""
        return (self.endpoint_id, self.born)


class _Cooldown(typing.NamedTuple):
    """Time during which an unhealthy endpoint gets no new work."""

    began_at: float
    until: float
    duration_s: float
    reason: str


class _Contact(typing.NamedTuple):
    """The last answer of one incarnation of an endpoint."""

    born: int
    at: float


class EndpointTable:
    """All known endpoints by name, with their health and requested pauses.

    "Backing off" means here that an endpoint has asked for a pause and the host
    withholds new work from it until that ends.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._leaving: dict[tuple[str, int], bool] = {}
        self._cooldowns: dict[tuple[str, int], _Cooldown] = {}
        self._silences: dict[tuple[str, int], _Cooldown] = {}
        self._backoffs: dict[tuple[str, int], float] = {}
        self._contacts: dict[str, _Contact] = {}
        self.revision = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Applies a listing; returns whether it changes the table."""
        if endpoint.incarnation in self._leaving:
            endpoint = endpoint._replace(is_draining=True)
        if self._endpoints.get(endpoint.endpoint_id) == endpoint:
            return False
        if endpoint.is_draining:
            self._remember_leaving(endpoint.incarnation)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self.revision += 1
        return True

    def remove(self, endpoint_id: str) -> Endpoint | None:
        """Removes an endpoint; returns its last listing, if it had one."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        self._contacts.pop(endpoint_id, None)
        if endpoint is not None:
            self.revision += 1
        return endpoint

    def mark_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Marks an incarnation as leaving; returns whether that is new.

        The incarnation need not be listed yet.
        """
        if incarnation in self._leaving:
            return False
        self._remember_leaving(incarnation)
        known = self._endpoints.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._endpoints[known.endpoint_id] = known._replace(
                is_draining=True
            )
            self.revision += 1
        return True

    def _remember_leaving(self, incarnation: tuple[str, int]) -> None:
        self._leaving[incarnation] = True
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Returns an endpoint by name."""
        return self._endpoints.get(endpoint_id)

    def list_all(self, service: str) -> list[Endpoint]:
        """Returns all endpoints of a service, including those leaving."""
        return [e for e in self._endpoints.values() if e.service == service]

    def list_usable(self, service: str, now: float) -> list[Endpoint]:
        """Returns a service's endpoints that may get new work."""
        return [
            e
            for e in self.list_usable_or_silent(service, now)
            if not self.is_silent(e, now)
        ]

    def list_usable_or_silent(self, service: str, now: float) -> list[Endpoint]:
        """Returns those that may get new work, or would but for a silence."""
        return [
            e
            for e in self._endpoints.values()
            if e.service == service
            and not e.is_draining
            and not self._is_cooling_down(e, now)
            and not self.is_backing_off(e, now)
        ]

    def count_domains(self) -> int:
        """Returns the number of failure domains with endpoints."""
        return len({e.domain for e in self._endpoints.values()})

    def names(self) -> set[str]:
        """Returns the names of all endpoints."""
        return set(self._endpoints)

    def mark_unhealthy(
        self,
        endpoint: Endpoint,
        now: float,
        reason: str,
        first_cooldown_s: float = FIRST_COOLDOWN_S,
        is_silent: bool = False,
    ) -> float:
        """Marks an endpoint unhealthy for a cooldown.

        The cooldown doubles, up to `MAX_COOLDOWN_S`, if the endpoint is marked
        again soon after the last one has ended.

        Args:
            endpoint: The endpoint.
            now: The time.
            reason: Why it is marked.
            first_cooldown_s: The first cooldown.
            is_silent: Whether it merely didn't answer in time, so that an
                answer ends the cooldown.

        Returns:
            The cooldown that is left, in seconds.
        """
        self._contacts.pop(endpoint.endpoint_id, None)
        # Each kind has an end of its own, so that neither hides the other.
        cooldowns = self._silences if is_silent else self._cooldowns
        last = cooldowns.get(endpoint.incarnation)
        if last is not None and last.until > now:
            if now + first_cooldown_s > last.until:
                # Stronger evidence extends the current cooldown.
                cooldowns[endpoint.incarnation] = _Cooldown(
                    now, now + first_cooldown_s, last.duration_s, reason
                )
                self.revision += 1
            return max(first_cooldown_s, last.until - now)
        duration_s = first_cooldown_s
        if last is not None and now < last.until + 2 * last.duration_s:
            duration_s = max(
                duration_s, min(MAX_COOLDOWN_S, last.duration_s * 2)
            )
        cooldowns[endpoint.incarnation] = _Cooldown(
            now, now + duration_s, duration_s, reason
        )
        self.revision += 1
        return duration_s

    def mark_healthy(self, endpoint: Endpoint) -> None:
        """Ends the cooldowns of an endpoint that has served a request."""
        for cooldowns in (self._cooldowns, self._silences):
            if cooldowns.pop(endpoint.incarnation, None) is not None:
                self.revision += 1

    def record_contact(self, endpoint: Endpoint, at: float) -> None:
        """Records that an endpoint has answered this host.

        That ends a cooldown for a silence.

        Args:
            endpoint: The endpoint; ignored if this incarnation isn't listed.
            at: When the answer was sent, at the earliest.
        """
        known = self._endpoints.get(endpoint.endpoint_id)
        if known is None or known.incarnation != endpoint.incarnation:
            return
        last = self._contacts.get(endpoint.endpoint_id)
        if last is None or last.born != endpoint.born or last.at < at:
            self._contacts[endpoint.endpoint_id] = _Contact(endpoint.born, at)
        silence = self._silences.get(endpoint.incarnation)
        if silence is not None and silence.began_at <= at:
            del self._silences[endpoint.incarnation]
            self.revision += 1

    def has_recent_contact(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint has just answered, undoubted since."""
        last = self._contacts.get(endpoint.endpoint_id)
        return (
            last is not None
            and last.born == endpoint.born
            and now - last.at < CONTACT_TTL_S
        )

    def back_off(self, endpoint: Endpoint, now: float, for_s: float) -> None:
        """Withholds new work from an endpoint that has asked for a pause."""
        self._backoffs = {
            incarnation: until
            for incarnation, until in self._backoffs.items()
            if until > now and incarnation[0] in self._endpoints
        }
        until = max(now + for_s, self._backoffs.get(endpoint.incarnation, now))
        self._backoffs[endpoint.incarnation] = until
        self.revision += 1

    def is_backing_off(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether work is withheld from an endpoint at its request."""
        return self._backoffs.get(endpoint.incarnation, now) > now

    def backoff_left_s(self, service: str, now: float) -> float | None:
        """Returns the time until a service's first requested pause ends.

        Returns:
            Seconds from now; `None` if no endpoint of the service has asked
            for a pause that is still running.
        """
        left = [
            self._backoffs[e.incarnation] - now
            for e in self.list_all(service)
            if not e.is_draining and self.is_backing_off(e, now)
        ]
        return min(left, default=None)

    def is_unhealthy(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint is unhealthy, that is, cooling down."""
        return self._is_cooling_down(endpoint, now) or self.is_silent(
            endpoint, now
        )

    def has_only_refused(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint is unhealthy for a refusal alone."""
        cooldown = self._cooldowns.get(endpoint.incarnation)
        return (
            cooldown is not None
            and cooldown.until > now
            and cooldown.reason in (NAMED_IN_REFUSAL, REFUSED_REPAIR)
            and not self.is_silent(endpoint, now)
        )

    def _is_cooling_down(self, endpoint: Endpoint, now: float) -> bool:
        cooldown = self._cooldowns.get(endpoint.incarnation)
        return cooldown is not None and cooldown.until > now

    def is_silent(self, endpoint: Endpoint, now: float) -> bool:
        """Returns whether an endpoint is cooling down for a silence."""
        silence = self._silences.get(endpoint.incarnation)
        return silence is not None and silence.until > now
