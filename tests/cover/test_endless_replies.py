"""Replies without end, read by the HTTP client that all parts share."""

import contextlib

import pytest
import trio

from sardinebend_store import connections
from sardinebend_store import errors
from tests.common import gateway_world as world_lib

PIECE_PAUSE_S = 0.002


async def flood(stream, block):
    """Sends until the connection closes."""
    with contextlib.suppress(trio.BrokenResourceError):
        while True:
            await stream.send_all(block)


@contextlib.asynccontextmanager
async def serving(serve):
    """Yields the URL of a server that serves each connection like this."""

    async def serve_one(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
            await serve(stream)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve_one, listeners)
        yield f'http://127.0.0.1:{listeners[0].socket.getsockname()[1]}'
        nursery.cancel_scope.cancel()


async def fetch(url, **options):
    origin = connections.Origin(url)
    try:
        return await origin.exchange('GET', '/', timeout_s=20, **options)
    finally:
        await origin.close()


def endless(head, block):
    """Returns what serves a head and then a block again and again."""

    async def serve(stream):
        await stream.send_all(head)
        await flood(stream, block)

    return serve


# Guards against a sound answer that is given up for the text of its body.
async def test_a_body_that_holds_status_lines_is_an_ordinary_body():
    body = b'HTTP/1.1 100 Continue\r\n' * 20

    async def serve(stream):
        await stream.send_all(world_lib.head(200, [], body=body))

    async with serving(serve) as url:
        assert (await fetch(url)).body == body


# Guards against interim responses without end that no limit counts.
@pytest.mark.parametrize('version', [b'1.0', b'1.1', b'1.9'])
async def test_endless_interim_responses_of_any_version_are_cut_off(version):
    interim = b'HTTP/' + version + b' 103 Early Hints\r\n\r\n'
    async with serving(endless(b'', interim * 100)) as url:
        with pytest.raises(errors.ExchangeFailed, match='interim'):
            await fetch(url)


# Guards against interim responses that come in pieces, each less than a line.
async def test_endless_interim_responses_in_pieces_are_cut_off():
    async def serve(stream):
        while True:
            for piece in (b'HTTP/1', b'.1 100 ', b'Go on\r\n\r\n'):
                await stream.send_all(piece)
                await trio.sleep(PIECE_PAUSE_S)

    async with serving(serve) as url:
        with pytest.raises(errors.ExchangeFailed, match='interim'):
            await fetch(url)
