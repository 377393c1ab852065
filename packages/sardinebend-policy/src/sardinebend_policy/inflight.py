"""Load of the endpoints, counted by the hosts that send the requests.

All requests to the endpoints come from this system, so the hosts' own counts
are more current than what endpoints report. Each host counts its own requests
and adds the totals that its peers report.
"""

import math
import types
import typing

from sardinebend_policy import paths

# Time for which the last totals of a peer count.
PEER_COUNTS_TTL_S: typing.Final = 3.0


# Time over which traffic between failure domains is averaged.
CROSSING_WINDOW_S: typing.Final = 2.0


class PeerCounts(typing.NamedTuple):
    """Totals reported by a peer.

    Attributes:
        at: When they were received.
        requests: Requests by endpoint.
        token_layers: Memory by endpoint, in tokens x layers.
        crossing_tokens: Prompt tokens a second sent between domains.
        reading_token_layers: Prompt tokens x layers by endpoint of requests
            without a first event.
        first_requests: Requests by the endpoint that their path begins with.
    """

    at: float
    requests: dict[str, int]
    token_layers: dict[str, int]
    crossing_tokens: float = 0.0
    reading_token_layers: typing.Mapping[str, int] = types.MappingProxyType({})
    first_requests: typing.Mapping[str, int] = types.MappingProxyType({})


def count_crossings(path: paths.Path, kept: paths.Path = ()) -> int:
    """Returns how often a prompt crosses between failure domains.

    Args:
        path: The path.
        kept: Parts that hold the prompt already; crossings between two of
            them don't count.
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
        self._rate = 0.0
        self._at = 0.0

    def add(
        self,
        path: paths.Path,
        tokens: int,
        now: float,
        kept: paths.Path = (),
    ) -> None:
        """Counts a prompt sent along a path, except between kept parts."""
        self._rate = self.read(now)
        self._rate += count_crossings(path, kept) * tokens / CROSSING_WINDOW_S
        self._at = now

    def read(self, now: float) -> float:
        """Returns the rate, which decays exponentially without traffic."""
        return self._rate * math.exp(-(now - self._at) / CROSSING_WINDOW_S)


class InFlight:
    """Totals of running requests by endpoint.

    Attributes:
        requests: Own requests.
        token_layers: Memory that they take, in tokens x layers.
        reading_token_layers: Prompt tokens x layers of those own requests whose
            first event hasn't come.
        first_requests: Those own requests whose path begins at an endpoint, of
            services where that is in the cost of paths.
        read_rates: Prompt tokens x layers that an endpoint reads in a second,
            as published; for endpoints whose reading is in the cost of paths.
        slowness: Factor by which an endpoint is slower than published.
    """

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.token_layers: dict[str, int] = {}
        self.reading_token_layers: dict[str, int] = {}
        self.first_requests: dict[str, int] = {}
        self.read_rates: dict[str, float] = {}
        self.slowness: dict[str, float] = {}
        self.crossings = CrossingRate()
        self._peers: dict[str, PeerCounts] = {}

    def add(self, path: paths.Path, tokens: int) -> None:
        """Counts a request along its path."""
        _change(self.requests, path, 1)
        _change_layers(self.token_layers, path, tokens)

    def remove(self, path: paths.Path, tokens: int) -> None:
        """Stops counting a request along its path."""
        _change(self.requests, path, -1)
        _change_layers(self.token_layers, path, -tokens)

    def add_first(self, path: paths.Path) -> None:
        """Counts a request at the first endpoint of its path."""
        _change(self.first_requests, path[:1], 1)

    def remove_first(self, path: paths.Path) -> None:
        """Stops counting a request at the first endpoint of its path."""
        _change(self.first_requests, path[:1], -1)

    def begin_reading(self, path: paths.Path, tokens: int) -> None:
        """Counts tokens that the parts of a path are to read."""
        _change_layers(self.reading_token_layers, path, tokens)

    def end_reading(self, path: paths.Path, tokens: int) -> None:
        """Stops counting tokens that were read, or that never will be."""
        _change_layers(self.reading_token_layers, path, -tokens)

    def forget(self, listed: typing.Collection[str]) -> None:
        """Drops the read rates of all endpoints except those named."""
        for name in self.read_rates.keys() - set(listed):
            del self.read_rates[name]

    def record_peer_counts(self, peer: str, counts: PeerCounts) -> None:
        """Records the totals of a peer."""
        self._peers[peer] = counts

    def loads(self, now: float, hosts: int = 1) -> dict[str, paths.Load]:
        """Returns the load of each endpoint over all hosts.

        Args:
            now: The time.
            hosts: Hosts in the fleet. Those without current totals are
                assumed to send as much as the others on average.
        """
        requests: dict[str, float] = dict(self.requests)
        layers: dict[str, float] = dict(self.token_layers)
        reading: dict[str, float] = dict(self.reading_token_layers)
        first: dict[str, float] = dict(self.first_requests)
        reporting = 1
        for peer, counts in list(self._peers.items()):
            if now - counts.at > PEER_COUNTS_TTL_S:
                del self._peers[peer]
                continue
            reporting += 1
            _add(requests, counts.requests)
            _add(layers, counts.token_layers)
            _add(reading, self._unread(counts, now))
            _add(first, counts.first_requests)
        scale = max(1.0, hosts / reporting)
        names = requests.keys() | self.slowness.keys()
        return {
            name: paths.Load(
                requests.get(name, 0) * scale,
                layers.get(name, 0) * scale,
                self.slowness.get(name, 1.0),
                reading.get(name, 0) * scale,
                first.get(name, 0) * scale,
            )
            for name in names
        }

    def _unread(self, counts: PeerCounts, now: float) -> dict[str, float]:
        """Returns what can't have been read since a peer reported it.

        Endpoints of unknown rate are left out.
        """
        unread = {}
        for name, number in counts.reading_token_layers.items():
            if name in self.read_rates:
                rate = self.read_rates[name] / self.slowness.get(name, 1.0)
                unread[name] = max(0.0, number - (now - counts.at) * rate)
        return unread

    def crossing_tokens(self, now: float, hosts: int = 1) -> float:
        """Returns the rate of prompt tokens between domains, of all hosts."""
        reporting = [
            counts
            for counts in self._peers.values()
            if now - counts.at <= PEER_COUNTS_TTL_S
        ]
        own = self.crossings.read(now)
        if not reporting:
            return own * max(1, hosts)
        # This host's own rate is known, so only the peers' rates are scaled up;
        # otherwise each of its own prompts would count as one prompt of every
        # host.
        others = sum(counts.crossing_tokens for counts in reporting)
        return own + others * max(1.0, (hosts - 1) / len(reporting))


def _change(totals: dict[str, int], path: paths.Path, amount: int) -> None:
    for part in path:
        _change_total(totals, part.endpoint.endpoint_id, amount)


def _change_layers(
    totals: dict[str, int], path: paths.Path, tokens: int
) -> None:
    for part in path:
        amount = tokens * part.span.size
        _change_total(totals, part.endpoint.endpoint_id, amount)


def _change_total(totals: dict[str, int], name: str, amount: int) -> None:
    total = totals.get(name, 0) + amount
    if total > 0:
        totals[name] = total
    else:
        totals.pop(name, None)


def _add(totals: dict[str, float], more: typing.Mapping[str, float]) -> None:
    for name, number in more.items():
        totals[name] = totals.get(name, 0) + number
