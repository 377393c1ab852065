"""The entry host process: HTTP front, sessions, peers, composition."""

from sardinebend_router import cli
from sardinebend_router import host

__all__ = ['cli', 'host']
