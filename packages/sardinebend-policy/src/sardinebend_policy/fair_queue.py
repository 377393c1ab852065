"""A queue that serves by rank, then by the customers' shares, then by age.

Each customer has a virtual time that advances by the cost of each of its
requests that starts. Of the customers with requests of the same rank, the one
with the smallest virtual time is served next, so a customer that sends ten
times its share waits only behind its own requests.
"""

import collections
import heapq
import itertools
import typing

# Virtual times that are kept of customers with nothing waiting.
MAX_IDLE_CUSTOMERS: typing.Final = 1024


class Entry(typing.NamedTuple):
    """A request that waits.

    Attributes:
        request_id: The request.
        customer: Its customer.
        rank: Lower ranks are served first, whatever their customers' shares.
        cost: What it takes of its customer's share, in units / weight.
    """

    request_id: str
    customer: str
    rank: int
    cost: float


_Line = tuple[int, str]


class FairQueue:
    """Waiting requests, and the virtual times of their customers."""

    def __init__(self) -> None:
        self._lines: dict[_Line, collections.OrderedDict[str, Entry]] = {}
        self._entries: dict[str, tuple[int, Entry]] = {}
        self._numbers = itertools.count()
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def count(self, customer: str) -> int:
        """Returns how many requests of a customer wait."""
        return sum(
            len(line)
            for (_, name), line in self._lines.items()
            if name == customer
        )

    def customers(self) -> set[str]:
        """Returns the customers with waiting requests."""
        return {name for _, name in self._lines}

    def add(self, entry: Entry) -> None:
        """Adds a request behind the waiting ones of its customer and rank."""
        self._entries[entry.request_id] = next(self._numbers), entry
        line = self._lines.setdefault(
            (entry.rank, entry.customer), collections.OrderedDict()
        )
        line[entry.request_id] = entry

    def remove(self, request_id: str) -> bool:
        """Removes a waiting request; returns whether it was waiting."""
        _, entry = self._entries.pop(request_id, (0, None))
        if entry is None:
            return False
        key = (entry.rank, entry.customer)
        del self._lines[key][request_id]
        if not self._lines[key]:
            del self._lines[key]
        return True

    def in_order(self) -> typing.Iterator[Entry]:
        """Yields the waiting requests in the order of service.

        It takes time in proportion to the customers that wait and to the
        requests that are taken from it. The queue mustn't change meanwhile.
        """
        heads: list[tuple[int, float, int, str]] = []
        rests: dict[_Line, typing.Iterator[Entry]] = {}

        def push(key: _Line, tag: float) -> None:
            entry = next(rests[key], None)
            if entry is not None:
                number = self._entries[entry.request_id][0]
                heapq.heappush(
                    heads, (entry.rank, tag, number, entry.request_id)
                )

        for key, line in self._lines.items():
            rests[key] = iter(line.values())
            push(key, self._start_tag(key[1]))
        while heads:
            _, tag, _, request_id = heapq.heappop(heads)
            entry = self._entries[request_id][1]
            yield entry
            push((entry.rank, entry.customer), tag + entry.cost)

    def start(self, entry: Entry) -> None:
        """Removes a request that starts, and charges its customer for it."""
        self.remove(entry.request_id)
        self._virtual_time = self._start_tag(entry.customer)
        self._finish_tags[entry.customer] = self._virtual_time + entry.cost
        if len(self._finish_tags) > 2 * len(self._lines) + MAX_IDLE_CUSTOMERS:
            self._finish_tags = {
                name: finish
                for name, finish in self._finish_tags.items()
                if finish > self._virtual_time
            }

    def _start_tag(self, customer: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(customer, 0.0))
