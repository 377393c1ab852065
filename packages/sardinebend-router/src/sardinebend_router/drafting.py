"""Runs the session of one draft: streaming, probes, cancels, delivery.

A draft is one completion request. The engines stream its answer token by token.
"""

import typing

import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import drafts
from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_router import engines
from sardinebend_router import logs
from sardinebend_router import probing
from sardinebend_router import session_runner
from sardinebend_router import state as state_lib
from sardinebend_store import errors as platform_errors

# Timers that limit how long engines may be silent.
WAITS: typing.Final = frozenset((msg.Timer('stall'), msg.Timer('hedge')))

ReportCrashes = typing.Callable[
    [tuple[quarantine.Crash, ...]], typing.Awaitable[None]
]


class Answer:
    """The answer of a draft while it is being generated.

    Attributes:
        tokens: Texts of the tokens so far, in order.
        outcome: The outcome of the draft; `None` until it has ended.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.outcome: outcomes.Outcome | None = None
        self._changed = trio.Event()

    def add(self, text: str) -> None:
        """Appends the next token and wakes tasks that wait for it."""
        self.tokens.append(text)
        self._changed.set()

    def end(self, outcome: outcomes.Outcome) -> None:
        """Records the outcome and wakes tasks that wait for it."""
        self.outcome = outcome
        self._changed.set()

    async def wait_for_more_than(self, count: int) -> None:
        """Waits until there are more than `count` tokens or an outcome."""
        while len(self.tokens) <= count and self.outcome is None:
            self._changed = trio.Event()
            await self._changed.wait()


class _Attempt:
    """An attempt's connection and the cancel scope of its reader."""

    def __init__(self) -> None:
        self.pipeline: engines.OpenPipeline | None = None
        self.scope = trio.CancelScope()


class DraftSessionRunner(session_runner.SessionRunner):
    """Performs the actions of one draft's session.

    Attributes:
        answer: The answer generated so far.
    """

    def __init__(
        self,
        session: drafts.DraftSession,
        state: state_lib.HostState,
        driver: engines.PipelineDriver,
        report_crashes: ReportCrashes,
        timeouts_s: tuple[float, float],
    ) -> None:
        super().__init__(session, state.host_clock, WAITS)
        self.answer = Answer()
        self._session = session
        self._state = state
        self._driver = driver
        self._report_crashes = report_crashes
        self._connect_s, self._probe_s = timeouts_s
        self._attempts: dict[int, _Attempt] = {}
        # The last known one of each endpoint, and that of each attempt.
        self._incarnations: dict[str, str] = {}
        self._sent_to: dict[tuple[int, str], str] = {}
        self._handlers: dict[type, typing.Callable[..., None]] = {
            msg.Connect: self._connect,
            msg.SendOrder: self._send_order,
            msg.CloseAttempt: self._close_attempt,
            msg.CancelAttempt: self._cancel_attempt,
            msg.ProbeStages: self._probe_stages,
            msg.ReportCrashes: self._start_crash_report,
            msg.Deliver: self._deliver,
            msg.SetTimer: self._set_timer,
            msg.End: self._end,
        }

    async def run(self, first_event: msg.Event) -> None:
        """Runs the session to its end, then closes open connections."""
        try:
            await super().run(first_event)
        finally:
            for attempt in self._attempts.values():
                if attempt.pipeline is not None:
                    await attempt.pipeline.close()

    def perform(self, action: msg.Action) -> None:
        """Performs an action without blocking; longer work gets a task."""
        self._handlers[type(action)](action)

    def on_delay(self, delay_s: float) -> None:
        """Counts a delay of the host as no silence of engines."""
        self._session.add_delay(delay_s)

    def make_timer_event(self, timer: msg.Timer) -> msg.Event:
        """Returns the event that a timer posts when it is due."""
        return msg.TimerDue(timer)

    def _connect(self, action: msg.Connect) -> None:
        for endpoint_id in action.route.endpoint_ids:
            endpoint = self._state.fleet.get(endpoint_id)
            incarnation = endpoint.incarnation if endpoint else ''
            self._incarnations[endpoint_id] = incarnation
            self._sent_to[action.attempt, endpoint_id] = incarnation
        attempt = _Attempt()
        self._attempts[action.attempt] = attempt
        self.start_task(self._open_pipeline, action, attempt)

    async def _open_pipeline(
        self, action: msg.Connect, attempt: _Attempt
    ) -> None:
        try:
            attempt.pipeline = await self._driver.connect(
                action.route, self._connect_s
            )
        except platform_errors.ConnectFailed:
            first_endpoint_id = action.route.endpoint_ids[0]
            self.post(msg.ConnectFailed(action.attempt, first_endpoint_id))
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
        order = engines.DraftOrder(self._session.request, action)
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
        self._state.wake_cancel_sender()

    def _probe_stages(self, action: msg.ProbeStages) -> None:
        self.start_task(self._probe_endpoints, action)

    async def _probe_endpoints(self, action: msg.ProbeStages) -> None:
        incarnations = self._incarnations
        dead: list[msg.DeadEndpoint] = []

        async def probe_one(endpoint_id: str) -> None:
            known_incarnation = self._sent_to.get(
                (action.attempt, endpoint_id), incarnations.get(endpoint_id, '')
            )
            answer = await probing.probe(
                self._driver, endpoint_id, self._probe_s
            )
            dead_endpoint = probing.find_death(
                endpoint_id, known_incarnation, answer
            )
            if dead_endpoint is not None:
                dead.append(dead_endpoint)

        async with trio.open_nursery() as nursery:
            for endpoint_id in action.endpoint_ids:
                nursery.start_soon(probe_one, endpoint_id)
        self.post(msg.Probed(action.attempt, tuple(sorted(dead))))

    def _start_crash_report(self, action: msg.ReportCrashes) -> None:
        self.start_task(self._report_to_peers, action)

    async def _report_to_peers(self, action: msg.ReportCrashes) -> None:
        await self._report_crashes(action.crashes)
        self.post(msg.CrashesReported(action.attempt))

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
