"""Services and engines that stop in the middle of their reply's head."""

import contextlib
import socket

import h11
import pytest
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes
from sardinebend_router import engines
from sardinebend_router import services
from sardinebend_store import connections
from sardinebend_store import errors
from tests.common import gateway_world as world_lib

CALL = services.Call('book', 'text/plain', b'x', '', 'r1')
SPEC = routes.ModelSpec('tide', '1', 2)
ROUTE = routes.PipelineRoute(SPEC, (routes.Stage('e', 0, 2),))
REQUEST = msg.DraftRequest('r', 'vanua', 'f', SPEC, 'p', 4, 100.0)
ORDER = engines.DraftOrder(REQUEST, msg.SendOrder(2, ROUTE, 0, (), 100.0))
LENGTH = b'HTTP/1.1 200 X\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n'
HEADS = {
    'a length': LENGTH + b'\r\n',
    'a length, closing': LENGTH + b'Connection: close\r\n\r\n',
    'a length last': (
        b'HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 3\r\n\r\n'
    ),
    'chunks': b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n',
    'neither, closing': b'HTTP/1.1 200 X\r\nConnection: close\r\n\r\n',
    'lines that end in a line feed': b'HTTP/1.1 200 X\nContent-Length: 3\n\n',
    'an interim response': (
        b'HTTP/1.1 103 X\r\nLink: x\r\n\r\n' + LENGTH + b'\r\n'
    ),
    'version 1.0': b'HTTP/1.0 200 X\r\nContent-Type: text/plain\r\n\r\n',
    # "Not run" mustn't be believed either.
    'a refusal': b'HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n',
}
LINGER_RESET = b'\x01\0\0\0\0\0\0\0'
# A reset at once would discard the bytes before it.
PAUSE_S = 0.002


@contextlib.asynccontextmanager
async def serving(heads, ends):
    """Yields the origin of a server, and the list of the heads to send."""

    async def serve(stream):
        await world_lib.read_request(h11.Connection(h11.SERVER), stream)
        await stream.send_all(heads[-1])
        if ends == 'reset':
            await trio.sleep(PAUSE_S)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield connections.Origin(f'http://127.0.0.1:{port}')
        nursery.cancel_scope.cancel()


def cut(head):
    return [head[:end] for end in range(len(head))]


# Guards against a reply whose head was cut short and that counts as whole, or
# as a refusal of a call that runs.
@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('kind', HEADS)
async def test_a_cut_head_is_no_reply_of_a_service(kind, ends):
    heads = []
    async with serving(heads, ends) as origin:
        for head in cut(HEADS[kind]):
            heads.append(head)
            conn = services.HttpServiceConnection(await origin.connect(1.0))
            with pytest.raises(errors.ExchangeFailed):
                await conn.send(CALL)
            await conn.close()
            # The same for health, load, orders and cancellations.
            with pytest.raises(errors.ExchangeFailed):
                await origin.exchange('GET', '/health', timeout_s=1.0)


@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('kind', HEADS)
async def test_a_cut_head_is_no_reply_of_an_engine(kind, ends):
    heads = []
    async with serving(heads, ends) as origin:
        for head in cut(HEADS[kind]):
            heads.append(head)
            events = []
            pipeline = engines.ForwardingPipeline(
                await origin.connect(1.0), fleet_lib.Fleet()
            )
            await pipeline.run(ORDER, events.append)
            await pipeline.close()
            assert events == [msg.StreamBroken(2)]


# Guards against a body that is cut short and counts as whole.
async def test_a_cut_body_is_no_reply():
    heads = []
    async with serving(heads, 'close') as origin:
        for body in (b'', b'y', b'ye'):
            heads.append(HEADS['a length last'] + body)
            conn = services.HttpServiceConnection(await origin.connect(1.0))
            with pytest.raises(errors.ExchangeFailed):
                await conn.send(CALL)
            await conn.close()


# Such a body ends with its connection; only a reset shows that it was cut.
async def test_a_body_without_a_length_is_whole_unless_it_is_reset():
    heads = [HEADS['neither, closing'] + b'yes']
    async with serving(heads, 'close') as origin:
        conn = services.HttpServiceConnection(await origin.connect(1.0))
        assert (await conn.send(CALL)).body == b'yes'
        await conn.close()
    async with serving(heads, 'reset') as origin:
        conn = services.HttpServiceConnection(await origin.connect(1.0))
        with pytest.raises(errors.ExchangeFailed):
            await conn.send(CALL)
        await conn.close()
