"""An odd entry of another writer costs nothing but itself."""

import json

import pytest
import trio

from sardinebend_adapter import store_client
from sardinebend_gateway import http_server
from sardinebend_gateway import shared_table
from sardinebend_policy import catalog
from sardinebend_store import feeds
from standins import ports
from tests.common import gateway_world as world_lib
from tests.common import odd_values
from tests.common import odd_world
from tests.common import store_process

# One of each kind; `test_an_odd_listing_is_malformed` has all.
IN_WORLD = (
    'deep objects',
    'a deep unknown field',
    'not UTF-8',
    'slots: 400 digits',
    'slots: negative',
    'born: beyond 64 bits',
    'layers.from: negative',
    'layers.target: 400 digits',
    "address '127.0.0.1:99999'",
    "address '127.0.0.1:0'",
    'without slots',
)


# Guards against a follower that ends at such an entry, loses the entries after
# it and makes its host unready; and against requests that fail because of it.
@pytest.mark.parametrize('service', ['app', 'llm'])
@pytest.mark.parametrize('name', IN_WORLD)
async def test_a_host_that_starts_with_an_odd_entry_uses_the_others(
    name, service, clock, caplog
):
    caplog.set_level('INFO', 'sardinebend.decisions')
    trap = world_lib.Server('a-odd', service)
    trap.span = (0, 4)
    store = feeds.MemoryFeeds()
    app = world_lib.Server('app-1', 'app')
    async with trio.open_nursery() as nursery:
        await trap.start(nursery)
        value = odd_world.odd_listings(trap.entry())[name]
        await store.write('servers', 'a-odd', None, value)
        engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
        world = world_lib.World(nursery, [app, *engines], store=store)
        with trio.fail_after(odd_world.LIMIT_S):
            await world.start()
        await odd_world.check_goes_on(world, trap, caplog)
        assert [line['key'] for line in odd_world.skipped(caplog)] == ['a-odd']
        nursery.cancel_scope.cancel()


# Guards against streams that are cut, and logs that grow, while another writer
# goes on writing odd entries.
async def test_odd_entries_while_a_stream_runs_leave_it_alone(clock, caplog):
    caplog.set_level('INFO', 'sardinebend.decisions')
    trap = world_lib.Server('a-odd', 'llm')
    trap.span = (0, 4)
    engines = world_lib.engines((0, 4), script=odd_world.answer_slowly)
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, *engines) as world:
        await trap.start(world.nursery)
        answers = []

        async def stream():
            answers.append(await odd_world.ask_engine(world, 'long'))

        world.nursery.start_soon(stream)
        await trio.sleep(0.3)
        odd = odd_world.odd_listings(trap.entry())
        for number, value in enumerate(odd.values()):
            key = f'odd-{number}'
            await world.store.write('servers', key, None, value)
            # The entry of the engine that is serving, overwritten.
            await world.store.write('servers', 'engine-0', None, value)
        await world.list_server(engines[0])
        await odd_world.wait_until(lambda: answers)
        assert answers[0][3]
        assert answers[0][2].count(b'id: ') == 8
        await odd_world.check_goes_on(world, trap, caplog)
        keys = [line['key'] for line in odd_world.skipped(caplog)]
        assert keys.count('odd-0') == 1
        assert len(keys) <= 2 * len(odd)


# Guards against plans that fail, or never end, and paths over such an engine.
@pytest.mark.parametrize(
    'span', [(0, 5), (3, 9), (4, 9), (9000, 10_000), (0, 10_000)]
)
async def test_an_engine_with_layers_beyond_the_model_is_not_used(
    span, clock, caplog
):
    trap = world_lib.Server('a-odd', 'llm')
    trap.span = span
    engines = world_lib.engines(
        (0, 2), (2, 4), script=odd_world.answer_completely
    )
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, trap, *engines) as world:
        await trio.sleep(5.0)
        await odd_world.check_goes_on(world, trap, caplog)


SHARED_ROWS = {
    'host/odd': {
        **odd_values.NO_OBJECTS,
        **{
            f'beats {address[:20]!a}': json.dumps(
                {**odd_world.HOST_ROW, 'beats': address}
            ).encode()
            for address in odd_values.BAD_ADDRESSES
        },
    },
    'lease/orders': {
        **odd_values.NO_OBJECTS,
        'fencing': b'{"holder": "h", "fencing": %s}' % (b'9' * 400),
    },
    'evidence/part/odd': {
        **odd_values.NO_OBJECTS,
        'long': json.dumps({'c': 'x' * 70_000}).encode(),
    },
    'quarantine/odd': odd_values.NO_OBJECTS,
    'quarantine/': odd_values.NO_OBJECTS,
    'host/': odd_values.NO_OBJECTS,
    'unknown': odd_values.NO_OBJECTS,
}


