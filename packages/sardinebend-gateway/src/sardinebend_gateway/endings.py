"""How one admitted request ends: exactly one last line, and its counts."""

import enum
import typing

import trio

from sardinebend_gateway import admission
from sardinebend_gateway import events
from sardinebend_gateway import request_reader
from sardinebend_gateway import responder
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_store import connections

BROKEN_OFF: typing.Final = 'broken off'


class Interruption(enum.Enum):
    """What ended a request before it was served or had failed.

    The values are those of the label `end` of the counter `requests`.
    """

    CALLER_LEFT = 'caller left'
    HOST_ENDED = 'cut by the end of the host'


class Ending:
    """Records how one admitted request ends.

    Attributes:
        endpoint: The endpoint that currently serves the request, if any.
        last_event_at: When the engine's last event was received, by trio's
            clock; `None` before the first.
        longest_pause_s: The longest time between two events of its stream, over
            all attempts.
    """

    def __init__(
        self,
        state: state_lib.State,
        req: request_reader.Request,
        admitted: admission.Admitted,
        out: responder.Responder,
    ) -> None:
        self.endpoint: endpoints_lib.Endpoint | None = None
        self.last_event_at: float | None = None
        self.longest_pause_s = 0.0
        self._first_event_at: float | None = None
        self.inputs: dict[str, typing.Any] = {}
        self._state = state
        self._arrived_at = req.arrived_at
        self._admitted = admitted
        self._request_id = admitted.facts.request_id
        self._route = admitted.route.name
        self._timing = 0
        self._out = out
        self._answered: str | None = None
        self._exchange_end = connections.ExchangeEnd()
        self._is_recorded = False

    def start(self) -> None:
        """Begins to time the request; `close` ends that."""
        self._timing = self._state.service_times.begin(
            self._admitted.service.name,
            self._admitted.expected_answer_tokens,
            self._arrived_at,
        )

    def record_event(self) -> None:
        """Records that an event of its stream was received."""
        now = trio.current_time()
        if self.last_event_at is None:
            self._first_event_at = now
        else:
            self.longest_pause_s = max(
                self.longest_pause_s, now - self.last_event_at
            )
        self.last_event_at = now

    def took_s(self) -> float:
        """Returns the time since the request arrived."""
        return round(trio.current_time() - self._arrived_at, 4)

    def record_exchange_end(self, end: connections.ExchangeEnd) -> None:
        """Records how the exchange ended whose answer is passed on."""
        self._exchange_end = end

    def record_answered(self, outcome: str) -> None:
        """Records the status of an answer whose end is about to be sent."""
        self._answered = outcome

    def record_failed(self, outcome: str, reason: str) -> None:
        """Logs and counts a request that was not served."""
        if self._is_recorded:
            return
        self._count(outcome)
        self._state.audit.log(
            events.REQUEST_FAILED,
            request=self._request_id,
            route=self._route,
            end=outcome,
            reason=reason,
            took_s=self.took_s(),
            **self.inputs,
        )

    def record_return(self) -> None:
        """Logs and counts a request whose handler has returned."""
        if self._answered is not None and self._out.is_finished:
            self._record_served(self._answered)
        else:
            self.record_failed(BROKEN_OFF, 'handled without an answer')

    def record_error(self, error: Exception) -> None:
        """Logs and counts a request whose handler has raised an error."""
        if not self._out.is_caller_gone:
            name = type(error).__name__
            self.record_failed(BROKEN_OFF, f'error in the host: {name}')

    def close(self) -> None:
        """Logs and counts a request of which nothing else was recorded.

        Its handler was cancelled, or its caller has left.
        """
        self._record_last_line()
        self._state.service_times.end(self._timing)

    def _record_last_line(self) -> None:
        if self._is_recorded:
            return
        if self._answered is not None and self._out.is_finished:
            self._record_served(self._answered)
        elif self._out.is_caller_gone:
            self._count_interrupted(Interruption.CALLER_LEFT)
            self._log_cancelled()
        else:
            self._count_interrupted(Interruption.HOST_ENDED)
            self._log_cut()

    def _record_served(self, outcome: str) -> None:
        if self._is_recorded:
            return
        self._count(outcome)
        # Failures and resumed streams take less time than whole answers.
        is_resumed = self._admitted.facts.resume_after is not None
        if outcome.startswith('2') and not is_resumed:
            self._state.service_times.record_served(
                self._timing, trio.current_time()
            )
        took_s = self.took_s()
        self._state.metrics.record_time('request', took_s)
        self._state.audit.log(
            events.REQUEST_ENDED,
            request=self._request_id,
            route=self._route,
            status=outcome,
            took_s=took_s,
            **self._make_exchange_fields(),
            **self._make_stream_fields(),
        )

    def _make_exchange_fields(self) -> dict[str, typing.Any]:
        """Returns what was unusual of the exchange, as fields for the log."""
        fields: dict[str, typing.Any] = {}
        if self._exchange_end.ends_with_connection:
            self._state.metrics.count('answers_ended_by_connection')
            fields['ends_with_connection'] = True
        if self._exchange_end.send_failure:
            self._state.metrics.count('answers_before_whole_request')
            fields['send_failure'] = self._exchange_end.send_failure
        return fields

    def _make_stream_fields(self) -> dict[str, typing.Any]:
        """Returns when a stream's events came, as fields for the log."""
        if self._first_event_at is None:
            return {}
        self._state.metrics.record_time('longest_pause', self.longest_pause_s)
        return {
            'prompt_tokens': self._admitted.facts.prompt_tokens,
            'first_event_s': _round(self._arrived_at, self._first_event_at),
            'longest_pause_s': round(self.longest_pause_s, 3),
        }

    def _count(self, end: str) -> None:
        self._is_recorded = True
        self._state.metrics.count('requests', route=self._route, end=end)

    def _count_interrupted(self, interruption: Interruption) -> None:
        self._count(interruption.value)
        self._state.metrics.record_time('request_interrupted', self.took_s())

    def _log_cancelled(self) -> None:
        self._state.audit.log(
            events.REQUEST_CANCELLED,
            request=self._request_id,
            route=self._route,
            took_s=self.took_s(),
            endpoint=self._endpoint_id(),
            has_begun=self._out.is_started,
            answered=self._answered,
            sent_bytes=self._out.sent_bytes,
            unsent_bytes=self._out.unsent_bytes,
            since_event_s=_round(self.last_event_at, trio.current_time()),
        )

    def _log_cut(self) -> None:
        now = trio.current_time()
        stop = self._state.planned_stop
        stop_at = stop.started_at if stop else None
        self._state.audit.log(
            events.REQUEST_CUT,
            request=self._request_id,
            route=self._route,
            took_s=self.took_s(),
            arrived_after_stop_s=_round(stop_at, self._arrived_at),
            cut_after_stop_s=_round(stop_at, now),
            endpoint=self._endpoint_id(),
            has_begun=self._out.is_started,
            answered=self._answered,
            sent_bytes=self._out.sent_bytes,
            unsent_bytes=self._out.unsent_bytes,
            since_event_s=_round(self.last_event_at, now),
        )

    def _endpoint_id(self) -> str | None:
        return self.endpoint.endpoint_id if self.endpoint else None


def _round(start: float | None, end: float) -> float | None:
    """Returns the time between two moments, for the log."""
    return None if start is None else round(end - start, 3)
