"""Endpoints that say in their answers that they leave."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
LEAVING = ('Server-Leaving', '1')


def say(status, *extra, body=b'bye'):
    """Returns a script that answers with a status and that it leaves."""

    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), LEAVING, *extra]
        return Answer(world_lib.head(status, fixed, body=body))

    return script


async def stream_and_leave(headers, stream):
    fixed = [('Request-Id', headers['request-id']), LEAVING, world_lib.SEAL]
    events = [world_lib.chunk(world_lib.event(n)) for n in (1, 2, 3)]
    head = world_lib.head(200, fixed, 'chunked')
    return Answer(head, *events, b'0\r\n\r\n')


ANSWERS = {
    'a success': say(200, world_lib.SEAL),
    'a failure': say(500, world_lib.SEAL),
    'a refusal': say(503, ('Not-Executed', '1')),
}


@pytest.mark.parametrize('kind', ANSWERS)
async def test_a_server_that_leaves_by_its_own_word_gets_nothing_more(kind):
    # Guards against trusting the listing alone: it may be late or away.
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


async def test_the_word_outlasts_listings_of_the_same_start_only():
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


async def test_the_head_of_a_stream_tells_it_and_the_stream_ends_in_peace():
    servers = world_lib.engines((0, 4), (0, 4), script=stream_and_leave)
    async with world_lib.running(*servers) as world:
        for _ in range(2):
            answer = await world.ask('/draft/x', 'POST', b'p', model='m')
            assert (answer[0], answer[3]) == (200, True)
        answer = await world.ask('/draft/x', 'POST', b'p', model='m')
        assert answer[0] == 503
    assert [len(server.requests) for server in servers] == [1, 1]


async def test_a_report_tells_it_too():
    async def hang(headers, stream):
        return Answer(ends='hang')

    server = world_lib.engines((0, 4), script=hang)[0]
    server.report_headers = [LEAVING]
    async with world_lib.running(server) as world:
        await world.ask('/draft/x', 'POST', b'p', model='m', deadline_ms='1500')
        assert world.gateway.state.endpoints.get('engine-0').is_draining


async def test_the_other_hosts_hear_of_it_without_the_store():
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
