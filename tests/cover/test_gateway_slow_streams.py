"""Tests of slow healthy streams, and of stalled ones that still send bytes."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
LAST_CHUNK = b'0\r\n\r\n'
EVENTS = 5
LIMIT_S = 8.0


async def send_head(headers, stream):
    fixed_headers = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    await stream.send_all(world_lib.head(200, fixed_headers, 'chunked'))
    return int(headers.get('last-event-id', 0))


def paced(gap_s, first_s=None):
    """Returns a script that sends events with a fixed gap between them."""

    async def script(headers, stream):
        last_id = await send_head(headers, stream)
        for number in range(last_id + 1, EVENTS + 1):
            is_first = number == last_id + 1 and first_s is not None
            await trio.sleep(first_s if is_first else gap_s)
            await stream.send_all(chunk(event(number)))
        return Answer(LAST_CHUNK)

    return script


def ask(world, **headers):
    fixed_headers = {'deadline_ms': str(int(LIMIT_S * 1000)), **headers}
    return world.ask(
        '/draft/x',
        'POST',
        b'p',
        token_usage='10,10',
        model='m',
        **fixed_headers,
    )


def join_all_events():
    return b''.join(event(n) for n in range(1, EVENTS + 1))


@pytest.mark.parametrize('engines', [1, 2])
@pytest.mark.parametrize('gap_s', [0.3, 0.9, 1.2, 1.5])
async def test_a_slow_healthy_stream_is_delivered_completely(
    gap_s, engines, clock
):
    # Guards against moving a stream that is merely slow until its attempts are
    # exhausted and it is aborted.
    servers = world_lib.engines(*[(0, 4)] * engines, script=paced(gap_s))
    async with world_lib.running(*servers) as world:
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)


async def test_the_last_attempt_is_not_aborted_only_because_it_is_slow(clock):
    # Both engines send the first event at once and then take 1.5 s per event.
    servers = world_lib.engines((0, 4), (0, 4), script=paced(1.5, first_s=0.05))
    async with world_lib.running(*servers) as world:
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert sum(len(server.requests) for server in servers) <= 2


async def test_a_slow_stream_stays_at_its_engine_if_the_retry_budget_is_empty(
    clock,
):
    # Guards against ending an attempt before checking that the retry budget
    # allows another.
    servers = world_lib.engines((0, 4), (0, 4), script=paced(1.5, first_s=0.05))
    async with world_lib.running(
        *servers, extra_retries=0, retry_ratio=0.0
    ) as world:
        status, _, body, is_complete = await ask(world)
    assert (status, body, is_complete) == (200, join_all_events(), True)
    assert sum(len(server.requests) for server in servers) == 1


def send_without_progress(data):
    """Returns a script that sends one event and then bytes without progress."""

    async def script(headers, stream):
        last_id = await send_head(headers, stream)
        await stream.send_all(chunk(event(last_id + 1)))
        while True:
            await trio.sleep(0.3)
            await stream.send_all(chunk(data))

    return script


NO_PROGRESS = {
    'comments': b': still here\n\n',
    'empty data': b'data:\n\n',
    'data without an id': b'data: x\n\n',
    'an empty event': b'\n\n',
    'bytes of an endless event': b'data: x\n',
}


@pytest.mark.parametrize('kind', NO_PROGRESS)
async def test_a_stream_is_moved_off_an_engine_that_sends_no_progress(
    kind, clock
):
    # Guards against treating occasional bytes of a stalled stream as progress.
    servers = world_lib.engines(
        (0, 4), script=send_without_progress(NO_PROGRESS[kind])
    )
    async with world_lib.running(*servers) as world:
        healthy = world_lib.engines((0, 4), script=paced(0.05))[0]
        healthy.name = 'good'
        await healthy.start(world.nursery)

        async def list_healthy():
            while not servers[0].requests:
                await trio.sleep(0.001)
            await world.list_server(healthy)

        world.nursery.start_soon(list_healthy)
        started = trio.current_time()
        status, _, body, is_complete = await ask(world)
        took_s = trio.current_time() - started
    assert (status, is_complete) == (200, True)
    assert [n for n in range(1, 6) if event(n) in body] == [1, 2, 3, 4, 5]
    assert healthy.requests[0][2]['last-event-id'] == '1'
    # Callers disconnect 2 s after the last event.
    assert took_s < 2.5


@pytest.mark.parametrize('kind', NO_PROGRESS)
async def test_a_stream_without_progress_ends_at_its_deadline(kind, clock):
    servers = world_lib.engines(
        (0, 4), script=send_without_progress(NO_PROGRESS[kind])
    )
    async with world_lib.running(*servers) as world:
        with trio.fail_after(LIMIT_S + 1):
            _, _, _, is_complete = await ask(world)
    assert not is_complete


async def test_an_engine_that_stalls_several_streams_becomes_unhealthy(clock):
    stalling = world_lib.engines(
        (0, 4), script=send_without_progress(NO_PROGRESS['comments'])
    )[0]
    healthy = world_lib.engines((0, 4), script=paced(0.05))[0]
    healthy.name = 'good'
    async with world_lib.running(stalling, healthy) as world:
        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(
                    lambda n=number: ask(world, request_id=f'q{n}')
                )
        assert stalling.requests
        count_before = len(stalling.requests)
        state = world.gateway.state
        endpoint = state.endpoints.get(stalling.name)
        assert state.endpoints.is_unhealthy(endpoint, trio.current_time())
        assert (await ask(world, request_id='p1'))[3]
        assert len(stalling.requests) == count_before
