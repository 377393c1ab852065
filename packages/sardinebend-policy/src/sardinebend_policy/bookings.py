"""State machine of a booking: one claim, at most one send, one outcome.

A booking is a request to a plain service that must not run more than once. A
row in the table, the claim, says which host may send it.

The session receives events and returns actions; it reads no clock and does
no I/O. Its invariants:

* `Send` is issued at most once, and only while the claim row is known to
  hold this session's nonce.
* The outcome is `NotRun` only if `Send` wasn't issued and never will be, or
  the service answered with a status that its settings declare as a refusal.
* A claim that another host holds never expires, because that host may be
  suspended and send later. Only that host can give the claim up: it answers
  `VOID` to a query, a promise that nothing ran and nothing will, or writes
  `RELEASED` into the row.
"""

import enum
import typing

from sardinebend_policy import booking_messages as msg
from sardinebend_policy import claims
from sardinebend_policy import errors
from sardinebend_policy import outcomes

# A sound host may be silent for a second or so and then go on.
CLAIMANT_SILENCE_S: typing.Final = 2.0
# A timer that is later than this shows that the process was suspended. It then
# has as long to read a reply that was received meanwhile.
LATE_TIMER_S: typing.Final = 0.1


class _State(enum.Enum):
    IDLE = enum.auto()
    CONNECTING = enum.auto()
    CLAIMING = enum.auto()
    QUERYING = enum.auto()
    REREADING = enum.auto()
    SENT = enum.auto()
    RECORDING = enum.auto()
    DONE = enum.auto()


