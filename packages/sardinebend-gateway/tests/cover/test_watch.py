"""Following tables during store outages, after lost history and via peers."""

import random

import result
import trio

from sardinebend_gateway import admission
from sardinebend_gateway import clocks
from sardinebend_gateway import edges
from sardinebend_gateway import follower as follower_lib
from sardinebend_gateway import settings
from sardinebend_gateway import state as state_lib
from sardinebend_store import errors
from sardinebend_store import feeds


def make_follower(wait_s=0.05, max_peer_age_s=0.5):
    store = feeds.MemoryFeeds()
    cfg = settings.HostSettings('h', 'east', settings.Address('127.0.0.1', 1))
    state = state_lib.State(
        cfg, edges.Edges(None, None, None, store), random.Random(1)
    )
    applied = {}

    def apply(rows):
        for row in rows:
            if row.value is None:
                applied.pop(row.key, None)
            else:
                applied[row.key] = row.value

    times = follower_lib.PollTimes(
        wait_s, wait_s, wait_s, wait_s, max_peer_age_s, 0.01
    )
    return store, follower_lib.Follower(state, 't', apply, times), applied


async def wait_until(condition):
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.01)


async def test_added_changed_and_removed_rows_are_followed():
    store, follower, applied = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: applied == {'a': b'1'})
        await store.write('t', 'b', None, b'2')
        await wait_until(lambda: applied == {'a': b'1', 'b': b'2'})
        await store.write('t', 'a', None, None)
        await wait_until(lambda: applied == {'b': b'2'})
        nursery.cancel_scope.cancel()


async def test_after_lost_history_the_whole_table_is_read_again():
    store, follower, applied = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: 'a' in applied)
        store.oldest_version = 10**9
        await store.write('t', 'a', None, None)
        await store.write('t', 'b', None, b'2')
        store.oldest_version = 0
        await wait_until(lambda: applied == {'b': b'2'})
        nursery.cancel_scope.cancel()


async def test_evidence_is_not_renewed_during_a_store_outage():
    store, follower, applied = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: 'a' in applied)
        store.is_down = True
        await wait_until(lambda: follower.is_store_lost)
        before = follower.evidence_at
        await trio.sleep(0.2)
        assert follower.evidence_at == before
        assert applied == {'a': b'1'}
        store.is_down = False
        await wait_until(lambda: not follower.is_store_lost)
        assert follower.evidence_at > before
        nursery.cancel_scope.cancel()


class Peer(follower_lib.PeerTables):
    """A peer that has `rows`; reads for this host if `reads` is set."""

    serves_others = False
    has_seeds = False

    def __init__(self, *rows, age_s=0.0, reads=False, since_outage_s=None):
        self.rows = rows
        self.age_s = age_s
        self.reads = reads
        self.since_outage_s = since_outage_s

    @property
    def version(self):
        return max((row.version for row in self.rows), default=0)

    async def query_any(self, table, after):
        return result.Ok(
            follower_lib.Relayed(
                feeds.Changes(
                    tuple(r for r in self.rows if r.version > after),
                    self.version,
                ),
                clocks.now() - self.age_s,
                after < 0,
                self.since_outage_s,
            )
        )

    async def query_reader(self, table, after, wait_s):
        if not self.reads:
            return result.Err(errors.Unavailable('no host reads the store'))
        with trio.move_on_after(wait_s):
            while self.version <= after:
                await trio.sleep(0.001)
        return await self.query_any(table, after)


async def test_rows_of_a_peer_are_applied_with_the_age_of_its_evidence():
    store, follower, applied = make_follower()
    store.is_down = True
    row = feeds.FeedRow('a', 7, b'1')
    follower.peers = Peer(row, age_s=2.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: applied == {'a': b'1'})
        assert 2.0 <= follower.evidence_age_s() < 20.0
        nursery.cancel_scope.cancel()


async def test_an_older_row_of_a_peer_does_not_replace_a_newer_one():
    _, follower, applied = make_follower()
    newer = feeds.FeedRow('a', 7, b'new')
    older = feeds.FeedRow('a', 3, b'old')
    follower._apply(feeds.Changes((newer,), 7), 1.0, True)
    follower._apply(feeds.Changes((older,), 7), 2.0, False)
    assert applied == {'a': b'new'}


