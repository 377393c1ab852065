"""Serves plain services: `POST /v1/services/{service}/{operation}`.

Plain services are all services other than the model engines. A call to a
repeatable operation runs as a lookup, which may be sent more than once. Any
other call runs as a booking, which is sent at most once and requires an
idempotency key. Both terms refer only to whether the operation is repeatable,
not to what it does.
"""

import secrets
import typing

import trio

from sardinebend_policy import booking_messages as booking_msg
from sardinebend_policy import bookings
from sardinebend_policy import claims
from sardinebend_policy import lookups
from sardinebend_policy import outcomes
from sardinebend_router import auth
from sardinebend_router import booking
from sardinebend_router import calls
from sardinebend_router import errors
from sardinebend_router import gate
from sardinebend_router import logs
from sardinebend_router import lookup
from sardinebend_router import service_crashes
from sardinebend_router import services
from sardinebend_router import state as state_lib

KEY_HEADER: typing.Final = 'idempotency-key'
MAX_KEY_CHARS: typing.Final = 255
MAX_LOOKUP_ATTEMPTS: typing.Final = 4


class _OperationRequest(typing.NamedTuple):
    """A request for an operation, as the caller sent it."""

    customer: str
    kind: str
    repeatable: bool
    refusal_statuses: frozenset[int]
    deadline: float
    plan: booking.ServiceCall


