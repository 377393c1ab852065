"""Gauges of what is in flight by rank and customer.

There are at most ten ranks, and some customers, for each service whose routes
differ in rank.
"""

import typing

from sardinebend_gateway import metrics as metrics_lib
from sardinebend_gateway import state as state_lib
from sardinebend_policy import fleet_shares

# Customers of a service that have a gauge of their own.
MAX_CUSTOMERS: typing.Final = 10
# Label of all other customers together.
OTHERS: typing.Final = '(others)'

_Values = typing.Iterator[tuple[metrics_lib.Labels, float]]


def register(state: state_lib.State) -> None:
    """Registers the gauges of a host."""
    families = {
        'streams_by_rank': lambda: _iterate_ranks(state, 0),
        'stream_tokens_by_rank': lambda: _iterate_ranks(state, 1),
        'stream_tokens_by_customer': lambda: _iterate_customers(state),
        'share_reports': lambda: _iterate_reports(state),
    }
    for name, read in families.items():
        state.metrics.register_gauges(name, read)


def _iterate_ranks(state: state_lib.State, field: int) -> _Values:
    for service in state.shares.shared_services:
        fleet = state.share_view(service).by_rank
        for of, uses in (('host', state.shares.own(service)), ('fleet', fleet)):
            for rank, use in sorted(uses.items()):
                labels = (('of', of), ('rank', str(rank)), ('service', service))
                yield labels, use[field]


def _iterate_customers(state: state_lib.State) -> _Values:
    for service in state.shares.shared_services:
        tokens, others = rank_customers(state.share_view(service))
        for customer, amount in [*tokens.items(), (OTHERS, others)]:
            yield (('customer', customer), ('service', service)), amount


def _iterate_reports(state: state_lib.State) -> _Values:
    for service in state.shares.shared_services:
        view = state.share_view(service)
        yield (('service', service),), view.heard_hosts


def rank_customers(
    view: fleet_shares.ShareView,
) -> tuple[dict[str, int], int]:
    """Returns the tokens of the largest customers, and those of all others."""
    ordered = sorted(
        ((use.tokens, name) for name, use in view.by_customer.items()),
        reverse=True,
    )
    largest = {name: tokens for tokens, name in ordered[:MAX_CUSTOMERS]}
    rest = sum(tokens for tokens, _ in ordered[MAX_CUSTOMERS:])
    return largest, view.others.tokens + rest
