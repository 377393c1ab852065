"""Tests of the limits that endpoints state on what they take."""

import random

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import endpoint_limits

ENGINE = ('engine-1', 1)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None, database=None
)


def make_hosts(rate_per_s, count, seed=0):
    """Returns the limits of hosts that have just heard of a rate."""
    hosts = [
        endpoint_limits.EndpointLimits(random.Random(f'{seed}/{number}'))
        for number in range(count)
    ]
    statement = endpoint_limits.Statement(ENGINE, rate_per_s, 0.0)
    for host in hosts:
        host.record(statement, count, 0.0)
    return hosts


def count_taken(hosts, start, seconds, step_s=0.05):
    """Returns how many requests the hosts may send if they always want to."""
    return sum(
        host.try_take(ENGINE, len(hosts), start + step * step_s)
        for step in range(int(seconds / step_s))
        for host in hosts
    )


@SETTINGS
@hypothesis.given(
    st.floats(0, 50), st.integers(1, 60), st.floats(3, 25), st.integers(0, 9)
)
def test_no_burst_over_all_hosts_exceeds_what_is_allowed(
    rate_per_s, count, pause_s, seed
):
    # Guards against tokens that every host saves up in a pause.
    hosts = make_hosts(rate_per_s, count, seed)
    allowed = (
        endpoint_limits.TOLERANCE * rate_per_s * endpoint_limits.WINDOW_S
        + endpoint_limits.EXTRA_REQUESTS
    )
    taken = count_taken(hosts, pause_s, endpoint_limits.WINDOW_S)
    assert taken <= allowed


@SETTINGS
@hypothesis.given(st.floats(1, 20), st.integers(1, 20), st.integers(0, 9))
def test_all_hosts_together_use_the_limit(rate_per_s, count, seed):
    hosts = make_hosts(rate_per_s, count, seed)
    count_taken(hosts, 0.0, 4.0)
    assert count_taken(hosts, 4.0, 25.0, 0.02) >= 0.85 * rate_per_s * 25 - 5


def test_a_share_below_one_a_second_still_accrues():
    hosts = make_hosts(0.5, 6)
    assert 1 <= count_taken(hosts[:1], 0.0, 29.0) <= 16


def test_an_older_or_expired_statement_is_ignored():
    host = make_hosts(2.0, 1)[0]
    for rate_per_s, stated_at, now in ((9.0, -1.0, 1.0), (None, -1.0, 1.0)):
        statement = endpoint_limits.Statement(ENGINE, rate_per_s, stated_at)
        assert not host.record(statement, 1, now)
    other = endpoint_limits.Statement(('engine-2', 1), 5.0, -1e15)
    assert not host.record(other, 1, 1.0)
    assert [s.rate_per_s for s in host.statements_to_send(1.0)] == [2.0]


def test_a_limit_ends_with_a_restart_and_after_long_silence():
    # Guards against a server that is never asked again.
    host = make_hosts(0.1, 8)[0]
    assert host.rate_per_s(('engine-1', 2), 1.0) is None
    end = endpoint_limits.LIMIT_TTL_S
    assert host.rate_per_s(ENGINE, end - 0.1) == 0.1
    assert host.wait_s(ENGINE, 8, end) == 0
    assert [s.incarnation for s in host.drop_expired(end)] == [ENGINE]
    assert host.statements_to_send(end) == []


def test_the_end_of_a_limit_is_reported_for_a_while():
    host = make_hosts(2.0, 1)[0]
    end = endpoint_limits.Statement(ENGINE, None, 5.0)
    assert host.record(end, 1, 5.0)
    assert host.wait_s(ENGINE, 1, 5.0) == 0
    assert host.statements_to_send(5.1) == [end]
    assert not host.record(end._replace(stated_at=6.0), 1, 6.0)
    assert host.statements_to_send(11.0) == []


def test_a_change_of_the_hosts_applies_to_tokens_to_come():
    host = make_hosts(1.0, 10)[0]
    host.wait_s(ENGINE, 10, 0.0)
    before_s = host.wait_s(ENGINE, 10, 0.0)
    assert abs(host.wait_s(ENGINE, 1, 0.0) - before_s / 10) < 1e-9
