"""Work that endpoints have, as the hosts that sent it know.

All work on the endpoints comes from this system, so the hosts' own counts are
fresher than what endpoints report. Each host counts its own requests and takes
in the sums of its peers.
"""

import typing

from sardinebend_policy import paths

# What a peer said last counts until it has been silent for this long.
PEER_LIFE_S: typing.Final = 3.0


class PeerCounts(typing.NamedTuple):
    """A peer's sums: requests and token-layers by endpoint."""

    at: float
    requests: dict[str, int]
    token_layers: dict[str, int]


class InFlight:
    """Sums of running requests by endpoint."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.token_layers: dict[str, int] = {}
        self.slowness: dict[str, float] = {}
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
