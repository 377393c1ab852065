"""Events of a stream that reach a host faster than it passes them on."""

import contextlib

import h11
import pytest
import trio

from sardinebend_gateway import answer_buffers
from sardinebend_store import connections
from sardinebend_store import reply_heads
from tests.common import gateway_world as world_lib

EVENTS = 50
TINY_CHUNKS = 60_000
PACED_S = 1.0
# The rate of 4,096 a second, and what is joined before it is paced.
MAX_PACED_CHUNKS = 6000
LAST_CHUNK = b'0\r\n\r\n'


def bursting(last):
    """Returns a script that sends all events at once, and then `last`."""

    async def script(headers, stream):
        fixed = [
            ('Request-Id', headers['request-id']),
            ('Content-Type', 'text/event-stream'),
            world_lib.SEAL,
        ]
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        await trio.sleep(0.1)
        chunks = (
            world_lib.chunk(world_lib.event(n + 1)) for n in range(EVENTS)
        )
        await stream.send_all(b''.join(chunks) + last)

    return script


async def read_chunks(world):
    """Returns the chunks of the answer to a stream's request."""
    async with await world.connect() as stream:
        await stream.send_all(
            world_lib.make_request('/draft/x', 'POST', b'x', deadline_ms='4000')
        )
        data = b''
        # A stream that is broken off ends with a reset.
        with contextlib.suppress(trio.BrokenResourceError):
            while LAST_CHUNK not in data:
                received = await stream.receive_some()
                assert received, 'a broken stream ended as if it were whole'
                data += received
    body = data.partition(b'\r\n\r\n')[2]
    chunks = []
    while body:
        size, _, body = body.partition(b'\r\n')
        chunks.append(body[: int(size, 16)])
        body = body[int(size, 16) + 2 :]
    return chunks


# Guards against a host that needs a pass through all of its tasks for each
# event of a stream, so that it falls ever further behind once it is late.
async def test_events_that_have_arrived_together_are_passed_on_together(clock):
    engines = world_lib.engines((0, 4), script=bursting(LAST_CHUNK))
    async with world_lib.running(*engines) as world:
        chunks = await read_chunks(world)
    assert chunks[-1] == b''
    assert b''.join(chunks) == b''.join(
        world_lib.event(n + 1) for n in range(EVENTS)
    )
    assert len(chunks) <= 3


@pytest.mark.parametrize('last', [b'5\r\nid: 5', b'zz\r\n'])
async def test_events_before_a_broken_end_are_passed_on(clock, last):
    engines = world_lib.engines((0, 4), script=bursting(last))
    async with world_lib.running(*engines) as world:
        chunks = await read_chunks(world)
    assert chunks and chunks[-1] != b''
    assert b''.join(chunks).endswith(world_lib.event(EVENTS))


# Guards against an endless answer of tiny chunks that takes the processor of a
# small host, since many of them are joined and paced as one.
@pytest.mark.parametrize('target', ['/look/x', '/draft/x'])
async def test_tiny_chunks_are_paced_by_their_number(
    clock, monkeypatch, target
):
    parsed = [0]
    next_event = h11.Connection.next_event

    def count(conn):
        event = next_event(conn)
        parsed[0] += isinstance(event, h11.Data)
        return event

    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        await stream.send_all(world_lib.chunk(b'x') * TINY_CHUNKS)
        await trio.sleep_forever()

    monkeypatch.setattr(h11.Connection, 'next_event', count)
    server = world_lib.Server('app-1', 'app', script)
    if target.startswith('/draft'):
        (server,) = world_lib.engines((0, 4), script=script)
    async with world_lib.running(server) as world:
        world.nursery.start_soon(world.ask, target, 'POST', b'p')
        await trio.sleep(PACED_S)
        assert answer_buffers.UNPACED_CHUNKS < parsed[0] < MAX_PACED_CHUNKS


# Guards against tasks that wait for as long as a block of tiny chunks takes.
async def test_a_block_of_tiny_chunks_is_not_joined_as_one(clock):
    sizes = []

    async def serve(stream):
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        await stream.receive_some()
        chunks = world_lib.chunk(b'x') * (2 * reply_heads.MAX_JOINED_CHUNKS + 9)
        await stream.send_all(head + chunks + LAST_CHUNK)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        origin = connections.Origin(f'http://{world_lib.IP}:{port}')
        conn = await origin.connect(1.0)
        async with conn.stream('GET', '/') as response:
            sizes = [len(chunk) async for chunk in response.aiter_stream()]
        await conn.close()
        nursery.cancel_scope.cancel()
    assert sum(sizes) == 2 * reply_heads.MAX_JOINED_CHUNKS + 9
    assert max(sizes) <= reply_heads.MAX_JOINED_CHUNKS
