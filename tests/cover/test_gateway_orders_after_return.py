"""Orders to engines while the store comes back from an older copy."""

import contextlib

import pytest
import trio

from tests.common import decision_log
from tests.common import gateway_world as world_lib

ENGINES = 3
LOAD_S = 1.0
# Longer than a lease, so that another host takes it meanwhile.
LONG_LOAD_S = 10.0
HEARTBEAT_S = 1.0
# Listings lag behind the end of a load.
LATE_HEARTBEAT_S = 2.5
# A lease that is lost, the next one, and a load.
PLACED_S = 20.0


class Loader(world_lib.Server):
    """An engine that loads layers, and refuses orders that come too late.

    Attributes:
        load_s: How long it takes to load layers.
        heartbeat_s: Time between two listings.
        refuses: Whether it refuses all orders.
        refused: When it refused an order.
        began: When it began an order.
    """

    def __init__(self, number):
        super().__init__(f'engine-{number}', 'llm')
        self.world = None
        self.load_s = LOAD_S
        self.heartbeat_s = HEARTBEAT_S
        self.refuses = False
        self.refused = []
        self.began = []

    def take_order(self, order):
        if self.span == (order['from'], order['target']):
            return 200
        if (
            self.refuses
            or self.is_busy
            or order['expected'] != len(self.orders)
        ):
            self.refused.append(trio.current_time())
            return 412
        self.began.append(trio.current_time())
        self.world.nursery.start_soon(self.load, order)
        return super().take_order(order)

    async def load(self, order):
        self.is_busy = True
        await trio.sleep(self.load_s)
        self.is_busy = False
        self.span = (order['from'], order['target'])

    async def keep_listed(self):
        while True:
            await self.world.list_server(self)
            await trio.sleep(self.heartbeat_s)


@contextlib.asynccontextmanager
async def placing(hosts=1, engines=ENGINES):
    """Yields hosts and empty engines, before the first order."""
    loaders = [Loader(number) for number in range(engines)]
    config = world_lib.make_config()
    # Each engine holds half of the model.
    config['services'][1]['engine']['layer_mb'] = 300.0
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, loaders)
        others = [
            world_lib.World(
                nursery, (), store=world.store, name=f'host-{number}'
            )
            for number in range(2, hosts + 1)
        ]
        for loader in loaders:
            loader.world = world
        await world.start(config)
        for other in others:
            await other.start_gateway()
        for loader in loaders:
            nursery.start_soon(loader.keep_listed)
        yield [world, *others], loaders
        nursery.cancel_scope.cancel()


async def wait_until(is_reached):
    with trio.fail_after(PLACED_S):
        while not is_reached():
            await trio.sleep(0.02)


def count_writes(store):
    return len(store._history)


def is_covered(loaders):
    layers = set()
    for loader in loaders:
        if loader.span:
            layers |= set(range(*loader.span))
    return layers == set(range(world_lib.LAYERS))


# Guards against a holder that sends orders to an engine without end, or none
# any more, after the engine has refused some that came after a return.
async def test_an_engine_that_refuses_orders_after_a_return_gets_layers_later(
    clock,
):
    with decision_log.collecting() as lines:
        async with placing() as ((world,), loaders):
            before = count_writes(world.store)
            for loader in loaders:
                loader.refuses = True
            await wait_until(lambda: all(x.refused for x in loaders))
            world.store.return_from_copy(count_writes(world.store) - before)
            returned_at = trio.current_time()
            await trio.sleep(30.0)
            assert not any(loader.span for loader in loaders)
            for loader in loaders:
                refused = [at for at in loader.refused if at > returned_at]
                assert 5 <= len(refused) <= 25
                loader.refuses = False
            ended_at = trio.current_time()
            await wait_until(lambda: all(x.span for x in loaders))
            assert trio.current_time() - ended_at < LOAD_S + 4.0
            assert is_covered(loaders)
    plans = [fields for name, fields in lines if name == 'plan_made']
    assert len(plans) <= 20


# Guards against engines that stay without layers, or load twice, because a
# return took the listings, and perhaps the lease, of a rollout under way.
@pytest.mark.parametrize('after_s', [0.0, 0.5, 1.2, 3.0, 3.5])
@pytest.mark.parametrize('hosts', [1, 3])
@pytest.mark.parametrize('is_lease_lost', [True, False])
async def test_a_rollout_goes_on_across_a_return(
    is_lease_lost, hosts, after_s, clock
):
    async with placing(hosts) as (worlds, loaders):
        store = worlds[0].store
        before = count_writes(store)

        def find_holders():
            controllers = [w.gateway.placement_controller for w in worlds]
            return [c for c in controllers if c.holds_lease]

        if not is_lease_lost:
            await wait_until(find_holders)
            before = count_writes(store)
        await wait_until(lambda: any(x.began for x in loaders))
        late = Loader(ENGINES)
        late.world = worlds[0]
        await late.start(worlds[0].nursery)
        worlds[0].nursery.start_soon(late.keep_listed)
        await trio.sleep(after_s)
        store.return_from_copy(count_writes(store) - before)
        everyone = [*loaders, late]
        await wait_until(lambda: all(x.span for x in everyone))
        await trio.sleep(PLACED_S)
        assert is_covered(everyone)
        assert len(find_holders()) == 1
        assert [len(x.began) for x in everyone] == [1] * len(everyone)


# Guards against a next holder that has engines load twice, because their
# listings don't show yet what the last holder ordered in an earlier era.
@pytest.mark.parametrize('is_another_late', [True, False])
@pytest.mark.parametrize('returns_first', [True, False])
async def test_the_next_holder_does_not_order_again_what_engines_load(
    returns_first, is_another_late, clock
):
    async with placing(3) as (worlds, loaders):
        store = worlds[0].store
        before = count_writes(store)
        for loader in loaders:
            loader.load_s = LONG_LOAD_S
            loader.heartbeat_s = LATE_HEARTBEAT_S
        await wait_until(lambda: all(x.began for x in loaders))
        [holder] = [
            w for w in worlds if w.gateway.placement_controller.holds_lease
        ]
        if returns_first:
            store.return_from_copy(count_writes(store) - before)
        holder.gateway.begin_stop()
        await trio.sleep(1.0)
        if not returns_first:
            store.return_from_copy(count_writes(store) - before)
        everyone = list(loaders)
        if is_another_late:
            late = Loader(ENGINES)
            late.world = worlds[0]
            await late.start(worlds[0].nursery)
            worlds[0].nursery.start_soon(late.keep_listed)
            everyone.append(late)
        await trio.sleep(LONG_LOAD_S + PLACED_S)
        assert is_covered(everyone)
        assert [len(x.began) for x in everyone] == [1] * len(everyone)
        others = [w.gateway.placement_controller for w in worlds if w != holder]
        assert [c.holds_lease for c in others].count(True) == 1
