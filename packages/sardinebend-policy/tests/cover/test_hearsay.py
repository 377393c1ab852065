"""Endpoints that other hosts can't reach."""

from sardinebend_policy import endpoints
from sardinebend_policy import hearsay

START = ('engine-1', 7)


def test_the_word_of_one_host_is_not_enough():
    # Guards against a host that is cut off itself costing all their engines.
    heard = hearsay.Hearsay()
    for second in range(10):
        assert not heard.hear(START, 'a', second / 10)


def test_two_hosts_that_say_the_same_are_believed():
    heard = hearsay.Hearsay()
    heard.hear(START, 'a', 0.0)
    assert heard.hear(START, 'b', 1.0)


def test_each_start_is_heard_of_by_itself():
    heard = hearsay.Hearsay()
    heard.hear(START, 'a', 0.0)
    assert not heard.hear(('engine-1', 8), 'b', 0.1)


def test_old_word_does_not_count_and_is_forgotten():
    heard = hearsay.Hearsay()
    heard.hear(START, 'a', 0.0)
    assert not heard.hear(START, 'b', hearsay.LIFE_S)
    heard.forget_old(10 * hearsay.LIFE_S)
    assert not heard.hear(START, 'a', 10 * hearsay.LIFE_S)


def test_a_doubt_is_made_longer_by_better_evidence():
    endpoint = endpoints.Endpoint(
        'engine-1', 's', '10.0.0.1:1', 'east', 8, False, 7
    )
    table = endpoints.EndpointTable()
    table.put(endpoint)
    table.doubt(endpoint, 0.0, 'named in a refusal', 0.5)
    table.doubt(endpoint, 0.1, 'unreachable', endpoints.DEAD_HOLD_S)
    assert table.is_doubted(endpoint, 2.0)
    assert not table.is_doubted(endpoint, 0.2 + endpoints.DEAD_HOLD_S)
    assert table.doubt(endpoint, 1.0, 'named in a refusal', 0.5) > 3.0
