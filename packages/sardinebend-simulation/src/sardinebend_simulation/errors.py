"""Errors of the simulation."""


class SimulationError(Exception):
    """Base of all errors that this package raises."""


class InvalidDeployment(SimulationError):
    """Raised when a deployment can't be played; the text names the field.

    Correct the file; nothing has been played.
    """
