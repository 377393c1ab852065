"""A short soak over the real programs.

`python -m tests.soak --processes` runs longer ones.
"""

import json
import subprocess
import threading

import pytest
import trio

from tests.common import starving
from tests.soak import fleet as fleet_lib
from tests.soak import process_faults
from tests.soak import process_fleet
from tests.soak import process_soak

DURATION_S = 12.0


@pytest.mark.parametrize('seed', [1])
def test_guarantees_hold_for_real_processes_under_faults(seed):
    result = process_soak.run(
        seed, DURATION_S, hosts=3, engines=4, is_timed=False
    )
    assert result.violations == [], '\n'.join(result.log)
    assert result.request_count > 0


def test_a_soak_over_processes_finds_a_request_that_runs_twice(monkeypatch):
    """Duplicates all runs that servers recorded, which the checks must find."""
    add_record = process_fleet.ProcessFleet._add_record

    def add_twice(fleet, data, open_runs):
        kind = data['kind']
        add_record(fleet, dict(data), open_runs)
        if kind == 'run':
            add_record(fleet, dict(data), open_runs)

    monkeypatch.setattr(process_fleet.ProcessFleet, '_add_record', add_twice)
    result = process_soak.run(2, 6.0, hosts=3, engines=4, is_timed=False)
    assert any('ran 2 times' in line for line in result.violations)


def test_a_soak_over_processes_finds_streams_cut_at_a_planned_stop(monkeypatch):
    """Kills hosts while they stop, when their servers are still at work."""
    stop_host = process_faults.stop_host

    async def stop_and_kill(fleet, host):
        fleet.nursery.start_soon(kill_soon, host.process)
        await stop_host(fleet, host)

    async def kill_soon(process):
        await trio.sleep(2.5)
        process.kill()

    monkeypatch.setattr(process_faults, 'stop_host', stop_and_kill)
    monkeypatch.setattr(process_faults, 'KINDS', (process_faults.host_stopped,))
    result = process_soak.run(2, 6.0, hosts=3, engines=4, is_timed=False)
    assert any('(draft): closed without' in line for line in result.violations)


# Hosts accepted streams by the time since they had handled the signal, so those
# sent over 3 s after it outlasted the grace period, at whose end hosts are
# killed.
@pytest.mark.parametrize('seed', [2])
def test_no_stream_is_cut_when_hosts_that_were_held_up_stop(monkeypatch, seed):
    monkeypatch.setattr(process_faults, 'LATE_S', (1.3, 1.8))
    monkeypatch.setattr(process_faults, 'KINDS', (process_faults.host_stopped,))
    result = process_soak.run(
        seed, DURATION_S, hosts=4, engines=4, is_timed=False
    )
    assert result.violations == [], '\n'.join(result.log)


@pytest.mark.parametrize('kind', ['host_stopped', 'host_starved'])
def test_a_soak_over_processes_finds_streams_that_outlast_the_grace_period(
    monkeypatch, kind
):
    """Hosts that are held up at their stop are killed at an early end of it."""
    monkeypatch.setattr(fleet_lib, 'GRACE_S', 3.0)
    monkeypatch.setattr(process_faults, 'LATE_S', (1.3, 1.8))
    fault = getattr(process_faults, kind)
    monkeypatch.setattr(process_faults, 'KINDS', (fault,))
    result = process_soak.run(2, 6.0, hosts=3, engines=4, is_timed=False)
    assert any('end of its grace period' in line for line in result.log)
    found = {
        line.partition(' (draft): closed without')[0]
        for line in result.violations
        if '(draft): closed without' in line
    }
    # Those that a host begins after the signal are a matter of load and of what
    # it expects: it refuses what would outlast its stop.
    begun = {
        line.split()[-3] for line in result.log if line.endswith(' has begun')
    }
    assert found & begun, '\n'.join(result.log + result.violations)


# Guards against callers of a soak that stand still until a killed process has
# ended, which takes long on a processor with many others.
async def test_the_soak_goes_on_while_killed_processes_end(monkeypatch):
    waiting = threading.Event()

    def wait(child, timeout=None):
        assert threading.current_thread() is not threading.main_thread()
        waiting.set()

    monkeypatch.setattr(subprocess.Popen, 'wait', wait)
    arguments = ['-c', 'import time; time.sleep(60)']
    host = process_fleet.Process(arguments, subprocess.DEVNULL)
    with starving.starved(host, 1):
        pass
    await host.end()
    assert not host.is_up
    assert waiting.wait(1.0)


# Guards against work that counts as going on for ever, since the server that
# was killed wrote no end of it.
async def test_the_work_of_a_killed_server_ends_with_its_process(
    autojump_clock,
):
    fleet = process_fleet.ProcessFleet(None, 1, hosts=0, engines=2)
    worker = fleet.workers['engine-0']
    worker.born = 1
    sent_at = trio.current_time() - fleet._clock_shift
    run = {
        'kind': 'run',
        'request_id': 'q1',
        'server': 'engine-0',
        'born': 1,
        'at': sent_at,
        'customer': 'vanua',
        'has_key': False,
        'ended_at': None,
        'events': [],
    }
    for name in fleet.workers:
        lines = [json.dumps(run)] if name == 'engine-0' else []
        (fleet.folder / f'{name}.book').write_text('\n'.join(lines))
    await trio.sleep(2.0)
    worker.record_process_end()
    await trio.sleep(2.0)
    fleet.read_records()
    [read] = fleet.runs
    assert read.ended_at - read.at == 2.0
    assert not read.is_sound
