"""State of the endpoints as known to a host: load, health and leaving."""

import collections
import typing

from sardinebend_policy import quarantine

REPORT_TTL_S: typing.Final = 10.0
PREFIX_TTL_S: typing.Final = 120.0
MAX_PREFIXES: typing.Final = 1024
MAX_LEAVING: typing.Final = 64
UNHEALTHY_COOLDOWN_S: typing.Final = 30.0
MAX_REPORTED_RUNNING: typing.Final = 100_000


class EndpointSpec(typing.NamedTuple):
    """An endpoint as described in the settings.

    Attributes:
        endpoint_id: Its name.
        url: Its address.
        failure_domain: Its failure domain.
        service: Name of the plain service; empty for a model engine.
        model: Model that an engine holds.
        model_version: Version of that model.
        first_layer: First layer held.
        end_layer: One past the last layer held.
        layer_cost_us: Time that one layer takes for a token, in microseconds.
        batch_slots: Requests that an engine runs at once without queueing.
    """

    endpoint_id: str
    url: str
    failure_domain: str
    service: str = ''
    model: str = ''
    model_version: str = ''
    first_layer: int = 0
    end_layer: int = 0
    layer_cost_us: float = 100.0
    batch_slots: int = 16


class LoadReport(typing.NamedTuple):
    """Load reported by the endpoint itself; it may be outdated.

    Attributes:
        running: Requests that it was running at the time of the report.
        at: When the report was received.
    """

    running: int
    at: float


class EndpointState:
    """State of one endpoint, as seen from this host.

    Attributes:
        spec: The endpoint as described in the settings.
        incarnation: Its current incarnation; empty if unknown.
        held: Model and version that it last reported as loaded, if any.
        refused: Model and version that it refused after its last report.
        unhealthy_until: End of its cooldown.
        report: Its last load report.
        sent_since_report: Requests that this host sent it since that report.
        ended_since_report: Requests of this host that ended since that report.
        running: Requests of this host that it is running.
        leaving: Incarnations that are leaving or have been replaced.
        prefixes: Prompt prefixes in its cache, and when they were recorded.
    """

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.incarnation = ''
        self.held: tuple[str, str] | None = None
        self.refused: tuple[str, str] | None = None
        self.unhealthy_until = 0.0
        self.report = LoadReport(0, 0.0)
        self.sent_since_report = 0
        self.ended_since_report = 0
        self.running: collections.Counter[quarantine.Run] = (
            collections.Counter()
        )
        self.leaving: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.prefixes: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def holds(self, model: str, model_version: str) -> bool:
        """Returns whether an engine holds a model.

        The engine's own report takes precedence over the settings: they name a
        new version before it is loaded, and until then the engine serves the
        old one. A report clears an earlier refusal, so a recorded refusal is
        newer than the last report and takes precedence over it.
        """
        requested = (model, model_version)
        if requested == self.refused:
            return False
        known = self.held or (self.spec.model, self.spec.model_version)
        return known == requested

    @property
    def is_leaving(self) -> bool:
        """Whether the current incarnation is known to be leaving."""
        return self.incarnation in self.leaving

    def estimate_running(self, now: float) -> float:
        """Returns the number of requests that the endpoint is running.

        This is the number in the last report, plus requests that this host sent
        and minus those that it saw end since, but not less than the requests of
        this host. An expired report is ignored.
        """
        own = sum(self.running.values())
        if now - self.report.at > REPORT_TTL_S:
            return own
        reported = (
            self.report.running
            + self.sent_since_report
            - self.ended_since_report
        )
        return max(own, reported)

    def holds_prefix(self, prefix: str, now: float) -> bool:
        """Returns whether the cache recently held a prompt prefix."""
        return now - self.prefixes.get(prefix, -PREFIX_TTL_S) < PREFIX_TTL_S


