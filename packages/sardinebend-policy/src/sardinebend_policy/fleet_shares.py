"""What all hosts have in flight, by service, rank and customer.

Each host counts its own streams and reports the totals with its heartbeats.
Customers and services are named by a hash there. The totals of hosts that
aren't heard are assumed to equal the mean of those that are.
"""

import typing
import zlib

from sardinebend_policy import errors
from sardinebend_policy import inflight

MAX_RANK: typing.Final = 9
# Ranks and customers in one report, over all services. Ranks are always
# reported; so are this many customers.
MAX_REPORTED_ITEMS: typing.Final = 36
MIN_REPORTED_CUSTOMERS: typing.Final = 8
# More than a request can have, so that no caller's header spoils a report.
MAX_REQUEST_TOKENS: typing.Final = 10**8
# More than any host can have in flight.
MAX_REQUESTS: typing.Final = 10**6
MAX_TOKENS: typing.Final = MAX_REQUEST_TOKENS * 10**4


class Use(typing.NamedTuple):
    """Requests in flight, and their prompt and expected answer tokens."""

    requests: int
    tokens: int

    def add(self, other: 'Use') -> 'Use':
        """Returns the sum of both."""
        return Use(self.requests + other.requests, self.tokens + other.tokens)

    def scale(self, factor: float) -> 'Use':
        """Returns a multiple, rounded."""
        return Use(round(self.requests * factor), round(self.tokens * factor))


NO_USE: typing.Final = Use(0, 0)

_Key = typing.TypeVar('_Key', int, str)


class ServiceShares(typing.NamedTuple):
    """What one host has in flight for a service.

    Attributes:
        service: Hash of the service's name.
        ranks: Use by rank; all requests are in it.
        customers: Use by hash of the customer's name, of the customers with
            the most tokens.
    """

    service: int
    ranks: tuple[tuple[int, Use], ...]
    customers: tuple[tuple[int, Use], ...]


Report = tuple[ServiceShares, ...]


class ShareView(typing.NamedTuple):
    """What all hosts together have in flight for a service.

    Attributes:
        by_rank: Use by rank.
        by_customer: Use by customer; '' stands for callers without a key.
        others: Use of customers that hosts reported as one sum, or that this
            host's configuration doesn't name.
        age_s: Age of the oldest report that counts; 0 if none does.
        heard_hosts: Number of other hosts whose reports count.
    """

    by_rank: dict[int, Use]
    by_customer: dict[str, Use]
    others: Use
    age_s: float
    heard_hosts: int


class _Totals:
    """Use by rank and by customer."""

    def __init__(self) -> None:
        self.ranks: dict[int, Use] = {}
        self.customers: dict[str, Use] = {}
        self.others = NO_USE


class _PeerShares(typing.NamedTuple):
    """A peer's report, by hash of the service, and when it was received."""

    at: float
    services: dict[int, ServiceShares]


def hash_name(name: str) -> int:
    """Returns the hash that stands for a customer or service in reports."""
    return zlib.crc32(name.encode())


