"""Draft sessions under any order of events, and regressions."""

import random

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import attempts
from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import outcomes
from sardinebend_policy import planners
from sardinebend_policy import quarantine
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stalls
from sardinebend_policy import stream_watch

SPEC = routes.ModelSpec('tide', '1', 4)
MAX_TOKENS = 4
DEADLINE = 100.0


def make_shared(budget_floor=10):
    fleet = fleet_lib.Fleet()
    fleet.apply_specs(
        fleet_lib.EndpointSpec(
            f'e{first}{replica}',
            'http://e',
            'd',
            '',
            'tide',
            '1',
            first,
            first + 2,
        )
        for first in (0, 2)
        for replica in 'abc'
    )
    rng = random.Random(1)
    return attempts.Shared(
        fleet,
        planners.SlowestStagePlanner(fleet, rng),
        quarantine.Quarantine(600.0),
        retries.BudgetPool(0.2, budget_floor),
        stream_watch.Gaps(stalls.GapTracker(), stalls.GapTracker()),
        rng,
    )


def make_session(shared=None, fingerprint='f', **cfg):
    request = msg.DraftRequest(
        'r', 'vanua', fingerprint, SPEC, 'p', MAX_TOKENS, DEADLINE
    )
    return drafts.DraftSession(
        request, msg.DraftConfig(**cfg), shared or make_shared()
    )


def reach_streaming(session, now=0.0):
    session.handle(msg.Started(), now)
    session.handle(msg.Connected(session.attempt), now)


def reach_second_order(session, now):
    session.handle(msg.Probed(2, ()), now)
    session.handle(msg.Connected(2), now)


ATTEMPTS = st.integers(1, 4)
ENDPOINTS = st.sampled_from(['e0a', 'e0b', 'e2a'])
DEAD = st.builds(
    msg.DeadEndpoint, ENDPOINTS, st.sampled_from(['i1', 'i2']), st.booleans()
)
EVENTS = st.one_of(
    st.builds(msg.Connected, ATTEMPTS),
    st.builds(msg.ConnectFailed, ATTEMPTS, ENDPOINTS),
    st.builds(msg.Refused, ATTEMPTS, ENDPOINTS, st.just(1.0)),
    st.builds(msg.StageRefused, ATTEMPTS, ENDPOINTS, st.booleans()),
    st.builds(msg.Chunk, ATTEMPTS, st.integers(0, 5), st.just('t')),
    st.builds(msg.Finished, ATTEMPTS, st.integers(0, 6)),
    st.builds(msg.Broken, ATTEMPTS),
    st.builds(msg.Probed, ATTEMPTS, st.lists(DEAD, max_size=2).map(tuple)),
    st.just(msg.PeersTold()),
    st.builds(
        lambda name: msg.TimerDue(msg.Timer(name)),
        st.sampled_from(['stall', 'retry', 'notify', 'deadline']),
    ),
    st.just(msg.CallerLeft()),
    st.just(msg.HostStopping()),
)


@hypothesis.settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)
@hypothesis.given(st.lists(st.tuples(EVENTS, st.floats(0, 20)), max_size=30))
def test_no_order_of_events_breaks_a_promise(steps):
    shared = make_shared()
    session = make_session(shared)
    now, ends, expected = 0.0, [], 0
    orders, refused = set(), set()
    session.handle(msg.Started(), now)
    for event, pause_s in steps:
        now += pause_s
        if isinstance(event, msg.Refused) and event.attempt == session.attempt:
            refused.add(event.attempt)
        if isinstance(event, msg.StageRefused) and not event.may_have_run:
            refused.add(event.attempt)
        for action in session.handle(event, now):
            assert not ends, 'an action after the end'
            if isinstance(action, msg.Deliver):
                assert action.token_index == expected
                expected += 1
            if isinstance(action, msg.SendOrder):
                assert action.attempt not in orders
                assert action.start_index == expected
                assert now < DEADLINE
                routes.check_cover(SPEC.layers, action.route.stages)
                orders.add(action.attempt)
            if isinstance(action, msg.End):
                ends.append(action.outcome)
    assert expected <= MAX_TOKENS
    for end in ends:
        if isinstance(end, outcomes.NotRun):
            assert not orders - refused
        if isinstance(end, outcomes.Incomplete):
            assert end.delivered == expected
    if ends:
        running = sum(len(s.running) for s in shared.fleet.list_all())
        assert running == 0


def test_tokens_beyond_those_asked_for_end_the_answer_whole():
    session = make_session()
    reach_streaming(session)
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(1, index, 't'), 0.1)
    actions = session.handle(msg.Chunk(1, MAX_TOKENS, 'extra'), 0.2)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)
    assert any(isinstance(action, msg.CancelAttempt) for action in actions)


