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
