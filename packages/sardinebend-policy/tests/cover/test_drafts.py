"""Tests draft sessions with random orders of events and known failures."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

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


def make_shared_state(budget_floor=10):
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
        request, msg.DraftConfig(**cfg), shared or make_shared_state()
    )


def advance_to_streaming(session, now=0.0):
    session.handle(msg.Started(), now)
    session.handle(msg.Connected(session.attempt), now)


def advance_to_second_order(session, now):
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
    st.builds(msg.StreamBroken, ATTEMPTS),
    st.builds(msg.Probed, ATTEMPTS, st.lists(DEAD, max_size=2).map(tuple)),
    st.builds(msg.CrashesReported, ATTEMPTS),
    st.builds(
        lambda name: msg.TimerDue(msg.Timer(name)),
        st.sampled_from(['stall', 'hedge', 'retry', 'notify', 'deadline']),
    ),
    st.just(msg.CallerLeft()),
    st.just(msg.HostStopping()),
)
# Events, each with the time before it, after which a second attempt has been
# sent beside the first one, which is silent.
TO_HEDGE = (
    (msg.Connected(1), 0.0),
    (msg.Chunk(1, 0, 't'), 0.0),
    (msg.TimerDue(msg.Timer('stall')), 0.5),
    (msg.Probed(1, ()), 1.0),
    (msg.TimerDue(msg.Timer('stall')), 0.5),
    (msg.Probed(2, ()), 0.1),
    (msg.Connected(2), 0.1),
)


@hypothesis.settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)
@hypothesis.given(
    st.lists(st.tuples(EVENTS, st.floats(0, 20)), max_size=30),
    st.sampled_from(range(len(TO_HEDGE) + 1)),
)
def test_invariants_hold_for_any_order_of_events(timed_events, steps_to_hedge):
    timed_events = [*TO_HEDGE[:steps_to_hedge], *timed_events]
    shared = make_shared_state()
    session = make_session(shared)
    now, reported, expected = 0.0, [], 0
    orders, refused = set(), set()
    session.handle(msg.Started(), now)
    for event, delay_s in timed_events:
        now += delay_s
        if isinstance(event, msg.Refused) and event.attempt == session.attempt:
            refused.add(event.attempt)
        if isinstance(event, msg.StageRefused) and not event.may_have_run:
            refused.add(event.attempt)
        for action in session.handle(event, now):
            assert not reported, 'an action after the outcome'
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
                reported.append(action.outcome)
    assert expected <= MAX_TOKENS
    for outcome in reported:
        if isinstance(outcome, outcomes.NotRun):
            assert not orders - refused
        if isinstance(outcome, outcomes.Incomplete):
            assert outcome.delivered == expected
    if reported:
        running = sum(len(s.running) for s in shared.fleet.list_all())
        assert running == 0


def test_a_token_beyond_the_requested_number_completes_the_answer():
    session = make_session()
    advance_to_streaming(session)
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(1, index, 't'), 0.1)
    actions = session.handle(msg.Chunk(1, MAX_TOKENS, 'extra'), 0.2)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)
    assert any(isinstance(action, msg.CancelAttempt) for action in actions)


def test_a_connection_lost_after_the_last_token_completes_the_answer():
    session = make_session()
    advance_to_streaming(session)
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(1, index, 't'), 0.1)
    session.handle(msg.StreamBroken(1), 0.2)
    session.handle(msg.Probed(1, ()), 0.3)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_chunk_from_an_earlier_attempt_is_ignored():
    session = make_session()
    advance_to_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.StreamBroken(1), 0.2)
    session.handle(msg.Probed(1, ()), 0.3)
    assert session.attempt == 2
    advance_to_second_order(session, 0.4)
    assert session.handle(msg.Chunk(1, 1, 'late'), 0.5) == []
    [deliver, _] = session.handle(msg.Chunk(2, 1, 't'), 0.6)
    assert deliver == msg.Deliver(1, 't')


def test_a_stalled_connection_does_not_mark_its_live_endpoints_unhealthy():
    shared = make_shared_state()
    session = make_session(shared)
    advance_to_streaming(session)
    session.handle(msg.TimerDue(msg.Timer('stall')), 9.0)
    session.handle(msg.Probed(1, ()), 9.1)
    assert len(shared.fleet.list_usable(9.2)) == 6
    assert not shared.quarantine.is_suspect('f')


def test_an_unreachable_endpoint_does_not_make_a_request_suspected():
    shared = make_shared_state()
    session = make_session(shared)
    advance_to_streaming(session)
    session.handle(msg.StreamBroken(1), 1.0)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=False)
    session.handle(msg.Probed(1, (dead,)), 1.1)
    assert not shared.quarantine.is_suspect('f')
    assert not shared.fleet.is_usable('e0a', 1.2)


def test_peers_are_notified_of_a_crash_before_the_second_attempt():
    session = make_session()
    advance_to_streaming(session)
    session.handle(msg.StreamBroken(1), 1.0)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    actions = session.handle(msg.Probed(1, (dead,)), 1.1)
    assert any(isinstance(action, msg.ReportCrashes) for action in actions)
    assert not any(isinstance(action, msg.Connect) for action in actions)
    [probe] = session.handle(msg.CrashesReported(1), 1.2)
    assert isinstance(probe, msg.ProbeStages)
    [connect] = session.handle(msg.Probed(2, ()), 1.3)
    assert isinstance(connect, msg.Connect)


def test_a_request_that_crashes_two_endpoints_is_quarantined():
    shared = make_shared_state()
    session = make_session(shared, 'crashing')
    advance_to_streaming(session)
    for attempt, endpoint in ((1, 'e0a'), (2, 'e0b')):
        session.handle(msg.StreamBroken(attempt), 1.0)
        dead = msg.DeadEndpoint(endpoint, 'i', crashed=True)
        session.handle(msg.Probed(attempt, (dead,)), 1.1)
        session.handle(msg.CrashesReported(attempt), 1.2)
        session.handle(msg.Probed(attempt + 1, ()), 1.25)
        session.handle(msg.Connected(attempt + 1), 1.3)
    assert session.outcome.reason is outcomes.Reason.QUARANTINED
    again = make_session(shared, 'crashing')
    again.handle(msg.Started(), 2.0)
    assert isinstance(again.outcome, outcomes.NotRun)
    assert 590 < again.outcome.retry_after_s < 600


# The caller's resend reached a peer before the second crash did, and crashed
# one more engine or was refused for want of a route.
def test_peers_know_a_verdict_before_the_caller_has_its_answer():
    session = make_session()
    advance_to_streaming(session)
    session.handle(msg.StreamBroken(1), 1.0)
    first = msg.DeadEndpoint('e0a', 'i', crashed=True)
    session.handle(msg.Probed(1, (first,)), 1.1)
    session.handle(msg.CrashesReported(1), 1.2)
    advance_to_second_order(session, 1.3)
    session.handle(msg.StreamBroken(2), 1.4)
    second = msg.DeadEndpoint('e0b', 'i', crashed=True)
    actions = session.handle(msg.Probed(2, (second,)), 1.5)
    [report] = [a for a in actions if isinstance(a, msg.ReportCrashes)]
    # A peer that missed the first report learns of both crashes.
    assert len(report.crashes) == 2
    assert session.outcome is None
    session.handle(msg.CrashesReported(2), 1.6)
    assert session.outcome.reason is outcomes.Reason.QUARANTINED


def test_a_quarantined_request_ends_when_peers_do_not_answer_in_time():
    session = make_session()
    advance_to_streaming(session)
    for attempt, endpoint in ((1, 'e0a'), (2, 'e0b')):
        session.handle(msg.StreamBroken(attempt), 1.0)
        dead = msg.DeadEndpoint(endpoint, 'i', crashed=True)
        session.handle(msg.Probed(attempt, (dead,)), 1.1)
        session.handle(msg.TimerDue(msg.Timer('notify')), 1.6)
        if attempt == 1:
            advance_to_second_order(session, 1.7)
    assert session.outcome.reason is outcomes.Reason.QUARANTINED


def test_a_request_that_ran_beside_a_crashing_one_completes():
    shared = make_shared_state()
    crashing = make_session(shared, 'crashing')
    harmless = make_session(shared, 'harmless')
    for session in (crashing, harmless):
        advance_to_streaming(session)
    shared_endpoint = 'e0a'
    for session in (crashing, harmless):
        session.handle(msg.StreamBroken(1), 1.0)
        dead = msg.DeadEndpoint(shared_endpoint, 'i', crashed=True)
        session.handle(msg.Probed(1, (dead,)), 1.1)
    for session in (crashing, harmless):
        session.handle(msg.CrashesReported(1), 1.2)
        advance_to_second_order(session, 1.3)
    common_endpoints = set(crashing.route.endpoint_ids) & set(
        harmless.route.endpoint_ids
    )
    assert not common_endpoints
    for index in range(MAX_TOKENS):
        harmless.handle(msg.Chunk(2, index, 't'), 1.4)
    harmless.handle(msg.Finished(2, MAX_TOKENS), 1.5)
    assert harmless.outcome == outcomes.Answered(tokens=MAX_TOKENS)
    assert not shared.quarantine.is_suspect('harmless')


def test_no_order_is_sent_to_an_endpoint_that_left_during_the_connect():
    shared = make_shared_state()
    session = make_session(shared)
    [_, connect] = session.handle(msg.Started(), 0.0)
    shared.fleet.mark_leaving(connect.route.endpoint_ids[1], 'i')
    actions = session.handle(msg.Connected(1), 9.0)
    assert not any(isinstance(action, msg.SendOrder) for action in actions)
    assert session.attempt == 2


def test_an_exhausted_retry_budget_ends_a_request_without_a_retry():
    session = make_session(make_shared_state(budget_floor=0))
    advance_to_streaming(session)
    session.handle(msg.StreamBroken(1), 1.0)
    session.handle(msg.Probed(1, ()), 1.1)
    assert session.outcome.reason is outcomes.Reason.RETRY_BUDGET
    assert session.outcome.retry_after_s


def test_an_endpoint_found_crashed_before_a_retry_is_no_evidence():
    shared = make_shared_state()
    session = make_session(shared)
    advance_to_streaming(session)
    session.handle(msg.StreamBroken(1), 1.0)
    first = msg.DeadEndpoint('e0a', 'i', crashed=True)
    session.handle(msg.Probed(1, (first,)), 1.1)
    session.handle(msg.CrashesReported(1), 1.2)
    second = msg.DeadEndpoint('e2a', 'i', crashed=True)
    [_, probe] = session.handle(msg.Probed(2, (second,)), 1.3)
    assert isinstance(probe, msg.ProbeStages)
    assert session.attempt == 2
    assert shared.quarantine.refused_until('f', 1.4) is None


def test_stages_that_crash_together_in_one_attempt_quarantine_no_request():
    shared = make_shared_state()
    sessions = [make_session(shared, name) for name in ('x', 'y')]
    for session in sessions:
        advance_to_streaming(session)
    dead = tuple(
        msg.DeadEndpoint(name, 'i', crashed=True)
        for name in sessions[0].route.endpoint_ids
    )
    for session in sessions:
        session.handle(msg.StreamBroken(1), 1.0)
        session.handle(msg.Probed(1, dead), 1.1)
        assert session.outcome is None
    assert shared.quarantine.refused_until('x', 1.2) is None


def test_suspected_requests_share_a_route_if_there_is_no_other():
    shared = make_shared_state()
    sessions = [make_session(shared, f'f{number}') for number in range(5)]
    for session in sessions:
        advance_to_streaming(session)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    for session in sessions:
        session.handle(msg.StreamBroken(1), 1.0)
        session.handle(msg.Probed(1, (dead,)), 1.1)
    for session in sessions:
        [probe] = session.handle(msg.CrashesReported(1), 1.2)
        assert isinstance(probe, msg.ProbeStages)


def test_stages_are_probed_before_the_first_token_times_out():
    session = make_session(first_token_s=60.0)
    session.handle(msg.Started(), 0.0)
    [_, timer] = session.handle(msg.Connected(1), 0.0)
    assert timer.at == 1.0
    [probe] = session.handle(msg.TimerDue(timer.timer), 1.0)
    assert isinstance(probe, msg.ProbeStages)
    [again] = session.handle(msg.Probed(1, ()), 1.1)
    assert again == msg.SetTimer(msg.Timer('stall'), 3.1)
    assert session.attempt == 1


def test_recovery_time_does_not_lengthen_later_stall_timeouts():
    shared = make_shared_state()
    session = make_session(shared)
    advance_to_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.StreamBroken(1), 5.0)
    session.handle(msg.Probed(1, ()), 5.1)
    advance_to_second_order(session, 9.0)
    [_, timer] = session.handle(msg.Chunk(2, 1, 't'), 9.5)
    assert timer.at == 9.5 + 0.5


def test_a_refusal_for_a_version_not_yet_loaded_uses_no_attempt():
    shared = make_shared_state(budget_floor=0)
    session = make_session(shared)
    advance_to_streaming(session)
    for attempt in (1, 2):
        refusing_endpoint = session.route.endpoint_ids[1]
        session.handle(msg.StageRefused(attempt, refusing_endpoint, True), 0.1)
        session.handle(msg.Probed(attempt + 1, ()), 0.2)
        session.handle(msg.Connected(attempt + 1), 0.2)
        assert not shared.fleet.get(refusing_endpoint).holds('tide', '1')
    assert session.attempt == 3
    for index in range(MAX_TOKENS):
        session.handle(msg.Chunk(3, index, 't'), 0.3)
    session.handle(msg.Finished(3, MAX_TOKENS), 0.4)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_the_next_report_of_a_loaded_model_clears_a_refusal():
    shared = make_shared_state()
    shared.fleet.record_refusal('e0a', 'tide', '1')
    assert not shared.fleet.get('e0a').holds('tide', '1')
    shared.fleet.record_loaded_model('e0a', 'tide', '1')
    assert shared.fleet.get('e0a').holds('tide', '1')


def test_a_token_received_during_a_stall_probe_ends_the_stall_check():
    session = make_session()
    advance_to_streaming(session)
    session.handle(msg.Chunk(1, 0, 't'), 0.1)
    session.handle(msg.TimerDue(msg.Timer('stall')), 0.7)
    session.handle(msg.Chunk(1, 1, 't'), 0.75)
    assert session.handle(msg.Probed(1, ()), 0.8) == []
    assert session.attempt == 1


# Silent endpoints.


def advance_to_silence(session, now):
    """Lets a stream stall half a second after its first token."""
    advance_to_streaming(session, now)
    session.handle(msg.Chunk(1, 0, 't'), now)
    [probe] = session.handle(msg.TimerDue(msg.Timer('stall')), now + 0.5)
    assert isinstance(probe, msg.ProbeStages)


def get_silent(session):
    """Returns the first stage of a session's route, as one that is silent."""
    return (msg.DeadEndpoint(session.route.endpoint_ids[0], 'i', False),)


