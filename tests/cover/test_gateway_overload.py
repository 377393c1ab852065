"""A host that has more work than processor time."""

import trio

from sardinebend_policy import host_delays
from tests.common import gateway_world as world_lib

LATE_S = 0.25


async def overload(clock):
    """Lets each pass of the host take long, for a while."""
    for _ in range(host_delays.OVERLOAD_STEPS + 1):
        clock.jump(LATE_S + host_delays.TICK_S)
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
