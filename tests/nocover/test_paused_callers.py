"""Callers that stop reading for a while, in real time."""

import socket

import trio

from tests.common import gateway_world as world_lib

ANSWER_BYTES = 2 * 1024 * 1024
# Longer than a caller whose machine is gone is kept.
PAUSE_S = 6.0


async def answer_at_length(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    return world_lib.Answer(
        world_lib.head(200, fixed, body=b'x' * ANSWER_BYTES)
    )


# Guards against taking a caller that is there but doesn't read for a lost one.
async def test_a_caller_that_pauses_gets_its_whole_answer():
    server = world_lib.Server('app-0', 'app', answer_at_length)
    config = world_lib.make_config()
    config['limits']['idle_timeout_ms'] = 15000
    async with world_lib.running(server, config=config) as world:
        stream = await world.connect()
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        async with stream:
            await stream.send_all(
                world_lib.make_request('/book/x', 'POST', b'b')
            )
            data = bytearray(await stream.receive_some(100))
            await trio.sleep(PAUSE_S)
            with trio.fail_after(30):
                while data.count(b'x') < ANSWER_BYTES and (
                    more := await stream.receive_some(65536)
                ):
                    data += more
    body = data.partition(b'\r\n\r\n')[2]
    assert body == b'x' * ANSWER_BYTES


# Guards against keeping the answer of a caller that never reads it.
async def test_a_caller_that_takes_nothing_is_given_up_at_the_idle_limit():
    server = world_lib.Server('app-0', 'app', answer_at_length)
    async with world_lib.running(server) as world:
        stream = await world.connect()
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        async with stream:
            await stream.send_all(
                world_lib.make_request('/book/x', 'POST', b'b')
            )
            await stream.receive_some(100)
            with trio.fail_after(20):
                while world.gateway.server.in_flight:
                    await trio.sleep(0.1)
