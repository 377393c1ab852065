"""Holds the settings in force at this host and applies newer versions."""

import collections
import typing

import msgspec

from sardinebend_peers import messages
from sardinebend_settings import tree as tree_lib
from sardinebend_store import documents

MAX_HISTORY: typing.Final = 1000


class _VersionChanges(typing.NamedTuple):
    """The nodes that one version changed; a removed node is `None`."""

    version: int
    nodes: dict[str, typing.Any]


class SettingsState:
    """Holds the settings tree in force, whose version never decreases.

    Attributes:
        tree: The tree in force.
    """

    def __init__(self, tree: tree_lib.Tree) -> None:
        self.tree = tree
        self._history: collections.deque[_VersionChanges] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._listeners: list[typing.Callable[[tree_lib.Tree], None]] = []

    def add_listener(
        self, listener: typing.Callable[[tree_lib.Tree], None]
    ) -> None:
        """Registers a function that is called now and with each newer tree."""
        self._listeners.append(listener)
        listener(self.tree)

    def apply_tree(self, tree: tree_lib.Tree) -> bool:
        """Puts a tree in force; returns false if it isn't newer."""
        if tree.version <= self.tree.version:
            return False
        if tree.version == self.tree.version + 1:
            self._history.append(
                _VersionChanges(tree.version, _diff(self.tree, tree))
            )
        else:
            self._history.clear()
        self.tree = tree
        for listener in self._listeners:
            listener(tree)
        return True

    def make_reply(self, have_version: int) -> messages.SettingsReply:
        """Returns the reply to a host that has an older version.

        It holds the nodes changed since that version if all of these changes
        are in the history, else the whole tree.
        """
        missing = self.tree.version - have_version
        later_versions = [
            entry for entry in self._history if entry.version > have_version
        ]
        if have_version > 0 and 0 <= missing == len(later_versions):
            nodes: dict[str, typing.Any] = {}
            for entry in later_versions:
                nodes |= entry.nodes
            base_version = have_version
        else:
            nodes = dict(self.tree.nodes)
            base_version = 0
        encoded = msgspec.json.encode(nodes)
        return messages.SettingsReply(self.tree.version, base_version, encoded)

    def apply_reply(self, reply: messages.SettingsReply) -> bool:
        """Puts the settings in a peer's reply in force.

        Returns:
            Whether this host now has the reply's version or a newer one;
            false if the reply's changes are relative to another version than
            the one in force.

        Raises:
            sardinebend_settings.errors.SettingsError: The nodes aren't valid.
            sardinebend_store.errors.MalformedDocument: The nodes aren't JSON.
        """
        if reply.version <= self.tree.version:
            return True
        if reply.base_version not in (0, self.tree.version):
            return False
        changed = documents.decode(reply.nodes, dict[str, typing.Any])
        if reply.base_version:
            tree = self.tree.with_changes(reply.version, changed)
        else:
            tree = tree_lib.Tree.from_nodes(reply.version, changed)
        self.apply_tree(tree)
        return True


def _diff(before: tree_lib.Tree, after: tree_lib.Tree) -> dict[str, typing.Any]:
    paths = set(before.nodes) | set(after.nodes)
    return {
        path: after.nodes.get(path)
        for path in paths
        if before.nodes.get(path) != after.nodes.get(path)
    }
