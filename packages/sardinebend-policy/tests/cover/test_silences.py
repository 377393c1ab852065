"""Endpoints that didn't answer a connect in time."""

from sardinebend_policy import silences


def test_each_endpoint_counts_once_until_it_answers_or_its_time_out_is_old():
    table = silences.Silences()
    assert table.count(0.0) == 0
    table.record('a', 0.0)
    table.record('a', 0.3)
    table.record('b', 0.9)
    assert table.count(1.0) == 2
    table.record_answer('b')
    table.record_answer('c')
    assert table.count(1.0) == 1
    assert table.count(1.4) == 0


def test_many_silent_endpoints_suggest_a_fault_of_the_host():
    table = silences.Silences()
    table.record('a', 0.0)
    table.record('b', 0.1)
    assert not table.is_own_fault_likely(0.2)
    table.record('c', 0.2)
    assert table.is_own_fault_likely(0.3)
    table.record_answer('a')
    assert not table.is_own_fault_likely(0.3)
