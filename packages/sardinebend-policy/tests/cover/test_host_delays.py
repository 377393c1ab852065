import pytest

from sardinebend_policy import host_delays
from sardinebend_policy import overload

START = 100.0
PAUSE_S = 1.3


def make_delays(until=START + 1.0):
    delays = host_delays.HostDelays(START)
    now = START
    while now < until - host_delays.TICK_S / 2:
        now += host_delays.TICK_S
        assert not delays.record_tick(now)
    return delays, now


def test_a_host_on_time_keeps_the_time_of_its_clock():
    delays, now = make_delays()
    assert delays.on_time(now) == pytest.approx(now)
    assert delays.on_time(now + 0.02) == pytest.approx(now + 0.02)
    assert delays.earliest_signal_at(now + 0.02) == now + 0.02


@pytest.mark.parametrize('is_recorded', [True, False])
def test_a_pause_is_not_counted_whoever_runs_first_after_it(is_recorded):
    delays, now = make_delays()
    if is_recorded:
        assert delays.record_tick(now + PAUSE_S) > PAUSE_S - 0.2
    on_time = delays.on_time(now + PAUSE_S)
    assert on_time == pytest.approx(now + host_delays.MAX_STEP_S)
    assert delays.earliest_signal_at(now + PAUSE_S) == pytest.approx(now)


def test_a_signal_long_after_a_pause_was_not_sent_in_it():
    delays, now = make_delays()
    delays.record_tick(now + PAUSE_S)
    later = now + PAUSE_S + host_delays.TICK_S
    delays.record_tick(later)
    later += host_delays.TICK_S
    delays.record_tick(later)
    assert delays.earliest_signal_at(later) == later


def test_time_never_goes_back():
    delays, now = make_delays()
    times = [delays.on_time(now)]
    for step in (0.05, 0.14, 0.16, 0.9):
        times.append(delays.on_time(now + step))
    delays.record_tick(now + 0.9)
    times.append(delays.on_time(now + 0.9))
    times.append(delays.on_time(now + 0.95))
    assert times == sorted(times)


def test_a_host_is_on_time_only_some_time_after_a_pause():
    delays, now = make_delays()
    assert delays.was_on_time_for(1.0, now)
    # Nothing has recorded the pause yet.
    assert not delays.was_on_time_for(0.0, now + PAUSE_S)
    now += PAUSE_S
    delays.record_tick(now)
    for _ in range(11):
        assert not delays.was_on_time_for(1.0, now)
        now += host_delays.TICK_S
        delays.record_tick(now)
    assert delays.was_on_time_for(1.0, now)
    assert not delays.was_on_time_for(1.2, now)


# Guards against busy hosts that never take an endpoint for failed.
def test_short_delays_leave_what_a_host_measures_as_evidence():
    delays, now = make_delays()
    for _ in range(10):
        now += host_delays.HELD_UP_STEP_S - 0.01
        delays.record_tick(now)
    assert delays.was_on_time_for(1.0, now)
    delays.record_tick(now + host_delays.HELD_UP_STEP_S + 0.01)
    assert not delays.was_on_time_for(1.0, now + 0.2)


def test_delays_are_summed_for_a_second():
    delays, now = make_delays()
    assert delays.recent_delay_s() == 0
    for _ in range(2):
        now += 0.4
        delays.record_tick(now)
    assert delays.recent_delay_s() == pytest.approx(0.6)
    delays.record_tick(now + 0.7)
    assert delays.recent_delay_s() == pytest.approx(0.9)
    delays.record_tick(now + 1.8)
    assert delays.recent_delay_s() == pytest.approx(1.0)


def test_only_late_steps_in_a_row_show_an_overload():
    delays, now = make_delays()
    delays.record_tick(now + PAUSE_S)
    assert delays.overload_s() == 0
    now += PAUSE_S + host_delays.TICK_S
    delays.record_tick(now)
    for _ in range(host_delays.OVERLOAD_STEPS):
        assert delays.overload_s() == 0
        now += 0.3
        delays.record_tick(now)
    assert delays.overload_s() == pytest.approx(0.2)
    delays.record_tick(now + host_delays.TICK_S)
    assert delays.overload_s() == 0


def test_an_overloaded_host_begins_what_it_can_answer_in_time():
    assert overload.can_begin(0.0, 0.01)
    assert overload.can_begin(0.05, 1.5)
    assert not overload.can_begin(0.2, 1.5)
    assert overload.can_begin(0.2, 20.0)
    # A caller that waits for 20 s in all doesn't wait as long for an event.
    assert not overload.can_begin(0.5, 20.0)
