"""Replies without end, read by the HTTP client that all parts share."""

import contextlib
import tracemalloc

import pytest
import trio

from sardinebend_adapter import store_client
from sardinebend_store import connections
from sardinebend_store import errors
from tests.common import gateway_world as world_lib

MB = 1024 * 1024
PIECE_PAUSE_S = 0.002
OK_HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
UNFRAMED_HEAD = OK_HEAD + b'Connection: close\r\n\r\n'


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


# Guards against tiny chunks that take far more memory than their bytes.
async def test_a_reply_of_tiny_chunks_takes_little_more_than_its_bytes():
    block = b'2\r\nxy\r\n' * 1000
    async with serving(endless(CHUNKED_HEAD, block)) as url:
        tracemalloc.start()
        try:
            with pytest.raises(errors.ReplyTooLarge):
                await fetch(url, max_bytes=MB // 2)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < 4 * MB


# Guards against a limit for each reply but none for all of them.
async def test_many_endless_replies_share_one_limit():
    async with serving(endless(UNFRAMED_HEAD, b'x' * 65536)) as url:
        failures = []

        async def fetch_endless():
            try:
                await fetch(url)
            except errors.ExchangeFailed as exc:
                failures.append(exc)

        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(fetch_endless)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert len(failures) == 8
    assert peak < 64 * MB


# Guards against a small reply that is dropped since others are endless.
async def test_a_small_reply_is_read_while_others_are_endless():
    body = b'g' * 200_000

    async def serve(stream):
        await stream.send_all(world_lib.head(200, [], body=body)[:1000])
        await trio.sleep(0.3)
        await stream.send_all(world_lib.head(200, [], body=body)[1000:])

    replies = []
    async with (
        serving(endless(UNFRAMED_HEAD, b'x' * 65536)) as endless_url,
        serving(serve) as url,
        trio.open_nursery() as nursery,
    ):

        async def fetch_endless():
            with pytest.raises(errors.ExchangeFailed):
                await fetch(endless_url)

        for _ in range(4):
            nursery.start_soon(fetch_endless)
        replies.append(await fetch(url))
    assert replies[0].body == body


# Guards against a head whose fields take far more memory than its bytes.
async def test_a_head_of_very_many_fields_is_refused():
    fields = b'a:\r\n' * 15_000
    async with serving(endless(OK_HEAD + fields + b'\r\n', b'x')) as url:
        conn = await connections.Origin(url).connect(1.0)
        with pytest.raises(errors.ReplyTooLarge):
            async with conn.stream('GET', '/'):
                pass
        await conn.close()


ENDLESS_LINES = {
    'a status line': b'HTTP/1.1 200 ',
    'a status code': b'HTTP/1.1 2',
    'a field name': OK_HEAD + b'X',
    'a field value': OK_HEAD + b'X: ',
    'a chunk size': CHUNKED_HEAD + b'1',
    'a chunk extension': CHUNKED_HEAD + b'1;',
    'a trailer': CHUNKED_HEAD + b'0\r\nX: ',
}


# Guards against a line that is kept until it ends.
@pytest.mark.parametrize('kind', ENDLESS_LINES)
async def test_an_endless_line_is_cut_off_after_little_memory(kind):
    async with serving(endless(ENDLESS_LINES[kind], b'1' * 4096)) as url:
        tracemalloc.start()
        try:
            with pytest.raises(errors.ExchangeFailed):
                await fetch(url)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < 2 * MB


# Guards against lines that end, but of which there is no last one.
@pytest.mark.parametrize('head', [OK_HEAD, CHUNKED_HEAD + b'0\r\n'])
async def test_endless_short_lines_are_cut_off_after_little_memory(head):
    async with serving(endless(head, b'a: b\r\n' * 1000)) as url:
        tracemalloc.start()
        try:
            with pytest.raises(errors.ExchangeFailed):
                await fetch(url)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < 2 * MB


# Guards against reading what follows a reply for ever.
async def test_of_endless_bytes_after_a_reply_only_one_block_is_kept():
    reply = world_lib.head(200, [], body=b'yes')
    async with serving(endless(reply, b'x' * 65536)) as url:
        origin = connections.Origin(url)
        conn = await origin.connect(1.0)
        tracemalloc.start()
        try:
            assert (await conn.exchange('GET', '/')).body == b'yes'
            assert await conn.has_further_bytes(0.1)
            assert not conn.is_reusable()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        await conn.close()
    assert peak < MB


# Guards against a table of the store whose pages never end.
async def test_a_table_whose_pages_never_end_is_given_up(monkeypatch):
    monkeypatch.setattr(store_client, 'MAX_TABLE_BYTES', 50_000, raising=False)
    number = 0

    async def serve(stream):
        nonlocal number
        while True:
            number += 1
            row = b'{"key":"%09d","value":"%s","row_version":4}' % (
                number,
                b'QUFB' * 1000,
            )
            body = b'{"rows":[%s],"row_version":9,"has_more":true}' % row
            await stream.send_all(world_lib.head(200, [], body=body))
            if not await stream.receive_some(65536):
                return

    async with serving(serve) as url:
        client = store_client.StoreClient(url)
        with trio.fail_after(5):
            answer = await client.read_all('t')
        await client.close()
    assert isinstance(answer.err_value, errors.Unavailable)
    assert 10 < number < 40
