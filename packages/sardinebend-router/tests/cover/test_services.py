"""Replies of services that may be those to earlier calls."""

import contextlib

import pytest
import trio

from sardinebend_router import services
from sardinebend_store import connections
from sardinebend_store import errors

CALL = services.Call('book', 'text/plain', b'x', '', 'r1')
REFUSAL = b'HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\nno'
CLOSING = REFUSAL.replace(b'409 X', b'409 X\r\nConnection: close')
DONE = b'HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nyes'


@contextlib.asynccontextmanager
async def connected(*pieces):
    """Yields a connection to a service that answers with these bytes."""

    async def serve(stream):
        await stream.receive_some(65536)
        for piece in pieces:
            await stream.send_all(piece)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        origin = connections.Origin(f'http://127.0.0.1:{port}')
        connection = services.HttpServiceConnection(await origin.connect(1.0))
        yield connection
        await connection.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'pieces', [(REFUSAL + DONE,), (CLOSING + DONE,), (REFUSAL, DONE)]
)
async def test_a_refusal_that_another_reply_follows_is_no_reply(pieces):
    # Guards against "not run" for a booking whose reply was on its way.
    async with connected(*pieces) as connection:
        with pytest.raises(errors.ExchangeFailed):
            await connection.send(CALL)


@pytest.mark.parametrize(
    ('pieces', 'status'),
    [((REFUSAL,), 409), ((CLOSING,), 409), ((DONE + REFUSAL,), 200)],
)
async def test_bytes_after_a_reply_leave_it_as_it_is_if_it_is_no_refusal(
    pieces, status
):
    async with connected(*pieces) as connection:
        assert (await connection.send(CALL)).status == status
