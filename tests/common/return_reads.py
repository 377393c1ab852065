"""Counts a fleet's calls of a store that comes back from an older copy.

`python -m tests.common.return_reads 8 77 195` prints a table for fleets of so
many hosts, after outages of several lengths.
"""

import collections
import logging
import sys
import typing
import unittest.mock

import result
import trio
import trio.testing

from sardinebend_gateway import clocks
from sardinebend_gateway import follower as follower_lib
from sardinebend_store import errors
from sardinebend_store import feeds
from tests.common import gateway_world as world_lib

DOMAINS: typing.Final = 4
# Longer than bytes take over loopback.
IDLE_S: typing.Final = 0.002
# The fleet starts, finds itself and agrees on who reads the store.
START_S: typing.Final = 25.0
BEFORE_S: typing.Final = 5.0
OUTAGES_S: typing.Final = (0.0, 1.0, 4.0)
# The operator and a server write again this long after the return.
REWRITE_S: typing.Final = 0.5
AFTER_S: typing.Final = 12.0
POLL_S: typing.Final = 0.05
LOST_WRITES: typing.Final = 30
NEW_VERSION: typing.Final = 5


class Call(typing.NamedTuple):
    """A call that the store received.

    Attributes:
        at: When, in seconds of the virtual clock.
        host: The host that sent it.
        table: The table.
        kind: `whole`, `follow` or `write`.
    """

    at: float
    host: str
    table: str
    kind: str


class Count(typing.NamedTuple):
    """What was counted around one return.

    Attributes:
        hosts: Size of the fleet.
        outage_s: How long the store was away before it came back.
        before: Reads in the busiest second before the outage.
        away: Reads in the busiest second of the outage, none of them answered.
        after: Reads in the busiest second after the return.
        whole: Whole reads after the return, of all tables.
        writes: Writes in the busiest second after the return.
        era_s: Time from the return until all hosts had all tables of the new
            era, in seconds.
        current_s: Time from when they were written until all hosts had a new
            configuration and a new server, in seconds.
        unready_s: Longest time for which a host wasn't ready, in seconds.
    """

    hosts: int
    outage_s: float
    before: int
    away: int
    after: int
    whole: int
    writes: int
    era_s: float
    current_s: float
    unready_s: float


class CountedStore(feeds.FeedStore):
    """One host's client of the shared store."""

    def __init__(
        self, store: feeds.MemoryFeeds, host: str, calls: list[Call]
    ) -> None:
        self._store = store
        self._host = host
        self._calls = calls

    async def read_all(self, table):
        self._record(table, 'whole')
        answer = await self._store.read_all(table)
        self._learn_era()
        return answer

    async def follow(self, table, after, wait_s):
        if feeds.era_of(after) != self.era:
            return result.Err(errors.HistoryLost(f'era {self.era}'))
        self._record(table, 'follow')
        answer = await self._store.follow(table, after, wait_s)
        self._learn_era()
        return answer

    async def write(self, table, key, expected_version, value):
        self._record(table, 'write')
        answer = await self._store.write(table, key, expected_version, value)
        self._learn_era()
        return answer

    def _record(self, table: str, kind: str) -> None:
        self._calls.append(Call(trio.current_time(), self._host, table, kind))

    def _learn_era(self) -> None:
        if not self._store.is_down:
            self.era = self._store.era


