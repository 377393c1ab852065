"""Settings of sardinebend: files, schema, inheritance tree and changes."""

from sardinebend_settings import changes
from sardinebend_settings import documents
from sardinebend_settings import errors
from sardinebend_settings import findings
from sardinebend_settings import hostfile
from sardinebend_settings import keys
from sardinebend_settings import reference
from sardinebend_settings import tree
from sardinebend_settings import tree_check

__all__ = [
    'changes',
    'documents',
    'errors',
    'findings',
    'hostfile',
    'keys',
    'reference',
    'tree',
    'tree_check',
]