class FleetShares:
    """Counts this host's use and adds what its peers report."""

    def __init__(self) -> None:
        self._own: dict[str, _Totals] = {}
        self._peers: dict[str, _PeerShares] = {}
        # Sums of the peers' reports by service, until one is added or dropped.
        self._sums: dict[str, _Totals] = {}
        self._shared_services: tuple[str, ...] = ()
        self._names: dict[int, str] = {hash_name(''): ''}

    def configure(
        self,
        services: typing.Iterable[str],
        customers: typing.Iterable[str],
    ) -> None:
        """Sets what the configuration in force says.

        Args:
            services: Services whose shares are reported to peers.
            customers: Names of all customers. Of two with the same hash the
                first in order stands for both.
        """
        self._shared_services = tuple(sorted(services))
        self._names = {hash_name(''): ''}
        for name in sorted(customers):
            self._names.setdefault(hash_name(name), name)
        self._sums.clear()

    def begin(
        self, service: str, rank: int, customer: str, tokens: int
    ) -> None:
        """Counts a request that begins to run."""
        totals = self._own.setdefault(service, _Totals())
        use = Use(1, _clamp_tokens(tokens))
        _add(totals.ranks, _clamp_rank(rank), use)
        _add(totals.customers, customer, use)

    def end(self, service: str, rank: int, customer: str, tokens: int) -> None:
        """Stops counting a request; the arguments are those of `begin`."""
        totals = self._own.get(service)
        if totals is None:
            return
        use = Use(1, _clamp_tokens(tokens))
        _subtract(totals.ranks, _clamp_rank(rank), use)
        _subtract(totals.customers, customer, use)
        if not totals.ranks and not totals.customers:
            del self._own[service]

    def own(self, service: str) -> dict[int, Use]:
        """Returns what this host has in flight, by rank."""
        totals = self._own.get(service)
        return dict(totals.ranks) if totals else {}

    def report(self) -> Report | None:
        """Returns what to report to peers.

        Returns:
            The use of each service, an empty report if nothing is in flight,
            or `None` if the configuration calls for none.
        """
        if not self._shared_services:
            return None
        used = [name for name in self._shared_services if name in self._own]
        ranks = sum(len(self._own[name].ranks) for name in used)
        largest = sorted(
            (
                (use.tokens, name, customer)
                for name in used
                for customer, use in self._own[name].customers.items()
            ),
            reverse=True,
        )[: max(MIN_REPORTED_CUSTOMERS, MAX_REPORTED_ITEMS - ranks)]
        return tuple(
            ServiceShares(
                hash_name(name),
                tuple(sorted(self._own[name].ranks.items())),
                tuple(
                    (hash_name(customer), self._own[name].customers[customer])
                    for _, service, customer in largest
                    if service == name
                ),
            )
            for name in used
        )

    def record_peer(self, host: str, report: Report | None, now: float) -> None:
        """Records the report of a peer, in place of its last one.

        Args:
            host: The peer.
            report: Its report; `None` if it sends none, as hosts of the
                previous release do. Its use is then estimated.
            now: The time.

        Raises:
            errors.InvalidArgument: A count is negative or beyond all sense. The
                report doesn't count, and the peer's last one neither.
        """
        self._peers.pop(host, None)
        self._sums.clear()
        if report is None:
            return
        for shares in report:
            for _, use in (*shares.ranks, *shares.customers):
                if not _is_plausible(use):
                    raise errors.InvalidArgument(
                        'shares',
                        use,
                        f'from 0 to {MAX_REQUESTS} requests and {MAX_TOKENS}'
                        ' tokens',
                    )
        self._drop_expired(now)
        services = {shares.service: shares for shares in report}
        self._peers[host] = _PeerShares(now, services)

    def view(self, service: str, now: float, live_hosts: int) -> ShareView:
        """Returns what all hosts have in flight for a service.

        Args:
            service: The service.
            now: The time.
            live_hosts: Number of live hosts, this one included. Those without
                a current report are assumed to have as much in flight as those
                with one have on average, or as this host if there is none.
        """
        self._drop_expired(now)
        own = self._own.get(service) or _Totals()
        heard = len(self._peers)
        factor = float(max(1, live_hosts))
        if not heard:
            return ShareView(
                {rank: use.scale(factor) for rank, use in own.ranks.items()},
                {
                    name: use.scale(factor)
                    for name, use in own.customers.items()
                },
                NO_USE,
                0.0,
                0,
            )
        factor = max(1.0, (live_hosts - 1) / heard)
        peers = self._sums.get(service)
        if peers is None:
            peers = self._sums[service] = self._sum_peers(service)
        # Oldest first: a report is put at the end when it is recorded.
        oldest = next(iter(self._peers.values()))
        return ShareView(
            _join(own.ranks, peers.ranks, factor),
            _join(own.customers, peers.customers, factor),
            peers.others.scale(factor),
            max(0.0, now - oldest.at),
            heard,
        )

    def _drop_expired(self, now: float) -> None:
        while self._peers:
            host, oldest = next(iter(self._peers.items()))
            if now - oldest.at <= inflight.PEER_COUNTS_TTL_S:
                return
            del self._peers[host]
            self._sums.clear()

    def _sum_peers(self, service: str) -> _Totals:
        totals = _Totals()
        hashed = hash_name(service)
        for peer in self._peers.values():
            shares = peer.services.get(hashed)
            if shares is None:
                continue
            all_use = named = NO_USE
            for rank, use in shares.ranks:
                _add(totals.ranks, _clamp_rank(rank), use)
                all_use = all_use.add(use)
            for customer, use in shares.customers:
                name = self._names.get(customer)
                if name is not None:
                    _add(totals.customers, name, use)
                    named = named.add(use)
            totals.others = totals.others.add(
                Use(
                    max(0, all_use.requests - named.requests),
                    max(0, all_use.tokens - named.tokens),
                )
            )
        return totals


def _clamp_rank(rank: int) -> int:
    return max(0, min(MAX_RANK, rank))


def _clamp_tokens(tokens: int) -> int:
    return max(0, min(MAX_REQUEST_TOKENS, tokens))


def _is_plausible(use: Use) -> bool:
    return 0 <= use.requests <= MAX_REQUESTS and 0 <= use.tokens <= MAX_TOKENS


def _add(totals: dict[_Key, Use], key: _Key, use: Use) -> None:
    totals[key] = totals.get(key, NO_USE).add(use)


def _subtract(totals: dict[_Key, Use], key: _Key, use: Use) -> None:
    old = totals.get(key, NO_USE)
    if old.requests <= use.requests:
        totals.pop(key, None)
    else:
        totals[key] = Use(
            old.requests - use.requests, max(0, old.tokens - use.tokens)
        )


def _join(
    own: dict[_Key, Use], peers: dict[_Key, Use], factor: float
) -> dict[_Key, Use]:
    joined = {key: use.scale(factor) for key, use in peers.items()}
    for key, use in own.items():
        _add(joined, key, use)
    return joined
