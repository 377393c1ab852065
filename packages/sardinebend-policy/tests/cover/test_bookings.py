"""Tests booking sessions with random orders of events and known failures."""

import hypothesis
from hypothesis import strategies as st

from sardinebend_policy import booking_messages as msg
from sardinebend_policy import bookings
from sardinebend_policy import claims
from sardinebend_policy import outcomes

REQUEST = msg.BookingRequest(
    'r', 'vanua', 'claims/k', 'd', 'mine', 100.0, frozenset({429})
)
CFG = msg.BookingConfig('a', 'a-1')


def make_row(nonce='other', state='claimed', digest='d'):
    return {
        'host': 'b',
        'incarnation': 'b-1',
        'nonce': nonce,
        'digest': digest,
        'state': state,
        'status': 200,
        'content_type': 't',
        'body': 'C1',
    }


def make_session(is_usable=lambda endpoint_id, now: True):
    return bookings.BookingSession(REQUEST, CFG, is_usable)


ROWS = st.one_of(
    st.none(),
    st.builds(
        make_row,
        st.sampled_from(['mine', 'other']),
        st.sampled_from([state.value for state in claims.RowState]),
        st.sampled_from(['d', 'e']),
    ),
)
ANSWERS = st.builds(
    claims.ClaimantAnswer,
    st.sampled_from(list(claims.ClaimantState)),
    st.one_of(st.none(), st.just(outcomes.Answered(0, 200, 't', b'C1'))),
)
TIMERS = st.sampled_from(['deadline', 'insert', 'ask', 'reply', 'record'])
EVENTS = st.one_of(
    st.just(msg.Connected('e')),
    st.just(msg.ConnectFailed('e')),
    st.just(msg.NoEndpoint()),
    st.just(msg.ClaimWritten(1)),
    st.builds(msg.ClaimConflict, ROWS, st.integers(0, 9)),
    st.just(msg.ClaimUnclear()),
    st.just(msg.TableUnavailable()),
    st.builds(msg.ClaimantAnswered, st.sampled_from(['other', 'x']), ANSWERS),
    st.just(msg.ClaimantUnreachable('other')),
    st.builds(msg.RowRead, ROWS, st.integers(0, 9)),
    st.builds(
        msg.Replied,
        st.sampled_from([200, 404, 429, 500, 503]),
        st.just('t'),
        st.just(b'C1'),
    ),
    st.just(msg.ReplyLost()),
    st.just(msg.OutcomeWritten()),
    st.just(msg.OutcomeNotWritten()),
    st.just(msg.CallerLeft()),
    st.just(msg.HostStopping()),
    st.builds(lambda name: msg.TimerDue(msg.Timer(name)), TIMERS),
)


@hypothesis.settings(
    derandomize=True, max_examples=600, deadline=None, database=None
)
@hypothesis.given(st.lists(st.tuples(EVENTS, st.floats(0, 50)), max_size=25))
def test_invariants_hold_for_any_order_of_events(timed_events):
    session = make_session()
    now, sends, reported, was_refused = 0.0, 0, [], False
    session.handle(msg.Started(), now)
    for event, delay_s in timed_events:
        now += delay_s
        was_sent = session.is_sent
        for action in session.handle(event, now):
            if isinstance(action, msg.Send):
                sends += 1
                assert now < REQUEST.deadline
                assert not was_refused
            if isinstance(action, msg.SetClaimState):
                void = action.state is claims.ClaimantState.VOID
                refused = getattr(event, 'status', 0) == 429
                assert not (void and was_sent and not refused)
            if isinstance(action, msg.End):
                reported.append(action.outcome)
                if isinstance(action.outcome, outcomes.NotRun):
                    was_refused = True
                    refused = getattr(event, 'status', 0) == 429
                    assert refused or not was_sent
    assert sends <= 1
    assert len(reported) <= 1


def advance_to_claiming(session):
    session.handle(msg.Started(), 0.0)
    session.handle(msg.Connected('e'), 0.0)


def test_an_unclear_insert_is_retried_and_resolved_by_the_row():
    session = make_session()
    advance_to_claiming(session)
    [timer] = session.handle(msg.ClaimUnclear(), 1.0)
    assert timer.timer.name == 'insert'
    again = session.handle(msg.TimerDue(timer.timer), 1.1)
    assert isinstance(again[0], msg.WriteClaim)
    row = make_row('mine')
    actions = session.handle(msg.ClaimConflict(row, 1), 1.2)
    assert isinstance(actions[0], msg.Send)


def test_a_claim_confirmed_after_the_deadline_is_voided_and_released():
    session = make_session()
    advance_to_claiming(session)
    actions = session.handle(msg.ClaimWritten(1), 101.0)
    kinds = [type(action) for action in actions]
    assert msg.Send not in kinds
    assert msg.SetClaimState(claims.ClaimantState.VOID) in actions
    released = msg.WriteOutcome(claims.RowState.RELEASED, None)
    assert released in actions


def test_a_booking_is_not_sent_to_an_endpoint_that_left_during_the_claim():
    usable = {'e': True}
    session = make_session(lambda endpoint_id, now: usable[endpoint_id])
    advance_to_claiming(session)
    usable['e'] = False
    actions = session.handle(msg.ClaimWritten(1), 20.0)
    assert not any(isinstance(action, msg.Send) for action in actions)
    assert isinstance(session.outcome, outcomes.NotRun)


