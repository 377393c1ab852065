"""Requests that reach a host as it closes their idle connection."""

import contextlib
import socket

import pytest
import trio

from sardinebend_gateway import caller_connections
from sardinebend_gateway import http_server
from sardinebend_policy import catalog
from tests.common import decision_log
from tests.common import gateway_world as world_lib
from tests.common import waits

# Two reads of a host.
BODY_BYTES = 100_000


async def answer(req, out):
    await out.answer(503 if out.closes_connection else 200, [], b'done')


@contextlib.asynccontextmanager
async def serving(limits):
    """Serves; yields the server and a caller's idle, kept connection."""
    server = http_server.Server(answer, catalog.Limits, limits.wait)
    async with trio.open_nursery() as nursery:
        await server.start(nursery, world_lib.IP, 0)
        sock = socket.create_connection((world_lib.IP, server.port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        conn = trio.socket.from_stdlib_socket(sock)
        async with trio.SocketStream(conn) as stream:
            await stream.send_all(world_lib.make_request(request_id='first'))
            assert (await world_lib.read_answer(stream))[0] == 200
            await trio.sleep(0.1)
            yield server, sock, stream
        nursery.cancel_scope.cancel()


# Guards against a request that is read and dropped, since a host that was held
# up finds the time limit of its idle connection over before it reads the
# socket.
@pytest.mark.parametrize('is_limit_first', [True, False])
async def test_a_request_that_came_before_its_idle_limit_ended_is_answered(
    clock, is_limit_first
):
    limits = waits.Limits()
    async with serving(limits) as (_, sock, stream):
        sock.sendall(world_lib.make_request(request_id='second'))
        if not is_limit_first:
            # The host sees the bytes, but hasn't read them yet.
            await trio.lowlevel.checkpoint()
        limits.end()
        status, _, _, is_whole = await world_lib.read_answer(stream)
    assert (status, is_whole) == (200, True)


# Guards against a 408 for a request that was sent in time, since a host that is
# late finds the limit for its head or body over before it reads the rest.
@pytest.mark.parametrize('in_head', [True, False])
async def test_a_request_whose_rest_came_before_its_limit_ended_is_answered(
    clock, in_head
):
    limits = waits.Limits()
    data = world_lib.make_request(method='POST', body=b'x' * BODY_BYTES)
    size = 20 if in_head else data.index(b'\r\n\r\n') + 10
    async with serving(limits) as (_, sock, stream):
        sock.sendall(data[:size])
        await trio.sleep(0.1)
        sock.sendall(data[size:])
        limits.end()
        status, _, _, is_whole = await world_lib.read_answer(stream)
    assert (status, is_whole) == (200, True)


# Guards against callers that hold a connection for ever, with a byte each time.
@pytest.mark.parametrize('in_head', [True, False])
async def test_a_request_whose_rest_has_not_come_at_its_limit_is_refused(
    clock, in_head
):
    limits = waits.Limits()
    data = world_lib.make_request(method='POST', body=b'x' * BODY_BYTES)
    size = 20 if in_head else data.index(b'\r\n\r\n') + 10
    async with serving(limits) as (_, sock, stream):
        sock.sendall(data[:size])
        await trio.sleep(0.1)
        sock.sendall(data[size : size + 1])
        limits.end()
        status, _, _, is_whole = await world_lib.read_answer(stream)
    assert (status, is_whole) == (408, True)


# Guards against the same at the end of a planned stop.
async def test_a_request_that_came_before_a_stop_closed_it_is_refused(clock):
    async with serving(waits.Limits()) as (server, sock, stream):
        server.close()
        await trio.sleep(http_server.LAST_REQUEST_WAIT_S - 0.01)
        sock.sendall(world_lib.make_request(request_id='second'))
        # The deadline is over before the host has looked at the socket.
        for scope in server._idle_scopes:
            scope.cancel()
        status, headers, _, is_whole = await world_lib.read_answer(stream)
    assert (status, is_whole) == (503, True)
    assert headers['connection'] == 'close'


# Guards against requests that leave no line, since their connection was idle
# until it was closed.
async def test_bytes_that_come_as_an_idle_connection_is_closed_are_logged(
    clock, monkeypatch
):
    limits = waits.Limits()
    with decision_log.collecting() as lines:
        async with serving(limits) as (_, sock, _):
            # As if the answer before hadn't reached its caller yet.
            monkeypatch.setattr(
                caller_connections.caller_sockets,
                'count_unacknowledged_bytes',
                lambda conn: 1,
            )
            limits.end()
            await trio.sleep(0.01)
            sock.sendall(b'GET')
            await trio.sleep(0.1)
    (fields,) = [f for n, f in lines if n == 'connection_closed_unread']
    assert fields['unread_bytes'] == 3
    assert fields['reason'] == 'idle'
    assert 0.1 <= fields['idle_s'] < 0.2