class Fleet:
    """All endpoints known to this host, by name."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._by_model: dict[str, list[EndpointState]] = {}

    def apply_specs(self, specs: typing.Iterable[EndpointSpec]) -> None:
        """Replaces the endpoints by those that a settings version lists.

        An endpoint listed again under the same URL keeps its state.
        """
        states = {}
        for spec in specs:
            state = self._states.get(spec.endpoint_id)
            if state is None or state.spec.url != spec.url:
                state = EndpointState(spec)
            state.spec = spec
            states[spec.endpoint_id] = state
        self._states = states
        self._index_by_model()

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns an endpoint's state, or `None` for an unknown one."""
        return self._states.get(endpoint_id)

    def list_all(self) -> list[EndpointState]:
        """Returns the states of all endpoints."""
        return list(self._states.values())

    def list_usable(self, now: float) -> list[EndpointState]:
        """Returns endpoints that may get new work."""
        return [
            state
            for endpoint_id, state in self._states.items()
            if self.is_usable(endpoint_id, now)
        ]

    def list_usable_engines(
        self, model: str, now: float
    ) -> list[EndpointState]:
        """Returns engines of a model that may get work, of any version."""
        return [
            state
            for state in self._by_model.get(model, ())
            if not state.is_leaving and state.unhealthy_until <= now
        ]

    def _index_by_model(self) -> None:
        self._by_model = {}
        for state in self._states.values():
            if not state.spec.service:
                model = state.held[0] if state.held else state.spec.model
                self._by_model.setdefault(model, []).append(state)

    def is_usable(self, endpoint_id: str, now: float) -> bool:
        """Returns whether an endpoint may get new work."""
        state = self._states.get(endpoint_id)
        return (
            state is not None
            and not state.is_leaving
            and state.unhealthy_until <= now
        )

    def record_incarnation(self, endpoint_id: str, incarnation: str) -> None:
        """Records the incarnation that an endpoint or a listing reports."""
        state = self._states.get(endpoint_id)
        if state is None or state.incarnation == incarnation:
            return
        if incarnation in state.leaving:
            # The report is older than the departure of that incarnation.
            return
        if state.incarnation:
            self._add_leaving(state, state.incarnation)
        state.incarnation = incarnation
        state.unhealthy_until = 0.0
        state.prefixes.clear()

    def mark_leaving(self, endpoint_id: str, incarnation: str) -> None:
        """Withholds new work from an incarnation permanently."""
        state = self._states.get(endpoint_id)
        if state is None:
            return
        if not state.incarnation:
            state.incarnation = incarnation
        self._add_leaving(state, incarnation)

    def mark_unhealthy(self, endpoint_id: str, now: float) -> None:
        """Marks an endpoint unhealthy until it answers or a cooldown ends."""
        state = self._states.get(endpoint_id)
        if state is not None:
            state.unhealthy_until = now + UNHEALTHY_COOLDOWN_S

    def mark_healthy(self, endpoint_id: str) -> None:
        """Ends the cooldown of an endpoint that has answered a probe."""
        state = self._states.get(endpoint_id)
        if state is not None:
            state.unhealthy_until = 0.0

    def begin(self, endpoint_id: str, run: quarantine.Run) -> None:
        """Counts a request sent to an endpoint."""
        state = self._states.get(endpoint_id)
        if state is not None:
            state.running[run] += 1
            state.sent_since_report += 1

    def finish(self, endpoint_id: str, run: quarantine.Run) -> None:
        """Counts the end of a request at an endpoint."""
        state = self._states.get(endpoint_id)
        if state is None:
            return
        if state.running[run] > 1:
            state.running[run] -= 1
        else:
            del state.running[run]
        state.ended_since_report += 1

    def record_report(self, endpoint_id: str, running: int, now: float) -> None:
        """Records a load report; values out of range are ignored."""
        state = self._states.get(endpoint_id)
        if state is None or not 0 <= running <= MAX_REPORTED_RUNNING:
            return
        state.report = LoadReport(running, now)
        state.sent_since_report = 0
        state.ended_since_report = 0

    def record_loaded_model(
        self, endpoint_id: str, model: str, model_version: str
    ) -> None:
        """Records the model that an engine reports as loaded."""
        state = self._states.get(endpoint_id)
        if state is None or not model:
            return
        state.refused = None
        is_other = model != (state.held or (state.spec.model,))[0]
        state.held = (model, model_version)
        if is_other:
            self._index_by_model()

    def record_refusal(
        self, endpoint_id: str, model: str, model_version: str
    ) -> None:
        """Records, until its next report, that an engine refused a model."""
        state = self._states.get(endpoint_id)
        if state is not None:
            state.refused = (model, model_version)

    def record_prefix(self, endpoint_id: str, prefix: str, now: float) -> None:
        """Records that an endpoint's cache holds a prompt prefix."""
        state = self._states.get(endpoint_id)
        if state is None:
            return
        state.prefixes.pop(prefix, None)
        state.prefixes[prefix] = now
        if len(state.prefixes) > MAX_PREFIXES:
            state.prefixes.popitem(last=False)

    def _add_leaving(self, state: EndpointState, incarnation: str) -> None:
        """Records an incarnation that is leaving or has been replaced."""
        state.leaving[incarnation] = None
        if len(state.leaving) > MAX_LEAVING:
            state.leaving.popitem(last=False)