def test_an_undeclared_503_after_the_send_has_an_unknown_outcome():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimWritten(1), 0.0)
    session.handle(msg.Replied(503, 't', b''), 0.1)
    assert isinstance(session.outcome, outcomes.OutcomeUnknown)


def test_a_declared_refusal_after_the_send_has_the_outcome_not_run():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimWritten(1), 0.0)
    session.handle(msg.Replied(429, 't', b''), 0.1)
    assert isinstance(session.outcome, outcomes.NotRun)


def test_a_reply_after_the_deadline_is_still_recorded():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimWritten(1), 99.0)
    session.handle(msg.TimerDue(msg.Timer('deadline')), 100.0)
    assert isinstance(session.outcome, outcomes.OutcomeUnknown)
    actions = session.handle(msg.Replied(200, 't', b'C1'), 101.0)
    written = [a for a in actions if isinstance(a, msg.WriteOutcome)]
    assert written[0].state is claims.RowState.DONE


def test_a_different_body_with_the_same_key_is_refused():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimConflict(make_row(digest='e'), 3), 0.0)
    assert session.outcome == outcomes.NotRun(outcomes.Reason.KEY_REUSED)


def test_an_evicted_claim_is_reported_as_unknown_not_void():
    registry = claims.ClaimRegistry()
    for number in range(claims.MAX_NONCES + 1):
        registry.set_state(f'n{number}', claims.ClaimantState.VOID)
    assert registry.describe('n0').state is claims.ClaimantState.UNKNOWN
    assert registry.describe('n1').state is claims.ClaimantState.VOID


def test_a_host_drops_the_answer_body_after_recording_it():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimWritten(1), 0.0)
    session.handle(msg.Replied(200, 't', b'C1'), 0.1)
    [state, _] = session.handle(msg.OutcomeWritten(), 0.2)
    assert state == msg.SetClaimState(claims.ClaimantState.DONE, None)


def test_a_missing_body_of_a_done_claimant_is_read_from_the_row():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimConflict(make_row(), 1), 0.0)
    done = claims.ClaimantAnswer(claims.ClaimantState.DONE)
    assert session.handle(msg.ClaimantAnswered('other', done), 0.1) == [
        msg.ReadRow()
    ]
    actions = session.handle(msg.RowRead(make_row(state='done'), 2), 0.2)
    assert any(isinstance(action, msg.ReplayAnswer) for action in actions)


# Guards against an unknown outcome of a repeat that a silent host, which holds
# the claim, would have answered a second later.
def test_a_repeat_waits_for_a_claimant_that_is_silent_for_a_second_or_so():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimConflict(make_row(), 1), 0.0)
    for now in (0.1, 1.3, 1.6):
        [read] = session.handle(msg.ClaimantUnreachable('other'), now)
        assert isinstance(read, msg.ReadRow)
        [timer] = session.handle(msg.RowRead(make_row(), 1), now)
        [query] = session.handle(msg.TimerDue(timer.timer), timer.at)
        assert isinstance(query, msg.QueryClaimant)
    answer = outcomes.Answered(0, 200, 't', b'C1')
    done = claims.ClaimantAnswer(claims.ClaimantState.DONE, answer)
    session.handle(msg.ClaimantAnswered('other', done), 1.9)
    assert session.outcome == answer
    assert not session.is_sent


def test_a_repeat_ends_as_unknown_when_its_claimant_stays_silent():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimConflict(make_row(), 1), 0.0)
    session.handle(msg.ClaimantUnreachable('other'), 2.5)
    session.handle(msg.RowRead(make_row(), 1), 2.5)
    reason = outcomes.Reason.CLAIMANT_LOST
    assert session.outcome == outcomes.OutcomeUnknown(reason)
    assert not session.is_sent


def test_a_repeat_ends_at_once_when_its_claimant_has_restarted():
    session = make_session()
    advance_to_claiming(session)
    session.handle(msg.ClaimConflict(make_row(), 1), 0.0)
    unknown = claims.ClaimantAnswer(claims.ClaimantState.UNKNOWN)
    session.handle(msg.ClaimantAnswered('other', unknown), 0.1)
    session.handle(msg.RowRead(make_row(), 1), 0.1)
    reason = outcomes.Reason.CLAIMANT_LOST
    assert session.outcome == outcomes.OutcomeUnknown(reason)


# Guards against an unknown outcome of a booking whose reply was received while
# its host was suspended.
def test_a_reply_that_a_suspended_host_has_received_is_not_lost():
    session = make_session()
    advance_to_claiming(session)
    [_, timer] = session.handle(msg.ClaimWritten(1), 0.0)
    [again] = session.handle(msg.TimerDue(timer.timer), timer.at + 1.0)
    assert again.at <= timer.at + 1.2
    session.handle(msg.Replied(200, 't', b'C1'), timer.at + 1.01)
    assert session.outcome == outcomes.Answered(0, 200, 't', b'C1')


def test_a_reply_is_lost_when_none_is_read_after_a_late_timer():
    session = make_session()
    advance_to_claiming(session)
    [_, timer] = session.handle(msg.ClaimWritten(1), 0.0)
    [again] = session.handle(msg.TimerDue(timer.timer), timer.at + 1.0)
    session.handle(msg.TimerDue(again.timer), again.at + 1.0)
    reason = outcomes.Reason.REPLY_LOST
    assert session.outcome == outcomes.OutcomeUnknown(reason)
