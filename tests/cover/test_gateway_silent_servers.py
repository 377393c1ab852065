"""A sound server may fall silent for a second or so and go on."""

import pytest
import trio

from tests.common import gateway_world as world_lib
from tests.common import silence
from tests.common import silent_servers

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
LAST_CHUNK = b'0\r\n\r\n'
EVENTS = 20
EVENT_S = 0.1
SILENCE_S = 1.1
# Silence begins once some events have been delivered.
BEGUN_S = 0.55


class Server(silence.Silence, world_lib.Server):
    pass


async def stream_events(headers, stream):
    fixed = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    first = int(headers.get('last-event-id', 0)) + 1
    for number in range(first, EVENTS + 1):
        await trio.sleep(EVENT_S)
        await stream.send_all(chunk(event(number)))
    return Answer(LAST_CHUNK)


async def refuse(headers, stream):
    fixed = [('Request-Id', headers['request-id']), ('Not-Executed', '1')]
    return Answer(world_lib.head(503, fixed))


def make_engines(*scripts):
    servers = []
    for number, script in enumerate(scripts):
        server = Server(f'engine-{number}', 'llm', script)
        server.span = (0, 4)
        servers.append(server)
    return servers


def join_all_events():
    return b''.join(event(n) for n in range(1, EVENTS + 1))


async def ask(world, answers, number):
    answers[number] = await world.ask(
        '/draft/x',
        'POST',
        b'p',
        token_usage='10,10',
        model='m',
        deadline_ms='8000',
        request_id=f'q{number}',
    )


def assert_all_whole(answers, count):
    assert len(answers) == count
    for status, _, body, is_complete in answers.values():
        assert (status, is_complete) == (200, True)
        assert body == join_all_events()


# Guards against ending an attempt for a silence and finding only then that the
# retry budget allows no other one.
@pytest.mark.parametrize('silence_s', [0.8, SILENCE_S, 1.6])
async def test_streams_outlive_a_silence_whatever_the_retry_budget(
    silence_s, clock
):
    servers = make_engines(stream_events, stream_events)
    answers = {}
    async with world_lib.running(
        *servers, extra_retries=3, retry_ratio=0.0
    ) as world:
        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, world, answers, number)
            await trio.sleep(BEGUN_S)
            for server in servers:
                server.fall_silent(silence_s)
    assert_all_whole(answers, 8)


# Guards against ending an attempt for a silence before another engine has
# accepted the stream.
@pytest.mark.parametrize('silence_s', [SILENCE_S, 1.6])
async def test_a_stream_outlives_a_silence_if_all_other_engines_refuse_it(
    silence_s, clock
):
    servers = make_engines(stream_events, refuse, refuse)
    answers = {}
    async with world_lib.running(*servers) as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, answers, 0)
            while not servers[0].requests:
                await trio.sleep(0.01)
            await trio.sleep(BEGUN_S)
            servers[0].fall_silent(silence_s)
    assert_all_whole(answers, 1)


# Guards against two attempts that end each other as both deliver the first
# event before the answer has begun.
@pytest.mark.parametrize('number', range(5))
async def test_one_of_two_attempts_that_deliver_at_once_goes_on(number, clock):
    arrivals = []
    both_wait = trio.Event()

    async def send_at_once(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        arrivals.append(headers)
        if len(arrivals) == 2:
            await trio.sleep(EVENT_S)
            both_wait.set()
        await both_wait.wait()
        events = [chunk(event(n)) for n in range(1, EVENTS + 1)]
        return Answer(events[0], EVENT_S, *events[1:], LAST_CHUNK)

    servers = make_engines(*[send_at_once] * 4)
    answers = {}
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, answers, 0)
            while not arrivals:
                await trio.sleep(0.01)
            [first] = [server for server in servers if server.requests]
            state.record_silence(state.endpoints.get(first.name), 'test')
    assert len(arrivals) == 2
    assert_all_whole(answers, 1)


# Guards against a stream that is cut because one of its attempts delivers the
# first event as the other one answers the request without a stream.
@pytest.mark.parametrize('passes', range(10))
async def test_a_stream_goes_on_beside_another_answer_at_once(passes, clock):
    arrivals = []
    both_wait = trio.Event()

    async def stream_or_answer(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        arrivals.append(headers)
        if len(arrivals) == 2:
            await trio.sleep(EVENT_S)
            both_wait.set()
            return Answer(world_lib.head(404, fixed))
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        await both_wait.wait()
        for _ in range(passes):
            await trio.lowlevel.checkpoint()
        events = [chunk(event(n)) for n in range(1, EVENTS + 1)]
        return Answer(events[0], EVENT_S, *events[1:], LAST_CHUNK)

    servers = make_engines(*[stream_or_answer] * 4)
    answers = {}
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, answers, 0)
            while not arrivals:
                await trio.sleep(0.01)
            [first] = [server for server in servers if server.requests]
            state.record_silence(state.endpoints.get(first.name), 'test')
    assert len(arrivals) == 2
    [(status, _, body, is_whole)] = answers.values()
    assert is_whole
    assert (status, bool(body)) in ((200, True), (404, False))


