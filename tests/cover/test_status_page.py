"""The status page of a host, for operators."""

import pytest
import trio

from sardinebend_adapter import pages
from sardinebend_admin import errors
from sardinebend_admin import status as status_command
from sardinebend_gateway import http_server
from tests.common import gateway_world as world_lib


async def fetch(world):
    """Returns the page as the status command gets it, in another thread."""
    server = http_server.Server(pages.Pages(world.gateway).serve)
    await server.start(world.nursery, world_lib.IP, 0)
    address = f'{world_lib.IP}:{server.port}'
    return await trio.to_thread.run_sync(status_command.fetch, address)


async def test_the_page_shows_versions_ages_and_coverage():
    servers = [
        *world_lib.engines((0, 2), (2, 4), (2, 4)),
        world_lib.Server('app-1', 'app'),
    ]
    async with world_lib.running(*servers) as world:
        page = await fetch(world)
    assert page['host'] == 'host-1'
    assert page['catalog_version'] == 1
    assert 0 <= page['catalog_age_s'] < 60
    assert page['live_hosts'] == ['host-1']
    assert page['reads_store']
    services = {service['name']: service for service in page['services']}
    assert services['app']['endpoints'] == 1
    assert services['app']['coverage'] == []
    assert services['llm']['coverage'] == [
        {'domain': 'east', 'engines': 3, 'fewest_holders': 1}
    ]


async def test_the_page_shows_a_layer_that_no_engine_holds():
    servers = world_lib.engines((0, 2), (0, 2))
    async with world_lib.running(*servers) as world:
        page = await fetch(world)
    llm = next(s for s in page['services'] if s['name'] == 'llm')
    assert llm['coverage'][0]['fewest_holders'] == 0


async def test_the_page_is_served_without_a_configuration():
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, ())
        page = await fetch(world)
        assert (page['catalog_version'], page['services']) == (-1, [])
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('address', ['', 'host', '127.0.0.1:x'])
def test_an_invalid_address_is_bad_input(address):
    with pytest.raises(errors.BadInput):
        status_command.fetch(address)


def test_a_host_that_does_not_answer_is_unavailable():
    with pytest.raises(errors.Unavailable):
        status_command.fetch(f'127.0.0.1:{world_lib.free_port()}')
