"""Calls under which the endpoints of plain services end."""

import typing

import trio

from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import logs
from sardinebend_router import services
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors

# A listener on a live network answers within a few ms; silence proves nothing.
PROBE_TIMEOUT_S: typing.Final = 0.3

TellCrashes = typing.Callable[
    [tuple[quarantine.Crash, ...]], typing.Awaitable[None]
]


class ServiceCrashes:
    """Refuses calls that end endpoints, in the quarantine of drafts."""

    def __init__(
        self,
        state: state_lib.HostState,
        client: services.ServiceClient,
        tell_crashes: TellCrashes,
    ) -> None:
        self._state = state
        self._client = client
        self._tell_crashes = tell_crashes

    def make_fingerprint(self, customer: str, kind: str, body: bytes) -> str:
        """Returns what tells equal calls from others."""
        return quarantine.make_fingerprint(
            self._state.fingerprint_secret, customer, kind, body
        )

    def refuse(self, fingerprint: str) -> outcomes.NotRun | None:
        """Returns the refusal of a convicted call that hasn't been sent."""
        now = trio.current_time()
        held = self._state.drafts.quarantine
        until = held.refused_until(fingerprint, now)
        if until is None:
            return None
        return outcomes.NotRun(outcomes.Reason.QUARANTINED, until - now)

    def note_served(self, fingerprint: str) -> None:
        """Takes in that an endpoint answered a call."""
        now = trio.current_time()
        self._state.drafts.quarantine.clear(fingerprint, now)

    async def look_into(self, endpoint_id: str, run: quarantine.Run) -> None:
        """Takes in that a call got no answer; its endpoint may have ended."""
        try:
            opened = await self._client.connect(endpoint_id, PROBE_TIMEOUT_S)
        except platform_errors.ConnectFailed as exc:
            if exc.refused:
                await self._record(endpoint_id, run)
            return
        await opened.close()

    async def _record(self, endpoint_id: str, run: quarantine.Run) -> None:
        now = trio.current_time()
        self._state.fleet.mark_suspect(endpoint_id, now)
        endpoint = self._state.fleet.get(endpoint_id)
        running = frozenset(endpoint.running) if endpoint else frozenset()
        born = endpoint.incarnation if endpoint else ''
        crash = quarantine.Crash(f'{endpoint_id}/{born}', running | {run})
        convicted = self._state.drafts.quarantine.record_crash(crash, now)
        logs.get().warning(
            'endpoint ended under calls',
            extra={
                'endpoint': endpoint_id,
                'calls': len(crash.runs),
                'convicted': sorted(map(quarantine.shorten, convicted)),
            },
        )
        await self._tell_crashes((crash,))
