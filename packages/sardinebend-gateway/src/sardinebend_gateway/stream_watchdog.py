"""Diagnoses stalled streams and has them continued elsewhere.

The watchdog asks the first engine which others it waits for. It then has the
stream continued along a path that avoids them, or has a hedge begun. A silence
never ends the attempt itself: its engine may be sound and go on, and only the
caller knows how long it waits.
"""

import enum
import typing

import result
import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import stream_progress
from sardinebend_gateway import stream_rivals
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths as paths_lib
from sardinebend_policy import stream_gaps
from sardinebend_store import connections

# Pause between events that is treated as a stall, relative to the pause that
# callers accept. Two checks and a repair fit in before they leave.
STALL_FACTOR: typing.Final = 1.5
MIN_STALL_S: typing.Final = 0.25
# Callers leave after 2 s without an event. A stream that has stalled without a
# known cause for this many times its route's target latency gets a hedge, while
# the caller is still connected.
HEDGE_FACTOR: typing.Final = 2.2
MAX_REPAIRS: typing.Final = 6
# What is known of a stall whose cause no engine names.
UNEXPLAINED: typing.Final = 'none'
# An attempt that receives only bytes of an incomplete event gets a hedge after
# HEDGE_FACTOR times the target latency, and is ended after this many times as
# long.
PARTIAL_EVENT_FACTOR: typing.Final = 4
POLL_S: typing.Final = 0.02


class StallAction(enum.Enum):
    """What was decided about a stalled stream.

    Attributes:
        WAIT: Only wait: no fault was found, or no hedge is allowed.
        REPAIRED: The stream continues along another path.
        HEDGE: Another attempt runs beside this one.
        END: End this attempt: its answer has no end.
    """

    WAIT = 'wait'
    REPAIRED = 'repaired'
    HEDGE = 'hedge'
    END = 'end'


