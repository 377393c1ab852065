"""Places layers on engines; runs on the host that holds the lease.

Every order states the number of orders that the engine had begun according to a
report that was requested just before. The engine refuses the order if that
number has changed. An order that arrives late, or that comes from a host whose
lease has expired unnoticed, is therefore refused or has no effect beyond what
is already in force.
"""

import collections.abc
import typing

import result
import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import row_guard
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import lease as lease_lib
from sardinebend_policy import placement
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

LEASE_S: typing.Final = 4.0
# Two renewals fit into a lease, so that one lost answer doesn't end the lease.
RENEW_INTERVAL_S: typing.Final = 1.5
CHECK_INTERVAL_S: typing.Final = 0.25
# A host that has just started doesn't know yet which other hosts might try.
FIRST_TRY_DELAY_S: typing.Final = 1.5
# Range of the time for which a host that reads the store through another one
# leaves a free lease to those that read it themselves. Each host draws its own
# delay from it.
NON_READER_DELAY_S: typing.Final = (2.0, 6.0)
# Time without new listings that must pass before the first plan, made while no
# engine holds layers, so that the plan includes the whole fleet.
FIRST_PLAN_DELAY_S: typing.Final = 1.0
# An unanswered order may be carried out seconds later, so the engine gets no
# other order until this time has passed.
UNANSWERED_ORDER_S: typing.Final = 3.0
# An engine that has refused an order gets no other for this long, twice as long
# after each further refusal, up to a limit: the first may have been a matter of
# two orders at a time, but the cause may also last.
REFUSAL_PAUSE_S: typing.Final = 0.25
MAX_REFUSAL_PAUSE_S: typing.Final = 4.0
# Interval between moves that give a failure domain layers it lacks. Each is
# planned as if the orders already sent had been carried out, so it doesn't
# supply layers that an earlier move already supplies.
MOVE_INTERVAL_S: typing.Final = 0.5
# Listings show the effect of an order after the engine's next heartbeat.
LISTING_DELAY_S: typing.Final = 2.5


class _LastOrder(typing.NamedTuple):
    """The last order to an engine.

    Attributes:
        span: The ordered layers.
        at: When the order was sent.
        until: Earliest time for another order to the engine.
    """

    span: endpoints_lib.Span
    at: float
    until: float


class _Refusal(typing.NamedTuple):
    """The last refusal of an order by an engine.

    Attributes:
        pause_s: Time for which the engine gets no order.
        until: When that ends.
    """

    pause_s: float
    until: float