class StaleStore(feeds.MemoryFeeds):
    """Gives answers that are older than its earlier ones."""

    def __init__(self):
        super().__init__()
        self.behind = None

    async def follow(self, table, after, wait_s):
        if self.behind is not None:
            return result.Ok(self.behind)
        return await super().follow(table, after, wait_s)


async def test_a_store_answer_older_than_the_rows_is_dropped():
    _, follower, applied = make_follower()
    store = StaleStore()
    follower._state.edges = edges.Edges(None, None, None, store)
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: 'a' in applied)
        store.behind = feeds.Changes((), 0)
        await trio.sleep(0.3)
        assert applied == {'a': b'1'}
        store.behind = None
        await store.write('t', 'b', None, b'2')
        await wait_until(lambda: 'b' in applied)
        nursery.cancel_scope.cancel()


async def test_a_conditional_write_fails_if_the_row_has_another_version():
    store = feeds.MemoryFeeds()
    first = await store.write('t', 'a', 0, b'1')
    refused = await store.write('t', 'a', 0, b'2')
    assert isinstance(refused.err_value, errors.Conflict)
    assert refused.err_value.rows['a'].version == first.ok_value
    assert (await store.write('t', 'a', first.ok_value, b'2')).is_ok()


class CountingStore(feeds.MemoryFeeds):
    def __init__(self):
        super().__init__()
        self.calls = 0

    async def read_all(self, table):
        self.calls += 1
        return await super().read_all(table)

    async def follow(self, table, after, wait_s):
        self.calls += 1
        return await super().follow(table, after, wait_s)


async def test_the_store_is_polled_less_often_during_an_outage(autojump_clock):
    store = CountingStore()
    store.is_down = True
    _, follower, _ = make_follower()
    follower._state.edges = edges.Edges(None, None, None, store)
    with trio.move_on_after(30):
        await follower.run()
    # With a fixed delay of 0.3 s there would be a hundred calls.
    assert 20 <= store.calls <= 45


async def start_with_peer(nursery, peer, **changes):
    """Returns a store, its follower that has read it once, and the rows."""
    _, follower, applied = make_follower(**changes)
    store = CountingStore()
    await store.write('t', 'a', None, b'1')
    follower._state.edges = edges.Edges(None, None, None, store)
    follower.peers = peer
    nursery.start_soon(follower.run)
    await wait_until(lambda: 'a' in applied)
    return store, follower, applied


async def test_a_host_with_a_reader_reads_the_store_only_once(autojump_clock):
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True)
    async with trio.open_nursery() as nursery:
        store, _, applied = await start_with_peer(nursery, peer)
        await trio.sleep(10)
        peer.rows += (feeds.FeedRow('b', 2, b'2'),)
        await wait_until(lambda: applied == {'a': b'1', 'b': b'2'})
        assert store.calls == 1
        nursery.cancel_scope.cancel()


async def test_the_store_is_asked_if_the_readers_evidence_is_too_old():
    peer = Peer(feeds.FeedRow('a', 1, b'1'), age_s=0.6, reads=True)
    async with trio.open_nursery() as nursery:
        store, follower, applied = await start_with_peer(nursery, peer)
        await store.write('t', 'b', None, b'2')
        await wait_until(lambda: 'b' in applied)
        assert follower.evidence_age_s() < 0.6
        nursery.cancel_scope.cancel()


async def test_the_store_is_asked_if_the_readers_version_is_older():
    peer = Peer(feeds.FeedRow('a', 0, b'0'), reads=True)
    async with trio.open_nursery() as nursery:
        store, _, applied = await start_with_peer(nursery, peer)
        await wait_until(lambda: store.calls > 1)
        assert applied == {'a': b'1'}
        nursery.cancel_scope.cancel()


async def test_the_end_of_an_outage_at_the_reader_is_recorded_here_too():
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True, since_outage_s=0.5)
    async with trio.open_nursery() as nursery:
        _, follower, _ = await start_with_peer(nursery, peer)
        await wait_until(lambda: follower.since_outage_s() is not None)
        assert follower.since_outage_s() >= 0.5
        nursery.cancel_scope.cancel()


