"""Runs drafts at one host: admission, session, list of requests in flight."""

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_router import calls
from sardinebend_router import drafting
from sardinebend_router import engines
from sardinebend_router import logs
from sardinebend_router import state as state_lib


class DraftRunner:
    """Admits and runs the drafts of one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        driver: engines.PipelineDriver,
        report_crashes: drafting.ReportCrashes,
    ) -> None:
        self._state = state
        self._driver = driver
        self._report_crashes = report_crashes

    async def run(
        self,
        caller: calls.CallerPresence,
        session_runner: drafting.DraftSessionRunner,
        request: msg.DraftRequest,
        route: str,
    ) -> None:
        """Waits for admission, then runs a draft to its typed outcome."""
        state = self._state
        customer = request.customer
        ticket = state.make_ticket(
            request.request_id, customer, request.deadline
        )
        start = trio.current_time()
        state.in_flight[request.request_id] = state_lib.InFlight(
            request.request_id,
            customer,
            f'draft/{route}',
            caller.mark_disconnected,
            lambda: session_runner.post(msg.HostStopping()),
        )
        try:
            async with state.gate.enter(ticket, caller.disconnected) as refusal:
                if refusal is not None:
                    session_runner.answer.end(refusal)
                    return
                caller.on_disconnect(
                    lambda: session_runner.post(msg.CallerLeft())
                )
                await session_runner.run(msg.Started())
        finally:
            del state.in_flight[request.request_id]
            outcome = session_runner.answer.outcome
            kind = type(outcome).__name__
            state.metrics.count('drafts', outcome=kind)
            elapsed_s = trio.current_time() - start
            state.metrics.record_time('draft', elapsed_s)
            if outcome is None:
                logs.log_cut(request.request_id, customer, 'draft', elapsed_s)

    def make_session_runner(
        self, request: msg.DraftRequest, route: str
    ) -> drafting.DraftSessionRunner:
        """Returns a new session runner with the settings for a draft."""
        state = self._state

        def get_number(key: str) -> float:
            return state.get_number(key, request.customer, route)

        cfg = msg.DraftConfig(
            int(get_number('draft.max_attempts')),
            get_number('draft.stall_floor_s'),
            get_number('draft.stall_ceiling_s'),
            get_number('draft.first_token_s'),
            get_number('draft.suspicion_wait_s'),
            get_number('retry.backoff_base_s'),
            get_number('retry.backoff_cap_s'),
            state.own.failure_domain,
        )
        session = drafts.DraftSession(request, cfg, state.drafts)
        timeouts_s = (
            get_number('endpoint.connect_s'),
            get_number('endpoint.probe_s'),
        )
        return drafting.DraftSessionRunner(
            session, state, self._driver, self._report_crashes, timeouts_s
        )
