"""Tests of the memory that request bodies take."""

import contextlib
import tracemalloc

import pytest
import trio

from sardinebend_adapter import node_settings
from sardinebend_gateway import request_bodies
from sardinebend_gateway import settings as settings_lib
from tests.common import gateway_world as world_lib

MB = 1_000_000
MEMORY_MB = 16.0
BUDGET_BYTES = int(MEMORY_MB * request_bodies.MIN_MEMORY_SHARE * MB)
BODY = b'x' * 400_000
CALLERS = 30
# What the hosts' sockets, parsers and records of requests may take besides.
OVERHEAD_BYTES = 4 * MB
# A caller sends slowly, for longer than a host lingers and less than its limit
# for a whole body.
PIECE_BYTES = 20_000
PIECE_S = 0.08
ALLOWED_BODY_BYTES = 4_000_000


class HoldingServer(world_lib.Server):
    """Answers when it is told to; keeps the sizes of bodies only."""

    def __init__(self, name='app-1'):
        super().__init__(name, 'app', self.hold)
        self.released = trio.Event()

    async def hold(self, headers, stream):
        method, target, names, body = self.requests[-1]
        self.requests[-1] = (method, target, names, len(body))
        await self.released.wait()
        return await self.serve(headers, stream)


@contextlib.asynccontextmanager
async def running(*servers, memory_mb=MEMORY_MB):
    config = world_lib.make_config()
    config['limits']['max_body_bytes'] = ALLOWED_BODY_BYTES
    for route in config['routes']:
        route['timeout_ms'] = 30_000
    async with world_lib.running(
        *servers, config=config, memory_mb=memory_mb
    ) as world:
        yield world


async def ask(world, answers, body, number=0):
    head = make_head(len(body), f'r{number}')
    async with await world.connect() as stream:
        # Sent apart, since a copy would count as memory too.
        await stream.send_all(head)
        await stream.send_all(body)
        answers.append(await world_lib.read_answer(stream))


def make_head(size, request_id):
    return world_lib.make_request(
        '/book/x',
        'POST',
        content_length=str(size),
        request_id=request_id,
        deadline_ms=30000,
    )


async def fill(world, answers, server):
    """Sends large bodies until the budget has no room for another."""
    number = 0
    held = -1
    while len(server.requests) != held or held < 0:
        held = len(server.requests)
        if answers:
            return
        world.nursery.start_soon(ask, world, answers, BODY, number)
        number += 1
        while len(server.requests) == held and not answers:
            await trio.sleep(0.01)


def make_chunks(body):
    pieces = [
        world_lib.chunk(body[start : start + PIECE_BYTES])
        for start in range(0, len(body), PIECE_BYTES)
    ]
    return [*pieces, b'0\r\n\r\n']


def make_chunked_head(request_id):
    return world_lib.make_request(
        '/book/x', 'POST', transfer_encoding='chunked', request_id=request_id
    )


# Guards against a burst of large bodies that takes a host over its memory
# limit, which ends it with all that it serves.
async def test_bodies_take_no_more_memory_than_the_host_has_for_them(clock):
    server = HoldingServer()
    answers = []
    async with running(server) as world:
        tracemalloc.start()
        try:
            for number in range(CALLERS):
                world.nursery.start_soon(ask, world, answers, BODY, number)
            await trio.sleep(2.0)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        # The bodies that the server here receives are counted too.
        assert peak_bytes < 2 * BUDGET_BYTES + OVERHEAD_BYTES
        refused = list(answers)
        assert refused
        server.released.set()
        while len(answers) < CALLERS:
            await trio.sleep(0.01)
        bodies = world.gateway.state.request_bodies
        assert 0 < bodies.peak <= BUDGET_BYTES
        assert bodies.size == 0
        metrics = world.gateway.state.metrics
        counted = metrics.read('requests', end='no_memory_for_body')
    for status, headers, _, is_whole in refused:
        assert (status, is_whole) == (503, True)
        assert 0 < float(headers['retry-after']) < 10
        assert headers['request-id']
    assert len(server.requests) + len(refused) == CALLERS == len(answers)
    assert counted == len(refused)
    assert {size for *_, size in server.requests} == {len(BODY)}


