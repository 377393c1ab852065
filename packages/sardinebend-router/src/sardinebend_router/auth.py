"""Authentication of customers and operators by the hash of their key."""

import hashlib
import hmac
import typing

from sardinebend_router import errors
from sardinebend_settings import tree as tree_lib

BEARER_PREFIX: typing.Final = 'bearer '


class Caller(typing.NamedTuple):
    """An authenticated caller.

    Attributes:
        name: Name of the customer or operator.
        is_operator: Whether the caller is an operator.
        branches: Node path prefixes that an operator may change.
    """

    name: str
    is_operator: bool
    branches: tuple[str, ...] = ()


def hash_key(key: str) -> str:
    """Returns the hash that the settings store in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def identify(
    tree: tree_lib.Tree, authorization: str, *, operator: bool
) -> Caller:
    """Returns the caller that a bearer key belongs to.

    The key's hash is compared with every stored hash, each in constant time,
    so that the time taken doesn't reveal how similar the hashes are.

    Raises:
        errors.Unauthenticated: No customer or operator has this key.
    """
    if not authorization.lower().startswith(BEARER_PREFIX):
        raise errors.Unauthenticated('this request requires a bearer key')
    key_hash = hash_key(authorization[len(BEARER_PREFIX) :].strip())
    matched: Caller | None = None
    section = 'operators' if operator else 'customers'
    for name, node in tree.section(section).items():
        for stored_hash in node.get('key_hashes', []):
            if hmac.compare_digest(stored_hash, key_hash):
                branches = tuple(node.get('branches', ()))
                matched = Caller(name, operator, branches)
    if matched is None:
        raise errors.Unauthenticated('unknown key')
    return matched


def check_branch(caller: Caller, node: str) -> None:
    """Checks that one of an operator's branches includes a node.

    The planned stop of a host is checked by it too, as a change of the node
    `hosts/<host>`.

    Raises:
        errors.Forbidden: The operator may not change the node.
    """
    if not any(node.startswith(branch) for branch in caller.branches):
        raise errors.Forbidden(f'{caller.name} is not allowed to change {node}')
