"""Work that endpoints have, as the hosts that sent it know.

All work on the endpoints comes from this system, so the hosts' own counts are
fresher than what endpoints report. Each host counts its own requests and takes
in the sums of its peers.
"""

import math
import typing

from sardinebend_policy import paths

# What a peer said last counts until it has been silent for this long.
PEER_LIFE_S: typing.Final = 3.0


# Time over which traffic between failure domains is averaged.
CROSSING_WINDOW_S: typing.Final = 2.0


class PeerCounts(typing.NamedTuple):
    """A peer's sums.

    Attributes:
        at: When they came.
        requests: Requests by endpoint.
        token_layers: Memory by endpoint, in tokens x layers.
        crossing_tokens: Prompt tokens a second sent between domains.
    """

    at: float
    requests: dict[str, int]
    token_layers: dict[str, int]
    crossing_tokens: float = 0.0


def count_crossings(path: paths.Path, kept: paths.Path = ()) -> int:
    """Returns how often a prompt goes from one failure domain to another.

    Args:
        path: The path.
        kept: Parts that hold the prompt already; only the ways to and from
            the other parts count.
    """
    known = set(kept)
    return sum(
        one.endpoint.domain != other.endpoint.domain
        and not (one in known and other in known)
        for one, other in zip(path, path[1:], strict=False)
    )


class CrossingRate:
    """Prompt tokens a second that this host sends between domains."""

    def __init__(self) -> None:
        self._level = 0.0
        self._at = 0.0

    def add(
        self,
        path: paths.Path,
        tokens: int,
        now: float,
        kept: paths.Path = (),
    ) -> None:
        """Counts a prompt that is sent along a path, but for kept parts."""
        self._level = self.read(now)
        self._level += count_crossings(path, kept) * tokens / CROSSING_WINDOW_S
        self._at = now

    def read(self, now: float) -> float:
        """Returns the rate."""
        return self._level * math.exp(-(now - self._at) / CROSSING_WINDOW_S)


class InFlight:
    """Sums of running requests by endpoint."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.token_layers: dict[str, int] = {}
        self.slowness: dict[str, float] = {}
        self.crossings = CrossingRate()
        self._peers: dict[str, PeerCounts] = {}

    def add(self, path: paths.Path, tokens: int) -> None:
        """Counts a request along its path."""
        self._change(path, tokens, 1)

    def remove(self, path: paths.Path, tokens: int) -> None:
        """Stops counting a request along its path."""
        self._change(path, tokens, -1)

    def hear(self, peer: str, counts: PeerCounts) -> None:
        """Takes in a peer's sums."""
        self._peers[peer] = counts

    def loads(self, now: float, hosts: int = 1) -> dict[str, paths.Load]:
        """Returns the load of each endpoint over all hosts.

        Args:
            now: The time.
            hosts: Hosts in the fleet. Those that haven't been heard are
                taken to send as much as the ones that have.
        """
        requests: dict[str, float] = dict(self.requests)
        layers: dict[str, float] = dict(self.token_layers)
        heard = 1
        for peer, counts in list(self._peers.items()):
            if now - counts.at > PEER_LIFE_S:
                del self._peers[peer]
                continue
            heard += 1
            for name, number in counts.requests.items():
                requests[name] = requests.get(name, 0) + number
            for name, number in counts.token_layers.items():
                layers[name] = layers.get(name, 0) + number
        scale = max(1.0, hosts / heard)
        names = requests.keys() | self.slowness.keys()
        return {
            name: paths.Load(
                requests.get(name, 0) * scale,
                layers.get(name, 0) * scale,
                self.slowness.get(name, 1.0),
            )
            for name in names
        }

    def crossing_tokens(self, now: float, hosts: int = 1) -> float:
        """Returns the prompt tokens a second between domains, of all hosts."""
        heard = [
            counts
            for counts in self._peers.values()
            if now - counts.at <= PEER_LIFE_S
        ]
        own = self.crossings.read(now)
        if not heard:
            return own * max(1, hosts)
        # This host's own prompts are known, so only the others' are scaled:
        # one of its own must not look like one of each host.
        others = sum(counts.crossing_tokens for counts in heard)
        return own + others * max(1.0, (hosts - 1) / len(heard))

    def _change(self, path: paths.Path, tokens: int, sign: int) -> None:
        for part in path:
            name = part.endpoint.endpoint_id
            for sums, amount in (
                (self.requests, 1),
                (self.token_layers, tokens * part.span.size),
            ):
                left = sums.get(name, 0) + sign * amount
                if left > 0:
                    sums[name] = left
                else:
                    sums.pop(name, None)
