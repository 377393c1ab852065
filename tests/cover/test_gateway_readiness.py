"""Tests of when a host that has just started counts as ready."""

import trio

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
