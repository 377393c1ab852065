"""Messages and connections between entry hosts."""

from sardinebend_peers import codec
from sardinebend_peers import errors
from sardinebend_peers import links
from sardinebend_peers import messages

__all__ = ['codec', 'errors', 'links', 'messages']
