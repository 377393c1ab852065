"""Settings of sardinebend: files, schema, inheritance tree and changes."""

from sardinebend_settings import changes
from sardinebend_settings import documents
from sardinebend_settings import errors
from sardinebend_settings import hostfile
from sardinebend_settings import keys
from sardinebend_settings import reference
from sardinebend_settings import tree

__all__ = [
    'changes',
    'documents',
    'errors',
    'hostfile',
    'keys',
    'reference',
    'tree',
]
