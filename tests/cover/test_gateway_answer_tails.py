"""Ends of answers whose connection is closed before the caller has read them.

A connection that is closed with unread bytes, or gets bytes after its close, is
reset, which throws away what the caller's machine hasn't received.
"""

import contextlib
import os
import socket

import pytest
import trio

from sardinebend_gateway import caller_connections
from sardinebend_gateway import host_clock
from sardinebend_gateway import http_server
from sardinebend_gateway import metrics
from sardinebend_policy import catalog
from tests.common import gateway_world as world_lib
from tests.common import waits

BODY = b'x' * 1_000_000
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 4096
# What the caller reads before it waits for the host.
READ_FIRST_BYTES = 100_000
LATE_S = 0.3
IDLE_TIMEOUT_S = 2.0
NEXT = world_lib.make_request(request_id='r2')


class Caller:
    """A caller with a small receive buffer that reads late."""

    def __init__(self, port):
        self.received = b''
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        sock.connect((world_lib.IP, port))
        sock.setblocking(False)
        self.fileno = sock.fileno()
        self.stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))

    async def read(self, size=None):
        """Reads until an end or a reset, or until `size` bytes were read."""
        with contextlib.suppress(trio.BrokenResourceError):
            while size is None or len(self.received) < size:
                data = await self.stream.receive_some(READ_BYTES)
                if not data:
                    return
                self.received += data

    async def send(self, data):
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_all(data)


class Host:
    """An HTTP server that answers each request with a large body."""

    def __init__(self, closes, wait_limit=trio.move_on_after):
        self.server = http_server.Server(
            self._answer,
            lambda: catalog.Limits(idle_timeout_s=IDLE_TIMEOUT_S),
            wait_limit,
        )
        self.answered = trio.Event()
        self._closes = closes

    async def _answer(self, req, out):
        out.closes_connection = self._closes
        await out.answer(200, [], BODY)
        self.answered.set()


@contextlib.asynccontextmanager
async def running(closes, wait_limit=trio.move_on_after):
    async with trio.open_nursery() as nursery:
        host = Host(closes, wait_limit)
        await host.server.start(nursery, world_lib.IP, 0)
        yield host
        nursery.cancel_scope.cancel()


async def read_until_answered(host, caller):
    """Reads no more than what lets the host send its whole answer."""
    size = READ_FIRST_BYTES
    while not host.answered.is_set():
        await caller.read(size)
        await trio.sleep(0.01)
        size += READ_BYTES
    assert len(caller.received) < len(BODY)


def check_is_whole(caller):
    _, _, body = caller.received.partition(b'\r\n\r\n')
    assert len(body) == len(BODY)


# Guards against an answer whose end is lost since its caller has sent more than
# the host reads meanwhile.
async def test_unread_bytes_of_a_caller_cost_no_end_of_its_answer(clock):
    async with running(closes=True) as host:
        caller = Caller(host.server.port)
        async with caller.stream, trio.open_nursery() as nursery:
            data = NEXT + bytes(4 * caller_connections.MAX_EARLY_BYTES)
            nursery.start_soon(caller.send, world_lib.make_request() + data)
            await read_until_answered(host, caller)
            await trio.sleep(LATE_S)
            await caller.read()
    check_is_whole(caller)


# Guards against an answer whose end is lost since its caller sends its next
# request before it has read that the connection closes.
async def test_a_request_after_the_close_costs_no_end_of_an_answer(clock):
    async with running(closes=True) as host:
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await read_until_answered(host, caller)
            await trio.sleep(LATE_S)
            await caller.send(NEXT)
            await trio.sleep(LATE_S)
            await caller.read()
    check_is_whole(caller)


# Guards against the same on a kept connection whose time limit passes, or whose
# host ends.
@pytest.mark.parametrize('is_stop', [False, True])
async def test_a_request_to_an_idle_connection_costs_no_end_of_an_answer(
    is_stop, clock
):
    async with running(closes=False) as host:
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await read_until_answered(host, caller)
            if is_stop:
                host.server.close()
                await trio.sleep(http_server.LAST_REQUEST_WAIT_S)
            else:
                await trio.sleep(IDLE_TIMEOUT_S)
            await trio.sleep(LATE_S)
            await caller.send(NEXT)
            await trio.sleep(LATE_S)
            await caller.read()
    check_is_whole(caller)


# Guards against an answer whose end is lost since the host was suspended while
# its caller read it.
async def test_a_pause_of_the_host_costs_no_end_of_an_answer(clock):
    delays = host_clock.HostClock(lambda _: None, metrics.Metrics())
    async with (
        trio.open_nursery() as nursery,
        running(closes=True, wait_limit=delays.move_on_after) as host,
    ):
        nursery.start_soon(delays.run)
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await read_until_answered(host, caller)
            clock.jump(caller_connections.LINGER_S + LATE_S)
            await trio.sleep(LATE_S)
            await caller.send(NEXT)
            await trio.sleep(LATE_S)
            await caller.read()
        nursery.cancel_scope.cancel()
    check_is_whole(caller)


# Guards against the same since the host finds the time for its caller over
# before it has read what the caller sent meanwhile.
async def test_bytes_that_came_before_a_late_close_cost_no_end_of_an_answer(
    clock,
):
    limits = waits.Limits()
    async with running(closes=True, wait_limit=limits.wait) as host:
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await read_until_answered(host, caller)
            await trio.sleep(LATE_S)
            # Without a pass in which the host would read them.
            with socket.socket(fileno=os.dup(caller.fileno)) as sock:
                sock.sendall(NEXT)
            limits.end()
            await trio.sleep(LATE_S)
            await caller.read()
    check_is_whole(caller)


# Guards against callers that hold a connection or a stop for as long as they
# like.
async def test_a_caller_that_never_closes_does_not_hold_a_stop(clock):
    async with running(closes=True) as host:
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await read_until_answered(host, caller)
            host.server.close()
            began_at = trio.current_time()
            await host.server.wait_closed()
            took_s = trio.current_time() - began_at
            await caller.read()
    assert took_s <= caller_connections.LINGER_S + 0.1
    check_is_whole(caller)


async def test_idle_callers_do_not_prolong_a_stop(clock):
    async with running(closes=False) as host:
        callers = [Caller(host.server.port) for _ in range(3)]
        for caller in callers[1:]:
            await caller.send(world_lib.make_request())
            await caller.read(len(BODY))
        await trio.sleep(LATE_S)
        began_at = trio.current_time()
        host.server.close()
        await host.server.wait_closed()
        took_s = trio.current_time() - began_at
        for caller in callers:
            await caller.stream.aclose()
    assert took_s <= http_server.LAST_REQUEST_WAIT_S + 0.05


# Guards against a caller whose bytes never end.
async def test_a_caller_that_goes_on_sending_is_cut_off(monkeypatch):
    monkeypatch.setattr(caller_connections, 'LINGER_S', 0.2)
    async with running(closes=True) as host:
        caller = Caller(host.server.port)
        async with caller.stream:
            await caller.send(world_lib.make_request())
            await caller.read()
            with trio.fail_after(5.0), pytest.raises(trio.BrokenResourceError):
                while True:
                    await caller.stream.send_all(bytes(100_000))
        await host.server.wait_closed()
