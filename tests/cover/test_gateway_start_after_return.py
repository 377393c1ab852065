"""Hosts that start while the store lacks the newest configuration."""

import contextlib
import unittest.mock

import pytest
import trio

from sardinebend_gateway import settled_era
from sardinebend_gateway import shared_table
from sardinebend_gateway import start_check
from sardinebend_gateway import watch
from tests.common import gateway_world as world_lib

NEW_KEY = 'key-of-nilecycle'
HOSTS = 3
# Hosts that start together, many enough that each asks some of the others.
STARTING = 6
# Until the hosts have discovered each other and applied a configuration.
SETTLE_S = 3.0
START_DELAY_S = 0.5
# What the start of a host takes in all the tests below, and their resolution.
SLACK_S = 0.5
ABSURD_VERSION = 2**62
SEED_PORTS = pytest.mark.parametrize('has_seeds', [False, True])


class Fleet:
    """Hosts with a shared store; the second configuration revokes a key."""

    def __init__(self, nursery, has_seeds=False):
        self.nursery = nursery
        self.server = world_lib.Server('app-1', 'app')
        self.has_seeds = has_seeds
        self.hosts = []
        self.scopes = {}
        self.store = None

    def make_host(self, name, **ports):
        seeds = [h.gateway._addresses.relay.port for h in self.hosts]
        host = world_lib.World(
            self.nursery,
            (),
            seeds=seeds if self.has_seeds else (),
            store=self.store,
            name=name,
            **ports,
        )
        self.store = host.store
        return host

    def run_host(self, host):
        scope = trio.CancelScope()
        self.scopes[host.gateway.state.cfg.name] = scope

        async def run():
            with scope:
                await host.gateway.run()

        self.nursery.start_soon(run)
        self.hosts.append(host)

    async def start(self):
        hosts = [self.make_host(f'host-{n}') for n in range(HOSTS)]
        await self.server.start(self.nursery)
        await hosts[0].list_server(self.server)
        await self.write_config(5, world_lib.KEY)
        for host in hosts:
            self.run_host(host)
        await trio.sleep(SETTLE_S)
        assert all(host.gateway.is_ready() for host in hosts)

    async def write_config(self, version, *keys):
        tenants = [{'name': 'vanua', 'api_keys': keys, 'priority': 2}]
        config = world_lib.make_config(version, tenants=tenants)
        await world_lib.World.put_config(self, config)

    async def lose_newest_config(self):
        """Writes a configuration that revokes a key, and loses it."""
        before = len(self.store._history)
        await self.write_config(9, NEW_KEY)
        await trio.sleep(SETTLE_S)
        self.store.return_from_copy(len(self.store._history) - before)

    async def start_late_host(self, name='late'):
        await trio.sleep(START_DELAY_S)
        host = self.make_host(name)
        self.run_host(host)
        await trio.sleep(0.01)
        return host

    async def replace_host(self, number):
        """Kills a host and starts it again; returns when it was ready."""
        old = self.hosts.pop(number).gateway
        name = old.state.cfg.name
        self.scopes[name].cancel()
        await trio.sleep(0.1)
        host = self.make_host(
            name,
            relay_port=old._addresses.relay.port,
            heartbeat_port=old._addresses.heartbeats.port,
        )
        self.run_host(host)
        return await time_to_ready(host)


