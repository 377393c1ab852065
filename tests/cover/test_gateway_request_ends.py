"""Tests that each admitted request has one last line, whatever ends it."""

import pytest
import trio

from sardinebend_gateway import events
from sardinebend_gateway import plain
from tests.common import decision_log
from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
LAST_EVENTS = {
    event.name
    for event in (
        events.REQUEST_ENDED,
        events.REQUEST_FAILED,
        events.REQUEST_CANCELLED,
        events.REQUEST_CUT,
    )
}
# The shortest grace period whose end leaves time to accept late callers.
GRACE_S = 3.7


@pytest.fixture(name='lines')
def collect_lines():
    with decision_log.collecting() as lines:
        yield lines


def last_lines(lines, request_id='r1'):
    return [
        (name, fields)
        for name, fields in lines
        if name in LAST_EVENTS and fields['request'] == request_id
    ]


def fields_of(lines, wanted):
    return next(fields for name, fields in lines if name == wanted)


async def begin_and_hang(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    await trio.sleep(0.1)
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    await stream.send_all(world_lib.chunk(world_lib.event(1)))
    return Answer(ends='hang')


async def begin_and_send_much(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    for number in range(1, 2000):
        text = 'x' * 20_000
        await stream.send_all(world_lib.chunk(world_lib.event(number, text)))


async def hang(headers, stream):
    return Answer(ends='hang')


async def begin_request(world, target, wait_for_answer=True, **headers):
    """Returns the connection of a request, once its answer has begun."""
    stream = await world.connect()
    data = world_lib.make_request(
        target, 'POST', b'p', deadline_ms='8000', model='m', **headers
    )
    await stream.send_all(data)
    if wait_for_answer:
        assert b'200' in await stream.receive_some(100)
    return stream


async def wait_for_last_line(lines):
    with trio.fail_after(5):
        while not last_lines(lines):
            await trio.sleep(0.01)


async def stop(world):
    world.gateway.begin_stop()
    with trio.fail_after(GRACE_S + 2):
        while world.gateway.server.in_flight:
            await trio.sleep(0.01)


@pytest.mark.parametrize('target', ['/draft/x', '/book/x'])
async def test_a_caller_that_leaves_has_one_last_line_and_is_counted(
    lines, clock, target
):
    # Guards against streams without a last line: a nursery of which several
    # tasks are cancelled raises a group, which `except Cancelled` misses.
    is_stream = target == '/draft/x'
    servers = [
        *world_lib.engines((0, 4), script=begin_and_hang),
        world_lib.Server('app-1', 'app', hang),
    ]
    async with world_lib.running(*servers) as world:
        stream = await begin_request(world, target, is_stream)
        while not any(server.requests for server in servers):
            await trio.sleep(0.01)
        await trio.sleep(0.1)
        await stream.aclose()
        await wait_for_last_line(lines)
        await trio.sleep(0.05)
        metrics = world.gateway.state.metrics
        route = 'draft' if is_stream else 'book'
        assert metrics.read('requests', route=route, end='caller left') == 1
        assert 'request_interrupted_seconds_count 1' in metrics.render()
    ((name, fields),) = last_lines(lines)
    assert name == 'request_cancelled'
    assert fields['route'] == route
    assert fields['took_s'] > 0
    assert fields['endpoint'] == ('engine-0' if is_stream else 'app-1')
    assert fields['has_begun'] == is_stream
    assert (fields['sent_bytes'] > 0) == is_stream


# Guards against a reset by the host whose only line says that the caller left.
async def test_a_caller_that_the_host_gives_up_leaves_a_reset_in_the_log(
    lines, clock
):
    servers = world_lib.engines((0, 4), script=begin_and_send_much)
    async with world_lib.running(*servers) as world:
        # The idle limit, 2 s, is over before the request's own.
        async with await begin_request(world, '/draft/x'):
            await wait_for_last_line(lines)
    ((name, _),) = last_lines(lines)
    assert name == 'request_cancelled'
    (fields,) = [f for name, f in lines if name == 'connection_reset']
    assert fields['request'] == 'r1'
    assert fields['reason'] == 'caller takes nothing'
    assert not fields['is_answered']
    assert fields['unacknowledged_bytes'] > 0


async def test_a_stream_that_a_stop_cuts_tells_what_it_was_doing(lines, clock):
    # Guards against streams that a planned stop ends without any line.
    servers = world_lib.engines((0, 4), script=begin_and_hang)
    async with world_lib.running(*servers, grace_s=GRACE_S) as world:
        stream = await begin_request(world, '/draft/x')
        await trio.sleep(0.2)
        await stop(world)
        await stream.aclose()
        metrics = world.gateway.state.metrics
        end = 'cut by the end of the host'
        assert metrics.read('requests', route='draft', end=end) == 1
    ((name, fields),) = last_lines(lines)
    assert (name, events.REQUEST_CUT.is_failure) == ('request_cut', True)
    assert fields['route'] == 'draft'
    assert fields['endpoint'] == 'engine-0'
    assert fields['has_begun']
    assert fields['sent_bytes'] > 0
    assert fields['unsent_bytes'] == 0
    assert fields['answered'] is None
    assert -2 < fields['arrived_after_stop_s'] < -0.1
    assert 3.0 < fields['cut_after_stop_s'] < GRACE_S
    assert 3.1 < fields['since_event_s'] < fields['took_s']


async def test_bytes_that_a_slow_caller_leaves_unsent_are_told(lines, clock):
    servers = world_lib.engines((0, 4), script=begin_and_send_much)
    async with world_lib.running(*servers, grace_s=GRACE_S) as world:
        stream = await begin_request(world, '/draft/x')
        await stop(world)
        await stream.aclose()
    ((name, fields),) = last_lines(lines)
    assert name == 'request_cut'
    assert fields['unsent_bytes'] > 0


async def test_a_whole_answer_that_is_left_unsent_is_not_told_as_served(
    lines, clock
):
    # Guards against `request_ended` for a caller that never got the end.
    async def answer_much(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(world_lib.head(200, fixed, body=b'x' * 15_000_000))

    server = world_lib.Server('app-1', 'app', answer_much)
    async with world_lib.running(server, grace_s=GRACE_S) as world:
        stream = await begin_request(world, '/book/x')
        await stop(world)
        await stream.aclose()
    ((name, fields),) = last_lines(lines)
    assert name == 'request_cut'
    assert fields['answered'] == '200'
    assert fields['unsent_bytes'] > 0


async def test_a_host_that_ends_without_a_stop_leaves_a_line(lines, clock):
    servers = world_lib.engines((0, 4), script=begin_and_hang)
    async with world_lib.running(*servers) as world:
        await begin_request(world, '/draft/x')
    ((name, fields),) = last_lines(lines)
    assert name == 'request_cut'
    assert fields['arrived_after_stop_s'] is None
    assert fields['cut_after_stop_s'] is None


async def test_a_served_request_has_one_last_line(lines, clock):
    async with world_lib.running(world_lib.Server('app-1', 'app')) as world:
        assert (await world.ask())[0] == 200
        await wait_for_last_line(lines)
    ((name, fields),) = last_lines(lines)
    assert name == 'request_ended'
    assert fields['status'] == '200'


async def test_the_end_of_a_host_tells_how_many_requests_it_cut(lines, clock):
    servers = world_lib.engines((0, 4), script=begin_and_hang)
    async with world_lib.running(*servers, grace_s=GRACE_S) as world:
        cut = await begin_request(world, '/draft/x')
        head = world_lib.make_request('/book/x', 'POST', content_length='3')
        world.gateway.begin_stop()
        await trio.sleep(2.5)
        half_sent = await world.connect()
        await half_sent.send_all(head)
        with trio.fail_after(5):
            while world.gateway.server.in_flight:
                await trio.sleep(0.01)
        await cut.aclose()
        await half_sent.aclose()
    fields = fields_of(lines, events.STOPPED.name)
    assert (fields['in_flight'], fields['cut']) == (2, 1)
    assert fields['unread_or_refused'] == 1


async def test_a_failed_handler_leaves_lines_with_the_request(
    lines, clock, monkeypatch
):
    # Guards against errors in the log that name no request.
    async def fail(self):
        raise ZeroDivisionError('a bug')

    monkeypatch.setattr(plain.PlainRequestHandler, 'run', fail)
    async with world_lib.running(world_lib.Server('app-1', 'app')) as world:
        assert not (await world.ask())[3]
        await wait_for_last_line(lines)
    ((name, fields),) = last_lines(lines)
    assert name == 'request_failed'
    assert fields['reason'] == 'error in the host: ZeroDivisionError'
    assert fields_of(lines, 'a request handler failed')['request'] == 'r1'
