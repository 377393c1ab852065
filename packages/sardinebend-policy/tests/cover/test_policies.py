"""Tests planners, admission, retries, lookups, quarantine and membership.

Also covers the fleet, stall time-outs and cancels.
"""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from sardinebend_policy import admission
from sardinebend_policy import cancels
from sardinebend_policy import errors
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import lookups
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_policy import planners
from sardinebend_policy import quarantine
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stalls

SPEC = routes.ModelSpec('tide', '1', 6)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)


def make_fleet(spans, replicas=2, **changes):
    fleet = fleet_lib.Fleet()
    fleet.apply_specs(
        fleet_lib.EndpointSpec(
            f'e{first}-{end}{chr(97 + replica)}',
            'http://e',
            'd',
            '',
            'tide',
            '1',
            first,
            end,
            **changes,
        )
        for first, end in spans
        for replica in range(replicas)
    )
    return fleet


# Fleet.


def test_an_older_listing_does_not_clear_a_leaving_mark():
    fleet = make_fleet([(0, 6)])
    fleet.record_incarnation('e0-6a', 'i1')
    fleet.mark_leaving('e0-6a', 'i1')
    fleet.record_incarnation('e0-6a', 'i1')
    assert not fleet.is_usable('e0-6a', 0.0)


def test_a_new_incarnation_is_usable_and_an_old_one_is_not_restored():
    fleet = make_fleet([(0, 6)])
    fleet.record_incarnation('e0-6a', 'i1')
    fleet.mark_leaving('e0-6a', 'i1')
    fleet.record_incarnation('e0-6a', 'i2')
    assert fleet.is_usable('e0-6a', 0.0)
    fleet.record_incarnation('e0-6a', 'i1')
    assert fleet.get('e0-6a').incarnation == 'i2'


@pytest.mark.parametrize('running', [-1, 10**9])
def test_an_out_of_range_load_report_is_ignored(running):
    fleet = make_fleet([(0, 6)])
    fleet.record_report('e0-6a', 5, 0.0)
    fleet.record_report('e0-6a', running, 1.0)
    assert fleet.get('e0-6a').estimate_running(1.0) == 5


def test_a_load_report_is_adjusted_for_runs_begun_and_finished_since():
    fleet = make_fleet([(0, 6)])
    fleet.record_report('e0-6a', 5, 0.0)
    first, second = quarantine.Run('f', '1'), quarantine.Run('g', '1')
    fleet.begin('e0-6a', first)
    fleet.begin('e0-6a', second)
    fleet.finish('e0-6a', first)
    assert fleet.get('e0-6a').estimate_running(1.0) == 6


def test_an_engine_is_routed_by_its_reported_not_its_desired_model():
    fleet = make_fleet([(0, 6)], replicas=1)
    fleet.record_loaded_model('e0-6a', 'tide', '2')
    planner = planners.RandomPlanner(fleet, random.Random(1))
    assert planner.choose(planners.PipelineQuery(SPEC), 0.0) is None
    newer = planners.PipelineQuery(SPEC._replace(model_version='2'))
    assert planner.choose(newer, 0.0)


# Planners.

SPANS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(1, 6)).filter(
        lambda span: span[0] < span[1]
    ),
    max_size=10,
    unique=True,
)


@SETTINGS
@hypothesis.given(
    SPANS, st.sampled_from(sorted(planners.PLANNERS)), st.integers(0, 99)
)
def test_a_route_covers_each_layer_once_and_exists_if_layers_connect(
    spans, name, seed
):
    fleet = make_fleet(spans)
    planner = planners.make_planner(name, fleet, random.Random(seed))
    route = planner.choose(planners.PipelineQuery(SPEC), 0.0)
    reachable = {0}
    for first, end in sorted(spans):
        if first in reachable:
            reachable.add(end)
    assert (route is not None) == (6 in reachable)
    if route is not None:
        routes.check_cover(6, route.stages)


@pytest.mark.parametrize(
    'stages',
    [
        [],
        [('a', 0, 2)],
        [('a', 0, 3), ('b', 2, 6)],
        [('a', 0, 2), ('b', 3, 6)],
        [('a', 0, 3), ('a', 3, 6)],
        [('a', 0, 0), ('b', 0, 6)],
    ],
)
def test_a_route_with_a_gap_an_overlap_or_a_repeat_is_rejected(stages):
    with pytest.raises(errors.InvalidRoute):
        routes.check_cover(6, [routes.Stage(*stage) for stage in stages])


