"""Measures what a host's counts of shares cost in memory and time.

The fleet has 360 hosts, all of which are heard, 14 services of three ranks and
280 customers; a smaller one 60 hosts, two services and 24 customers.
"""

import gc
import json
import time
import tracemalloc
import typing

from sardinebend_peers import codec
from sardinebend_peers import messages
from sardinebend_policy import fleet_shares

STREAMS: typing.Final = 750
TOKENS: typing.Final = 2000
RANKS: typing.Final = 3
CALLS: typing.Final = 2000


class Size(typing.NamedTuple):
    """The size of a fleet."""

    hosts: int
    services: int
    customers: int


SIZES: typing.Final = (Size(60, 2, 24), Size(360, 14, 280))


def make_shares(size: Size, offset: int = 0) -> fleet_shares.FleetShares:
    """Returns the shares of a host at work; `offset` varies its customers."""
    shares = fleet_shares.FleetShares()
    shares.configure(
        [f'model-{n}' for n in range(size.services)],
        [f'customer-{n}' for n in range(size.customers)],
    )
    for number in range(STREAMS):
        shares.begin(
            f'model-{number % size.services}',
            number % RANKS,
            f'customer-{(number * 7 + offset) % size.customers}',
            TOKENS + number,
        )
    return shares


def decode_report(report: fleet_shares.Report | None) -> fleet_shares.Report:
    """Returns a report as a peer receives it, with objects of its own."""
    beat = messages.LoadHeartbeat('h', 'i', False, (), b'', shares=report)
    data = codec.encode(codec.Envelope(0, False, beat))
    received = codec.decode(data).message
    assert isinstance(received, messages.LoadHeartbeat) and received.shares
    return received.shares


def time_us(function: typing.Callable[[], object]) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    start = time.process_time()
    for _ in range(CALLS):
        function()
    return round((time.process_time() - start) / CALLS * 1e6, 1)


def measure(size: Size) -> dict[str, float]:
    """Returns memory and times of one host in a fleet of this size."""
    reports = [make_shares(size, n).report() for n in range(size.hosts - 1)]
    gc.collect()
    tracemalloc.start()
    shares = make_shares(size)
    for number, report in enumerate(reports):
        shares.record_peer(f'host-{number}', decode_report(report), 0.0)
    for number in range(size.services):
        shares.view(f'model-{number}', 0.0, size.hosts)
    gc.collect()
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    received = decode_report(reports[0])

    def record_and_view() -> None:
        shares.record_peer('host-0', received, 0.0)
        shares.view('model-0', 0.0, size.hosts)

    def count() -> None:
        shares.begin('model-0', 1, 'customer-0', TOKENS)
        shares.end('model-0', 1, 'customer-0', TOKENS)

    return {
        'memory_mb': round(kept_bytes / 1e6, 2),
        'view_us': time_us(lambda: shares.view('model-0', 0.0, size.hosts)),
        'view_after_news_us': time_us(record_and_view),
        'begin_and_end_us': time_us(count),
        'report_us': time_us(shares.report),
        'decode_us': time_us(lambda: decode_report(reports[0])),
    }


if __name__ == '__main__':
    for one in SIZES:
        print(json.dumps({**one._asdict(), **measure(one)}))
