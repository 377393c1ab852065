"""Fleet, planners, admission, budgets, membership, quarantine."""

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


def test_a_leaving_mark_survives_an_older_list():
    fleet = make_fleet([(0, 6)])
    fleet.see_incarnation('e0-6a', 'i1')
    fleet.mark_leaving('e0-6a', 'i1')
    fleet.see_incarnation('e0-6a', 'i1')
    assert not fleet.is_usable('e0-6a', 0.0)


def test_a_new_incarnation_is_usable_and_an_old_one_does_not_come_back():
    fleet = make_fleet([(0, 6)])
    fleet.see_incarnation('e0-6a', 'i1')
    fleet.mark_leaving('e0-6a', 'i1')
    fleet.see_incarnation('e0-6a', 'i2')
    assert fleet.is_usable('e0-6a', 0.0)
    fleet.see_incarnation('e0-6a', 'i1')
    assert fleet.get('e0-6a').incarnation == 'i2'


@pytest.mark.parametrize('running', [-1, 10**9])
def test_an_impossible_load_report_is_passed_over(running):
    fleet = make_fleet([(0, 6)])
    fleet.take_report('e0-6a', 5, 0.0)
    fleet.take_report('e0-6a', running, 1.0)
    assert fleet.get('e0-6a').estimate_running(1.0) == 5


def test_a_report_is_corrected_by_what_was_sent_since():
    fleet = make_fleet([(0, 6)])
    fleet.take_report('e0-6a', 5, 0.0)
    first, second = quarantine.Run('f', '1'), quarantine.Run('g', '1')
    fleet.begin('e0-6a', first)
    fleet.begin('e0-6a', second)
    fleet.finish('e0-6a', first)
    assert fleet.get('e0-6a').estimate_running(1.0) == 6


def test_an_engine_serves_what_it_said_it_holds_not_what_it_shall_hold():
    fleet = make_fleet([(0, 6)], replicas=1)
    fleet.note_held('e0-6a', 'tide', '2')
    planner = planners.RandomPlanner(fleet, random.Random(1))
    assert planner.choose(planners.Wish(SPEC), 0.0) is None
    newer = planners.Wish(SPEC._replace(model_version='2'))
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
def test_a_planned_route_covers_each_layer_once_or_there_is_none(
    spans, name, seed
):
    fleet = make_fleet(spans)
    planner = planners.make_planner(name, fleet, random.Random(seed))
    route = planner.choose(planners.Wish(SPEC), 0.0)
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
def test_a_route_with_a_gap_an_overlap_or_a_repeat_is_refused(stages):
    with pytest.raises(errors.InvalidRoute):
        routes.check_cover(6, [routes.Stage(*stage) for stage in stages])


def test_the_planner_keeps_stages_that_hold_the_requests_state():
    fleet = make_fleet([(0, 3), (3, 6)], replicas=4)
    planner = planners.SlowestStagePlanner(fleet, random.Random(1))
    keep = frozenset({'e0-3c', 'e3-6d'})
    route = planner.choose(planners.Wish(SPEC, keep=keep), 0.0)
    assert set(route.endpoint_ids) == keep


def test_the_planner_avoids_the_loaded_one_of_two():
    fleet = make_fleet([(0, 6)])
    fleet.take_report('e0-6a', 50, 0.0)
    planner = planners.SlowestStagePlanner(fleet, random.Random(1))
    route = planner.choose(planners.Wish(SPEC), 0.0)
    assert route.endpoint_ids == ('e0-6b',)


# Admission.


def make_ticket(number, customer='large', deadline=100.0, weight=1.0):
    return admission.Ticket(
        f'{customer}-{number}', customer, weight, 50, deadline
    )


def test_a_customer_at_ten_times_its_share_does_not_hold_up_a_small_one():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    for number in range(1, 11):
        gate.offer(make_ticket(number), 0.0)
    gate.offer(make_ticket(0, 'small'), 0.0)
    running, order = 'large-0', []
    for _ in range(3):
        [started] = gate.release(running, 0.0)
        running = started.request_id
        order.append(started.customer)
    assert 'small' in order[:2]


def test_weights_share_the_starts():
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


def test_a_cancelled_request_frees_its_place_at_once():
    gate = admission.Admission(1)
    gate.offer(make_ticket(0), 0.0)
    gate.offer(make_ticket(1), 0.0)
    assert gate.withdraw('large-1', 'large')
    assert gate.waiting == 0
    assert gate.release('large-0', 1.0) == []


