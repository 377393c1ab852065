"""Who calls: customers and operators, known by the hash of their key."""

import hashlib
import hmac
import typing

from sardinebend_router import errors
from sardinebend_settings import tree as tree_lib

BEARER: typing.Final = 'bearer '


class Caller(typing.NamedTuple):
    """An authenticated caller.

    Attributes:
        name: Name of the customer or operator.
        is_operator: Whether it is an operator.
        branches: Node path prefixes that an operator may change.
    """

    name: str
    is_operator: bool
    branches: tuple[str, ...] = ()


def hash_key(key: str) -> str:
    """Returns the digest under which a key stands in the settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    tree: tree_lib.Tree, authorization: str, *, operator: bool
) -> Caller:
    """Returns the caller that a bearer key belongs to.

    Every key on record is compared, in constant time each, so that the time
    taken tells nothing of which one came close.

    Raises:
        errors.NotAuthentic: No customer or operator has this key.
    """
    if not authorization.lower().startswith(BEARER):
        raise errors.NotAuthentic('a bearer key is required')
    digest = hash_key(authorization[len(BEARER) :].strip())
    found: Caller | None = None
    section = 'operators' if operator else 'customers'
    for name, node in tree.section(section).items():
        for known in node.get('key_hashes', []):
            if hmac.compare_digest(known, digest):
                branches = tuple(node.get('branches', ()))
                found = Caller(name, operator, branches)
    if found is None:
        raise errors.NotAuthentic('the key is not known')
    return found


def check_branch(caller: Caller, node: str) -> None:
    """Raises `errors.NotAllowed` unless an operator may change a node."""
    if not any(node.startswith(branch) for branch in caller.branches):
        raise errors.NotAllowed(f'{caller.name} may not change {node}')
