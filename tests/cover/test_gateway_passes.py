"""How many passes through its tasks a host needs; a late one makes few."""

import socket

import trio

from sardinebend_gateway import http_server
from tests.common import gateway_world as world_lib

CALLERS = 20
# Passes of the host, and as many of the test before each.
MAX_PASSES = 6


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
