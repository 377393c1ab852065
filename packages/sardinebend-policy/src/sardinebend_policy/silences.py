"""Endpoints that didn't answer a connect in time, as seen by one host.

A host whose own link is busy finds many endpoints silent at the same moment.
"""

import typing

# Time-outs that are older say nothing about the present.
WINDOW_S: typing.Final = 1.0
# If more endpoints than this are silent at the same moment, the cause is rather
# on the host's own side. If it isn't, few requests are lost: those that meet
# such an endpoint try another one.
MAX_SILENT: typing.Final = 2


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

    def is_own_fault_likely(self, now: float) -> bool:
        """Returns whether the host's own link is the likely cause."""
        return self.count(now) > MAX_SILENT

    def count(self, now: float) -> int:
        """Returns how many endpoints were silent within `WINDOW_S`."""
        self._silent_at = {
            name: at
            for name, at in self._silent_at.items()
            if now - at <= WINDOW_S
        }
        return len(self._silent_at)
