"""Errors of the command-line tool, each with an exit code."""

import typing


class AdminError(Exception):
    """Base of every error that this package raises.

    Attributes:
        exit_code: Exit code of the command.
    """

    exit_code = 1


class Refused(AdminError):
    """Raised when the host refuses the request; the message has the reason."""

    exit_code = 1


class BadInput(AdminError):
    """Raised for invalid arguments or files; correct them."""

    exit_code = 2


class Conflict(AdminError):
    """Raised when another operator has changed the node in the meantime.

    Read the node again and base the change on its current value.
    """

    exit_code = 3

    def __init__(self, problem: dict[str, typing.Any]) -> None:
        self.problem = problem
        super().__init__(
            f'{problem["detail"]}\n  current: '
            f'{problem["current_value"]}\n  proposed: '
            f'{problem["proposed_value"]}'
        )


class Unavailable(AdminError):
    """Raised when the host or the table is unreachable; retry later."""

    exit_code = 4


class OutcomeUnknown(AdminError):
    """Raised when it is unknown whether a change was accepted.

    Retry it with the change id in the message, so that it is applied only once.
    """

    exit_code = 5


class NotConfirmed(AdminError):
    """Raised when the operator didn't confirm an irreversible action."""

    exit_code = 6


class NotFound(AdminError):
    """Raised when the logs hold no line of a request; pass more logs."""

    exit_code = 7


class Questionable(AdminError):
    """Raised when a check finds warnings only; the tree would be accepted."""

    exit_code = 8