@contextlib.asynccontextmanager
async def running(has_seeds=False):
    """Yields a running fleet."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, has_seeds)
        await fleet.start()
        yield fleet
        nursery.cancel_scope.cancel()


async def time_to_ready(host, limit_s=30.0):
    """Returns after which time a host is ready."""
    started_at = trio.current_time()
    with trio.fail_after(limit_s):
        while not host.gateway.is_ready():
            await trio.sleep(0.005)
    return trio.current_time() - started_at


async def collect_statuses(host, seconds, key=world_lib.KEY):
    """Returns the statuses of requests that are sent for some time."""
    statuses = set()
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        answer = await host.ask('/look/x', authorization=f'Bearer {key}')
        statuses.add(answer[0])
        await trio.sleep(0.1)
    return statuses


# Guards against a host that starts before the operator has written the newest
# configuration again, and accepts a key that it has revoked.
@SEED_PORTS
async def test_a_host_that_starts_on_an_older_copy_accepts_no_revoked_key(
    clock, has_seeds
):
    async with running(has_seeds) as fleet:
        await fleet.lose_newest_config()
        late = await fleet.start_late_host()
        assert await collect_statuses(late, 4.0) == {503}
        assert await collect_statuses(late, 0.3, NEW_KEY) == {503}
        # A route that the copy lacks may be in the newest configuration.
        assert (await late.ask('/unknown/x'))[0] == 503
        assert not late.gateway.is_ready()
        await fleet.write_config(9, NEW_KEY)
        assert await time_to_ready(late) < SLACK_S
        assert await collect_statuses(late, 6.0) == {401}
        assert await collect_statuses(late, 0.1, NEW_KEY) == {200}
        assert len(fleet.server.requests) == 1


# Guards against a host that stays unready for good, since nobody writes the
# configuration again that the others have.
async def test_a_host_that_starts_on_an_older_copy_is_ready_after_a_limit(
    clock,
):
    async with running() as fleet:
        await fleet.lose_newest_config()
        late = await fleet.start_late_host()
        took_s = await time_to_ready(late)
        limit_s = watch.REWRITE_LIMIT_S
        assert limit_s - SLACK_S < took_s < limit_s + SLACK_S
        # From then on the configuration of the copy is the newest.
        later = await fleet.start_late_host('later')
        assert await time_to_ready(later) < SLACK_S


async def test_hosts_that_start_together_on_an_older_copy_wait_for_it(clock):
    # Guards against hosts that confirm the older configuration to each other.
    async with running() as fleet:
        await fleet.lose_newest_config()
        for name in ('host-1', 'host-2'):
            fleet.scopes[name].cancel()
        await trio.sleep(START_DELAY_S)
        starting = [fleet.make_host(f'late-{n}') for n in range(STARTING)]
        for host in starting:
            fleet.run_host(host)
        await trio.sleep(start_check.UNTOLD_LIMIT_S)
        for host in starting:
            assert await collect_statuses(host, 0.3) == {503}
        await fleet.write_config(9, NEW_KEY)
        for host in starting:
            assert await time_to_ready(host) < SLACK_S
            assert await collect_statuses(host, 0.1) == {401}


async def test_a_host_finds_the_live_ones_among_many_that_are_dead(clock):
    # Guards against a choice of peers that none of is alive.
    async with running() as fleet:
        for number in range(20):
            port = world_lib.free_port()
            address = f'{world_lib.IP}:{port}'
            value = shared_table.encode(
                {
                    'callers': address,
                    'beats': address,
                    'relay': address,
                    'domain': 'east',
                    'incarnation': f'i{number}',
                    'is_leaving': False,
                }
            )
            key = f'{shared_table.HOST_PREFIX}dead-{number}'
            await fleet.store.write(shared_table.TABLE, key, None, value)
        await trio.sleep(SETTLE_S)
        await fleet.lose_newest_config()
        late = await fleet.start_late_host()
        assert await collect_statuses(late, 4.0) == {503}


async def kill_all_and_start(fleet):
    """Kills all hosts and starts as many; returns the new ones."""
    for scope in fleet.scopes.values():
        scope.cancel()
    fleet.hosts.clear()
    await trio.sleep(START_DELAY_S)
    started = [fleet.make_host(f'again-{n}') for n in range(HOSTS)]
    for host in started:
        fleet.run_host(host)
    return started


# Guards against hosts that all start before the operator has written the newest
# configuration again, and accept a key that it has revoked (review/9).
@SEED_PORTS
async def test_hosts_that_all_start_after_a_return_accept_no_revoked_key(
    clock, has_seeds
):
    async with running(has_seeds) as fleet:
        await fleet.lose_newest_config()
        started = await kill_all_and_start(fleet)
        await trio.sleep(start_check.UNTOLD_LIMIT_S)
        for host in started:
            assert await collect_statuses(host, 2.0) == {503}
            assert not host.gateway.is_ready()
        await fleet.write_config(9, NEW_KEY)
        for host in started:
            assert await time_to_ready(host) < SLACK_S
            assert await collect_statuses(host, 0.3) == {401}
            assert await collect_statuses(host, 0.1, NEW_KEY) == {200}


# Guards against a fleet that waits for itself, and a host without peers.
async def test_hosts_that_nobody_can_tell_anything_are_ready_after_a_limit(
    clock,
):
    limit_s = watch.REWRITE_LIMIT_S + SLACK_S
    async with running() as fleet:
        fleet.store.return_from_copy(0)
        started = await kill_all_and_start(fleet)
        async with trio.open_nursery() as nursery:
            for host in started:
                nursery.start_soon(time_to_ready, host, limit_s)
    world = world_lib.World(None, ())
    world.store.return_from_copy(0)
    async with trio.open_nursery() as nursery:
        world.nursery = nursery
        await world.put_config(world_lib.make_config())
        nursery.start_soon(world.gateway.run)
        await time_to_ready(world, limit_s)
        nursery.cancel_scope.cancel()


# Guards against a fleet that waits at each start once the store has come back.
@pytest.mark.parametrize('odd_value', [None, b'x', b'-1', b'[]'])
async def test_hosts_that_all_start_in_a_settled_era_are_ready_soon(
    clock, odd_value
):
    limit_s = start_check.UNTOLD_LIMIT_S + SLACK_S
    key = shared_table.SETTLED_ERA_KEY
    async with running() as fleet:
        if odd_value is not None:
            await fleet.store.write(shared_table.TABLE, key, None, odd_value)
        fleet.store.return_from_copy(0)
        await trio.sleep(
            watch.REWRITE_LIMIT_S + settled_era.WRITE_DELAY_S[1] + SETTLE_S
        )
        for host in await kill_all_and_start(fleet):
            await time_to_ready(host, limit_s)
        # The row doesn't tell of the next return.
        fleet.store.return_from_copy(0)
        started = await kill_all_and_start(fleet)
        await trio.sleep(limit_s)
        assert not any(host.gateway.is_ready() for host in started)


# Guards against a row that each host writes.
async def test_few_hosts_write_that_an_era_is_settled(clock):
    async with running() as fleet:
        fleet.store.return_from_copy(0)
        await trio.sleep(2 * watch.REWRITE_LIMIT_S)
        writes = [
            key
            for _, key, _ in fleet.store._history
            if key == shared_table.SETTLED_ERA_KEY
        ]
        assert len(writes) == 1


@SEED_PORTS
async def test_restarts_in_turn_take_no_longer_after_a_return(clock, has_seeds):
    async with running(has_seeds) as fleet:
        before = [await fleet.replace_host(0) for _ in range(HOSTS)]
        await trio.sleep(SETTLE_S)
        fleet.store.return_from_copy(0)
        await trio.sleep(2 * watch.REWRITE_LIMIT_S)
        after = [await fleet.replace_host(0) for _ in range(HOSTS)]
    assert max(after) < max(before) + 0.2


async def test_a_host_beside_the_previous_release_is_ready_after_a_limit(
    clock,
):
    async with running() as fleet:
        fleet.store.return_from_copy(0)
        await trio.sleep(SETTLE_S)
        with unittest.mock.patch.object(
            watch.CatalogUpdater, 'version_to_state', lambda _: None
        ):
            late = await fleet.start_late_host()
            took_s = await time_to_ready(late)
            assert took_s < watch.REWRITE_LIMIT_S + SLACK_S
            # The others have stored by now that the era is settled.
            await trio.sleep(settled_era.WRITE_DELAY_S[1] + SETTLE_S)
            later = await fleet.start_late_host('later')
            took_s = await time_to_ready(later)
    assert took_s < start_check.UNTOLD_LIMIT_S + SLACK_S


async def test_an_absurd_version_delays_only_hosts_that_start(clock):
    # Guards against a host that stays unready because of what one peer states,
    # and against running hosts that refuse requests while they lag behind.
    async with running() as fleet:
        fleet.store.return_from_copy(0)
        await trio.sleep(SETTLE_S)
        with unittest.mock.patch.object(
            watch.CatalogUpdater, 'version_to_state', lambda _: ABSURD_VERSION
        ):
            late = await fleet.start_late_host()
            assert await collect_statuses(fleet.hosts[0], 3.0) == {200}
            assert not late.gateway.is_ready()
            limit_s = watch.REWRITE_LIMIT_S + SLACK_S
            await time_to_ready(late, limit_s)
            assert all(host.gateway.is_ready() for host in fleet.hosts)
