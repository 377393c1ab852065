"""How many passes through its tasks a host needs; a late one makes few."""

import contextlib
import itertools
import socket

import pytest
import trio

from sardinebend_gateway import caller_connections
from sardinebend_gateway import heartbeats
from sardinebend_gateway import http_server
from sardinebend_peers import codec
from sardinebend_peers import messages
from sardinebend_policy import catalog
from sardinebend_store import connections
from tests.common import gateway_world as world_lib

CALLERS = 20
# Passes of the host, and as many of the test before each.
MAX_PASSES = 6
BODY_BYTES = 4 * 1024 * 1024
HEARTBEAT = messages.LoadHeartbeat('host-2', 'i', False, (), b'')


class AcceptsInPasses(trio.abc.Instrument):
    """Counts the connections of a server after each pass through all tasks.

    A task can't count them, since tasks take turns in any order: another may
    run twice between two of its own turns.
    """

    def __init__(self, server):
        self._server = server
        self.accepted = [0]

    def before_io_wait(self, timeout):
        self.accepted.append(len(self._server._callers))


async def answer(req, out):
    await out.answer(200, [], b'done')


# Guards against connections that pile up at a host whose passes take long, as
# each of them accepts one.
async def test_connections_that_wait_are_accepted_together():
    server = http_server.Server(answer)
    async with trio.open_nursery() as nursery:
        await server.start(nursery, world_lib.IP, 0)
        address = (world_lib.IP, server.port)
        callers = [socket.create_connection(address) for _ in range(CALLERS)]
        for _ in range(MAX_PASSES):
            await trio.lowlevel.checkpoint()
        accepted = len(server._callers)
        for caller in callers:
            caller.close()
        nursery.cancel_scope.cancel()
    assert accepted == CALLERS


# Guards against a flood of connections that lets no other task run: new ones
# may come as fast as they are accepted.
async def test_other_tasks_run_between_many_accepts():
    server = http_server.Server(answer)
    passes = AcceptsInPasses(server)
    async with trio.open_nursery() as nursery:
        await server.start(nursery, world_lib.IP, 0)
        address = (world_lib.IP, server.port)
        callers = [
            socket.create_connection(address)
            for _ in range(2 * http_server.MAX_ACCEPTED_AT_A_TIME)
        ]
        trio.lowlevel.add_instrument(passes)
        while passes.accepted[-1] < len(callers):
            await trio.lowlevel.checkpoint()
        trio.lowlevel.remove_instrument(passes)
        for caller in callers:
            caller.close()
        nursery.cancel_scope.cancel()
    steps = [b - a for a, b in itertools.pairwise(passes.accepted)]
    # The connection that was waited for is one more.
    assert max(steps) <= http_server.MAX_ACCEPTED_AT_A_TIME + 1


# Guards against connects that time out only since the host needs many passes to
# notice that they have succeeded.
async def test_a_connect_needs_few_passes():
    passes = 0

    async def count_passes():
        nonlocal passes
        while True:
            await trio.lowlevel.checkpoint()
            passes += 1

    listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
    port = listeners[0].socket.getsockname()[1]
    origin = connections.Origin(f'http://{world_lib.IP}:{port}')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_passes)
        await trio.lowlevel.checkpoint()
        before = passes
        conn = await origin.connect(1.0)
        needed = passes - before
        await conn.close()
        nursery.cancel_scope.cancel()
    await listeners[0].aclose()
    assert needed <= MAX_PASSES / 2


# Guards against heartbeats that pile up at a host whose passes take long, so
# that it goes by loads, crashes and leaving hosts of many seconds before.
async def test_heartbeats_that_wait_are_applied_together(clock, monkeypatch):
    applied = []
    monkeypatch.setattr(
        heartbeats.Heartbeats, '_apply', lambda _, message: applied.append(1)
    )
    port = world_lib.free_port()
    data = codec.encode(codec.Envelope(0, False, HEARTBEAT))
    async with world_lib.running(heartbeat_port=port):
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            for _ in range(CALLERS):
                sock.sendto(data, (world_lib.IP, port))
        for _ in range(MAX_PASSES):
            await trio.lowlevel.checkpoint()
    assert len(applied) == CALLERS


class PunctualCaller(trio.abc.Instrument):
    """Sends all that the kernel takes before each pass; counts the passes."""

    def __init__(self, address, data):
        self._sock = socket.create_connection(address)
        self._sock.setblocking(False)
        self._left = memoryview(data)
        self.passes = 0

    def before_io_wait(self, timeout):
        self.passes += 1
        with contextlib.suppress(BlockingIOError):
            while self._left:
                self._left = self._left[self._sock.send(self._left) :]

    def close(self):
        self._sock.close()


async def count_passes_for_body(framing, data):
    """Returns how many passes a server makes to read a body."""
    read = trio.Event()
    sizes = []

    async def note_size(req, out):
        sizes.append(req.content.size)
        read.set()
        await out.answer(200, [], b'done')

    limits = catalog.Limits(max_body_bytes=BODY_BYTES)
    server = http_server.Server(note_size, lambda: limits)
    async with trio.open_nursery() as nursery:
        await server.start(nursery, world_lib.IP, 0)
        head = b'POST / HTTP/1.1\r\nhost: h\r\n' + framing + b'\r\n\r\n'
        caller = PunctualCaller((world_lib.IP, server.port), head + data)
        trio.lowlevel.add_instrument(caller)
        await read.wait()
        trio.lowlevel.remove_instrument(caller)
        caller.close()
        nursery.cancel_scope.cancel()
    assert sizes == [BODY_BYTES]
    return caller.passes


BODIES = [
    (b'content-length: %d' % BODY_BYTES, b'x' * BODY_BYTES),
    (
        b'transfer-encoding: chunked',
        world_lib.chunk(b'x' * BODY_BYTES) + b'0\r\n\r\n',
    ),
]


# Guards against callers whose time is over before a late host has read the
# body that they have sent.
@pytest.mark.parametrize(('framing', 'data'), BODIES)
async def test_a_large_body_is_read_in_few_passes(framing, data):
    passes = await count_passes_for_body(framing, data)
    assert passes <= 4 * MAX_PASSES


# Guards against a fast caller that lets no other task run.
@pytest.mark.parametrize(('framing', 'data'), BODIES)
async def test_other_tasks_run_while_a_large_body_is_read(
    framing, data, monkeypatch
):
    at_a_time = 2 * caller_connections.READ_BYTES
    monkeypatch.setattr(
        caller_connections, 'MAX_READ_AT_A_TIME_BYTES', at_a_time
    )
    passes = await count_passes_for_body(framing, data)
    assert passes >= BODY_BYTES / (at_a_time + caller_connections.READ_BYTES)
