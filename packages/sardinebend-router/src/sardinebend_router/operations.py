"""Serves plain services: `POST /v1/services/{service}/{operation}`."""

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
from sardinebend_router import lookup
from sardinebend_router import service_crashes
from sardinebend_router import services
from sardinebend_router import state as state_lib

KEY_HEADER: typing.Final = 'idempotency-key'
MAX_KEY_CHARS: typing.Final = 255
MAX_LOOKUP_ATTEMPTS: typing.Final = 4


class _Ask(typing.NamedTuple):
    """A call to an operation, as the caller made it."""

    customer: str
    kind: str
    repeatable: bool
    refusal_statuses: frozenset[int]
    deadline: float
    plan: booking.Plan


class Operations:
    """Serves the plain services of one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        client: services.ServiceClient,
        platform: booking.Platform,
        ask_claimant: booking.AskClaimant,
        tell_crashes: service_crashes.TellCrashes,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._client = client
        self._platform = platform
        self._ask_claimant = ask_claimant
        self._crashes = service_crashes.ServiceCrashes(
            state, client, tell_crashes
        )
        self._nursery = nursery

    async def serve(
        self, call: calls.Call, caller: auth.Caller, name: str, operation: str
    ) -> None:
        """Serves one call from its request to its typed end."""
        ask = await self._read(call, caller.name, name, operation)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call.watch)
            outcome = await self._run(call, ask)
            if not call.caller.left.is_set():
                await call.reply_outcome(outcome)
            nursery.cancel_scope.cancel()

    async def _read(
        self, call: calls.Call, customer: str, name: str, operation: str
    ) -> _Ask:
        state = self._state
        service = state.settings.tree.section('services').get(name)
        if service is None or operation not in service['operations']:
            raise errors.NotFound(f'no operation {name[:64]}/{operation[:64]}')
        declared = service['operations'][operation]
        kind = f'{name}.{operation}'
        limit = int(state.number('request.max_body_bytes', customer, '', kind))
        wait_s = state.number('request.body_wait_s', customer, '', kind)
        body = await call.read_body(limit, wait_s)
        repeatable = declared.get('repeatable', False)
        key = call.headers.get(KEY_HEADER, '')
        if not repeatable and not 1 <= len(key) <= MAX_KEY_CHARS:
            raise errors.KeyRequired(
                f'{kind} must not be repeated; send {KEY_HEADER} with 1 to '
                f'{MAX_KEY_CHARS} characters'
            )
        limit_s = state.number('request.deadline_s', customer, '', kind)
        deadline = trio.current_time() + call.read_timeout_s(limit_s)
        content_type = call.headers.get('content-type', 'application/json')
        plan = booking.Plan(
            name,
            services.Call(operation, content_type, body, key, call.request_id),
            state.number('endpoint.connect_s', customer, '', kind),
        )
        refusals = frozenset(declared.get('refusal_statuses', ()))
        return _Ask(customer, kind, repeatable, refusals, deadline, plan)

    async def _run(self, call: calls.Call, ask: _Ask) -> outcomes.Outcome:
        state = self._state
        customer = ask.customer
        ticket = state.make_ticket(call.request_id, customer, ask.deadline)
        start = trio.current_time()
        outcome: outcomes.Outcome | None = None
        try:
            async with state.service_gate.enter(
                ticket, call.caller.left
            ) as refusal:
                if refusal is not None:
                    outcome = refusal
                elif ask.repeatable:
                    outcome = await self._run_lookup(call, ask)
                else:
                    outcome = await self._run_booking(call, ask)
                return outcome
        finally:
            name = 'lookups' if ask.repeatable else 'bookings'
            kind = type(outcome).__name__
            state.metrics.count(name, outcome=kind)
            elapsed_s = trio.current_time() - start
            state.metrics.record_time(name.removesuffix('s'), elapsed_s)

    async def _run_lookup(
        self, call: calls.Call, ask: _Ask
    ) -> outcomes.Outcome:
        state = self._state
        session = lookups.LookupSession(
            lookups.LookupRequest(
                ask.customer, ask.deadline, ask.refusal_statuses
            ),
            MAX_LOOKUP_ATTEMPTS,
            (
                state.number('retry.backoff_base_s', ask.customer),
                state.number('retry.backoff_cap_s', ask.customer),
            ),
            state.drafts.budgets.get(ask.customer),
            state.rng,
        )
        reply_s = state.number('service.reply_s', ask.customer, '', ask.kind)
        carrier = lookup.LookupCarrier(
            session,
            state,
            self._client,
            ask.plan,
            reply_s,
            self._crashes,
            self._crashes.make_fingerprint(
                ask.customer, ask.kind, ask.plan.call.body
            ),
        )
        scope = trio.CancelScope()
        call.caller.on_left(scope.cancel)
        with self._listed(call, ask, scope.cancel), scope:
            return await carrier.run(ask.deadline)
        return session.give_up(outcomes.Reason.CALLER_LEFT)

    async def _run_booking(
        self, call: calls.Call, ask: _Ask
    ) -> outcomes.Outcome:
        carrier = self._make_booking(call, ask)
        call.caller.on_left(lambda: carrier.post(booking_msg.CallerLeft()))
        # The session outlives the exchange: after the caller is told, or has
        # left, the outcome is still awaited and recorded.
        self._nursery.start_soon(self._keep_booking, call, ask, carrier)
        await carrier.told.wait()
        return typing.cast(outcomes.Outcome, carrier.outcome)

    async def _keep_booking(
        self, call: calls.Call, ask: _Ask, carrier: booking.BookingCarrier
    ) -> None:
        def stop() -> None:
            carrier.post(booking_msg.HostStopping())

        with self._listed(call, ask, stop):
            await carrier.run(booking_msg.Started())

    def _make_booking(
        self, call: calls.Call, ask: _Ask
    ) -> booking.BookingCarrier:
        state = self._state
        asked = ask.plan.call
        request = booking_msg.BookingRequest(
            call.request_id,
            ask.customer,
            claims.make_row_key(ask.customer, asked.idempotency_key),
            claims.digest_body(ask.kind, asked.body),
            secrets.token_hex(12),
            ask.deadline,
            ask.refusal_statuses,
        )
        cfg = booking_msg.BookingConfig(
            state.own.host_id,
            state.incarnation,
            insert_wait_s=state.number('claim.insert_wait_s', ask.customer),
            ask_interval_s=state.number('claim.ask_interval_s', ask.customer),
            reply_wait_s=state.number(
                'service.reply_s', ask.customer, '', ask.kind
            ),
        )
        return booking.BookingCarrier(
            bookings.BookingSession(request, cfg, state.fleet.is_usable),
            state,
            self._client,
            self._platform,
            self._ask_claimant,
            ask.plan,
        )

    def _listed(
        self,
        call: calls.Call,
        ask: _Ask,
        force_end: typing.Callable[[], None],
    ) -> '_Listing':
        entry = state_lib.InFlight(
            call.request_id,
            ask.customer,
            ask.kind,
            call.caller.note_left,
            force_end,
        )
        return _Listing(self._state.in_flight, entry)


class _Listing:
    """Keeps a request in the list of those in flight."""

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
