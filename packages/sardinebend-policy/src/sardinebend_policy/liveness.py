"""Which hosts of a fleet live, from life signs at first and second hand.

Ages are durations on the listeners' own clocks, so that clocks are never
compared. Second-hand ages let a host in a large fleet judge all others while
it hears only a few of them directly.
"""

import random
import typing

# A life sign goes out this often, to at most so many others.
BEAT_S: typing.Final = 0.25
BEAT_PEERS: typing.Final = 8
LARGE_BEAT_S: typing.Final = 0.5
LARGE_BEAT_PEERS: typing.Final = 3
# Hosts heard of that a life sign names, besides the sender.
HEARD_ITEMS: typing.Final = 20
# Life signs are datagrams and get lost; four in a row are no accident.
DEAD_AFTER_S: typing.Final = 1.2
LARGE_DEAD_AFTER_S: typing.Final = 4.0


class Sign(typing.NamedTuple):
    """When a start of a host was last known to live."""

    incarnation: str
    at: float


class Liveness:
    """Life signs of the other hosts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._signs: dict[str, Sign] = {}
        self._first_seen: dict[tuple[str, str], float] = {}

    def is_large(self, peers: int) -> bool:
        """Tells whether a fleet is too large to hear every host directly."""
        return peers > BEAT_PEERS

    def beat_every_s(self, peers: int) -> float:
        """Returns the time between two life signs."""
        return LARGE_BEAT_S if self.is_large(peers) else BEAT_S

    def choose_peers(self, names: typing.Sequence[str]) -> list[str]:
        """Returns to whom the next life sign goes."""
        if not self.is_large(len(names)):
            return list(names)
        return self._rng.sample(names, LARGE_BEAT_PEERS)

    def hear(self, name: str, incarnation: str, at: float) -> None:
        """Takes in that a host lived at a time."""
        known = self._signs.get(name)
        if known is None or at > known.at:
            self._signs[name] = Sign(incarnation, at)

    def digest(self, now: float) -> list[tuple[str, Sign]]:
        """Returns some of the hosts that live, to pass on."""
        alive = [
            item
            for item in self._signs.items()
            if now - item[1].at < LARGE_DEAD_AFTER_S
        ]
        if len(alive) > HEARD_ITEMS:
            return self._rng.sample(alive, HEARD_ITEMS)
        return alive

    def is_alive(
        self, name: str, incarnation: str, now: float, peers: int
    ) -> bool:
        """Tells whether a listed start of a host is taken to live.

        One that has just been seen for the first time gets the benefit of the
        doubt until its first life sign is due.
        """
        limit_s = LARGE_DEAD_AFTER_S if self.is_large(peers) else DEAD_AFTER_S
        since = self._first_seen.setdefault((name, incarnation), now)
        sign = self._signs.get(name)
        heard_at = sign.at if sign else float('-inf')
        if sign is not None and sign.incarnation != incarnation:
            # Its row and its life sign name two starts; the row may lag.
            return now - heard_at < limit_s
        return now - max(since, heard_at) < limit_s

    def forget(self, known: typing.Collection[tuple[str, str]]) -> None:
        """Drops hosts that are no longer listed."""
        kept = set(known)
        names = {name for name, _ in kept}
        for key in set(self._first_seen) - kept:
            del self._first_seen[key]
        for name in set(self._signs) - names:
            del self._signs[name]
