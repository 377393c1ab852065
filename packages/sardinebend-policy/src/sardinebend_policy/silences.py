"""Endpoints that didn't answer a connect in time, as seen by one host.

A host whose own link is busy finds all endpoints silent at the same moment.
"""

import typing

# Time-outs that are older say nothing about the present.
WINDOW_S: typing.Final = 1.0
# If more endpoints than this are silent, and none has accepted a connection
# meanwhile, the cause is rather on the host's own side.
MAX_SILENT: typing.Final = 2


class _Silence(typing.NamedTuple):
    """The last connect of an endpoint that timed out."""

    began_at: float
    ended_at: float


class Silences:
    """The last connect time-out of each endpoint, and the last success.

    Times are those of one clock that the caller uses, in seconds.
    """

    def __init__(self) -> None:
        self._silences: dict[str, _Silence] = {}
        self._success_began_at = float('-inf')

    def record(self, endpoint_id: str, began_at: float, now: float) -> None:
        """Records that a connect to an endpoint has timed out.

        Args:
            endpoint_id: The endpoint.
            began_at: When the connect began.
            now: The time.
        """
        self._silences[endpoint_id] = _Silence(began_at, now)

    def record_success(self, began_at: float) -> None:
        """Records that some endpoint has accepted a connection.

        Args:
            began_at: When the connect began.
        """
        self._success_began_at = max(self._success_began_at, began_at)

    def record_answer(self, endpoint_id: str) -> None:
        """Records that an endpoint has answered."""
        self._silences.pop(endpoint_id, None)

    def is_own_fault_likely(self, now: float) -> bool:
        """Returns whether the host's own link is the likely cause."""
        if self.count(now) <= MAX_SILENT:
            return False
        first = min(s.began_at for s in self._silences.values())
        return self._success_began_at < first

    def count(self, now: float) -> int:
        """Returns how many endpoints were silent within `WINDOW_S`."""
        self._silences = {
            name: silence
            for name, silence in self._silences.items()
            if now - silence.ended_at <= WINDOW_S
        }
        return len(self._silences)
