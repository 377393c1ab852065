"""Plays one soak over processes, in real time."""

import trio

from tests.soak import callers
from tests.soak import checks
from tests.soak import process_faults
from tests.soak import process_fleet
from tests.soak import soak

SETTLE_S = 9.0


def play(seed, last_s=30.0, hosts=3, engines=8, is_timed=True):
    """Plays one soak and judges it."""
    return trio.run(_play, seed, last_s, hosts, engines, is_timed)


async def _play(seed, last_s, hosts, engines, is_timed):
    async with trio.open_nursery() as nursery:
        fleet = process_fleet.ProcessFleet(nursery, seed, hosts, engines)
        try:
            await fleet.start()
            nursery.start_soon(process_faults.workers_revived, fleet)
            with trio.move_on_after(last_s):
                async with trio.open_nursery() as troubles:
                    troubles.start_soon(callers.run, fleet)
                    troubles.start_soon(process_faults.run, fleet)
            await trio.sleep(SETTLE_S)
        finally:
            fleet.close()
        fleet.read_books()
        result = soak.Result(
            len(fleet.asked),
            checks.served_share(fleet),
            checks.check(fleet, is_timed),
            [str(fleet.folder), *fleet.log],
        )
        nursery.cancel_scope.cancel()
    return result
