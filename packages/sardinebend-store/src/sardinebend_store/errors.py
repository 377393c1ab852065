"""Errors of the store package."""

import typing


class PlatformError(Exception):
    """Base of every error that this package raises or returns."""


class Unavailable(PlatformError):
    """Returned when a read failed, or when a write was certainly not applied.

    The service couldn't be reached or rejected the call, or the reply to a read
    was lost or malformed. A repeat can't apply a write twice, but fails again
    if the request itself was rejected, for instance with status 400 or 413.
    """


class Unclear(PlatformError):
    """Returned when a call may or may not have taken effect.

    To find out, read the row or repeat the conditional write.
    """


class Conflict(PlatformError):
    """Returned when a transaction's condition failed; nothing was written.

    Attributes:
        rows: The current rows whose version differs from the expected one, by
            key; `None` for a row that is absent.
    """

    def __init__(self, rows: dict[str, typing.Any]) -> None:
        self.rows = rows
        super().__init__(f'conflict on {", ".join(sorted(rows))}')


class HistoryLost(PlatformError):
    """Returned when a feed no longer has the changes since a version.

    Read the whole table again.
    """


class ConnectFailed(PlatformError):
    """Raised when no connection could be opened; nothing was sent.

    Attributes:
        refused: Whether the other end's system refused the connection because
            nothing listens there; false for a time-out, for instance.
    """

    def __init__(self, text: str, refused: bool = False) -> None:
        self.refused = refused
        super().__init__(text)


class ExchangeFailed(PlatformError):
    """Raised when a connection failed after the request may have been sent."""


class ReplyTooLarge(ExchangeFailed):
    """Raised when a reply exceeds the size limit; it may be endless."""


class BadReply(PlatformError):
    """Raised when a service's reply violates its protocol."""


class MalformedDocument(PlatformError):
    """Raised when JSON of another program can't be read or has another shape.

    Skip it; what was known before stays in force.
    """
