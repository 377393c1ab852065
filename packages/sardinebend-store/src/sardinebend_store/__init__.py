"""Clients of the platform's table service, object store and host list."""

from sardinebend_store import batching
from sardinebend_store import connections
from sardinebend_store import documents
from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import memory
from sardinebend_store import remote
from sardinebend_store import store

__all__ = [
    'batching',
    'connections',
    'documents',
    'errors',
    'feeds',
    'memory',
    'remote',
    'store',
]
