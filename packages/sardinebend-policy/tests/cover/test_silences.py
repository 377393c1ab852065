"""Endpoints that didn't answer a connect in time."""

from sardinebend_policy import silences


def test_each_endpoint_counts_once_until_it_answers_or_its_time_out_is_old():
    table = silences.Silences()
    assert table.count(0.0) == 0
    table.record('a', -0.3, 0.0)
    table.record('a', 0.0, 0.3)
    table.record('b', 0.6, 0.9)
    assert table.count(1.0) == 2
    table.record_answer('b')
    table.record_answer('c')
    assert table.count(1.0) == 1
    assert table.count(1.4) == 0


def record_three(table):
    table.record('a', 0.0, 0.3)
    table.record('b', 0.3, 0.6)
    assert not table.is_own_fault_likely(0.6)
    table.record('c', 0.6, 0.9)


def test_many_silent_endpoints_suggest_a_fault_of_the_host():
    table = silences.Silences()
    table.record_success(-0.1)
    record_three(table)
    assert table.is_own_fault_likely(0.9)
    table.record_answer('a')
    assert not table.is_own_fault_likely(0.9)


# Guards against never doubting endpoints of which several are cut off.
def test_a_connect_that_succeeds_meanwhile_shows_that_the_host_is_sound():
    table = silences.Silences()
    table.record_success(0.1)
    record_three(table)
    assert not table.is_own_fault_likely(0.9)
