"""Errors of the policy package."""


class PolicyError(Exception):
    """Base class of all errors that this package raises."""


class InvalidArgument(PolicyError):
    """Raised when an argument is out of range.

    The message states the argument, its value and the expected range.
    """

    def __init__(self, name: str, value: object, expected: str) -> None:
        super().__init__(f'{name}={value!r}; expected {expected}')


class InvalidRoute(PolicyError):
    """Raised when a route's layer ranges don't cover the model exactly.

    The settings contain endpoints whose ranges have gaps or overlaps; the
    ranges have to be corrected.
    """


class MalformedClaim(PolicyError):
    """Raised when a row isn't a claim of a booking.

    Another program wrote it. It counts as a claim of unknown outcome.
    """


class UnexpectedEvent(PolicyError):
    """Raised when a state machine receives an event that can't occur.

    It indicates a defect in the runtime that drives the state machine.
    """