class CountedFleet:
    """Hosts in several failure domains with a store that counts calls."""

    def __init__(self, nursery: trio.Nursery, size: int) -> None:
        self.nursery = nursery
        self.store = feeds.MemoryFeeds()
        self.calls: list[Call] = []
        self.unready_s: collections.Counter = collections.Counter()
        self.hosts = []
        for number in range(size):
            name = f'host-{number}'
            store = CountedStore(self.store, name, self.calls)
            domain = f'domain-{number % DOMAINS}'
            self.hosts.append(
                world_lib.World(
                    nursery, (), store=store, name=name, domain=domain
                )
            )

    async def start(self) -> None:
        """Starts the hosts and waits until all are ready."""
        await self.put_config(1)
        await self.list_server('app-0')
        for host in self.hosts:
            self.nursery.start_soon(host.gateway.run)
        await trio.sleep(START_S)
        assert all(host.gateway.is_ready() for host in self.hosts)

    async def put_config(self, version: int) -> None:
        await world_lib.World.put_config(self, world_lib.make_config(version))

    async def list_server(self, name: str) -> None:
        server = world_lib.Server(name, 'app')
        server.port = 1
        await world_lib.World.list_server(self, server)

    def have_all_era(self) -> bool:
        """Returns whether all hosts have all tables of the store's era."""
        return all(
            feeds.era_of(follower.version) == self.store.era
            for host in self.hosts
            for follower in list_followers(host)
        )

    def are_current(self) -> bool:
        """Returns whether all hosts have what was written anew."""
        return all(
            host.gateway.state.catalog.version == NEW_VERSION
            and 'app-1' in host.gateway.state.endpoints.names()
            for host in self.hosts
        )

    async def watch_readiness(self) -> None:
        while True:
            await trio.sleep(POLL_S)
            for host in self.hosts:
                if not host.gateway.is_ready():
                    self.unready_s[host.gateway.state.cfg.name] += POLL_S

    async def measure(self, is_reached: typing.Callable[[], bool]) -> float:
        """Returns how long it takes until a condition holds, in seconds."""
        began_at = trio.current_time()
        with trio.move_on_after(AFTER_S):
            while not is_reached():
                await trio.sleep(POLL_S)
            return trio.current_time() - began_at
        return float('inf')

    def list_calls(self, kinds: str, start: float, end: float) -> list[Call]:
        """Returns the calls of some kinds in a time."""
        return [
            call
            for call in self.calls
            if call.kind in kinds.split() and start <= call.at < end
        ]

    def count_busiest(self, kinds: str, start: float, end: float) -> int:
        """Returns the most calls of some kinds in any second of a time."""
        times = [call.at for call in self.list_calls(kinds, start, end)]
        first = busiest = 0
        for last, at in enumerate(times):
            while at - times[first] >= 1.0:
                first += 1
            busiest = max(busiest, last - first + 1)
        return busiest


def list_followers(host: world_lib.World) -> list[follower_lib.Follower]:
    """Returns a host's followers of all tables."""
    gateway = host.gateway
    return [
        gateway._catalog.follower,
        gateway._endpoints.follower,
        gateway._shared,
    ]


async def _count(size: int, outage_s: float) -> Count:
    async with trio.open_nursery() as nursery:
        fleet = CountedFleet(nursery, size)
        await fleet.start()
        away_at = trio.current_time() + BEFORE_S
        await trio.sleep(BEFORE_S)
        nursery.start_soon(fleet.watch_readiness)
        if outage_s:
            fleet.store.is_down = True
            fleet.store._notify()
            await trio.sleep(outage_s)
            fleet.store.is_down = False
        back_at = trio.current_time()
        fleet.store.return_from_copy(LOST_WRITES)
        times: dict[str, float] = {}

        async def measure_era() -> None:
            times['era'] = await fleet.measure(fleet.have_all_era)

        nursery.start_soon(measure_era)
        await trio.sleep(REWRITE_S)
        await fleet.put_config(NEW_VERSION)
        await fleet.list_server('app-1')
        current_s = await fleet.measure(fleet.are_current)
        await trio.sleep_until(back_at + AFTER_S)
        nursery.cancel_scope.cancel()
    end = back_at + AFTER_S
    return Count(
        size,
        outage_s,
        fleet.count_busiest('whole follow', away_at - BEFORE_S, away_at),
        fleet.count_busiest('whole follow', away_at, back_at),
        fleet.count_busiest('whole follow', back_at, end),
        len(fleet.list_calls('whole', back_at, end)),
        fleet.count_busiest('write', back_at, end),
        times.get('era', float('inf')),
        current_s,
        max(fleet.unready_s.values(), default=0.0),
    )


def count(size: int, outage_s: float) -> Count:
    """Plays one return in a fleet on the virtual clock.

    Args:
        size: Number of hosts.
        outage_s: How long the store is away before, in seconds.
    """
    clock = trio.testing.MockClock(autojump_threshold=IDLE_S)
    with unittest.mock.patch.object(clocks, 'now', trio.current_time):
        return trio.run(_count, size, outage_s, clock=clock)


def main() -> None:
    """Prints a row for each size given and each length of an outage."""
    logging.disable()
    print('| ' + ' | '.join(Count._fields) + ' |')
    print('| --- ' * len(Count._fields) + '|')
    for size in map(int, sys.argv[1:]):
        for outage_s in OUTAGES_S:
            cells = count(size, outage_s)
            texts = [
                f'{cell:.1f}' if isinstance(cell, float) else str(cell)
                for cell in cells
            ]
            print('| ' + ' | '.join(texts) + ' |', flush=True)


if __name__ == '__main__':
    main()
