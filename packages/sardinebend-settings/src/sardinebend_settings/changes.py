"""Changes to the settings tree: edits, differences and their application."""

import typing

from sardinebend_settings import errors
from sardinebend_settings import tree as tree_lib

MAX_EDITS: typing.Final = 500


class Edit(typing.TypedDict):
    """One node's new value; `None` removes the node.

    Attributes:
        node: Path of the node.
        expected_version: Version that the operator read; 0 for a new node.
        value: The new value.
    """

    node: str
    expected_version: int
    value: typing.Any


class Change(typing.TypedDict):
    """A set of edits that is accepted or refused as a whole.

    Attributes:
        change_id: Chosen by the operator's tool; shows after a lost reply
            whether the change was accepted.
        why: The operator's reason, kept in the audit trail.
        edits: The edits.
    """

    change_id: str
    why: str
    edits: list[Edit]


class Difference(typing.NamedTuple):
    """A node that differs between two trees; `None` where it is absent."""

    node: str
    before: typing.Any
    after: typing.Any


def check_change(change: Change) -> None:
    """Raises `InvalidSetting` for a change that could never be accepted."""
    if not change['change_id'] or len(change['change_id']) > 64:
        raise errors.InvalidSetting(
            'change_id', change['change_id'], '1 to 64 characters'
        )
    if not change['why'].strip():
        raise errors.InvalidSetting('why', change['why'], 'a reason')
    if not 1 <= len(change['edits']) <= MAX_EDITS:
        raise errors.InvalidSetting(
            'edits', len(change['edits']), f'1 to {MAX_EDITS} edits'
        )
    nodes = [edit['node'] for edit in change['edits']]
    if len(set(nodes)) != len(nodes):
        raise errors.InvalidSetting('edits', nodes, 'each node once')


def apply_edits(
    current: tree_lib.Tree,
    node_versions: typing.Mapping[str, int],
    change: Change,
) -> tree_lib.Tree:
    """Returns the validated tree that results from a change.

    Args:
        current: The current tree.
        node_versions: Version of each node of `current`.
        change: The change.

    Raises:
        errors.VersionConflict: A node isn't at the expected version.
        errors.InvalidSetting: The tree that results isn't valid.
    """
    check_change(change)
    changed = {}
    for edit in change['edits']:
        node = edit['node']
        version = node_versions.get(node, 0)
        if version != edit['expected_version']:
            raise errors.VersionConflict(
                node,
                edit['expected_version'],
                version,
                current.nodes.get(node),
                edit['value'],
            )
        changed[node] = edit['value']
    return current.with_changes(current.version + 1, changed)


def list_differences(
    before: tree_lib.Tree, after: tree_lib.Tree
) -> list[Difference]:
    """Returns the nodes that differ, in order of their paths."""
    paths = sorted(set(before.nodes) | set(after.nodes))
    return [
        Difference(path, before.nodes.get(path), after.nodes.get(path))
        for path in paths
        if before.nodes.get(path) != after.nodes.get(path)
    ]
