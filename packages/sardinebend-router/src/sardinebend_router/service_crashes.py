"""Quarantine of calls that crash the endpoints of plain services."""

import typing

import trio

from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import logs
from sardinebend_router import services
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors

# On a working network a listening process accepts a connection within a few ms.
# A time-out is no evidence of a crash; only a refused connection is.
PROBE_TIMEOUT_S: typing.Final = 0.3
# An ending process may close its streams before its listener, which then takes
# a connection or resets it as it opens. So an endpoint is checked more than
# once before it counts as live.
MAX_CHECKS: typing.Final = 3
CHECK_PAUSE_S: typing.Final = 0.02

ReportCrashes = typing.Callable[
    [tuple[quarantine.Crash, ...]], typing.Awaitable[None]
]


class ServiceCrashes:
    """Records the calls that crash endpoints and refuses to repeat them.

    Uses the same quarantine as drafts.
    """

    def __init__(
        self,
        state: state_lib.HostState,
        client: services.ServiceClient,
        report_crashes: ReportCrashes,
    ) -> None:
        self._state = state
        self._client = client
        self._report_crashes = report_crashes

    def make_fingerprint(self, customer: str, kind: str, body: bytes) -> str:
        """Returns a keyed hash that is the same for equal calls."""
        return quarantine.make_fingerprint(
            self._state.fingerprint_secret, customer, kind, body
        )

    def get_refusal(self, fingerprint: str) -> outcomes.NotRun | None:
        """Returns the refusal of a quarantined call, or `None`.

        Ask before the call is sent: the refusal says that it was not run.
        """
        now = trio.current_time()
        content_quarantine = self._state.drafts.quarantine
        refused_until = content_quarantine.refused_until(fingerprint, now)
        if refused_until is None:
            return None
        return outcomes.NotRun(outcomes.Reason.QUARANTINED, refused_until - now)

    def record_answer(self, fingerprint: str) -> None:
        """Records that an endpoint answered a call, which clears the call."""
        now = trio.current_time()
        self._state.drafts.quarantine.clear(fingerprint, now)

    async def check_endpoint(
        self, endpoint_id: str, run: quarantine.Run
    ) -> None:
        """Records a crash if an endpoint that did not answer has ended."""
        until = trio.current_time() + PROBE_TIMEOUT_S
        for _ in range(MAX_CHECKS):
            if await self._is_refused(endpoint_id):
                await self._record_crash(endpoint_id, run)
                return
            if trio.current_time() >= until:
                return
            await trio.sleep(CHECK_PAUSE_S)

    async def _is_refused(self, endpoint_id: str) -> bool:
        try:
            connection = await self._client.connect(
                endpoint_id, PROBE_TIMEOUT_S
            )
        except platform_errors.ConnectFailed as exc:
            return exc.refused
        await connection.close()
        return False

    async def _record_crash(
        self, endpoint_id: str, run: quarantine.Run
    ) -> None:
        now = trio.current_time()
        self._state.fleet.mark_unhealthy(endpoint_id, now)
        endpoint = self._state.fleet.get(endpoint_id)
        running = frozenset(endpoint.running) if endpoint else frozenset()
        incarnation = endpoint.incarnation if endpoint else ''
        crash = quarantine.Crash(
            f'{endpoint_id}/{incarnation}', running | {run}
        )
        quarantined = self._state.drafts.quarantine.record_crash(crash, now)
        logs.get().warning(
            'endpoint ended under calls',
            extra={
                'endpoint': endpoint_id,
                'calls': len(crash.runs),
                'convicted': sorted(
                    map(quarantine.abbreviate_fingerprint, quarantined)
                ),
            },
        )
        await self._report_crashes((crash,))
