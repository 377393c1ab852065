"""Following tables through outages, lost history and peers."""

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


def make_follower(wait_s=0.05, peer_age_s=0.5):
    store = feeds.MemoryFeeds()
    cfg = settings.HostSettings('h', 'east', settings.Address('127.0.0.1', 1))
    state = state_lib.State(
        cfg, edges.Edges(None, None, None, store), random.Random(1)
    )
    seen = {}

    def take(rows):
        for row in rows:
            if row.value is None:
                seen.pop(row.key, None)
            else:
                seen[row.key] = row.value

    pace = follower_lib.Pace(wait_s, wait_s, wait_s, wait_s, peer_age_s, 0.01)
    return store, follower_lib.Follower(state, 't', take, pace), seen


async def settle(check):
    with trio.fail_after(20):
        while not check():
            await trio.sleep(0.01)


async def test_rows_come_change_and_go():
    store, follower, seen = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await settle(lambda: seen == {'a': b'1'})
        await store.write('t', 'b', None, b'2')
        await settle(lambda: seen == {'a': b'1', 'b': b'2'})
        await store.write('t', 'a', None, None)
        await settle(lambda: seen == {'b': b'2'})
        nursery.cancel_scope.cancel()


async def test_lost_history_is_made_up_for_by_reading_all():
    store, follower, seen = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await settle(lambda: 'a' in seen)
        store.kept_from = 10**9
        await store.write('t', 'a', None, None)
        await store.write('t', 'b', None, b'2')
        store.kept_from = 0
        await settle(lambda: seen == {'b': b'2'})
        nursery.cancel_scope.cancel()


async def test_evidence_ages_while_the_store_is_away():
    store, follower, seen = make_follower()
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await settle(lambda: 'a' in seen)
        store.is_down = True
        await settle(lambda: follower.is_lost)
        before = follower.evidence_at
        await trio.sleep(0.2)
        assert follower.evidence_at == before
        assert seen == {'a': b'1'}
        store.is_down = False
        await settle(lambda: not follower.is_lost)
        assert follower.evidence_at > before
        nursery.cancel_scope.cancel()


class Peer(follower_lib.PeerTables):
    """A peer that knows `rows` and reads for this host if told so."""

    is_reader = False
    has_seeds = False

    def __init__(self, *rows, age_s=0.0, reads=False, regained_s=None):
        self.rows = rows
        self.age_s = age_s
        self.reads = reads
        self.regained_s = regained_s

    @property
    def version(self):
        return max((row.version for row in self.rows), default=0)

    async def ask(self, table, after):
        return result.Ok(
            follower_lib.Relayed(
                feeds.Changes(
                    tuple(r for r in self.rows if r.version > after),
                    self.version,
                ),
                clocks.now() - self.age_s,
                after < 0,
                self.regained_s,
            )
        )

    async def follow(self, table, after, wait_s):
        if not self.reads:
            return result.Err(errors.Unavailable('no host reads'))
        with trio.move_on_after(wait_s):
            while self.version <= after:
                await trio.sleep(0.001)
        return await self.ask(table, after)


