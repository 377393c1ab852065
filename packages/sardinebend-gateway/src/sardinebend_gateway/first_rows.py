"""Holds requests that come before a host has read what it serves.

A host that has just started can't say yet that a request can't be served, and a
refusal may take the last try of a caller whose host was lost.
"""

import typing

import trio

from sardinebend_gateway import state as state_lib

# Time from the first request for which all are held, as a host reads its rows
# within a second if the store or a peer answers. Then they are refused at once.
HOLD_S: typing.Final = 2.0
# Share of the time that a caller has left, after which it could go elsewhere.
MAX_LEFT_SHARE: typing.Final = 1 / 3
POLL_S: typing.Final = 0.02


class FirstRows:
    """Knows whether a host has read its configuration and listings."""

    def __init__(self, state: state_lib.State) -> None:
        self._state = state
        self._hold_until: float | None = None

    def _are_known(self) -> bool:
        return self._state.catalog is not None and self._state.has_listings()

    async def wait(self, time_left_s: float | None) -> None:
        """Returns once the rows are known or a request shouldn't wait longer.

        Args:
            time_left_s: Time that its caller waits, if it says so.
        """
        if self._are_known():
            return
        if self._hold_until is None:
            self._hold_until = trio.current_time() + HOLD_S
        wait_s = self._hold_until - trio.current_time()
        if time_left_s is not None:
            wait_s = min(wait_s, time_left_s * MAX_LEFT_SHARE)
        if wait_s <= 0:
            return
        self._state.metrics.count('requests_held_at_start')
        with trio.move_on_after(wait_s):
            while True:
                if self._are_known() or self._state.is_stopping:
                    return
                await trio.sleep(POLL_S)