class Watchdog:
    """Watches one attempt of a stream for stalls."""

    def __init__(
        self,
        progress: stream_progress.StreamProgress,
        engine_calls: calls_lib.EngineCalls,
        rivals: stream_rivals.Rivals,
    ) -> None:
        self._progress = progress
        self._rivals = rivals
        self._state = progress.exchange.state
        self._calls = engine_calls
        self._endpoint_failed = trio.Event()
        self._repairs = 0
        self._evidence = UNEXPLAINED
        self._logged: tuple[str, StallAction] | None = None
        route = progress.exchange.admitted.route
        self._stall_s = max(MIN_STALL_S, STALL_FACTOR * route.gap_target_s)
        self._first_event_stall_s = max(self._stall_s, route.target_s)

    async def run(self) -> None:
        """Returns once the attempt should be ended."""
        self._state.add_failure_listener(self._on_endpoint_failed)
        try:
            while True:
                await self._wait_for_possible_stall()
                idle_s = self._progress.idle_s()
                has_endpoint_failed = self._endpoint_failed.is_set()
                self._endpoint_failed = trio.Event()
                is_stalled = (
                    has_endpoint_failed or idle_s >= self._stall_limit_s()
                )
                if self._progress.is_waiting_for_caller or not is_stalled:
                    continue
                self._evidence = UNEXPLAINED
                action = await self._investigate_stall(idle_s)
                self._log_decision(idle_s, action)
                if action is StallAction.END:
                    return
                if action is not StallAction.REPAIRED:
                    await trio.sleep(self._stall_s / 2)
        finally:
            self._state.remove_failure_listener(self._on_endpoint_failed)

    def _log_decision(self, idle_s: float, action: StallAction) -> None:
        """Logs what was decided, unless that has been logged before."""
        if (self._evidence, action) == self._logged:
            return
        self._logged = (self._evidence, action)
        first = self._progress.path[0].endpoint.endpoint_id
        self._state.audit.log(
            events.STREAM_STALLED,
            request=self._progress.exchange.admitted.facts.request_id,
            endpoint=first,
            idle_s=round(idle_s, 3),
            evidence=self._evidence,
            action=action.value,
            has_alternative=self._rivals.has_hedge_path(self._progress.path),
        )

    def _stall_limit_s(self) -> float:
        """Returns the time without progress that counts as a stall."""
        return (
            self._stall_s
            if self._progress.has_received_event
            else self._first_event_stall_s
        )

    async def _wait_for_possible_stall(self) -> None:
        """Waits until the stream may have stalled or an engine has failed.

        Only engines of the stream's path count. Events may arrive during the
        wait, so the caller checks again whether the stream has stalled.
        """
        wait_s = self._stall_limit_s() - self._progress.idle_s()
        with trio.move_on_after(max(POLL_S, wait_s)):
            await self._endpoint_failed.wait()

    def _on_endpoint_failed(self, endpoint_id: str) -> None:
        if any(
            p.endpoint.endpoint_id == endpoint_id for p in self._progress.path
        ):
            self._endpoint_failed.set()

    async def _investigate_stall(self, idle_s: float) -> StallAction:
        first = self._progress.path[0]
        is_backing_off = self._state.endpoints.is_backing_off(
            first.endpoint, clocks.now()
        )
        # An empty span marks a single endpoint without layers, which waits for
        # no other engine.
        if not first.span.size or is_backing_off:
            return self._handle_unexplained_stall(idle_s)
        failed_ids = {
            p.endpoint.endpoint_id
            for p in self._progress.path
            if self._is_known_to_have_failed(p.endpoint)
        }
        if not failed_ids:
            self._progress.record_wait()
            answer = await self._calls.report(first.endpoint)
            if isinstance(answer, result.Err):
                return self._handle_missing_report(answer.err_value, idle_s)
            failed_ids = await self._mark_stalled_parts(answer.ok_value)
            self._evidence = 'report of the first engine'
        else:
            self._evidence = 'engine doubted before'
        if not failed_ids:
            self._evidence = UNEXPLAINED
            return self._handle_unexplained_stall(idle_s)
        return await self._repair(failed_ids)

    def _is_known_to_have_failed(
        self, endpoint: endpoints_lib.Endpoint
    ) -> bool:
        """Returns whether streams should leave an engine without a question.

        One that has merely refused work may be short of memory: were all its
        streams moved, their tokens would fill the next one.
        """
        now = clocks.now()
        table = self._state.endpoints
        service = self._progress.exchange.admitted.service
        if self._state.watches_slowness(service) and table.has_only_refused(
            endpoint, now
        ):
            return False
        return table.is_unhealthy(endpoint, now)

    def _handle_missing_report(
        self, reason: calls_lib.NoReport, idle_s: float
    ) -> StallAction:
        first = self._progress.path[0].endpoint
        if reason is calls_lib.NoReport.INVALID:
            return self._handle_unexplained_stall(idle_s)
        self._evidence = 'no answer to a report request'
        if reason is calls_lib.NoReport.UNKNOWN:
            return StallAction.WAIT
        self._state.record_silence(first, 'report request unanswered')
        return self._begin_hedge()

    def _handle_unexplained_stall(self, idle_s: float) -> StallAction:
        progress = self._progress
        first = progress.path[0].endpoint
        now = clocks.now()
        limit_s = progress.exchange.admitted.route.target_s * HEDGE_FACTOR
        partial_event_s = progress.partial_event_s()
        if partial_event_s > limit_s:
            return self._handle_partial_event(partial_event_s, limit_s)
        stall = stream_gaps.StreamStall(
            idle_s,
            limit_s,
            progress.longest_wait_s,
            self._state.stream_gaps.longest_recent_gap_s(
                first.endpoint_id, now
            ),
        )
        if not progress.has_received_event or not stall.is_unusual:
            return StallAction.WAIT
        path = self._rivals.find_hedge_path(progress.path)
        if path is None or not stall.is_likely_faster(
            self._state.stream_gaps.longest_recent_gap_s(
                path[0].endpoint.endpoint_id, now
            )
        ):
            return StallAction.WAIT
        if self._state.stream_gaps.record_stall(first.endpoint_id, now):
            self._state.record_silence(
                first,
                'several streams stalled',
                cooldown_s=endpoints_lib.STALL_COOLDOWN_S,
            )
        self._rivals.begin_hedge(path)
        return StallAction.HEDGE

    def _handle_partial_event(
        self, partial_event_s: float, limit_s: float
    ) -> StallAction:
        """Handles an event whose end doesn't come.

        It may be endless, so it is treated as an oversized answer, however few
        bytes have arrived.
        """
        progress = self._progress
        action = StallAction.END
        if partial_event_s <= PARTIAL_EVENT_FACTOR * limit_s:
            action = self._begin_hedge()
        if action is not StallAction.WAIT:
            progress.reason = 'bytes received but no complete event'
            progress.exchange.record_oversized_answer(progress.path[0].endpoint)
        return action

    def _begin_hedge(self) -> StallAction:
        """Has a hedge begun if that is allowed, and returns what was done."""
        path = self._rivals.find_hedge_path(self._progress.path)
        if path is None:
            return StallAction.WAIT
        self._rivals.begin_hedge(path)
        return StallAction.HEDGE

    async def _mark_stalled_parts(self, report: edges_lib.Report) -> set[str]:
        failed_ids = set()
        for part in self._progress.path:
            if part.endpoint.address in report.stalled:
                self._state.record_silence(
                    part.endpoint, 'another engine waits for it'
                )
                failed_ids.add(part.endpoint.endpoint_id)
                await self._progress.exchange.crash_detector.probe(
                    part.endpoint
                )
        return failed_ids

    async def _repair(self, failed_ids: set[str]) -> StallAction:
        """Has the stream continued along a path without the failed engines."""
        first = self._progress.path[0].endpoint.endpoint_id
        started_at = trio.current_time()
        while first not in failed_ids and self._may_repair():
            path = paths_lib.repair(
                self._make_path_finder(),
                self._progress.path,
                failed_ids,
                self._progress.tokens,
            )
            if path is None:
                break
            self._repairs += 1
            self._progress.record_exposure(path)
            reply = await self._calls.repath(
                self._progress.exchange.admitted.facts.request_id, path
            )
            if (
                reply is not None
                and reply.status in calls_lib.ACCEPTED_STATUSES
            ):
                self._state.inflight.crossings.add(
                    path,
                    self._progress.tokens,
                    clocks.now(),
                    self._progress.path,
                )
                self._apply_path(path, failed_ids, started_at)
                return StallAction.REPAIRED
            refusing_id = self._mark_refusing_part(path, reply)
            if refusing_id is None:
                break
            failed_ids = failed_ids | {refusing_id}
        return self._begin_hedge()

    def _make_path_finder(self) -> paths_lib.PathFinder:
        """Returns a path finder for the current loads and link use."""
        service = self._progress.exchange.admitted.service
        assert service.engine is not None
        return self._state.path_cache_of(service).finder.with_loads(
            self._state.loads(),
            self._state.link_use(service.engine),
            paths_lib.STARTED_LINK_LIMIT,
        )

    def _may_repair(self) -> bool:
        return (
            self._repairs < MAX_REPAIRS
            and not self._progress.exchange.quarantine_left_s()
        )

    def _mark_refusing_part(
        self, path: paths_lib.Path, reply: connections.Reply | None
    ) -> str | None:
        """Marks the engine that a refused repair order names as unhealthy.

        Returns:
            Its id, or `None` if the reply names no engine of the path.
        """
        if reply is None or reply.status != 409:
            return None
        address = self._state.edges.engines.decode_refusing_address(reply.body)
        for part in path[1:]:
            if part.endpoint.address == address:
                self._state.mark_unhealthy(
                    part.endpoint,
                    endpoints_lib.REFUSED_REPAIR,
                    has_failed=False,
                )
                return part.endpoint.endpoint_id
        return None

    def _apply_path(
        self, path: paths_lib.Path, failed_ids: set[str], started_at: float
    ) -> None:
        idle_s = self._progress.idle_s()
        self._progress.change_path(path)
        self._state.audit.log(
            events.STREAM_REPAIRED,
            request=self._progress.exchange.admitted.facts.request_id,
            dead=sorted(failed_ids),
            path=[p.endpoint.endpoint_id for p in path],
            after_s=round(idle_s, 3),
            took_s=round(trio.current_time() - started_at, 3),
        )
        self._state.metrics.record_time('repair', idle_s)
