"""Detects crashed endpoints and the requests that they were running."""

import collections
import enum
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import shared_part_evidence
from sardinebend_gateway import shared_quarantine
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import quarantine
from sardinebend_policy import suspects as suspects_lib
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

# On a working network a listener answers within a few ms. A time-out doesn't
# show that the endpoint has crashed.
PROBE_TIMEOUT_S: typing.Final = 0.3
# Time for which a result is reused, so that attempts that fail together cause
# one probe.
PROBE_REUSE_S: typing.Final = 0.15
CLEANUP_INTERVAL_S: typing.Final = 2.0
MAX_LOGGED_NAMES: typing.Final = 8


class ProbeResult(enum.Enum):
    """Result of an attempt to connect to an endpoint.

    Attributes:
        LISTENS: Its process runs, whatever it does with requests.
        RESET: Its machine has accepted the connection and then ended it.
        REFUSED: Its machine refuses the connection: no process listens.
        UNREACHABLE: No answer; the machine or the network path to it is down.
        UNKNOWN: No answer, but this host was held up meanwhile, or so many
            endpoints are silent that its own link is the likely cause.
    """

    LISTENS = 'listens'
    RESET = 'reset'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    UNKNOWN = 'unknown'

    @property
    def shows_failure(self) -> bool:
        """Whether the endpoint, or perhaps the path to it, has failed."""
        return self in (ProbeResult.REFUSED, ProbeResult.UNREACHABLE)


class Exposure:
    """Endpoints that a request reaches and may therefore crash.

    An attempt has one exposure for the endpoints of its path, and one more for
    the endpoints that each repair of its path adds.
    """

    def __init__(
        self,
        state: state_lib.State,
        run: quarantine.Run,
        shared_parts: tuple[str, ...],
    ) -> None:
        """Creates an exposure to no endpoint.

        Args:
            state: The state of the host.
            run: The attempt.
            shared_parts: Fingerprints of the parts of its prompt that other
                requests may share.
        """
        self._state = state
        self._run = run
        self._shared_parts = shared_parts
        self._reached: set[suspects_lib.Incarnation] = set()

    def add(self, endpoints: typing.Iterable[endpoints_lib.Endpoint]) -> None:
        """Records that the request is about to reach endpoints."""
        found = {endpoint.incarnation for endpoint in endpoints}
        self._state.suspects.begin(self._run, found, self._shared_parts)
        self._reached |= found

    def clear(
        self, except_for: typing.Iterable[endpoints_lib.Endpoint] = ()
    ) -> None:
        """Records that the endpoints run the request without a crash.

        Args:
            except_for: The endpoints for which this isn't known.
        """
        if not self._reached:
            return
        uncleared = {endpoint.incarnation for endpoint in except_for}
        self._state.suspects.clear(self._run, self._reached - uncleared)
        self._reached &= uncleared

    def close(self) -> None:
        """Records that the endpoints no longer run the request."""
        self._state.suspects.end(self._run, self._reached, clocks.now())
        self._reached = set()


