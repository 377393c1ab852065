"""The settings tree: typed nodes, whole-tree validation and inheritance.

A node is the smallest unit that a change replaces. Its path is
`section/name`, for instance `endpoints/ba-4`, or `values/<scope>` for the
inheritable keys of a scope. A scope is `fleet`, a branch by place
(`fleet/region:R`, `fleet/region:R/domain:D`) or a branch by customer
(`fleet/customer:C`, `fleet/customer:C/route:R`, `fleet/customer:C/kind:K`).
"""

import re
import types
import typing

from sardinebend_settings import documents
from sardinebend_settings import errors
from sardinebend_settings import keys

MAX_NODES: typing.Final = 100_000
DEFAULT_ORIGIN: typing.Final = 'default'

_NAME = r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}'
_NAME_RE = re.compile(_NAME)
_SCOPE_RE = re.compile(
    rf'fleet(/region:{_NAME}(/domain:{_NAME})?'
    rf'|/customer:{_NAME}(/(route|kind):{_NAME})?)?'
)
_HASH_RE = re.compile('[0-9a-f]{64}')


class Customer(typing.TypedDict, total=False):
    """A customer.

    Attributes:
        key_hashes: SHA-256 of each of its keys, in hexadecimal.
    """

    key_hashes: list[str]


class Operator(typing.TypedDict, total=False):
    """An operator.

    Attributes:
        key_hashes: SHA-256 of each of its keys, in hexadecimal.
        branches: Node path prefixes that it may change; `hosts/NAME` allows
            the planned stop of a host, and an empty text allows all.
    """

    key_hashes: list[str]
    branches: list[str]


class Route(typing.TypedDict):
    """A model that callers can ask for.

    Attributes:
        model: The model.
        model_version: Its version.
        layers: Its number of layers.
    """

    model: str
    model_version: str
    layers: int


class Operation(typing.TypedDict, total=False):
    """A kind of call to a service that isn't a model engine.

    Attributes:
        repeatable: Whether the call may run more than once; false by default.
        refusal_statuses: HTTP statuses with which the service promises that
            the call did not run.
    """

    repeatable: bool
    refusal_statuses: list[int]


class Service(typing.TypedDict):
    """A plain service: one that isn't a model engine.

    Attributes:
        operations: Its operations by name.
    """

    operations: dict[str, Operation]


class Endpoint(typing.TypedDict, total=False):
    """A back end: a model engine with a layer range, or any other service.

    Attributes:
        url: Its address.
        failure_domain: Failure domain in which it runs.
        role: `engine` for a model engine, `service` for any other service.
        service: Name of the service, which must be declared in `services`;
            only if `role` is `service`.
        model: The model that an engine shall hold.
        model_version: Version of that model.
        first_layer: First layer that an engine holds.
        end_layer: One past the last layer.
        accelerator: Kind of its accelerators; informational, not evaluated.
        layer_cost_us: Time of one layer for one token, in microseconds.
        batch_slots: Largest number of tokens, one per request, that an engine
            processes at once without slowing down.
        checks_fencing: Whether an engine rejects orders to load a model that
            have an outdated fencing number.
    """

    url: typing.Required[str]
    failure_domain: typing.Required[str]
    role: typing.Required[typing.Literal['engine', 'service']]
    service: str
    model: str
    model_version: str
    first_layer: int
    end_layer: int
    accelerator: str
    layer_cost_us: float
    batch_slots: int
    checks_fencing: bool


class Resolved(typing.NamedTuple):
    """The effective value of a key, and the scope that sets it."""

    value: keys.Value
    origin: str


_SECTIONS: typing.Final[dict[str, type]] = {
    'customers': Customer,
    'operators': Operator,
    'routes': Route,
    'services': Service,
    'endpoints': Endpoint,
}


