"""The order in which refused callers return, after a burst of refusals."""

import random

from sardinebend_policy import return_order

ENDS_PER_S = 4.0


def book(order, rank, left_s=20.0, now=0.0):
    earliest_s = return_order.find_earliest_s(rank, None, 0)
    return order.book(rank, earliest_s, ENDS_PER_S, left_s, now)


# Guards against callers that are all told one second and return together.
def test_callers_of_a_burst_return_apart_and_the_urgent_first():
    order = return_order.ReturnOrder(random.Random(1))
    batch = [book(order, 2) for _ in range(6)]
    urgent = [book(order, 0) for _ in range(6)]
    assert sum(urgent) < sum(batch)
    assert max(urgent) - min(urgent) > 1.0
    assert len(set(urgent + batch)) == 12
    # Those that are refused later return behind them.
    assert book(order, 2) > min(batch)


def test_no_caller_is_told_to_return_later_than_helps_it():
    order = return_order.ReturnOrder(random.Random(2))
    waits = [book(order, n % 3, left_s=6.0) for n in range(200)]
    assert max(waits) <= 2.0
    assert book(order, 0, left_s=0.0) == 0.0


def test_a_caller_that_presses_again_at_once_returns_no_sooner():
    order = return_order.ReturnOrder(random.Random(3))
    patient = book(order, 1)
    pressing = [book(order, 1, now=n / 50) + n / 50 for n in range(8)]
    assert min(pressing) > patient


def test_once_the_promised_returns_are_over_callers_return_soon_again():
    order = return_order.ReturnOrder(random.Random(4))
    for _ in range(50):
        book(order, 0)
    assert book(order, 0, now=60.0) < 1.0