# Guards against a task that ends at such a row of the hosts' own table.
@pytest.mark.parametrize('key', SHARED_ROWS)
async def test_odd_rows_of_the_hosts_own_table_are_skipped(key, clock, caplog):
    caplog.set_level('INFO', 'sardinebend.decisions')
    trap = world_lib.Server('a-odd', 'app')
    engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, *engines) as world:
        await trio.sleep(4.0)
        for value in SHARED_ROWS[key].values():
            await world.store.write(shared_table.TABLE, key, None, value)
            await trio.sleep(0.6)
        good = json.dumps({**odd_world.HOST_ROW, 'incarnation': 'y'}).encode()
        await world.store.write(shared_table.TABLE, 'host/late', None, good)
        await odd_world.wait_until(
            lambda: 'late' in world.gateway.members.peers()
        )
        await odd_world.check_goes_on(world, trap, caplog)
        assert 'odd' not in world.gateway.members.peers()
        # No host holds the lease for ever with a row that nobody can read.
        await trio.sleep(10.0)
        assert world.gateway.placement_controller.holds_lease


# Guards against a configuration row that ends the task that reads it.
async def test_an_odd_configuration_leaves_the_one_in_force(clock, caplog):
    trap = world_lib.Server('a-odd', 'app')
    engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, *engines) as world:
        for value in odd_values.NO_OBJECTS.values():
            for odd in (value, b'{"version": 9, "x": ' + value + b'}'):
                await world.store.write('op', 'config', None, odd)
                # An answer with such a row doesn't renew the evidence that
                # keys are in force; the next one without it does.
                await trio.sleep(2.0)
                assert (await world.ask())[0] == 200
        await odd_world.check_goes_on(world, trap, caplog)


# Guards against a peer's host row or listing that ends the one that asks it.
async def test_an_odd_entry_relayed_by_a_peer_is_skipped(clock, caplog):
    caplog.set_level('INFO', 'sardinebend.decisions')
    trap = world_lib.Server('a-odd', 'app')
    app = world_lib.Server('app-1', 'app')
    engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
    relay_port = world_lib.free_port()
    async with trio.open_nursery() as nursery:
        first = world_lib.World(nursery, [app, *engines], relay_port)
        await first.store.write('servers', 'a-odd', None, odd_values.DEEP)
        await first.store.write(
            shared_table.TABLE, 'host/odd', None, odd_values.DEEP_OBJECTS
        )
        with trio.fail_after(odd_world.LIMIT_S):
            await first.start()
        # It can't reach the store, so all rows come from the first host.
        down = feeds.MemoryFeeds()
        down.is_down = True
        second = world_lib.World(
            nursery, (), seeds=[relay_port], store=down, name='host-2'
        )
        with trio.fail_after(odd_world.LIMIT_S):
            await second.start_gateway()
        await odd_world.wait_until(
            lambda: 'app-1' in second.gateway.state.endpoints.names()
        )
        assert (await second.ask())[0] == 200
        await trio.sleep(3.0)
        assert second.gateway.supervisor._failures == {}
        assert trap.requests == []
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('sequence', ['9' * 400, '-1', '1e999'])
async def test_an_engine_with_an_odd_report_gets_no_order(
    sequence, clock, caplog, monkeypatch
):
    empty = world_lib.Server('engine-9', 'llm')

    async def report(stream):
        body = b'{"busy": false, "sequence": %s}' % sequence.encode()
        await stream.send_all(world_lib.head(200, [], body=body))

    monkeypatch.setattr(empty, '_report', report)
    trap = world_lib.Server('a-odd', 'app')
    engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, empty, *engines) as world:
        await trio.sleep(6.0)
        await odd_world.check_goes_on(world, trap, caplog)
        assert empty.orders == []


# Guards against a host that stops to follow a store with such a row in it.
async def test_a_host_follows_a_store_with_an_odd_row_over_http():
    port = ports.find_free(1)[0]
    store = store_process.Store()
    limits = catalog.Limits()._replace(max_body_bytes=1_000_000)
    server = http_server.Server(store.serve, lambda: limits)
    app = world_lib.Server('app-1', 'app')
    async with trio.open_nursery() as nursery:
        await server.start(nursery, '127.0.0.1', port)
        client = store_client.StoreClient(f'http://127.0.0.1:{port}')
        for key, value in odd_values.NO_OBJECTS.items():
            await client.write('servers', f'a {key}', None, value)
        world = world_lib.World(nursery, [app], store=client)
        with trio.fail_after(20):
            await world.start()
            late = world_lib.Server('z-late', 'app')
            await late.start(nursery)
            await client.write('servers', 'b', None, odd_values.DEEP_OBJECTS)
            await world.list_server(late)
            while 'z-late' not in world.gateway.state.endpoints.names():
                await trio.sleep(0.02)
        assert (await world.ask())[0] == 200
        assert world.gateway.supervisor._failures == {}
        assert world.gateway.is_ready()
        await client.close()
        nursery.cancel_scope.cancel()
