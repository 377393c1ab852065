"""What is in flight of each rank and customer, as decisions see it."""

import abc
import typing


class Use(typing.NamedTuple):
    """What requests in flight take.

    Attributes:
        requests: Their number.
        tokens: Their prompt tokens and expected answer tokens.
    """

    requests: int = 0
    tokens: int = 0


class ShareView(typing.NamedTuple):
    """Use of a service by all hosts, this one included.

    Attributes:
        by_rank: By rank of the requests.
        by_customer: By name of the customer.
        age_s: Age of the oldest count in it.
        heard_hosts: Other hosts whose counts are in it; the rest is estimated.
    """

    by_rank: dict[int, Use]
    by_customer: dict[str, Use]
    age_s: float = 0.0
    heard_hosts: int = 0

    def urgent_share(self, rank: int) -> float:
        """Returns the share of the requests that are more urgent than a rank.

        It is 0 if nothing is in flight.
        """
        total = sum(use.requests for use in self.by_rank.values())
        urgent = sum(u.requests for r, u in self.by_rank.items() if r < rank)
        return urgent / total if total > 0 else 0.0


class ShareSource(abc.ABC):
    """Knows what is in flight of each rank and customer."""

    @abc.abstractmethod
    def view(self, service: str, now: float, live_hosts: int) -> ShareView:
        """Returns the use of a service by all live hosts."""


class OwnShares(ShareSource):
    """Counts one host's requests and assumes that the others have as many."""

    def __init__(self) -> None:
        self._by_rank: dict[str, dict[int, Use]] = {}
        self._by_customer: dict[str, dict[str, Use]] = {}

    def begin(
        self, service: str, rank: int, customer: str, tokens: int
    ) -> None:
        """Counts a request."""
        _add(self._by_rank.setdefault(service, {}), rank, 1, tokens)
        _add(self._by_customer.setdefault(service, {}), customer, 1, tokens)

    def end(self, service: str, rank: int, customer: str, tokens: int) -> None:
        """Stops counting a request."""
        _add(self._by_rank.setdefault(service, {}), rank, -1, -tokens)
        _add(self._by_customer.setdefault(service, {}), customer, -1, -tokens)

    def view(self, service: str, now: float, live_hosts: int) -> ShareView:
        """Returns the use of a service by all live hosts."""
        return ShareView(
            _scale(self._by_rank.get(service, {}), live_hosts),
            _scale(self._by_customer.get(service, {}), live_hosts),
        )


_Key = typing.TypeVar('_Key')


def _add(uses: dict[_Key, Use], key: _Key, requests: int, tokens: int) -> None:
    use = uses.get(key, Use())
    use = Use(use.requests + requests, use.tokens + tokens)
    if use.requests > 0:
        uses[key] = use
    else:
        uses.pop(key, None)


def _scale(uses: dict[_Key, Use], factor: int) -> dict[_Key, Use]:
    factor = max(1, factor)
    return {
        key: Use(use.requests * factor, use.tokens * factor)
        for key, use in uses.items()
    }
