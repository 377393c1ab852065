"""One view of the fleet from any host, for operators."""

import pytest
import trio

from sardinebend_adapter import pages
from sardinebend_admin import errors
from sardinebend_admin import status as status_command
from sardinebend_gateway import http_server
from tests.common import gateway_world as world_lib


async def fetch(world):
    """Returns the page as the command reads it, from another thread."""
    server = http_server.Server(pages.Pages(world.gateway).serve)
    await server.start(world.nursery, world_lib.IP, 0)
    address = f'{world_lib.IP}:{server.port}'
    return await trio.to_thread.run_sync(status_command.fetch, address)


async def test_a_host_tells_versions_ages_and_coverage():
    servers = [
        *world_lib.engines((0, 2), (2, 4), (2, 4)),
        world_lib.Server('app-1', 'app'),
    ]
    async with world_lib.running(*servers) as world:
        found = await fetch(world)
    assert found['host'] == 'host-1'
    assert found['catalog_version'] == 1
    assert 0 <= found['catalog_age_s'] < 60
    assert found['live_hosts'] == ['host-1']
    assert found['reads_store']
    services = {service['name']: service for service in found['services']}
    assert services['app']['endpoints'] == 1
    assert services['app']['coverage'] == []
    assert services['llm']['coverage'] == [
        {'domain': 'east', 'engines': 3, 'fewest_holders': 1}
    ]


async def test_a_layer_without_a_holder_shows():
    servers = world_lib.engines((0, 2), (0, 2))
    async with world_lib.running(*servers) as world:
        found = await fetch(world)
    llm = next(s for s in found['services'] if s['name'] == 'llm')
    assert llm['coverage'][0]['fewest_holders'] == 0


async def test_a_host_without_a_configuration_answers():
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, ())
        found = await fetch(world)
        assert (found['catalog_version'], found['services']) == (-1, [])
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('address', ['', 'host', '127.0.0.1:x'])
def test_what_is_no_address_is_bad_input(address):
    with pytest.raises(errors.BadInput):
        status_command.fetch(address)


def test_a_host_that_does_not_answer_is_unavailable():
    with pytest.raises(errors.Unavailable):
        status_command.fetch(f'127.0.0.1:{world_lib.free_port()}')
