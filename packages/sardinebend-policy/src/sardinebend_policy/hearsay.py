"""What other hosts say of endpoints that they can't reach.

One host that is cut off itself can't reach any endpoint, so an endpoint is
passed over on others' word only if several hosts say the same.
"""

import typing

# Hosts whose word is needed.
HOSTS_NEEDED: typing.Final = 2
# Word that is older says nothing of now.
LIFE_S: typing.Final = 4.0

Incarnation = tuple[str, int]


class Hearsay:
    """Starts of endpoints that other hosts can't reach, and who says so."""

    def __init__(self) -> None:
        self._heard: dict[Incarnation, dict[str, float]] = {}

    def hear(self, start: Incarnation, host: str, now: float) -> bool:
        """Takes in what a host says; returns whether enough hosts say it."""
        by_host = self._heard.setdefault(start, {})
        by_host[host] = now
        fresh = sum(now - at < LIFE_S for at in by_host.values())
        return fresh >= HOSTS_NEEDED

    def forget_old(self, now: float) -> None:
        """Drops what is too old to count."""
        for start, by_host in list(self._heard.items()):
            if all(now - at >= LIFE_S for at in by_host.values()):
                del self._heard[start]