class CrashDetector:
    """Distinguishes crashed endpoints from broken connections for one host."""

    def __init__(
        self,
        state: state_lib.State,
        shared: shared_quarantine.SharedQuarantine,
        shared_evidence: shared_part_evidence.SharedPartEvidence,
    ) -> None:
        self._state = state
        self._shared = shared
        self._shared_evidence = shared_evidence
        self._probes: dict[str, tuple[float, ProbeResult]] = {}
        self._in_progress: dict[str, trio.Event] = {}

    async def run(self) -> None:
        """Drops outdated suspects and probe results; runs until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            now = clocks.now()
            self._state.suspects.drop_expired(now)
            self._probes = {
                address: probe
                for address, probe in self._probes.items()
                if now - probe[0] < PROBE_REUSE_S
            }

    async def probe(self, endpoint: endpoints_lib.Endpoint) -> ProbeResult:
        """Connects to an endpoint and records what that shows.

        A recent result is reused. An endpoint that doesn't accept a connection
        is recorded as unreachable; one that refuses it also as crashed.

        Only a refused connection shows a crash. A connection that is reset may
        have failed on the way, and a time-out may be caused by the network.
        """
        outcome = await self._probe_cached(endpoint)
        if outcome is ProbeResult.REFUSED:
            if not self._state.endpoints.is_unhealthy(endpoint, clocks.now()):
                self._state.mark_unhealthy(
                    endpoint, 'nothing listens', has_failed=True
                )
            self.record_crash(endpoint, 'nothing listens')
        self._record_unreachable(endpoint, outcome)
        return outcome

    async def has_ended(
        self, endpoint: endpoints_lib.Endpoint, wait_s: float
    ) -> bool:
        """Returns whether an endpoint's process has ended.

        Earlier results aren't used, as it may have ended since. The kernel of
        an ending process closes its listening socket last and then resets the
        connections that wait there, as a busy endpoint may do, too.

        Args:
            endpoint: The endpoint.
            wait_s: How long to wait for such a reset.
        """
        outcome = await self._probe_new(endpoint, wait_s)
        if outcome is ProbeResult.RESET:
            outcome = await self._probe_new(endpoint)
        self._probes[endpoint.address] = (clocks.now(), outcome)
        return outcome is ProbeResult.REFUSED

    def _record_unreachable(
        self, endpoint: endpoints_lib.Endpoint, outcome: ProbeResult
    ) -> None:
        if outcome.shows_failure:
            self._state.record_unreachable(
                endpoint, is_silent=outcome is ProbeResult.UNREACHABLE
            )

    def record_failure_to_connect(
        self,
        endpoint: endpoints_lib.Endpoint,
        exc: store_errors.ConnectFailed,
        since: float,
    ) -> ProbeResult:
        """Records what another call shows that couldn't connect.

        Args:
            endpoint: The endpoint.
            exc: The failure.
            since: When the attempt to connect began, by `trio.current_time`.
        """
        outcome = self._classify(endpoint, exc, since)
        self.record_probe(endpoint, outcome)
        return outcome

    def record_probe(
        self, endpoint: endpoints_lib.Endpoint, outcome: ProbeResult
    ) -> None:
        """Records what another call to an endpoint has shown."""
        if outcome is ProbeResult.UNKNOWN:
            return
        self._probes[endpoint.address] = (clocks.now(), outcome)
        self._record_unreachable(endpoint, outcome)

    def record_crash(
        self,
        endpoint: endpoints_lib.Endpoint,
        evidence: str,
        only_finished_attempts: bool = False,
    ) -> None:
        """Records that an endpoint has crashed.

        Args:
            endpoint: The endpoint.
            evidence: How this is known, for the log.
            only_finished_attempts: Whether only attempts that are over are
                suspects, not those that still run.
        """
        crash = self._state.suspects.record_crash(
            endpoint.incarnation, clocks.now(), only_finished_attempts
        )
        if crash is None:
            return
        self._state.metrics.count('endpoints_ended_under_requests')
        self._state.audit.log(
            events.ENDPOINT_CRASHED,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born,
            evidence=evidence,
            requests=len(crash.runs),
            contents=_shorten(run.fingerprint for run in crash.runs),
            prompt_parts=_shorten(use.part for use in crash.part_uses),
        )
        # First, since a part that is known to crash explains the crash.
        self._shared_evidence.record_crash(crash)
        self._shared.record(crash)

    def record_served(self, parts: typing.Iterable[str]) -> None:
        """Records parts of a prompt that endpoints ran without a crash.

        Args:
            parts: Their fingerprints.
        """
        self._shared_evidence.record_served(parts)

    def record_delisted(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Records that an endpoint is no longer listed.

        It may have left without an announcement and still finish its requests,
        so only attempts that are over without an answer indicate a crash.
        """
        self.record_crash(
            endpoint, 'no longer listed', only_finished_attempts=True
        )

    async def _probe_cached(
        self, endpoint: endpoints_lib.Endpoint
    ) -> ProbeResult:
        address = endpoint.address
        while address in self._in_progress:
            await self._in_progress[address].wait()
        at, outcome = self._probes.get(
            address, (state_lib.NEVER, ProbeResult.LISTENS)
        )
        if clocks.now() - at < PROBE_REUSE_S:
            return outcome
        self._in_progress[address] = trio.Event()
        try:
            outcome = await self._probe_new(endpoint)
            self._probes[address] = (clocks.now(), outcome)
        finally:
            self._in_progress.pop(address).set()
        return outcome

    async def _probe_new(
        self, endpoint: endpoints_lib.Endpoint, wait_s: float = 0.0
    ) -> ProbeResult:
        """Returns the result of a new connection to an endpoint.

        Args:
            endpoint: The endpoint.
            wait_s: How long to wait for the end of the connection.
        """
        clock = self._state.host_clock
        origin = connections.Origin(
            f'http://{endpoint.address}', fail_after=clock.fail_after
        )
        started_at, began_at = trio.current_time(), clocks.now()
        try:
            conn = await origin.connect(PROBE_TIMEOUT_S)
        except store_errors.ConnectFailed as exc:
            return self._classify(endpoint, exc, started_at)
        self._state.silences.record_success(began_at)
        is_reset = wait_s > 0 and await conn.ends_within(wait_s)
        await conn.close()
        return ProbeResult.RESET if is_reset else ProbeResult.LISTENS

    def _classify(
        self,
        endpoint: endpoints_lib.Endpoint,
        exc: store_errors.ConnectFailed,
        since: float,
    ) -> ProbeResult:
        """Returns what a failure to connect shows."""
        if exc.refused:
            return ProbeResult.REFUSED
        if not self._state.host_clock.was_on_time_since(since):
            return ProbeResult.UNKNOWN
        now = clocks.now()
        began_at = now - (trio.current_time() - since)
        self._state.silences.record(endpoint.endpoint_id, began_at, now)
        if self._state.silences.is_own_fault_likely(now):
            return ProbeResult.UNKNOWN
        return ProbeResult.UNREACHABLE


def _shorten(names: typing.Iterable[str]) -> list[str]:
    """Returns the most frequent names first, abbreviated."""
    counts = collections.Counter(
        quarantine.abbreviate_fingerprint(name) for name in sorted(names)
    )
    return [name for name, _ in counts.most_common(MAX_LOGGED_NAMES)]
