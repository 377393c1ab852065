"""Errors of the store package."""

import typing


class PlatformError(Exception):
    """Base of every error that this package raises or returns."""


class Unavailable(PlatformError):
    """Returned when a call surely had no effect.

    The service couldn't be reached, or said that it did nothing. The call
    may be repeated.
    """


class Unclear(PlatformError):
    """Returned when a call may or may not have taken effect.

    Read the row, or repeat a conditional write, to find out.
    """


class Conflict(PlatformError):
    """Returned when a condition of a transaction didn't hold; none applied.

    Attributes:
        rows: The rows that stood against a condition, by key; `None` for a
            row that is absent.
    """

    def __init__(self, rows: dict[str, typing.Any]) -> None:
        self.rows = rows
        super().__init__(f'conflict on {", ".join(sorted(rows))}')


class HistoryLost(PlatformError):
    """Returned when a feed no longer holds what changed since a version.

    Read the whole table again.
    """


class ConnectFailed(PlatformError):
    """Raised when no connection could be opened; nothing was sent.

    Attributes:
        refused: Whether the other end's system answered that nothing listens
            there, as opposed to silence.
    """

    def __init__(self, text: str, refused: bool = False) -> None:
        self.refused = refused
        super().__init__(text)


class ExchangeFailed(PlatformError):
    """Raised when a connection failed after something may have been sent."""


class ReplyTooLarge(ExchangeFailed):
    """Raised when a reply is larger than it may be; it may have no end."""


class BadReply(PlatformError):
    """Raised when a service answers in a form that its protocol excludes."""
