"""The two deployments that the bench models, and the bound of their hardware.

The bound is worked out here from the engines' capacities alone, apart from
the router: a maximum flow over the stages.
"""

import collections
import typing

from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes

LAYERS: typing.Final = 48
SPANS: typing.Final = ((0, 12), (12, 24), (24, 36), (36, 48))
REPLICAS: typing.Final = 10
KIND_LAYER_COST_US: typing.Final = (800.0, 1280.0, 1920.0, 3200.0)
BATCH_SLOTS: typing.Final = 4
MODEL: typing.Final = 'tide'

_SOURCE = 'source'
_SINK = 'sink'


class Deployment(typing.NamedTuple):
    """A deployment.

    Attributes:
        name: Its name.
        failure_domains: Its failure domains.
        hosts: Number of entry hosts.
        customers: Arrival share of each customer.
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
    """Returns the model that callers ask for."""
    return routes.ModelSpec(MODEL, '1', LAYERS)


def make_engines(deployment: Deployment) -> list[fleet_lib.EndpointSpec]:
    """Returns 40 engines of four kinds; Vanua's differ in the mix by stage."""
    specs = []
    domains = deployment.failure_domains
    for stage, (first, end) in enumerate(SPANS):
        for replica in range(REPLICAS):
            shift = stage if deployment.name == VANUA.name else 0
            kind = (replica + shift) % len(KIND_LAYER_COST_US)
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
                    KIND_LAYER_COST_US[kind],
                    BATCH_SLOTS,
                )
            )
    return specs


def capacity_tokens_s(spec: fleet_lib.EndpointSpec) -> float:
    """Returns the tokens a second that an engine can take part in."""
    layers = spec.end_layer - spec.first_layer
    return spec.batch_slots * 1e6 / (layers * spec.layer_cost_us)


def bound_tokens_s(engines: list[fleet_lib.EndpointSpec]) -> float:
    """Returns the largest rate of tokens that the engines can carry."""
    flow = _Flow()
    for spec in engines:
        entry, leave = f'in {spec.endpoint_id}', f'out {spec.endpoint_id}'
        flow.add(entry, leave, capacity_tokens_s(spec))
        if spec.first_layer == 0:
            flow.add(_SOURCE, entry, float('inf'))
        if spec.end_layer == LAYERS:
            flow.add(leave, _SINK, float('inf'))
        for other in engines:
            if other.first_layer == spec.end_layer:
                flow.add(leave, f'in {other.endpoint_id}', float('inf'))
    return flow.maximum()


class _Flow:
    """Maximum flow by shortest augmenting paths."""

    def __init__(self) -> None:
        self._room: dict[str, dict[str, float]] = {}

    def add(self, start: str, end: str, capacity: float) -> None:
        """Adds an edge."""
        self._room.setdefault(start, {})[end] = capacity
        self._room.setdefault(end, {}).setdefault(start, 0.0)

    def maximum(self) -> float:
        """Returns the maximum flow from source to sink."""
        total = 0.0
        while (path := self._find_path()) is not None:
            edges = list(zip(path, path[1:], strict=False))
            amount = min(self._room[a][b] for a, b in edges)
            for a, b in edges:
                self._room[a][b] -= amount
                self._room[b][a] += amount
            total += amount
        return total

    def _find_path(self) -> list[str] | None:
        came: dict[str, str] = {_SOURCE: ''}
        queue = collections.deque([_SOURCE])
        while queue:
            node = queue.popleft()
            if node == _SINK:
                path = [node]
                while came[path[-1]]:
                    path.append(came[path[-1]])
                return path[::-1]
            for following, room in self._room[node].items():
                if room > 1e-9 and following not in came:
                    came[following] = node
                    queue.append(following)
        return None
