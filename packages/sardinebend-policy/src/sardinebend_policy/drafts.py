"""State machine of a draft: attempts, token order, recovery and outcome.

A draft is a request to a model whose answer is streamed token by token. When an
attempt fails, another one continues the answer after the last delivered token.

The session receives events and returns actions; it reads no clock and does
no I/O. Its invariants:

* Token n is delivered exactly once, after token n - 1, whichever attempt
  produced it.
* The outcome is `NotRun` only if certainly no endpoint ran any part of the
  request: none received it, or each that did states that it ran nothing.
* A silent attempt goes on beside a second one, the hedge, until one of them
  delivers a token or the hedge has waited for its first one for too long.
* No action follows `End`.
"""

import enum
import typing

from sardinebend_policy import attempts
from sardinebend_policy import draft_hedges
from sardinebend_policy import draft_messages as msg
from sardinebend_policy import errors
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stream_watch

NO_ROUTE_RETRY_S: typing.Final = 1.0
# Retry delay reported to the caller unless the failure determines another.
DEFAULT_RETRY_S: typing.Final = 1.0
MAX_FAILED_PREFLIGHTS: typing.Final = 10
MAX_VERSION_REFUSALS: typing.Final = 10


class _State(enum.Enum):
    IDLE = enum.auto()
    PREFLIGHT = enum.auto()
    CONNECTING = enum.auto()
    STREAMING = enum.auto()
    PROBING = enum.auto()
    NOTIFYING = enum.auto()
    BACKING_OFF = enum.auto()
    ENDED = enum.auto()


_STATES: typing.Final = {
    draft_hedges.HedgeState.PREFLIGHT: _State.PREFLIGHT,
    draft_hedges.HedgeState.CONNECTING: _State.CONNECTING,
    draft_hedges.HedgeState.STREAMING: _State.STREAMING,
    draft_hedges.HedgeState.PROBING: _State.PROBING,
}


