"""The two simulated deployments and the upper bound of their throughput.

The bound is a maximum flow over the stages. It is computed from the capacities
of the engines alone and shares no code with the router.
"""

import collections
import typing

from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes

LAYERS: typing.Final = 48
SPANS: typing.Final = ((0, 12), (12, 24), (24, 36), (36, 48))
REPLICAS: typing.Final = 10
LAYER_COST_US_BY_KIND: typing.Final = (800.0, 1280.0, 1920.0, 3200.0)
BATCH_SLOTS: typing.Final = 4
MODEL: typing.Final = 'tide'

_SOURCE = 'source'
_SINK = 'sink'


class Deployment(typing.NamedTuple):
    """A simulated deployment.

    Attributes:
        name: Name in the report.
        failure_domains: Names of the failure domains.
        hosts: Number of entry hosts.
        customers: Relative arrival rate of each customer.
    """

    name: str
    failure_domains: tuple[str, ...]
    hosts: int
    customers: dict[str, float]


_CUSTOMERS = {'large-1': 10.0, 'large-2': 10.0} | {
    f'small-{number}': 1.0 for number in range(1, 9)
}
VANUA: typing.Final = Deployment(
    'vanua', ('lautoka', 'nadi', 'ba'), 7, _CUSTOMERS
)
NILECYCLE: typing.Final = Deployment(
    'nilecycle', ('alex-east', 'damanhour', 'tanta'), 7, _CUSTOMERS
)
DEPLOYMENTS: typing.Final = (VANUA, NILECYCLE)


def make_spec() -> routes.ModelSpec:
    """Returns the model that callers request."""
    return routes.ModelSpec(MODEL, '1', LAYERS)


def make_engines(deployment: Deployment) -> list[fleet_lib.EndpointSpec]:
    """Returns 40 engines of four kinds.

    In the Vanua deployment each stage has another mix of kinds.
    """
    specs = []
    domains = deployment.failure_domains
    for stage, (first, end) in enumerate(SPANS):
        for replica in range(REPLICAS):
            kind_offset = stage if deployment.name == VANUA.name else 0
            kind = (replica + kind_offset) % len(LAYER_COST_US_BY_KIND)
            specs.append(
                fleet_lib.EndpointSpec(
                    f's{stage}-{replica}',
                    f'http://s{stage}-{replica}',
                    domains[replica % len(domains)],
                    '',
                    MODEL,
                    '1',
                    first,
                    end,
                    LAYER_COST_US_BY_KIND[kind],
                    BATCH_SLOTS,
                )
            )
    return specs


def capacity_tokens_per_s(spec: fleet_lib.EndpointSpec) -> float:
    """Returns the tokens per second that an engine can process."""
    layers = spec.end_layer - spec.first_layer
    return spec.batch_slots * 1e6 / (layers * spec.layer_cost_us)


def max_tokens_per_s(engines: list[fleet_lib.EndpointSpec]) -> float:
    """Returns the highest token rate that the engines can sustain together."""
    flow = _Flow()
    for spec in engines:
        entry_node, exit_node = (
            f'in {spec.endpoint_id}',
            f'out {spec.endpoint_id}',
        )
        flow.add_edge(entry_node, exit_node, capacity_tokens_per_s(spec))
        if spec.first_layer == 0:
            flow.add_edge(_SOURCE, entry_node, float('inf'))
        if spec.end_layer == LAYERS:
            flow.add_edge(exit_node, _SINK, float('inf'))
        for other in engines:
            if other.first_layer == spec.end_layer:
                flow.add_edge(
                    exit_node, f'in {other.endpoint_id}', float('inf')
                )
    return flow.compute_maximum()


class _Flow:
    """Maximum flow by shortest augmenting paths."""

    def __init__(self) -> None:
        self._residual: dict[str, dict[str, float]] = {}

    def add_edge(self, start: str, end: str, capacity: float) -> None:
        """Adds a directed edge."""
        self._residual.setdefault(start, {})[end] = capacity
        self._residual.setdefault(end, {}).setdefault(start, 0.0)

    def compute_maximum(self) -> float:
        """Returns the maximum flow from source to sink."""
        total = 0.0
        while (path := self._find_path()) is not None:
            edges = list(zip(path, path[1:], strict=False))
            amount = min(self._residual[a][b] for a, b in edges)
            for a, b in edges:
                self._residual[a][b] -= amount
                self._residual[b][a] += amount
            total += amount
        return total

    def _find_path(self) -> list[str] | None:
        parents: dict[str, str] = {_SOURCE: ''}
        queue = collections.deque([_SOURCE])
        while queue:
            vertex = queue.popleft()
            if vertex == _SINK:
                path = [vertex]
                while parents[path[-1]]:
                    path.append(parents[path[-1]])
                return path[::-1]
            for neighbor, residual in self._residual[vertex].items():
                if residual > 1e-9 and neighbor not in parents:
                    parents[neighbor] = vertex
                    queue.append(neighbor)
        return None
