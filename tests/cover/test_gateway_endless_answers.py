"""Tests of endpoints that send endless answers, in the head or the body."""

import tracemalloc

import pytest
import trio

from tests.common import gateway_world as world_lib

BLOCK = b'x' * 65536
MAX_HELD_BYTES = 64 * 1024 * 1024
CONCURRENT_REQUESTS = 50
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


async def flood(stream, block=BLOCK):
    """Sends until the connection closes; returns the number of bytes sent."""
    sent_bytes = 0
    try:
        while True:
            await stream.send_all(block)
            sent_bytes += len(block)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return sent_bytes


def make_endless(make_head, block=BLOCK):
    """Returns a script that starts an answer and never ends it."""

    async def script(headers, stream):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(make_head(fixed_headers))
        await flood(stream, block)

    return script


def incomplete_head(fixed_headers):
    return world_lib.head(200, fixed_headers)[:-4] + b'\r\nX-More: '


ENDLESS_ANSWERS = {
    'chunks': make_endless(
        lambda h: world_lib.head(200, h, 'chunked'), world_lib.chunk(BLOCK)
    ),
    'no length': make_endless(lambda h: world_lib.head(200, h, 'none')),
    'a huge length': make_endless(
        lambda h: world_lib.head(200, [*h, ('Content-Length', '9' * 14)], '')
    ),
    'a failure': make_endless(lambda h: world_lib.head(500, h, 'none')),
    'a head': make_endless(incomplete_head),
    'garbage': make_endless(lambda h: b''),
    'interim answers': make_endless(lambda h: b'', INTERIM * 2000),
    'tiny pieces': make_endless(
        lambda h: world_lib.head(200, h, 'chunked'), b'1\r\nx\r\n' * 8000
    ),
}


@pytest.mark.parametrize('kind', ENDLESS_ANSWERS)
@pytest.mark.parametrize('target', ['/look/x', '/draft/x'])
async def test_an_endless_answer_is_cut_off_and_never_passed_on_as_complete(
    target, kind
):
    # Guards against a host that buffers an endless answer until it runs out of
    # memory.
    endless_server = world_lib.Server('app-1', 'app', ENDLESS_ANSWERS[kind])
    if target.startswith('/draft'):
        endless_server = world_lib.engines(
            (0, 4), script=ENDLESS_ANSWERS[kind]
        )[0]
    async with world_lib.running(endless_server) as world:
        with trio.fail_after(30):
            answer = await world.ask(target, 'POST', b'p', model='m')
        assert answer[0] in (0, 502, 504)
        healthy_server = world_lib.Server('app-2', 'app')
        await healthy_server.start(world.nursery)
        await world.list_server(healthy_server)
        while 'app-2' not in world.gateway.state.endpoints.names():
            await trio.sleep(0.005)
        with trio.fail_after(30):
            assert (await world.ask('/book/x', 'POST', b'1'))[0] == 200
        assert world.gateway.state.answer_buffers.size == 0


async def test_a_repeatable_request_is_retried_after_an_endless_answer():
    endless_server = world_lib.Server('app-1', 'app', ENDLESS_ANSWERS['chunks'])
    async with world_lib.running(endless_server) as world:
        healthy_server = world_lib.Server('app-2', 'app')
        await healthy_server.start(world.nursery)

        async def list_healthy_server():
            while not endless_server.requests:
                await trio.sleep(0.001)
            await world.list_server(healthy_server)

        world.nursery.start_soon(list_healthy_server)
        with trio.fail_after(30):
            assert (await world.ask(deadline_ms='20000'))[0] == 200


async def test_a_stream_that_sends_bytes_but_no_event_is_moved():
    # Guards against treating received bytes as progress.
    async def send_incomplete_event(headers, stream):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(world_lib.head(200, fixed_headers, 'chunked'))
        number = 0
        while True:
            number += 1
            await stream.send_all(world_lib.chunk(b'data: x'))
            await trio.sleep(0.02)

    async def send_complete_stream(headers, stream):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        events = [world_lib.chunk(world_lib.event(n)) for n in (1, 2)]
        head = world_lib.head(200, fixed_headers, 'chunked')
        return world_lib.Answer(head, *events, b'0\r\n\r\n')

    endless_server = world_lib.Server('engine-0', 'llm', send_incomplete_event)
    healthy_server = world_lib.Server('engine-1', 'llm', send_complete_stream)
    for server in (endless_server, healthy_server):
        server.span = (0, 4)
    async with world_lib.running(endless_server) as world:
        await healthy_server.start(world.nursery)

        async def list_healthy_server():
            while not endless_server.requests:
                await trio.sleep(0.001)
            await world.list_server(healthy_server)

        world.nursery.start_soon(list_healthy_server)
        with trio.fail_after(30):
            answer = await world.ask('/draft/x', 'POST', b'p', model='m')
    assert (answer[0], answer[3]) == (200, True)


async def test_an_endless_report_is_cut_off():
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
async def test_memory_stays_bounded_under_many_endless_answers(kind):
    # Guards against a limit that applies to each answer but not to their total.
    endless_server = world_lib.Server('app-1', 'app', ENDLESS_ANSWERS[kind])
    async with world_lib.running(endless_server) as world:
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(CONCURRENT_REQUESTS):
                    nursery.start_soon(
                        lambda n=number: world.ask(
                            '/book/x', 'POST', b'1', request_id=f'q{n}'
                        )
                    )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < MAX_HELD_BYTES


async def test_a_large_answer_is_served_while_other_answers_are_endless():
    # Guards against dropping a valid answer because another endpoint's answers
    # are endless.
    body = b'g' * 200_000

    async def send_large_answer(headers, stream):
        await trio.sleep(0.2)
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return world_lib.Answer(world_lib.head(200, fixed_headers, body=body))

    config = world_lib.make_config()
    config['services'].append({'name': 'app2', 'health_path': '/healthz'})
    config['routes'][1]['service'] = 'app2'
    endless_server = world_lib.Server('app-1', 'app', ENDLESS_ANSWERS['chunks'])
    healthy_server = world_lib.Server('app-2', 'app2', send_large_answer)
    async with world_lib.running(
        endless_server, healthy_server, config=config
    ) as world:
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
