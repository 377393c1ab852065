"""Engines that don't get a request again for a while after a refusal."""

import typing

# An engine that has refused a request, or that a refusal names as its cause,
# doesn't get it for this long, twice as long after each further refusal.
REFUSAL_PAUSE_S: typing.Final = 0.1


class _Refusals(typing.NamedTuple):
    """How often an engine was the cause of a refusal, and until when it pauses.

    `until` is by trio's clock.
    """

    times: int
    until: float


class RefusalPauses:
    """The engines that were the cause of refusals of one request."""

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    def record(self, endpoint_ids: typing.Iterable[str], now: float) -> None:
        """Records which engines were the cause of a refusal."""
        for endpoint_id in endpoint_ids:
            last = self._refusals.get(endpoint_id, _Refusals(0, 0.0))
            pause_s = REFUSAL_PAUSE_S * 2**last.times
            self._refusals[endpoint_id] = _Refusals(
                last.times + 1, now + pause_s
            )

    def list_pausing(self, now: float) -> set[str]:
        """Returns the engines that don't get the request yet."""
        return {name for name, r in self._refusals.items() if r.until > now}