def test_a_break_after_the_last_token_ends_the_answer_whole():
    session = make_session()
    reach_streaming(session)
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(1, index, 't'), 0.1)
    session.handle(msg.Broken(1), 0.2)
    session.handle(msg.Probed(1, ()), 0.3)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_chunk_of_an_older_attempt_is_dropped():
    session = make_session()
    reach_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.Broken(1), 0.2)
    session.handle(msg.Probed(1, ()), 0.3)
    assert session.attempt == 2
    reach_second_order(session, 0.4)
    assert session.handle(msg.Chunk(1, 1, 'late'), 0.5) == []
    [deliver, _] = session.handle(msg.Chunk(2, 1, 't'), 0.6)
    assert deliver == msg.Deliver(1, 't')


def test_a_silent_connection_leaves_no_mark_on_its_endpoints():
    shared = make_shared()
    session = make_session(shared)
    reach_streaming(session)
    session.handle(msg.TimerDue(msg.Timer('stall')), 9.0)
    session.handle(msg.Probed(1, ()), 9.1)
    assert len(shared.fleet.list_usable(9.2)) == 6
    assert not shared.quarantine.is_suspect('f')


def test_a_cut_link_is_no_evidence_against_a_request():
    shared = make_shared()
    session = make_session(shared)
    reach_streaming(session)
    session.handle(msg.Broken(1), 1.0)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=False)
    session.handle(msg.Probed(1, (dead,)), 1.1)
    assert not shared.quarantine.is_suspect('f')
    assert not shared.fleet.is_usable('e0a', 1.2)


def test_peers_are_told_before_the_second_attempt():
    session = make_session()
    reach_streaming(session)
    session.handle(msg.Broken(1), 1.0)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    actions = session.handle(msg.Probed(1, (dead,)), 1.1)
    assert any(isinstance(action, msg.TellPeers) for action in actions)
    assert not any(isinstance(action, msg.Connect) for action in actions)
    [probe] = session.handle(msg.PeersTold(), 1.2)
    assert isinstance(probe, msg.ProbeStages)
    [connect] = session.handle(msg.Probed(2, ()), 1.3)
    assert isinstance(connect, msg.Connect)


def test_a_request_that_crashes_two_endpoints_is_refused_for_good():
    shared = make_shared()
    session = make_session(shared, 'poison')
    reach_streaming(session)
    for attempt, endpoint in ((1, 'e0a'), (2, 'e0b')):
        session.handle(msg.Broken(attempt), 1.0)
        dead = msg.DeadEndpoint(endpoint, 'i', crashed=True)
        session.handle(msg.Probed(attempt, (dead,)), 1.1)
        session.handle(msg.PeersTold(), 1.2)
        session.handle(msg.Probed(attempt + 1, ()), 1.25)
        session.handle(msg.Connected(attempt + 1), 1.3)
    assert session.outcome.reason is outcomes.Reason.QUARANTINED
    again = make_session(shared, 'poison')
    again.handle(msg.Started(), 2.0)
    assert isinstance(again.outcome, outcomes.NotRun)
    assert 590 < again.outcome.retry_after_s < 600


def test_an_innocent_request_beside_the_poison_finishes():
    shared = make_shared()
    poison = make_session(shared, 'poison')
    innocent = make_session(shared, 'innocent')
    for session in (poison, innocent):
        reach_streaming(session)
    shared_endpoint = 'e0a'
    for session in (poison, innocent):
        session.handle(msg.Broken(1), 1.0)
        dead = msg.DeadEndpoint(shared_endpoint, 'i', crashed=True)
        session.handle(msg.Probed(1, (dead,)), 1.1)
    for session in (poison, innocent):
        session.handle(msg.PeersTold(), 1.2)
        reach_second_order(session, 1.3)
    apart = set(poison.route.endpoint_ids) & set(innocent.route.endpoint_ids)
    assert not apart
    for index in range(MAX_TOKENS):
        innocent.handle(msg.Chunk(2, index, 't'), 1.4)
    innocent.handle(msg.Finished(2, MAX_TOKENS), 1.5)
    assert innocent.outcome == outcomes.Answered(tokens=MAX_TOKENS)
    assert not shared.quarantine.is_suspect('innocent')


def test_no_order_goes_to_an_endpoint_that_left_while_connecting():
    shared = make_shared()
    session = make_session(shared)
    [_, connect] = session.handle(msg.Started(), 0.0)
    shared.fleet.mark_leaving(connect.route.endpoint_ids[1], 'i')
    actions = session.handle(msg.Connected(1), 9.0)
    assert not any(isinstance(action, msg.SendOrder) for action in actions)
    assert session.attempt == 2


