"""Streams through layered engines: passed on, repaired, resumed, broken."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
LAST = b'0\r\n\r\n'


def start(headers, *pieces, ends='close'):
    fixed = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    first = world_lib.head(200, fixed, 'chunked')
    return Answer(first, *pieces, ends=ends)


async def whole(headers, stream):
    after = int(headers.get('last-event-id', 0))
    events = [chunk(event(n)) for n in range(after + 1, 6)]
    return start(headers, *events, LAST)


def ask(world):
    return world.ask('/draft/x', 'POST', b'p', token_usage='10,10', model='m')


def all_events():
    return b''.join(event(n) for n in range(1, 6))


async def test_a_stream_passes_every_layer_once_and_comes_whole():
    servers = world_lib.engines((0, 2), (2, 4), script=whole)
    async with world_lib.running(*servers) as world:
        status, headers, body, is_whole = await ask(world)
    assert (status, body, is_whole) == (200, all_events(), True)
    assert headers['response-seal'] == 'a.b.c'
    sent = servers[0].requests[0][2]
    first, second = servers
    assert sent['hop-count'] == f'{first.address}=0-2,{second.address}=2-4'
    assert sent['token-usage'] == '10,10'
    assert servers[1].requests == []


async def test_an_event_that_comes_in_pieces_is_passed_on_whole():
    async def torn(headers, stream):
        data = all_events()
        pieces = [chunk(data[n : n + 7]) for n in range(0, len(data), 7)]
        return start(headers, *pieces, LAST)

    servers = world_lib.engines((0, 4), script=torn)
    async with world_lib.running(*servers) as world:
        assert (await ask(world))[2:] == (all_events(), True)


async def test_a_stream_whose_first_engine_dies_goes_on_at_another():
    async def dies(headers, stream):
        servers[0].close()
        return start(
            headers,
            chunk(event(1)),
            chunk(event(2) + b'id: 3\nda'),
            ends='reset',
        )

    servers = world_lib.engines((0, 4), (0, 4), script=whole)
    servers[0].script = dies
    async with world_lib.running(*servers) as world:
        world.gateway.state.doubt(
            world.gateway.state.endpoints.get('engine-1'), 'test', False
        )
        status, _, body, is_whole = await ask(world)
    assert (status, body, is_whole) == (200, all_events(), True)
    assert servers[1].requests[0][2]['last-event-id'] == '2'


async def test_a_stream_with_a_dead_part_is_continued_around_it():
    repaired = trio.Event()

    async def stalls(headers, stream):
        fixed = start(headers, chunk(event(1)))
        for piece in fixed.pieces:
            await stream.send_all(piece)
        servers[0].stalled = [servers[1].address]
        with trio.fail_after(5):
            while not servers[0].orders:
                await trio.sleep(0.01)
        repaired.set()
        for number in range(2, 6):
            await stream.send_all(chunk(event(number)))
        await stream.send_all(LAST)

    servers = world_lib.engines((0, 2), (2, 4), (2, 4))
    servers[0].script = stalls
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        state.doubt(state.endpoints.get('engine-2'), 'test', False)
        status, _, body, is_whole = await ask(world)
    assert (status, body, is_whole) == (200, all_events(), True)
    order = servers[0].orders[0]
    assert order['operation'] == 'repath'
    assert order['id'] == 'r1'
    assert order['path'].endswith(f'{servers[2].address}=2-4')


async def test_a_stream_that_cannot_go_on_is_not_ended_as_whole():
    async def breaks(headers, stream):
        return start(headers, chunk(event(1)), ends='reset')

    servers = world_lib.engines((0, 4), script=breaks)
    async with world_lib.running(*servers) as world:
        status, _, body, is_whole = await ask(world)
    assert (status, is_whole) == (200, False)
    assert body in (event(1), b'')


async def test_a_stream_that_ends_within_an_event_is_not_whole():
    async def cut(headers, stream):
        return start(headers, chunk(event(1) + b'id: 2\nda'), LAST)

    servers = world_lib.engines((0, 4), script=cut)
    async with world_lib.running(*servers) as world:
        assert (await ask(world))[3] is False


async def test_an_event_that_comes_twice_reaches_nobody():
    async def doubles(headers, stream):
        return start(
            headers, chunk(event(1)), chunk(event(2)), chunk(event(2)), LAST
        )

    servers = world_lib.engines((0, 4), script=doubles)
    async with world_lib.running(*servers) as world:
        _, _, body, is_whole = await ask(world)
    assert is_whole is False
    assert body.count(event(2)) <= 1


async def test_a_callers_own_resume_is_passed_on():
    servers = world_lib.engines((0, 4), script=whole)
    async with world_lib.running(*servers) as world:
        _, _, body, _ = await world.ask(
            '/draft/x', 'POST', b'p', token_usage='10,10', last_event_id='3'
        )
    assert body == event(4) + event(5)


async def test_without_engines_for_a_layer_only_drafts_are_refused():
    servers = [
        *world_lib.engines((0, 2)),
        world_lib.Server('app-1', 'app'),
    ]
    async with world_lib.running(*servers) as world:
        status, headers, _, _ = await ask(world)
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert (await world.ask())[0] == 200


@pytest.mark.parametrize('status', [421, 503])
async def test_a_refused_path_is_replaced_and_its_culprit_passed_by(status):
    async def refuses(headers, stream):
        if servers[1].address in headers['hop-count']:
            return Answer(
                world_lib.head(
                    status,
                    [
                        ('Request-Id', 'r1'),
                        ('Not-Executed', '1'),
                        ('At-Server', servers[1].address),
                    ],
                )
            )
        return await whole(headers, stream)

    servers = world_lib.engines((0, 2), (2, 4), (2, 4), script=refuses)
    async with world_lib.running(*servers) as world:
        for _ in range(4):
            answer = await ask(world)
            assert (answer[0], answer[2]) == (200, all_events())
    assert len(servers[0].requests) <= 5


async def test_a_caller_that_leaves_ends_the_stream():
    left = trio.Event()

    async def endless(headers, stream):
        for piece in start(headers, chunk(event(1))).pieces:
            await stream.send_all(piece)
        assert await stream.receive_some(1) == b''
        left.set()

    servers = world_lib.engines((0, 4), script=endless)
    async with world_lib.running(*servers) as world:
        stream = await world.connect()
        await stream.send_all(
            world_lib.make_request('/draft/x', 'POST', token_usage='1,1')
        )
        await stream.receive_some(10)
        await stream.aclose()
        with trio.fail_after(5):
            await left.wait()
        while world.gateway.state.inflight.requests:
            await trio.sleep(0.01)


async def test_empty_engines_are_given_layers_by_the_holder_of_the_lease():
    servers = [world_lib.Server(f'engine-{n}', 'llm') for n in range(2)]
    async with world_lib.running(*servers) as world:
        with trio.fail_after(20):
            while not all(server.orders for server in servers):
                await trio.sleep(0.02)
        assert world.gateway.keeper.holds_lease
    for server in servers:
        order = server.orders[0]
        assert order['operation'] == 'place'
        assert order['expected'] == 0
        assert 0 <= order['from'] < order['target'] <= world_lib.LAYERS


async def test_engines_that_only_fall_silent_count_against_the_attempts():
    # Guards against one attempt of a caller running at more engines than its
    # route allows, when doubts were taken for the engines' ends.
    got = []

    async def hang(headers, stream):
        got.append(headers['expect-instance'])
        return world_lib.Answer(ends='hang')

    servers = world_lib.engines(*[(0, 4)] * 5, script=hang)
    for server in servers:
        server.answers_reports = False
    async with world_lib.running(*servers) as world:
        with trio.fail_after(20):
            await ask(world)
    assert 1 <= len(set(got)) <= 2


async def test_an_engine_that_resets_its_connections_is_passed_by(clock):
    # Guards against an engine that listens, and answers nobody, being the
    # first choice of every request.
    async def resets(headers, stream):
        return Answer(ends='reset')

    servers = world_lib.engines((0, 4), (0, 4), (0, 4), script=resets)
    servers[2].script = whole
    async with world_lib.running(*servers) as world:
        for number in range(12):
            await world.ask(
                '/draft/x',
                'POST',
                b'p',
                token_usage='10,10',
                model='m',
                request_id=f'q{number}',
            )
    assert len(servers[2].requests) >= 11
    assert sum(len(server.requests) for server in servers[:2]) <= 4


async def test_a_begun_stream_waits_for_a_stand_in_when_nothing_else_is_left(
    clock,
):
    # Guards against breaking off the last attempt, which helps nobody, while
    # its engine still holds the request.
    async def stalls(headers, stream):
        for piece in start(headers, chunk(event(1))).pieces:
            await stream.send_all(piece)
        servers[0].stalled = [servers[1].address]
        with trio.fail_after(5):
            while not servers[0].orders:
                await trio.sleep(0.01)
        for number in range(2, 6):
            await stream.send_all(chunk(event(number)))
        await stream.send_all(LAST)

    servers = world_lib.engines((0, 2), (2, 4))
    servers[0].script = stalls
    async with world_lib.running(*servers) as world:
        stand_in = world_lib.engines((2, 4))[0]
        stand_in.name = 'stand-in'
        await stand_in.start(world.nursery)

        async def list_later():
            while not servers[0].requests:
                await trio.sleep(0.001)
            await trio.sleep(1.0)
            await world.list_server(stand_in)

        world.nursery.start_soon(list_later)
        status, _, body, is_whole = await ask(world)
    assert (status, body, is_whole) == (200, all_events(), True)
    assert servers[0].orders[0]['path'].endswith(f'{stand_in.address}=2-4')
