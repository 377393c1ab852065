"""Runs one soak on the virtual clock."""

import contextlib
import logging
import random
import typing
import unittest.mock
import uuid

import trio
import trio.testing

from sardinebend_gateway import clocks
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests.soak import fleet as fleet_lib

# Longer than bytes take over loopback, so that the virtual clock stands still
# while any are in transit.
IDLE_S: typing.Final = 0.002
DURATION_S: typing.Final = 30.0
# After the last request, all faults end and callers time out within this time.
SETTLE_S: typing.Final = 10.0


class Result(typing.NamedTuple):
    """The result of a soak."""

    request_count: int
    served_share: float
    violations: list[str]
    log: list[str]


class TaskOrder(random.Random):
    """Orders the tasks that are ready at the same time.

    By itself, trio draws each order from one generator, whose state depends on
    the number of draws. That differs between plays of a seed: it depends on how
    many bytes the kernel takes at once and on how soon it delivers them.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._seed = seed

    def shuffle(self, x: typing.MutableSequence[typing.Any]) -> None:
        """Shuffles tasks, which come by age, by the time alone."""
        random.Random(hash((self._seed, trio.current_time()))).shuffle(x)


def run(seed: int, duration_s: float = DURATION_S) -> Result:
    """Runs one soak and checks its guarantees; the same each time."""
    logging.getLogger('sardinebend.decisions').setLevel(logging.CRITICAL)
    clock = trio.testing.MockClock(autojump_threshold=IDLE_S)
    with (
        unittest.mock.patch.object(clocks, 'now', trio.current_time),
        _seeded(seed),
    ):
        return trio.run(_run, seed, duration_s, clock=clock)


@contextlib.contextmanager
def _seeded(seed: int) -> typing.Iterator[None]:
    """Makes the order of tasks and the incarnations of hosts repeatable.

    Trio offers no public way to do the former.
    """
    rng = random.Random(seed)

    def make_uuid() -> uuid.UUID:
        return uuid.UUID(int=rng.getrandbits(128))

    scheduler = trio._core._run
    with (
        unittest.mock.patch.object(
            scheduler, '_ALLOW_DETERMINISTIC_SCHEDULING', True
        ),
        unittest.mock.patch.object(scheduler, '_r', TaskOrder(seed)),
        unittest.mock.patch.object(uuid, 'uuid4', make_uuid),
    ):
        yield


async def _run(seed: int, duration_s: float) -> Result:
    async with trio.open_nursery() as nursery:
        fleet = fleet_lib.Fleet(nursery, seed)
        await fleet.start()
        with trio.move_on_after(duration_s):
            async with trio.open_nursery() as load:
                load.start_soon(callers.run, fleet)
                load.start_soon(faults.run, fleet)
        fleet.is_ending = True
        await trio.sleep(SETTLE_S)
        record_end(fleet)
        result = Result(
            len(fleet.requests),
            checks.served_share(fleet),
            checks.check(fleet),
            fleet.log,
        )
        nursery.cancel_scope.cancel()
    return result


def record_end(fleet) -> None:
    """Records which running hosts callers aren't sent to."""
    fleet.ended_at = trio.current_time()
    for host in fleet.hosts:
        if not host.is_up:
            continue
        if not host.is_ready():
            fleet.unready_at_end.append(host.name)
            fleet.add_log(f'{host.name} is not ready: {_explain_unready(host)}')
        leftover_shares = _list_leftover_shares(host)
        if leftover_shares:
            fleet.leftover_shares.append(f'{host.name}: {leftover_shares}')


def _list_leftover_shares(host):
    """Returns the use that a host still counts without a stream at an engine.

    Hosts in other processes don't show it.
    """
    gateway = getattr(host.world, 'gateway', None)
    if gateway is None or gateway.state.inflight.requests:
        return []
    state = gateway.state
    services = state.catalog.services if state.catalog else ()
    return [use for s in services for use in state.shares.own(s).items()]


def _explain_unready(host):
    """Describes what readiness depends on, for a host in this process."""
    gateway = getattr(host.world, 'gateway', None)
    if gateway is None:
        return 'see its log'
    state = gateway.state
    return (
        f'stopping: {state.is_stopping}, configuration:'
        f' {state.catalog is not None}, age {state.catalog_age_s():.2f} s,'
        f' servers read: {gateway._endpoints.follower.has_rows},'
        f' failed tasks: {gateway.supervisor._failures}'
    )
