"""Requests under which every server that runs them ends."""

import pytest
import trio
import trio.testing

from sardinebend_gateway import clocks
from tests.common import crashing_world

# Longer than bytes take over loopback, so that time stands meanwhile.
IDLE_S = 0.002
REPEATS = 20


@pytest.fixture(name='clock')
def fixture_clock(monkeypatch):
    """Returns the virtual clock that tests and hosts go by."""
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    return trio.testing.MockClock(autojump_threshold=IDLE_S)


@pytest.mark.parametrize('renames', [False, True])
@pytest.mark.parametrize('target', ['/look/x', '/book/x', '/draft/x'])
async def test_a_crashing_request_stops_reaching_servers_fleet_wide(
    target, renames, clock
):
    # Guards against a request that ended three servers being sent to more.
    async with crashing_world.running(renames) as fleet:
        await fleet.repeat(target, REPEATS)
        late = fleet.late_arrivals()
    assert len(late) <= crashing_world.LATE_REPEATS_BORNE
