"""Cancels of attempts, repeated until every stage has confirmed."""

import typing

REPEAT_AFTER_S: typing.Final = 0.5
MAX_REPEAT_AFTER_S: typing.Final = 5.0


class CancelKey(typing.NamedTuple):
    """One attempt's work at one endpoint."""

    request_id: str
    attempt: int
    endpoint_id: str


class _Pending:
    """A cancel that isn't confirmed."""

    def __init__(self, until: float, now: float) -> None:
        self.until = until
        self.due = now
        self.pause_s = REPEAT_AFTER_S


class CancelTracker:
    """Knows which cancels have to be sent, and when again.

    An order carries its own deadline, after which the endpoint stops by
    itself; a cancel is repeated until it is confirmed or that time is past.
    """

    def __init__(self) -> None:
        self._pending: dict[CancelKey, _Pending] = {}

    @property
    def pending(self) -> int:
        """Number of cancels that aren't confirmed."""
        return len(self._pending)

    def add(
        self,
        request_id: str,
        attempt: int,
        endpoint_ids: typing.Iterable[str],
        until: float,
        now: float,
    ) -> None:
        """Starts cancels of one attempt at several endpoints."""
        for endpoint_id in endpoint_ids:
            key = CancelKey(request_id, attempt, endpoint_id)
            self._pending.setdefault(key, _Pending(until, now))

    def confirm(self, key: CancelKey) -> None:
        """Takes in an endpoint's confirmation."""
        self._pending.pop(key, None)

    def take_due(self, now: float) -> list[CancelKey]:
        """Returns the cancels to send now, and schedules their repeats."""
        due = []
        for key, pending in list(self._pending.items()):
            if pending.until <= now:
                del self._pending[key]
            elif pending.due <= now:
                due.append(key)
                pending.due = now + pending.pause_s
                pending.pause_s = min(MAX_REPEAT_AFTER_S, pending.pause_s * 2)
        return due

    def next_due(self) -> float | None:
        """Returns when `take_due` is wanted next."""
        return min((item.due for item in self._pending.values()), default=None)
