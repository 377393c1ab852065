"""The settings in force at this host, and how newer ones come into force."""

import collections
import typing

import msgspec

from sardinebend_peers import messages
from sardinebend_settings import tree as tree_lib

MAX_HISTORY: typing.Final = 1000


class _Step(typing.NamedTuple):
    """The nodes that one version changed; `None` for a removed node."""

    version: int
    nodes: dict[str, typing.Any]


class SettingsState:
    """The tree in force; its version only ever rises.

    Attributes:
        tree: The tree in force.
    """

    def __init__(self, tree: tree_lib.Tree) -> None:
        self.tree = tree
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._listeners: list[typing.Callable[[tree_lib.Tree], None]] = []

    def add_listener(
        self, listener: typing.Callable[[tree_lib.Tree], None]
    ) -> None:
        """Calls a function now and with each newer tree."""
        self._listeners.append(listener)
        listener(self.tree)

    def apply_tree(self, tree: tree_lib.Tree) -> bool:
        """Puts a whole tree in force; false for one that isn't newer."""
        if tree.version <= self.tree.version:
            return False
        if tree.version == self.tree.version + 1:
            self._steps.append(_Step(tree.version, _diff(self.tree, tree)))
        else:
            self._steps.clear()
        self.tree = tree
        for listener in self._listeners:
            listener(tree)
        return True

    def make_reply(self, have_version: int) -> messages.SettingsReply:
        """Returns what a host that has an older version is missing."""
        wanted = self.tree.version - have_version
        steps = [step for step in self._steps if step.version > have_version]
        if have_version > 0 and 0 <= wanted == len(steps):
            nodes: dict[str, typing.Any] = {}
            for step in steps:
                nodes |= step.nodes
            base = have_version
        else:
            nodes = dict(self.tree.nodes)
            base = 0
        encoded = msgspec.json.encode(nodes)
        return messages.SettingsReply(self.tree.version, base, encoded)

    def apply_reply(self, reply: messages.SettingsReply) -> bool:
        """Puts a peer's reply in force.

        Returns:
            Whether this host is now at least at the reply's version; false
            for a step that starts from another version than the one in force.

        Raises:
            sardinebend_settings.errors.SettingsError: The nodes aren't valid.
            msgspec.MsgspecError: The nodes aren't JSON.
        """
        if reply.version <= self.tree.version:
            return True
        if reply.base_version not in (0, self.tree.version):
            return False
        changed = msgspec.json.decode(reply.nodes, type=dict[str, typing.Any])
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
