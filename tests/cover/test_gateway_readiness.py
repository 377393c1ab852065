"""Tests of when a host that has just started counts as ready."""

import trio

from sardinebend_gateway import first_rows
from sardinebend_store import feeds
from tests.common import gateway_world as world_lib

SERVERS_READ_AFTER_S = 0.5


class SlowServers(feeds.MemoryFeeds):
    """A store that is slow to list the servers."""

    async def read_all(self, table):
        if table == 'servers':
            await trio.sleep(SERVERS_READ_AFTER_S)
        return await super().read_all(table)


# Guards against callers that are sent to a host which refuses their requests,
# because it hasn't read yet which servers there are.
async def test_a_host_is_ready_once_it_knows_the_servers(clock):
    server = world_lib.Server('app-1', 'app')
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, [server], store=SlowServers())
        await server.start(nursery)
        await world.list_server(server)
        await world.put_config(world_lib.make_config())
        started_at = trio.current_time()
        await world.start_gateway()
        assert trio.current_time() - started_at >= SERVERS_READ_AFTER_S
        assert (await world.ask())[0] == 200
        nursery.cancel_scope.cancel()


# Guards against requests whose host lost its power, and that the next host
# refuses for good since it has just started as well.
async def test_a_host_that_has_just_started_holds_requests_until_it_has_read(
    clock,
):
    server = world_lib.Server('app-1', 'app')
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, [server], store=SlowServers())
        await server.start(nursery)
        await world.list_server(server)
        await world.put_config(world_lib.make_config())
        nursery.start_soon(world.gateway.run)
        await trio.sleep(SERVERS_READ_AFTER_S / 5)
        assert not world.gateway.is_ready()
        assert (await world.ask())[0] == 200
        nursery.cancel_scope.cancel()


async def test_a_host_that_reads_nothing_refuses_requests_in_the_end(clock):
    store = feeds.MemoryFeeds()
    store.is_down = True
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, [], store=store)
        nursery.start_soon(world.gateway.run)
        await trio.sleep(0.1)
        assert (await world.ask())[0] == 503
        await trio.sleep(first_rows.HOLD_S)
        started_at = trio.current_time()
        assert (await world.ask())[0] == 503
        assert trio.current_time() - started_at < first_rows.POLL_S
        nursery.cancel_scope.cancel()
