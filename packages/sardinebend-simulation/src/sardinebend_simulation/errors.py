"""Errors that the simulation raises."""


class SimulationError(Exception):
    """Base of all errors that this package raises."""


class InvalidDeployment(SimulationError):
    """Raised for an invalid deployment; the message names the field.

    Correct the file; no simulation has been run.
    """