class BookingSession:
    """Runs one booking, a request to run at most once, to its one outcome.

    Attributes:
        request: The request.
        outcome: The outcome reported to the caller; `None` before that. An
            empty `Answered` after `ReplayAnswer`, as a placeholder.
        is_sent: Whether `Send` was issued.
    """

    def __init__(
        self,
        request: msg.BookingRequest,
        cfg: msg.BookingConfig,
        is_usable: typing.Callable[[str, float], bool],
    ) -> None:
        """Creates a session.

        Args:
            request: The request.
            cfg: Settings.
            is_usable: Returns whether an endpoint may receive new work at a
                given time.
        """
        self.request = request
        self.outcome: outcomes.Outcome | None = None
        self.is_sent = False
        self._cfg = cfg
        self._is_usable = is_usable
        self._endpoint_id = ''
        self._state = _State.IDLE
        self._caller_left = False
        self._connect_attempts = 0
        self._avoid: set[str] = set()
        self._claim_until = 0.0
        self._expected_version = 0
        self._claim_attempted = False
        self._claim_may_exist = False
        self._had_unclear_write = False
        self._other_claim: claims.ClaimRow | None = None
        self._claimant_heard_at = 0.0
        self._reply_until = 0.0
        self._is_claimant_silent = False
        self._pending_outcome: tuple[
            claims.RowState, outcomes.Answered | None
        ] = (
            claims.RowState.UNKNOWN,
            None,
        )
        self._handlers: dict[type, typing.Callable] = {
            msg.Started: self._on_started,
            msg.Connected: self._on_connected,
            msg.ConnectFailed: self._on_connect_failed,
            msg.NoEndpoint: self._on_no_endpoint,
            msg.ClaimWritten: self._on_claim_written,
            msg.ClaimConflict: self._on_claim_conflict,
            msg.ClaimUnclear: self._on_claim_unclear,
            msg.TableUnavailable: self._on_table_unavailable,
            msg.ClaimantAnswered: self._on_claimant_answered,
            msg.ClaimantUnreachable: self._on_claimant_unreachable,
            msg.RowRead: self._on_row_read,
            msg.Replied: self._on_replied,
            msg.ReplyLost: self._on_reply_lost,
            msg.OutcomeWritten: self._on_outcome_written,
            msg.OutcomeNotWritten: self._on_outcome_not_written,
            msg.CallerLeft: self._on_caller_left,
            msg.HostStopping: self._on_host_stopping,
            msg.TimerDue: self._on_timer,
        }

    def handle(self, event: msg.Event, now: float) -> list[msg.Action]:
        """Handles an event and returns the actions to perform."""
        if self._state is _State.DONE:
            return []
        return self._handlers[type(event)](event, now)

    def add_delay(self, delay_s: float) -> None:
        """Counts a time for which the host was held up as no silence.

        Args:
            delay_s: Length of the delay in seconds, which has just ended.
        """
        self._reply_until += delay_s
        self._claimant_heard_at += delay_s

    # Before the claim: a failure here leaves no claim, and nothing has been
    # sent to the service.

    def _on_started(self, event: msg.Started, now: float) -> list[msg.Action]:
        if self._state is not _State.IDLE:
            raise errors.UnexpectedEvent('the session was already started')
        timer = msg.SetTimer(msg.Timer('deadline'), self.request.deadline)
        return [timer, *self._connect()]

    def _connect(self) -> list[msg.Action]:
        self._state = _State.CONNECTING
        self._connect_attempts += 1
        return [msg.Connect(frozenset(self._avoid))]

    def _on_connect_failed(
        self, event: msg.ConnectFailed, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return []
        self._avoid.add(event.endpoint_id)
        if self._connect_attempts >= self._cfg.max_connects:
            return self._end_not_run(outcomes.Reason.NO_ROUTE, 1.0)
        return self._connect()

    def _on_no_endpoint(
        self, event: msg.NoEndpoint, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return []
        return self._end_not_run(outcomes.Reason.NO_ROUTE, 1.0)

    def _on_connected(
        self, event: msg.Connected, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return [msg.CloseConnection()]
        self._endpoint_id = event.endpoint_id
        self._claim_until = now + self._cfg.insert_wait_s
        set_running = msg.SetClaimState(claims.ClaimantState.RUNNING)
        return [set_running, *self._write_claim()]

    # The claim.

    def _write_claim(self) -> list[msg.Action]:
        self._state = _State.CLAIMING
        self._claim_attempted = True
        self._claim_may_exist = True
        row: claims.ClaimRow = {
            'host': self._cfg.host,
            'incarnation': self._cfg.incarnation,
            'nonce': self.request.nonce,
            'digest': self.request.digest,
            'state': claims.RowState.CLAIMED,
        }
        return [msg.WriteClaim(row, self._expected_version)]

    def _on_claim_written(
        self, event: msg.ClaimWritten, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        # The process may have been suspended during the write, so the
        # deadline, the caller and the endpoint are checked again immediately
        # before the only send.
        if now >= self.request.deadline:
            return self._end_not_run(outcomes.Reason.DEADLINE)
        if self._caller_left:
            return self._end_not_run(outcomes.Reason.CALLER_LEFT)
        if not self._is_usable(self._endpoint_id, now):
            return self._end_not_run(outcomes.Reason.NO_ROUTE, 1.0)
        self._state = _State.SENT
        self.is_sent = True
        self._reply_until = now + self._cfg.reply_wait_s
        timer = msg.SetTimer(msg.Timer('reply'), self._reply_until)
        return [msg.Send(), timer]

    def _on_claim_unclear(
        self, event: msg.ClaimUnclear, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        self._had_unclear_write = True
        retry_at = now + self._cfg.insert_pause_s
        if retry_at >= min(self._claim_until, self.request.deadline):
            return self._end_not_run(
                outcomes.Reason.TABLE_UNAVAILABLE, self._cfg.table_retry_s
            )
        return [msg.SetTimer(msg.Timer('insert'), retry_at)]

    def _on_table_unavailable(
        self, event: msg.TableUnavailable, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        self._claim_may_exist = self._had_unclear_write
        return self._end_not_run(
            outcomes.Reason.TABLE_UNAVAILABLE, self._cfg.table_retry_s
        )

    def _on_claim_conflict(
        self, event: msg.ClaimConflict, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        return self._handle_existing_row(event.row, event.version, now)

    def _handle_existing_row(
        self, row: claims.ClaimRow | None, version: int, now: float
    ) -> list[msg.Action]:
        """Continues according to the row that the table holds for this key."""
        if row is None:
            self._expected_version = 0
            return self._write_claim()
        if row['nonce'] == self.request.nonce:
            if row['state'] == claims.RowState.CLAIMED:
                return self._on_claim_written(msg.ClaimWritten(version), now)
            return self._end_not_run(outcomes.Reason.CLAIM_HELD)
        self._claim_may_exist = False
        if row['digest'] != self.request.digest:
            return self._end_not_run(outcomes.Reason.KEY_REUSED)
        if row['state'] == claims.RowState.RELEASED:
            self._expected_version = version
            return self._write_claim()
        if row['state'] == claims.RowState.DONE:
            return self._replay_answer(row)
        if row['state'] == claims.RowState.UNKNOWN:
            return self._end_with_unknown_outcome(outcomes.Reason.REPLY_LOST)
        self._other_claim = row
        self._expected_version = version
        self._claimant_heard_at = now
        return self._query_claimant()

    # The claim is held by another request.

    def _query_claimant(self) -> list[msg.Action]:
        if self._other_claim is None:
            return []
        self._state = _State.QUERYING
        row = self._other_claim
        return [
            msg.QueryClaimant(row['host'], row['incarnation'], row['nonce'])
        ]

    def _on_claimant_answered(
        self, event: msg.ClaimantAnswered, now: float
    ) -> list[msg.Action]:
        if not self._is_querying(event.nonce):
            return []
        state = event.answer.state
        self._claimant_heard_at = now
        self._is_claimant_silent = False
        if state is claims.ClaimantState.RUNNING:
            query_at = now + self._cfg.ask_interval_s
            return [msg.SetTimer(msg.Timer('ask'), query_at)]
        if state is claims.ClaimantState.VOID:
            self._other_claim = None
            return self._write_claim()
        if event.answer.answer is not None:
            return self._end_without_sending(event.answer.answer)
        return self._reread_row()

    def _on_claimant_unreachable(
        self, event: msg.ClaimantUnreachable, now: float
    ) -> list[msg.Action]:
        if not self._is_querying(event.nonce):
            return []
        self._is_claimant_silent = True
        return self._reread_row()

    def _is_querying(self, nonce: str) -> bool:
        return (
            self._state is _State.QUERYING
            and self._other_claim is not None
            and self._other_claim['nonce'] == nonce
        )

    def _reread_row(self) -> list[msg.Action]:
        self._state = _State.REREADING
        return [msg.ReadRow()]

    def _on_row_read(self, event: msg.RowRead, now: float) -> list[msg.Action]:
        if self._state is not _State.REREADING:
            return []
        row = event.row
        is_unresolved = row is None or (
            self._other_claim is not None
            and row['nonce'] == self._other_claim['nonce']
            and row['state'] == claims.RowState.CLAIMED
        )
        waited_s = now - self._claimant_heard_at
        if (
            row is not None
            and is_unresolved
            and self._is_claimant_silent
            and waited_s < CLAIMANT_SILENCE_S
        ):
            self._state = _State.QUERYING
            query_at = now + self._cfg.ask_interval_s
            return [msg.SetTimer(msg.Timer('ask'), query_at)]
        if row is None or is_unresolved:
            return self._end_with_unknown_outcome(outcomes.Reason.CLAIMANT_LOST)
        return self._handle_existing_row(row, event.version, now)

    def _end_with_unknown_outcome(
        self, reason: outcomes.Reason
    ) -> list[msg.Action]:
        """Ends as unknown a request that this session never sent.

        Another request for the same key may have run.
        """
        return self._end_without_sending(outcomes.OutcomeUnknown(reason))

    def _end_without_sending(
        self, outcome: outcomes.Outcome
    ) -> list[msg.Action]:
        """Ends without a send.

        The outcome is that of another request for the same key.
        """
        return [
            *self._close_and_void(),
            *self._report_outcome(outcome),
            *self._finish(),
        ]

    def _replay_answer(self, row: claims.ClaimRow) -> list[msg.Action]:
        actions = self._close_and_void()
        # The runtime builds the outcome, because it may have to fetch a large
        # body first, and reports it. The placeholder keeps this session from
        # issuing `End` as well.
        self.outcome = outcomes.Answered()
        return [*actions, msg.ReplayAnswer(row), *self._finish()]

    # After the send.

    def _on_replied(self, event: msg.Replied, now: float) -> list[msg.Action]:
        if self._state is not _State.SENT:
            return []
        if event.status in self.request.refusal_statuses:
            return self._end_refused()
        if event.status >= 500:
            return self._end_sent_as_unknown(outcomes.Reason.ENDPOINT_ERROR)
        answer = outcomes.Answered(
            0, event.status, event.content_type, event.body
        )
        set_done = msg.SetClaimState(claims.ClaimantState.DONE, answer)
        return [
            msg.CloseConnection(),
            set_done,
            *self._report_outcome(answer),
            *self._record_outcome(claims.RowState.DONE, answer),
        ]

    def _end_refused(self) -> list[msg.Action]:
        outcome = outcomes.NotRun(outcomes.Reason.ENDPOINT_REFUSED, 1.0)
        return [
            msg.CloseConnection(),
            msg.SetClaimState(claims.ClaimantState.VOID),
            *self._report_outcome(outcome),
            *self._record_outcome(claims.RowState.RELEASED, None),
        ]

    def _on_reply_lost(
        self, event: msg.ReplyLost, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.SENT:
            return []
        return self._end_sent_as_unknown(outcomes.Reason.REPLY_LOST)

    def _end_sent_as_unknown(self, reason: outcomes.Reason) -> list[msg.Action]:
        """Ends as unknown a request that was sent.

        Either no reply was received or its status was 500 or more.
        """
        return [
            msg.CloseConnection(),
            msg.SetClaimState(claims.ClaimantState.UNKNOWN),
            *self._report_outcome(outcomes.OutcomeUnknown(reason)),
            *self._record_outcome(claims.RowState.UNKNOWN, None),
        ]

    def _record_outcome(
        self, state: claims.RowState, answer: outcomes.Answered | None
    ) -> list[msg.Action]:
        self._state = _State.RECORDING
        self._pending_outcome = (state, answer)
        return [msg.WriteOutcome(state, answer)]

    def _on_outcome_written(
        self, event: msg.OutcomeWritten, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.RECORDING:
            return []
        state, answer = self._pending_outcome
        if answer is None:
            return self._finish()
        # The row now holds the answer, so this host can drop its body.
        set_done = msg.SetClaimState(claims.ClaimantState.DONE)
        return [set_done, *self._finish()]

    def _on_outcome_not_written(
        self, event: msg.OutcomeNotWritten, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.RECORDING:
            return []
        retry_at = now + self._cfg.record_pause_s
        return [msg.SetTimer(msg.Timer('record'), retry_at)]

    # Timers, caller and host.

    def _on_timer(self, event: msg.TimerDue, now: float) -> list[msg.Action]:
        name = event.timer.name
        if name == 'insert' and self._state is _State.CLAIMING:
            return self._write_claim()
        if name == 'ask' and self._state is _State.QUERYING:
            return self._query_claimant()
        if name == 'record' and self._state is _State.RECORDING:
            return [msg.WriteOutcome(*self._pending_outcome)]
        if name == 'reply' and self._state is _State.SENT:
            return self._on_reply_timer(now)
        if name == 'deadline':
            return self._on_deadline()
        return []

    def _on_reply_timer(self, now: float) -> list[msg.Action]:
        if now - self._reply_until > LATE_TIMER_S:
            # Only once, as a process without enough time is always late.
            self._reply_until = float('inf')
            grace_until = now + LATE_TIMER_S
            return [msg.SetTimer(msg.Timer('reply'), grace_until)]
        return self._end_sent_as_unknown(outcomes.Reason.REPLY_LOST)

    def _on_deadline(self) -> list[msg.Action]:
        if self._state in (_State.QUERYING, _State.REREADING):
            return self._end_with_unknown_outcome(outcomes.Reason.CLAIM_HELD)
        if self.is_sent:
            # The session still waits for the reply and records it, so that a
            # later repeat of the request gets it.
            return self._report_outcome(
                outcomes.OutcomeUnknown(outcomes.Reason.DEADLINE)
            )
        return self._end_not_run(outcomes.Reason.DEADLINE)

    def _on_caller_left(
        self, event: msg.CallerLeft, now: float
    ) -> list[msg.Action]:
        self._caller_left = True
        if self._state in (_State.QUERYING, _State.REREADING):
            return self._end_with_unknown_outcome(outcomes.Reason.CALLER_LEFT)
        if self.is_sent:
            return []
        return self._end_not_run(outcomes.Reason.CALLER_LEFT)

    def _on_host_stopping(
        self, event: msg.HostStopping, now: float
    ) -> list[msg.Action]:
        if self._state is _State.SENT:
            return self._end_sent_as_unknown(outcomes.Reason.DRAINING)
        if self._state is _State.RECORDING:
            return self._finish()
        if self._state in (_State.QUERYING, _State.REREADING):
            return self._end_with_unknown_outcome(outcomes.Reason.DRAINING)
        return self._end_not_run(outcomes.Reason.DRAINING, 1.0)

    # End of the session.

    def _end_not_run(
        self, reason: outcomes.Reason, retry_after_s: float | None = None
    ) -> list[msg.Action]:
        """Ends a request that wasn't sent and never will be."""
        record_actions: list[msg.Action] = []
        if self._claim_may_exist:
            # The claim may be in the table, or a delayed write may still put
            # it there. The promise not to send is made before the row is
            # released.
            record_actions = self._record_outcome(
                claims.RowState.RELEASED, None
            )
        void_actions = self._close_and_void()
        report_actions = self._report_outcome(
            outcomes.NotRun(reason, retry_after_s)
        )
        if record_actions:
            return [*void_actions, *report_actions, *record_actions]
        return [*void_actions, *report_actions, *self._finish()]

    def _close_and_void(self) -> list[msg.Action]:
        """Closes the connection; voids the claim if one was attempted."""
        actions: list[msg.Action] = [msg.CloseConnection()]
        if self._claim_attempted:
            actions.append(msg.SetClaimState(claims.ClaimantState.VOID))
        return actions

    def _report_outcome(self, outcome: outcomes.Outcome) -> list[msg.Action]:
        if self.outcome is not None:
            return []
        self.outcome = outcome
        return [msg.End(outcome)]

    def _finish(self) -> list[msg.Action]:
        self._state = _State.DONE
        return [msg.Done()]
