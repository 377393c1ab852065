"""A clock for the silence of others, which stands still while the host does.

Times of this clock are compared only with each other. What callers and the
store are promised is measured by `trio.current_time` and `clocks.now`.
"""

import typing

import trio

from sardinebend_gateway import audit as audit_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_policy import host_delays

# Shorter delays aren't logged.
MIN_LOGGED_DELAY_S: typing.Final = 0.2


class HostClock:
    """A clock that stands still while the host is held up.

    Until `run` has started, it is trio's clock.
    """

    def __init__(
        self, audit: audit_lib.Audit, metrics: metrics_lib.Metrics
    ) -> None:
        self._audit = audit
        self._metrics = metrics
        self._delays: host_delays.HostDelays | None = None
        # By `clocks.now`, which also counts the time for which the machine was
        # suspended: the platform counts it, too.
        self._real_delays: host_delays.HostDelays | None = None

    async def run(self) -> None:
        """Keeps the clock; runs until cancelled."""
        self._delays = host_delays.HostDelays(trio.current_time())
        self._real_delays = host_delays.HostDelays(clocks.now())
        try:
            while True:
                await trio.sleep(host_delays.TICK_S)
                self._delays.record_tick(trio.current_time())
                delay_s = self._real_delays.record_tick(clocks.now())
                if delay_s:
                    self._metrics.record_time('host_delay', delay_s)
                if delay_s >= MIN_LOGGED_DELAY_S:
                    self._audit.log(
                        events.HOST_DELAYED, delay_s=round(delay_s, 3)
                    )
        finally:
            self._delays = None

    def now(self) -> float:
        """Returns the time in seconds, without delays of the host."""
        if self._delays is None:
            return trio.current_time()
        return self._delays.on_time(trio.current_time())

    def signal_late_s(self) -> float:
        """Returns how late a signal may be that is being handled, at most."""
        if self._real_delays is None:
            return 0.0
        now = clocks.now()
        return now - self._real_delays.earliest_signal_at(now)
