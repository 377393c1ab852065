"""Compares the events of a stream with what its engines are said to take."""

import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_policy import paths as paths_lib

# Events that may come together, since what has arrived is passed on at a time.
# The mean over some of them tells more than one gap.
WINDOW_EVENTS: typing.Final = 4


class StreamPace:
    """Tells the host's table of slow engines what a stream shows of them."""

    def __init__(self, exchange: exchange_lib.Exchange) -> None:
        self._state = exchange.state
        service = exchange.admitted.service
        # A service whose engines hold no layers has no paths to choose from.
        self._engine = (
            service.engine if self._state.watches_slowness(service) else None
        )
        self._gap_target_s = exchange.admitted.route.gap_target_s
        self._path: paths_lib.Path = ()
        self._window_from = 0.0
        self._window_events = 0

    def record_event(
        self, path: paths_lib.Path, waited_s: float | None
    ) -> None:
        """Records an event.

        Args:
            path: The path that the request runs along.
            waited_s: Time since the event before, without delays of the host;
                `None` for the first one, whose prompt had to be read.
        """
        if self._engine is None:
            return
        now = trio.current_time()
        if waited_s is None or path != self._path:
            self._begin_window(path, now)
            return
        clock = self._state.host_clock
        self.record_wait(path, waited_s)
        self._window_events += 1
        if self._window_events < WINDOW_EVENTS:
            return
        mean_s = (now - self._window_from) / self._window_events
        if (
            self._state.slowness.has_suspects
            and mean_s <= self._gap_target_s
            and clock.was_on_time_since(self._window_from)
        ):
            self._state.slowness.record_events(
                self._engine, path, mean_s, clocks.now()
            )
        self._begin_window(path, now)

    def record_wait(self, path: paths_lib.Path, waited_s: float) -> None:
        """Records for how long a stream has waited for its next event.

        Args:
            path: The path that the request runs along.
            waited_s: Time since the event before, without delays of the host.
        """
        if self._engine is None or waited_s <= self._gap_target_s:
            return
        since = trio.current_time() - waited_s
        if self._state.host_clock.was_on_time_since(since):
            self._state.slowness.record_late_event(
                self._engine, path, waited_s, self._state.loads(), clocks.now()
            )

    def _begin_window(self, path: paths_lib.Path, now: float) -> None:
        self._path = path
        self._window_from = now
        self._window_events = 0
