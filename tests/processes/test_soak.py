"""A short soak over the real programs; `python -m tests.soak --processes`."""

import pytest

from tests.soak import process_fleet
from tests.soak import process_soak

LAST_S = 12.0


@pytest.mark.parametrize('seed', [1])
def test_promises_hold_for_real_processes_under_faults(seed):
    result = process_soak.play(seed, LAST_S, hosts=3, engines=4, is_timed=False)
    assert result.broken == [], '\n'.join(result.log)
    assert result.asked > 0


def test_a_soak_over_processes_finds_a_request_that_runs_twice(monkeypatch):
    """The books of the servers are what the checks go by."""
    take = process_fleet.ProcessFleet._take

    def take_twice(fleet, data, open_runs):
        kind = data['kind']
        take(fleet, dict(data), open_runs)
        if kind == 'run':
            take(fleet, dict(data), open_runs)

    monkeypatch.setattr(process_fleet.ProcessFleet, '_take', take_twice)
    result = process_soak.play(2, 6.0, hosts=3, engines=4, is_timed=False)
    assert any('ran 2 times' in line for line in result.broken)
