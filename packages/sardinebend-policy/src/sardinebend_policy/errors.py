"""Errors of the policy package."""


class PolicyError(Exception):
    """Base of every error that this package raises."""


class InvalidArgument(PolicyError):
    """Raised when an argument is outside its range.

    The message names the argument, the value and the expected range.
    """

    def __init__(self, name: str, value: object, expected: str) -> None:
        super().__init__(f'{name}={value!r}; expected {expected}')


class InvalidRoute(PolicyError):
    """Raised when a route's layer ranges don't cover the model exactly.

    The settings describe endpoints that don't join up; correct their ranges.
    """


class UnexpectedEvent(PolicyError):
    """Raised when a machine gets an event that its runtime can't have seen.

    It shows a defect of the runtime that carries the machine.
    """