class Tree:
    """An immutable, validated set of nodes at one version.

    Attributes:
        version: Version of the whole tree; incremented by each accepted change.
        nodes: Value of each node by its path.
    """

    def __init__(
        self, version: int, nodes: typing.Mapping[str, typing.Any]
    ) -> None:
        self.version = version
        self.nodes = types.MappingProxyType(dict(nodes))
        self._sections: dict[str, dict[str, typing.Any]] = {}
        for path, value in self.nodes.items():
            section, _, name = path.partition('/')
            self._sections.setdefault(section, {})[name] = value
        self._spans: dict[tuple[str, str], set[tuple[int, int]]] = {}

    @classmethod
    def from_nodes(
        cls, version: int, nodes: typing.Mapping[str, object]
    ) -> 'Tree':
        """Returns a tree after validating each node and the tree as a whole."""
        if len(nodes) > MAX_NODES:
            raise errors.InvalidSetting(
                'nodes', len(nodes), f'at most {MAX_NODES} nodes'
            )
        checked = {path: check_node(path, nodes[path]) for path in nodes}
        tree = cls(version, checked)
        tree._check_consistency()
        return tree

    def with_changes(
        self, version: int, changed: typing.Mapping[str, object]
    ) -> 'Tree':
        """Returns a newer tree after validating it.

        Validates each changed node, then the consistency of the whole tree.

        Args:
            version: Version of the new tree.
            changed: New values by path; `None` removes a node.
        """
        nodes = dict(self.nodes)
        for path, value in changed.items():
            if value is None:
                nodes.pop(path, None)
            else:
                nodes[path] = check_node(path, value)
        if len(nodes) > MAX_NODES:
            raise errors.InvalidSetting(
                'nodes', len(nodes), f'at most {MAX_NODES} nodes'
            )
        tree = Tree(version, nodes)
        tree._check_consistency()
        return tree

    @classmethod
    def from_document(cls, value: object, version: int = 1) -> 'Tree':
        """Builds a tree from a document whose top-level keys are sections."""
        if not isinstance(value, dict):
            raise errors.InvalidSetting('tree', value, 'an object is expected')
        nodes: dict[str, object] = {}
        for section, items in value.items():
            if section != 'values' and section not in _SECTIONS:
                known = ', '.join(['values', *sorted(_SECTIONS)])
                raise errors.UnknownSetting(section, items, f'known: {known}')
            if not isinstance(items, dict):
                raise errors.InvalidSetting(section, items, 'an object')
            for name, item in items.items():
                nodes[f'{section}/{name}'] = item
        return cls.from_nodes(version, nodes)

    def section(self, name: str) -> typing.Mapping[str, typing.Any]:
        """Returns the nodes of a section by name."""
        return self._sections.get(name, {})

    def resolve(self, key: str, scopes: typing.Sequence[str]) -> Resolved:
        """Returns the value of a key from the most specific scope that sets it.

        Args:
            key: Name of the key.
            scopes: Scopes from the most general to the most specific.
        """
        declaration = keys.get(key, key)
        values = self.section('values')
        for scope in reversed(scopes):
            branch = values.get(scope)
            if branch is not None and key in branch:
                return Resolved(branch[key], scope)
        return Resolved(declaration.default, DEFAULT_ORIGIN)

    def resolve_all(self, scopes: typing.Sequence[str]) -> dict[str, Resolved]:
        """Returns the effective value and the origin of every key."""
        return {name: self.resolve(name, scopes) for name in keys.KEYS}

    def _check_consistency(self) -> None:
        self._spans = self._list_spans()
        for name, endpoint in self.section('endpoints').items():
            self._check_endpoint(name, endpoint)
        for name, route in self.section('routes').items():
            self._check_layer_coverage(name, route)
        for scope, branch in self.section('values').items():
            self._check_value_order(scope, branch)

    def _check_endpoint(self, name: str, endpoint: Endpoint) -> None:
        path = f'endpoints/{name}'
        if endpoint['role'] == 'service':
            service = endpoint.get('service')
            if service not in self.section('services'):
                raise errors.InvalidSetting(
                    f'{path}.service', service, 'a declared service'
                )
            return
        first = endpoint.get('first_layer', -1)
        end = endpoint.get('end_layer', -1)
        if not 0 <= first < end:
            raise errors.InvalidSetting(
                f'{path}.first_layer', first, '0 <= first_layer < end_layer'
            )

    def _check_layer_coverage(self, name: str, route: Route) -> None:
        model = (route['model'], route['model_version'])
        reachable = {0}
        for first, end in sorted(self._spans.get(model, ())):
            if first in reachable:
                reachable.add(end)
        if route['layers'] not in reachable:
            raise errors.UncoveredRoute(
                f'routes/{name}',
                sorted(reachable),
                f'endpoint ranges must join up from layer 0 to layer '
                f'{route["layers"]}',
            )

    def _list_spans(self) -> dict[tuple[str, str], set[tuple[int, int]]]:
        """Returns the layer ranges of the engines, by model and version."""
        spans: dict[tuple[str, str], set[tuple[int, int]]] = {}
        for item in self.section('endpoints').values():
            if item['role'] == 'engine':
                model = (item.get('model', ''), item.get('model_version', ''))
                span = (item.get('first_layer', 0), item.get('end_layer', 0))
                spans.setdefault(model, set()).add(span)
        return spans

    def _check_value_order(
        self, scope: str, branch: dict[str, keys.Value]
    ) -> None:
        scopes = parent_scopes(scope)
        for low, high in (
            ('draft.stall_floor_s', 'draft.stall_ceiling_s'),
            ('retry.backoff_base_s', 'retry.backoff_cap_s'),
        ):
            if low not in branch and high not in branch:
                continue
            low_value = self.resolve(low, scopes).value
            high_value = self.resolve(high, scopes).value
            if typing.cast(float, low_value) > typing.cast(float, high_value):
                raise errors.InvalidSetting(
                    f'values/{scope}.{low}', low_value, f'at most {high}'
                )