async def test_keys_are_trusted_for_three_seconds_after_the_store_has_gone(
    autojump_clock, monkeypatch
):
    """Keys must be accepted for 0.6 of the 5 s for withdrawn keys."""
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    store, follower, applied = make_follower()
    state = follower._state
    follower = follower_lib.Follower(
        state,
        't',
        lambda rows: None,
        follower_lib.KEY_POLL_SHARES.scale(state.cfg.revoke_s),
    )
    oldest_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(3)
        for _ in range(200):
            await trio.sleep(0.0371)
            oldest_s = max(oldest_s, follower.evidence_age_s())
        nursery.cancel_scope.cancel()
    max_trust_s = state.cfg.revoke_s - admission.EVIDENCE_MARGIN_S
    assert max_trust_s - oldest_s >= 0.6 * state.cfg.revoke_s


async def test_a_long_poll_is_evidence_of_contact_as_of_the_end_of_its_wait(
    autojump_clock, monkeypatch
):
    # Guards against asking the store twice as often as its time limits require.
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    store, follower, _ = make_follower(wait_s=1.0)
    await store.write('t', 'a', None, b'1')
    oldest_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(2.5)
        for _ in range(100):
            await trio.sleep(0.0471)
            oldest_s = max(oldest_s, follower.evidence_age_s())
        nursery.cancel_scope.cancel()
    assert oldest_s < 1.2


class EarlyStore(feeds.MemoryFeeds):
    """Answers at once instead of waiting for a change."""

    async def follow(self, table, after, wait_s):
        await trio.sleep(0.01)
        return await super().follow(table, after, 0.0)


async def test_evidence_of_an_early_answer_is_never_dated_in_the_future(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    _, follower, _ = make_follower(wait_s=1.0)
    store = EarlyStore()
    follower._state.edges = edges.Edges(None, None, None, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for _ in range(100):
            await trio.sleep(0.0071)
            assert follower.evidence_at <= trio.current_time()
        nursery.cancel_scope.cancel()


async def test_a_host_ahead_of_its_reader_waits_until_the_reader_has_caught_up(
    autojump_clock, monkeypatch
):
    # Guards against a host that asks the store for ever once it has asked it.
    # Its version is then ahead of the reader's, because the store's version
    # counts the writes to all tables.
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True)
    async with trio.open_nursery() as nursery:
        store, follower, applied = await start_with_peer(
            nursery, peer, max_peer_age_s=2.0
        )
        await store.write('other', 'x', None, b'1')
        follower.version = 2
        await trio.sleep(0.5)
        peer.rows += (feeds.FeedRow('b', 3, b'2'),)
        await wait_until(lambda: 'b' in applied)
        assert store.calls == 1
        nursery.cancel_scope.cancel()


async def test_rows_of_a_store_that_returns_from_an_older_copy_replace_all():
    # Guards against a host that takes every answer for older than its own
    # until the store's counter has passed its former value.
    store, follower, applied = make_follower()
    for number in range(30):
        await store.write('t', f'k{number}', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: len(applied) == 30)
        store.return_from_copy(25)
        await store.write('t', 'new', None, b'2')
        await wait_until(lambda: 'new' in applied)
        assert len(applied) == 6
        assert follower.evidence_age_s() < 1.0
        store.return_from_copy(3)
        await wait_until(lambda: len(applied) == 3)
        nursery.cancel_scope.cancel()


async def test_a_late_answer_of_an_earlier_era_is_not_applied():
    store, follower, applied = make_follower()
    await store.write('t', 'a', None, b'old')
    old = (await store.read_all('t')).ok_value
    store.return_from_copy(1)
    await store.write('t', 'a', None, b'new')
    peer = Peer(*old.rows)
    follower.peers = peer
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: applied == {'a': b'new'})
        store.is_down = True
        await trio.sleep(1.0)
        assert applied == {'a': b'new'}
        nursery.cancel_scope.cancel()


async def test_changes_of_another_era_that_are_not_whole_are_not_applied():
    store, follower, applied = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await wait_until(lambda: 'a' in applied)
        store.is_down = True
        await wait_until(lambda: follower.is_store_lost)
        row = feeds.FeedRow('b', feeds.make_version(1, 1), b'2')
        follower.peers = Peer(row)
        await trio.sleep(1.0)
        assert applied == {'a': b'1'}
        nursery.cancel_scope.cancel()
