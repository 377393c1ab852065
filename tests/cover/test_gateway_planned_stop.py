"""Tests of planned stops whose signal is handled late, on the virtual clock."""

import pytest
import trio

from sardinebend_policy import service_times
from tests.common import gateway_world as world_lib

GRACE_S = 8.0
# Requests that were sent later than this after the signal may not be cut.
EXCUSED_S = 3.0
STREAM_S = 6.0
EVENT_S = 0.25


async def send_stream(headers, stream):
    fixed_headers = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    await stream.send_all(world_lib.head(200, fixed_headers, 'chunked'))
    for number in range(1, int(STREAM_S / EVENT_S) + 1):
        await trio.sleep(EVENT_S)
        await stream.send_all(world_lib.chunk(world_lib.event(number)))
    return world_lib.Answer(b'0\r\n\r\n')


async def ask(world, port, request_id):
    """Returns whether a stream was answered completely."""
    data = world_lib.make_request(
        '/draft/x', 'POST', b'p', request_id=request_id, deadline_ms='8000'
    )
    try:
        async with await trio.open_tcp_stream(world_lib.IP, port) as stream:
            await stream.send_all(data)
            return (await world_lib.read_answer(stream))[3]
    except OSError:
        return False


# Guards against streams that are accepted later than 3 s after the signal was
# sent and cut at the end of the grace period.
@pytest.mark.parametrize('late_s', [0.0, 0.3, 0.5])
async def test_a_stream_is_not_cut_if_the_stop_began_late(late_s, clock):
    server = world_lib.Server('llm-0', 'llm', send_stream)
    config = world_lib.make_config()
    config['services'][1].pop('engine')
    async with world_lib.running(
        server, config=config, grace_s=GRACE_S
    ) as world:
        port = world.gateway.server.port
        # Keeps the host busy for most of its grace period.
        world.nursery.start_soon(ask, world, port, 'first')
        await trio.sleep(0.1)
        signal_at = trio.current_time()
        await trio.sleep(late_s)
        world.gateway.begin_stop()
        await trio.sleep_until(signal_at + EXCUSED_S + 0.2)
        is_whole = await ask(world, port, 'late')
    was_passed_on = 'late' in [r[2]['request-id'] for r in server.requests]
    assert is_whole or not was_passed_on


async def send_short_stream(headers, stream):
    first = int(headers.get('last-event-id', 0)) + 1
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    if 'x-unknown' in headers:
        return world_lib.Answer(world_lib.head(404, fixed))
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    for number in range(first, 4):
        await trio.sleep(EVENT_S)
        await stream.send_all(world_lib.chunk(world_lib.event(number)))
    return world_lib.Answer(b'0\r\n\r\n')


async def ask_after_others(status=200, **headers):
    """Returns the status of a stream during a stop, after served ones.

    Its deadline comes after the end of the grace period.

    Args:
        status: Status of the ones before.
        **headers: Their headers.
    """
    server = world_lib.Server('llm-0', 'llm', send_short_stream)
    config = world_lib.make_config()
    config['services'][1].pop('engine')
    async with world_lib.running(
        server, config=config, grace_s=GRACE_S
    ) as world:
        for number in range(service_times.MIN_SAMPLES):
            answer = await world.ask(
                '/draft/x',
                'POST',
                b'p',
                request_id=f'before-{number}',
                deadline_ms='8000',
                **headers,
            )
            assert answer[0] == status
        world.gateway.begin_stop()
        answer = await world.ask(
            '/draft/x', 'POST', b'p', request_id='new', deadline_ms='8000'
        )
    return answer[0]


# Guards against a stopping host that refuses what it can expect to end.
async def test_a_stream_that_is_expected_to_end_in_time_is_served(clock):
    assert await ask_after_others() == 200


# Guards against predictions from streams of which only the rest was served.
async def test_resumed_streams_are_no_reason_to_expect_a_short_one(clock):
    assert await ask_after_others(last_event_id='2') == 503


# Guards against predictions from requests that failed at once.
async def test_failures_are_no_reason_to_expect_a_short_stream(clock):
    assert await ask_after_others(404, x_unknown='1') == 503


async def keep_silent(headers, stream):
    await trio.sleep_forever()


# Guards against requests that a stopping host has taken, and whose connections
# it only closes at the end of the grace period: their servers were silent.
@pytest.mark.parametrize(
    ('kind', 'sent_after_s'),
    [('draft', 1.5), ('draft', -0.5), ('look', -0.5), ('book', -0.5)],
)
async def test_a_request_is_answered_before_the_end_though_servers_are_silent(
    kind, sent_after_s, clock
):
    server = world_lib.Server('server-0', 'llm', send_short_stream)
    server.service = 'llm' if kind == 'draft' else 'app'
    config = world_lib.make_config()
    config['services'][1].pop('engine')
    for route in config['routes']:
        route['timeout_ms'] = 20000
    async with world_lib.running(
        server, config=config, grace_s=GRACE_S
    ) as world:
        for number in range(service_times.MIN_SAMPLES):
            # So that the host expects the next stream to be short.
            if kind == 'draft':
                await world.ask(
                    '/draft/x', 'POST', b'p', request_id=f'before-{number}'
                )
        stream = await world.connect()
        server.script = keep_silent
        signal_at = trio.current_time() + max(0.0, -sent_after_s)
        data = world_lib.make_request(
            f'/{kind}/x', 'POST', b'p', request_id='last', deadline_ms='10000'
        )
        if sent_after_s < 0:
            await stream.send_all(data)
        await trio.sleep_until(signal_at)
        world.gateway.begin_stop()
        if sent_after_s > 0:
            await trio.sleep(sent_after_s)
            await stream.send_all(data)
        with trio.fail_after(GRACE_S):
            status, _, _, is_whole = await world_lib.read_answer(stream, 'POST')
        await stream.aclose()
    assert server.requests[-1][2]['request-id'] == 'last'
    assert (status, is_whole) == (504, True)
    assert trio.current_time() <= signal_at + GRACE_S
