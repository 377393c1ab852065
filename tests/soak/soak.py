"""Plays one soak on the virtual clock."""

import logging
import typing
import unittest.mock

import trio
import trio.testing

from sardinebend_gateway import clocks
from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests.soak import fleet as fleet_lib

# Longer than bytes take over loopback, so that time stands while any are on
# their way.
IDLE_S: typing.Final = 0.002
LAST_S: typing.Final = 30.0
# Faults end and callers give up within this time after the last request.
SETTLE_S: typing.Final = 9.0


class Result(typing.NamedTuple):
    """What a soak showed."""

    asked: int
    served: float
    broken: list[str]
    log: list[str]


def play(seed: int, last_s: float = LAST_S) -> Result:
    """Plays one soak and judges it."""
    logging.getLogger('sardinebend.decisions').setLevel(logging.CRITICAL)
    clock = trio.testing.MockClock(autojump_threshold=IDLE_S)
    with unittest.mock.patch.object(clocks, 'now', trio.current_time):
        return trio.run(_play, seed, last_s, clock=clock)


async def _play(seed: int, last_s: float) -> Result:
    async with trio.open_nursery() as nursery:
        fleet = fleet_lib.Fleet(nursery, seed)
        await fleet.start()
        with trio.move_on_after(last_s):
            async with trio.open_nursery() as troubles:
                troubles.start_soon(callers.run, fleet)
                troubles.start_soon(faults.run, fleet)
        await trio.sleep(SETTLE_S)
        result = Result(
            len(fleet.asked),
            checks.served_share(fleet),
            checks.check(fleet),
            fleet.log,
        )
        nursery.cancel_scope.cancel()
    return result
