"""Tests the lease and the order planner."""

from sardinebend_policy import lease as lease_lib
from sardinebend_policy import orders

DURATION_S = 10.0
OLD = orders.LoadedModel('tide', '1')
NEW = orders.LoadedModel('tide', '2')


def test_a_lease_is_acquired_only_after_its_row_is_unchanged_for_its_duration():
    lease = lease_lib.Lease('b', DURATION_S)
    row = {'holder': 'a', 'fencing': 3}
    lease.observe(row, 7, 0.0)
    assert lease.next_attempt(9.9) is None
    lease.observe(row, 8, 9.5)
    assert lease.next_attempt(19.0) is None
    lease.observe(row, 8, 19.5)
    attempt = lease.next_attempt(19.5)
    assert attempt == ({'holder': 'b', 'fencing': 4}, 8)


def test_a_holder_measures_its_lease_from_before_its_write():
    lease = lease_lib.Lease('a', DURATION_S)
    lease.observe(None, 0, 0.0)
    attempt = lease.next_attempt(1.0)
    assert not lease.is_held(1.0)
    lease.confirm(attempt, 1, 1.0)
    assert lease.is_held(8.9)
    assert not lease.is_held(9.0)


def test_two_hosts_never_hold_the_lease_at_once():
    holder = lease_lib.Lease('a', DURATION_S)
    holder.observe(None, 0, 0.0)
    attempt = holder.next_attempt(0.0)
    holder.confirm(attempt, 1, 0.0)
    other = lease_lib.Lease('b', DURATION_S)
    # The other host can't read the row before it is written.
    other.observe(attempt.row, 1, 0.0)
    now = 0.0
    while other.next_attempt(now) is None:
        now += 0.1
    assert not holder.is_held(now)


def test_a_lost_lease_row_ends_the_lease_and_is_taken_only_later():
    # Guards against two holders, and a fencing number that is used twice, when
    # the store comes back from a copy that is older than the lease.
    holder = lease_lib.Lease('a', DURATION_S)
    holder.observe(None, 0, 0.0)
    attempt = holder.next_attempt(0.0)
    holder.confirm(attempt, 1, 0.0)
    other = lease_lib.Lease('b', DURATION_S)
    other.observe(attempt.row, 1, 0.0)
    for lease in (holder, other):
        lease.observe(None, 0, 5.0)
        assert not lease.is_held(5.0)
        assert lease.next_attempt(14.9, era=1) is None
        later = lease.next_attempt(15.0, era=1)
        assert later.row['fencing'] > attempt.row['fencing']


def test_fencing_numbers_of_a_later_era_are_above_all_before():
    lease = lease_lib.Lease('c', DURATION_S)
    lease.observe({'holder': 'a', 'fencing': 4}, 7, 0.0)
    first = lease.next_attempt(DURATION_S, era=1)
    assert first.row['fencing'] > 2**lease_lib.ERA_FENCING_BITS
    # A holder that finds its own row in an older copy takes a new number.
    lease.observe({'holder': 'c', 'fencing': 5}, 8, 0.0)
    assert lease.next_attempt(0.0, era=2) is None
    again = lease.next_attempt(DURATION_S, era=2)
    assert again.row['fencing'] > first.row['fencing']


def test_a_late_write_of_an_earlier_era_leads_to_no_number_twice():
    # Guards against a number for two holders: the late write puts an old row in
    # the place of a holder's, and its writer never saw that holder's number.
    old = {'holder': 'a', 'fencing': 1}
    late = lease_lib.Lease('a', DURATION_S)
    late.observe(old, 1, 0.0)
    other = lease_lib.Lease('b', DURATION_S)
    other.observe(None, 0, 0.0)
    taken = other.next_attempt(0.0, era=1)
    late.observe(old, 2, 1.0)
    again = late.next_attempt(1.0 + DURATION_S, era=1, counter=2)
    assert again.row['fencing'] > taken.row['fencing']


def test_a_lease_row_that_cannot_be_read_is_replaced_after_its_duration():
    # Guards against a lease that nobody can take, with a write each moment
    # that expects no row although there is one.
    lease = lease_lib.Lease('b', DURATION_S)
    lease.observe(None, 7, 0.0)
    assert lease.next_attempt(9.9) is None
    attempt = lease.next_attempt(10.0)
    assert attempt == ({'holder': 'b', 'fencing': 1}, 7)


def make_engine(name, span, observed=OLD, desired=NEW, checks=True):
    return orders.Engine(name, span, desired, observed, checks)


def test_engines_that_complete_a_route_are_loaded_first():
    engines = [
        make_engine(f'e{span}{replica}', (span, span + 1))
        for span in range(3)
        for replica in 'ab'
    ]
    planned = orders.OrderPlanner().plan(engines, 1, 0.0, 0.0)
    names = [order.endpoint_id for order in planned]
    assert names == ['e0a', 'e1a', 'e2a', 'e0b']


def test_an_engine_has_at_most_one_order_outstanding():
    planner = orders.OrderPlanner()
    engines = [make_engine('e', (0, 1))]
    assert planner.plan(engines, 1, 0.0, 0.0)
    assert not planner.plan(engines, 1, 0.0, 5.0)
    planner.record_answer('e')
    assert planner.plan(engines, 1, 0.0, 5.1)


def test_a_successor_waits_before_ordering_if_an_engine_ignores_fencing():
    engines = [
        make_engine('checks', (0, 1)),
        make_engine('ignores', (0, 1), checks=False),
    ]
    planner = orders.OrderPlanner()
    [first] = planner.plan(engines, 2, 100.0, 100.0)
    assert first.endpoint_id == 'checks'
    planner.record_answer('checks')
    later = planner.plan(engines, 2, 100.0, 100.0 + orders.ORDER_LIFETIME_S)
    assert 'ignores' in {order.endpoint_id for order in later}


def test_an_engine_without_an_observed_state_receives_no_order():
    engines = [make_engine('e', (0, 1), observed=None)]
    assert not orders.OrderPlanner().plan(engines, 1, 0.0, 0.0)
