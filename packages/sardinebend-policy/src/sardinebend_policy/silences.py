"""Endpoints that didn't answer a connect in time, as seen by one host.

A host whose own link is busy finds many endpoints silent at the same moment.
"""

import typing

# Time-outs that are older say nothing about the present.
WINDOW_S: typing.Final = 1.0


class Silences:
    """The last connect time-out of each endpoint."""

    def __init__(self) -> None:
        self._silent_at: dict[str, float] = {}

    def record(self, endpoint_id: str, now: float) -> None:
        """Records that a connect to an endpoint has timed out."""
        self._silent_at[endpoint_id] = now

    def record_answer(self, endpoint_id: str) -> None:
        """Records that an endpoint has answered."""
        self._silent_at.pop(endpoint_id, None)

    def count(self, now: float) -> int:
        """Returns how many endpoints were silent within `WINDOW_S`."""
        self._silent_at = {
            name: at
            for name, at in self._silent_at.items()
            if now - at <= WINDOW_S
        }
        return len(self._silent_at)
