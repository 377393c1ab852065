"""Tests of request bodies that come in very small chunks."""

import functools

import trio

from sardinebend_gateway import http_server
from sardinebend_gateway import request_bodies
from sardinebend_policy import catalog

IP = '127.0.0.1'
CALLERS = 20
# All of it is on its way before the host reads the first byte.
CHUNKS = 30_000
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
# Chunks of all connections that are decoded before other tasks run.
MAX_CHUNKS_IN_A_PASS = 16_384


class Server:
    """Answers with the size of the body; records what was read in a pass."""

    def __init__(self):
        self.read_bytes = 0
        self.most_in_a_pass = 0

    async def serve(self, req, out):
        await out.answer(200, [], b'%d' % req.content.size)

    async def watch(self):
        while True:
            before = self.read_bytes
            await trio.lowlevel.checkpoint()
            self.most_in_a_pass = max(
                self.most_in_a_pass, self.read_bytes - before
            )


async def ask(port, answers):
    async with await trio.open_tcp_stream(IP, port) as stream:
        await stream.send_all(HEAD + b'1\r\nc\r\n' * CHUNKS + b'0\r\n\r\n')
        answers.append(bytes(await stream.receive_some(4096)))


# Guards against tiny chunks that keep all other requests of a host waiting.
async def test_tiny_chunks_of_many_callers_leave_turns_to_others(monkeypatch):
    server = Server()
    add = request_bodies.Body.add

    def count(body, data):
        server.read_bytes += len(data)
        add(body, data)

    monkeypatch.setattr(request_bodies.Body, 'add', count)
    limits = catalog.Limits(idle_timeout_s=120.0)
    answers = []
    async with trio.open_nursery() as nursery:
        http = http_server.Server(server.serve, lambda: limits)
        await http.start(nursery, IP, 0)
        nursery.start_soon(server.watch)
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(functools.partial(ask, http.port, answers))
        nursery.cancel_scope.cancel()
    assert len(answers) == CALLERS
    assert all(answer.endswith(b'\r\n\r\n30000') for answer in answers)
    assert server.most_in_a_pass <= MAX_CHUNKS_IN_A_PASS
