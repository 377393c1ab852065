"""Gossip: items that hosts send with their heartbeats for a short time."""

import typing

# Time for which an item is sent. Heartbeats, which go to two hosts each half
# second, spread an item over 360 hosts in about 4 s.
SEND_FOR_S: typing.Final = 6.0
# Time for which an item is retained. It is longer than any other host may go on
# sending the item, so that a forgotten item doesn't count as new again.
RETAIN_S: typing.Final = 60.0
# At about 70 bytes each, 16 items fit into a datagram beside the other fields.
MAX_SENT: typing.Final = 16
MAX_RETAINED: typing.Final = 10_000

Item = typing.TypeVar('Item', bound=typing.Hashable)


class GossipItems(typing.Generic[Item]):
    """Items that were observed or received, and those still to be sent."""

    def __init__(self, retain_s: float = RETAIN_S) -> None:
        self._seen: dict[Item, float] = {}
        self._retain_s = retain_s

    def add(self, item: Item, now: float) -> bool:
        """Records an item; returns whether it is new."""
        if item in self._seen:
            return False
        self._seen[item] = now
        if len(self._seen) > MAX_RETAINED:
            self._seen.pop(next(iter(self._seen)))
        return True

    def recent(self, now: float) -> list[Item]:
        """Returns the newest items to send, oldest first."""
        current = [
            item for item, at in self._seen.items() if now - at < SEND_FOR_S
        ]
        return current[-MAX_SENT:]

    def drop_expired(self, now: float) -> None:
        """Drops items that no host sends any more."""
        self._seen = {
            k: at for k, at in self._seen.items() if now - at < self._retain_s
        }
