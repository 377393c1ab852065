"""What hosts tell each other with their life signs, each for a short while."""

import typing

# Life signs reach 360 hosts, two at a time each half second, in some 4 s.
TOLD_S: typing.Final = 6.0
# Longer than any host goes on telling of what this one has forgotten.
SEEN_S: typing.Final = 60.0
# With some 70 bytes each, 16 items fit into a datagram beside the rest.
MAX_TOLD: typing.Final = 16
MAX_SEEN: typing.Final = 10_000

Item = typing.TypeVar('Item', bound=typing.Hashable)


class News(typing.Generic[Item]):
    """Items that have been seen or heard, and those still to be told."""

    def __init__(self, seen_s: float = SEEN_S) -> None:
        self._seen: dict[Item, float] = {}
        self._seen_s = seen_s

    def add(self, item: Item, now: float) -> bool:
        """Takes in an item; returns whether it is new."""
        if item in self._seen:
            return False
        self._seen[item] = now
        if len(self._seen) > MAX_SEEN:
            self._seen.pop(next(iter(self._seen)))
        return True

    def recent(self, now: float) -> list[Item]:
        """Returns the newest items, oldest first."""
        told = [item for item, at in self._seen.items() if now - at < TOLD_S]
        return told[-MAX_TOLD:]

    def forget_old(self, now: float) -> None:
        """Drops what no host tells of any more."""
        self._seen = {
            k: at for k, at in self._seen.items() if now - at < self._seen_s
        }
