"""Measures the processor time that a host takes to decide on one request.

The line, the path cache and the loads of all hosts are those of the policy; no
request is sent. Both sizes have a full line, so each decision finds others.
"""

import itertools
import random
import time
import typing

from sardinebend_policy import catalog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import fair_queue
from sardinebend_policy import fleet_shares
from sardinebend_policy import headroom
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import path_cache
from sardinebend_policy import waiting_line

LAYERS: typing.Final = 80
SPAN: typing.Final = 10
# Parts of paths that each host has in flight.
PARTS_PER_HOST: typing.Final = 100
WAITING: typing.Final = 40
DECISIONS: typing.Final = 300
TOKENS: typing.Final = 1000


class Size(typing.NamedTuple):
    """Hosts, engines and customers, and the longest mean time allowed."""

    hosts: int
    engines: int
    customers: int
    limit_ms: float


SIZES: typing.Final = (Size(60, 100, 24, 0.2), Size(360, 1600, 280, 1.0))

ENGINE: typing.Final = catalog.EngineModel(
    layers=LAYERS,
    layer_mb=1000.0,
    token_layer_mb=0.01,
    step_ms=1.0,
    per_request_ms=0.004,
    read_tokens_per_ms=200.0,
    activation_mb=0.05,
    pipe_mb_per_ms=1.0,
    usual_prompt=800.0,
    usual_answer=200.0,
    load_s=14.0,
    cards={'card': catalog.CardKind(20_000.0, 5.0, 8.0)},
    stride=5,
)


def make_endpoints(count: int) -> list[endpoints_lib.Endpoint]:
    """Returns engines that hold copies of the model in three domains."""
    starts = itertools.cycle(range(0, LAYERS, SPAN))
    return [
        endpoints_lib.Endpoint(
            f'engine-{number}',
            'llm',
            f'10.0.{number // 250}.{number % 250}:80',
            f'domain-{number * 3 // count}',
            96,
            False,
            0,
            card='card',
            span=endpoints_lib.Span(start, start + SPAN),
        )
        for number, start in zip(range(count), starts, strict=False)
    ]


def make_inflight(
    size: Size, names: list[str], rng: random.Random
) -> inflight_lib.InFlight:
    """Returns the loads that a host has heard of from all others."""
    inflight = inflight_lib.InFlight()
    for host in range(size.hosts - 1):
        chosen = rng.choices(names, k=PARTS_PER_HOST)
        inflight.record_peer_counts(
            f'host-{host}',
            inflight_lib.PeerCounts(
                0.0, dict.fromkeys(chosen, 1), dict.fromkeys(chosen, TOKENS)
            ),
        )
    return inflight


def measure(size: Size) -> dict[str, float]:
    """Returns the mean time of a decision and of its parts, in ms."""
    rng = random.Random(1)
    endpoints = make_endpoints(size.engines)
    inflight = make_inflight(size, [e.endpoint_id for e in endpoints], rng)
    cache = path_cache.PathCache(ENGINE)
    cache.refresh(endpoints, inflight.loads(0.0, size.hosts), 1, 0.0)
    shares = fleet_shares.FleetShares()
    line = waiting_line.WaitingLine()
    for number in range(size.customers):
        shares.begin('llm', number % 9, f'customer-{number}', TOKENS)
    for number in range(WAITING):
        name = f'customer-{number % size.customers}'
        entry = fair_queue.Entry(f'w{number}', name, 8, TOKENS)
        line.join(entry, TOKENS, 0.06, 0.0)
    spent = {'line': 0.0, 'loads': 0.0, 'path': 0.0, 'headroom': 0.0}

    def try_path(_: str) -> waiting_line.Outcome:
        began = time.process_time()
        loads = inflight.loads(0.0, size.hosts)
        has_loads = time.process_time()
        path = cache.choose(TOKENS, loads)
        has_path = time.process_time()
        view = shares.view('llm', 0.0, size.hosts)
        outlook = headroom.Outlook(view.urgent_share(7), 0.5, 5.0)
        verdict = headroom.Verdict.MEMORY
        if path is not None:
            verdict = headroom.check(ENGINE, 0.25, path, TOKENS, loads, outlook)
        spent['loads'] += has_loads - began
        spent['path'] += has_path - has_loads
        spent['headroom'] += time.process_time() - has_path
        if path is None or verdict is not headroom.Verdict.FITS:
            return waiting_line.Outcome.HELD
        return waiting_line.Outcome.FOUND

    began = time.process_time()
    for number in range(DECISIONS):
        name = f'customer-{number % size.customers}'
        entry = fair_queue.Entry(f'd{number}', name, 0, TOKENS)
        line.join(entry, TOKENS, 0.06, 0.0)
        # One is tried, as when only one finds room.
        first = next(_in_order(line))
        if try_path(first) is waiting_line.Outcome.FOUND:
            line.leave(first)
        line.leave(f'd{number}')
    total = time.process_time() - began
    spent['line'] = total - sum(spent.values())
    figures = {name: s * 1000 / DECISIONS for name, s in spent.items()}
    return {'total': total * 1000 / DECISIONS, **figures}


def _in_order(line: waiting_line.WaitingLine) -> typing.Iterator[str]:
    found: list[str] = []

    def note(request_id: str) -> waiting_line.Outcome:
        found.append(request_id)
        return waiting_line.Outcome.HELD

    line.serve(0.0, note)
    return iter(found)


def main() -> None:
    """Prints the times at both sizes, with the longest allowed."""
    for size in SIZES:
        figures = measure(size)
        parts = ', '.join(f'{k} {v:.3f}' for k, v in figures.items())
        print(
            f'{size.hosts} hosts, {size.engines} engines,'
            f' {size.customers} customers: {parts} ms'
            f' (limit {size.limit_ms} ms)'
        )


if __name__ == '__main__':
    main()
