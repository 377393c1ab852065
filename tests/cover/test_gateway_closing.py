"""Connections of callers around the end of a planned stop."""

import trio

from sardinebend_gateway import caller_connections
from sardinebend_gateway import http_server
from sardinebend_policy import catalog
from sardinebend_policy import planned_stop
from sardinebend_store import feeds
from tests.common import gateway_world as world_lib

REFUSING_S = planned_stop.LATE_CALLERS_S + 0.1
# More than the buffers of a connection take by themselves.
LARGE_EVENTS = 12
LARGE_EVENT_BYTES = 8000
READS_LATE_S = 9.0


def stream_script(duration_s):
    """Returns a script of a server that streams an event each 0.1 s."""

    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        pieces = [world_lib.head(200, fixed, 'chunked')]
        for number in range(1, int(duration_s / 0.1) + 1):
            pieces += [0.1, world_lib.chunk(world_lib.event(number))]
        return world_lib.Answer(*pieces, b'0\r\n\r\n')

    return script


async def begin_stream(world, answers, request_id='long'):
    """Starts a stream; returns once it is in flight."""

    async def ask():
        answers.append(
            await world.ask(
                '/draft/x',
                'POST',
                b'x',
                request_id=request_id,
                deadline_ms='8000',
            )
        )

    world.nursery.start_soon(ask)
    while not world.gateway.server.in_flight:
        await trio.sleep(0.01)


# Guards against new connections that a stopping host closes unread, since the
# caller can't tell that nothing ran.
async def test_a_request_on_a_new_connection_is_refused_while_streams_end(
    clock,
):
    answers = []
    engines = world_lib.engines((0, 4), script=stream_script(5.0))
    async with world_lib.running(*engines) as world:
        await begin_stream(world, answers)
        world.gateway.begin_stop()
        await trio.sleep(REFUSING_S)
        async with await world.connect() as stream:
            await trio.sleep(0.1)
            await stream.send_all(world_lib.make_request(request_id='late'))
            status, headers, _, is_whole = await world_lib.read_answer(stream)
        assert (status, is_whole) == (503, True)
        assert headers['connection'] == 'close'
        assert 'retry-after' in headers
        while not answers:
            await trio.sleep(0.01)
    assert answers[0][0] == 200
    assert answers[0][3]


# Guards against kept connections that a stopping host closes while their next
# request is on its way.
async def test_a_request_on_a_kept_connection_is_refused_while_streams_end(
    clock,
):
    answers = []
    engines = world_lib.engines((0, 4), script=stream_script(5.0))
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app, *engines) as world:
        await begin_stream(world, answers)
        async with await world.connect() as stream:
            await stream.send_all(world_lib.make_request(request_id='first'))
            assert (await world_lib.read_answer(stream))[0] == 200
            world.gateway.begin_stop()
            # The limit for idle connections is 2 s.
            await trio.sleep(1.9)
            await stream.send_all(world_lib.make_request(request_id='second'))
            second = await world_lib.read_answer(stream)
        assert second[0] == 200
        assert second[1]['connection'] == 'close'
        async with await world.connect() as stream:
            await trio.sleep(1.9)
            await stream.send_all(world_lib.make_request(request_id='third'))
            assert (await world_lib.read_answer(stream))[0] == 503
    assert len(app.requests) == 2


# Guards against a request that is read and then dropped with its connection,
# since the time limit for idle connections passed while the host was held up.
async def test_a_request_that_came_before_a_host_was_held_up_is_answered(
    clock,
):
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app) as world:
        sock = world_lib.socket.socket()
        sock.connect((world_lib.IP, world.gateway.server.port))
        sock.setblocking(False)
        conn = trio.socket.from_stdlib_socket(sock)
        async with trio.SocketStream(conn) as stream:
            await stream.send_all(world_lib.make_request(request_id='first'))
            assert (await world_lib.read_answer(stream))[0] == 200
            # Callers use connections again after up to 0.8 of the limit of 2 s.
            await trio.sleep(1.6)
            # Sent without letting the host run.
            sock.sendall(world_lib.make_request(request_id='second'))
            clock.jump(0.5)
            assert (await world_lib.read_answer(stream))[0] == 200