def test_a_request_that_could_not_start_in_time_is_refused_early():
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
def test_places_are_neither_lost_nor_given_twice(steps):
    gate = admission.Admission(2)
    running, waiting = set(), set()
    for now, (step, customer, number) in enumerate(steps):
        ticket = make_ticket(number, customer, deadline=1e9)
        request_id = ticket.request_id
        if step == 'offer' and request_id not in running | waiting:
            verdict = gate.offer(ticket, float(now))
            if verdict is admission.Verdict.RUN:
                running.add(request_id)
            elif verdict is admission.Verdict.WAIT:
                waiting.add(request_id)
        elif step == 'release' and request_id in running:
            running.discard(request_id)
            for started in gate.release(request_id, float(now)):
                waiting.remove(started.request_id)
                running.add(started.request_id)
        elif step == 'withdraw':
            assert gate.withdraw(request_id, customer) == (
                request_id in waiting
            )
            waiting.discard(request_id)
        assert gate.running == len(running) <= 2
        assert gate.waiting == len(waiting)
        assert not waiting or len(running) == 2


# Retries.


def test_retries_stay_within_a_share_of_recent_successes():
    budget = retries.RetryBudget(0.2, 0)
    for _ in range(100):
        budget.record_success(0.0)
    assert sum(budget.try_spend(1.0) for _ in range(100)) == 20


def test_a_budget_forgets_an_old_peak_and_survives_a_clock_that_jumps_back():
    budget = retries.RetryBudget(0.2, 1)
    for _ in range(100):
        budget.record_success(100.0)
    assert budget.try_spend(100.0)
    assert budget.try_spend(50.0)
    assert budget.try_spend(200.0)
    assert not budget.try_spend(200.0)


def test_no_storm_when_half_of_the_endpoints_are_lost():
    budget = retries.RetryBudget(0.2, 10)
    for _ in range(1000):
        budget.record_success(0.0)
    granted = sum(budget.try_spend(5.0) for _ in range(5000))
    assert granted == 210


@SETTINGS
@hypothesis.given(st.floats(0, 100), st.integers(0, 99))
def test_a_pause_stays_within_its_bounds(previous_s, seed):
    pause_s = retries.next_backoff_s(previous_s, 0.05, 2.0, random.Random(seed))
    assert 0.05 <= pause_s <= 2.0


def test_a_stall_bound_follows_the_gaps_within_floor_and_ceiling():
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


def test_a_lookup_goes_on_at_another_endpoint_after_a_lost_reply():
    step = make_lookup().on_reply_lost('e1', 0.0)
    assert step == lookups.Pause(0.0, frozenset({'e1'}))


def test_a_lookup_that_reached_no_endpoint_was_not_run():
    session = make_lookup()
    for name in ('e1', 'e2'):
        session.on_connect_failed(name, 0.0)
    end = session.on_connect_failed('e3', 0.0)
    assert isinstance(end, outcomes.NotRun)


def test_a_lookup_in_flight_at_its_deadline_may_have_run():
    session = make_lookup()
    session.note_sent()
    end = session.give_up(outcomes.Reason.DEADLINE)
    assert isinstance(end, outcomes.Incomplete)


# Quarantine.


def crash(crash_id, *runs):
    """Makes a crash; a run is written fingerprint/attempt."""
    found = frozenset(quarantine.Run(run.split('/')[0], run) for run in runs)
    return quarantine.Crash(crash_id, found)


def test_the_common_suspect_of_two_crashes_is_convicted():
    found = quarantine.Quarantine(60.0)
    assert not found.record_crash(crash('e1/i', 'bad/1', 'x/1', 'y/1'), 0.0)
    assert found.record_crash(crash('e2/i', 'bad/2', 'z/1'), 1.0) == {'bad'}
    assert found.refused_until('bad', 2.0) == 61.0
    assert found.refused_until('bad', 61.0) is None
    assert found.refused_until('x', 2.0) is None


def test_one_crash_told_by_two_hosts_counts_once():
    found = quarantine.Quarantine(60.0)
    found.record_crash(crash('e1/i', 'x/1'), 0.0)
    found.record_crash(crash('e1/i', 'x/1', 'x/2'), 0.0)
    assert found.refused_until('x', 1.0) is None


def test_two_that_fell_side_by_side_twice_are_not_convicted():
    found = quarantine.Quarantine(60.0)
    found.record_crash(crash('e1/i', 'x/1', 'y/1'), 0.0)
    assert not found.record_crash(crash('e2/i', 'x/2', 'y/2'), 0.0)