class PlacementController:
    """Acquires the lease when it is free; sends orders while it holds it."""

    def __init__(
        self,
        state: state_lib.State,
        engine_calls: calls_lib.EngineCalls,
        incarnation: str,
        are_listings_outdated: collections.abc.Callable[[], bool],
    ) -> None:
        """Creates a controller that doesn't hold the lease.

        Args:
            state: The host's state.
            engine_calls: Requests reports and sends orders.
            incarnation: The name of this host's process.
            are_listings_outdated: Returns whether engines may hold other layers
                than their listings say.
        """
        self._state = state
        self._calls = engine_calls
        self._are_listings_outdated = are_listings_outdated
        self._lease = lease_lib.Lease(incarnation, LEASE_S)
        self._version = 0
        self._held_lease_before = False
        self._started_at = clocks.now()
        self._last_orders: dict[tuple[str, int], _LastOrder] = {}
        # Refusals since the last accepted order.
        self._refusals: dict[tuple[str, int], _Refusal] = {}
        self._last_new_engine_at = clocks.now()
        self._known_names: set[str] = set()
        self._next_move_at = float('-inf')
        self._lease_free_since: float | None = None
        self._non_reader_delay_s = state.rng.uniform(*NON_READER_DELAY_S)

    @property
    def holds_lease(self) -> bool:
        """Whether this host may send orders."""
        return self._lease.is_held(clocks.now())

    def apply_lease_row(self, row: feeds.FeedRow) -> None:
        """Applies the lease's row."""
        if row.version < self._version:
            # Read before this host's own last write.
            return
        value = None
        if row.value is not None:
            try:
                value = shared_table.decode_lease(row.value)
            except errors.Malformed as exc:
                row_guard.log_skipped(
                    self._state, shared_table.TABLE, row.key, str(exc)
                )
        self._version = row.version if row.value is not None else 0
        self._lease.observe(value, self._version, clocks.now())

    def apply_missing_lease(self) -> None:
        """Records that no lease is held if the table has no lease row."""
        if not self._version:
            self._lease.observe(None, 0, clocks.now())

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_lease)
            nursery.start_soon(self._send_orders, nursery)

    async def _keep_lease(self) -> None:
        while True:
            if self._may_try_lease():
                await self._try_lease()
            is_lease_held = self.holds_lease
            if self._held_lease_before and not is_lease_held:
                self._state.audit.log(events.LEASE_LOST, reason='not renewed')
            self._held_lease_before = is_lease_held
            await trio.sleep(
                RENEW_INTERVAL_S if is_lease_held else CHECK_INTERVAL_S
            )

    def _may_try_lease(self) -> bool:
        """Returns whether this host may acquire or renew the lease.

        At first only hosts that read the store themselves try to acquire a free
        lease, so that not all hosts write to it at once. They may all be cut
        off from the store, so each other host also tries, after a delay of its
        own.
        """
        if self._state.is_stopping:
            return False
        if self.holds_lease:
            return True
        now = clocks.now()
        if now - self._started_at < FIRST_TRY_DELAY_S:
            return False
        if self._next_attempt(now) is None:
            self._lease_free_since = None
            return False
        if self._lease_free_since is None:
            self._lease_free_since = now
        if self._state.role.reader is None:
            return True
        return now - self._lease_free_since > self._non_reader_delay_s

    def _next_attempt(self, now: float) -> lease_lib.Attempt | None:
        era = self._state.edges.store.era
        counter = feeds.counter_of(self._version)
        return self._lease.next_attempt(now, era, counter)

    async def _try_lease(self) -> None:
        store = self._state.edges.store
        sent_at = clocks.now()
        attempt = self._next_attempt(sent_at)
        if attempt is None:
            return
        answer = await store.write(
            shared_table.TABLE,
            shared_table.LEASE_KEY,
            attempt.expected_version,
            shared_table.encode(attempt.row),
        )
        if isinstance(answer, result.Ok):
            if not self._held_lease_before:
                self._state.audit.log(
                    events.LEASE_TAKEN, fencing=attempt.row['fencing']
                )
            self._version = answer.ok_value
            self._lease.confirm(attempt, self._version, sent_at)
        elif isinstance(answer.err_value, store_errors.Conflict):
            row = answer.err_value.rows.get(shared_table.LEASE_KEY)
            if row is not None:
                self.apply_lease_row(row)

    async def _send_orders(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            catalog = self._state.catalog
            if not self.holds_lease or catalog is None:
                continue
            if self._are_listings_outdated():
                # Engines that hold layers may be listed as empty.
                continue
            for service in catalog.services.values():
                if service.has_layers:
                    self._place_service(service, nursery)

    def _place_service(
        self, service: catalog_lib.Service, nursery: trio.Nursery
    ) -> None:
        model = service.engine
        assert model is not None
        # A listing with layers beyond the model isn't one of its engines.
        engines = [
            e
            for e in self._state.endpoints.list_all(service.name)
            if not e.is_draining
            and (e.span is None or e.span.fits(model.layers))
        ]
        now = clocks.now()
        names = {e.endpoint_id for e in engines}
        if not names <= self._known_names:
            self._known_names |= names
            self._last_new_engine_at = now
        has_no_layers = not any(e.span for e in engines)
        if (
            has_no_layers
            and now - self._last_new_engine_at < FIRST_PLAN_DELAY_S
        ):
            return
        plan = self._plan(service, engines, now)
        for endpoint in engines:
            span = plan.get(endpoint.endpoint_id)
            if span is not None and self._may_order(endpoint, now):
                self._last_orders[endpoint.incarnation] = _LastOrder(
                    span, now, now + UNANSWERED_ORDER_S
                )
                nursery.start_soon(self._send_order, endpoint, span)

    def _plan(
        self,
        service: catalog_lib.Service,
        engines: list[endpoints_lib.Endpoint],
        now: float,
    ) -> dict[str, endpoints_lib.Span]:
        model = service.engine
        assert model is not None
        candidates = []
        repeated: dict[str, endpoints_lib.Span] = {}
        for endpoint in engines:
            last_order = self._last_orders.get(endpoint.incarnation)
            current_span = endpoint.span
            if current_span is None and last_order is not None:
                current_span = last_order.span
                repeated[endpoint.endpoint_id] = last_order.span
            elif last_order is not None and now < last_order.until:
                # The engine is being moved to other layers.
                current_span = last_order.span
            # `Endpoint.card` is the kind of its accelerator.
            capacity = placement.capacity_of(model, endpoint.card)
            candidates.append(
                placement.PlacementEndpoint(
                    endpoint.endpoint_id,
                    endpoint.domain,
                    capacity,
                    current_span,
                    placement.capacity_of(
                        model, endpoint.card, placement.MIN_REQUEST_SHARE
                    ),
                )
            )
        plan = placement.make_plan(model.layers, candidates)
        if not plan and not repeated and now >= self._next_move_at:
            plan = self._plan_move(model.layers, candidates, now)
        # A plan whose engines must wait is made again.
        if any(
            e.endpoint_id in plan and self._may_order(e, now) for e in engines
        ):
            self._state.audit.log(
                events.PLAN_MADE,
                service=service.name,
                cards=len(candidates),
                ranges={k: f'{v.start}-{v.end}' for k, v in plan.items()},
            )
        return {**repeated, **plan}

    def _plan_move(
        self,
        layers: int,
        candidates: list[placement.PlacementEndpoint],
        now: float,
    ) -> dict[str, endpoints_lib.Span]:
        move = placement.find_move(layers, candidates)
        if move is None:
            return {}
        self._next_move_at = now + MOVE_INTERVAL_S
        return {move.endpoint_id: move.span}

    def _may_order(self, endpoint: endpoints_lib.Endpoint, now: float) -> bool:
        last_order = self._last_orders.get(endpoint.incarnation)
        refusal = self._refusals.get(endpoint.incarnation)
        return (last_order is None or now >= last_order.until) and (
            refusal is None or now >= refusal.until
        )

    async def _send_order(
        self, endpoint: endpoints_lib.Endpoint, span: endpoints_lib.Span
    ) -> None:
        if not self.holds_lease:
            return
        status = await self._calls.place(endpoint, span)
        last_order = self._last_orders[endpoint.incarnation]
        now = clocks.now()
        if status in calls_lib.ACCEPTED_STATUSES:
            self._refusals.pop(endpoint.incarnation, None)
            wait_s = LISTING_DELAY_S + self._loading_time_s(endpoint, span)
            self._last_orders[endpoint.incarnation] = last_order._replace(
                until=now + wait_s
            )
        elif status is not None:
            # The engine refused the order because its layers or its count of
            # orders have changed; its listing will show them.
            del self._last_orders[endpoint.incarnation]
            self._record_refusal(endpoint, now)

    def _record_refusal(
        self, endpoint: endpoints_lib.Endpoint, now: float
    ) -> None:
        last = self._refusals.get(endpoint.incarnation)
        pause_s = REFUSAL_PAUSE_S
        if last is not None:
            pause_s = min(MAX_REFUSAL_PAUSE_S, 2 * last.pause_s)
        self._refusals[endpoint.incarnation] = _Refusal(pause_s, now + pause_s)

    def _loading_time_s(
        self, endpoint: endpoints_lib.Endpoint, span: endpoints_lib.Span
    ) -> float:
        """Returns the time that an engine takes to load layers."""
        catalog = self._state.catalog
        service = catalog.services.get(endpoint.service) if catalog else None
        if service is None or service.engine is None:
            return 0.0
        model = service.engine
        return model.load_s * span.size / max(1, model.layers)
