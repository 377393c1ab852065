"""Endpoints that send bytes without end, in a head or a body."""

import tracemalloc

import pytest
import trio

from tests.common import gateway_world as world_lib

BLOCK = b'x' * 65536
MAX_HELD_BYTES = 64 * 1024 * 1024
AT_ONCE = 50
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


async def flood(stream, block=BLOCK):
    """Sends until the other end closes; returns how many bytes left."""
    sent = 0
    try:
        while True:
            await stream.send_all(block)
            sent += len(block)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return sent


def endless(make_head, block=BLOCK):
    """Returns a script that begins an answer and never ends it."""

    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(make_head(fixed))
        await flood(stream, block)

    return script


def torn_head(fixed):
    return world_lib.head(200, fixed)[:-4] + b'\r\nX-More: '


FLOODS = {
    'chunks': endless(
        lambda f: world_lib.head(200, f, 'chunked'), world_lib.chunk(BLOCK)
    ),
    'no length': endless(lambda f: world_lib.head(200, f, 'none')),
    'a huge length': endless(
        lambda f: world_lib.head(200, [*f, ('Content-Length', '9' * 14)], '')
    ),
    'a failure': endless(lambda f: world_lib.head(500, f, 'none')),
    'a head': endless(torn_head),
    'garbage': endless(lambda f: b''),
    'interim answers': endless(lambda f: b'', INTERIM * 2000),
    'tiny pieces': endless(
        lambda f: world_lib.head(200, f, 'chunked'), b'1\r\nx\r\n' * 8000
    ),
}


@pytest.mark.parametrize('kind', FLOODS)
@pytest.mark.parametrize('target', ['/look/x', '/draft/x'])
async def test_an_answer_without_end_is_cut_off_and_never_looks_whole(
    target, kind
):
    # Guards against a host that reads until its memory is gone.
    bad = world_lib.Server('app-1', 'app', FLOODS[kind])
    if target.startswith('/draft'):
        bad = world_lib.engines((0, 4), script=FLOODS[kind])[0]
    async with world_lib.running(bad) as world:
        with trio.fail_after(30):
            answer = await world.ask(target, 'POST', b'p', model='m')
        assert answer[0] in (0, 502, 504)
        other = world_lib.Server('app-2', 'app')
        await other.start(world.nursery)
        await world.list_server(other)
        while 'app-2' not in world.gateway.state.endpoints.names():
            await trio.sleep(0.005)
        with trio.fail_after(30):
            assert (await world.ask('/book/x', 'POST', b'1'))[0] == 200
        assert world.gateway.state.held_answers.size == 0


async def test_a_repeatable_request_goes_on_after_an_answer_without_end():
    bad = world_lib.Server('app-1', 'app', FLOODS['chunks'])
    async with world_lib.running(bad) as world:
        good = world_lib.Server('app-2', 'app')
        await good.start(world.nursery)

        async def list_good():
            while not bad.requests:
                await trio.sleep(0.001)
            await world.list_server(good)

        world.nursery.start_soon(list_good)
        with trio.fail_after(30):
            assert (await world.ask(deadline_ms='20000'))[0] == 200


async def test_a_stream_that_sends_bytes_and_no_event_is_given_up():
    # Guards against bytes being taken for progress.
    async def drip(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        number = 0
        while True:
            number += 1
            await stream.send_all(world_lib.chunk(b'data: x'))
            await trio.sleep(0.02)

    async def whole(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        events = [world_lib.chunk(world_lib.event(n)) for n in (1, 2)]
        head = world_lib.head(200, fixed, 'chunked')
        return world_lib.Answer(head, *events, b'0\r\n\r\n')

    bad = world_lib.Server('engine-0', 'llm', drip)
    good = world_lib.Server('engine-1', 'llm', whole)
    for server in (bad, good):
        server.span = (0, 4)
    async with world_lib.running(bad) as world:
        await good.start(world.nursery)

        async def list_good():
            while not bad.requests:
                await trio.sleep(0.001)
            await world.list_server(good)

        world.nursery.start_soon(list_good)
        with trio.fail_after(30):
            answer = await world.ask('/draft/x', 'POST', b'p', model='m')
    assert (answer[0], answer[3]) == (200, True)


async def test_a_report_without_end_is_cut_off():
    async def hang(headers, stream):
        return world_lib.Answer(ends='hang')

    async def flood_report(stream):
        await stream.send_all(world_lib.head(200, [], 'none'))
        await flood(stream)

    server = world_lib.engines((0, 4), script=hang)[0]
    server._report = flood_report
    async with world_lib.running(server) as world:
        with trio.fail_after(30):
            answer = await world.ask(
                '/draft/x', 'POST', b'p', model='m', deadline_ms='1500'
            )
    assert answer[0] in (502, 503, 504)


@pytest.mark.parametrize(
    'kind', ['chunks', 'no length', 'a head', 'tiny pieces']
)
async def test_many_answers_without_end_leave_the_memory_bounded(kind):
    # Guards against a bound on each answer that all of them together exceed.
    bad = world_lib.Server('app-1', 'app', FLOODS[kind])
    async with world_lib.running(bad) as world:
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(AT_ONCE):
                    nursery.start_soon(
                        lambda n=number: world.ask(
                            '/book/x', 'POST', b'1', request_id=f'q{n}'
                        )
                    )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < MAX_HELD_BYTES


async def test_a_large_answer_is_served_while_others_have_no_end():
    # Guards against one endpoint's flood costing another's good answer.
    body = b'g' * 200_000

    async def large(headers, stream):
        await trio.sleep(0.2)
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return world_lib.Answer(world_lib.head(200, fixed, body=body))

    config = world_lib.make_config()
    config['services'].append({'name': 'app2', 'health_path': '/healthz'})
    config['routes'][1]['service'] = 'app2'
    bad = world_lib.Server('app-1', 'app', FLOODS['chunks'])
    good = world_lib.Server('app-2', 'app2', large)
    async with world_lib.running(bad, good, config=config) as world:
        answers = []

        async def ask():
            answers.append(await world.ask(deadline_ms='20000'))

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(
                    lambda n=number: world.ask(
                        '/book/x', 'POST', b'1', request_id=f'q{n}'
                    )
                )
            nursery.start_soon(ask)
    assert (answers[0][0], answers[0][2]) == (200, body)
