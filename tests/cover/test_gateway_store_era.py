"""Hosts whose store comes back from an older copy of itself."""

import trio

from sardinebend_gateway import shared_table
from tests.common import crashing_world
from tests.common import gateway_world as world_lib

NEW_KEY = 'key-of-nilecycle'
# All bounds of the pages for what an operator or a server has written.
BOUND_S = 5.0


def write_config(world, version, key=world_lib.KEY):
    tenants = [{'name': 'vanua', 'api_keys': [key], 'priority': 2}]
    return world.put_config(world_lib.make_config(version, tenants=tenants))


async def fill_history(world, writes=300):
    for number in range(writes):
        await world.store.write('other', f'k{number}', None, b'x')
    # Until the host's polls have returned the new version.
    await trio.sleep(BOUND_S)


async def test_what_is_written_after_the_return_is_in_force_within_bounds(
    clock,
):
    # Guards against a host that takes every answer for older than its own.
    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server) as world:
        await write_config(world, 5)
        await trio.sleep(1.0)
        await fill_history(world)
        world.store.return_from_copy(300)
        late = world_lib.Server('app-2', 'app')
        await late.start(world.nursery)
        await world.list_server(late)
        await write_config(world, 9, NEW_KEY)
        await trio.sleep(BOUND_S)
        assert 'app-2' in world.gateway.state.endpoints.names()
        old = await world.ask('/look/x')
        new = await world.ask('/look/x', authorization=f'Bearer {NEW_KEY}')
    assert (old[0], new[0]) == (401, 200)


async def test_a_revoked_key_is_not_accepted_again_on_an_older_copy(clock):
    # Guards against a configuration that regresses, and against answers of the
    # older copy that count as evidence that keys are still in force.
    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server) as world:
        await write_config(world, 5)
        await trio.sleep(1.0)
        await write_config(world, 9, NEW_KEY)
        await trio.sleep(1.0)
        world.store.return_from_copy(1)
        statuses = set()
        for _ in range(40):
            await trio.sleep(0.2)
            statuses.add((await world.ask('/look/x'))[0])
        assert world.gateway.state.catalog.version == 9
        await write_config(world, 9, NEW_KEY)
        await trio.sleep(BOUND_S)
        new = await world.ask('/look/x', authorization=f'Bearer {NEW_KEY}')
    assert 200 not in statuses
    assert new[0] == 200


async def test_servers_that_the_copy_lacks_get_time_to_be_listed_again(clock):
    # Guards against sound servers that count as gone before they can write
    # their listing again.
    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server) as world:
        await fill_history(world)
        world.store.return_from_copy(10_000)
        await trio.sleep(1.0)
        assert 'app-1' in world.gateway.state.endpoints.names()
        await world.list_server(server)
        await trio.sleep(BOUND_S)
        assert 'app-1' in world.gateway.state.endpoints.names()


async def test_hosts_write_their_rows_and_verdicts_again(clock):
    # Guards against hosts that nobody finds, and verdicts that no new host
    # learns, after the store has lost their rows. Twice in a row.
    async with crashing_world.running() as fleet:
        await fleet.repeat('/book/x', 6)
        await trio.sleep(8.0)
        for _ in range(2):
            fleet.store.return_from_copy(10_000)
            await world_lib.World.put_config(fleet, world_lib.make_config())
            for worker in fleet.workers:
                await fleet.write_listing(worker)
            await trio.sleep(16.0)
            rows = (await fleet.store.read_all(shared_table.TABLE)).ok_value
            # That the era is settled may be written by now, or up to 2 s later.
            keys = {
                row.key.partition('/')[0]
                for row in rows.rows
                if row.key != shared_table.SETTLED_ERA_KEY
            }
            hosts = [r for r in rows.rows if r.key.startswith('host/')]
            assert keys == {'host', 'lease', 'quarantine'}
            assert len(hosts) == crashing_world.HOSTS
            await trio.sleep(2.0)
            rows = (await fleet.store.read_all(shared_table.TABLE)).ok_value
            settled = {r.key: r.value for r in rows.rows}
            era = str(fleet.store.era).encode()
            assert settled[shared_table.SETTLED_ERA_KEY] == era


async def test_a_verdict_row_that_is_deleted_on_purpose_stays_deleted(clock):
    # Guards against verdicts that hosts renew for each other without end.
    async with crashing_world.running() as fleet:
        await fleet.repeat('/book/x', 6)
        await trio.sleep(8.0)
        rows = (await fleet.store.read_all(shared_table.TABLE)).ok_value.rows
        keys = [row.key for row in rows if row.key.startswith('quarantine/')]
        assert len(keys) == 1
        await fleet.store.write(shared_table.TABLE, keys[0], None, None)
        await trio.sleep(16.0)
        rows = (await fleet.store.read_all(shared_table.TABLE)).ok_value.rows
    assert keys[0] not in {row.key for row in rows}


async def test_a_holder_whose_lease_is_lost_stops_and_numbers_go_up(clock):
    # Guards against two holders at once, and a fencing number for two holders.
    async with crashing_world.running() as fleet:
        await trio.sleep(5.0)
        controllers = [h.gateway.placement_controller for h in fleet.hosts]
        before = max(c._lease.fencing for c in controllers)
        fleet.store.return_from_copy(10_000)
        await world_lib.World.put_config(fleet, world_lib.make_config())
        holders = []
        for _ in range(300):
            await trio.sleep(0.1)
            held = [c for c in controllers if c.holds_lease]
            assert len(held) <= 1
            holders += held
        after = max(c._lease.fencing for c in holders[-1:])
    assert after > before