def run_until(session, until, now, silent=()):
    """Runs the stall timer until a time; each probe takes a second."""
    actions = []
    while now < until:
        due = session.handle(msg.TimerDue(msg.Timer('stall')), now)
        actions += due
        if any(isinstance(action, msg.ProbeStages) for action in due):
            now += 1.0
            due = session.handle(msg.Probed(session.attempt, silent), now)
            actions += due
        timers = [a for a in due if isinstance(a, msg.SetTimer)]
        if not timers:
            break
        now = timers[-1].at
    return actions


# Guards against a stalled stream that is held for ever, since its server sends
# the same token again and again.
def test_a_token_that_is_sent_again_is_no_progress():
    session = make_session()
    advance_to_streaming(session, 0.0)
    session.handle(msg.Chunk(1, 0, 't'), 0.0)
    assert session.handle(msg.Chunk(1, 0, 't'), 0.4) == []
    [probe] = session.handle(msg.TimerDue(msg.Timer('stall')), 0.5)
    assert isinstance(probe, msg.ProbeStages)


# Guards against streams that end because a sound server is silent for a second.
def test_a_stage_that_is_silent_for_a_second_or_so_keeps_its_stream():
    session = make_session()
    advance_to_silence(session, 0.0)
    silent = get_silent(session)
    [timer] = session.handle(msg.Probed(1, silent), 1.5)
    assert timer.at > 1.6
    [deliver, _] = session.handle(msg.Chunk(1, 1, 't'), 1.6)
    assert deliver == msg.Deliver(1, 't')


