"""Tests of the stores: all table implementations, ambiguous writes."""

import contextlib

import pytest
import result
import trio

from sardinebend_router import asgi
from sardinebend_store import batching
from sardinebend_store import connections
from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import memory
from sardinebend_store import remote
from sardinebend_store import store
from standins import hostlist as hostlist_standin
from standins import objects as objects_standin
from standins import table as table_standin


@contextlib.asynccontextmanager
async def run_app(app):
    sock = asgi.listen('127.0.0.1', 0)
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        app.nursery = nursery
        shutdown = trio.Event()

        async def serve(task_status=trio.TASK_STATUS_IGNORED):
            await asgi.serve(
                app, sock, shutdown=shutdown, task_status=task_status
            )

        await nursery.start(serve)
        yield f'http://127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def make_table(variant):
    if variant == 'memory':
        yield memory.MemoryTable()
        return
    async with run_app(table_standin.TableApp()) as url:
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        is_batching = variant == 'batching'
        yield batching.BatchingTable(table) if is_batching else table


@pytest.mark.parametrize('variant', ['memory', 'remote', 'batching'])
async def test_a_table_applies_all_writes_or_none(variant):
    async with make_table(variant) as table:
        first = [store.Write('a', 0, {'x': 1}), store.Write('b', 0, {'x': 2})]
        committed = await table.transact(first)
        assert committed == result.Ok(store.Committed({'a': 1, 'b': 1}))
        second = [store.Write('c', 0, {}), store.Write('a', 0, {'x': 9})]
        refused = await table.transact(second)
        assert isinstance(refused.err_value, errors.Conflict)
        assert refused.err_value.rows == {'a': store.Row('a', 1, {'x': 1})}
        assert await table.read('c') == result.Ok(None)
        await table.transact([store.Write('a', 1, {'x': 3})])
        row = await table.read('a')
        assert row == result.Ok(store.Row('a', 2, {'x': 3}))
        await table.transact([store.Write('b', 1, None)])
        rows = await table.scan('')
        assert [item.key for item in rows.ok_value] == ['a']


@pytest.mark.parametrize('variant', ['memory', 'remote', 'batching'])
async def test_a_scan_returns_keys_after_the_given_one(variant):
    async with make_table(variant) as table:
        for number in range(5):
            await table.transact([store.Write(f'k{number}', 0, {})])
        await table.transact([store.Write('other', 0, {})])
        page = await table.scan('k', 'k1', 2)
    assert [row.key for row in page.ok_value] == ['k2', 'k3']


async def test_a_write_whose_reply_is_lost_is_unclear_until_settled():
    app = table_standin.TableApp()
    async with run_app(app) as url:
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        app.faults = {'lose_replies': 1}
        write = store.Write('a', 0, {'nonce': 'mine'})
        unclear = await table.transact([write])
        assert isinstance(unclear.err_value, errors.Unclear)
        app.faults = {'lose_replies': 1}
        other = store.Write('b', 0, {'nonce': 'mine'})
        settled = await remote.transact_until_known(
            table, [other], lambda row: row.value['nonce'] == 'mine', 0.01, 5
        )
        assert settled == result.Ok(None)


async def test_a_table_that_refuses_connections_is_unavailable():
    table = remote.RemoteTable.from_url('http://127.0.0.1:1', timeout_s=1.0)
    answer = await table.transact([store.Write('a', 0, {})])
    assert isinstance(answer.err_value, errors.Unavailable)


async def test_a_write_answered_with_an_undefined_status_is_unclear():
    app = table_standin.TableApp()
    async with run_app(app) as url:
        app.faults = {'status': 503}
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        answer = await table.transact([store.Write('a', 0, {})])
    assert isinstance(answer.err_value, errors.Unclear)


async def test_a_read_with_a_lost_reply_is_repeated_on_a_new_connection():
    app = table_standin.TableApp()
    async with run_app(app) as url:
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        app.faults = {'lose_replies': 1}
        assert await table.read('a') == result.Ok(None)


async def test_queued_writes_are_grouped_and_only_the_conflicting_one_fails():
    inner = SlowTable()
    table = batching.BatchingTable(inner, in_flight=1)
    await inner.transact([store.Write('k5', 0, {})])
    outcomes = {}

    async def write(key):
        outcomes[key] = await table.transact([store.Write(key, 0, {})])

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(write, f'k{number}')
    assert table.calls <= 4
    refused = [key for key, outcome in outcomes.items() if not outcome.is_ok()]
    assert refused == ['k5']
    assert outcomes['k1'] == result.Ok(store.Committed({'k1': 1}))


