"""Tests of how a process is starved, and of what it is said to have had."""

import os
import subprocess
import sys

import pytest
import trio

from tests.common import layered_scene
from tests.common import starving
from tests.soak import process_fleet

INTERVAL_S = starving.SAMPLE_INTERVAL_S
# The processes that are to share the processor, with the starved one.
PROCESSES = 7
RESERVE = """
from tests.common import starving
with starving._reserved_processor(None) as number:
    print(number, flush=True)
    input()
"""


def make_samples(intervals):
    """Returns samples of a process, by what it got in each interval.

    Args:
        intervals: For each, the time for which it ran, the waits that ended,
            and whether the process is runnable at the interval's end.
    """
    samples = [starving.Sample(100.0, 5.0, 7.0, False)]
    for run_s, wait_s, is_runnable in intervals:
        last = samples[-1]
        samples.append(
            starving.Sample(
                last.at + INTERVAL_S,
                last.run_s + run_s,
                last.wait_s + wait_s,
                is_runnable,
            )
        )
    return samples


def make_starved(intervals):
    starved = starving.Starved(None, 3, PROCESSES - 1)
    starved.samples = make_samples(intervals)
    return starved


SHARE_S = INTERVAL_S / PROCESSES
FAIR = (SHARE_S, INTERVAL_S - SHARE_S, True)
IDLE = (0.001, 0.0, False)
NOTHING = (0.0, 0.0, True)


@pytest.mark.parametrize(
    'intervals',
    [
        [FAIR] * 60,
        [IDLE] * 60,
        [FAIR] * 20 + [IDLE] * 20 + [FAIR] * 20,
        # Short tasks of an idle process that wait for their turn each.
        [(0.002, 0.04, False)] * 60,
        # Held up for less than half of the time that counts.
        [FAIR] * 20 + [NOTHING] * 3 + [(0.01, 0.39, True)] + [FAIR] * 20,
        # A little less than the share.
        [(0.7 * SHARE_S, INTERVAL_S - 0.7 * SHARE_S, True)] * 60,
    ],
)
def test_a_process_that_could_use_its_share_had_it(intervals):
    assert make_starved(intervals).had_share


@pytest.mark.parametrize(
    'intervals',
    [
        # Killed before its wait ended, which is never counted then.
        [FAIR] * 20 + [NOTHING] * 14,
        # The wait is counted when it ends.
        [FAIR] * 20 + [NOTHING] * 13 + [(0.01, 1.4, True)] + [FAIR] * 20,
        # Much less than the share, all the time.
        [(0.3 * SHARE_S, INTERVAL_S - 0.3 * SHARE_S, True)] * 60,
        # An idle process that gets nothing once it needs it.
        [IDLE] * 20 + [NOTHING] * 14,
    ],
)
def test_a_process_that_waited_much_longer_did_not_have_its_share(intervals):
    assert not make_starved(intervals).had_share


@pytest.mark.parametrize('intervals', [[], [FAIR] * 5])
def test_a_share_that_was_not_measured_was_not_had(intervals):
    assert not make_starved(intervals).had_share


def test_a_host_without_its_share_makes_a_play_invalid(tmp_path):
    scene = layered_scene.LayeredScene(None, tmp_path / 'scene', 1)
    scene.starved['host-0'] = make_starved([FAIR] * 60)
    assert scene.list_delays(0.5) == []
    scene.starved['host-1'] = make_starved([FAIR] * 20 + [NOTHING] * 20)
    [found] = scene.list_delays(0.5)
    assert found.startswith('host-1 had 0.000 of processor 3')


def test_a_test_that_was_held_up_makes_a_play_invalid(tmp_path):
    scene = layered_scene.LayeredScene(None, tmp_path / 'scene', 1)
    scene.own_delay_s = 0.6
    assert scene.list_delays(0.5) == ['the test was held up for 0.600 s']


async def test_what_a_process_gets_is_read_until_it_ends():
    work = 'import time; t = time.process_time\nwhile t() < 0.15: pass'
    process = process_fleet.Process(['-c', work], subprocess.DEVNULL)
    starved = starving.Starved(process, 0, 0)
    with trio.fail_after(30.0):
        await starved.keep_sampling()
    first, *_, last = starved.samples
    assert last.run_s > first.run_s


# Guards against two suites whose hosts share a processor, so that each has half
# of what its test means.
def test_processors_of_other_processes_are_not_taken():
    other = subprocess.Popen(
        [sys.executable, '-c', RESERVE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with other:
        their_number = int(other.stdout.readline())
        with starving._reserved_processor(their_number) as number:
            assert number != their_number
        other.communicate('\n')


def test_a_processor_is_taken_even_if_none_is_left(monkeypatch):
    number = min(os.sched_getaffinity(0))
    monkeypatch.setattr(os, 'sched_getaffinity', lambda _: {number})
    with starving._reserved_processor(None) as first:
        with starving._reserved_processor(None) as second:
            assert first == second == number


def test_a_processor_that_was_given_back_is_taken_again():
    with starving._reserved_processor(None) as first:
        pass
    with starving._reserved_processor(first) as second:
        assert first == second
