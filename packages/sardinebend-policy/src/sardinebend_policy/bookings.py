"""The session of a booking: claim, one send, one outcome.

The session is driven by events and answers with actions; it reads no clock
and does no I/O. Its invariants:

* `Send` is issued at most once, and only while the claim row is known to
  hold this session's nonce.
* `NotRun` is said only if `Send` wasn't issued and never will be, or the
  service refused in a way that its settings declare.
* No passage of time frees a claim that another host holds: that host may be
  paused and act later. Only its own promise (`VOID`) does.
"""

import enum
import typing

from sardinebend_policy import booking_messages as msg
from sardinebend_policy import claims
from sardinebend_policy import errors
from sardinebend_policy import outcomes


class _State(enum.Enum):
    IDLE = enum.auto()
    CONNECTING = enum.auto()
    CLAIMING = enum.auto()
    ASKING = enum.auto()
    READING = enum.auto()
    SENT = enum.auto()
    RECORDING = enum.auto()
    DONE = enum.auto()


class BookingSession:
    """Carries one booking to one typed end.

    Attributes:
        request: The request.
        outcome: What the caller was told, once it was.
        is_sent: Whether `Send` was issued.
    """

    def __init__(
        self,
        request: msg.BookingRequest,
        cfg: msg.BookingConfig,
        is_usable: typing.Callable[[str, float], bool],
    ) -> None:
        """Makes a session.

        Args:
            request: The request.
            cfg: Settings.
            is_usable: Tells whether an endpoint may get new work at a time.
        """
        self.request = request
        self.outcome: outcomes.Outcome | None = None
        self.is_sent = False
        self._cfg = cfg
        self._is_usable = is_usable
        self._endpoint_id = ''
        self._state = _State.IDLE
        self._caller_left = False
        self._connects = 0
        self._avoid: set[str] = set()
        self._insert_until = 0.0
        self._expected_version = 0
        self._claim_tried = False
        self._claim_may_stand = False
        self._was_unclear = False
        self._foreign: claims.ClaimRow | None = None
        self._pending: tuple[claims.RowState, outcomes.Answered | None] = (
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
            msg.TableDown: self._on_table_down,
            msg.ClaimantSaid: self._on_claimant_said,
            msg.ClaimantLost: self._on_claimant_lost,
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
        """Takes in an event and returns what has to be done."""
        if self._state is _State.DONE:
            return []
        return self._handlers[type(event)](event, now)

    # Before the claim: all that can fail cleanly.

    def _on_started(self, event: msg.Started, now: float) -> list[msg.Action]:
        if self._state is not _State.IDLE:
            raise errors.UnexpectedEvent('the session was started before')
        timer = msg.SetTimer(msg.Timer('deadline'), self.request.deadline)
        return [timer, *self._connect()]

    def _connect(self) -> list[msg.Action]:
        self._state = _State.CONNECTING
        self._connects += 1
        return [msg.Connect(frozenset(self._avoid))]

    def _on_connect_failed(
        self, event: msg.ConnectFailed, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return []
        self._avoid.add(event.endpoint_id)
        if self._connects >= self._cfg.max_connects:
            return self._refuse(outcomes.Reason.NO_ROUTE, 1.0)
        return self._connect()

    def _on_no_endpoint(
        self, event: msg.NoEndpoint, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return []
        return self._refuse(outcomes.Reason.NO_ROUTE, 1.0)

    def _on_connected(
        self, event: msg.Connected, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING:
            return [msg.CloseConnection()]
        self._endpoint_id = event.endpoint_id
        self._insert_until = now + self._cfg.insert_wait_s
        running = msg.SetClaimState(claims.ClaimantState.RUNNING)
        return [running, *self._write_claim()]

    # The claim.

    def _write_claim(self) -> list[msg.Action]:
        self._state = _State.CLAIMING
        self._claim_tried = True
        self._claim_may_stand = True
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
        # The process may have been paused while the write was under way, so
        # the deadline, the caller and the endpoint are looked at again right
        # before the only send.
        if now >= self.request.deadline:
            return self._refuse(outcomes.Reason.DEADLINE)
        if self._caller_left:
            return self._refuse(outcomes.Reason.CALLER_LEFT)
        if not self._is_usable(self._endpoint_id, now):
            return self._refuse(outcomes.Reason.NO_ROUTE, 1.0)
        self._state = _State.SENT
        self.is_sent = True
        reply_at = now + self._cfg.reply_wait_s
        return [msg.Send(), msg.SetTimer(msg.Timer('reply'), reply_at)]

    def _on_claim_unclear(
        self, event: msg.ClaimUnclear, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        self._was_unclear = True
        pause_at = now + self._cfg.insert_pause_s
        if pause_at >= min(self._insert_until, self.request.deadline):
            return self._refuse(
                outcomes.Reason.TABLE_UNAVAILABLE, self._cfg.table_retry_s
            )
        return [msg.SetTimer(msg.Timer('insert'), pause_at)]

    def _on_table_down(
        self, event: msg.TableDown, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        self._claim_may_stand = self._was_unclear
        return self._refuse(
            outcomes.Reason.TABLE_UNAVAILABLE, self._cfg.table_retry_s
        )

    def _on_claim_conflict(
        self, event: msg.ClaimConflict, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CLAIMING:
            return []
        return self._judge_row(event.row, event.version, now)

    def _judge_row(
        self, row: claims.ClaimRow | None, version: int, now: float
    ) -> list[msg.Action]:
        """Decides what a row that stands in the table means for this one."""
        if row is None:
            self._expected_version = 0
            return self._write_claim()
        if row['nonce'] == self.request.nonce:
            if row['state'] == claims.RowState.CLAIMED:
                return self._on_claim_written(msg.ClaimWritten(version), now)
            return self._refuse(outcomes.Reason.CLAIM_HELD)
        self._claim_may_stand = False
        if row['digest'] != self.request.digest:
            return self._refuse(outcomes.Reason.KEY_REUSED)
        if row['state'] == claims.RowState.RELEASED:
            self._expected_version = version
            return self._write_claim()
        if row['state'] == claims.RowState.DONE:
            return self._replay(row)
        if row['state'] == claims.RowState.UNKNOWN:
            return self._end_foreign(outcomes.Reason.REPLY_LOST)
        self._foreign = row
        self._expected_version = version
        return self._ask()

    # Another request holds the claim.

    def _ask(self) -> list[msg.Action]:
        if self._foreign is None:
            return []
        self._state = _State.ASKING
        row = self._foreign
        return [msg.AskClaimant(row['host'], row['incarnation'], row['nonce'])]

    def _on_claimant_said(
        self, event: msg.ClaimantSaid, now: float
    ) -> list[msg.Action]:
        if not self._is_asking(event.nonce):
            return []
        state = event.answer.state
        if state is claims.ClaimantState.RUNNING:
            ask_at = now + self._cfg.ask_interval_s
            return [msg.SetTimer(msg.Timer('ask'), ask_at)]
        if state is claims.ClaimantState.VOID:
            self._foreign = None
            return self._write_claim()
        if event.answer.answer is not None:
            return self._finish_foreign(event.answer.answer)
        return self._read_again()

    def _on_claimant_lost(
        self, event: msg.ClaimantLost, now: float
    ) -> list[msg.Action]:
        if not self._is_asking(event.nonce):
            return []
        return self._read_again()

    def _is_asking(self, nonce: str) -> bool:
        return (
            self._state is _State.ASKING
            and self._foreign is not None
            and self._foreign['nonce'] == nonce
        )

    def _read_again(self) -> list[msg.Action]:
        self._state = _State.READING
        return [msg.ReadRow()]

    def _on_row_read(self, event: msg.RowRead, now: float) -> list[msg.Action]:
        if self._state is not _State.READING:
            return []
        row = event.row
        unchanged = row is None or (
            self._foreign is not None
            and row['nonce'] == self._foreign['nonce']
            and row['state'] == claims.RowState.CLAIMED
        )
        if row is None or unchanged:
            return self._end_foreign(outcomes.Reason.CLAIMANT_LOST)
        return self._judge_row(row, event.version, now)

    def _end_foreign(self, reason: outcomes.Reason) -> list[msg.Action]:
        return self._finish_foreign(outcomes.OutcomeUnknown(reason))

    def _finish_foreign(self, outcome: outcomes.Outcome) -> list[msg.Action]:
        """Ends with an outcome that another request of this key had."""
        return [*self._void(), *self._tell(outcome), *self._finish()]

    def _replay(self, row: claims.ClaimRow) -> list[msg.Action]:
        actions = self._void()
        # The runtime may have to fetch a large body first, so it makes the
        # outcome; for the session the caller counts as told.
        self.outcome = outcomes.Answered()
        return [*actions, msg.ReplayAnswer(row), *self._finish()]

    # After the send.

    def _on_replied(self, event: msg.Replied, now: float) -> list[msg.Action]:
        if self._state is not _State.SENT:
            return []
        if event.status in self.request.refusal_statuses:
            return self._on_refusal()
        if event.status >= 500:
            return self._lose_reply(outcomes.Reason.ENDPOINT_ERROR)
        answer = outcomes.Answered(
            0, event.status, event.content_type, event.body
        )
        done = msg.SetClaimState(claims.ClaimantState.DONE, answer)
        return [
            msg.CloseConnection(),
            done,
            *self._tell(answer),
            *self._record(claims.RowState.DONE, answer),
        ]

    def _on_refusal(self) -> list[msg.Action]:
        outcome = outcomes.NotRun(outcomes.Reason.ENDPOINT_REFUSED, 1.0)
        return [
            msg.CloseConnection(),
            msg.SetClaimState(claims.ClaimantState.VOID),
            *self._tell(outcome),
            *self._record(claims.RowState.RELEASED, None),
        ]

    def _on_reply_lost(
        self, event: msg.ReplyLost, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.SENT:
            return []
        return self._lose_reply(outcomes.Reason.REPLY_LOST)

    def _lose_reply(self, reason: outcomes.Reason) -> list[msg.Action]:
        return [
            msg.CloseConnection(),
            msg.SetClaimState(claims.ClaimantState.UNKNOWN),
            *self._tell(outcomes.OutcomeUnknown(reason)),
            *self._record(claims.RowState.UNKNOWN, None),
        ]

    def _record(
        self, state: claims.RowState, answer: outcomes.Answered | None
    ) -> list[msg.Action]:
        self._state = _State.RECORDING
        self._pending = (state, answer)
        return [msg.WriteOutcome(state, answer)]

    def _on_outcome_written(
        self, event: msg.OutcomeWritten, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.RECORDING:
            return []
        state, answer = self._pending
        if answer is None:
            return self._finish()
        # The row has the answer now; this host need not keep its body.
        done = msg.SetClaimState(claims.ClaimantState.DONE)
        return [done, *self._finish()]

    def _on_outcome_not_written(
        self, event: msg.OutcomeNotWritten, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.RECORDING:
            return []
        again_at = now + self._cfg.record_pause_s
        return [msg.SetTimer(msg.Timer('record'), again_at)]

    # Timers and departures.

    def _on_timer(self, event: msg.TimerDue, now: float) -> list[msg.Action]:
        name = event.timer.name
        if name == 'insert' and self._state is _State.CLAIMING:
            return self._write_claim()
        if name == 'ask' and self._state is _State.ASKING:
            return self._ask()
        if name == 'record' and self._state is _State.RECORDING:
            return [msg.WriteOutcome(*self._pending)]
        if name == 'reply' and self._state is _State.SENT:
            return self._lose_reply(outcomes.Reason.REPLY_LOST)
        if name == 'deadline':
            return self._on_deadline()
        return []

    def _on_deadline(self) -> list[msg.Action]:
        if self._state in (_State.ASKING, _State.READING):
            return self._end_foreign(outcomes.Reason.CLAIM_HELD)
        if self.is_sent:
            # The reply is still awaited and recorded, for a later repeat.
            return self._tell(outcomes.OutcomeUnknown(outcomes.Reason.DEADLINE))
        return self._refuse(outcomes.Reason.DEADLINE)

    def _on_caller_left(
        self, event: msg.CallerLeft, now: float
    ) -> list[msg.Action]:
        self._caller_left = True
        if self._state in (_State.ASKING, _State.READING):
            return self._end_foreign(outcomes.Reason.CALLER_LEFT)
        if self.is_sent:
            return []
        return self._refuse(outcomes.Reason.CALLER_LEFT)

    def _on_host_stopping(
        self, event: msg.HostStopping, now: float
    ) -> list[msg.Action]:
        if self._state is _State.SENT:
            return self._lose_reply(outcomes.Reason.DRAINING)
        if self._state is _State.RECORDING:
            return self._finish()
        if self._state in (_State.ASKING, _State.READING):
            return self._end_foreign(outcomes.Reason.DRAINING)
        return self._refuse(outcomes.Reason.DRAINING, 1.0)

    # Ending.

    def _refuse(
        self, reason: outcomes.Reason, retry_after_s: float | None = None
    ) -> list[msg.Action]:
        """Ends a request of which nothing was sent and nothing will be."""
        release: list[msg.Action] = []
        if self._claim_may_stand:
            # The claim may stand in the table, or land there later. The
            # promise not to send is made first; then the row is let go.
            release = self._record(claims.RowState.RELEASED, None)
        voided = self._void()
        told = self._tell(outcomes.NotRun(reason, retry_after_s))
        if release:
            return [*voided, *told, *release]
        return [*voided, *told, *self._finish()]

    def _void(self) -> list[msg.Action]:
        actions: list[msg.Action] = [msg.CloseConnection()]
        if self._claim_tried:
            actions.append(msg.SetClaimState(claims.ClaimantState.VOID))
        return actions

    def _tell(self, outcome: outcomes.Outcome) -> list[msg.Action]:
        if self.outcome is not None:
            return []
        self.outcome = outcome
        return [msg.End(outcome)]

    def _finish(self) -> list[msg.Action]:
        self._state = _State.DONE
        return [msg.Done()]