# Guards against taking away the streams of an engine to which another request
# can't connect, for instance because this host's own link is busy.
async def test_a_stream_goes_on_though_connects_to_its_engine_time_out(
    clock, monkeypatch
):
    engine, full = make_engines(stream_events, refuse)
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)
    answers, others = {}, {}
    async with world_lib.running(engine) as world:
        await full.start(world.nursery)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, answers, 0)
            while not engine.requests:
                await trio.sleep(0.01)
            await trio.sleep(BEGUN_S)
            blocked.add(engine.address)
            nursery.start_soon(ask, world, others, 1)
            await trio.sleep(EVENT_S)
            # Where the stream could go on, as far as this host knows.
            await world.list_server(full)
    assert others[1][0] == 503
    assert_all_whole(answers, 1)
    ids = [r[2]['request-id'] for r in (*engine.requests, *full.requests)]
    assert ids.count('q0') == 1


# Guards against more engines than the route allows, because a probe that timed
# out was taken for the end of an engine.
async def test_engines_that_only_time_out_count_as_attempts(clock, monkeypatch):
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)

    async def reset_midway(headers, stream):
        blocked.add(headers['hop-count'].partition('=')[0])
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        first = int(headers.get('last-event-id', 0)) + 1
        return Answer(
            world_lib.head(200, fixed, 'chunked'),
            chunk(event(first)),
            ends='reset',
        )

    servers = make_engines(*[reset_midway] * 5)
    answers = {}
    async with world_lib.running(*servers) as world:
        await ask(world, answers, 0)
    assert sum(bool(server.requests) for server in servers) <= 2


# Guards against avoiding an engine for seconds on a silence that has ended.
async def test_an_engine_is_used_again_once_it_has_ended_its_silence(clock):
    servers = make_engines(stream_events, stream_events)
    answers = {}
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, world, answers, number)
            await trio.sleep(BEGUN_S)
            for server in servers:
                server.fall_silent(SILENCE_S)
            await trio.sleep(SILENCE_S + 0.6)
            usable = state.endpoints.list_usable('llm', trio.current_time())
            assert {e.endpoint_id for e in usable} == {'engine-0', 'engine-1'}
    assert_all_whole(answers, 8)


async def answer_after_silence(headers, stream):
    body = b'found'
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    return Answer(world_lib.head(200, fixed, body=body))


# Guards against dropping the attempt at a silent server for a refused one.
async def test_a_lookup_is_answered_by_the_server_that_was_silent(clock):
    slow = Server('app-0', 'app', answer_after_silence)
    async with world_lib.running(slow) as world:
        full = [Server(f'app-{n}', 'app', refuse) for n in (1, 2)]

        async def list_full_servers():
            while not slow.dropped and trio.current_time() < began_at + 0.1:
                await trio.sleep(0.01)
            for server in full:
                await server.start(world.nursery)
                await world.list_server(server)

        began_at = trio.current_time()
        slow.fall_silent(1.2)
        world.nursery.start_soon(list_full_servers)
        status, _, body, is_complete = await world.ask(deadline_ms='1900')
    assert (status, body, is_complete) == (200, b'found', True)


# Guards against a host whose own link is busy, and which makes itself and all
# others avoid one sound engine after the other.
async def test_a_host_to_which_all_are_silent_does_not_doubt_them_all(
    clock, monkeypatch
):
    servers = make_engines(*[stream_events] * 6)
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)
    answers = {}
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        blocked |= {server.address for server in servers}
        async with trio.open_nursery() as nursery:
            for number in range(12):
                nursery.start_soon(ask, world, answers, number)
        state = world.gateway.state
        usable = state.endpoints.list_usable('llm', trio.current_time())
        assert len(usable) >= 4
        assert len(state.unreachable.recent(trio.current_time())) <= 2
        blocked.clear()
        answers.clear()
        await ask(world, answers, 0)
    assert_all_whole(answers, 1)


# Guards against a request that spends the retry budget of all on an engine that
# refuses it again and again.
async def test_a_refused_stream_leaves_the_retry_budget_to_others(clock):
    servers = make_engines(refuse)
    answers = {}
    async with world_lib.running(*servers, extra_retries=50) as world:
        await ask(world, answers, 0)
    assert answers[0][0] == 503
    assert len(servers[0].requests) <= 2
