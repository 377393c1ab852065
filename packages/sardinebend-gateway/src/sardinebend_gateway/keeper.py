"""Gives engines their layers, on whichever host holds the lease.

Every order names the number of orders that the engine has begun. So an order
that is carried out late, or given by a host that only thinks it holds the
lease, is refused or repeats what holds already.
"""

import typing

import result
import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import lease as lease_lib
from sardinebend_policy import placement
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

LEASE_S: typing.Final = 4.0
# Two renewals fit into a lease, so that one lost answer doesn't end it.
RENEW_S: typing.Final = 1.5
ROUND_S: typing.Final = 0.25
# A host that has just started doesn't know yet who else is there to try.
FIRST_TRY_S: typing.Final = 1.5
# Range of the time for which a host that doesn't read the store leaves a free
# lease to those that do; each host draws its own.
LATE_TRY_S: typing.Final = (2.0, 6.0)
# Time for the first listings to gather, so that the plan of an empty fleet
# sees all of it.
SETTLE_S: typing.Final = 1.0
# An order without an answer may be carried out seconds later; its effect is
# awaited this long before the engine gets another.
UNANSWERED_S: typing.Final = 3.0
# Moves count as done when ordered, so that the next sees the gap that's left.
MOVE_EVERY_S: typing.Final = 0.5
# Listings show the effect of an order after a heartbeat.
SHOWN_S: typing.Final = 2.5


class _Ordered(typing.NamedTuple):
    """The last order to an engine."""

    span: endpoints_lib.Span
    at: float
    until: float


