"""A host's state: shared retry budgets, unhealthy endpoints, catalogs."""

import random

import pytest

from sardinebend_gateway import clocks
from sardinebend_gateway import edges
from sardinebend_gateway import settings
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog
from sardinebend_policy import endpoints
from sardinebend_policy import inflight

RATIO = 0.2
EXTRA = 196


def make_state(**changes):
    cfg = settings.HostSettings(
        'h',
        'east',
        settings.Address('127.0.0.1', 1),
        retry_ratio=RATIO,
        extra_retries=EXTRA,
    )._replace(**changes)
    return state_lib.State(
        cfg, edges.Edges(None, None, None, None), random.Random(1)
    )


@pytest.mark.parametrize('hosts', [1, 6, 81])
@pytest.mark.parametrize('per_window', [0, 30, 3000])
@pytest.mark.parametrize('window_s', [4.0, 10.0])
def test_all_hosts_together_stay_within_the_budget(hosts, per_window, window_s):
    """Checks every window while each host spends as much as it may."""
    rng = random.Random(hosts)
    spends = []
    for _ in range(hosts):
        state = make_state(retry_window_s=window_s)
        state.set_host_count(hosts)
        budget = state.budget_of('s')
        times = sorted(
            rng.uniform(0, 6 * window_s) for _ in range(per_window * 6 // hosts)
        )
        for at in times:
            budget.record_success(at)
            spends += [at] * sum(budget.try_spend(at) for _ in range(3))
        while budget.try_spend(6 * window_s):
            spends.append(6 * window_s)
    spends.sort()
    allowed = EXTRA + RATIO * per_window
    # Requests are unevenly distributed; a fifth more in some window is within
    # random variation.
    slack = RATIO * per_window * 0.2 + 1
    for first, at in enumerate(spends):
        last = first
        while last < len(spends) and spends[last] < at + window_s:
            last += 1
        assert last - first <= allowed + slack
        if last == len(spends):
            break


def test_a_host_that_does_not_know_the_fleet_size_has_no_extra_retries():
    # Guards against hosts that start during a store outage, don't know the size
    # of the fleet, and each use the whole extra budget.
    state = make_state()
    budget = state.budget_of('s')
    assert not budget.try_spend(1.0)
    for _ in range(100):
        budget.record_success(1.0)
    assert budget.try_spend(1.0)
    state.set_host_count(6)
    assert sum(budget.try_spend(1.0) for _ in range(1000)) > 20


def test_a_catalog_is_replaced_only_by_a_newer_one():
    state = make_state()
    for version in (3, 2, 5, 4):
        state.apply_catalog(
            catalog.Catalog(version, [], [], catalog.Limits(), None)
        )
    assert state.catalog.version == 5


@pytest.mark.parametrize(('domains', 'links'), [(2, 1), (3, 3), (5, 10)])
def test_each_pair_of_domains_has_a_link_of_its_own(domains, links):
    state = make_state()
    for number in range(domains):
        state.endpoints.put(
            endpoints.Endpoint(
                f'e{number}', 's', '10.0.0.1:1', f'd{number}', 8, False, 1
            )
        )
    # 200 prompt tokens per second use one link fully.
    engine = catalog.EngineModel(
        layers=80,
        layer_mb=1.0,
        token_layer_mb=0.01,
        step_ms=1.0,
        per_request_ms=0.0,
        read_tokens_per_ms=100.0,
        activation_mb=5.0,
        pipe_mb_per_ms=1.0,
        usual_prompt=100.0,
        usual_answer=10.0,
        load_s=1.0,
        cards={},
    )
    counts = inflight.PeerCounts(clocks.now(), {}, {}, 200.0)
    state.inflight.record_peer_counts('peer', counts)
    state.live_count = 2
    assert state.link_use(engine) == pytest.approx(1.0 / links)


def test_reports_by_two_hosts_that_were_suspended_leave_most_endpoints_in_use():
    # Guards against two hosts that were suspended, find every endpoint
    # unreachable for a moment after they resume, and make the whole fleet treat
    # all endpoints as unhealthy.
    state = make_state()
    starts = []
    for number in range(40):
        endpoint = endpoints.Endpoint(
            f'e{number}', 's', '10.0.0.1:1', 'd', 8, False, 1
        )
        state.endpoints.put(endpoint)
        starts.append(endpoint.incarnation)
    for host in ('a', 'b'):
        for start in starts:
            state.record_peer_report(start, host)
    assert len(state.endpoints.list_usable('s', clocks.now())) >= 30