# Guards against streams that end because a server that was silent answers the
# probe before it sends the next token.
def test_an_answer_to_a_probe_just_before_the_next_token_ends_no_stream():
    session = make_session()
    advance_to_silence(session, 0.0)
    [timer] = session.handle(msg.Probed(1, ()), 0.9)
    assert timer.at > 1.6
    [deliver, _] = session.handle(msg.Chunk(1, 1, 't'), 0.91)
    assert deliver == msg.Deliver(1, 't')


# Guards against streams that end while their tokens arrive.
def test_a_token_that_arrives_during_an_unanswered_probe_keeps_its_stream():
    session = make_session()
    advance_to_silence(session, 0.0)
    session.handle(msg.Chunk(1, 1, 't'), 1.4)
    assert session.handle(msg.Probed(1, get_silent(session)), 1.5) == []
    assert session.attempt == 1


# Guards against attempts that end before the first token though they were
# silent only for the time of one probe.
def test_an_attempt_without_a_token_outlasts_one_unanswered_probe():
    session = make_session()
    advance_to_streaming(session)
    session.handle(msg.TimerDue(msg.Timer('stall')), 1.0)
    [timer] = session.handle(msg.Probed(1, get_silent(session)), 2.0)
    assert timer.at > 2.6
    [deliver, _] = session.handle(msg.Chunk(1, 0, 't'), 2.6)
    assert deliver == msg.Deliver(0, 't')


