"""Runs lookups.

A lookup is any repeatable call to a plain service, which is a service other
than a model engine. After a failure it may be sent to another endpoint.
"""

import trio

from sardinebend_policy import lookups
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import booking
from sardinebend_router import service_crashes
from sardinebend_router import services
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors


class LookupSessionRunner:
    """Runs one lookup's session: tries endpoints until one answers."""

    def __init__(
        self,
        session: lookups.LookupSession,
        state: state_lib.HostState,
        client: services.ServiceClient,
        plan: booking.ServiceCall,
        reply_s: float,
        crashes: service_crashes.ServiceCrashes,
        fingerprint: str,
    ) -> None:
        self._session = session
        self._state = state
        self._client = client
        self._plan = plan
        self._reply_s = reply_s
        self._crashes = crashes
        self._fingerprint = fingerprint
        self._sent_count = 0

    async def run(self, deadline: float) -> outcomes.Outcome:
        """Tries endpoints until there is an outcome or the deadline passes."""
        with trio.move_on_at(deadline):
            return await self._try_endpoints()
        return self._session.give_up(outcomes.Reason.DEADLINE)

    async def _try_endpoints(self) -> outcomes.Outcome:
        step: outcomes.Outcome | lookups.Backoff = lookups.Backoff(
            0, frozenset()
        )
        while isinstance(step, lookups.Backoff):
            await trio.sleep(step.backoff_s)
            refusal = self._crashes.get_refusal(self._fingerprint)
            if refusal is not None:
                return self._session.give_up(
                    refusal.reason, refusal.retry_after_s
                )
            endpoint_id = services.choose_endpoint(
                self._state.fleet, self._plan.service, step.avoid
            )
            if endpoint_id is None:
                return self._session.on_no_endpoint()
            step = await self._try_endpoint(endpoint_id)
        return step

    async def _try_endpoint(
        self, endpoint_id: str
    ) -> outcomes.Outcome | lookups.Backoff:
        fleet = self._state.fleet
        try:
            connection = await self._client.connect(
                endpoint_id, self._plan.connect_s
            )
        except platform_errors.ConnectFailed:
            now = trio.current_time()
            fleet.mark_unhealthy(endpoint_id, now)
            return self._session.on_connect_failed(endpoint_id, now)
        self._sent_count += 1
        run_id = f'{self._plan.call.request_id}/{self._sent_count}'
        run = quarantine.Run(self._fingerprint, run_id)
        fleet.begin(endpoint_id, run)
        self._session.record_send()
        try:
            with self._state.host_clock.fail_after(self._reply_s):
                reply = await connection.send(self._plan.call)
        except (platform_errors.PlatformError, trio.TooSlowError):
            await self._crashes.check_endpoint(endpoint_id, run)
            now = trio.current_time()
            return self._session.on_reply_lost(endpoint_id, now)
        finally:
            fleet.finish(endpoint_id, run)
            await connection.close()
        self._crashes.record_answer(self._fingerprint)
        content_type = reply.headers.get('content-type', '')
        answer = outcomes.Answered(0, reply.status, content_type, reply.body)
        return self._session.on_reply(endpoint_id, answer, trio.current_time())
