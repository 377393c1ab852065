"""Errors of the gateway package."""


class GatewayError(Exception):
    """Base of every error that this package raises."""


class BadRequest(GatewayError):
    """Raised when a caller's bytes aren't a valid request.

    Answer with `status` and close the connection.

    Attributes:
        status: HTTP status for the answer.
    """

    def __init__(self, status: int, text: str) -> None:
        self.status = status
        super().__init__(text)


class ConnectionAborted(GatewayError):
    """Raised when a caller's connection has failed or must be reset.

    It must be reset if the gateway can't complete an answer that it has
    started. In both cases the request ends.
    """


class Malformed(GatewayError):
    """Raised when external data doesn't conform to its protocol.

    Skip the entry and log it; the previous data stays in force.
    """


class TooLarge(Malformed):
    """Raised when an answer exceeds the size limit; it may be endless.

    Close the connection and mark the endpoint unhealthy.
    """


class InvalidSettings(GatewayError):
    """Raised when a host's settings lack a field or have an invalid value."""