def check_node(path: str, value: object) -> typing.Any:
    """Returns the checked value of one node, or raises `InvalidSetting`."""
    section, _, name = path.partition('/')
    if section == 'values':
        return _check_values(path, name, value)
    shape = _SECTIONS.get(section)
    if shape is None:
        raise errors.UnknownSetting(
            path, value, 'the path must begin with a known section'
        )
    if not _NAME_RE.fullmatch(name):
        raise errors.InvalidSetting(path, name, f'a name that matches {_NAME}')
    node: typing.Any = documents.convert(value, shape, path)
    for digest in node.get('key_hashes', []):
        if not _HASH_RE.fullmatch(digest):
            raise errors.InvalidSetting(
                f'{path}.key_hashes', '(hidden)', '64 hexadecimal digits'
            )
    _check_ranges(path, node)
    return node


def parent_scopes(scope: str) -> list[str]:
    """Returns a scope and its ancestors, the most general first."""
    parts = scope.split('/')
    return ['/'.join(parts[: i + 1]) for i in range(len(parts))]


def _check_values(path: str, scope: str, value: object) -> dict:
    if not _SCOPE_RE.fullmatch(scope):
        raise errors.InvalidSetting(path, scope, 'a scope such as fleet')
    if not isinstance(value, dict):
        raise errors.InvalidSetting(path, value, 'an object is expected')
    checked = {}
    for key, item in value.items():
        item_path = f'{path}.{key}'
        checked[key] = keys.get(key, item_path).check(item_path, item)
    return checked


def _check_ranges(path: str, node: dict) -> None:
    for key, low, high in (
        ('layers', 1, 10_000),
        ('end_layer', 1, 10_000),
        ('batch_slots', 1, 100_000),
        ('layer_cost_us', 0.001, 10_000_000),
    ):
        if key in node and not low <= node[key] <= high:
            raise errors.InvalidSetting(
                f'{path}.{key}', node[key], f'a number from {low} to {high}'
            )
    url = node.get('url')
    if url is not None and not re.fullmatch(r'https?://[^/\s]+', url):
        raise errors.InvalidSetting(
            f'{path}.url', url, 'http://address:port or https://address:port'
        )
