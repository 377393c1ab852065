"""Tests of endpoints that announce in their answers that they leave."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
LEAVING = ('Server-Leaving', '1')


def answer_leaving(status, *extra, body=b'bye'):
    """Returns a script that answers with a status and announces leaving."""

    async def script(headers, stream):
        fixed_headers = [('Request-Id', headers['request-id']), LEAVING, *extra]
        return Answer(world_lib.head(status, fixed_headers, body=body))

    return script


async def stream_and_announce_leaving(headers, stream):
    fixed_headers = [
        ('Request-Id', headers['request-id']),
        LEAVING,
        world_lib.SEAL,
    ]
    events = [world_lib.chunk(world_lib.event(n)) for n in (1, 2, 3)]
    head = world_lib.head(200, fixed_headers, 'chunked')
    return Answer(head, *events, b'0\r\n\r\n')


ANSWERS = {
    'a success': answer_leaving(200, world_lib.SEAL),
    'a failure': answer_leaving(500, world_lib.SEAL),
    'a refusal': answer_leaving(503, ('Not-Executed', '1')),
}


@pytest.mark.parametrize('kind', ANSWERS)
async def test_a_server_that_announces_leaving_gets_no_further_requests(kind):
    # Guards against relying only on the listing, which may be outdated, or
    # unavailable during a store outage.
    leaving = world_lib.Server('app-1', 'app', ANSWERS[kind])
    other = world_lib.Server('app-2', 'app')
    async with world_lib.running(leaving) as world:
        await world.ask()
        await other.start(world.nursery)
        await world.list_server(other)
        while len(world.gateway.state.endpoints.names()) < 2:
            await trio.sleep(0.005)
        world.store.is_down = True
        for _ in range(8):
            assert (await world.ask())[0] == 200
    assert len(leaving.requests) == 1


async def test_leaving_holds_until_the_server_is_listed_with_a_new_start():
    server = world_lib.Server('app-1', 'app', ANSWERS['a success'])
    async with world_lib.running(server) as world:
        assert (await world.ask())[0] == 200
        await world.list_server(server, sequence=9, slots=9)
        await trio.sleep(0.2)
        assert (await world.ask())[0] == 503
        await world.list_server(server, born=2)
        await trio.sleep(0.2)
        assert (await world.ask())[0] == 200
    assert len(server.requests) == 2


async def test_a_stream_is_completed_though_its_server_announced_leaving():
    servers = world_lib.engines(
        (0, 4), (0, 4), script=stream_and_announce_leaving
    )
    async with world_lib.running(*servers) as world:
        for _ in range(2):
            answer = await world.ask('/draft/x', 'POST', b'p', model='m')
            assert (answer[0], answer[3]) == (200, True)
        answer = await world.ask('/draft/x', 'POST', b'p', model='m')
        assert answer[0] == 503
    assert [len(server.requests) for server in servers] == [1, 1]


async def test_a_report_can_announce_leaving():
    async def hang(headers, stream):
        return Answer(ends='hang')

    server = world_lib.engines((0, 4), script=hang)[0]
    server.report_headers = [LEAVING]
    async with world_lib.running(server) as world:
        await world.ask('/draft/x', 'POST', b'p', model='m', deadline_ms='1500')
        assert world.gateway.state.endpoints.get('engine-0').is_draining


async def test_other_hosts_are_notified_of_leaving_during_a_store_outage():
    server = world_lib.Server('app-1', 'app', ANSWERS['a success'])
    async with world_lib.running(server) as first:
        second = world_lib.World(
            first.nursery, (), store=first.store, name='host-2'
        )
        await second.start_gateway()
        with trio.fail_after(20):
            while not second.gateway.state.endpoints.names():
                await trio.sleep(0.02)
            while not first.gateway.members.peers():
                await trio.sleep(0.02)
            first.store.is_down = True
            await first.ask()
            while not second.gateway.state.endpoints.get('app-1').is_draining:
                await trio.sleep(0.02)
    assert len(server.requests) == 1
