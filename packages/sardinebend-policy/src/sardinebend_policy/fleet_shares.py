"""What all hosts have in flight, by service, rank and customer.

Each host counts its own streams and reports the totals with its heartbeats.
Customers and services are named by a hash there. The totals of hosts that
aren't heard are assumed to equal the mean of those that are.
"""

import array
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

    def subtract(self, other: 'Use') -> 'Use':
        """Returns the difference, with 0 in place of a negative number."""
        return Use(
            max(0, self.requests - other.requests),
            max(0, self.tokens - other.tokens),
        )

    def scale(self, factor: float) -> 'Use':
        """Returns a multiple, rounded."""
        return Use(round(self.requests * factor), round(self.tokens * factor))


NO_USE: typing.Final = Use(0, 0)

_Key = typing.TypeVar('_Key', int, str)
# Key, requests and tokens in turn; takes less memory than tuples.
_Numbers: typing.TypeAlias = 'array.array[int]'


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
    others: Use = NO_USE
    age_s: float = 0.0
    heard_hosts: int = 0

    def urgent_share(self, rank: int) -> float:
        """Returns the share of the requests that are more urgent than a rank.

        It is 0 if nothing is in flight.
        """
        total = sum(use.requests for use in self.by_rank.values())
        urgent = sum(u.requests for r, u in self.by_rank.items() if r < rank)
        return urgent / total if total > 0 else 0.0


class _Totals(typing.Generic[_Key]):
    """Use by rank and by customer."""

    def __init__(self) -> None:
        self.ranks: dict[int, Use] = {}
        self.customers: dict[_Key, Use] = {}


class _ScaledSums(typing.NamedTuple):
    """The peers' use of a service times a factor, as in `ShareView`."""

    factor: float
    ranks: dict[int, Use]
    customers: dict[str, Use]
    others: Use


class _PeerShares(typing.NamedTuple):
    """A peer's report and when it was received.

    Attributes:
        at: The time.
        services: Use by rank and by customer, by hash of the service.
    """

    at: float
    services: dict[int, tuple[_Numbers, _Numbers]]


def hash_name(name: str) -> int:
    """Returns the hash that stands for a customer or service in reports."""
    return zlib.crc32(name.encode())


class FleetShares:
    """Counts this host's use and adds what its peers report.

    Attributes:
        shared_services: Services whose shares are reported to peers.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Totals[str]] = {}
        # In the order of receipt.
        self._peers: dict[str, _PeerShares] = {}
        # Sums of these, by hash of the service and of the customer.
        self._sums: dict[int, _Totals[int]] = {}
        # Multiples of these by service, until they change.
        self._scaled: dict[str, _ScaledSums] = {}
        self.shared_services: tuple[str, ...] = ()
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
        self.shared_services = tuple(sorted(services))
        self._names = {hash_name(''): ''}
        for name in sorted(customers):
            self._names.setdefault(hash_name(name), name)
        self._scaled.clear()

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
        if not self.shared_services:
            return None
        used = [name for name in self.shared_services if name in self._own]
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
        self._drop(host)
        self._drop_expired(now)
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
        peer = _PeerShares(
            now,
            {
                shares.service: (
                    _flatten(shares.ranks),
                    _flatten(shares.customers),
                )
                for shares in report
            },
        )
        self._peers[host] = peer
        self._add_to_sums(peer, 1)

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
        own = self._own.get(service) or _Totals[str]()
        heard = len(self._peers)
        if not heard:
            factor = float(max(1, live_hosts))
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
        # This host's own use is known, so only the peers' is scaled up.
        factor = max(1.0, (live_hosts - 1) / heard)
        peers = self._scale_peers(service, factor)
        by_rank = dict(peers.ranks)
        for rank, use in own.ranks.items():
            _add(by_rank, rank, use)
        by_customer = dict(peers.customers)
        for name, use in own.customers.items():
            _add(by_customer, name, use)
        return ShareView(
            by_rank,
            by_customer,
            peers.others,
            max(0.0, now - next(iter(self._peers.values())).at),
            heard,
        )

    def _scale_peers(self, service: str, factor: float) -> _ScaledSums:
        """Returns a multiple of the peers' sums, with customers by name."""
        scaled = self._scaled.get(service)
        if scaled is not None and scaled.factor == factor:
            return scaled
        sums = self._sums.get(hash_name(service)) or _Totals[int]()
        others = NO_USE
        for use in sums.ranks.values():
            others = others.add(use)
        customers: dict[str, Use] = {}
        for customer, use in sums.customers.items():
            name = self._names.get(customer)
            if name is not None:
                _add(customers, name, use.scale(factor))
                others = others.subtract(use)
        ranks = {rank: use.scale(factor) for rank, use in sums.ranks.items()}
        scaled = _ScaledSums(factor, ranks, customers, others.scale(factor))
        self._scaled[service] = scaled
        return scaled

    def _drop_expired(self, now: float) -> None:
        while self._peers:
            host, oldest = next(iter(self._peers.items()))
            if now - oldest.at <= inflight.PEER_COUNTS_TTL_S:
                return
            self._drop(host)

    def _drop(self, host: str) -> None:
        peer = self._peers.pop(host, None)
        if peer is not None:
            self._add_to_sums(peer, -1)

    def _add_to_sums(self, peer: _PeerShares, sign: int) -> None:
        """Adds a peer's report to the sums, or subtracts it."""
        self._scaled.clear()
        for service, (ranks, customers) in peer.services.items():
            sums = self._sums.setdefault(service, _Totals[int]())
            for rank, requests, tokens in _iterate(ranks):
                use = Use(sign * requests, sign * tokens)
                _add(sums.ranks, _clamp_rank(rank), use)
            for customer, requests, tokens in _iterate(customers):
                use = Use(sign * requests, sign * tokens)
                _add(sums.customers, customer, use)
            if not sums.ranks and not sums.customers:
                del self._sums[service]


def _clamp_rank(rank: int) -> int:
    return max(0, min(MAX_RANK, rank))


def _clamp_tokens(tokens: int) -> int:
    return max(0, min(MAX_REQUEST_TOKENS, tokens))


def _is_plausible(use: Use) -> bool:
    return 0 <= use.requests <= MAX_REQUESTS and 0 <= use.tokens <= MAX_TOKENS


def _flatten(uses: tuple[tuple[int, Use], ...]) -> _Numbers:
    return array.array('q', [n for key, use in uses for n in (key, *use)])


def _iterate(numbers: _Numbers) -> typing.Iterator[tuple[int, ...]]:
    fields = iter(numbers)
    return zip(fields, fields, fields, strict=True)


def _add(totals: dict[_Key, Use], key: _Key, use: Use) -> None:
    """Adds to a total; one that becomes zero is removed."""
    total = totals.get(key, NO_USE).add(use)
    if total == NO_USE:
        totals.pop(key, None)
    else:
        totals[key] = total


def _subtract(totals: dict[_Key, Use], key: _Key, use: Use) -> None:
    """Subtracts from a total, down to zero."""
    total = totals.get(key, NO_USE).subtract(use)
    if total.requests:
        totals[key] = total
    else:
        totals.pop(key, None)
