"""Carries the session of one draft: streams, probes, cancels, delivery."""

import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import carrier
from sardinebend_router import engines
from sardinebend_router import logs
from sardinebend_router import probing
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors

TellCrashes = typing.Callable[
    [tuple[quarantine.Crash, ...]], typing.Awaitable[None]
]


class Answer:
    """The answer of a draft on its way to the caller.

    Attributes:
        tokens: Texts of the tokens, in order.
        outcome: The end, once there is one.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.outcome: outcomes.Outcome | None = None
        self._changed = trio.Event()

    def add(self, text: str) -> None:
        """Takes in the next token."""
        self.tokens.append(text)
        self._changed.set()

    def end(self, outcome: outcomes.Outcome) -> None:
        """Takes in the end."""
        self.outcome = outcome
        self._changed.set()

    async def wait_beyond(self, count: int) -> None:
        """Waits until there are more than `count` tokens, or the end."""
        while len(self.tokens) <= count and self.outcome is None:
            self._changed = trio.Event()
            await self._changed.wait()


class _Attempt:
    """An attempt's connection and the task that reads it."""

    def __init__(self) -> None:
        self.pipeline: engines.OpenPipeline | None = None
        self.scope = trio.CancelScope()


class DraftCarrier(carrier.Carrier):
    """Runs one draft's session.

    Attributes:
        answer: The answer as it grows.
    """

    def __init__(
        self,
        session: drafts.DraftSession,
        state: state_lib.HostState,
        driver: engines.PipelineDriver,
        tell_crashes: TellCrashes,
        timeouts_s: tuple[float, float],
    ) -> None:
        super().__init__(session)
        self.answer = Answer()
        self._session = session
        self._state = state
        self._driver = driver
        self._tell_crashes = tell_crashes
        self._connect_s, self._probe_s = timeouts_s
        self._attempts: dict[int, _Attempt] = {}
        self._incarnations: dict[str, str] = {}
        self._performers: dict[type, typing.Callable[..., None]] = {
            msg.Connect: self._connect,
            msg.SendOrder: self._send_order,
            msg.CloseAttempt: self._close_attempt,
            msg.CancelAttempt: self._cancel_attempt,
            msg.ProbeStages: self._probe_stages,
            msg.TellPeers: self._tell_peers,
            msg.Deliver: self._deliver,
            msg.SetTimer: self._set_timer,
            msg.End: self._end,
        }

    async def run(self, first_event: msg.Event) -> None:
        """Runs the session to its end and closes what is open."""
        try:
            await super().run(first_event)
        finally:
            for attempt in self._attempts.values():
                if attempt.pipeline is not None:
                    await attempt.pipeline.close()

    def perform(self, action: msg.Action) -> None:
        """Does what an action asks for, without waiting."""
        self._performers[type(action)](action)

    def make_timer_event(self, timer: msg.Timer) -> msg.Event:
        """Returns the event that reports a timer."""
        return msg.TimerDue(timer)

    def _connect(self, action: msg.Connect) -> None:
        for endpoint_id in action.route.endpoint_ids:
            endpoint = self._state.fleet.get(endpoint_id)
            known = endpoint.incarnation if endpoint else ''
            self._incarnations[endpoint_id] = known
        attempt = _Attempt()
        self._attempts[action.attempt] = attempt
        self.start_task(self._open, action, attempt)

    async def _open(self, action: msg.Connect, attempt: _Attempt) -> None:
        try:
            attempt.pipeline = await self._driver.connect(
                action.route, self._connect_s
            )
        except platform_errors.ConnectFailed:
            first = action.route.endpoint_ids[0]
            self.post(msg.ConnectFailed(action.attempt, first))
            return
        if action.attempt not in self._attempts:
            await attempt.pipeline.close()
            return
        self.post(msg.Connected(action.attempt))

    def _send_order(self, action: msg.SendOrder) -> None:
        attempt = self._attempts[action.attempt]
        self.start_task(self._stream, action, attempt)

    async def _stream(self, action: msg.SendOrder, attempt: _Attempt) -> None:
        if attempt.pipeline is None:
            return
        order = engines.Order(self._session.request, action)
        try:
            with attempt.scope:
                await attempt.pipeline.run(order, self.post)
        finally:
            await attempt.pipeline.close()

    def _close_attempt(self, action: msg.CloseAttempt) -> None:
        attempt = self._attempts.pop(action.attempt, None)
        if attempt is not None:
            attempt.scope.cancel()
            if attempt.pipeline is not None:
                self.start_task(attempt.pipeline.close)

    def _cancel_attempt(self, action: msg.CancelAttempt) -> None:
        self._state.cancels.add(
            self._session.request.request_id,
            action.attempt,
            action.endpoint_ids,
            action.until,
            trio.current_time(),
        )
        self._state.want_cancels()

    def _probe_stages(self, action: msg.ProbeStages) -> None:
        self.start_task(self._probe, action)

    async def _probe(self, action: msg.ProbeStages) -> None:
        incarnations = self._incarnations
        dead: list[msg.DeadEndpoint] = []

        async def probe_one(endpoint_id: str) -> None:
            known = incarnations.get(endpoint_id, '')
            answer = await probing.probe(
                self._driver, endpoint_id, self._probe_s
            )
            found = probing.judge(endpoint_id, known, answer)
            if found is not None:
                dead.append(found)

        async with trio.open_nursery() as nursery:
            for endpoint_id in action.endpoint_ids:
                nursery.start_soon(probe_one, endpoint_id)
        self.post(msg.Probed(action.attempt, tuple(sorted(dead))))

    def _tell_peers(self, action: msg.TellPeers) -> None:
        self.start_task(self._tell, action)

    async def _tell(self, action: msg.TellPeers) -> None:
        await self._tell_crashes(action.crashes)
        self.post(msg.PeersTold())

    def _deliver(self, action: msg.Deliver) -> None:
        self.answer.add(action.text)

    def _set_timer(self, action: msg.SetTimer) -> None:
        self.set_timer(action.timer, action.at)

    def _end(self, action: msg.End) -> None:
        self.answer.end(action.outcome)
        logs.get().info(
            'draft ended',
            extra={
                'request_id': self._session.request.request_id,
                'customer': self._session.request.customer,
                'attempt': self._session.attempt,
                'outcome': type(action.outcome).__name__,
                'reason': getattr(action.outcome, 'reason', ''),
                'tokens': self._session.delivered,
            },
        )
        self.stop()
