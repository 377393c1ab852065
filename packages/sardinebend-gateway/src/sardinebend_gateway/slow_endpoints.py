"""Finds engines that have turned slow, and asks those that are doubted.

A report is asked of an engine by a host that doubts it, one at a time. It is
drawn, so that hosts which doubt the same path ask different engines of it and
share what they find; those with more late events are drawn more often. The host
that asked last asks a slow engine again before the evidence loses weight.
"""

import typing

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib

# Interval between two looks at what has changed.
CHECK_INTERVAL_S: typing.Final = 0.25
# Interval between two questions, at least, of a host and of all hosts together:
# in a fleet under overload every host doubts.
ASK_INTERVAL_S: typing.Final = 0.25
FLEET_ASK_INTERVAL_S: typing.Final = 0.01
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
        self._next_question_at = float('-inf')

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = clocks.now()
            endpoint = self._choose_doubtful(now)
            if endpoint is not None and now >= self._next_question_at:
                self._next_question_at = now + max(
                    ASK_INTERVAL_S,
                    FLEET_ASK_INTERVAL_S * self._state.live_count,
                )
                await self._ask(endpoint)
            self._apply_changes()

    def _choose_doubtful(self, now: float) -> endpoints_lib.Endpoint | None:
        state = self._state
        weights = self._list_due(now) or state.slowness.doubtful(now)
        if not weights:
            return None
        (name,) = state.rng.choices(list(weights), list(weights.values()))
        return state.endpoints.get(name)

    def _list_due(self, now: float) -> dict[str, int]:
        """Returns slow engines that this host was the last to ask."""
        table = self._state.slowness
        self._asked = {
            name: at
            for name, at in self._asked.items()
            if now - at <= table.age_s(name, now) + CHECK_INTERVAL_S
        }
        return {
            name: 1
            for name in table.slow(now)
            if name in self._asked and table.age_s(name, now) >= RENEW_AGE_S
        }

    async def _ask(self, endpoint: endpoints_lib.Endpoint) -> None:
        self._state.metrics.count('endpoint_paces_asked')
        # One that doesn't answer mustn't keep others from being asked.
        self._asked.pop(endpoint.endpoint_id, None)
        answer = await self._calls.report(endpoint)
        if answer.is_ok():
            self._asked[endpoint.endpoint_id] = clocks.now()

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
