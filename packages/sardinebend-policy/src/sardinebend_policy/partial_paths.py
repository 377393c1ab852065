"""The cheapest way that a search for a path has found to one of its layers."""

import typing

if typing.TYPE_CHECKING:
    from sardinebend_policy import paths


class PartialPath:
    """The cheapest path found so far to a layer, ending in one domain.

    Attributes:
        cost: Its cost in ms.
        part: Its last part; `None` before the first.
        before: The path without that part.
        depth: Number of its parts.
    """

    __slots__ = ('before', 'cost', 'depth', 'part')

    def __init__(
        self,
        cost: float,
        part: 'paths.Part | None' = None,
        before: 'PartialPath | None' = None,
    ) -> None:
        self.cost = cost
        self.part = part
        self.before = before
        self.depth: int = before.depth + 1 if before else 0

    def path(self) -> 'paths.Path':
        """Returns its parts in order."""
        parts = []
        node: PartialPath | None = self
        while node is not None and node.part is not None:
            parts.append(node.part)
            node = node.before
        return tuple(reversed(parts))

    def includes(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint is one of its parts."""
        node: PartialPath | None = self
        while node is not None and node.part is not None:
            if node.part.endpoint.endpoint_id == endpoint_id:
                return True
            node = node.before
        return False
