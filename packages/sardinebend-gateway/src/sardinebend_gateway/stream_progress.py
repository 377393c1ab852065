"""Progress of one stream attempt, shared by the tasks that serve it."""

import typing

from sardinebend_gateway import clocks
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import stream_paces
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import paths as paths_lib

# Shortest time between two records that the engines of a path answer.
CONTACT_INTERVAL_S: typing.Final = 0.5


class StreamProgress:
    """The current path of a stream and the time of its last progress.

    Attributes:
        exchange: The request.
        path: The path that the request currently runs along.
        tokens: Expected total of prompt and answer tokens.
        last_progress_at: When an event was last received or forwarded, by
            the host clock.
        longest_wait_s: The longest wait for an event so far.
        has_received_event: Whether any event has been received.
        partial_event_since: When the first bytes of an incomplete event were
            received, by the host clock; `None` if there is none.
        is_waiting_for_caller: Whether a write to the caller is in progress.
        failed_ids: Ids of engines that were found to have failed meanwhile.
        reason: Why the attempt failed; empty if it hasn't.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        path: paths_lib.Path,
        tokens: int,
    ) -> None:
        self.exchange = exchange
        self.path = path
        self.tokens = tokens
        self._clock = exchange.state.host_clock
        self.last_progress_at = self._clock.now()
        self._contact_at = float('-inf')
        self.longest_wait_s = 0.0
        self.has_received_event = False
        self.partial_event_since: float | None = None
        self._partial_event_at = self.last_progress_at
        self.is_waiting_for_caller = False
        self._pace = stream_paces.StreamPace(exchange)
        self.failed_ids: set[str] = set()
        self.reason = ''
        self._exposures = [
            exchange.begin_exposure(part.endpoint for part in path)
        ]
        admitted = exchange.admitted
        is_resumed = (
            exchange.out.is_started or admitted.facts.resume_after is not None
        )
        # An engine that goes on with a stream reads what there is of it, too.
        self._unread_tokens = (
            tokens if is_resumed else admitted.facts.prompt_tokens
        )
        self._counts_reading = exchange.state.counts_reading(
            admitted.service.name
        )
        self._reading_path: paths_lib.Path = ()

    def idle_s(self) -> float:
        """Returns the time since the last progress, without own delays."""
        return self._clock.now() - self.last_progress_at

    def record_progress(self) -> None:
        """Records that an event was received or forwarded."""
        self.last_progress_at = self._clock.now()

    def record_partial_event(self, partial_event_bytes: int) -> None:
        """Records how many bytes of an incomplete event are buffered."""
        if not partial_event_bytes:
            self.partial_event_since = None
            return
        self._partial_event_at = self._clock.now()
        if self.partial_event_since is None:
            self.partial_event_since = self._partial_event_at

    def partial_event_s(self) -> float:
        """Returns for how long bytes of an incomplete event have arrived.

        A silence after them doesn't count. 0 if there are none.
        """
        if self.partial_event_since is None:
            return 0.0
        return self._partial_event_at - self.partial_event_since

    def record_event(self) -> None:
        """Records a received event.

        An event shows that all engines of the path run the request without
        failing.
        """
        waited_s = self.idle_s()
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        self._pace.record_event(
            self.path, waited_s if self.has_received_event else None
        )
        if self.has_received_event:
            first = self.path[0].endpoint.endpoint_id
            self.exchange.state.stream_gaps.record(
                first, waited_s, clocks.now()
            )
        self._end_reading()
        self._record_contact()
        self.record_progress()
        self.exchange.ending.record_event()
        if not self.has_received_event:
            self.exchange.clear_suspicion()
        self.has_received_event = True
        self.partial_event_since = None
        self.clear_exposures()

    def record_wait(self) -> None:
        """Records that the next event of a stream is late."""
        if self.has_received_event:
            self._pace.record_wait(self.path, self.idle_s())

    def _record_contact(self) -> None:
        now = self._clock.now()
        if now - self._contact_at >= CONTACT_INTERVAL_S:
            self._contact_at = now
            for part in self.path:
                self.exchange.state.record_contact(part.endpoint)

    def record_exposure(self, path: paths_lib.Path) -> None:
        """Records that the request is about to reach the engines of a path.

        Engines of the current path are recorded already.
        """
        known = {part.endpoint for part in self.path}
        added = [part.endpoint for part in path if part.endpoint not in known]
        self._exposures.append(self.exchange.begin_exposure(added))

    def clear_exposures(
        self, except_for: typing.Collection[endpoints_lib.Endpoint] = ()
    ) -> None:
        """Clears the request of suspicion at all engines except the given ones.

        Args:
            except_for: Engines that aren't known to have survived the request.
        """
        for exposure in self._exposures:
            exposure.clear(except_for)

    def start(self) -> None:
        """Counts the request as in flight at the engines of its path."""
        self._add_to_counts()
        self._begin_reading(self.path)

    def change_path(self, path: paths_lib.Path) -> None:
        """Moves the in-flight count of the request to another path.

        New parts read all tokens so far; the others keep them.
        """
        is_reading = bool(self._reading_path)
        new_parts = tuple(part for part in path if part not in self.path)
        self._stop_counting()
        self.path = path
        self._add_to_counts()
        if not is_reading:
            self._unread_tokens = self.tokens
        self._begin_reading(path if is_reading else new_parts)
        self.record_progress()

    def close(self) -> None:
        """Closes the exposures and removes the request from the counts."""
        for exposure in self._exposures:
            exposure.close()
        self._stop_counting()

    def _add_to_counts(self) -> None:
        inflight = self.exchange.state.inflight
        inflight.add(self.path, self.tokens)
        if self._counts_reading:
            inflight.add_first(self.path)

    def _begin_reading(self, path: paths_lib.Path) -> None:
        if self._counts_reading:
            self._reading_path = path
            self.exchange.state.inflight.begin_reading(
                path, self._unread_tokens
            )

    def _end_reading(self) -> None:
        path, self._reading_path = self._reading_path, ()
        self.exchange.state.inflight.end_reading(path, self._unread_tokens)

    def _stop_counting(self) -> None:
        self._end_reading()
        inflight = self.exchange.state.inflight
        inflight.remove(self.path, self.tokens)
        if self._counts_reading:
            inflight.remove_first(self.path)