@pytest.mark.parametrize('body', [b'{', b'{}', b'[]'])
def test_an_applied_transaction_with_a_malformed_reply_is_unclear(body):
    # Guards against "nothing written" about a booking's claim that was.
    reply = connections.Reply(200, {}, body)
    answer = remote._decode_transact_reply(reply, 0, set())
    assert isinstance(answer.err_value, errors.Unclear)


def test_an_applied_transaction_without_a_version_of_its_row_is_unclear():
    reply = connections.Reply(200, {}, b'{"versions":{"b":1}}')
    answer = remote._decode_transact_reply(reply, 0, {'a'})
    assert isinstance(answer.err_value, errors.Unclear)


@contextlib.asynccontextmanager
async def make_returning_table(variant):
    """Yields a table, and the one in memory that holds its rows."""
    if variant == 'memory':
        table = memory.MemoryTable()
        yield table, table
        return
    app = table_standin.TableApp()
    async with run_app(app) as url:
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        is_batching = variant == 'batching'
        yield batching.BatchingTable(table) if is_batching else table, app.table


@pytest.mark.parametrize('variant', ['memory', 'remote', 'batching'])
async def test_a_version_that_is_given_out_again_does_not_match(variant):
    # Guards against a write that replaces another row of the same version
    # after the table has come back from an older copy.
    async with make_returning_table(variant) as (table, source):
        copy = source.copy_rows()
        written = await table.transact([store.Write('a', 0, {'x': 1})])
        before = written.ok_value.versions['a']
        source.return_from_copy(copy)
        assert await table.read('a') == result.Ok(None)
        assert table.era == 1
        written = await table.transact([store.Write('a', 0, {'x': 2})])
        after = written.ok_value.versions['a']
        assert feeds.counter_of(after) == feeds.counter_of(before)
        refused = await table.transact([store.Write('a', before, {'x': 3})])
        assert isinstance(refused.err_value, errors.Conflict)
        row = await table.read('a')
        assert row == result.Ok(store.Row('a', after, {'x': 2}))
        assert (await table.scan('')).ok_value == [row.ok_value]
        assert (await table.transact([store.Write('a', after, {})])).is_ok()


async def test_a_write_in_flight_while_the_era_rises_is_unclear():
    # Guards against a lease or a claim that counts as written although the
    # copy may lack it, or hold it in the place of another row.
    app = table_standin.TableApp()
    async with run_app(app) as url:
        table = remote.RemoteTable.from_url(url, timeout_s=1.0)
        assert await table.read('a') == result.Ok(None)
        app.table.return_from_copy({})
        answer = await table.transact([store.Write('a', 0, {})])
    assert isinstance(answer.err_value, errors.Unclear)


async def test_an_exception_after_sending_leaves_the_group_unclear():
    # Guards against "nothing written" for what was grouped with the call that
    # raised, and against a process that ends by it.
    class RaisingTable(SlowTable):
        async def transact(self, writes):
            await super().transact(writes)
            raise ValueError('after it was applied')

    table = batching.BatchingTable(RaisingTable(), in_flight=1)
    outcomes = {}

    async def write(key):
        outcomes[key] = await table.transact([store.Write(key, 0, {})])

    async with trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(write, f'k{number}')
    assert len(outcomes) == 4
    for outcome in outcomes.values():
        assert isinstance(outcome.err_value, errors.Unclear)


class SlowTable(memory.MemoryTable):
    async def transact(self, writes):
        await trio.sleep(0.01)
        return self.apply(writes)


async def test_an_unchanged_host_list_is_returned_from_the_last_reply():
    app = hostlist_standin.HostListApp(0.0)
    host = {
        'host_id': 'h',
        'failure_domain': 'd',
        'caller_url': 'u',
        'peer_address': 'p',
        'leaving': False,
    }
    async with run_app(app) as url:
        client = remote.RemoteHostList.from_url(url)
        assert await client.fetch() == result.Ok(store.Listing((), ()))
        assert await client.fetch() == result.Ok(store.Listing((), ()))
        app._history.append((0.0, {'hosts': [host], 'endpoints': []}))
        newer = await client.fetch()
    assert newer.ok_value.hosts == (store.ListedHost(**host),)


@pytest.mark.parametrize('variant', ['memory', 'remote'])
async def test_an_object_store_returns_the_bytes_that_were_put(variant):
    async with run_app(objects_standin.ObjectApp()) as url:
        objects = memory.MemoryObjects()
        if variant == 'remote':
            objects = remote.RemoteObjects.from_url(url)
        assert await objects.get('a/b') == result.Ok(None)
        assert await objects.put('a/b', b'\0\xff') == result.Ok(None)
        assert await objects.get('a/b') == result.Ok(b'\0\xff')
