"""Runs one soak over processes, in real time."""

import trio

from tests.soak import callers
from tests.soak import checks
from tests.soak import process_faults
from tests.soak import process_fleet
from tests.soak import soak

# A host whose stop began last has ended and is ready again by then.
SETTLE_S = 12.0


def run(seed, duration_s=30.0, hosts=3, engines=8, is_timed=True):
    """Runs one soak and checks its guarantees."""
    return trio.run(_run, seed, duration_s, hosts, engines, is_timed)


async def _run(seed, duration_s, hosts, engines, is_timed):
    async with trio.open_nursery() as nursery:
        fleet = process_fleet.ProcessFleet(nursery, seed, hosts, engines)
        try:
            await fleet.start()
            nursery.start_soon(process_faults.restart_crashed_workers, fleet)
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as load:
                    load.start_soon(callers.run, fleet)
                    load.start_soon(process_faults.run, fleet)
            fleet.is_ending = True
            await trio.sleep(SETTLE_S)
            soak.record_end(fleet)
        finally:
            fleet.close()
        fleet.read_records()
        result = soak.Result(
            len(fleet.requests),
            checks.served_share(fleet),
            checks.check(fleet, is_timed),
            [str(fleet.folder), *fleet.log],
        )
        nursery.cancel_scope.cancel()
    return result