# Guards against silent attempts that end though nothing can succeed them.
@pytest.mark.parametrize('lack', ['budget', 'route', 'attempt'])
def test_a_silent_stream_without_a_successor_goes_on(lack):
    shared = make_shared_state(budget_floor=0 if lack == 'budget' else 10)
    if lack == 'route':
        for name in ('e0a', 'e0b', 'e0c'):
            shared.fleet.mark_leaving(name, 'i')
    session = make_session(shared, max_attempts=1 if lack == 'attempt' else 3)
    if lack == 'route':
        shared.fleet.record_incarnation('e0a', 'i2')
    advance_to_silence(session, 0.0)
    [timer] = session.handle(msg.Probed(1, get_silent(session)), 1.5)
    actions = run_until(session, 9.0, timer.at, get_silent(session))
    assert not any(isinstance(a, msg.CloseAttempt | msg.End) for a in actions)
    for index in range(1, MAX_TOKENS):
        session.handle(msg.Chunk(1, index, 't'), 9.5)
    session.handle(msg.Finished(1, MAX_TOKENS), 9.6)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_stream_that_stays_silent_is_continued_elsewhere():
    session = make_session()
    advance_to_silence(session, 0.0)
    [silent] = get_silent(session)
    [timer] = session.handle(msg.Probed(1, (silent,)), 1.5)
    actions = session.handle(msg.TimerDue(timer.timer), timer.at)
    probes = [a for a in actions if isinstance(a, msg.ProbeStages)]
    assert [probe.attempt for probe in probes] == [2]
    assert silent.endpoint_id not in probes[0].endpoint_ids


