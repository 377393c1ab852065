"""Gateway that forwards requests to endpoints and layered pipelines."""

from sardinebend_gateway import edges
from sardinebend_gateway import errors
from sardinebend_gateway import gateway

__all__ = ['edges', 'errors', 'gateway']
