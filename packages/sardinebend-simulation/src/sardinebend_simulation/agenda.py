"""A virtual clock and what is due on it."""

import heapq
import typing

Action = typing.Callable[[], None]


class Agenda:
    """Actions by time; those of one time run in the order of their entry.

    Attributes:
        now: The time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._entries: list[tuple[float, int, Action]] = []
        self._count = 0

    def at(self, time: float, action: Action) -> None:
        """Enters an action; one that is overdue runs next."""
        self._count += 1
        heapq.heappush(
            self._entries, (max(time, self.now), self._count, action)
        )

    def after(self, delay_s: float, action: Action) -> None:
        """Enters an action for a time from now."""
        self.at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Runs what is due until a time."""
        while self._entries and self._entries[0][0] <= until:
            self.now, _, action = heapq.heappop(self._entries)
            action()
        self.now = until