class Keeper:
    """Takes the lease when it is free and gives orders while it holds it."""

    def __init__(
        self,
        state: state_lib.State,
        engine_calls: calls_lib.EngineCalls,
        incarnation: str,
    ) -> None:
        self._state = state
        self._calls = engine_calls
        self._lease = lease_lib.Lease(incarnation, LEASE_S)
        self._version = 0
        self._was_held = False
        self._started_at = clocks.now()
        self._ordered: dict[tuple[str, int], _Ordered] = {}
        self._last_new_at = clocks.now()
        self._known: set[str] = set()
        self._move_after = float('-inf')
        self._free_since: float | None = None
        self._late_try_s = state.rng.uniform(*LATE_TRY_S)

    @property
    def holds_lease(self) -> bool:
        """Whether this host gives orders."""
        return self._lease.is_held(clocks.now())

    def take_row(self, row: feeds.FeedRow) -> None:
        """Takes in the lease's row."""
        value = None
        if row.value is not None:
            try:
                value = shared_table.decode_lease(row.value)
            except errors.Malformed as exc:
                self._state.audit.log(
                    events.ENTRY_SKIPPED,
                    table=shared_table.TABLE,
                    key=row.key,
                    reason=str(exc),
                )
        self._version = row.version if row.value is not None else 0
        self._lease.see(value, self._version, clocks.now())

    def take_absence(self) -> None:
        """Takes in that the table was read and holds no lease."""
        if not self._version:
            self._lease.see(None, 0, clocks.now())

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            nursery.start_soon(self._give_orders, nursery)

    async def _keep_lease(self) -> None:
        while True:
            if self._may_try():
                await self._try_lease()
            held = self.holds_lease
            if self._was_held and not held:
                self._state.audit.log(events.LEASE_LOST, reason='not renewed')
            self._was_held = held
            await trio.sleep(RENEW_S if held else ROUND_S)

    def _may_try(self) -> bool:
        """Tells whether this host may take or renew the lease.

        Only the hosts that read the store do at first, so that a free lease
        isn't written to by all hosts at once. They may all be cut off from the
        store, so others follow, one after another.
        """
        if self._state.is_stopping:
            return False
        if self.holds_lease:
            return True
        now = clocks.now()
        if now - self._started_at < FIRST_TRY_S:
            return False
        if self._lease.next_attempt(now) is None:
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        if self._state.role.reader is None:
            return True
        return now - self._free_since > self._late_try_s

    async def _try_lease(self) -> None:
        attempt = self._lease.next_attempt(clocks.now())
        if attempt is None:
            return
        sent_at = clocks.now()
        answer = await self._state.edges.store.write(
            shared_table.TABLE,
            shared_table.LEASE_KEY,
            attempt.expected_version,
            shared_table.encode(attempt.row),
        )
        if isinstance(answer, result.Ok):
            if not self._was_held:
                self._state.audit.log(
                    events.LEASE_TAKEN, fencing=attempt.row['fencing']
                )
            self._version = answer.ok_value
            self._lease.confirm(attempt, sent_at)
            self._lease.see(attempt.row, self._version, sent_at)
        elif isinstance(answer.err_value, store_errors.Conflict):
            row = answer.err_value.rows.get(shared_table.LEASE_KEY)
            if row is not None:
                self.take_row(row)

    async def _give_orders(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(ROUND_S)
            catalog = self._state.catalog
            if not self.holds_lease or catalog is None:
                continue
            for service in catalog.services.values():
                if service.has_layers:
                    self._order_service(service, nursery)

    def _order_service(
        self, service: catalog_lib.Service, nursery: trio.Nursery
    ) -> None:
        engines = self._state.endpoints.all_of(service.name)
        engines = [e for e in engines if not e.is_draining]
        now = clocks.now()
        names = {e.endpoint_id for e in engines}
        if not names <= self._known:
            self._known |= names
            self._last_new_at = now
        is_empty = not any(e.span for e in engines)
        if is_empty and now - self._last_new_at < SETTLE_S:
            return
        plan = self._plan(service, engines, now)
        for endpoint in engines:
            span = plan.get(endpoint.endpoint_id)
            if span is not None and self._may_order(endpoint, now):
                self._ordered[endpoint.incarnation] = _Ordered(
                    span, now, now + UNANSWERED_S
                )
                nursery.start_soon(self._order, endpoint, span)

    def _plan(
        self,
        service: catalog_lib.Service,
        engines: list[endpoints_lib.Endpoint],
        now: float,
    ) -> dict[str, endpoints_lib.Span]:
        engine = service.engine
        assert engine is not None
        cards = []
        again: dict[str, endpoints_lib.Span] = {}
        for endpoint in engines:
            ordered = self._ordered.get(endpoint.incarnation)
            held = endpoint.span
            if held is None and ordered is not None:
                held = ordered.span
                again[endpoint.endpoint_id] = ordered.span
            elif ordered is not None and now < ordered.until:
                # On its way to other layers.
                held = ordered.span
            capacity = placement.capacity_of(engine, endpoint.card)
            cards.append(
                placement.Card(
                    endpoint.endpoint_id,
                    endpoint.domain,
                    capacity,
                    held,
                    placement.capacity_of(
                        engine, endpoint.card, placement.TIGHT_SHARE
                    ),
                )
            )
        plan = placement.make_plan(engine.layers, cards)
        if not plan and not again and now >= self._move_after:
            plan = self._move(engine.layers, cards, now)
        if plan:
            self._state.audit.log(
                events.PLAN_MADE,
                service=service.name,
                cards=len(cards),
                ranges={k: f'{v.start}-{v.end}' for k, v in plan.items()},
            )
        return {**again, **plan}

    def _move(
        self, layers: int, cards: list[placement.Card], now: float
    ) -> dict[str, endpoints_lib.Span]:
        move = placement.find_move(layers, cards)
        if move is None:
            return {}
        self._move_after = now + MOVE_EVERY_S
        return {move.endpoint_id: move.span}

    def _may_order(self, endpoint: endpoints_lib.Endpoint, now: float) -> bool:
        ordered = self._ordered.get(endpoint.incarnation)
        return ordered is None or now >= ordered.until

    async def _order(
        self, endpoint: endpoints_lib.Endpoint, span: endpoints_lib.Span
    ) -> None:
        if not self.holds_lease:
            return
        status = await self._calls.place(endpoint, span)
        ordered = self._ordered[endpoint.incarnation]
        now = clocks.now()
        if status in calls_lib.ACCEPTED:
            wait_s = SHOWN_S + self._load_s(endpoint, span)
            self._ordered[endpoint.incarnation] = ordered._replace(
                until=now + wait_s
            )
        elif status is not None:
            # Refused for good reason: what it holds or began has changed and
            # the listing will say so.
            del self._ordered[endpoint.incarnation]

    def _load_s(
        self, endpoint: endpoints_lib.Endpoint, span: endpoints_lib.Span
    ) -> float:
        catalog = self._state.catalog
        service = catalog.services.get(endpoint.service) if catalog else None
        if service is None or service.engine is None:
            return 0.0
        engine = service.engine
        return engine.load_s * span.size / max(1, engine.layers)
