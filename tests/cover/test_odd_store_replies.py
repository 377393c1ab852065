"""Clients of both stores, given any replies whatever."""

import json

import hypothesis
from hypothesis import strategies as st
import result
import trio

from sardinebend_adapter import store_client
from sardinebend_store import connections
from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import remote
from sardinebend_store import store

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
NUMBERS = st.integers(-3, 3) | st.sampled_from(
    [2**48 - 1, 2**48, 2**63, 2**64, 10**30, 10**400, 1.5]
)
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=4,
)
FIELDS = {
    'key': st.just('k') | VALUES,
    'value': st.sampled_from(['MQ==', {'a': 1}]) | VALUES,
    'version': NUMBERS | VALUES,
    'row_version': NUMBERS | VALUES,
    'deleted': VALUES,
}
ROWS = st.fixed_dictionaries({}, optional=FIELDS)
PAGES = st.fixed_dictionaries(
    {},
    optional={
        'rows': st.lists(ROWS, max_size=3) | VALUES,
        'row_version': NUMBERS | VALUES,
        'versions': st.dictionaries(st.just('k'), NUMBERS | VALUES) | VALUES,
        'has_more': VALUES,
    },
)
BODIES = st.one_of(
    st.binary(max_size=40),
    (PAGES | ROWS | st.lists(ROWS) | VALUES).map(
        lambda value: json.dumps(value).encode()
    ),
    st.dictionaries(st.just('k'), ROWS | VALUES).map(
        lambda value: json.dumps(value).encode()
    ),
)
ERAS = st.sampled_from(['0', '1', '2', '', '-1', '1.0', '9' * 30, '\xb2', 'x'])
HEADERS = st.fixed_dictionaries({}, optional={'store-era': ERAS})
STATUSES = st.sampled_from([200, 204, 304, 400, 404, 409, 410, 412, 500, 503])
REPLIES = st.builds(connections.Reply, STATUSES, HEADERS, BODIES)


class ScriptedOrigin:
    """Answers each call with the next reply; the last one for good."""

    def __init__(self, replies):
        self._replies = list(replies)

    async def exchange(self, *args, **kwargs):
        if len(self._replies) > 1:
            return self._replies.pop(0)
        return self._replies[0]

    async def drop_idle(self):
        pass


def check_version(version, era):
    assert (
        feeds.make_version(era, 0) <= version < feeds.make_version(era + 1, 0)
    )


async def use_feeds(replies):
    client = store_client.StoreClient('http://127.0.0.1:1')
    origin = ScriptedOrigin(replies)
    client._origin = client._poll_origins['t'] = origin
    last_era = 0
    for _ in replies:
        for answer in (
            await client.follow('t', feeds.make_version(client.era, 1), 0.0),
            await client.write('t', 'k', None, b'1'),
            await client.write('t', 'k', 0, None),
        ):
            if isinstance(answer, result.Err):
                assert isinstance(answer.err_value, errors.PlatformError)
            elif isinstance(answer.ok_value, feeds.Changes):
                check_version(answer.ok_value.version, client.era)
                for row in answer.ok_value.rows:
                    check_version(row.version, client.era)
                    row.key.encode()
            else:
                check_version(answer.ok_value, client.era)
        assert client.era >= last_era
        last_era = client.era


async def use_table(replies):
    table = remote.RemoteTable(ScriptedOrigin(replies), 1.0)
    for _ in replies:
        write = store.Write('k', 0, {'a': 1})
        for answer in (
            await table.transact([write]),
            await table.read('k'),
            await table.scan(''),
        ):
            if isinstance(answer, result.Err):
                assert isinstance(answer.err_value, errors.PlatformError)
            elif isinstance(answer.ok_value, store.Committed):
                check_version(answer.ok_value.versions['k'], table.era)
            else:
                rows = answer.ok_value
                for row in rows if isinstance(rows, list) else [rows]:
                    if row is not None:
                        assert isinstance(row.value, dict)
                        check_version(row.version, table.era)


@hypothesis.given(st.lists(REPLIES, min_size=1, max_size=6))
@SETTINGS
def test_any_reply_to_a_host_is_usable_or_a_typed_failure(replies):
    trio.run(use_feeds, replies)


@hypothesis.given(st.lists(REPLIES, min_size=1, max_size=6))
@SETTINGS
def test_any_reply_of_the_products_table_is_usable_or_a_typed_failure(replies):
    trio.run(use_table, replies)


GOOD = connections.Reply(
    200, {'store-era': '1'}, b'{"rows":[],"row_version":3}'
)


# Guards against a reply after which no sound one can be used any more.
@hypothesis.given(st.lists(REPLIES, max_size=5))
@SETTINGS
def test_a_sound_reply_is_used_after_any_others_of_its_era(replies):
    async def use():
        odd = [
            reply
            for reply in replies
            if reply.headers.get('store-era') not in ('2',)
        ]
        client = store_client.StoreClient('http://127.0.0.1:1')
        client._origin = ScriptedOrigin([*odd, GOOD])
        for _ in odd:
            await client.write('t', 'k', None, b'1')
        return await client.read_all('t')

    answer = trio.run(use)
    assert answer.ok_value.version == feeds.make_version(1, 3)