# Guards against an answer that is complete at the host and is cut at the end of
# a planned stop, since its caller reads slowly.
async def test_a_caller_that_reads_late_gets_an_answer_that_was_complete(clock):
    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        pieces = [world_lib.head(200, fixed, 'chunked')]
        padding = b': ' + bytes(LARGE_EVENT_BYTES).replace(b'\0', b'x') + b'\n'
        for number in range(1, LARGE_EVENTS + 1):
            event = padding + world_lib.event(number)
            pieces += [0.1, world_lib.chunk(event)]
        return world_lib.Answer(*pieces, b'0\r\n\r\n')

    engines = world_lib.engines((0, 4), script=script)
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, engines)
        await world.start()
        sock = world_lib.socket.socket()
        sock.setsockopt(
            world_lib.socket.SOL_SOCKET, world_lib.socket.SO_RCVBUF, 4096
        )
        sock.connect((world_lib.IP, world.gateway.server.port))
        sock.setblocking(False)
        conn = trio.socket.from_stdlib_socket(sock)
        async with trio.SocketStream(conn) as stream:
            await stream.send_all(
                world_lib.make_request(
                    '/draft/x', 'POST', b'x', deadline_ms='20000'
                )
            )
            await trio.sleep(0.5)
            world.gateway.begin_stop()
            # The idle limit, at which a caller that takes nothing is given up,
            # is shorter than a stop.
            await trio.sleep(READS_LATE_S)
            status, _, body, is_whole = await world_lib.read_answer(stream)
        nursery.cancel_scope.cancel()
    assert (status, is_whole) == (200, True)
    assert body.endswith(world_lib.event(LARGE_EVENTS))


# Guards against a host that refuses requests until its grace period ends and
# so starts again later than it could.
async def test_refused_requests_do_not_prolong_a_planned_stop(clock):
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, [world_lib.Server('app-1', 'app')])
        await world.start()
        ended = trio.Event()

        async def ask_again_and_again():
            while True:
                await trio.sleep(0.01)
                try:
                    await world.ask()
                except OSError:
                    ended.set()
                    return

        for _ in range(4):
            nursery.start_soon(ask_again_and_again)
        began_at = trio.current_time()
        world.gateway.begin_stop()
        await ended.wait()
        assert trio.current_time() - began_at < REFUSING_S + 1.0
        nursery.cancel_scope.cancel()


# Guards against callers that hold a stop by keeping their connections open.
async def test_callers_that_never_close_do_not_prolong_a_planned_stop(clock):
    config = world_lib.make_config()
    config['limits']['idle_timeout_ms'] = 60000
    streams = []
    async with trio.open_nursery() as nursery:
        server = world_lib.Server('app-1', 'app')
        world = world_lib.World(nursery, [server])
        await world.start(config)

        async def ask_and_stay():
            stream = await world.connect()
            streams.append(stream)
            await stream.send_all(world_lib.make_request())
            return await world_lib.read_answer(stream)

        ended = trio.Event()

        async def wait_until_closed():
            await world.gateway.server.wait_closed()
            ended.set()

        for _ in range(3):
            assert 'connection' not in (await ask_and_stay())[1]
        began_at = trio.current_time()
        world.gateway.begin_stop()
        for _ in range(3):
            assert (await ask_and_stay())[1]['connection'] == 'close'
        nursery.start_soon(wait_until_closed)
        await trio.sleep_until(began_at + REFUSING_S - 0.2)
        assert (await ask_and_stay())[1]['connection'] == 'close'
        await ended.wait()
        took_s = trio.current_time() - began_at
        for stream in streams:
            await stream.aclose()
        nursery.cancel_scope.cancel()
    assert took_s < REFUSING_S + caller_connections.LINGER_S


# Guards against connections that are reset because they weren't accepted yet
# when the host stopped accepting.
async def test_connections_that_wait_to_be_accepted_are_still_served(nursery):
    async def handle(req, out):
        await out.answer(503, [], b'')

    server = http_server.Server(handle, catalog.Limits)
    await server.start(nursery, world_lib.IP, 0)
    streams = []
    port = server.port
    for _ in range(5):
        # Connects without letting the server accept.
        sock = world_lib.socket.socket()
        sock.connect((world_lib.IP, port))
        sock.sendall(world_lib.make_request())
        sock.setblocking(False)
        streams.append(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
    server.close()
    for stream in streams:
        async with stream:
            assert (await world_lib.read_answer(stream))[0] == 503
    with trio.fail_after(5):
        await server.wait_closed()


class FailingFeeds(feeds.MemoryFeeds):
    """A store whose writes raise an unexpected error when told to."""

    fails = False

    async def write(self, *args):
        if self.fails:
            raise RuntimeError('unexpected')
        return await super().write(*args)


# Guards against streams that are cut because a task that runs only at the
# beginning of a stop fails.
async def test_an_error_while_a_host_announces_its_stop_cuts_no_stream(clock):
    answers = []
    engines = world_lib.engines((0, 4), script=stream_script(3.0))
    store = FailingFeeds()
    async with world_lib.running(*engines, store=store) as world:
        await begin_stream(world, answers)
        store.fails = True
        world.gateway.begin_stop()
        while not answers:
            await trio.sleep(0.01)
    assert answers[0][0] == 200
    assert answers[0][3]
