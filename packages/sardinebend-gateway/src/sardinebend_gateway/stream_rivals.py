"""What attempts of one stream that run at the same time share."""

import abc

from sardinebend_policy import paths as paths_lib


class Position:
    """How far the answer of a stream has come.

    Attributes:
        last_id: Id of the last event that was taken for the caller.
        leader: The attempt whose events the caller gets.
    """

    def __init__(self, last_id: bytes | None) -> None:
        self.last_id = last_id
        self.leader: object | None = None


class Rivals(abc.ABC):
    """Decides which of the attempts of a stream go on."""

    @abc.abstractmethod
    def take_lead(self, attempt: object, resume_after: bytes | None) -> bool:
        """Ends the other attempts, as this one has the next event.

        Args:
            attempt: The attempt.
            resume_after: Id of the event after which it resumed the stream.

        Returns:
            Whether it may go on: another one may have delivered events that it
            doesn't know of.
        """

    @abc.abstractmethod
    def has_hedge_path(self, path: paths_lib.Path) -> bool:
        """Returns whether a hedge of an attempt along a path is allowed."""

    @abc.abstractmethod
    def find_hedge_path(self, path: paths_lib.Path) -> paths_lib.Path | None:
        """Returns the path of a hedge that may be begun now, if any.

        Args:
            path: The path of the silent attempt.
        """

    @abc.abstractmethod
    def begin_hedge(self, path: paths_lib.Path) -> None:
        """Begins another attempt along a path that `find_hedge_path` found."""
