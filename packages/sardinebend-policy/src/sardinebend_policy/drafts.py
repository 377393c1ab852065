"""The session of a draft: attempts, order of tokens, recovery, typed ends.

The session is driven by events and answers with actions; it reads no clock
and does no I/O. Its invariants:

* Token n is delivered once, after token n - 1, whatever attempt it is from.
* `NotRun` is said only if no attempt's order can have reached an endpoint.
* Nothing follows `End`.
"""

import enum
import typing

from sardinebend_policy import attempts
from sardinebend_policy import draft_messages as msg
from sardinebend_policy import errors
from sardinebend_policy import outcomes
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stream_watch

NO_ROUTE_RETRY_S: typing.Final = 1.0
BUSY_RETRY_S: typing.Final = 1.0
MAX_VETTED: typing.Final = 10
MAX_REFUSALS: typing.Final = 10


class _State(enum.Enum):
    IDLE = enum.auto()
    VETTING = enum.auto()
    CONNECTING = enum.auto()
    STREAMING = enum.auto()
    PROBING = enum.auto()
    TELLING = enum.auto()
    PAUSING = enum.auto()
    ENDED = enum.auto()


class DraftSession:
    """Carries one draft to one typed end.

    Attributes:
        request: The request.
        outcome: The end, once there is one.
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
        self._delivered: list[str] = []
        self._vetted = 0
        self._is_checking = False
        self._watch = stream_watch.StreamWatch(
            shared.gaps,
            cfg.stall_floor_s,
            cfg.stall_ceiling_s,
            cfg.first_token_s,
        )
        self._pause_s = 0.0
        self._retry_after_s = BUSY_RETRY_S
        self._handlers: dict[type, typing.Callable] = {
            msg.Started: self._on_started,
            msg.Connected: self._on_connected,
            msg.ConnectFailed: self._on_connect_failed,
            msg.Refused: self._on_refused,
            msg.StageRefused: self._on_stage_refused,
            msg.Chunk: self._on_chunk,
            msg.Finished: self._on_finished,
            msg.Broken: self._on_broken,
            msg.Probed: self._on_probed,
            msg.PeersTold: self._on_peers_told,
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
        """Number of tokens given to the caller."""
        return len(self._delivered)

    def handle(self, event: msg.Event, now: float) -> list[msg.Action]:
        """Takes in an event and returns what has to be done."""
        if self._state is _State.ENDED:
            return []
        stale = getattr(event, 'attempt', self.attempt) != self.attempt
        if stale:
            return []
        return self._handlers[type(event)](event, now)

    # Starting an attempt.

    def _on_started(self, event: msg.Started, now: float) -> list[msg.Action]:
        if self.attempt:
            raise errors.UnexpectedEvent('the session was started before')
        if self._is_quarantined(now):
            return self._give_up(outcomes.Reason.QUARANTINED)
        timer = msg.SetTimer(msg.Timer('deadline'), self.request.deadline)
        return [timer, *self._start_attempt(now)]

    def _is_quarantined(self, now: float) -> bool:
        """Tells whether the request is refused, and notes until when."""
        until = self._shared.quarantine.refused_until(
            self.request.fingerprint, now
        )
        if until is None:
            return False
        self._retry_after_s = until - now
        return True

    def _start_attempt(self, now: float) -> list[msg.Action]:
        if now >= self.request.deadline:
            return self._give_up(outcomes.Reason.DEADLINE)
        route = self._attempts.open(now)
        if route is None:
            self._retry_after_s = NO_ROUTE_RETRY_S
            return self._give_up(outcomes.Reason.NO_ROUTE)
        if self.attempt == 1:
            self._state = _State.CONNECTING
            return [msg.Connect(self.attempt, route)]
        # Where one endpoint died others may have, and this host may not know
        # yet. A death after this probe is evidence against the request; one
        # before it is none.
        self._state = _State.VETTING
        return [msg.ProbeStages(self.attempt, route.endpoint_ids)]

    def _on_vetted(self, event: msg.Probed, now: float) -> list[msg.Action]:
        if self.route is None:
            return []
        if not event.dead:
            self._state = _State.CONNECTING
            return [msg.Connect(self.attempt, self.route)]
        dead = [item.endpoint_id for item in event.dead]
        self._attempts.mark_dead(dead, now)
        actions = self._leave_attempt()
        self._vetted += 1
        if self._vetted >= MAX_VETTED:
            return [*actions, *self._give_up(outcomes.Reason.NO_ROUTE)]
        # Nothing was sent: this counts as no attempt.
        self._attempts.take_back()
        return [*actions, *self._start_attempt(now)]

    def _on_connected(
        self, event: msg.Connected, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.CONNECTING or self.route is None:
            return []
        # The process may have been paused since the connection was opened.
        if now >= self.request.deadline:
            return self._give_up(outcomes.Reason.DEADLINE)
        if not self._attempts.is_usable(now):
            return self._fail_attempt(now)
        self._state = _State.STREAMING
        self._attempts.may_have_run.add(self.attempt)
        order = msg.SendOrder(
            self.attempt,
            self.route,
            len(self._delivered),
            tuple(self._delivered),
            self.request.deadline,
        )
        look_at = self._watch.begin(now)
        return [order, msg.SetTimer(msg.Timer('stall'), look_at)]

    def _on_connect_failed(
        self, event: msg.ConnectFailed, now: float
    ) -> list[msg.Action]:
        self._attempts.mark_dead([event.endpoint_id], now)
        return [
            *self._leave_attempt(),
            *self._retry(outcomes.Reason.NO_ROUTE, now),
        ]

    def _on_refused(self, event: msg.Refused, now: float) -> list[msg.Action]:
        self._attempts.may_have_run.discard(self.attempt)
        self._attempts.avoid(event.endpoint_id)
        self._retry_after_s = event.retry_after_s
        return [
            *self._leave_attempt(),
            *self._retry(outcomes.Reason.ENDPOINT_REFUSED, now),
        ]

    def _on_stage_refused(
        self, event: msg.StageRefused, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        if not event.may_have_run:
            self._attempts.may_have_run.discard(self.attempt)
        actions = self._leave_attempt()
        self._attempts.note_refused(event.endpoint_id)
        if self._attempts.refusals >= MAX_REFUSALS:
            return [
                *actions,
                *self._give_up(outcomes.Reason.ENDPOINT_REFUSED),
            ]
        # The settings ran ahead of a load, or behind it. Nothing has failed,
        # so neither the attempts nor the retry budget are charged.
        return [*actions, *self._start_attempt(now)]

    # Reading the stream.

    def _on_chunk(self, event: msg.Chunk, now: float) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        expected = len(self._delivered)
        if event.token_index < expected:
            return []
        if event.token_index > expected:
            return self._fail_attempt(now)
        if expected == self.request.max_tokens:
            # The engine runs on beyond what was asked for; what was asked
            # for is whole.
            return self._answer(now)
        self._delivered.append(event.text)
        self._is_checking = False
        look_at = self._watch.on_token(now)
        return [
            msg.Deliver(event.token_index, event.text),
            msg.SetTimer(msg.Timer('stall'), look_at),
        ]

    def _on_finished(self, event: msg.Finished, now: float) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        if event.token_count != len(self._delivered):
            return self._fail_attempt(now)
        return self._answer(now, is_running=False)

    def _answer(self, now: float, is_running: bool = True) -> list[msg.Action]:
        if self.attempt == 1:
            budget = self._shared.budgets.get(self.request.customer)
            budget.record_success(now)
        self._shared.quarantine.clear(self.request.fingerprint, now)
        outcome = outcomes.Answered(tokens=len(self._delivered))
        return self._end(outcome, is_running)

    # Recovering.

    def _on_broken(self, event: msg.Broken, now: float) -> list[msg.Action]:
        if self._state is not _State.STREAMING:
            return []
        self._state = _State.PROBING
        return [msg.CloseAttempt(self.attempt), *self._probe()]

    def _probe(self) -> list[msg.Action]:
        if self.route is None:
            return []
        return [msg.ProbeStages(self.attempt, self.route.endpoint_ids)]

    def _on_probed(self, event: msg.Probed, now: float) -> list[msg.Action]:
        if self._state is _State.VETTING:
            return self._on_vetted(event, now)
        if self._state is _State.STREAMING and not event.dead:
            if not self._is_checking:
                # A token came while the stages were probed.
                return []
            look_at = self._watch.on_all_alive(now)
            if look_at is not None:
                return [msg.SetTimer(msg.Timer('stall'), look_at)]
        if self._state not in (_State.STREAMING, _State.PROBING):
            return []
        # Where nobody is dead, the connection was at fault, and the endpoints
        # bear no mark.
        dead = [item.endpoint_id for item in event.dead]
        self._attempts.mark_dead(dead, now)
        crashed = [item for item in event.dead if item.crashed]
        if not crashed:
            return self._fail_attempt(now)
        # One attempt is one crash, however many of its stages are gone: they
        # fell together, and not to this request one after another.
        crash = self._attempts.record_crash(crashed[0], now)
        actions = self._leave_attempt()
        tell = msg.TellPeers((crash,))
        if self._is_quarantined(now):
            return [
                *actions,
                tell,
                *self._give_up(outcomes.Reason.QUARANTINED),
            ]
        self._state = _State.TELLING
        told_by = now + self._cfg.suspicion_wait_s
        return [*actions, tell, msg.SetTimer(msg.Timer('told'), told_by)]

    def _on_peers_told(
        self, event: msg.PeersTold, now: float
    ) -> list[msg.Action]:
        if self._state is not _State.TELLING:
            return []
        return self._retry(outcomes.Reason.ENDPOINT_ERROR, now)

    def _fail_attempt(self, now: float) -> list[msg.Action]:
        return [
            *self._leave_attempt(),
            *self._retry(outcomes.Reason.ENDPOINT_ERROR, now),
        ]

    def _retry(self, reason: outcomes.Reason, now: float) -> list[msg.Action]:
        if len(self._delivered) == self.request.max_tokens:
            # Only the final marker is missing: there can be no further token.
            return self._answer(now)
        if self._attempts.failed >= self._cfg.max_attempts:
            return self._give_up(reason)
        if self._is_quarantined(now):
            return self._give_up(outcomes.Reason.QUARANTINED)
        budget = self._shared.budgets.get(self.request.customer)
        if not budget.try_spend(now):
            return self._give_up(outcomes.Reason.RETRY_BUDGET)
        if self._attempts.failed <= 1:
            # The first retry goes out at once: it decides the recovery time,
            # and the budget bounds how many of them there are.
            return self._start_attempt(now)
        self._state = _State.PAUSING
        self._pause_s = retries.next_pause_s(
            self._pause_s,
            self._cfg.backoff_base_s,
            self._cfg.backoff_cap_s,
            self._shared.rng,
        )
        return [msg.SetTimer(msg.Timer('retry'), now + self._pause_s)]

    def _on_timer(self, event: msg.TimerDue, now: float) -> list[msg.Action]:
        name = event.timer.name
        if name == 'deadline':
            return self._give_up(outcomes.Reason.DEADLINE)
        if name == 'stall' and self._state is _State.STREAMING:
            self._is_checking = True
            return self._probe()
        if name == 'told' and self._state is _State.TELLING:
            return self._retry(outcomes.Reason.ENDPOINT_ERROR, now)
        if name == 'retry' and self._state is _State.PAUSING:
            return self._start_attempt(now)
        return []

    # Ending.

    def _on_caller_left(
        self, event: msg.CallerLeft, now: float
    ) -> list[msg.Action]:
        return self._give_up(outcomes.Reason.CALLER_LEFT)

    def _on_host_stopping(
        self, event: msg.HostStopping, now: float
    ) -> list[msg.Action]:
        return self._give_up(outcomes.Reason.DRAINING)

    def _give_up(self, reason: outcomes.Reason) -> list[msg.Action]:
        no_repeat = reason in (
            outcomes.Reason.CALLER_LEFT,
            outcomes.Reason.DEADLINE,
        )
        retry_after_s = None if no_repeat else self._retry_after_s
        outcome: outcomes.Outcome
        if self._attempts.may_have_run or self._delivered:
            outcome = outcomes.Incomplete(
                reason, len(self._delivered), retry_after_s
            )
        else:
            outcome = outcomes.NotRun(reason, retry_after_s)
        return self._end(outcome)

    def _leave_attempt(self, is_running: bool = True) -> list[msg.Action]:
        """Closes the current attempt, once."""
        if not self._attempts.close() or self.route is None:
            return []
        actions: list[msg.Action] = [msg.CloseAttempt(self.attempt)]
        if is_running and self.attempt in self._attempts.may_have_run:
            cancel = msg.CancelAttempt(
                self.attempt, self.route.endpoint_ids, self.request.deadline
            )
            actions.append(cancel)
        self._state = _State.IDLE
        return actions

    def _end(
        self, outcome: outcomes.Outcome, is_running: bool = True
    ) -> list[msg.Action]:
        actions = self._leave_attempt(is_running)
        self._state = _State.ENDED
        self.outcome = outcome
        return [*actions, msg.End(outcome)]
