import math

import pytest

from sardinebend_policy import planned_stop
from sardinebend_policy import service_times

GRACE_S = 8.0


def make_stop(now=100.0, grace_s=GRACE_S):
    return planned_stop.PlannedStop.begin(now, grace_s)


def test_requests_are_cut_off_before_the_end_of_the_grace_period():
    stop = make_stop()
    assert stop.started_at < stop.refuses_at < stop.closes_at < stop.cut_at
    assert stop.cut_at < stop.started_at + GRACE_S


def test_a_request_whose_deadline_is_before_the_end_is_admitted():
    stop = make_stop()
    assert stop.may_admit(102.9, 104.0, None)
    assert stop.may_admit(102.9, 104.0, 60.0)


def test_nothing_is_admitted_once_callers_know_other_addresses():
    stop = make_stop()
    assert not stop.may_admit(stop.refuses_at, stop.refuses_at + 0.1, 0.01)


def test_a_request_that_may_outlive_the_host_needs_a_prediction():
    stop = make_stop()
    assert not stop.may_admit(100.0, 120.0, None)
    assert stop.may_admit(100.0, 120.0, 5.0)
    assert not stop.may_admit(100.0, 120.0, 7.5)
    assert not stop.may_admit(101.9, 120.0, 5.6)


# Guards against an engine that begins a request which was sent too late after
# the signal, because the host handled the signal late.
@pytest.mark.parametrize('delay_s', [0.1, 0.5, 1.0])
def test_a_host_that_is_late_admits_no_request_sent_after_the_late_callers(
    delay_s,
):
    sent_at = 100.0
    stop = make_stop(sent_at + delay_s)
    after = sent_at + planned_stop.LATE_CALLERS_S
    assert not stop.may_admit(after, after + 20.0, 0.1)


# Guards against a request that is sent after the late callers and that the
# forced end of the process cuts before its deadline.
@pytest.mark.parametrize('delay_s', [0.1, 0.5, 0.7, 1.0])
def test_a_host_that_is_late_admits_no_request_beyond_its_forced_end(delay_s):
    sent_at = 100.0
    stop = make_stop(sent_at + delay_s)
    after = sent_at + planned_stop.LATE_CALLERS_S
    killed_at = sent_at + GRACE_S
    assert not stop.may_admit(after, killed_at + 0.01, None)
    assert stop.may_admit(after, killed_at - 1.1, None)


@pytest.mark.parametrize('grace_s', [0.1, 0.6, 1.0, 2.0])
def test_a_short_grace_period_leaves_the_times_in_order(grace_s):
    stop = make_stop(grace_s=grace_s)
    assert stop.started_at <= stop.refuses_at <= stop.closes_at <= stop.cut_at
    assert stop.cut_at <= stop.started_at + grace_s


def test_too_few_requests_support_no_prediction():
    times = service_times.ServiceTimes()
    for _ in range(service_times.MIN_SAMPLES - 1):
        serve(times, 'llm', 10, 0.0, 1.0)
    assert times.predict_s('llm', 10, 2.0) is None
    serve(times, 'llm', 10, 0.0, 1.0)
    assert times.predict_s('llm', 10, 2.0) == 1.0
    assert times.predict_s('app', 10, 2.0) is None


def test_a_prediction_grows_with_the_size_and_covers_most_requests():
    times = service_times.ServiceTimes()
    for number in range(100):
        serve(times, 'llm', 10, 0.0, float(number))
    assert math.isclose(times.predict_s('llm', 10, 0.0), 90.0)
    assert math.isclose(times.predict_s('llm', 20, 0.0), 180.0)


# Guards against predictions from the shortest requests alone, which end first.
def test_requests_that_still_run_count_with_their_age():
    times = service_times.ServiceTimes()
    for _ in range(10):
        serve(times, 'llm', 1, 0.0, 0.5)
    keys = [times.begin('llm', 1, 0.0) for _ in range(10)]
    assert times.predict_s('llm', 1, 6.0) == 6.0
    for key in keys:
        times.end(key)
    assert times.predict_s('llm', 1, 6.0) == 0.5


def test_only_the_most_recent_requests_count():
    times = service_times.ServiceTimes()
    for _ in range(service_times.MAX_SAMPLES):
        serve(times, 'llm', 1, 0.0, 9.0)
    for _ in range(service_times.MAX_SAMPLES):
        serve(times, 'llm', 1, 0.0, 1.0)
    assert times.predict_s('llm', 1, 0.0) == 1.0


def serve(times, service, size, began_at, took_s):
    key = times.begin(service, size, began_at)
    times.record_served(key, began_at + took_s)
    times.end(key)


# Guards against requests that are begun too late after a signal that the host
# was too busy to handle.
def test_a_stop_begins_when_its_signal_may_have_been_sent():
    stop = planned_stop.PlannedStop.begin(101.5, GRACE_S, 1.5)
    on_time = make_stop(100.0)
    assert (stop.started_at, stop.ends_at) == (100.0, on_time.ends_at)
    assert stop.refuses_at == on_time.refuses_at
    for now in (101.5, 101.9, 102.5, 103.0):
        for deadline in (now + 0.1, 106.9, 107.3, 107.5, 120.0):
            for predicted_s in (None, 0.1, 5.4, 5.6):
                args = now, deadline, predicted_s
                assert stop.may_admit(*args) == on_time.may_admit(*args)
    assert not stop.may_admit(103.0, 103.1, 0.1)


# Guards against streams that are cut early, since a signal that has just come
# is taken for one that was sent before a pause of the host.
@pytest.mark.parametrize('late_s', [0.0, 0.5, 1.5, 4.0, 60.0])
def test_no_request_is_cut_early_for_a_signal_that_may_be_late(late_s):
    stop = planned_stop.PlannedStop.begin(100.0, GRACE_S, late_s)
    assert stop.cut_at >= 100.0 + GRACE_S * 5 / 6
    assert stop.cut_at <= make_stop().cut_at


def test_a_long_delay_before_a_stop_leaves_half_of_the_grace_period():
    stop = planned_stop.PlannedStop.begin(160.0, GRACE_S, 60.0)
    assert stop.started_at == 160.0 - GRACE_S / 2
    assert not stop.may_admit(160.0, 160.1, 0.1)
    assert stop.closes_at > 160.0
