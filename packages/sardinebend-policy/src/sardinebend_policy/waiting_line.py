"""The line of a host's requests that wait for room at a service's engines.

The first in line searches for a path. If it finds no room, those behind it may
be tried that need less; only while the first one has time left to wait, so
that small requests don't keep large ones from ever being served.
"""

import enum
import math
import typing

from sardinebend_policy import fair_queue

# Rank of a stream that has begun and needs another path.
BEGUN: typing.Final = -1
# Requests that are tried for each time that the line is served.
MAX_TRIES: typing.Final = 4
# Share of its wait for which the first in line lets smaller ones pass.
PASSING_SHARE: typing.Final = 0.5


class Outcome(enum.Enum):
    """What a request in line found.

    Attributes:
        FOUND: A path.
        NO_ROOM: No path with room for it; smaller ones may find one.
        HELD: Room that is left to more urgent ones.
        BARRED: No path that it may take, which says nothing of the others.
    """

    FOUND = 'found'
    NO_ROOM = 'no room'
    HELD = 'held'
    BARRED = 'barred'


class _Waiting(typing.NamedTuple):
    tokens: float
    passes_until: float


class WaitingLine:
    """Requests that wait, by rank, customer's share in tokens, and age."""

    def __init__(self) -> None:
        self._queue = fair_queue.FairQueue()
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def join(
        self, entry: fair_queue.Entry, tokens: float, wait_s: float, now: float
    ) -> None:
        """Adds a request to the line.

        Args:
            entry: The request; a begun stream has the rank `BEGUN`.
            tokens: Tokens that it is expected to reach.
            wait_s: How long it waits at most.
            now: The time.
        """
        self._queue.add(entry)
        passes_until = now + wait_s * PASSING_SHARE
        self._waiting[entry.request_id] = _Waiting(tokens, passes_until)

    def leave(self, request_id: str) -> None:
        """Removes a request; does nothing if it isn't in line any more."""
        self._queue.remove(request_id)
        self._waiting.pop(request_id, None)

    def count_ahead(self, request_id: str) -> int:
        """Returns how many requests are ahead of one in line."""
        ahead = 0
        for entry in self._queue.in_order():
            if entry.request_id == request_id:
                return ahead
            ahead += 1
        return ahead

    def is_first(self, request_id: str) -> bool:
        """Returns whether a request is the first in line."""
        first = next(self._queue.in_order(), None)
        return first is not None and first.request_id == request_id

    def serve(
        self, now: float, try_path: typing.Callable[[str], Outcome]
    ) -> list[str]:
        """Lets requests look for room, in order.

        Args:
            now: The time.
            try_path: Searches for a path for a request.

        Returns:
            Those that found one. They have left the line.
        """
        tokens_without_room = math.inf
        found = []
        tries = 0
        for entry in self._queue.in_order():
            waiting = self._waiting[entry.request_id]
            if waiting.tokens >= tokens_without_room:
                continue
            tries += 1
            outcome = try_path(entry.request_id)
            if outcome is Outcome.FOUND:
                found.append(entry)
            elif outcome is Outcome.HELD:
                # All that follow are as urgent or less.
                break
            elif outcome is Outcome.NO_ROOM:
                if now >= waiting.passes_until:
                    break
                tokens_without_room = waiting.tokens
            if tries >= MAX_TRIES:
                break
        for entry in found:
            self._queue.start(entry)
            del self._waiting[entry.request_id]
        return [entry.request_id for entry in found]
