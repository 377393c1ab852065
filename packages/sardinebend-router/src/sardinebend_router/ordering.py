"""Sends load orders to the engines, from the host that holds the lease."""

import time
import typing

import result
import trio

from sardinebend_policy import lease as lease_lib
from sardinebend_policy import orders
from sardinebend_router import engines
from sardinebend_router import logs
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors
from sardinebend_store import feeds
from sardinebend_store import store

LEASE_KEY: typing.Final = 'leases/orders'
LEASE_S: typing.Final = 15.0
TICK_S: typing.Final = 3.0


def suspend_aware_clock() -> float:
    """Returns seconds of a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoadOrderSender:
    """Acquires and renews the lease, and sends orders while holding it."""

    def __init__(
        self,
        state: state_lib.HostState,
        table: store.TableStore,
        driver: engines.PipelineDriver,
        clock: typing.Callable[[], float] = suspend_aware_clock,
    ) -> None:
        self._state = state
        self._table = table
        self._driver = driver
        self._clock = clock
        holder = f'{state.own.host_id}/{state.incarnation}'
        self._lease = lease_lib.Lease(holder, LEASE_S)
        self._planner = orders.OrderPlanner()

    async def run(self) -> None:
        """Renews the lease and sends orders until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            await self.tick()

    async def tick(self) -> None:
        """Renews the lease, then sends the orders that are due."""
        if self._state.is_draining or not await self._hold_lease():
            return
        due = self._planner.plan(
            self._list_engines(),
            self._lease.fencing,
            self._lease.taken_at,
            self._clock(),
        )
        async with trio.open_nursery() as nursery:
            for order in due:
                nursery.start_soon(self._send, order)

    async def _hold_lease(self) -> bool:
        read = await self._table.read(LEASE_KEY)
        if isinstance(read, result.Ok):
            row = read.ok_value
            value = typing.cast(lease_lib.LeaseRow, row.value) if row else None
            version = row.version if row else 0
            self._lease.observe(value, version, self._clock())
            await self._renew(feeds.counter_of(version))
        return self._lease.is_held(self._clock())

    async def _renew(self, counter: int) -> None:
        sent_at = self._clock()
        attempt = self._lease.next_attempt(sent_at, self._table.era, counter)
        if attempt is None:
            return
        write = store.Write(
            LEASE_KEY, attempt.expected_version, dict(attempt.row)
        )
        # A write with unknown outcome isn't repeated here: the next round reads
        # the row, which names this host as the holder if the write took effect.
        answer = await self._table.transact([write])
        if isinstance(answer, result.Ok):
            version = answer.ok_value.versions[LEASE_KEY]
            self._lease.confirm(attempt, version, sent_at)

    def _list_engines(self) -> list[orders.Engine]:
        listed = []
        nodes = self._state.settings.tree.section('endpoints')
        for endpoint_id, node in nodes.items():
            endpoint = self._state.fleet.get(endpoint_id)
            if node['role'] != 'engine' or endpoint is None:
                continue
            if endpoint.is_leaving:
                continue
            held = endpoint.held
            listed.append(
                orders.Engine(
                    endpoint_id,
                    (node.get('first_layer', 0), node.get('end_layer', 0)),
                    orders.LoadedModel(
                        node.get('model', ''), node.get('model_version', '')
                    ),
                    orders.LoadedModel(*held) if held else None,
                    node.get('checks_fencing', False),
                )
            )
        return listed

    async def _send(self, order: orders.LoadOrder) -> None:
        # The process may have been paused since the plan was made, for longer
        # than the lease lasts.
        if not self._lease.is_held(self._clock()):
            self._planner.record_answer(order.endpoint_id)
            return
        answer = await self._driver.order(order)
        if not isinstance(answer, platform_errors.PlatformError):
            self._planner.record_answer(order.endpoint_id)
        logs.get().info(
            'order sent',
            extra={
                'endpoint': order.endpoint_id,
                'model': order.held.model,
                'model_version': order.held.model_version,
                'fencing': order.fencing,
                'answer': str(answer),
            },
        )
