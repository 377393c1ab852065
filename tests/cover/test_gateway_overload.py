"""A host that has more work than processor time."""

import trio

from sardinebend_policy import host_delays
from tests.common import gateway_world as world_lib

LATE_S = 0.25
# Eight passes take more than half of the limit of the route, 2 s.
SLOW_S = 0.15


async def overload(clock, late_s=LATE_S):
    """Lets each pass of the host take long, for a while."""
    for _ in range(host_delays.OVERLOAD_STEPS + 1):
        clock.jump(late_s + host_delays.TICK_S)
        await trio.lowlevel.checkpoint()
        await trio.lowlevel.checkpoint()


# Guards against requests that wait behind each other at a host with too small
# a share of a processor, until their callers give up unanswered.
async def test_an_overloaded_host_refuses_at_once_what_it_cannot_answer(clock):
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app) as world:
        await overload(clock)
        status, headers, _, _ = await world.ask(deadline_ms='1500')
        assert status == 503
        assert 0 < float(headers['retry-after']) <= 0.2
        assert not app.requests
        await trio.sleep(2 * host_delays.TICK_S)
        assert (await world.ask(deadline_ms='1500'))[0] == 200


async def test_a_single_pause_does_not_make_a_host_refuse(clock):
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app) as world:
        clock.jump(2.0)
        await trio.lowlevel.checkpoint()
        assert (await world.ask(deadline_ms='1500'))[0] == 200


# Guards against an outage of hosts that share a slow machine: each of them is
# late without a request of its own, and all of them refuse whatever comes.
async def test_a_late_host_without_other_requests_serves_what_has_time(clock):
    app = world_lib.Server('app-1', 'app')
    async with world_lib.running(app) as world:
        await overload(clock, SLOW_S)
        assert (await world.ask(deadline_ms='3000'))[0] == 200


async def test_a_late_host_with_other_requests_refuses_what_comes_late(clock):
    async def wait(headers, stream):
        await trio.sleep_forever()

    app = world_lib.Server('app-1', 'app', wait)
    async with world_lib.running(app) as world, trio.open_nursery() as nursery:
        nursery.start_soon(world.ask)
        await trio.sleep(host_delays.TICK_S)
        assert len(app.requests) == 1
        await overload(clock, SLOW_S)
        assert (await world.ask(deadline_ms='3000'))[0] == 503
        nursery.cancel_scope.cancel()
