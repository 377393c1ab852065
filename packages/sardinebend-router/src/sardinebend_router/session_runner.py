"""Runs a state machine of the policy package: events in, actions out."""

import abc
import collections
import collections.abc
import typing

import trio

from sardinebend_gateway import host_clock


class Machine(typing.Protocol):
    """A state machine without I/O."""

    def handle(self, event: typing.Any, now: float) -> list[typing.Any]:
        """Applies an event and returns the actions to perform."""


class SessionRunner(abc.ABC):
    """Runs one state machine: its timers, its tasks, its actions in order."""

    def __init__(
        self,
        machine: Machine,
        clock: host_clock.HostClock,
        waits: frozenset[typing.Any] = frozenset(),
    ) -> None:
        """Creates a runner.

        Args:
            machine: The state machine.
            clock: The clock for the silence of others.
            waits: Timers that limit a wait for others. Delays of the host put
                them off, and what has come is read before they are due.
        """
        self._machine = machine
        self._clock = clock
        self._waits = waits
        self._held_up_s = 0.0
        self._events: collections.deque[typing.Any] = collections.deque()
        self._is_handling = False
        self._timers: dict[typing.Any, float] = {}
        self._timer_scope: trio.CancelScope | None = None
        self._wake_at = float('inf')
        self._stop_requested = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run(self, first_event: typing.Any) -> None:
        """Runs the machine until `stop` is called."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._held_up_s = self._clock.held_up_s()
            nursery.start_soon(self._run_timers)
            self.post(first_event)
            await self._stop_requested.wait()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Ends `run`; tasks that are still running are cancelled."""
        self._stop_requested.set()

    def post(self, event: typing.Any) -> None:
        """Passes an event to the machine and performs the returned actions.

        An event that is posted while actions are performed is queued, so that
        the machine is never re-entered while it handles another event.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        self._note_delay()
        try:
            while self._events:
                now = trio.current_time()
                next_event = self._events.popleft()
                for action in self._machine.handle(next_event, now):
                    self.perform(action)
        finally:
            self._is_handling = False

    @abc.abstractmethod
    def perform(self, action: typing.Any) -> None:
        """Performs an action without blocking; longer work gets a task."""

    @abc.abstractmethod
    def make_timer_event(self, timer: typing.Any) -> typing.Any:
        """Returns the event that a timer posts when it is due."""

    @abc.abstractmethod
    def on_delay(self, delay_s: float) -> None:
        """Takes note that the host was held up, for a time in seconds."""

    def start_task(self, function: typing.Callable, *args: typing.Any) -> None:
        """Starts a task that is cancelled when `run` ends."""
        if self.nursery is not None:
            self.nursery.start_soon(function, *args)

    def set_timer(self, timer: typing.Any, at: float) -> None:
        """Sets or moves a timer.

        The timer task is woken only if the new time is earlier than the one
        it sleeps until: a stall timer moves later with each token, and a
        wake-up for each would cost more than handling the token itself.
        """
        self._timers[timer] = at
        if at < self._wake_at and self._timer_scope is not None:
            self._timer_scope.cancel()

    def _note_delay(self) -> None:
        """Puts off waits for others by the time that the host was held up."""
        held_up_s = self._clock.held_up_s()
        delay_s = held_up_s - self._held_up_s
        self._held_up_s = held_up_s
        if delay_s <= 0:
            return
        for timer in self._waits & self._timers.keys():
            self._timers[timer] += delay_s
        self.on_delay(delay_s)

    async def _run_timers(self) -> None:
        while True:
            self._wake_at = min(self._timers.values(), default=float('inf'))
            with trio.CancelScope() as scope:
                self._timer_scope = scope
                await trio.sleep_until(self._wake_at)
            self._timer_scope = None
            self._note_delay()
            due = self._list_due()
            self._post_due(timer for timer in due if timer not in self._waits)
            if not self._waits.isdisjoint(due):
                await host_clock.let_others_read()
                self._note_delay()
                self._post_due(timer for timer in due if timer in self._waits)

    def _list_due(self) -> list[typing.Any]:
        now = trio.current_time()
        return [timer for timer, at in self._timers.items() if at <= now]

    def _post_due(self, timers: collections.abc.Iterable[typing.Any]) -> None:
        for timer in timers:
            # Handling another event may have moved it to a later time.
            if timer in self._list_due():
                del self._timers[timer]
                self.post(self.make_timer_event(timer))