def test_a_spent_retry_budget_ends_a_request_at_once():
    session = make_session(make_shared(budget_floor=0))
    reach_streaming(session)
    session.handle(msg.Broken(1), 1.0)
    session.handle(msg.Probed(1, ()), 1.1)
    assert session.outcome.reason is outcomes.Reason.RETRY_BUDGET
    assert session.outcome.retry_after_s


def test_an_endpoint_found_dead_before_a_retry_is_no_evidence():
    shared = make_shared()
    session = make_session(shared)
    reach_streaming(session)
    session.handle(msg.Broken(1), 1.0)
    first = msg.DeadEndpoint('e0a', 'i', crashed=True)
    session.handle(msg.Probed(1, (first,)), 1.1)
    session.handle(msg.PeersTold(), 1.2)
    second = msg.DeadEndpoint('e2a', 'i', crashed=True)
    [_, probe] = session.handle(msg.Probed(2, (second,)), 1.3)
    assert isinstance(probe, msg.ProbeStages)
    assert session.attempt == 2
    assert shared.quarantine.refused_until('f', 1.4) is None


def test_stages_that_die_together_under_one_attempt_convict_nobody():
    shared = make_shared()
    sessions = [make_session(shared, name) for name in ('x', 'y')]
    for session in sessions:
        reach_streaming(session)
    dead = tuple(
        msg.DeadEndpoint(name, 'i', crashed=True)
        for name in sessions[0].route.endpoint_ids
    )
    for session in sessions:
        session.handle(msg.Broken(1), 1.0)
        session.handle(msg.Probed(1, dead), 1.1)
        assert session.outcome is None
    assert shared.quarantine.refused_until('x', 1.2) is None


def test_suspects_share_a_route_where_there_is_no_other():
    shared = make_shared()
    sessions = [make_session(shared, f'f{number}') for number in range(5)]
    for session in sessions:
        reach_streaming(session)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    for session in sessions:
        session.handle(msg.Broken(1), 1.0)
        session.handle(msg.Probed(1, (dead,)), 1.1)
    for session in sessions:
        [probe] = session.handle(msg.PeersTold(), 1.2)
        assert isinstance(probe, msg.ProbeStages)


def test_a_silent_first_stage_is_found_before_the_first_token_is_due():
    session = make_session(first_token_s=60.0)
    session.handle(msg.Started(), 0.0)
    [_, timer] = session.handle(msg.Connected(1), 0.0)
    assert timer.at == 1.0
    [probe] = session.handle(msg.TimerDue(timer.timer), 1.0)
    assert isinstance(probe, msg.ProbeStages)
    [again] = session.handle(msg.Probed(1, ()), 1.1)
    assert again == msg.SetTimer(msg.Timer('stall'), 3.1)
    assert session.attempt == 1


def test_a_repair_does_not_make_later_stalls_more_patient():
    shared = make_shared()
    session = make_session(shared)
    reach_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.Broken(1), 5.0)
    session.handle(msg.Probed(1, ()), 5.1)
    reach_second_order(session, 9.0)
    [_, timer] = session.handle(msg.Chunk(2, 1, 't'), 9.5)
    assert timer.at == 9.5 + 0.5


def test_stages_that_do_not_hold_a_version_yet_cost_no_attempts():
    shared = make_shared(budget_floor=0)
    session = make_session(shared)
    reach_streaming(session)
    for attempt in (1, 2):
        refusing = session.route.endpoint_ids[1]
        session.handle(msg.StageRefused(attempt, refusing, True), 0.1)
        session.handle(msg.Probed(attempt + 1, ()), 0.2)
        session.handle(msg.Connected(attempt + 1), 0.2)
        assert not shared.fleet.get(refusing).holds('tide', '1')
    assert session.attempt == 3
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(3, index, 't'), 0.3)
    session.handle(msg.Finished(3, MAX_TOKENS), 0.4)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_refusal_is_forgotten_with_the_next_report():
    shared = make_shared()
    shared.fleet.note_refused('e0a', 'tide', '1')
    assert not shared.fleet.get('e0a').holds('tide', '1')
    shared.fleet.note_held('e0a', 'tide', '1')
    assert shared.fleet.get('e0a').holds('tide', '1')


def test_a_token_that_comes_while_the_stages_are_probed_ends_the_check():
    session = make_session()
    reach_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.TimerDue(msg.Timer('stall')), 0.7)
    session.handle(msg.Chunk(1, 1, 't'), 0.75)
    assert session.handle(msg.Probed(1, ()), 0.8) == []
    assert session.attempt == 1
