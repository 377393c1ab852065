"""Virtual clock with a queue of scheduled actions."""

import heapq
import typing

Action = typing.Callable[[], None]


class Agenda:
    """Runs actions in order of time; ties run in the order of scheduling.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._entries: list[tuple[float, int, Action]] = []
        self._count = 0

    def schedule_at(self, time: float, action: Action) -> None:
        """Schedules an action; a time in the past is taken as now."""
        self._count += 1
        heapq.heappush(
            self._entries, (max(time, self.now), self._count, action)
        )

    def schedule_after(self, delay_s: float, action: Action) -> None:
        """Schedules an action after a delay."""
        self.schedule_at(self.now + delay_s, action)

    def run_until(self, until: float) -> None:
        """Runs all actions due up to a time and sets the clock to it."""
        while self._entries and self._entries[0][0] <= until:
            self.now, _, action = heapq.heappop(self._entries)
            action()
        self.now = until
