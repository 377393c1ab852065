"""Ranks of requests whose customers and routes state priorities."""

import pytest

from sardinebend_policy import ranks


# Guards against batch drafts that engines see as urgent as any other, since
# most customers have the same priority.
def test_requests_of_customers_alike_are_ranked_by_their_routes():
    found = ranks.Ranks((0, 1, 2), (1, 1, 0))
    order = [(0, 0), (1, 0), (2, 0), (0, 1), (1, 1), (2, 1)]
    by_rank = sorted(order, key=lambda pair: found.find(*pair))
    assert by_rank == order
    assert found.find(0, None) == found.find(0, 0) == 0


@pytest.mark.parametrize('priority', [-4, 7, 10**30])
def test_priorities_outside_the_configuration_are_the_least_urgent(priority):
    found = ranks.Ranks((0, 1), (1,))
    assert found.find(priority, 1) == found.find(0, priority) == 9


def test_ranks_end_at_the_least_urgent_that_engines_know():
    found = ranks.Ranks(range(30), ())
    assert [found.find(n, None) for n in (0, 8, 9, 29)] == [0, 8, 9, 9]
