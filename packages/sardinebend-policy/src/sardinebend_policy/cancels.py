"""Cancels of attempts, repeated until each stage has confirmed."""

import typing

REPEAT_AFTER_S: typing.Final = 0.5
MAX_REPEAT_AFTER_S: typing.Final = 5.0


class CancelKey(typing.NamedTuple):
    """Identifies the work of one attempt at one endpoint."""

    request_id: str
    attempt: int
    endpoint_id: str


class _PendingCancel:
    """A cancel that hasn't been confirmed yet."""

    def __init__(self, until: float, now: float) -> None:
        self.until = until
        self.due = now
        self.pause_s = REPEAT_AFTER_S


class CancelTracker:
    """Schedules cancels and their repeats.

    A cancel is repeated until the endpoint confirms it or until the deadline
    of the order passes, because the endpoint then stops by itself.
    """

    def __init__(self) -> None:
        self._pending: dict[CancelKey, _PendingCancel] = {}

    @property
    def pending(self) -> int:
        """Number of cancels that haven't been confirmed."""
        return len(self._pending)

    def add(
        self,
        request_id: str,
        attempt: int,
        endpoint_ids: typing.Iterable[str],
        until: float,
        now: float,
    ) -> None:
        """Schedules cancels of one attempt at several endpoints."""
        for endpoint_id in endpoint_ids:
            key = CancelKey(request_id, attempt, endpoint_id)
            self._pending.setdefault(key, _PendingCancel(until, now))

    def confirm(self, key: CancelKey) -> None:
        """Records that an endpoint has confirmed a cancel."""
        self._pending.pop(key, None)

    def take_due(self, now: float) -> list[CancelKey]:
        """Returns the cancels to send now and schedules their repeats."""
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
        """Returns when to call `take_due`; `None` if no cancel is pending."""
        return min((item.due for item in self._pending.values()), default=None)
