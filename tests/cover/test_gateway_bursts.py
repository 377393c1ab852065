"""Events of a stream that reach a host faster than it passes them on."""

import contextlib

import pytest
import trio

from tests.common import gateway_world as world_lib

EVENTS = 50
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