def test_two_stages_that_die_under_one_run_are_no_evidence():
    found = quarantine.Quarantine(60.0)
    found.record_crash(crash('e1/i', 'x/1'), 0.0)
    assert not found.record_crash(crash('e2/i', 'x/1'), 0.0)
    assert found.refused_until('x', 1.0) is None


def test_a_request_that_ended_well_is_cleared():
    found = quarantine.Quarantine(60.0)
    found.record_crash(crash('e1/i', 'x/1', 'y/1'), 0.0)
    found.clear('x', 0.0)
    assert not found.is_suspect('x')
    assert not found.record_crash(crash('e2/i', 'x/2'), 0.0)
    assert found.record_crash(crash('e3/i', 'y/2'), 0.0) == {'y'}


def test_the_third_crash_convicts_those_that_fell_side_by_side():
    found = quarantine.Quarantine(60.0)
    for number in (1, 2):
        name = f'e{number}/i'
        suspects = (f'x/{number}', f'y/{number}')
        assert not found.record_crash(crash(name, *suspects), 0.0)
    assert found.record_crash(crash('e3/i', 'x/3', 'y/3'), 0.0) == {'x', 'y'}


def test_a_request_that_has_just_been_served_is_no_suspect():
    found = quarantine.Quarantine(60.0, 3, 3)
    found.clear('x', 0.0)
    for number in range(5):
        told = crash(f'e{number}/i', f'x/{number}', f'y/{number}')
        found.record_crash(told, 1.0)
    assert found.refused_until('x', 1.0) is None
    assert found.refused_until('y', 1.0) is not None
    later = quarantine.CLEARED_S + 1.0
    for number in range(3):
        found.record_crash(crash(f'f{number}/i', f'x/f{number}'), later)
    assert found.refused_until('x', later) is not None


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
        view.take_heartbeat(make_beat(member.host_id), 0.0)
    return view


def make_beat(host_id, is_leaving=False, incarnation='i'):
    return membership.Heartbeat(host_id, incarnation, 1, 0, is_leaving, True)


def order(view, domain='d0', limit=8, now=0.0):
    found = view.order_addresses(domain, limit, now, random.Random(1))
    return [member.host_id for member in found]


def test_addresses_of_the_callers_failure_domain_come_first():
    found = order(make_view(7), 'd1')
    assert set(found[:2]) == {'h1', 'h4'}
    assert len(found) == 7


def test_a_short_list_still_has_two_failure_domains():
    view = make_view(9)
    found = order(view, 'd1', limit=2)
    assert found[0] in ('h1', 'h4', 'h7')
    assert found[1] not in ('h1', 'h4', 'h7')


def test_a_leaving_host_is_never_listed_again_in_its_incarnation():
    view = make_view()
    view.take_heartbeat(make_beat('h1', is_leaving=True), 0.0)
    view.take_heartbeat(make_beat('h1'), 1.0)
    assert 'h1' not in order(view, now=1.0)
    view.take_heartbeat(make_beat('h1', incarnation='j'), 2.0)
    assert 'h1' in order(view, now=2.0)


def test_a_silent_host_is_not_listed():
    assert order(make_view(), now=100.0) == ['h0']


def test_silence_is_judged_by_how_often_a_member_is_heard():
    assert len(make_view(9).list_alive(3.0)) == 8
    assert make_view(9).list_alive(3.1) == []
    large = make_view(361)
    assert len(large.list_alive(130.0)) == 360
    assert large.list_alive(136.0) == []


def test_heartbeats_cost_the_same_in_a_large_fleet():
    rng = random.Random(1)
    assert len(make_view(8).draw_round(rng)) == 7
    assert len(make_view(360).draw_round(rng)) == membership.PEERS_PER_ROUND


# Cancels.


def test_a_cancel_is_repeated_until_confirmed_or_past_its_time():
    tracker = cancels.CancelTracker()
    tracker.add('r', 1, ['e1', 'e2'], 10.0, 0.0)
    assert len(tracker.take_due(0.0)) == 2
    assert tracker.take_due(0.1) == []
    tracker.confirm(cancels.CancelKey('r', 1, 'e1'))
    assert tracker.take_due(0.6) == [('r', 1, 'e2')]
    assert tracker.take_due(10.0) == []
    assert tracker.pending == 0
