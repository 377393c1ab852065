"""Errors of the settings package."""


class SettingsError(Exception):
    """Base of every error that this package raises."""


class DocumentUnreadable(SettingsError):
    """Raised when a settings file can't be opened or isn't JSON with comments.

    Correct the file's name, permissions or syntax.
    """


class InvalidSetting(SettingsError):
    """Raised when the schema doesn't allow a value.

    The message names the path, the value and what is allowed there.

    Attributes:
        path: Path of the value in the document.
        value: The refused value.
        allowed: What the schema allows at this path.
    """

    def __init__(self, path: str, value: object, allowed: str) -> None:
        self.path = path
        self.value = value
        self.allowed = allowed
        super().__init__(f'{path}: {_shorten(value)} is refused; {allowed}')


class UnknownSetting(InvalidSetting):
    """Raised when a key isn't part of the schema.

    Remove the key, or correct its spelling.
    """


class UncoveredRoute(InvalidSetting):
    """Raised when a route's endpoints don't cover all layers of its model.

    Add endpoints for the missing layers in the same change, or remove the
    route first.
    """


class VersionConflict(SettingsError):
    """Raised when a node was changed since the operator last read it.

    Read the node again, and repeat the change on its current value.

    Attributes:
        node: Path of the node.
        expected_version: The version that the operator had read.
        current_version: The node's current version.
        current_value: The node's current value.
        proposed_value: The new value in the refused change.
    """

    def __init__(
        self,
        node: str,
        expected_version: int,
        current_version: int,
        current_value: object,
        proposed_value: object,
    ) -> None:
        self.node = node
        self.expected_version = expected_version
        self.current_version = current_version
        self.current_value = current_value
        self.proposed_value = proposed_value
        super().__init__(
            f'{node}: expected version {expected_version}, found version '
            f'{current_version}'
        )


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f'{text[:77]}...'
