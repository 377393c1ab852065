"""Odd rows in the store's replies, and replies that are broken themselves."""

import base64
import json

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from sardinebend_adapter import store_client
from sardinebend_store import errors as store_errors
from tests.common import gateway_world as world_lib
from tests.common import odd_values

GOOD = {'key': 'good', 'value': 'MQ==', 'row_version': 5}


async def read_page(body):
    """Returns what the store client makes of the body of a reply."""

    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(world_lib.head(200, [], body=body))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = store_client.StoreClient(f'http://127.0.0.1:{port}')
        answer = await client.follow('t', 3, 0.0)
        await client.close()
        nursery.cancel_scope.cancel()
    return answer


def make_page(*rows):
    """Returns a reply; a row is an object or its JSON."""
    texts = [
        row if isinstance(row, bytes) else json.dumps(row).encode()
        for row in rows
    ]
    return b'{"rows":[' + b','.join(texts) + b'],"row_version":9}'


# Guards against a page that can't be read at all, again and again.
@pytest.mark.parametrize(
    'value',
    [
        b'"%%%"',
        b'"MQ="',
        b'"M"',
        b'"{}"',
        b'"\xff"',
        b'"\\ud800"',
        b'"\xd9\xa3"',
        b'null',
        b'7',
        b'9' + b'9' * 5000,
        b'1e999',
        b'NaN',
        b'{}',
        b'[]',
        b'true',
    ],
)
async def test_a_row_whose_value_is_not_base64_has_an_unreadable_value(value):
    odd = b'{"key":"odd","row_version":4,"value":' + value + b'}'
    answer = await read_page(make_page(odd, GOOD))
    rows = answer.ok_value.rows
    assert [(row.key, row.value) for row in rows] == [
        ('odd', store_client.UNREADABLE),
        ('good', b'1'),
    ]


@pytest.mark.parametrize(
    'key', [b'"\\ud800"', b'"\\ud800 and text"', b'"a\\udc00"']
)
async def test_a_row_whose_key_is_not_text_is_skipped(key):
    odd = b'{"key":%s,"row_version":4,"value":"MQ=="}' % key
    answer = await read_page(make_page(odd, GOOD))
    assert [row.key for row in answer.ok_value.rows] == ['good']


async def test_unknown_fields_of_a_row_may_hold_anything_but_deep_nesting():
    odd = b'{"key":"odd","row_version":4,"value":"MQ==","x":%s}'
    for raw in (b'NaN', b'9' * 5000, b'1e999', b'"\xff"', b'"\\ud800"'):
        answer = await read_page(make_page(odd % raw, GOOD))
        assert [row.key for row in answer.ok_value.rows] == ['odd', 'good']


# Guards against a RecursionError, and against versions that no field holds.
@pytest.mark.parametrize(
    'body',
    [
        odd_values.DEEP,
        odd_values.DEEP_OBJECTS,
        make_page({**GOOD, 'row_version': -1}),
        make_page({**GOOD, 'row_version': 2**48}),
        make_page({**GOOD, 'row_version': 10**400}),
        make_page({'key': 'x'}),
        make_page({'row_version': 1}),
        b'{"rows":[],"row_version":-1}',
        b'{"rows":[],"row_version":%s}' % (b'9' * 5000),
        b'{"rows":{},"row_version":1}',
        b'[]',
        b'{"rows":[],"row_version":1',
        b'9' * 5000,
    ],
)
async def test_a_reply_that_is_broken_itself_is_unavailable(body):
    answer = await read_page(body)
    assert isinstance(answer.err_value, store_errors.Unavailable)


@hypothesis.given(st.binary(max_size=80))
@hypothesis.settings(
    derandomize=True, max_examples=40, deadline=None, database=None
)
def test_no_bytes_in_a_row_make_the_page_unreadable(value):
    text = base64.b64encode(value).decode()
    row = {'key': 'odd', 'value': text, 'row_version': 4}
    answer = trio.run(read_page, make_page(row, GOOD))
    rows = answer.ok_value.rows
    assert [row.value for row in rows] == [value, b'1']
