"""Finds engines that have turned slow, and asks those that are doubted.

A report is asked of an engine by the host that doubts it, one at a time, in no
particular order, so that hosts which doubt the same path ask different engines
of it and share what they find. The host that asked last asks a slow engine
again before the evidence loses weight.
"""

import typing

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib

# Interval between two questions of a host, at least.
ASK_INTERVAL_S: typing.Final = 0.25
# Age of this host's evidence at which it asks a slow engine again.
RENEW_AGE_S: typing.Final = 2.5


class SlowEndpoints:
    """Keeps a host's knowledge of slow engines current."""

    def __init__(
        self, state: state_lib.State, engine_calls: calls_lib.EngineCalls
    ) -> None:
        self._state = state
        self._calls = engine_calls
        self._asked: dict[str, float] = {}

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await trio.sleep(ASK_INTERVAL_S)
            endpoint = self._choose_doubtful()
            if endpoint is not None:
                await self._ask(endpoint)
            self._apply_changes()

    def _choose_doubtful(self) -> endpoints_lib.Endpoint | None:
        state = self._state
        now = clocks.now()
        names = state.slowness.doubtful(now) or self._list_due(now)
        known = [state.endpoints.get(name) for name in names]
        candidates = [e for e in known if e is not None]
        return state.rng.choice(candidates) if candidates else None

    def _list_due(self, now: float) -> list[str]:
        """Returns slow engines that this host was the last to ask."""
        table = self._state.slowness
        self._asked = {
            name: at
            for name, at in self._asked.items()
            if now - at <= table.age_s(name, now) + ASK_INTERVAL_S
        }
        return [
            name
            for name in table.slow(now)
            if name in self._asked and table.age_s(name, now) >= RENEW_AGE_S
        ]

    async def _ask(self, endpoint: endpoints_lib.Endpoint) -> None:
        self._state.metrics.count('endpoint_paces_asked')
        answer = await self._calls.report(endpoint)
        now = clocks.now()
        if answer.is_ok():
            self._asked[endpoint.endpoint_id] = now

    def _apply_changes(self) -> None:
        """Lets paths go by what is known now; logs what has changed."""
        state = self._state
        now = clocks.now()
        for change in state.slowness.take_changes(now):
            state.metrics.count('endpoint_slowness_changed')
            state.audit.log(
                events.ENDPOINT_SLOW,
                endpoint=change.endpoint_id,
                factor=round(change.factor, 2),
                previous=round(change.previous, 2),
                age_s=round(state.slowness.age_s(change.endpoint_id, now), 3),
            )
        state.inflight.slowness = state.slowness.slow(now)