async def test_a_peers_word_counts_with_the_age_of_its_evidence():
    store, follower, seen = make_follower()
    store.is_down = True
    row = feeds.FeedRow('a', 7, b'1')
    follower.peers = Peer(row, age_s=2.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await settle(lambda: seen == {'a': b'1'})
        assert 2.0 <= follower.evidence_age_s() < 20.0
        nursery.cancel_scope.cancel()


async def test_an_older_word_of_a_peer_changes_nothing():
    _, follower, seen = make_follower()
    newer = feeds.FeedRow('a', 7, b'new')
    older = feeds.FeedRow('a', 3, b'old')
    follower._take(feeds.Changes((newer,), 7), 1.0, True)
    follower._take(feeds.Changes((older,), 7), 2.0, False)
    assert seen == {'a': b'new'}


class StaleStore(feeds.MemoryFeeds):
    """Answers from before what it has already said."""

    def __init__(self):
        super().__init__()
        self.behind = None

    async def follow(self, table, after, wait_s):
        if self.behind is not None:
            return result.Ok(self.behind)
        return await super().follow(table, after, wait_s)


async def test_a_stale_answer_is_dropped_and_adds_no_evidence():
    _, follower, seen = make_follower()
    store = StaleStore()
    follower._state.edges = edges.Edges(None, None, None, store)
    await store.write('t', 'a', None, b'1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await settle(lambda: 'a' in seen)
        store.behind = feeds.Changes((), 0)
        await trio.sleep(0.3)
        assert seen == {'a': b'1'}
        store.behind = None
        await store.write('t', 'b', None, b'2')
        await settle(lambda: 'b' in seen)
        nursery.cancel_scope.cancel()


async def test_a_write_under_a_condition_meets_the_row_that_stands():
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


async def test_questions_become_rare_while_the_store_is_away(autojump_clock):
    store = CountingStore()
    store.is_down = True
    _, follower, _ = make_follower()
    follower._state.edges = edges.Edges(None, None, None, store)
    with trio.move_on_after(30):
        await follower.run()
    # A fixed pause of 0.3 s would ask a hundred times.
    assert 20 <= store.calls <= 45


async def start_behind(nursery, peer, **changes):
    """Returns a counting store and a follower that has read it once."""
    _, follower, seen = make_follower(**changes)
    store = CountingStore()
    await store.write('t', 'a', None, b'1')
    follower._state.edges = edges.Edges(None, None, None, store)
    follower.peers = peer
    nursery.start_soon(follower.run)
    await settle(lambda: 'a' in seen)
    return store, follower, seen


async def test_behind_a_reader_the_store_is_read_once(autojump_clock):
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True)
    async with trio.open_nursery() as nursery:
        store, _, seen = await start_behind(nursery, peer)
        await trio.sleep(10)
        peer.rows += (feeds.FeedRow('b', 2, b'2'),)
        await settle(lambda: seen == {'a': b'1', 'b': b'2'})
        assert store.calls == 1
        nursery.cancel_scope.cancel()


async def test_a_reader_with_old_evidence_is_done_without():
    peer = Peer(feeds.FeedRow('a', 1, b'1'), age_s=0.6, reads=True)
    async with trio.open_nursery() as nursery:
        store, follower, seen = await start_behind(nursery, peer)
        await store.write('t', 'b', None, b'2')
        await settle(lambda: 'b' in seen)
        assert follower.evidence_age_s() < 0.6
        nursery.cancel_scope.cancel()


async def test_a_reader_that_is_behind_is_done_without():
    peer = Peer(feeds.FeedRow('a', 0, b'0'), reads=True)
    async with trio.open_nursery() as nursery:
        store, _, seen = await start_behind(nursery, peer)
        await settle(lambda: store.calls > 1)
        assert seen == {'a': b'1'}
        nursery.cancel_scope.cancel()


async def test_an_outage_that_only_the_reader_saw_counts_here_too():
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True, regained_s=0.5)
    async with trio.open_nursery() as nursery:
        _, follower, _ = await start_behind(nursery, peer)
        await settle(lambda: follower.regained_s() is not None)
        assert follower.regained_s() >= 0.5
        nursery.cancel_scope.cancel()


async def test_keys_are_trusted_for_three_seconds_after_the_store_has_gone(
    autojump_clock, monkeypatch
):
    """Callers are owed an answer for 0.6 of the 5 s for withdrawn keys."""
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    store, follower, seen = make_follower()
    state = follower._state
    follower = follower_lib.Follower(
        state,
        't',
        lambda rows: None,
        follower_lib.KEY_PARTS.scale(state.cfg.revoke_s),
    )
    oldest_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await trio.sleep(3)
        for _ in range(200):
            await trio.sleep(0.0371)
            oldest_s = max(oldest_s, follower.evidence_age_s())
        nursery.cancel_scope.cancel()
    trusted_s = state.cfg.revoke_s - admission.MARGIN_S
    assert trusted_s - oldest_s >= 0.6 * state.cfg.revoke_s


async def test_an_answer_held_back_counts_from_the_end_of_its_wait(
    autojump_clock, monkeypatch
):
    # Guards against asking the store twice as often as its bounds need.
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


class HastyStore(feeds.MemoryFeeds):
    """Answers at once, without a change."""

    async def follow(self, table, after, wait_s):
        await trio.sleep(0.01)
        return await super().follow(table, after, 0.0)


async def test_an_answer_that_came_early_counts_for_no_longer_than_it_took(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    _, follower, _ = make_follower(wait_s=1.0)
    store = HastyStore()
    follower._state.edges = edges.Edges(None, None, None, store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        for _ in range(100):
            await trio.sleep(0.0071)
            assert follower.evidence_at <= trio.current_time()
        nursery.cancel_scope.cancel()


async def test_a_host_ahead_of_its_reader_waits_for_it(
    autojump_clock, monkeypatch
):
    # Guards against a host that once asked the store doing so for good: the
    # store's version counts the writes to all tables.
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    peer = Peer(feeds.FeedRow('a', 1, b'1'), reads=True)
    async with trio.open_nursery() as nursery:
        store, follower, seen = await start_behind(
            nursery, peer, peer_age_s=2.0
        )
        await store.write('other', 'x', None, b'1')
        follower.version = 2
        await trio.sleep(0.5)
        peer.rows += (feeds.FeedRow('b', 3, b'2'),)
        await settle(lambda: 'b' in seen)
        assert store.calls == 1
        nursery.cancel_scope.cancel()
