"""Tests of streams through engines: forwarding, repair, resume, abort."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
LAST_CHUNK = b'0\r\n\r\n'


def begin_stream(headers, *pieces, ends='close', framing='chunked'):
    fixed_headers = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    first = world_lib.head(200, fixed_headers, framing)
    return Answer(first, *pieces, ends=ends)


async def send_remaining_events(headers, stream):
    last_id = int(headers.get('last-event-id', 0))
    events = [chunk(event(n)) for n in range(last_id + 1, 6)]
    return begin_stream(headers, *events, LAST_CHUNK)


def ask(world):
    return world.ask('/draft/x', 'POST', b'p', token_usage='10,10', model='m')


def join_all_events():
    return b''.join(event(n) for n in range(1, 6))


async def test_a_stream_passes_every_layer_once_and_is_complete():
    servers = world_lib.engines((0, 2), (2, 4), script=send_remaining_events)
    async with world_lib.running(*servers) as world:
        status, headers, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert headers['response-seal'] == 'a.b.c'
    sent_headers = servers[0].requests[0][2]
    first, second = servers
    assert (
        sent_headers['hop-count'] == f'{first.address}=0-2,{second.address}=2-4'
    )
    assert sent_headers['token-usage'] == '10,10'
    assert servers[1].requests == []


async def test_events_received_in_pieces_are_forwarded_complete():
    async def send_in_pieces(headers, stream):
        data = join_all_events()
        pieces = [chunk(data[n : n + 7]) for n in range(0, len(data), 7)]
        return begin_stream(headers, *pieces, LAST_CHUNK)

    servers = world_lib.engines((0, 4), script=send_in_pieces)
    async with world_lib.running(*servers) as world:
        assert (await ask(world))[2:] == (join_all_events(), True)


async def test_a_stream_is_resumed_elsewhere_when_its_first_engine_fails():
    async def fail_after_two_events(headers, stream):
        servers[0].close()
        return begin_stream(
            headers,
            chunk(event(1)),
            chunk(event(2) + b'id: 3\nda'),
            ends='reset',
        )

    servers = world_lib.engines((0, 4), (0, 4), script=send_remaining_events)
    servers[0].script = fail_after_two_events
    async with world_lib.running(*servers) as world:
        world.gateway.state.mark_unhealthy(
            world.gateway.state.endpoints.get('engine-1'), 'test', False
        )
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert servers[1].requests[0][2]['last-event-id'] == '2'


async def test_a_stream_is_repaired_when_a_later_engine_of_its_path_fails():
    repaired = trio.Event()

    async def stall_until_repaired(headers, stream):
        answer = begin_stream(headers, chunk(event(1)))
        for piece in answer.pieces:
            await stream.send_all(piece)
        servers[0].stalled = [servers[1].address]
        with trio.fail_after(5):
            while not servers[0].orders:
                await trio.sleep(0.01)
        repaired.set()
        for number in range(2, 6):
            await stream.send_all(chunk(event(number)))
        await stream.send_all(LAST_CHUNK)

    servers = world_lib.engines((0, 2), (2, 4), (2, 4))
    servers[0].script = stall_until_repaired
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        state.mark_unhealthy(state.endpoints.get('engine-2'), 'test', False)
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    order = servers[0].orders[0]
    assert order['operation'] == 'repath'
    assert order['id'] == 'r1'
    assert order['path'].endswith(f'{servers[2].address}=2-4')


async def test_a_stream_that_cannot_be_resumed_is_not_ended_as_complete():
    async def reset_after_an_event(headers, stream):
        return begin_stream(headers, chunk(event(1)), ends='reset')

    servers = world_lib.engines((0, 4), script=reset_after_an_event)
    async with world_lib.running(*servers) as world:
        status, _, body, is_complete = await ask(world)
    assert (status, is_complete) == (200, False)
    assert body in (event(1), b'')


async def test_a_stream_that_ends_within_an_event_is_not_complete():
    async def end_within_an_event(headers, stream):
        return begin_stream(headers, chunk(event(1) + b'id: 2\nda'), LAST_CHUNK)

    servers = world_lib.engines((0, 4), script=end_within_an_event)
    async with world_lib.running(*servers) as world:
        assert (await ask(world))[3] is False


# A stream with neither a length nor chunks can't show its end otherwise.
async def test_an_unframed_stream_is_complete_when_its_connection_ends():
    async def send_unframed(headers, stream):
        return begin_stream(headers, join_all_events(), framing='')

    servers = world_lib.engines((0, 4), script=send_unframed)
    async with world_lib.running(*servers) as world:
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)


@pytest.mark.parametrize('ends', ['close', 'reset'])
async def test_an_unframed_stream_that_ends_within_an_event_is_resumed(ends):
    async def end_within_an_event(headers, stream):
        data = event(1) + event(2) + b'id: 3\nda'
        return begin_stream(headers, data, ends=ends, framing='')

    servers = world_lib.engines((0, 4), (0, 4), script=send_remaining_events)
    servers[0].script = end_within_an_event
    async with world_lib.running(*servers) as world:
        world.gateway.state.mark_unhealthy(
            world.gateway.state.endpoints.get('engine-1'), 'test', False
        )
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert [len(s.requests) for s in servers] == [1, 1]


async def test_a_repeated_event_is_not_forwarded():
    async def repeat_an_event(headers, stream):
        return begin_stream(
            headers,
            chunk(event(1)),
            chunk(event(2)),
            chunk(event(2)),
            LAST_CHUNK,
        )

    servers = world_lib.engines((0, 4), script=repeat_an_event)
    async with world_lib.running(*servers) as world:
        _, _, body, is_complete = await ask(world)
    assert is_complete is False
    assert body.count(event(2)) <= 1


async def test_the_last_event_id_of_the_caller_is_forwarded():
    servers = world_lib.engines((0, 4), script=send_remaining_events)
    async with world_lib.running(*servers) as world:
        _, _, body, _ = await world.ask(
            '/draft/x', 'POST', b'p', token_usage='10,10', last_event_id='3'
        )
    assert body == event(4) + event(5)


async def test_only_drafts_are_refused_when_no_engine_holds_a_layer():
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
async def test_a_refused_path_is_replaced_and_the_engine_at_fault_is_avoided(
    status,
):
    async def refuse_paths_through_engine_1(headers, stream):
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
        return await send_remaining_events(headers, stream)

    servers = world_lib.engines(
        (0, 2), (2, 4), (2, 4), script=refuse_paths_through_engine_1
    )
    async with world_lib.running(*servers) as world:
        for _ in range(4):
            answer = await ask(world)
            assert (answer[0], answer[2]) == (200, join_all_events())
    assert len(servers[0].requests) <= 5


async def test_a_stream_ends_when_its_caller_disconnects():
    disconnected = trio.Event()

    async def wait_for_disconnect(headers, stream):
        for piece in begin_stream(headers, chunk(event(1))).pieces:
            await stream.send_all(piece)
        assert await stream.receive_some(1) == b''
        disconnected.set()

    servers = world_lib.engines((0, 4), script=wait_for_disconnect)
    async with world_lib.running(*servers) as world:
        stream = await world.connect()
        await stream.send_all(
            world_lib.make_request('/draft/x', 'POST', token_usage='1,1')
        )
        await stream.receive_some(10)
        await stream.aclose()
        with trio.fail_after(5):
            await disconnected.wait()
        while world.gateway.state.inflight.requests:
            await trio.sleep(0.01)


async def test_the_lease_holder_places_layers_on_empty_engines():
    servers = [world_lib.Server(f'engine-{n}', 'llm') for n in range(2)]
    async with world_lib.running(*servers) as world:
        with trio.fail_after(20):
            while not all(server.orders for server in servers):
                await trio.sleep(0.02)
        assert world.gateway.placement_controller.holds_lease
    for server in servers:
        order = server.orders[0]
        assert order['operation'] == 'place'
        assert order['expected'] == 0
        assert 0 <= order['from'] < order['target'] <= world_lib.LAYERS


async def test_unresponsive_engines_count_against_the_limit_on_attempts():
    # Guards against sending one request to more engines than its route allows.
    # That happened when unhealthy engines were treated as ended ones, which
    # don't count against the limit.
    instances = []

    async def hang(headers, stream):
        instances.append(headers['expect-instance'])
        return world_lib.Answer(ends='hang')

    servers = world_lib.engines(*[(0, 4)] * 5, script=hang)
    for server in servers:
        server.answers_reports = False
    async with world_lib.running(*servers) as world:
        with trio.fail_after(20):
            await ask(world)
    assert 1 <= len(set(instances)) <= 2


async def test_an_engine_that_resets_its_connections_is_avoided(clock):
    # Guards against preferring an engine for every request that accepts
    # connections but never answers.
    async def reset_at_once(headers, stream):
        return Answer(ends='reset')

    servers = world_lib.engines((0, 4), (0, 4), (0, 4), script=reset_at_once)
    servers[2].script = send_remaining_events
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


async def test_a_started_stream_waits_for_a_replacement_if_no_other_path_exists(
    clock,
):
    # Guards against aborting the last attempt while its engine still holds the
    # request, since the caller gains nothing from that.
    async def stall_until_repaired(headers, stream):
        for piece in begin_stream(headers, chunk(event(1))).pieces:
            await stream.send_all(piece)
        servers[0].stalled = [servers[1].address]
        with trio.fail_after(5):
            while not servers[0].orders:
                await trio.sleep(0.01)
        for number in range(2, 6):
            await stream.send_all(chunk(event(number)))
        await stream.send_all(LAST_CHUNK)

    servers = world_lib.engines((0, 2), (2, 4))
    servers[0].script = stall_until_repaired
    async with world_lib.running(*servers) as world:
        replacement = world_lib.engines((2, 4))[0]
        replacement.name = 'stand-in'
        await replacement.start(world.nursery)

        async def list_replacement():
            while not servers[0].requests:
                await trio.sleep(0.001)
            await trio.sleep(1.0)
            await world.list_server(replacement)

        world.nursery.start_soon(list_replacement)
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert servers[0].orders[0]['path'].endswith(f'{replacement.address}=2-4')