def test_the_planner_keeps_stages_that_hold_the_state_of_the_request():
    fleet = make_fleet([(0, 3), (3, 6)], replicas=4)
    planner = planners.SlowestStagePlanner(fleet, random.Random(1))
    keep = frozenset({'e0-3c', 'e3-6d'})
    route = planner.choose(planners.PipelineQuery(SPEC, keep=keep), 0.0)
    assert set(route.endpoint_ids) == keep


def test_the_planner_prefers_the_less_loaded_of_two_endpoints():
    fleet = make_fleet([(0, 6)])
    fleet.record_report('e0-6a', 50, 0.0)
    planner = planners.SlowestStagePlanner(fleet, random.Random(1))
    route = planner.choose(planners.PipelineQuery(SPEC), 0.0)
    assert route.endpoint_ids == ('e0-6b',)


# Admission.


def make_ticket(number, customer='large', deadline=100.0, weight=1.0):
    return admission.Ticket(
        f'{customer}-{number}', customer, weight, 50, deadline
    )


def test_a_customer_at_ten_times_its_share_does_not_delay_a_small_one():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    for number in range(1, 11):
        gate.offer(make_ticket(number), 0.0)
    gate.offer(make_ticket(0, 'small'), 0.0)
    running, start_order = 'large-0', []
    for _ in range(3):
        [started] = gate.release(running, 0.0)
        running = started.request_id
        start_order.append(started.customer)
    assert 'small' in start_order[:2]


def test_starts_are_distributed_by_customer_weight():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    for number in range(40):
        gate.offer(make_ticket(number + 1, 'heavy', weight=3.0), 0.0)
        gate.offer(make_ticket(number + 1, 'light'), 0.0)
    running, starts = 'large-0', []
    for _ in range(40):
        [started] = gate.release(running, 0.0)
        running = started.request_id
        starts.append(started.customer)
    assert 28 <= starts.count('heavy') <= 32


def test_a_withdrawn_request_leaves_the_queue_immediately():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    gate.offer(make_ticket(1), 0.0)
    assert gate.withdraw('large-1', 'large')
    assert gate.waiting == 0
    assert gate.release('large-0', 1.0) == []


def test_a_request_that_cannot_start_by_its_deadline_is_refused_on_offer():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    refusal = gate.offer(make_ticket(1, deadline=0.01), 0.0)
    assert refusal.reason is outcomes.Reason.QUEUE_FULL
    assert refusal.retry_after_s >= admission.MIN_RETRY_AFTER_S


@SETTINGS
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(['offer', 'release', 'withdraw']),
            st.sampled_from(['x', 'y', 'z']),
            st.integers(0, 9),
        ),
        max_size=60,
    )
)
def test_admission_slots_are_neither_lost_nor_assigned_twice(calls):
    gate = admission.Admission(2)
    running, waiting = set(), set()
    for now, (call, customer, number) in enumerate(calls):
        ticket = make_ticket(number, customer, deadline=1e9)
        request_id = ticket.request_id
        if call == 'offer' and request_id not in running | waiting:
            verdict = gate.offer(ticket, float(now))
            if verdict is admission.Verdict.RUN:
                running.add(request_id)
            elif verdict is admission.Verdict.WAIT:
                waiting.add(request_id)
        elif call == 'release' and request_id in running:
            running.discard(request_id)
            for started in gate.release(request_id, float(now)):
                waiting.remove(started.request_id)
                running.add(started.request_id)
        elif call == 'withdraw':
            assert gate.withdraw(request_id, customer) == (
                request_id in waiting
            )
            waiting.discard(request_id)
        assert gate.running == len(running) <= 2
        assert gate.waiting == len(waiting)
        assert not waiting or len(running) == 2


# Retries.


def test_retries_are_limited_to_a_ratio_of_recent_successes():
    budget = retries.RetryBudget(0.2, 0)
    for _ in range(100):
        budget.record_success(0.0)
    assert sum(budget.try_spend(1.0) for _ in range(100)) == 20


def test_a_budget_forgets_old_successes_and_tolerates_a_clock_jump_back():
    budget = retries.RetryBudget(0.2, 1)
    for _ in range(100):
        budget.record_success(100.0)
    assert budget.try_spend(100.0)
    assert budget.try_spend(50.0)
    assert budget.try_spend(200.0)
    assert not budget.try_spend(200.0)


