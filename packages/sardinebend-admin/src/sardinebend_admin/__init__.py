"""The operator's command-line tool."""

from sardinebend_admin import cli
from sardinebend_admin import client
from sardinebend_admin import errors

__all__ = ['cli', 'client', 'errors']
