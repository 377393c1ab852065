"""A clock for the silence of others, which stands still while the host does.

Times of this clock are compared only with each other. What callers and the
store are promised is measured by `trio.current_time` and `clocks.now`.
"""

import collections.abc
import contextlib
import signal
import types
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_policy import host_delays

# Shorter delays aren't logged.
MIN_LOGGED_DELAY_S: typing.Final = 0.2
# A host that was held up is busy with what has waited for this long.
RECOVERY_S: typing.Final = 1.0
# Shortest time between two ticks, however soon a deadline is.
MIN_TICK_S: typing.Final = 0.01
# Passes through its tasks that a host may need to connect, send a request and
# read an answer that comes at once. They may take longer than the whole time
# limit, though no single one is a delay.
READ_PASSES: typing.Final = 8


class HostClock:
    """A clock that stands still while the host is held up.

    Until `run` has started, it is trio's clock.
    """

    def __init__(
        self,
        log_delay: typing.Callable[[float], None],
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Creates a clock that doesn't stand still yet.

        Args:
            log_delay: Logs a delay of the host, in seconds.
            metrics: Takes the lengths of all delays.
        """
        self._log_delay = log_delay
        self._metrics = metrics
        self._delays: host_delays.HostDelays | None = None
        # By `clocks.now`, which also counts the time for which the machine was
        # suspended: the platform counts it, too.
        # From the beginning, as a signal may wait for the host to start.
        self._real_delays = host_delays.HostDelays(clocks.now())
        self._stop_signal_at: float | None = None
        self._deadlines: dict[trio.CancelScope, float] = {}

    async def run(self) -> None:
        """Keeps the clock; runs until cancelled."""
        self._delays = host_delays.HostDelays(trio.current_time())
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(self._tick_s())
                    self._record_tick(self._delays)
                    due = self._take_due()
                    if due:
                        nursery.start_soon(_cancel_after_passes, due)
        finally:
            self._delays = None

    def _record_tick(self, delays: host_delays.HostDelays) -> None:
        delays.record_tick(trio.current_time())
        delay_s = self._real_delays.record_tick(clocks.now())
        if delay_s:
            self._metrics.record_time('host_delay', delay_s)
        if delay_s >= MIN_LOGGED_DELAY_S:
            self._log_delay(round(delay_s, 3))

    def now(self) -> float:
        """Returns the time in seconds, without delays of the host."""
        if self._delays is None:
            return trio.current_time()
        return self._delays.on_time(trio.current_time())

    def held_up_s(self) -> float:
        """Returns by how much the clock is behind trio's."""
        now = trio.current_time()
        return 0.0 if self._delays is None else now - self._delays.on_time(now)

    def recent_delay_s(self) -> float:
        """Returns for how long the host was held up recently, in all."""
        return self._real_delays.recent_delay_s()

    def overload_s(self) -> float:
        """Returns how late the tasks of an overloaded host run; else 0."""
        return self._real_delays.overload_s()

    def signal_late_s(self) -> float:
        """Returns how late a signal may be that is being handled, at most."""
        now = clocks.now()
        return now - self._real_delays.earliest_signal_at(now)

    def note_stop_signal(self) -> None:
        """Records that a signal to stop has come; called by its handler.

        Whatever handles the signal later runs after the backlog of a delay,
        when the delay isn't the last one any more.
        """
        if self._stop_signal_at is None:
            self._stop_signal_at = self._real_delays.earliest_signal_at(
                clocks.now()
            )

    def stop_signal_late_s(self) -> float:
        """Returns how long ago the signal to stop was sent, at most."""
        if self._stop_signal_at is None:
            return self.signal_late_s()
        return clocks.now() - self._stop_signal_at

    @contextlib.contextmanager
    def noting_signals(
        self, numbers: collections.abc.Sequence[signal.Signals]
    ) -> collections.abc.Iterator[None]:
        """Notes signals to stop before the tasks of the host run.

        Args:
            numbers: The signals, whose present handlers are still called.
        """
        handlers = {number: signal.getsignal(number) for number in numbers}

        def note(number: int, frame: types.FrameType | None) -> None:
            self.note_stop_signal()
            handler = handlers[signal.Signals(number)]
            if callable(handler):
                handler(number, frame)

        for number in numbers:
            signal.signal(number, note)
        try:
            yield
        finally:
            for number, handler in handlers.items():
                signal.signal(number, handler)

    def was_on_time_since(self, at: float) -> bool:
        """Returns whether what the host measured says something of others.

        That isn't so if the host was held up meanwhile or shortly before.

        Args:
            at: When the measurement began, by `trio.current_time`.
        """
        if self._delays is None:
            return True
        duration_s = trio.current_time() - at + RECOVERY_S
        return self._real_delays.was_on_time_for(duration_s, clocks.now())

    @contextlib.contextmanager
    def move_on_after(
        self, seconds: float
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Limits the time to wait for others, without delays of the host.

        Once the time is over, the block may still read what has arrived: it
        ends after `READ_PASSES` further passes through the tasks of the host.
        """
        scope = trio.CancelScope()
        if self._delays is None:
            scope.deadline = trio.current_time() + seconds
        else:
            self._deadlines[scope] = self.now() + seconds
        try:
            with scope:
                yield scope
        finally:
            self._deadlines.pop(scope, None)

    @contextlib.contextmanager
    def fail_after(
        self, seconds: float
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Like `move_on_after`, but raises if the time has passed.

        Raises:
            trio.TooSlowError: The time has passed.
        """
        with self.move_on_after(seconds) as scope:
            yield scope
        if scope.cancelled_caught:
            raise trio.TooSlowError

    def _tick_s(self) -> float:
        if not self._deadlines:
            return host_delays.TICK_S
        left_s = min(self._deadlines.values()) - self.now()
        return max(MIN_TICK_S, min(host_delays.TICK_S, left_s))

    def _take_due(self) -> list[trio.CancelScope]:
        """Returns the scopes whose time is over, and forgets them."""
        now = self.now()
        due = [s for s, at in self._deadlines.items() if at <= now]
        for scope in due:
            del self._deadlines[scope]
        return due


async def let_others_read() -> None:
    """Makes `READ_PASSES` passes through the tasks of the host."""
    for _ in range(READ_PASSES):
        await trio.lowlevel.checkpoint()


async def _cancel_after_passes(scopes: list[trio.CancelScope]) -> None:
    await let_others_read()
    for scope in scopes:
        scope.cancel()
