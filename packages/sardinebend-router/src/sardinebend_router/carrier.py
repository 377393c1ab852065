"""Carries a state machine of the policy package: events in, actions out."""

import abc
import collections
import typing

import trio


class Machine(typing.Protocol):
    """A state machine without I/O."""

    def handle(self, event: typing.Any, now: float) -> list[typing.Any]:
        """Takes in an event and returns what has to be done."""


class Carrier(abc.ABC):
    """Runs one machine: its timers, its tasks, its actions in order."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._events: collections.deque[typing.Any] = collections.deque()
        self._is_handling = False
        self._timers: dict[typing.Any, float] = {}
        self._timer_scope: trio.CancelScope | None = None
        self._wake_at = float('inf')
        self._done = trio.Event()
        self.nursery: trio.Nursery | None = None

    async def run(self, first_event: typing.Any) -> None:
        """Runs the machine until `stop` is called."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._run_timers)
            self.post(first_event)
            await self._done.wait()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Ends `run`; what is still under way is cancelled."""
        self._done.set()

    def post(self, event: typing.Any) -> None:
        """Hands an event to the machine and performs what it asks for.

        An event that arises while actions are performed waits its turn, so
        that the machine never sees one event within another.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                now = trio.current_time()
                item = self._events.popleft()
                for action in self._machine.handle(item, now):
                    self.perform(action)
        finally:
            self._is_handling = False

    @abc.abstractmethod
    def perform(self, action: typing.Any) -> None:
        """Does what an action asks for, without waiting."""

    @abc.abstractmethod
    def make_timer_event(self, timer: typing.Any) -> typing.Any:
        """Returns the event that reports a timer."""

    def start_task(self, function: typing.Callable, *args: typing.Any) -> None:
        """Starts a task that ends with the machine."""
        if self.nursery is not None:
            self.nursery.start_soon(function, *args)

    def set_timer(self, timer: typing.Any, at: float) -> None:
        """Sets or moves a timer.

        The sleeping task is woken only for an earlier time: a stall timer
        moves later with each token, and waking for each would cost more than
        the token itself.
        """
        self._timers[timer] = at
        if at < self._wake_at and self._timer_scope is not None:
            self._timer_scope.cancel()

    async def _run_timers(self) -> None:
        while True:
            self._wake_at = min(self._timers.values(), default=float('inf'))
            with trio.CancelScope() as scope:
                self._timer_scope = scope
                await trio.sleep_until(self._wake_at)
            self._timer_scope = None
            now = trio.current_time()
            due = [timer for timer, at in self._timers.items() if at <= now]
            for timer in due:
                # Handling one may have moved another to a later time.
                if self._timers.get(timer, float('inf')) <= now:
                    del self._timers[timer]
                    self.post(self.make_timer_event(timer))