def test_retries_stay_within_the_budget_when_half_of_the_endpoints_fail():
    budget = retries.RetryBudget(0.2, 10)
    for _ in range(1000):
        budget.record_success(0.0)
    granted = sum(budget.try_spend(5.0) for _ in range(5000))
    assert granted == 210


@SETTINGS
@hypothesis.given(st.floats(0, 100), st.integers(0, 99))
def test_a_backoff_stays_within_its_bounds(previous_s, seed):
    backoff_s = retries.next_backoff_s(
        previous_s, 0.05, 2.0, random.Random(seed)
    )
    assert 0.05 <= backoff_s <= 2.0


def test_a_stall_timeout_follows_the_gaps_within_floor_and_ceiling():
    gaps = stalls.GapTracker()
    assert gaps.bound_s(0.5, 10.0) == 0.5
    gaps.record(0.2)
    assert gaps.bound_s(0.5, 10.0) == pytest.approx(1.6)
    gaps.record(-5.0)
    gaps.record(60.0)
    assert gaps.bound_s(0.5, 10.0) == 10.0


# Lookups.


def make_lookup(floor=10):
    request = lookups.LookupRequest('vanua', 100.0)
    budget = retries.RetryBudget(0.0, floor)
    return lookups.LookupSession(
        request, 3, (0.05, 2.0), budget, random.Random(1)
    )


def test_a_lookup_is_retried_at_another_endpoint_after_a_lost_reply():
    decision = make_lookup().on_reply_lost('e1', 0.0)
    assert decision == lookups.Backoff(0.0, frozenset({'e1'}))


def test_a_lookup_without_a_connection_has_the_outcome_not_run():
    session = make_lookup()
    for name in ('e1', 'e2'):
        session.on_connect_failed(name, 0.0)
    end = session.on_connect_failed('e3', 0.0)
    assert isinstance(end, outcomes.NotRun)


def test_a_lookup_in_flight_at_its_deadline_is_incomplete():
    session = make_lookup()
    session.record_send()
    end = session.give_up(outcomes.Reason.DEADLINE)
    assert isinstance(end, outcomes.Incomplete)


# Quarantine.


def make_crash(crash_id, *runs):
    """Creates a crash; each run is given as `fingerprint/attempt`."""
    suspects = frozenset(quarantine.Run(run.split('/')[0], run) for run in runs)
    return quarantine.Crash(crash_id, suspects)


def test_the_only_common_suspect_of_two_crashes_is_quarantined():
    tracker = quarantine.Quarantine(60.0)
    assert not tracker.record_crash(
        make_crash('e1/i', 'bad/1', 'x/1', 'y/1'), 0.0
    )
    assert tracker.record_crash(make_crash('e2/i', 'bad/2', 'z/1'), 1.0) == {
        'bad'
    }
    assert tracker.refused_until('bad', 2.0) == 61.0
    assert tracker.refused_until('bad', 61.0) is None
    assert tracker.refused_until('x', 2.0) is None


def test_one_crash_reported_by_two_hosts_counts_once():
    tracker = quarantine.Quarantine(60.0)
    tracker.record_crash(make_crash('e1/i', 'x/1'), 0.0)
    tracker.record_crash(make_crash('e1/i', 'x/1', 'x/2'), 0.0)
    assert tracker.refused_until('x', 1.0) is None


def test_two_common_suspects_of_two_crashes_are_not_quarantined():
    tracker = quarantine.Quarantine(60.0)
    tracker.record_crash(make_crash('e1/i', 'x/1', 'y/1'), 0.0)
    assert not tracker.record_crash(make_crash('e2/i', 'x/2', 'y/2'), 0.0)


def test_two_stage_crashes_in_one_run_count_as_one():
    tracker = quarantine.Quarantine(60.0)
    tracker.record_crash(make_crash('e1/i', 'x/1'), 0.0)
    assert not tracker.record_crash(make_crash('e2/i', 'x/1'), 0.0)
    assert tracker.refused_until('x', 1.0) is None


def test_a_request_that_was_served_is_cleared():
    tracker = quarantine.Quarantine(60.0)
    tracker.record_crash(make_crash('e1/i', 'x/1', 'y/1'), 0.0)
    tracker.clear('x', 0.0)
    assert not tracker.is_suspect('x')
    assert not tracker.record_crash(make_crash('e2/i', 'x/2'), 0.0)
    assert tracker.record_crash(make_crash('e3/i', 'y/2'), 0.0) == {'y'}


