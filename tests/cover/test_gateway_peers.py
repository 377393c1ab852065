"""Hosts that relay rows to each other during a store outage."""

import contextlib

import pytest
import trio

from sardinebend_gateway import shared_table
from sardinebend_peers import codec
from sardinebend_peers import messages
from sardinebend_policy import liveness as liveness_lib
from sardinebend_store import feeds
from tests.common import decision_log
from tests.common import gateway_world as world_lib


def make_unavailable_store():
    store = feeds.MemoryFeeds()
    store.is_down = True
    return store


@contextlib.asynccontextmanager
async def two_hosts(server):
    """Yields a host with the store, and one that has only the first as peer."""
    port = world_lib.free_port()
    async with world_lib.running(server, relay_port=port) as first:
        second = world_lib.World(
            first.nursery,
            (),
            seeds=(port,),
            store=make_unavailable_store(),
            name='host-2',
        )
        with trio.fail_after(20):
            await second.start_gateway()
        yield first, second


async def test_a_host_that_starts_without_the_store_reads_from_a_seed():
    async with two_hosts(world_lib.Server('app-1', 'app')) as (_, second):
        with trio.fail_after(20):
            while (await second.ask())[0] != 200:
                await trio.sleep(0.05)
        assert second.gateway.state.catalog.version == 1


async def test_relayed_evidence_is_never_newer_than_the_peers_own():
    async with two_hosts(world_lib.Server('app-1', 'app')) as (first, second):
        one, other = first.gateway.state, second.gateway.state
        # Relayed evidence is never newer than the direct evidence behind it.
        for _ in range(20):
            assert other.catalog_at <= one.catalog_at
            await trio.sleep(0.02)


async def test_a_withdrawn_key_is_refused_by_a_host_without_the_store():
    server = world_lib.Server('app-1', 'app')
    async with two_hosts(server) as (first, second):
        with trio.fail_after(20):
            await first.put_config(world_lib.make_config(2, tenants=[]))
            while second.gateway.state.catalog.version < 2:
                await trio.sleep(0.02)
        assert (await second.ask())[0] in (401, 503)
    assert server.requests == []


async def test_a_malformed_host_row_or_lease_row_is_skipped():
    async with world_lib.running(world_lib.Server('app-1', 'app')) as world:
        for number, value in enumerate(
            (b'', b'{', b'[]', b'{"callers": "x"}', b'\xff', BAD_ADDRESS)
        ):
            await world.store.write(
                'sardinebend', f'host/{number}', None, value
            )
        await world.store.write('sardinebend', 'lease/orders', None, b'[]')
        await trio.sleep(0.6)
        assert world.gateway.members.peers() == {}
        assert (await world.ask())[0] == 200


BAD_ADDRESS = (
    b'{"callers": "10.0.0.1:1", "beats": "10.0.0.1:0", "relay": "10.0.0.1:1",'
    b' "domain": "d", "incarnation": "i", "is_leaving": false}'
)


def lost_lines(lines):
    """Returns the fields of the lines on the second host's loss."""
    return [
        fields
        for name, fields in lines
        if name == 'peer_lost' and fields['peer'] == 'host-2'
    ]


@pytest.mark.parametrize('is_leaving', [True, False])
async def test_the_line_of_a_lost_peer_tells_whether_it_announced_that(
    is_leaving,
):
    # Guards against lines of which nobody can tell whether a host was stopped
    # or has died.
    with decision_log.collecting() as lines:
        async with world_lib.running() as first:
            second = world_lib.World(
                first.nursery, (), store=first.store, name='host-2'
            )
            live_peers = first.gateway.members.live_peers
            scope = trio.CancelScope()

            async def run():
                with scope:
                    await second.gateway.run()

            first.nursery.start_soon(run)
            with trio.fail_after(20):
                while 'host-2' not in live_peers():
                    await trio.sleep(0.02)
                await trio.sleep(0.5)
                if is_leaving:
                    second.gateway.begin_stop()
                else:
                    scope.cancel()
                while not lost_lines(lines):
                    await trio.sleep(0.02)
    assert lost_lines(lines) == [
        {'peer': 'host-2', 'is_listed': True, 'is_leaving': is_leaving}
    ]


@contextlib.asynccontextmanager
async def host_with_silent_peer():
    """Yields a host; its peer sends no heartbeat until the test does."""
    async with world_lib.running() as first:
        second = world_lib.World(
            first.nursery, (), store=first.store, name='host-2'
        )
        row = second.gateway.members._own_row
        first.gateway.members.apply_row(
            feeds.FeedRow('host/host-2', 1, shared_table.encode(row))
        )
        yield first, row


def beat(first, row):
    heartbeat = messages.LoadHeartbeat(
        'host-2', row['incarnation'], False, (), b''
    )
    first.gateway._heartbeats._apply(heartbeat)


# Guards against callers that are told of one host only, and roles that change,
# because a host took its own pause for the silence of all others.
@pytest.mark.parametrize('pause_s', [1.5, 30.0])
async def test_no_peer_is_lost_by_a_pause_of_the_host_itself(clock, pause_s):
    with decision_log.collecting() as lines:
        async with host_with_silent_peer() as (first, row):
            await trio.sleep(1.0)
            beat(first, row)
            clock.jump(pause_s)
            members = first.gateway.members
            assert set(members.live_peers()) == {'host-2'}
            assert len(members.addresses('east')) == 2
            members.refresh_live_peers()
            await trio.sleep(0.3)
            beat(first, row)
            await trio.sleep(0.3)
            assert set(members.live_peers()) == {'host-2'}
    assert not lost_lines(lines)


# Guards against a clock for the silence of others that never ends it.
async def test_a_peer_that_stays_silent_after_a_pause_is_lost(clock):
    with decision_log.collecting() as lines:
        async with host_with_silent_peer() as (first, row):
            await trio.sleep(1.0)
            beat(first, row)
            clock.jump(5.0)
            await trio.sleep(1.6)
            assert not first.gateway.members.live_peers()
    assert len(lost_lines(lines)) == 1


# Guards against a failed host that others take for live because a host that
# was held up relays heartbeats as if they were new.
async def test_relayed_ages_include_the_pause_of_the_host(clock):
    async with host_with_silent_peer() as (first, row):
        await trio.sleep(1.0)
        for number in range(liveness_lib.HEARTBEAT_PEERS):
            other = {**row, 'incarnation': f'i{number}'}
            first.gateway.members.apply_row(
                feeds.FeedRow(f'host/x{number}', 1, shared_table.encode(other))
            )
        beat(first, row)
        clock.jump(2.0)
        assert relayed_age_s(first) >= 2.0
        # It may have waited in the socket for the whole pause.
        beat(first, row)
        assert relayed_age_s(first) >= 2.0
        await trio.sleep(0.5)
        beat(first, row)
        assert relayed_age_s(first) <= 0.3


def relayed_age_s(world):
    """Returns the age that a host relays of the only heartbeat it has."""
    data = world.gateway._heartbeats._encode()
    digest = codec.decode(data).message.heard
    assert len(digest) == 5
    return digest[4] / 10
