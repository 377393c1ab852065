"""Simulates orders from several hosts.

Lease and planner are the product's; the engines are fakes.
"""

import typing

import trio

from sardinebend_router import ordering
from sardinebend_settings import tree as tree_lib
from sardinebend_store import errors as platform_errors
from tests.common import world as world_lib

HOSTS = ('a', 'b', 'c')
ENGINES = ('e1', 'e2', 'e3', 'e4', 'e5', 'e6')
CHECKS_FENCING = ('e1', 'e3', 'e5')
FREEZE_S = 40.0
OUTAGE_S = 25.0
LOAD_S = 1.0
SETTLE_S = 90.0
REPORT_INTERVAL_S = 1.0

STEPS = ('lease_sent', 'lease_taken', 'order_sent', 'order_begun', 'loaded')
FAULTS = (
    'kill_host',
    'freeze_host',
    'cut_host',
    'table_down',
    'table_slow',
    'table_reply_lost',
    'table_effect_late',
    'table_returns',
    'order_late',
    'order_lost',
    'desired_changes',
)


class StartedOrder(typing.NamedTuple):
    """An order that an engine has started."""

    host: str
    endpoint_id: str
    fencing: int
    version: str
    at: float


class Record(typing.NamedTuple):
    """What a run recorded for the checkers."""

    started_orders: list[StartedOrder]
    held: dict[str, str]
    desired: str
    reached: list[str]
    injected: list[tuple[str, str]]


class SimDriver:
    """One host's driver of the engines; it implements only `order`."""

    def __init__(self, world: 'OrdersWorld', host: world_lib.SimHost) -> None:
        self.world = world
        self.host = host

    async def order(self, order):
        world = self.world
        await self.host.wait_until_running()
        world.record_step('order_sent')
        delay_s, world.next_delay_s = world.next_delay_s, 0.0
        is_lost, world.is_next_lost = world.is_next_lost, False
        await trio.sleep(world_lib.HOP_S)
        if self.host.is_cut:
            await trio.sleep(order.life_s)
            return platform_errors.ExchangeFailed('cut')
        if delay_s:
            world.call_later(
                delay_s, lambda: world.start_order(self.host.name, order)
            )
            await trio.sleep(order.life_s)
            return platform_errors.ExchangeFailed('late')
        status = world.start_order(self.host.name, order)
        if is_lost:
            await trio.sleep(order.life_s)
            return platform_errors.ExchangeFailed('reply lost')
        await trio.sleep(LOAD_S)
        await self.host.wait_until_running()
        return status


class OrdersWorld(world_lib.World):
    """Three hosts and six engines, half of which check fencing numbers."""

    def __init__(self, nursery, plan, ordering_type) -> None:
        super().__init__(nursery, plan)
        self.ordering_type = ordering_type
        self.held = dict.fromkeys(ENGINES, '1')
        self.desired = '2'
        self.fencing = dict.fromkeys(ENGINES, 0)
        self.started_orders: list[StartedOrder] = []
        self.next_delay_s = 0.0
        self.is_next_lost = False
        tree = make_tree(2, self.desired)
        for index, name in enumerate(HOSTS):
            host = world_lib.SimHost(name, tree, index, nursery)
            self.hosts[name] = host
            table = world_lib.HostTable(
                self,
                host,
                lambda phase, write, name=name: self._record_lease_step(
                    name, phase
                ),
            )
            orderer = ordering_type(
                host.state, table, SimDriver(self, host), trio.current_time
            )
            nursery.start_soon(self._run_host, host, orderer, index)

    async def _run_host(self, host, orderer, index) -> None:
        # Host a starts first, so that it acquires the lease.
        await trio.sleep(0.5 * index)
        await host.run_until_killed(orderer.run)

    def _record_lease_step(self, name: str, phase: str) -> None:
        if name == 'a':
            is_sent = phase == 'sent'
            self.record_step('lease_sent' if is_sent else 'lease_taken')

    def start_order(self, host: str, order) -> int:
        """Starts an order at an engine, which may refuse its fencing number.

        Args:
            host: The host that sent the order.
            order: The order.
        """
        endpoint_id = order.endpoint_id
        if (
            endpoint_id in CHECKS_FENCING
            and order.fencing < self.fencing[endpoint_id]
        ):
            return 409
        self.fencing[endpoint_id] = order.fencing
        now = trio.current_time()
        version = order.held.model_version
        self.started_orders.append(
            StartedOrder(host, endpoint_id, order.fencing, version, now)
        )
        self.record_step('order_begun')

        def load() -> None:
            self.held[endpoint_id] = version
            self.record_step('loaded')

        self.call_later(LOAD_S, load)
        return 200

    async def run_reports(self) -> None:
        """Reports periodically to the hosts what the engines hold."""
        while True:
            for host in self.hosts.values():
                for endpoint_id, version in self.held.items():
                    if not (host.is_cut or host.is_frozen):
                        host.state.fleet.record_loaded_model(
                            endpoint_id, 't', version
                        )
            await trio.sleep(REPORT_INTERVAL_S)


def make_tree(version: int, desired: str) -> tree_lib.Tree:
    """Returns settings that assign one version to every engine."""
    endpoints = {
        name: {
            'url': f'http://{name}',
            'failure_domain': 'd',
            'role': 'engine',
            'model': 't',
            'model_version': desired,
            'first_layer': 2 * (index // 2),
            'end_layer': 2 * (index // 2) + 2,
            'checks_fencing': name in CHECKS_FENCING,
        }
        for index, name in enumerate(ENGINES)
    }
    nodes = {f'endpoints/{name}': node for name, node in endpoints.items()}
    return tree_lib.Tree.from_nodes(version, nodes)


def inject(world: OrdersWorld, fault: str) -> None:
    """Injects a fault at host a, the table or the next order."""
    host = world.hosts['a']
    match fault:
        case 'kill_host':
            host.kill()
        case 'freeze_host':
            host.freeze()
            world.call_later(FREEZE_S, host.thaw)
        case 'cut_host':
            host.is_cut = True
            world.call_later(OUTAGE_S, lambda: setattr(host, 'is_cut', False))
        case 'table_returns':
            world.table.return_from_copy({})
        case 'order_late':
            world.next_delay_s = 8.0
        case 'order_lost':
            world.is_next_lost = True
        case 'desired_changes':
            world.desired = '3'
            for sim in world.hosts.values():
                sim.state.settings.apply_tree(make_tree(3, '3'))
        case _:
            world.fail_table(fault, OUTAGE_S)


async def _run(faults, ordering_type) -> Record:
    plan = world_lib.FaultPlan(faults, inject)
    async with trio.open_nursery() as nursery:
        world = OrdersWorld(nursery, plan, ordering_type)
        nursery.start_soon(world.run_reports)
        await trio.sleep(FREEZE_S + SETTLE_S)
        nursery.cancel_scope.cancel()
    return Record(
        world.started_orders,
        world.held,
        world.desired,
        world.reached,
        world.injected,
    )


def run(faults, tested_type=ordering.LoadOrderSender, seed: int = 0) -> Record:
    """Has engines load a version, with faults injected at steps.

    Args:
        faults: Steps and the faults that are injected at them.
        tested_type: `LoadOrderSender`, or a subclass with a seeded defect.
        seed: Seed of the scheduler.
    """
    return world_lib.run_virtual(_run, faults, tested_type, seed=seed)
