"""Fixtures of the fast tests."""

import pytest
import trio
import trio.testing

from sardinebend_gateway import clocks

# Longer than bytes take over loopback, so that the virtual clock stands still
# while any are in transit.
IDLE_S = 0.002


@pytest.fixture(name='clock')
def fixture_clock(monkeypatch):
    """Returns the virtual clock of tests and hosts."""
    monkeypatch.setattr(clocks, 'now', trio.current_time)
    return trio.testing.MockClock(autojump_threshold=IDLE_S)
