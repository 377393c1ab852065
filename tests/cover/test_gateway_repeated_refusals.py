"""Refusals that aren't this request's prove nothing about it."""

import contextlib
import json

import pytest
import trio

from sardinebend_adapter import store_client
from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from sardinebend_store import remote
from sardinebend_store import store
from tests.common import gateway_world as world_lib

head = world_lib.head


class FaultyStore:
    """A store that refuses its first call and writes that reply once more.

    It does so right after the first reply, or on the same connection, before
    the reply to the next call. It applies all further calls.

    Attributes:
        applied: The calls that were applied.
        connections: Number of connections that were opened.
    """

    def __init__(self, stale, good, repeats_at_once):
        self.applied = []
        self.connections = 0
        self._stale = stale
        self._good = good
        self._repeats_at_once = repeats_at_once

    async def serve(self, stream):
        self.connections += 1
        is_first_connection = self.connections == 1
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with stream:
                await self._serve(stream, is_first_connection)

    async def _serve(self, stream, is_first_connection):
        repeated = b''
        if is_first_connection:
            await read_call(stream)
            again = self._stale if self._repeats_at_once else b''
            await stream.send_all(self._stale + again)
            repeated = b'' if self._repeats_at_once else self._stale
        while call := await read_call(stream):
            self.applied.append(call)
            await stream.send_all(repeated + self._good)


async def read_call(stream):
    """Returns the bytes of one call; empty at the end."""
    data = b''
    while b'\r\n\r\n' not in data:
        more = await stream.receive_some(65536)
        if not more:
            return b''
        data += more
    start, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in start.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line[15:])
    while len(body) < length:
        body += await stream.receive_some(65536)
    return start + body


@contextlib.asynccontextmanager
async def serving(faulty_store):
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
        nursery.start_soon(trio.serve_listeners, faulty_store.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'http://{world_lib.IP}:{port}'
        nursery.cancel_scope.cancel()


def encode_reply(status, value):
    body = json.dumps(value).encode()
    return head(status, [('Content-Type', 'application/json')], body=body)


@pytest.mark.parametrize('repeats_at_once', [True, False])
@pytest.mark.parametrize('status', [409, 429])
async def test_a_write_to_the_table_never_gets_the_reply_to_an_earlier_one(
    status, repeats_at_once
):
    # Guards against a claim that is believed refused, and was applied.
    faulty_store = FaultyStore(
        encode_reply(status, {'k': None}),
        encode_reply(200, {'versions': {'k': 2}}),
        repeats_at_once,
    )
    async with serving(faulty_store) as url:
        table = remote.RemoteTable.from_url(url)
        first = await table.transact([store.Write('k', 0, {})])
        second = await table.transact([store.Write('k', 1, {})])
        await table.close()
    assert first.is_err()
    assert second.ok_value == store.Committed({'k': 2})
    assert len(faulty_store.applied) == 1


@pytest.mark.parametrize('repeats_at_once', [True, False])
@pytest.mark.parametrize('status', [412, 429, 503])
async def test_a_write_of_a_row_never_gets_the_reply_to_an_earlier_one(
    status, repeats_at_once
):
    faulty_store = FaultyStore(
        encode_reply(status, {'rows': []}),
        encode_reply(200, {'row_version': 7}),
        repeats_at_once,
    )
    async with serving(faulty_store) as url:
        client = store_client.StoreClient(url)
        first = await client.write('t', 'k', 0, b'1')
        second = await client.write('t', 'k', 1, b'2')
        await client.close()
    assert first.is_err()
    assert second.ok_value == 7
    assert len(faulty_store.applied) == 1


async def test_a_connection_with_unread_bytes_is_not_used_again():
    # Guards against the reply to an earlier call as the reply to the next one:
    # both had arrived together, so the socket had nothing left to read.
    faulty_store = FaultyStore(
        encode_reply(503, {}), encode_reply(200, {}), True
    )
    async with serving(faulty_store) as url:
        origin = connections.Origin(url)
        replies = [
            await origin.exchange('GET', '/x', timeout_s=1.0) for _ in range(2)
        ]
        await origin.close()
    assert [reply.status for reply in replies] == [503, 200]
    assert faulty_store.connections == 2


async def test_a_large_object_is_not_taken_as_written_for_an_earlier_reply():
    faulty_store = FaultyStore(
        encode_reply(200, {}), encode_reply(503, {}), False
    )
    async with serving(faulty_store) as url:
        objects = remote.RemoteObjects.from_url(url)
        first = await objects.put('a', b'1')
        second = await objects.put('b', b'2')
        await objects.close()
    assert first.is_ok()
    assert isinstance(second.err_value, store_errors.Unclear)
