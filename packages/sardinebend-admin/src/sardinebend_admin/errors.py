"""Errors of the operator command, each with its exit code."""

import typing


class AdminError(Exception):
    """Base of every error that this package raises.

    Attributes:
        exit_code: Exit code of the command.
    """

    exit_code = 1


class Refused(AdminError):
    """Raised when the host refuses the request; the message says why."""

    exit_code = 1


class BadInput(AdminError):
    """Raised for arguments or files that can't be used; correct them."""

    exit_code = 2


class Conflict(AdminError):
    """Raised when another operator changed the node first.

    Read the node again and repeat the change on what stands there now.
    """

    exit_code = 3

    def __init__(self, problem: dict[str, typing.Any]) -> None:
        self.problem = problem
        super().__init__(
            f'{problem["detail"]}\n  stands there: '
            f'{problem["current_value"]}\n  proposed: '
            f'{problem["proposed_value"]}'
        )


class Unavailable(AdminError):
    """Raised when the host or the table can't be reached; try again later."""

    exit_code = 4


class OutcomeUnknown(AdminError):
    """Raised when a change may have been accepted.

    Repeat it with the change id in the message: it is then made once.
    """

    exit_code = 5


class NotConfirmed(AdminError):
    """Raised when the operator didn't confirm what can't be undone."""

    exit_code = 6


class NotFound(AdminError):
    """Raised when the logs don't tell of a request; name more of them."""

    exit_code = 7