class Operations:
    """HTTP API of the plain services at one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        client: services.ServiceClient,
        platform: booking.PlatformStores,
        query_claimant: booking.QueryClaimant,
        report_crashes: service_crashes.ReportCrashes,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._client = client
        self._platform = platform
        self._query_claimant = query_claimant
        self._crashes = service_crashes.ServiceCrashes(
            state, client, report_crashes
        )
        self._nursery = nursery

    async def serve(
        self, call: calls.Call, caller: auth.Caller, name: str, operation: str
    ) -> None:
        """Serves one call: reads it, runs it and replies with its outcome."""
        req = await self._read_request(call, caller.name, name, operation)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call.watch)
            outcome = await self._run(call, req)
            if not call.caller.disconnected.is_set():
                await call.reply_outcome(outcome)
            nursery.cancel_scope.cancel()

    async def _read_request(
        self, call: calls.Call, customer: str, name: str, operation: str
    ) -> _OperationRequest:
        state = self._state
        service = state.settings.tree.section('services').get(name)
        if service is None or operation not in service['operations']:
            raise errors.NotFound(
                f'unknown operation {name[:64]}/{operation[:64]}'
            )
        declared = service['operations'][operation]
        kind = f'{name}.{operation}'
        limit = int(
            state.get_number('request.max_body_bytes', customer, '', kind)
        )
        wait_s = state.get_number('request.body_wait_s', customer, '', kind)
        body = await call.read_body(limit, wait_s)
        repeatable = declared.get('repeatable', False)
        key = call.headers.get(KEY_HEADER, '')
        if not repeatable and not 1 <= len(key) <= MAX_KEY_CHARS:
            raise errors.KeyRequired(
                f'{kind} is not repeatable, so it requires the header '
                f'{KEY_HEADER} with 1 to {MAX_KEY_CHARS} characters'
            )
        limit_s = state.get_number('request.deadline_s', customer, '', kind)
        deadline = trio.current_time() + call.read_timeout_s(limit_s)
        content_type = call.headers.get('content-type', 'application/json')
        plan = booking.ServiceCall(
            name,
            services.Call(operation, content_type, body, key, call.request_id),
            state.get_number('endpoint.connect_s', customer, '', kind),
        )
        refusals = frozenset(declared.get('refusal_statuses', ()))
        return _OperationRequest(
            customer, kind, repeatable, refusals, deadline, plan
        )

    async def _run(
        self, call: calls.Call, req: _OperationRequest
    ) -> outcomes.Outcome:
        state = self._state
        customer = req.customer
        ticket = state.make_ticket(call.request_id, customer, req.deadline)
        start = trio.current_time()
        outcome: outcomes.Outcome | None = None
        try:
            async with state.service_gate.enter(
                ticket, call.caller.disconnected
            ) as refusal:
                if refusal is not None:
                    outcome = refusal
                elif req.repeatable:
                    outcome = await self._run_lookup(call, req)
                else:
                    outcome = await self._run_booking(call, req)
                return outcome
        finally:
            name = 'lookup' if req.repeatable else 'booking'
            kind = type(outcome).__name__
            state.metrics.count(f'{name}s', outcome=kind)
            elapsed_s = trio.current_time() - start
            state.metrics.record_time(name, elapsed_s)
            if outcome is None:
                logs.log_cut(call.request_id, customer, name, elapsed_s)

    async def _run_lookup(
        self, call: calls.Call, req: _OperationRequest
    ) -> outcomes.Outcome:
        state = self._state
        session = lookups.LookupSession(
            lookups.LookupRequest(
                req.customer, req.deadline, req.refusal_statuses
            ),
            MAX_LOOKUP_ATTEMPTS,
            (
                state.get_number('retry.backoff_base_s', req.customer),
                state.get_number('retry.backoff_cap_s', req.customer),
            ),
            state.drafts.budgets.get(req.customer),
            state.rng,
        )
        reply_s = state.get_number(
            'service.reply_s', req.customer, '', req.kind
        )
        session_runner = lookup.LookupSessionRunner(
            session,
            state,
            self._client,
            req.plan,
            reply_s,
            self._crashes,
            self._crashes.make_fingerprint(
                req.customer, req.kind, req.plan.call.body
            ),
        )
        scope = trio.CancelScope()
        call.caller.on_disconnect(scope.cancel)
        with self._track_in_flight(call, req, scope.cancel), scope:
            return await session_runner.run(req.deadline)
        if call.caller.disconnected.is_set():
            return session.give_up(outcomes.Reason.CALLER_LEFT)
        return session.give_up(
            outcomes.Reason.DRAINING, gate.DRAINING_RETRY_AFTER_S
        )

    async def _run_booking(
        self, call: calls.Call, req: _OperationRequest
    ) -> outcomes.Outcome:
        session_runner = self._make_booking_session_runner(call, req)
        call.caller.on_disconnect(
            lambda: session_runner.post(booking_msg.CallerLeft())
        )
        # The booking goes on after the HTTP request has ended: after the
        # reply, or after the caller has left, the outcome is still awaited
        # and recorded.
        self._nursery.start_soon(
            self._run_booking_session, call, req, session_runner
        )
        await session_runner.has_outcome.wait()
        return typing.cast(outcomes.Outcome, session_runner.outcome)

    async def _run_booking_session(
        self,
        call: calls.Call,
        req: _OperationRequest,
        session_runner: booking.BookingSessionRunner,
    ) -> None:
        def stop() -> None:
            session_runner.post(booking_msg.HostStopping())

        with self._track_in_flight(call, req, stop):
            await session_runner.run(booking_msg.Started())

    def _make_booking_session_runner(
        self, call: calls.Call, req: _OperationRequest
    ) -> booking.BookingSessionRunner:
        state = self._state
        service_call = req.plan.call
        booking_request = booking_msg.BookingRequest(
            call.request_id,
            req.customer,
            claims.make_row_key(req.customer, service_call.idempotency_key),
            claims.digest_body(req.kind, service_call.body),
            secrets.token_hex(12),
            req.deadline,
            req.refusal_statuses,
        )
        cfg = booking_msg.BookingConfig(
            state.own.host_id,
            state.incarnation,
            insert_wait_s=state.get_number('claim.insert_wait_s', req.customer),
            ask_interval_s=state.get_number(
                'claim.ask_interval_s', req.customer
            ),
            reply_wait_s=state.get_number(
                'service.reply_s', req.customer, '', req.kind
            ),
        )
        return booking.BookingSessionRunner(
            bookings.BookingSession(
                booking_request, cfg, state.fleet.is_usable
            ),
            state,
            self._client,
            self._platform,
            self._query_claimant,
            req.plan,
        )

    def _track_in_flight(
        self,
        call: calls.Call,
        req: _OperationRequest,
        force_end: typing.Callable[[], None],
    ) -> '_InFlightEntry':
        entry = state_lib.InFlight(
            call.request_id,
            req.customer,
            req.kind,
            call.caller.mark_disconnected,
            force_end,
        )
        return _InFlightEntry(self._state.in_flight, entry)


class _InFlightEntry:
    """Lists a request as in flight while the context is open."""

    def __init__(
        self,
        in_flight: dict[str, state_lib.InFlight],
        entry: state_lib.InFlight,
    ) -> None:
        self._in_flight = in_flight
        self._entry = entry

    def __enter__(self) -> None:
        self._in_flight[self._entry.request_id] = self._entry

    def __exit__(self, *exc_info: object) -> None:
        del self._in_flight[self._entry.request_id]