def test_the_third_crash_quarantines_all_common_suspects():
    tracker = quarantine.Quarantine(60.0)
    for number in (1, 2):
        name = f'e{number}/i'
        suspects = (f'x/{number}', f'y/{number}')
        assert not tracker.record_crash(make_crash(name, *suspects), 0.0)
    assert tracker.record_crash(make_crash('e3/i', 'x/3', 'y/3'), 0.0) == {
        'x',
        'y',
    }


def test_a_recently_served_request_does_not_become_a_suspect():
    tracker = quarantine.Quarantine(60.0, 3, 3)
    tracker.clear('x', 0.0)
    for number in range(5):
        reported = make_crash(f'e{number}/i', f'x/{number}', f'y/{number}')
        tracker.record_crash(reported, 1.0)
    assert tracker.refused_until('x', 1.0) is None
    assert tracker.refused_until('y', 1.0) is not None
    later = quarantine.CLEARED_S + 1.0
    for number in range(3):
        tracker.record_crash(make_crash(f'f{number}/i', f'x/f{number}'), later)
    assert tracker.refused_until('x', later) is not None


# Membership.


def make_view(count=4):
    own = membership.Member('h0', 'd0', 'http://h0', 'h0:1')
    view = membership.Membership(own)
    members = [
        membership.Member(f'h{i}', f'd{i % 3}', f'http://h{i}', f'h{i}:1')
        for i in range(count)
    ]
    view.apply_listing([(member, False) for member in members])
    for member in members:
        view.record_heartbeat(make_heartbeat(member.host_id), 0.0)
    return view


def make_heartbeat(host_id, is_leaving=False, incarnation='i'):
    return membership.Heartbeat(host_id, incarnation, 1, 0, is_leaving, True)


def list_addresses(view, domain='d0', limit=8, now=0.0):
    members = view.order_addresses(domain, limit, now, random.Random(1))
    return [member.host_id for member in members]


def test_addresses_in_the_failure_domain_of_the_caller_come_first():
    host_ids = list_addresses(make_view(7), 'd1')
    assert set(host_ids[:2]) == {'h1', 'h4'}
    assert len(host_ids) == 7


def test_a_truncated_address_list_keeps_two_failure_domains():
    view = make_view(9)
    host_ids = list_addresses(view, 'd1', limit=2)
    assert host_ids[0] in ('h1', 'h4', 'h7')
    assert host_ids[1] not in ('h1', 'h4', 'h7')


def test_a_leaving_host_is_not_listed_again_in_the_same_incarnation():
    view = make_view()
    view.record_heartbeat(make_heartbeat('h1', is_leaving=True), 0.0)
    view.record_heartbeat(make_heartbeat('h1'), 1.0)
    assert 'h1' not in list_addresses(view, now=1.0)
    view.record_heartbeat(make_heartbeat('h1', incarnation='j'), 2.0)
    assert 'h1' in list_addresses(view, now=2.0)


def test_a_host_without_recent_heartbeats_is_not_listed():
    assert list_addresses(make_view(), now=100.0) == ['h0']


def test_the_heartbeat_timeout_scales_with_the_fleet_size():
    assert len(make_view(9).list_live(3.0)) == 8
    assert make_view(9).list_live(3.1) == []
    large = make_view(361)
    assert len(large.list_live(130.0)) == 360
    assert large.list_live(136.0) == []


def test_the_number_of_heartbeats_per_round_is_bounded_in_a_large_fleet():
    rng = random.Random(1)
    assert len(make_view(8).sample_peers(rng)) == 7
    assert len(make_view(360).sample_peers(rng)) == membership.PEERS_PER_ROUND


# Cancels.


def test_a_cancel_is_repeated_until_confirmed_or_past_its_deadline():
    tracker = cancels.CancelTracker()
    tracker.add('r', 1, ['e1', 'e2'], 10.0, 0.0)
    assert len(tracker.take_due(0.0)) == 2
    assert tracker.take_due(0.1) == []
    tracker.confirm(cancels.CancelKey('r', 1, 'e1'))
    assert tracker.take_due(0.6) == [('r', 1, 'e2')]
    assert tracker.take_due(10.0) == []
    assert tracker.pending == 0
