"""An embedded platform, engine and service, for trying the router out.

Everything runs in one process: one host, one engine that holds all layers, and
one booking service.
"""

import hashlib
import typing

import msgspec
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import orders
from sardinebend_policy import routes
from sardinebend_router import auth
from sardinebend_router import engines
from sardinebend_router import host as host_lib
from sardinebend_router import services
from sardinebend_settings import hostfile
from sardinebend_settings import tree as tree_lib
from sardinebend_store import connections
from sardinebend_store import errors as platform_errors
from sardinebend_store import memory
from sardinebend_store import store

CUSTOMER_KEY: typing.Final = 'demo-customer-key'
OPERATOR_KEY: typing.Final = 'demo-operator-key'
SECRET: typing.Final = b'embedded-single-host'
TOKEN_INTERVAL_S: typing.Final = 0.02
DEFAULT_PORT: typing.Final = 8080

_TREE: typing.Final[dict[str, typing.Any]] = {
    'values': {'fleet': {}},
    'customers': {'demo': {'key_hashes': [auth.hash_key(CUSTOMER_KEY)]}},
    'operators': {
        'demo': {'key_hashes': [auth.hash_key(OPERATOR_KEY)], 'branches': ['']}
    },
    'routes': {
        'assistant': {'model': 'tide', 'model_version': '1', 'layers': 4}
    },
    'services': {
        'bookings': {
            'operations': {
                'confirm': {'repeatable': False},
                'lookup': {'repeatable': True},
            }
        }
    },
    'endpoints': {
        'engine-1': {
            'url': 'http://127.0.0.1:1',
            'failure_domain': 'local',
            'role': 'engine',
            'model': 'tide',
            'model_version': '1',
            'first_layer': 0,
            'end_layer': 4,
        },
        'bookings-1': {
            'url': 'http://127.0.0.1:2',
            'failure_domain': 'local',
            'role': 'service',
            'service': 'bookings',
        },
    },
}


class EmbeddedPipeline(engines.OpenPipeline):
    """Streams a generated answer, one token at a time."""

    async def run(
        self,
        order: engines.DraftOrder,
        post: typing.Callable[[msg.Event], None],
    ) -> None:
        """Reports tokens that depend only on the prompt and their index."""
        attempt = order.send.attempt
        for index in range(order.send.start_index, order.request.max_tokens):
            await trio.sleep(TOKEN_INTERVAL_S)
            seed = f'{index}:{order.request.prompt}'.encode()
            text = hashlib.sha256(seed).hexdigest()[:5] + ' '
            post(msg.Chunk(attempt, index, text))
        post(msg.Finished(attempt, order.request.max_tokens))

    async def close(self) -> None:
        """Does nothing, as there is no connection."""


class EmbeddedDriver(engines.PipelineDriver):
    """The engine in this process."""

    async def connect(
        self, route: routes.PipelineRoute, timeout_s: float
    ) -> engines.OpenPipeline:
        """Returns a pipeline."""
        return EmbeddedPipeline()

    async def cancel(
        self, endpoint_id: str, request_id: str, attempt: int
    ) -> bool:
        """Returns true, as a closed pipeline has already stopped."""
        return True

    async def probe(
        self, endpoint_id: str, timeout_s: float
    ) -> engines.Health | platform_errors.PlatformError:
        """Reports the engine as live."""
        return {'incarnation': 'embedded', 'leaving': False}

    async def fetch_load(self, endpoint_id: str) -> engines.Load | None:
        """Returns `None`, as the engine reports no load."""
        return None

    async def order(
        self, order: orders.LoadOrder
    ) -> int | platform_errors.PlatformError:
        """Refuses the order, as the engine always holds the same model."""
        return 409

    async def close(self) -> None:
        """Does nothing, as there is no connection."""


class EmbeddedService(services.ServiceConnection):
    """The booking service in this process."""

    def __init__(self, counts: dict[str, int]) -> None:
        self._counts = counts

    async def send(self, call: services.Call) -> connections.Reply:
        """Runs the call and counts it."""
        number = self._counts.get(call.operation, 0) + 1
        self._counts[call.operation] = number
        body = msgspec.json.encode(
            {'operation': call.operation, 'confirmation': f'C{number}'}
        )
        return connections.Reply(
            200, {'content-type': 'application/json'}, body
        )

    async def close(self) -> None:
        """Does nothing, as there is no connection."""


class EmbeddedClient(services.ServiceClient):
    """Connects to the booking service in this process."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    async def connect(
        self, endpoint_id: str, timeout_s: float
    ) -> services.ServiceConnection:
        """Returns the service."""
        return EmbeddedService(self._counts)


def make_tree(
    extra: typing.Mapping[str, typing.Mapping[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Returns the embedded settings tree with further nodes, by section."""
    tree = {section: dict(nodes) for section, nodes in _TREE.items()}
    for section, nodes in extra.items():
        tree[section] |= nodes
    return tree


def make_host(
    port: int = DEFAULT_PORT,
    extra: typing.Mapping[str, typing.Mapping[str, typing.Any]] | None = None,
) -> host_lib.Host:
    """Returns a host that depends on no other process.

    Args:
        port: Port for callers; 0 for any free one.
        extra: Further nodes of the settings tree, by section.
    """
    cfg: hostfile.HostFile = {
        'host_id': 'embedded',
        'region': 'local',
        'failure_domain': 'local',
        'callers': {'address': '127.0.0.1', 'port': port},
        'peers': {'address': '127.0.0.1', 'port': 0},
    }
    deps = host_lib.Dependencies(
        memory.MemoryTable(),
        memory.MemoryObjects(),
        memory.MemoryHostList(store.Listing((), ())),
        lambda state: EmbeddedDriver(),
        lambda state: EmbeddedClient(),
    )
    tree = tree_lib.Tree.from_document(make_tree(extra or {}))
    return host_lib.Host(cfg, deps, SECRET, tree)
