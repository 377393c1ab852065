"""One attempt of a stream: forwards complete events in order."""

import collections.abc
import contextlib
import typing

import trio

from sardinebend_gateway import answer_buffers
from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import event_stream
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import replies
from sardinebend_gateway import responder
from sardinebend_gateway import stream_progress
from sardinebend_gateway import stream_rivals
from sardinebend_gateway import stream_watchdog
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from sardinebend_store import reply_heads

# Memory that an event takes in addition to its bytes.
HELD_EVENT_OVERHEAD_BYTES: typing.Final = 128
# A longer wait than for other answers costs little, as no event is held up.
RESET_WAIT_S: typing.Final = 0.05
# Bytes that are split into events at a time. A blank event has two.
PIECE_BYTES: typing.Final = 8 * 1024


class StreamAttempt:
    """Sends a streamed request along a path and forwards its events.

    Attributes:
        first_endpoint: The first engine of its path.
        resume_after: Id of the event after which it resumes the stream.
    """

    def __init__(
        self,
        progress: stream_progress.StreamProgress,
        engine_calls: calls_lib.EngineCalls,
        position: stream_rivals.Position,
        rivals: stream_rivals.Rivals,
    ) -> None:
        self.resume_after = position.last_id
        self._position = position
        self._rivals = rivals
        self._progress = progress
        self._exchange = progress.exchange
        self._state = progress.exchange.state
        self._watchdog = stream_watchdog.Watchdog(
            progress, engine_calls, rivals
        )
        self.first_endpoint = progress.path[0].endpoint
        self._splitter = event_stream.EventSplitter()
        # Events without an id that came before this attempt had the lead.
        self._held_events: list[event_stream.StreamEvent] = []
        self._end = forwarding.End.BROKEN
        self._reply: exchange_lib.Reply | None = None
        self._abort_error: errors.ConnectionAborted | None = None

    async def run(
        self, conn: connections.Connection
    ) -> tuple[forwarding.End, exchange_lib.Reply | None]:
        """Sends the request and forwards its events."""
        self._progress.start()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, nursery.cancel_scope)
                nursery.start_soon(self._watch_quarantine, nursery.cancel_scope)
                await self._read(conn)
                nursery.cancel_scope.cancel()
        finally:
            self._progress.close()
        if self._abort_error is not None:
            raise self._abort_error
        return self._end, self._reply

    async def _watch(self, scope: trio.CancelScope) -> None:
        await self._watchdog.run()
        if not self._exchange.out.is_ended:
            self._end = forwarding.End.BROKEN
        scope.cancel()

    async def _watch_quarantine(self, scope: trio.CancelScope) -> None:
        """Ends the attempt if its request is quarantined meanwhile.

        An engine that drops the request before it begins the answer survives.
        """
        while not self._progress.has_received_event:
            changed = self._state.quarantine_changed
            if self._exchange.quarantine_left_s():
                self._progress.reason = exchange_lib.QUARANTINED
                self._end = forwarding.End.BROKEN
                scope.cancel()
                return
            await changed.wait()

    async def _read(self, conn: connections.Connection) -> None:
        exchange = self._exchange
        codec = self._state.edges.requests
        path = self._progress.path
        dispatch = edges_lib.Dispatch(
            endpoint=self.first_endpoint,
            # An empty span marks a single endpoint without layers.
            path=path if path[0].span.size else None,
            time_left_s=exchange.time_left_s(),
            customer=exchange.customer_name,
            resume_after=self.resume_after,
            priority=exchange.admitted.rank,
        )
        req = exchange.req
        headers = codec.make_request_headers(req.headers, dispatch)
        try:
            async with conn.stream(
                req.method, req.target, headers, req.content
            ) as response:
                await self._read_response(conn, response)
        except (errors.TooLarge, store_errors.ReplyTooLarge) as exc:
            exchange.record_oversized_answer(self.first_endpoint)
            self._progress.reason = str(exc)
            self._end = forwarding.End.BROKEN
        except (store_errors.ExchangeFailed, errors.Malformed) as exc:
            self._progress.reason = str(exc)
            self._end = forwarding.End.BROKEN
        except errors.ConnectionAborted as exc:
            # Re-raised outside the nursery, which would wrap it in a group.
            self._abort_error = exc

    async def _read_response(
        self, conn: connections.Connection, response: typing.Any
    ) -> None:
        exchange = self._exchange
        facts = replies.decode_answer(exchange, self.first_endpoint, response)
        if response.status != 200:
            reply = await replies.read_reply(
                exchange, conn, self.first_endpoint, response, facts
            )
            self._end, self._progress.reason, self._reply = (
                replies.classify_reply(exchange, self.first_endpoint, reply)
            )
            if self._end is forwarding.End.ANSWERED and exchange.out.is_started:
                # Such an answer can't go on with the stream.
                self._end = forwarding.End.FAILED
                self._progress.reason = f'status {response.status} midway'
            at_fault_endpoints = self._mark_part_at_fault(facts)
            if self._end in forwarding.ENDS_SHOWING_LIVENESS:
                self._progress.clear_exposures(except_for=at_fault_endpoints)
            for endpoint in at_fault_endpoints:
                await self._exchange.crash_detector.probe(endpoint)
            return
        reply = exchange_lib.Reply(200, response.headers, b'', facts)
        self._end, self._progress.reason, _ = replies.classify_reply(
            exchange, self.first_endpoint, reply
        )
        if self._end is not forwarding.End.ANSWERED:
            return
        self._end = forwarding.End.BROKEN
        if exchange.out.is_started and exchange.out.media_type != (
            responder.get_media_type(response.headers)
        ):
            self._progress.reason = 'answer of another media type midway'
            return
        await self._forward_events(conn, response)

    def _mark_part_at_fault(
        self, facts: edges_lib.AnswerFacts
    ) -> list[endpoints_lib.Endpoint]:
        """Marks an engine as unhealthy if a refusal names it as its cause.

        Returns:
            A list with that engine; empty if no engine of the path is named, or
            the first one, which sent the refusal.
        """
        at_fault_endpoints: list[endpoints_lib.Endpoint] = []
        if not self._exchange.is_answered_by(facts):
            return at_fault_endpoints
        for part in self._progress.path:
            if part.endpoint.address == facts.faulty_address:
                self._progress.failed_ids.add(part.endpoint.endpoint_id)
                if part.endpoint != self.first_endpoint:
                    at_fault_endpoints.append(part.endpoint)
                    self._state.mark_unhealthy(
                        part.endpoint,
                        endpoints_lib.NAMED_IN_REFUSAL,
                        has_failed=False,
                    )
        return at_fault_endpoints

    async def _forward_events(
        self, conn: connections.Connection, response: typing.Any
    ) -> None:
        buffer = self._state.answer_buffers.open(event_stream.MAX_EVENT_BYTES)
        try:
            if not await self._forward_chunks(response, buffer):
                return
            await replies.check_end(
                self._exchange, conn, self.first_endpoint, RESET_WAIT_S
            )
            if self._take_lead():
                self._exchange.ending.record_exchange_end(conn.exchange_end)
                await self._finish()
        finally:
            buffer.close()

    async def _forward_chunks(
        self, response: typing.Any, buffer: answer_buffers.AnswerBuffer
    ) -> bool:
        """Forwards the events; returns whether they came to an end."""
        async for chunk in response.aiter_stream():
            # The first piece counts for all chunks that were joined.
            chunk_count = reply_heads.count_chunks(chunk)
            for start in range(0, len(chunk), PIECE_BYTES):
                piece = chunk[start : start + PIECE_BYTES]
                if not await self._forward_piece(
                    response, buffer, piece, chunk_count
                ):
                    return False
                chunk_count = 1
        if self._splitter.has_partial_event:
            self._progress.reason = 'ended within an event'
            return False
        if not self._exchange.out.is_started:
            self._progress.reason = 'ended without an event'
            return False
        return True

    async def _finish(self) -> None:
        """Ends the answer after its last event."""
        if self._held_events:
            await self._write(b''.join(e.data for e in self._held_events))
        self._end = forwarding.End.ANSWERED
        self._exchange.ending.record_answered('200')
        self._exchange.req.content.release()
        with self._waiting_for_caller():
            await self._exchange.out.finish()
        self._state.endpoints.mark_healthy(self.first_endpoint)

    async def _forward_piece(
        self,
        response: typing.Any,
        buffer: answer_buffers.AnswerBuffer,
        piece: bytes,
        chunk_count: int,
    ) -> bool:
        """Forwards or holds the events that a piece of a chunk completes.

        Returns:
            Whether the attempt goes on; it doesn't if another one is ahead.
        """
        new_events = self._splitter.feed(piece)
        buffer.resize(self._splitter.partial_event_bytes + self._held_bytes())
        if not new_events:
            self._progress.record_partial_event(
                self._splitter.partial_event_bytes
            )
            await buffer.throttle(len(piece), chunk_count)
            return True
        if self._is_superseded():
            return False
        self._check_events(new_events)
        has_progress = any(event.is_progress for event in new_events)
        if has_progress and not self._take_lead():
            return False
        if self._position.leader is not self:
            self._held_events += new_events
            buffer.resize(
                self._splitter.partial_event_bytes + self._held_bytes()
            )
            await buffer.throttle(len(piece), chunk_count)
            return True
        await self._forward_events_of_leader(response, new_events)
        return True

    async def _forward_events_of_leader(
        self,
        response: typing.Any,
        new_events: typing.Sequence[event_stream.StreamEvent],
    ) -> None:
        out = self._exchange.out
        if not out.is_started:
            headers = self._state.edges.requests.make_answer_headers(
                response.headers
            )
            with self._waiting_for_caller():
                await out.start(200, headers)
            self._state.metrics.record_time(
                'first_event', self._exchange.took_s()
            )
        has_progress = any(event.is_progress for event in new_events)
        if has_progress:
            self._progress.record_event()
        else:
            self._progress.record_partial_event(
                self._splitter.partial_event_bytes
            )
        # Set first: events whose writing is cancelled are sent all the same,
        # before those of the next attempt.
        ids = [event.event_id for event in new_events if event.event_id]
        self._position.last_id = ids[-1] if ids else self._position.last_id
        held_events, self._held_events = self._held_events, []
        await self._write(
            b''.join(event.data for event in (*held_events, *new_events))
        )
        if has_progress:
            # Time spent waiting for the caller to read must not count as a
            # stall of the engine.
            self._progress.record_progress()

    def _held_bytes(self) -> int:
        return sum(
            len(event.data) + HELD_EVENT_OVERHEAD_BYTES
            for event in self._held_events
        )

    def _is_superseded(self) -> bool:
        """Returns whether another attempt has delivered events since."""
        return (
            self._position.leader is not self
            and self._position.last_id != self.resume_after
        )

    def _take_lead(self) -> bool:
        return self._rivals.take_lead(self, self.resume_after)

    def _check_events(
        self, new_events: typing.Sequence[event_stream.StreamEvent]
    ) -> None:
        last = self._position.last_id
        for event in new_events:
            if not event.is_well_formed:
                raise errors.Malformed('not an event')
            if event.event_id is None:
                continue
            if not event_stream.is_later_id(event.event_id, last):
                raise errors.Malformed('duplicate or out-of-order event id')
            last = event.event_id

    async def _write(self, data: bytes) -> None:
        with self._waiting_for_caller():
            await self._exchange.out.write(data)

    @contextlib.contextmanager
    def _waiting_for_caller(self) -> collections.abc.Iterator[None]:
        """Marks that the caller, not the engine, holds the stream up."""
        self._progress.is_waiting_for_caller = True
        try:
            yield
        finally:
            self._progress.is_waiting_for_caller = False
