"""Admits requests and dispatches them to streams or plain services."""

import trio

from sardinebend_gateway import admission
from sardinebend_gateway import calls
from sardinebend_gateway import crashes
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import first_rows
from sardinebend_gateway import plain
from sardinebend_gateway import ranked_lines
from sardinebend_gateway import request_reader
from sardinebend_gateway import responder
from sardinebend_gateway import state as state_lib
from sardinebend_gateway import streams


class Forwarder:
    """Serves the requests of all connections of a host."""

    def __init__(
        self,
        state: state_lib.State,
        engine_calls: calls.EngineCalls,
        crash_detector: crashes.CrashDetector,
    ) -> None:
        # A dictionary for its order, which a set lacks.
        self._open: dict[exchange_lib.Exchange, None] = {}
        self._ended = trio.Event()
        self._state = state
        self._calls = engine_calls
        self._crash_detector = crash_detector
        self._first_rows = first_rows.FirstRows(state)
        self._lines = ranked_lines.RankedLines(state)

    @property
    def open_requests(self) -> int:
        """Number of admitted requests that haven't ended."""
        return len(self._open)

    async def serve(
        self, req: request_reader.Request, out: responder.Responder
    ) -> None:
        """Serves one request."""
        codec = self._state.edges.requests
        try:
            facts = codec.decode_request(req.headers)
        except errors.BadRequest as exc:
            await out.answer(exc.status, [], b'')
            return
        out.log_fields['request'] = facts.request_id
        await self._first_rows.wait(facts.time_left_s)
        admitted = admission.admit(self._state, req, facts)
        if isinstance(admitted, admission.Admitted):
            admitted = admission.admit_while_stopping(self._state, admitted)
        if isinstance(admitted, admission.Admitted):
            admitted = admission.admit_under_load(
                self._state, admitted, self.open_requests
            )
        if isinstance(admitted, admission.Admitted):
            admitted = admission.admit_body(admitted, req)
        if isinstance(admitted, admission.Refusal):
            await self._refuse(facts, admitted, out)
            return
        exchange = exchange_lib.Exchange(
            self._state, req, admitted, out, self._crash_detector
        )
        quarantine_s = exchange.quarantine_left_s()
        if quarantine_s:
            refusal = admission.Refusal(
                503, exchange_lib.QUARANTINED, quarantine_s
            )
            await self._refuse(facts, refusal, out)
            return
        self._open[exchange] = None
        exchange.ending.start()
        try:
            await self._run(exchange)
            exchange.ending.record_return()
        except Exception as exc:
            exchange.ending.record_error(exc)
            raise
        finally:
            # Not by the type of the exception: a nursery of which several tasks
            # are cancelled raises a group of `Cancelled`.
            exchange.ending.close()
            del self._open[exchange]
            self._ended.set()
            self._ended = trio.Event()

    async def _run(self, exchange: exchange_lib.Exchange) -> None:
        admitted = exchange.admitted
        if admitted.route.is_stream or admitted.service.has_layers:
            handler = streams.StreamRequestHandler(
                exchange, self._calls, self._lines
            )
            await handler.run()
        else:
            await plain.PlainRequestHandler(exchange).run()
        if exchange.out.is_ended:
            await exchange.out.flush()

    def give_up_unanswered(self, cut_at: float) -> None:
        """Lets the host itself answer requests that would be cut off.

        Those whose answer has begun go on.

        Args:
            cut_at: When requests are cut off, by trio's clock.
        """
        for exchange in self._open:
            if not exchange.out.is_started and (
                exchange.admitted.ends_at >= cut_at
            ):
                exchange.attempts_scope.cancel()

    async def wait_idle(self) -> None:
        """Waits until no admitted request is in progress."""
        while self.open_requests:
            await self._ended.wait()

    async def _refuse(
        self,
        facts: edges_lib.RequestFacts,
        refusal: admission.Refusal,
        out: responder.Responder,
    ) -> None:
        self._state.audit.log(
            events.REQUEST_REFUSED,
            request=facts.request_id,
            status=refusal.status,
            reason=refusal.reason,
            evidence_age_s=round(self._state.catalog_age_s(), 3),
            recent_delay_s=round(self._state.host_clock.recent_delay_s(), 3),
        )
        self._state.metrics.count('requests', end=refusal.reason)
        headers = self._state.edges.requests.make_own_headers(facts.request_id)
        if refusal.retry_after_s is not None:
            headers.append(exchange_lib.make_retry_after(refusal.retry_after_s))
        await out.answer(refusal.status, headers, b'')
