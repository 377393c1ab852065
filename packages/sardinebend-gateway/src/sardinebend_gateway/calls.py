"""Calls that the gateway itself makes to endpoints: reports and orders."""

import enum
import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import crashes
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import row_guard
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

# An engine answers a report request or order within a few ms. One that takes a
# quarter of a second while requests wait for it is treated as unresponsive.
REPORT_TIMEOUT_S: typing.Final = 0.25
ORDER_TIMEOUT_S: typing.Final = 1.0
# Streams that stall at the same time share one report.
REPORT_CACHE_S: typing.Final = 0.15

ACCEPTED_STATUSES: typing.Final = (200, 202)
# The call reached another endpoint than the one that it names.
MISDIRECTED: typing.Final = 421
# A report names the engines that its sender waits for, some 60 bytes each.
MAX_REPLY_BYTES: typing.Final = 256 * 1024


class NoReport(enum.Enum):
    """Why there is no report of an endpoint.

    Attributes:
        SILENT: It didn't answer in time, or its connection failed.
        UNKNOWN: This host's own delay or link is the likely cause, or the
            endpoint has asked for a pause.
        INVALID: It answered, but not with a report.
    """

    SILENT = 'silent'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'


ReportResult = result.Result[edges_lib.Report, NoReport]


class EngineCalls:
    """Requests reports from endpoints and sends orders to them."""

    def __init__(
        self, state: state_lib.State, crash_detector: crashes.CrashDetector
    ) -> None:
        self._state = state
        self._crash_detector = crash_detector
        self._cached_reports: dict[str, tuple[float, ReportResult]] = {}
        self._pending_reports: dict[str, trio.Event] = {}

    async def report(self, endpoint: endpoints_lib.Endpoint) -> ReportResult:
        """Returns an endpoint's report, or why there is none.

        A new connection is always used, because an unresponsive connection
        doesn't show that the endpoint has failed.
        """
        name = endpoint.endpoint_id
        while name in self._pending_reports:
            await self._pending_reports[name].wait()
        cached = self._cached_reports.get(name)
        if cached is not None and clocks.now() - cached[0] < REPORT_CACHE_S:
            return cached[1]
        self._pending_reports[name] = trio.Event()
        try:
            report = await self._fetch_report(endpoint)
            self._cached_reports[name] = (clocks.now(), report)
        finally:
            self._pending_reports.pop(name).set()
        return report

    async def _fetch_report(
        self, endpoint: endpoints_lib.Endpoint
    ) -> ReportResult:
        codec = self._state.edges.engines
        asked_at = clocks.now()
        answer = await self._call(endpoint, codec.report(), REPORT_TIMEOUT_S)
        if isinstance(answer, result.Err):
            return answer
        if answer.ok_value.status != 200:
            return result.Err(NoReport.INVALID)
        try:
            report = codec.decode_report(answer.ok_value.body)
        except errors.Malformed as exc:
            row_guard.log_skipped(
                self._state, 'report', endpoint.endpoint_id, str(exc)
            )
            return result.Err(NoReport.INVALID)
        self._state.record_pace(endpoint, report.pace, asked_at)
        return result.Ok(report)

    async def place(
        self, endpoint: endpoints_lib.Endpoint, span: endpoints_lib.Span
    ) -> int | None:
        """Orders an endpoint to hold layers.

        The order names the state that a new report shows, so that the endpoint
        refuses it if it arrives late, after another order.

        Returns:
            The HTTP status of the answer, or `None` if the order wasn't sent or
            wasn't answered.
        """
        codec = self._state.edges.engines
        answer = await self.report(endpoint)
        if isinstance(answer, result.Err) or answer.ok_value.is_busy:
            return None
        report = answer.ok_value
        if not self._state.is_usable(endpoint):
            return None
        call = codec.place(span, report.orders_begun)
        reply = await self._call(endpoint, call, ORDER_TIMEOUT_S)
        status = reply.ok_value.status if isinstance(reply, result.Ok) else None
        self._state.audit.log(
            events.ORDER_SENT,
            endpoint=endpoint.endpoint_id,
            span=span,
            orders_begun=report.orders_begun,
            status=status,
        )
        return status

    async def repath(
        self, request_id: str, path: paths.Path
    ) -> connections.Reply | None:
        """Orders a request's first endpoint to continue it along a path."""
        call = self._state.edges.engines.repath(request_id, path)
        reply = await self._call(path[0].endpoint, call, REPORT_TIMEOUT_S)
        return reply.ok()

    async def _call(
        self,
        endpoint: endpoints_lib.Endpoint,
        call: edges_lib.Call,
        timeout_s: float,
    ) -> result.Result[connections.Reply, NoReport]:
        if self._state.endpoints.is_backing_off(endpoint, clocks.now()):
            return result.Err(NoReport.UNKNOWN)
        clock = self._state.host_clock
        started_at = trio.current_time()
        origin = connections.Origin(
            f'http://{endpoint.address}', fail_after=clock.fail_after
        )
        headers = self._state.edges.engines.make_headers(endpoint)
        if call.body:
            headers.append((b'content-type', b'application/json'))
        try:
            reply = await origin.exchange(
                call.method,
                call.target,
                headers,
                call.body,
                timeout_s=timeout_s,
                new_connection=True,
                max_bytes=MAX_REPLY_BYTES,
            )
        except store_errors.ConnectFailed as exc:
            outcome = self._crash_detector.record_failure_to_connect(
                endpoint, exc, started_at
            )
            self._state.metrics.count('endpoint_calls_unconnected')
            return result.Err(
                NoReport.SILENT if outcome.shows_failure else NoReport.UNKNOWN
            )
        except store_errors.PlatformError:
            self._crash_detector.record_probe(
                endpoint, crashes.ProbeResult.LISTENS
            )
            # A missing answer isn't an error here: what it means depends on the
            # caller of this method.
            self._state.metrics.count('endpoint_calls_unanswered')
            is_on_time = clock.was_on_time_since(started_at)
            return result.Err(
                NoReport.SILENT if is_on_time else NoReport.UNKNOWN
            )
        else:
            self._apply_answer_facts(endpoint, reply)
            return result.Ok(reply)
        finally:
            await origin.close()

    def _apply_answer_facts(
        self, endpoint: endpoints_lib.Endpoint, reply: connections.Reply
    ) -> None:
        headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in reply.headers.items()
        ]
        facts = self._state.edges.requests.decode_answer(reply.status, headers)
        self._state.apply_answer_facts(endpoint, facts)
        if reply.status == MISDIRECTED and facts.is_from_another(endpoint):
            self._state.record_reused_address(endpoint)
