"""The platform's table service, object store and host list, as clients."""

from sardinebend_platform import batching
from sardinebend_platform import connections
from sardinebend_platform import errors
from sardinebend_platform import memory
from sardinebend_platform import remote
from sardinebend_platform import store

__all__ = [
    'batching',
    'connections',
    'errors',
    'memory',
    'remote',
    'store',
]