# A second attempt beside a silent one.


def advance_to_hedge(session, steps=None):
    """Performs the first steps towards a hedge that was sent."""
    session.handle(msg.Started(), 0.0)
    now, actions = 0.0, []
    for event, delay_s in TO_HEDGE[:steps]:
        now += delay_s
        actions = session.handle(event, now)
    return actions


def finish(session, attempt, now, first=1):
    """Delivers the rest of the answer from an attempt."""
    actions = []
    for index in range(first, MAX_TOKENS):
        actions += session.handle(msg.Chunk(attempt, index, 't'), now)
    return actions + session.handle(msg.Finished(attempt, MAX_TOKENS), now)


def find(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


# Guards against answers that end because a successor took a silent engine's
# place and then failed.
@pytest.mark.parametrize(
    'failure',
    [
        msg.Refused(2, 'e0a', 1.0),
        msg.StageRefused(2, 'e2a', True),
        msg.Chunk(2, 3, 't'),
        msg.Finished(2, 3),
    ],
)
def test_a_silent_attempt_goes_on_after_its_successor_has_failed(failure):
    session = make_session(make_shared_state(budget_floor=1), max_attempts=2)
    actions = advance_to_hedge(session)
    assert find(actions, msg.SendOrder)
    assert not find(actions, msg.CloseAttempt)
    actions = session.handle(failure, 2.3)
    assert [a.attempt for a in find(actions, msg.CloseAttempt)] == [2]
    finish(session, 1, 3.0)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


# Guards against answers that end because every successor is silent as well.
def test_a_silent_attempt_goes_on_while_its_successors_do_not_answer_probes():
    shared = make_shared_state(budget_floor=1)
    session = make_session(shared)
    [probe] = advance_to_hedge(session, 5)
    while isinstance(probe, msg.ProbeStages):
        dead = tuple(
            msg.DeadEndpoint(name, 'i', False) for name in probe.endpoint_ids
        )
        [*_, probe] = session.handle(msg.Probed(probe.attempt, dead), 3.0)
    assert isinstance(probe, msg.SetTimer)
    assert not shared.budgets.get('vanua').can_spend(3.2)
    finish(session, 1, 3.2)
    assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_retry_that_sent_no_order_is_used_for_the_next_successor():
    session = make_session(make_shared_state(budget_floor=1))
    [probe] = advance_to_hedge(session, 5)
    dead = msg.DeadEndpoint(probe.endpoint_ids[0], 'i', False)
    [_, again] = session.handle(msg.Probed(2, (dead,)), 3.0)
    assert again.attempt == 3
    assert dead.endpoint_id not in again.endpoint_ids


def test_the_first_of_two_attempts_that_goes_on_delivers_alone():
    for first, other in ((1, 2), (2, 1)):
        session = make_session()
        advance_to_hedge(session)
        actions = session.handle(msg.Chunk(first, 1, 't'), 2.3)
        assert find(actions, msg.Deliver) == [msg.Deliver(1, 't')]
        [close] = find(actions, msg.CloseAttempt)
        [cancel] = find(actions, msg.CancelAttempt)
        assert (close.attempt, cancel.attempt) == (other, other)
        assert session.handle(msg.Chunk(other, 2, 't'), 2.4) == []
        finish(session, first, 2.5, 2)
        assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_successor_takes_the_place_of_an_attempt_that_breaks():
    for steps in (5, 6, 7):
        session = make_session(make_shared_state(budget_floor=1))
        advance_to_hedge(session, steps)
        session.handle(msg.StreamBroken(1), 2.3)
        session.handle(msg.Probed(1, ()), 2.4)
        for event, _ in TO_HEDGE[steps:]:
            session.handle(event, 2.5)
        finish(session, 2, 2.6)
        assert session.outcome == outcomes.Answered(tokens=MAX_TOKENS)


def test_a_crash_is_reported_before_the_successor_delivers():
    session = make_session()
    advance_to_hedge(session)
    session.handle(msg.StreamBroken(1), 2.3)
    assert session.handle(msg.Chunk(2, 1, 't'), 2.4) == []
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    actions = session.handle(msg.Probed(1, (dead,)), 2.5)
    assert find(actions, msg.ReportCrashes)
    actions = session.handle(msg.CrashesReported(1), 2.6)
    assert find(actions, msg.Deliver) == [msg.Deliver(1, 't')]


def test_a_crash_under_a_successor_counts_and_the_first_attempt_goes_on():
    shared = make_shared_state()
    session = make_session(shared)
    advance_to_hedge(session)
    session.handle(msg.StreamBroken(2), 2.3)
    dead = msg.DeadEndpoint('e0b', 'i', crashed=True)
    actions = session.handle(msg.Probed(2, (dead,)), 2.4)
    assert find(actions, msg.ReportCrashes)
    assert shared.quarantine.is_suspect('f')
    session.handle(msg.StreamBroken(1), 2.5)
    dead = msg.DeadEndpoint('e0a', 'i', crashed=True)
    session.handle(msg.Probed(1, (dead,)), 2.6)
    session.handle(msg.CrashesReported(1), 2.7)
    assert session.outcome.reason is outcomes.Reason.QUARANTINED


def test_a_successor_leads_when_both_attempts_stay_silent():
    session = make_session()
    actions = advance_to_hedge(session)
    [timer] = find(actions, msg.SetTimer)
    actions = session.handle(msg.TimerDue(timer.timer), timer.at)
    assert [a.attempt for a in find(actions, msg.CloseAttempt)] == [1]
    assert session.attempt == 2
    assert find(actions, msg.SetTimer)
