"""The process of an entry host: HTTP front, sessions and peers."""

from sardinebend_router import cli
from sardinebend_router import host

__all__ = ['cli', 'host']
