"""Runs drafts at one host: admission, session, list of requests in flight."""

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_router import calls
from sardinebend_router import drafting
from sardinebend_router import engines
from sardinebend_router import state as state_lib


class DraftRunner:
    """Runs the drafts of one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        driver: engines.PipelineDriver,
        tell_crashes: drafting.TellCrashes,
    ) -> None:
        self._state = state
        self._driver = driver
        self._tell_crashes = tell_crashes

    async def run(
        self,
        caller: calls.CallerWatch,
        carrier: drafting.DraftCarrier,
        request: msg.DraftRequest,
        route: str,
    ) -> None:
        """Lets a draft wait for its turn and runs it to its typed end."""
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
            caller.note_left,
            lambda: carrier.post(msg.HostStopping()),
        )
        try:
            async with state.gate.enter(ticket, caller.left) as refusal:
                if refusal is not None:
                    carrier.answer.end(refusal)
                    return
                caller.on_left(lambda: carrier.post(msg.CallerLeft()))
                await carrier.run(msg.Started())
        finally:
            del state.in_flight[request.request_id]
            outcome = carrier.answer.outcome
            kind = type(outcome).__name__
            state.metrics.count('drafts', outcome=kind)
            elapsed_s = trio.current_time() - start
            state.metrics.record_time('draft', elapsed_s)

    def make_carrier(
        self, request: msg.DraftRequest, route: str
    ) -> drafting.DraftCarrier:
        """Returns what runs one draft."""
        state = self._state

        def number(key: str) -> float:
            return state.number(key, request.customer, route)

        cfg = msg.DraftConfig(
            int(number('draft.max_attempts')),
            number('draft.stall_floor_s'),
            number('draft.stall_ceiling_s'),
            number('draft.first_token_s'),
            number('draft.suspicion_wait_s'),
            number('retry.backoff_base_s'),
            number('retry.backoff_cap_s'),
            state.own.failure_domain,
        )
        session = drafts.DraftSession(request, cfg, state.drafts)
        timeouts_s = (number('endpoint.connect_s'), number('endpoint.probe_s'))
        return drafting.DraftCarrier(
            session, state, self._driver, self._tell_crashes, timeouts_s
        )