class DraftSession:
    """Runs one draft, a streamed model answer, to its one outcome.

    Attributes:
        request: The request.
        outcome: The outcome; `None` while the draft is running.
    """

    def __init__(
        self,
        request: msg.DraftRequest,
        cfg: msg.DraftConfig,
        shared: attempts.Shared,
    ) -> None:
        if request.max_tokens < 1:
            raise errors.InvalidArgument(
                'max_tokens', request.max_tokens, '1 or more'
            )
        self.request = request
        self.outcome: outcomes.Outcome | None = None
        self._cfg = cfg
        self._shared = shared
        self._state = _State.IDLE
        self._attempts = attempts.Attempts(request, cfg.failure_domain, shared)
        self._hedge = draft_hedges.Hedge(
            request, self._attempts, cfg.first_token_s
        )
        self._has_retry = False
        self._deferred: list[msg.Event] = []
        self._crashes: tuple[quarantine.Crash, ...] = ()
        self._delivered: list[str] = []
        self._failed_preflights = 0
        self._is_probing_stall = False
        self._watch = stream_watch.StreamWatch(
            shared.gaps,
            cfg.stall_floor_s,
            cfg.stall_ceiling_s,
            cfg.first_token_s,
        )
        self._backoff_s = 0.0
        self._retry_after_s = DEFAULT_RETRY_S
        self._handlers: dict[type, typing.Callable] = {
            msg.Started: self._on_started,
            msg.Connected: self._on_connected,
            msg.ConnectFailed: self._on_connect_failed,
            msg.Refused: self._on_refused,
            msg.StageRefused: self._on_stage_refused,
            msg.Chunk: self._on_chunk,
            msg.Finished: self._on_finished,
            msg.StreamBroken: self._on_stream_broken,
            msg.Probed: self._on_probed,
            msg.CrashesReported: self._on_crashes_reported,
            msg.TimerDue: self._on_timer,
            msg.CallerLeft: self._on_caller_left,
            msg.HostStopping: self._on_host_stopping,
        }

    @property
    def attempt(self) -> int:
        """Number of the current attempt, from 1; 0 before the first."""
        return self._attempts.number

    @property
    def route(self) -> routes.PipelineRoute | None:
        """Route of the current or the last attempt."""
        return self._attempts.route

    @property
    def delivered(self) -> int:
        """Number of tokens delivered to the caller."""
        return len(self._delivered)

    def handle(self, event: msg.Event, now: float) -> list[msg.Action]:
        """Handles an event and returns the actions to perform."""
        if self._state is _State.ENDED:
            return []
        hedge = self._attempts.hedge
        if hedge and getattr(event, 'attempt', 0) == hedge.number:
            return self._on_hedge_event(event, now)
        stale = getattr(event, 'attempt', self.attempt) != self.attempt
        if stale:
            return []
        return self._handlers[type(event)](event, now)

    def add_delay(self, delay_s: float) -> None:
        """Counts a time for which the host was held up as no silence.

        Args:
            delay_s: Length of the delay in seconds, which has just ended.
        """
        self._watch.add_delay(delay_s)
        self._hedge.add_delay(delay_s)

    # Start of an attempt.

    def _on_started(self, event: msg.Started, now: float) -> list[msg.Action]:
        if self.attempt:
            raise errors.UnexpectedEvent('the session was already started')
        if self._is_quarantined(now):
            return self._end_without_answer(outcomes.Reason.QUARANTINED)
        timer = msg.SetTimer(msg.Timer('deadline'), self.request.deadline)
        return [timer, *self._start_attempt(now)]

    def _is_quarantined(self, now: float) -> bool:
        """Returns whether the request is quarantined; sets the retry time."""
        until = self._shared.quarantine.refused_until(
            self.request.fingerprint, now
        )
        if until is None:
            return False
        self._retry_after_s = until - now
        return True

    def _start_attempt(self, now: float) -> list[msg.Action]:
        if now >= self.request.deadline:
            return self._end_without_answer(outcomes.Reason.DEADLINE)
        if self._hedge.is_running:
            return self._lead_with_hedge(now)
        route = self._attempts.open(now)
        if route is None:
            self._retry_after_s = NO_ROUTE_RETRY_S
            return self._end_without_answer(outcomes.Reason.NO_ROUTE)
        if self.attempt == 1:
            self._state = _State.CONNECTING
            return [msg.Connect(self.attempt, route)]
        # When one endpoint has failed, others may have failed too without this
        # host knowing it yet. A crash after this probe may be caused by the
        # request; an endpoint that was dead at the probe wasn't killed by this
        # attempt.
        self._state = _State.PREFLIGHT
        return [msg.ProbeStages(self.attempt, route.endpoint_ids)]

    def _on_preflight_probed(
        self, event: msg.Probed, now: float
    ) -> list[msg.Action]:
        if self.route is None:
            return []
        if not event.dead:
            self._state = _State.CONNECTING
            return [msg.Connect(self.attempt, self.route)]
        dead = [item.endpoint_id for item in event.dead]
        self._attempts.mark_dead(dead, now)
        actions = self._close_attempt()
        self._failed_preflights += 1
        if self._failed_preflights >= MAX_FAILED_PREFLIGHTS:
            return [
                *actions,
                *self._end_without_answer(outcomes.Reason.NO_ROUTE),
            ]
        # Nothing was sent, so this doesn't count as an attempt.
        self._attempts.reuse_number()
        return [*actions, *self._start_attempt(now)]

    def _on_connected(
        self, event: msg.Connected, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING or self.route is None:
            return []
        # The process may have been suspended since the connection was opened,
        # so the deadline and the endpoints are checked again before the send.
        if now >= self.request.deadline:
            return self._end_without_answer(outcomes.Reason.DEADLINE)
        if not self._attempts.is_usable(now):
            return self._fail_attempt(now)
        self._state = _State.STREAMING
        self._is_probing_stall = False
        self._attempts.may_have_run.add(self.attempt)
        order = msg.SendOrder(
            self.attempt,
            self.route,
            len(self._delivered),
            tuple(self._delivered),
            self.request.deadline,
        )
        check_at = self._watch.begin(now)
        return [order, msg.SetTimer(msg.Timer('stall'), check_at)]

    def _on_connect_failed(
        self, event: msg.ConnectFailed, now: float
    ) -> list[msg.Action]:
        self._attempts.mark_dead([event.endpoint_id], now)
        return [
            *self._close_attempt(),
            *self._retry(outcomes.Reason.NO_ROUTE, now),
        ]

    def _on_refused(self, event: msg.Refused, now: float) -> list[msg.Action]:
        self._attempts.may_have_run.discard(self.attempt)
        self._attempts.avoid(event.endpoint_id)
        self._retry_after_s = event.retry_after_s
        return [
            *self._close_attempt(),
            *self._retry(outcomes.Reason.ENDPOINT_REFUSED, now),
        ]

    def _on_stage_refused(
        self, event: msg.StageRefused, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        if not event.may_have_run:
            self._attempts.may_have_run.discard(self.attempt)
        actions = self._close_attempt()
        self._attempts.record_version_refusal(event.endpoint_id)
        if self._attempts.version_refusals >= MAX_VERSION_REFUSALS:
            return [
                *actions,
                *self._end_without_answer(outcomes.Reason.ENDPOINT_REFUSED),
            ]
        # The engine doesn't hold the model version of the route, for example
        # because the settings name a version that it hasn't loaded yet. Nothing
        # has failed, so this counts neither against the limit of attempts nor
        # against the retry budget.
        return [*actions, *self._start_attempt(now)]

    # Tokens from the stream.

    def _on_chunk(self, event: msg.Chunk, now: float) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        expected = len(self._delivered)
        if event.token_index < expected:
            return []
        if event.token_index > expected:
            return self._fail_attempt(now)
        if expected == self.request.max_tokens:
            # The engine generates more tokens than were requested; the answer
            # is complete without them.
            return self._answer(now)
        self._delivered.append(event.text)
        self._is_probing_stall = False
        check_at = self._watch.on_token(now)
        return [
            *self._drop_hedge(),
            msg.Deliver(event.token_index, event.text),
            msg.SetTimer(msg.Timer('stall'), check_at),
        ]

    def _on_finished(self, event: msg.Finished, now: float) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        if event.token_count != len(self._delivered):
            return self._fail_attempt(now)
        return self._answer(now, must_cancel=False)

    def _answer(self, now: float, must_cancel: bool = True) -> list[msg.Action]:
        if self.attempt == 1:
            budget = self._shared.budgets.get(self.request.customer)
            budget.record_success(now)
        self._shared.quarantine.clear(self.request.fingerprint, now)
        outcome = outcomes.Answered(tokens=len(self._delivered))
        return self._end(outcome, must_cancel)

    # Recovery after a failure.

    def _on_stream_broken(
        self, event: msg.StreamBroken, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        self._state = _State.PROBING
        return [msg.CloseAttempt(self.attempt), *self._probe()]

    def _probe(self) -> list[msg.Action]:
        if self.route is None:
            return []
        return [msg.ProbeStages(self.attempt, self.route.endpoint_ids)]

    def _on_probed(self, event: msg.Probed, now: float) -> list[msg.Action]:
        if self._state is _State.PREFLIGHT:
            return self._on_preflight_probed(event, now)
        if self._state not in (_State.STREAMING, _State.PROBING):
            return []
        crashed = [item for item in event.dead if item.crashed]
        dead = [item.endpoint_id for item in event.dead]
        if self._state is _State.STREAMING and not crashed:
            return self._on_silence_probed(dead, now)
        # If no endpoint is dead, only the connection failed, and no endpoint
        # is marked unhealthy.
        self._attempts.mark_dead(dead, now)
        if not crashed:
            return self._fail_attempt(now)
        # One attempt counts as one crash, however many of its stages crashed:
        # stages that crash at once are one piece of evidence against this
        # request, not several.
        crash = self._attempts.record_crash(crashed[0], now)
        self._crashes += (crash,)
        actions = self._close_attempt()
        # Also where the request is quarantined now: its caller may send it
        # again to any peer as soon as it has the answer.
        self._state = _State.NOTIFYING
        notify_until = now + self._cfg.suspicion_wait_s
        return [
            *actions,
            # All of them: a peer may have missed an earlier report.
            msg.ReportCrashes(self.attempt, self._crashes),
            msg.SetTimer(msg.Timer('notify'), notify_until),
        ]

    def _on_silence_probed(
        self, silent: list[str], now: float
    ) -> list[msg.Action]:
        """Handles probes of a silent stream that show no crash."""
        if not self._is_probing_stall:
            # A token arrived while the stages were being probed, so the
            # stream isn't stalled.
            return []
        self._attempts.mark_silent(silent, now)
        if silent:
            check_at = self._watch.on_probes_unanswered(now)
        else:
            check_at = self._watch.on_probes_answered(now)
        if check_at is None or check_at >= self.request.deadline:
            return self._begin_hedge(now)
        return [msg.SetTimer(msg.Timer('stall'), check_at)]

    def _on_crashes_reported(
        self, event: msg.CrashesReported, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.NOTIFYING:
            return []
        return self._continue_after_crash(now)

    def _continue_after_crash(self, now: float) -> list[msg.Action]:
        if self._is_quarantined(now):
            return self._end_without_answer(outcomes.Reason.QUARANTINED)
        return self._retry(outcomes.Reason.ENDPOINT_ERROR, now)

    def _fail_attempt(self, now: float) -> list[msg.Action]:
        return [
            *self._close_attempt(),
            *self._retry(outcomes.Reason.ENDPOINT_ERROR, now),
        ]

    def _retry(self, reason: outcomes.Reason, now: float) -> list[msg.Action]:
        if len(self._delivered) == self.request.max_tokens:
            # All requested tokens were delivered; only the final marker is
            # missing, so the answer is complete.
            return self._answer(now)
        if self._hedge.is_running:
            return self._lead_with_hedge(now)
        if self._attempts.counted_attempts >= self._cfg.max_attempts:
            return self._end_without_answer(reason)
        if self._is_quarantined(now):
            return self._end_without_answer(outcomes.Reason.QUARANTINED)
        if not self._take_retry(now):
            return self._end_without_answer(outcomes.Reason.RETRY_BUDGET)
        self._has_retry = False
        if self._attempts.counted_attempts <= 1:
            # The first retry has no backoff, because any delay here lengthens
            # every recovery; the retry budget bounds the number of such
            # retries.
            return self._start_attempt(now)
        self._state = _State.BACKING_OFF
        self._backoff_s = retries.next_backoff_s(
            self._backoff_s,
            self._cfg.backoff_base_s,
            self._cfg.backoff_cap_s,
            self._shared.rng,
        )
        return [msg.SetTimer(msg.Timer('retry'), now + self._backoff_s)]

    def _on_timer(self, event: msg.TimerDue, now: float) -> list[msg.Action]:
        name = event.timer.name
        if name == 'deadline':
            return self._end_without_answer(outcomes.Reason.DEADLINE)
        if self._hedge.is_running and self._state is _State.STREAMING:
            is_due = name == 'hedge' and self._hedge.is_overdue(now)
            return self._lead_with_hedge(now) if is_due else []
        if name == 'stall' and self._state is _State.STREAMING:
            if self._is_probing_stall and self._watch.is_over(now):
                return self._begin_hedge(now)
            self._is_probing_stall = True
            self._watch.on_probe(now)
            return self._probe()
        if name == 'notify' and self._state is _State.NOTIFYING:
            return self._continue_after_crash(now)
        if name == 'retry' and self._state is _State.BACKING_OFF:
            return self._start_attempt(now)
        return []

    # A second attempt beside a silent one.

    def _begin_hedge(self, now: float) -> list[msg.Action]:
        """Begins a hedge if there may be one; otherwise waits."""
        if len(self._delivered) == self.request.max_tokens:
            return self._answer(now)
        if self._hedge.is_running:
            return []
        route = None
        if self._attempts.counted_attempts < self._cfg.max_attempts:
            route = self._attempts.find_route(now)
        if (
            route is None
            or self._is_quarantined(now)
            or not self._take_retry(now)
        ):
            check_at = self._watch.wait_on(now)
            return [msg.SetTimer(msg.Timer('stall'), check_at)]
        return self._hedge.begin(route)

    def _take_retry(self, now: float) -> bool:
        """Takes a retry unless one was taken for a hedge that wasn't sent."""
        budget = self._shared.budgets.get(self.request.customer)
        self._has_retry = self._has_retry or budget.try_spend(now)
        return self._has_retry

    def _on_hedge_event(self, event: msg.Event, now: float) -> list[msg.Action]:
        if self._state in (_State.PROBING, _State.NOTIFYING):
            # Evidence of a crash of the first attempt comes before anything
            # else: the request may have caused it.
            self._deferred.append(event)
            return []
        step = self._hedge.handle(event, self._delivered, now)
        if step.verdict is draft_hedges.Verdict.GOES_ON:
            return step.actions
        if step.verdict is draft_hedges.Verdict.LEADS:
            return [*self._lead_with_hedge(now), *self.handle(event, now)]
        if step.verdict is draft_hedges.Verdict.ENDED_UNSENT:
            return [*step.actions, *self._begin_hedge(now)]
        self._has_retry = False
        actions = step.actions
        if isinstance(event, msg.Refused):
            self._retry_after_s = event.retry_after_s
        check_at = self._watch.wait_on(now)
        if step.crash is not None:
            self._crashes += (step.crash,)
            report = msg.ReportCrashes(self.attempt, self._crashes)
            actions = [*actions, report]
            check_at = max(check_at, now + self._cfg.suspicion_wait_s)
        return [*actions, msg.SetTimer(msg.Timer('stall'), check_at)]

    def _lead_with_hedge(self, now: float) -> list[msg.Action]:
        """Ends the current attempt; the hedge takes its place."""
        actions = self._close_attempt()
        self._has_retry = False
        self._is_probing_stall = False
        self._state = _STATES[self._hedge.promote()]
        if self._state is _State.STREAMING:
            check_at = self._watch.begin(self._hedge.sent_at)
            actions.append(msg.SetTimer(msg.Timer('stall'), check_at))
        deferred, self._deferred = self._deferred, []
        for event in deferred:
            actions += self.handle(event, now)
        return actions

    def _drop_hedge(self) -> list[msg.Action]:
        if self._hedge.is_sent:
            self._has_retry = False
        self._deferred.clear()
        return self._hedge.drop()

    # End of the session.

    def _on_caller_left(
        self, event: msg.CallerLeft, now: float
    ) -> list[msg.Action]:
        return self._end_without_answer(outcomes.Reason.CALLER_LEFT)

    def _on_host_stopping(
        self, event: msg.HostStopping, now: float
    ) -> list[msg.Action]:
        return self._end_without_answer(outcomes.Reason.DRAINING)

    def _end_without_answer(self, reason: outcomes.Reason) -> list[msg.Action]:
        no_retry = reason in (
            outcomes.Reason.CALLER_LEFT,
            outcomes.Reason.DEADLINE,
        )
        retry_after_s = None if no_retry else self._retry_after_s
        outcome: outcomes.Outcome
        if self._attempts.may_have_run or self._delivered:
            outcome = outcomes.Incomplete(
                reason, len(self._delivered), retry_after_s
            )
        else:
            outcome = outcomes.NotRun(reason, retry_after_s)
        return self._end(outcome)

    def _close_attempt(self, must_cancel: bool = True) -> list[msg.Action]:
        """Closes the current attempt unless it is closed already.

        Args:
            must_cancel: Whether to cancel an attempt whose order may have
                reached an endpoint; false if its engines have finished.
        """
        if not self._attempts.close() or self.route is None:
            return []
        actions: list[msg.Action] = [msg.CloseAttempt(self.attempt)]
        if must_cancel and self.attempt in self._attempts.may_have_run:
            cancel = msg.CancelAttempt(
                self.attempt, self.route.endpoint_ids, self.request.deadline
            )
            actions.append(cancel)
        self._state = _State.IDLE
        return actions

    def _end(
        self, outcome: outcomes.Outcome, must_cancel: bool = True
    ) -> list[msg.Action]:
        actions = self._drop_hedge()
        actions += self._close_attempt(must_cancel)
        self._state = _State.ENDED
        self.outcome = outcome
        return [*actions, msg.End(outcome)]
