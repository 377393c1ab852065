"""Status of the fleet as seen by one host."""

import typing

from sardinebend_gateway import clocks
from sardinebend_gateway import members as members_lib
from sardinebend_gateway import placement_controller as placement_controller_lib
from sardinebend_gateway import share_metrics
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog as catalog_lib


class Coverage(typing.TypedDict):
    """How many engines of a failure domain hold a service's model.

    Attributes:
        domain: The domain.
        engines: Engines there that hold layers, without those that leave.
        fewest_holders: Number of engines that hold the layer with the fewest
            engines; 0 means that no path stays within the domain.
    """

    domain: str
    engines: int
    fewest_holders: int


class Shares(typing.TypedDict):
    """What all hosts have in flight for a service, as far as this one knows.

    Attributes:
        requests_by_rank: Requests by rank.
        tokens_by_rank: Their prompt and expected answer tokens.
        tokens_by_customer: The same tokens of the largest customers.
        other_tokens: Those of all other customers.
        heard_hosts: Number of other hosts whose reports count.
        age_s: Age of the oldest of these reports.
    """

    requests_by_rank: dict[int, int]
    tokens_by_rank: dict[int, int]
    tokens_by_customer: dict[str, int]
    other_tokens: int
    heard_hosts: int
    age_s: float


class ServiceStatus(typing.TypedDict):
    """One service's endpoints.

    Attributes:
        name: The service.
        endpoints: Number of listed endpoints.
        leaving: Number of endpoints whose planned stop has begun.
        doubted: Number of endpoints that this host considers unhealthy.
        retries_left: Whether this host's retry budget allows another retry.
        coverage: Coverage by failure domain; empty if the service's endpoints
            hold no layers.
        shares: What is in flight; `None` where the ranks of its routes don't
            differ.
    """

    name: str
    endpoints: int
    leaving: int
    doubted: int
    retries_left: bool
    coverage: list[Coverage]
    shares: Shares | None


class Status(typing.TypedDict):
    """Status of the fleet as seen by one host.

    Attributes:
        host: Name of the host.
        is_stopping: Whether its planned stop has begun.
        catalog_version: Version of the configuration in force; -1 if none.
        catalog_age_s: Age of the evidence for it; -1 if there is none.
        reads_store: Whether it reads the platform's store itself.
        reader: The host that it asks instead, if any.
        holds_lease: Whether it sends placement orders to engines.
        live_hosts: Names of the hosts that are considered live.
        leaving_hosts: Names of those whose planned stop has begun.
        services: Status of each service.
    """

    host: str
    is_stopping: bool
    catalog_version: int
    catalog_age_s: float
    reads_store: bool
    reader: str | None
    holds_lease: bool
    live_hosts: list[str]
    leaving_hosts: list[str]
    services: list[ServiceStatus]


def make_status(
    state: state_lib.State,
    members: members_lib.Members,
    placement_controller: placement_controller_lib.PlacementController,
) -> Status:
    """Returns the current status as seen by a host."""
    catalog = state.catalog
    peers = members.peers()
    leaving = [name for name, row in peers.items() if row['is_leaving']]
    services = catalog.services.values() if catalog else ()
    return {
        'host': state.cfg.name,
        'is_stopping': state.is_stopping,
        'catalog_version': catalog.version if catalog else -1,
        'catalog_age_s': round(state.catalog_age_s(), 3) if catalog else -1.0,
        'reads_store': state.role.reader is None,
        'reader': state.role.reader,
        'holds_lease': placement_controller.holds_lease,
        'live_hosts': sorted([*members.live_peers(), state.cfg.name]),
        'leaving_hosts': sorted(leaving),
        'services': [_make_service(state, service) for service in services],
    }


def _make_service(
    state: state_lib.State, service: catalog_lib.Service
) -> ServiceStatus:
    now = clocks.now()
    listed = state.endpoints.list_all(service.name)
    return {
        'name': service.name,
        'endpoints': len(listed),
        'leaving': sum(e.is_draining for e in listed),
        'doubted': sum(state.endpoints.is_unhealthy(e, now) for e in listed),
        'retries_left': state.budget_of(service.name).can_spend(now),
        'coverage': _make_coverage(state, service),
        'shares': _make_shares(state, service.name),
    }


def _make_shares(state: state_lib.State, service: str) -> Shares | None:
    if service not in state.shares.shared_services:
        return None
    view = state.share_view(service)
    tokens, others = share_metrics.rank_customers(view)
    return {
        'requests_by_rank': {r: u.requests for r, u in view.by_rank.items()},
        'tokens_by_rank': {r: u.tokens for r, u in view.by_rank.items()},
        'tokens_by_customer': tokens,
        'other_tokens': others,
        'heard_hosts': view.heard_hosts,
        'age_s': round(view.age_s, 3),
    }


def _make_coverage(
    state: state_lib.State, service: catalog_lib.Service
) -> list[Coverage]:
    if service.engine is None or not service.has_layers:
        return []
    counts: dict[str, list[int]] = {}
    engines: dict[str, int] = {}
    for endpoint in state.endpoints.list_all(service.name):
        holders = counts.setdefault(
            endpoint.domain, [0] * service.engine.layers
        )
        if endpoint.span is None or endpoint.is_draining:
            continue
        engines[endpoint.domain] = engines.get(endpoint.domain, 0) + 1
        for layer in range(*endpoint.span):
            if layer < len(holders):
                holders[layer] += 1
    return [
        {
            'domain': domain,
            'engines': engines.get(domain, 0),
            'fewest_holders': min(holders, default=0),
        }
        for domain, holders in sorted(counts.items())
    ]