# Guards against small requests that are refused while a few large ones hold all
# the memory.
async def test_small_bodies_fit_while_large_ones_take_all_the_room(clock):
    server = HoldingServer()
    answers = []
    async with running(server) as world:
        await fill(world, answers, server)
        assert [answer[0] for answer in answers] == [503]
        sent = len(server.requests)
        for number in range(4):
            body = b'x' * request_bodies.SMALL_BODY_BYTES
            world.nursery.start_soon(ask, world, answers, body, 100 + number)
        await trio.sleep(0.5)
        assert len(server.requests) == sent + 4
        server.released.set()
        while len(answers) < sent + 5:
            await trio.sleep(0.01)
    assert [answer[0] for answer in answers].count(200) == sent + 4


# Guards against a refusal that a caller can't receive since the host has closed
# while the caller still sends, and against a connection on which the rest of a
# refused body is read as the next request.
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_a_caller_that_sends_slowly_gets_its_refusal_and_may_go_on(
    clock, is_chunked
):
    server = HoldingServer()
    answers = []
    async with running(server) as world:
        await fill(world, answers, server)
        sent = len(server.requests)
        stream = await world.connect()
        if is_chunked:
            await stream.send_all(make_chunked_head('late'))
            pieces = make_chunks(BODY)
        else:
            pieces = [make_head(len(BODY), 'late')]
            pieces += [
                BODY[start : start + PIECE_BYTES]
                for start in range(0, len(BODY), PIECE_BYTES)
            ]
        for piece in pieces:
            await stream.send_all(piece)
            await trio.sleep(PIECE_S)
        status, headers, _, is_whole = await world_lib.read_answer(stream)
        assert (status, is_whole) == (503, True)
        assert 'retry-after' in headers
        assert 'connection' not in headers
        assert len(server.requests) == sent
        server.released.set()
        await stream.send_all(world_lib.make_request(request_id='next'))
        assert (await world_lib.read_answer(stream))[0] == 200
        await stream.aclose()


# Guards against a connection that is kept though its caller, which waited with
# its body, may send it or the next request.
async def test_a_caller_that_waits_with_its_body_is_refused_and_closed(clock):
    server = HoldingServer()
    answers = []
    async with running(server) as world:
        await fill(world, answers, server)
        request = world_lib.make_request(
            '/book/x', 'POST', BODY, expect='100-continue'
        )
        stream = await world.connect()
        await stream.send_all(request[: -len(BODY)])
        status, headers, _, _ = await world_lib.read_answer(stream)
        assert (status, headers['connection']) == (503, 'close')
        assert not await stream.receive_some(1)


# Guards against memory that is lost with callers that leave.
async def test_the_room_of_callers_that_leave_is_given_back(clock):
    server = HoldingServer()
    async with running(server) as world:
        bodies = world.gateway.state.request_bodies
        request = world_lib.make_request('/book/x', 'POST', BODY)
        for size in (len(request), len(request) - len(BODY) // 2):
            stream = await world.connect()
            await stream.send_all(request[:size])
            while not bodies.size:
                await trio.sleep(0.01)
            await stream.aclose()
            while bodies.size:
                await trio.sleep(0.01)
    assert bodies.peak == len(BODY)


# Guards against a body in many tiny pieces that takes far more than its size.
def test_a_body_in_tiny_pieces_takes_no_more_than_its_bytes():
    budget = request_bodies.RequestBodies(lambda: 4 * MB)
    body = request_bodies.Body(budget)
    tracemalloc.start()
    try:
        for _ in range(len(BODY)):
            body.add(b'x')
        body.finish()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert b''.join(body.pieces) == BODY
    assert held_bytes < 1.1 * len(BODY)
    body.release()
    assert budget.size == 0


# Guards against a host that takes its limit from somewhere else.
def test_the_memory_limit_is_that_of_the_platforms_settings():
    text = """
        node_name = "n"
        zone = "z"
        ip = "127.0.0.1"
        internal_ports = [1, 2]
        [listen]
        frontend = "127.0.0.1:3"
        readiness = "127.0.0.1:4"
        control = "127.0.0.1:5"
        directory = "127.0.0.1:6"
        [platform]
        address = "127.0.0.1:7"
        [limits]
        memory_mb = 300
    """
    host = node_settings.parse(text).host
    assert host.memory_mb == 300.0
    assert request_bodies.make_limit(host.memory_mb) == 200 * MB
    without = text.replace('memory_mb = 300', '')
    default = settings_lib.HostSettings('-', '-', host.callers).memory_mb
    assert node_settings.parse(without).host.memory_mb == default
    for size_mb in (64, 300, 4000):
        assert 0 < request_bodies.make_limit(size_mb) < size_mb * MB
