"""State machine of a hedge: a draft's attempt beside one that is silent.

Silence doesn't show that an attempt has failed, and another endpoint may refuse
the order. So the silent attempt goes on until the hedge delivers a token.
"""

import enum
import typing

from sardinebend_policy import attempts
from sardinebend_policy import draft_messages as msg
from sardinebend_policy import quarantine
from sardinebend_policy import routes


class HedgeState(enum.Enum):
    """How far a hedge is."""

    NONE = enum.auto()
    PREFLIGHT = enum.auto()
    CONNECTING = enum.auto()
    STREAMING = enum.auto()
    PROBING = enum.auto()


class Verdict(enum.Enum):
    """What an event of a hedge means for its session."""

    GOES_ON = enum.auto()
    LEADS = enum.auto()
    ENDED = enum.auto()
    ENDED_UNSENT = enum.auto()


class Step(typing.NamedTuple):
    """The result of an event.

    Attributes:
        verdict: What the session does next.
        actions: Actions to perform.
        crash: A crash of an endpoint under the hedge, if any.
    """

    verdict: Verdict
    actions: list[msg.Action]
    crash: quarantine.Crash | None = None


class Hedge:
    """The hedge of one draft session, if there is one.

    Attributes:
        state: How far it is.
        sent_at: When its order was sent.
    """

    def __init__(
        self,
        request: msg.DraftRequest,
        tries: attempts.Attempts,
        first_token_s: float,
    ) -> None:
        self.state = HedgeState.NONE
        self.sent_at = 0.0
        self._request = request
        self._attempts = tries
        self._first_token_s = first_token_s

    @property
    def is_running(self) -> bool:
        """Whether there is a hedge."""
        return self.state is not HedgeState.NONE

    @property
    def is_sent(self) -> bool:
        """Whether the order of the hedge was sent."""
        return self.state in (HedgeState.STREAMING, HedgeState.PROBING)

    def is_overdue(self, now: float) -> bool:
        """Returns whether its first token is overdue."""
        is_streaming = self.state is HedgeState.STREAMING
        return is_streaming and now >= self.sent_at + self._first_token_s

    def add_delay(self, delay_s: float) -> None:
        """Counts a time for which the host was held up as no silence."""
        self.sent_at += delay_s

    def begin(self, route: routes.PipelineRoute) -> list[msg.Action]:
        """Begins a hedge along a route."""
        number = self._attempts.open_hedge(route)
        self.state = HedgeState.PREFLIGHT
        return [msg.ProbeStages(number, route.endpoint_ids)]

    def handle(
        self, event: msg.Event, delivered: typing.Sequence[str], now: float
    ) -> Step:
        """Handles an event of the hedge.

        Args:
            event: The event.
            delivered: Texts of the tokens already delivered.
            now: Current time.
        """
        if isinstance(event, msg.Probed):
            return self._on_probed(event, now)
        if isinstance(event, msg.Connected):
            return self._on_connected(delivered, now)
        if isinstance(event, msg.ConnectFailed):
            self._attempts.mark_silent([event.endpoint_id], now)
            return Step(Verdict.ENDED_UNSENT, self.drop())
        if self.state is not HedgeState.STREAMING:
            return Step(Verdict.GOES_ON, [])
        return self._on_stream(event, len(delivered))

    def drop(self) -> list[msg.Action]:
        """Ends the hedge, if there is one."""
        hedge = self._attempts.close_hedge(self.is_sent)
        self.state = HedgeState.NONE
        if hedge is None:
            return []
        actions: list[msg.Action] = [msg.CloseAttempt(hedge.number)]
        if hedge.number in self._attempts.may_have_run:
            cancel = msg.CancelAttempt(
                hedge.number, hedge.route.endpoint_ids, self._request.deadline
            )
            actions.append(cancel)
        return actions

    def promote(self) -> HedgeState:
        """Makes the hedge the current attempt; returns how far it is."""
        state, self.state = self.state, HedgeState.NONE
        self._attempts.promote_hedge()
        return state

    def _on_probed(self, event: msg.Probed, now: float) -> Step:
        hedge = self._attempts.hedge
        if hedge is None:
            return Step(Verdict.GOES_ON, [])
        if self.state is HedgeState.PREFLIGHT and not event.dead:
            self.state = HedgeState.CONNECTING
            connect = msg.Connect(hedge.number, hedge.route)
            return Step(Verdict.GOES_ON, [connect])
        self._attempts.mark_silent((d.endpoint_id for d in event.dead), now)
        if self.state is HedgeState.PREFLIGHT:
            return Step(Verdict.ENDED_UNSENT, self.drop())
        if self.state is not HedgeState.PROBING:
            return Step(Verdict.GOES_ON, [])
        crashed = [item for item in event.dead if item.crashed]
        crash = None
        if crashed:
            crash = self._attempts.record_crash(crashed[0], now, hedge.number)
        return Step(Verdict.ENDED, self.drop(), crash)

    def _on_connected(
        self, delivered: typing.Sequence[str], now: float
    ) -> Step:
        hedge = self._attempts.hedge
        if self.state is not HedgeState.CONNECTING or hedge is None:
            return Step(Verdict.GOES_ON, [])
        if now >= self._request.deadline or not self._attempts.are_usable(
            hedge.route, now
        ):
            return Step(Verdict.ENDED_UNSENT, self.drop())
        self.state = HedgeState.STREAMING
        self.sent_at = now
        self._attempts.may_have_run.add(hedge.number)
        order = msg.SendOrder(
            hedge.number,
            hedge.route,
            len(delivered),
            tuple(delivered),
            self._request.deadline,
        )
        timer = msg.SetTimer(msg.Timer('hedge'), now + self._first_token_s)
        return Step(Verdict.GOES_ON, [order, timer])

    def _on_stream(self, event: msg.Event, delivered: int) -> Step:
        hedge = self._attempts.hedge
        if hedge is None:
            return Step(Verdict.GOES_ON, [])
        if isinstance(event, msg.Chunk):
            if event.token_index < delivered:
                return Step(Verdict.GOES_ON, [])
            if event.token_index == delivered:
                return Step(Verdict.LEADS, [])
        elif isinstance(event, msg.Finished):
            if event.token_count == delivered:
                return Step(Verdict.LEADS, [])
        elif isinstance(event, msg.StreamBroken):
            self.state = HedgeState.PROBING
            probe = msg.ProbeStages(hedge.number, hedge.route.endpoint_ids)
            return Step(Verdict.GOES_ON, [probe])
        elif isinstance(event, msg.Refused):
            self._attempts.may_have_run.discard(hedge.number)
            self._attempts.avoid(event.endpoint_id)
        elif isinstance(event, msg.StageRefused):
            if not event.may_have_run:
                self._attempts.may_have_run.discard(hedge.number)
            self._attempts.record_version_refusal(event.endpoint_id)
        return Step(Verdict.ENDED, self.drop())
