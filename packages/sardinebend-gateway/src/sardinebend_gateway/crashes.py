"""Finds out whether an endpoint has ended, and under which requests."""

import enum
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import shared_quarantine
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import quarantine
from sardinebend_policy import suspects as suspects_lib
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

# A listener on a live network answers within a few ms; silence proves nothing.
PROBE_TIMEOUT_S: typing.Final = 0.3
# Attempts that break off together ask once.
PROBE_LIFE_S: typing.Final = 0.15
ROUND_S: typing.Final = 2.0
# Contents that a log line names.
MAX_SHOWN: typing.Final = 8


class Life(enum.Enum):
    """What a try to connect shows of an endpoint.

    Attributes:
        LISTENS: Its process lives, whatever it does with requests.
        ENDED: Its machine answers that nothing listens.
        SILENT: It or the way to it is gone.
    """

    LISTENS = 'listens'
    ENDED = 'ended'
    SILENT = 'silent'

    @classmethod
    def from_failure(cls, exc: store_errors.ConnectFailed) -> 'Life':
        """Returns what a failure to connect shows."""
        return cls.ENDED if exc.refused else cls.SILENT


class Exposure:
    """One run of a request, and the endpoints that it may harm."""

    def __init__(self, state: state_lib.State, run: quarantine.Run) -> None:
        self._state = state
        self._run = run
        self._reached: set[suspects_lib.Incarnation] = set()

    def reach(self, endpoints: typing.Iterable[endpoints_lib.Endpoint]) -> None:
        """Notes that the request is about to reach endpoints."""
        found = {endpoint.incarnation for endpoint in endpoints}
        self._state.suspects.begin(self._run, found)
        self._reached |= found

    def prove(
        self, besides: typing.Iterable[endpoints_lib.Endpoint] = ()
    ) -> None:
        """Notes that the endpoints run the request without harm.

        Args:
            besides: Those of which this isn't known.
        """
        if not self._reached:
            return
        unproven = {endpoint.incarnation for endpoint in besides}
        self._state.suspects.prove(self._run, self._reached - unproven)
        self._reached &= unproven

    def close(self) -> None:
        """Notes that the run is over."""
        self._state.suspects.end(self._run, self._reached, clocks.now())
        self._reached = set()


class CrashWatch:
    """Tells ended endpoints from broken connections, for one host."""

    def __init__(
        self,
        state: state_lib.State,
        shared: shared_quarantine.SharedQuarantine,
    ) -> None:
        self._state = state
        self._shared = shared
        self._probes: dict[str, tuple[float, Life]] = {}
        self._asking: dict[str, trio.Event] = {}

    async def run(self) -> None:
        """Forgets what is settled; runs until cancelled."""
        while True:
            await trio.sleep(ROUND_S)
            now = clocks.now()
            self._state.suspects.forget_old(now)
            self._probes = {
                address: probe
                for address, probe in self._probes.items()
                if now - probe[0] < PROBE_LIFE_S
            }

    async def look_into(self, endpoint: endpoints_lib.Endpoint) -> Life:
        """Returns whether an endpoint has ended, by asking for a connection.

        Only a refused connection shows a crash; one that is reset may have
        been lost on the way, and silence may be the network's.
        """
        life = await self._ask(endpoint.address)
        if life is Life.ENDED:
            if not self._state.endpoints.is_doubted(endpoint, clocks.now()):
                self._state.doubt(endpoint, 'nothing listens', is_dead=True)
            self.record(endpoint, 'nothing listens')
        if life is not Life.LISTENS:
            self._state.note_unreachable(endpoint)
        return life

    def note(self, endpoint: endpoints_lib.Endpoint, life: Life) -> None:
        """Takes in what another call to an endpoint has shown."""
        self._probes[endpoint.address] = (clocks.now(), life)
        if life is not Life.LISTENS:
            self._state.note_unreachable(endpoint)

    def record(
        self,
        endpoint: endpoints_lib.Endpoint,
        evidence: str,
        ended_only: bool = False,
    ) -> None:
        """Takes in that an endpoint has ended.

        Args:
            endpoint: The endpoint.
            evidence: How this is known, for the log.
            ended_only: Whether attempts that still run are no suspects.
        """
        crash = self._state.suspects.record_crash(
            endpoint.incarnation, clocks.now(), ended_only
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
            contents=_shorten(crash.runs),
        )
        self._shared.record(crash)

    def record_lapse(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Takes in that the listing of an endpoint is gone.

        It may have left without a word and still finish what it has, so only
        attempts that have ended unanswered speak of a crash.
        """
        self.record(endpoint, 'no longer listed', ended_only=True)

    async def _ask(self, address: str) -> Life:
        while address in self._asking:
            await self._asking[address].wait()
        at, life = self._probes.get(address, (state_lib.NEVER, Life.LISTENS))
        if clocks.now() - at < PROBE_LIFE_S:
            return life
        self._asking[address] = trio.Event()
        try:
            life = await _probe(address)
            self._probes[address] = (clocks.now(), life)
        finally:
            self._asking.pop(address).set()
        return life


async def _probe(address: str) -> Life:
    """Returns what a new connection to an address shows."""
    origin = connections.Origin(f'http://{address}')
    try:
        conn = await origin.connect(PROBE_TIMEOUT_S)
    except store_errors.ConnectFailed as exc:
        return Life.from_failure(exc)
    await conn.close()
    return Life.LISTENS


def _shorten(runs: typing.Iterable[quarantine.Run]) -> list[str]:
    found = sorted({quarantine.shorten(run.fingerprint) for run in runs})
    return found[:MAX_SHOWN]
