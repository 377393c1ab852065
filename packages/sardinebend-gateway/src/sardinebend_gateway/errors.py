"""Errors of the gateway package."""


class GatewayError(Exception):
    """Base of every error that this package raises."""


class BadRequest(GatewayError):
    """Raised when a caller's bytes can't be taken as a request.

    Answer with `status` and close the connection.

    Attributes:
        status: HTTP status that says what is wrong.
    """

    def __init__(self, status: int, text: str) -> None:
        self.status = status
        super().__init__(text)


class CallerGone(GatewayError):
    """Raised when a caller's connection has failed; stop work for it."""


class Malformed(GatewayError):
    """Raised when outside data isn't in the form that its protocol states.

    Skip the entry and log it; what was known before stays in force.
    """


class TooLarge(Malformed):
    """Raised when an answer takes more bytes than any may; it may have no end.

    Close the connection and pass the endpoint over for a while.
    """


class InvalidSettings(GatewayError):
    """Raised when a host's settings lack a field or hold a wrong value."""
