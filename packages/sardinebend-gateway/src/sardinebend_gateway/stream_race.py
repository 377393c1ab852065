"""Runs attempts of a stream beside each other until one delivers it.

Silence doesn't show that an engine has failed, and another engine may refuse
the stream. So an attempt that is silent goes on while a hedge, another attempt
that resumes the stream elsewhere, is begun. The first of them that delivers an
event goes on alone.
"""

import typing

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import crashes
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import stream_attempt
from sardinebend_gateway import stream_paths
from sardinebend_gateway import stream_progress
from sardinebend_gateway import stream_rivals
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_policy import paths as paths_lib
from sardinebend_store import connections

# Attempts of one stream that may run at the same time.
MAX_AT_ONCE: typing.Final = 2
ANSWERED_BESIDE: typing.Final = 'answered beside a stream that has begun'
SUPERSEDED: typing.Final = 'another attempt has delivered the next event'


class StreamRace(stream_rivals.Rivals):
    """One attempt of a stream and the hedges that are begun meanwhile.

    Attributes:
        reason: Why the last attempt failed; empty if none has.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        engine_calls: calls_lib.EngineCalls,
        paths: stream_paths.PathChooser,
        position: stream_rivals.Position,
    ) -> None:
        self.reason = ''
        self._exchange = exchange
        self._state = exchange.state
        self._calls = engine_calls
        self._paths = paths
        self._position = position
        self._nursery: trio.Nursery | None = None
        self._running: dict[stream_attempt.StreamAttempt, trio.CancelScope] = {}
        self._opening_hedges = 0
        self._refused_ids: set[str] = set()
        admitted = exchange.admitted
        # As one request, however many attempts run at once.
        self._share = (
            admitted.service.name,
            admitted.rank,
            exchange.customer_name or '',
            paths.tokens,
        )
        self._end = forwarding.End.UNREACHED
        self._reply: exchange_lib.Reply | None = None
        self._is_answered = False
        self._abort_error: errors.ConnectionAborted | None = None

    async def run(
        self, path: paths_lib.Path
    ) -> tuple[forwarding.End, exchange_lib.Reply | None]:
        """Runs an attempt along a path, and its hedges.

        Returns:
            The result of the attempt that answered the request, or of the last
            one that ended.
        """
        conn = await self._open(path)
        if conn is None:
            return forwarding.End.UNREACHED, None
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._run_attempt(conn, path)
        if self._abort_error is not None:
            raise self._abort_error
        return self._end, self._reply

    def take_lead(self, attempt: object, resume_after: bytes | None) -> bool:
        """See `Rivals.take_lead`."""
        if self._exchange.out.is_ended or self._is_answered:
            return False
        own_scope = self._running.get(
            typing.cast(stream_attempt.StreamAttempt, attempt)
        )
        if own_scope is None or own_scope.cancel_called:
            # Another attempt leads; this one hasn't come to its end yet.
            return False
        if self._position.leader is not attempt:
            if self._position.last_id != resume_after:
                return False
            self._position.leader = attempt
        for other, scope in self._running.items():
            if other is not attempt:
                scope.cancel()
        return True

    def has_hedge_path(self, path: paths_lib.Path) -> bool:
        """See `Rivals.has_hedge_path`."""
        return self._paths.find_hedge(path, self._refused_ids) is not None

    def find_hedge_path(self, path: paths_lib.Path) -> paths_lib.Path | None:
        """See `Rivals.find_hedge_path`."""
        is_full = len(self._running) + self._opening_hedges >= MAX_AT_ONCE
        if is_full or self._exchange.out.is_ended:
            return None
        return self._paths.find_hedge(path, self._refused_ids)

    def begin_hedge(self, path: paths_lib.Path) -> None:
        """See `Rivals.begin_hedge`."""
        assert self._nursery is not None
        self._opening_hedges += 1
        self._nursery.start_soon(self._run_hedge, path)

    async def _run_hedge(self, path: paths_lib.Path) -> None:
        resume_after = self._position.last_id
        first_id = path[0].endpoint.endpoint_id
        try:
            conn = await self._open(path)
            if conn is None:
                self._refused_ids.add(first_id)
                return
            is_outdated = (
                self._exchange.out.is_ended
                or self._position.last_id != resume_after
            )
            if is_outdated or not self._paths.try_take_hedge(path):
                await conn.close()
                return
        finally:
            self._opening_hedges -= 1
        self._state.metrics.count('stream_hedges')
        await self._run_attempt(conn, path)

    async def _open(
        self, path: paths_lib.Path
    ) -> connections.Connection | None:
        """Connects to the first engine; returns `None` if it can't be used."""
        first = path[0].endpoint
        conn = await self._exchange.connect(first)
        if conn is not None and all(
            self._exchange.may_send(part.endpoint) for part in path
        ):
            return conn
        self.reason = (
            'first engine unreachable, or the request may no longer be sent'
        )
        if not self._running:
            self._paths.record_unreached(first.endpoint_id)
        if conn is not None:
            await conn.close()
        return None

    async def _run_attempt(
        self, conn: connections.Connection, path: paths_lib.Path
    ) -> None:
        """Sends the request along a path, and records how that ends."""
        self._record_send(path)
        self._paths.release_room()
        progress = stream_progress.StreamProgress(
            self._exchange, path, self._paths.tokens
        )
        attempt = stream_attempt.StreamAttempt(
            progress, self._calls, self._position, self
        )
        if not self._running:
            self._position.leader = attempt
        end: forwarding.End | None = None
        reply = None
        with trio.CancelScope() as scope:
            if not self._running:
                self._state.shares.begin(*self._share)
            self._running[attempt] = scope
            try:
                end, reply = await attempt.run(conn)
            except errors.ConnectionAborted as exc:
                # Re-raised outside the nursery, which would wrap it in a group.
                self._abort_error = exc
                self._cancel_all()
            finally:
                del self._running[attempt]
                if not self._running:
                    self._state.shares.end(*self._share)
                with trio.CancelScope(shield=True):
                    await conn.close()
        if self._abort_error is not None:
            return
        if end is None:
            self._exchange.log_attempt(path[0].endpoint, SUPERSEDED, 'none')
        else:
            await self._record_end(attempt, progress, end, reply)
        for remaining in self._running:
            self._exchange.ending.endpoint = remaining.first_endpoint

    def _record_send(self, path: paths_lib.Path) -> None:
        first = path[0].endpoint
        self._exchange.ledger.record_send(first.endpoint_id)
        self._exchange.log_send(
            first, len(path), **self._paths.make_log_fields(path)
        )
        last_id = self._position.last_id
        if last_id is not None and self._exchange.out.is_started:
            self._state.audit.log(
                events.STREAM_RESUMED,
                request=self._exchange.admitted.facts.request_id,
                after_event=last_id.decode('latin-1'),
                endpoint=first.endpoint_id,
                is_hedge=bool(self._running),
            )

    async def _record_end(
        self,
        attempt: stream_attempt.StreamAttempt,
        progress: stream_progress.StreamProgress,
        end: forwarding.End,
        reply: exchange_lib.Reply | None,
    ) -> None:
        """Records the result of an attempt that has ended by itself."""
        if self._is_answered:
            # It hadn't noticed yet that another attempt has answered.
            return
        if (
            end is forwarding.End.ANSWERED
            and reply is not None
            and self._exchange.out.is_started
        ):
            # Another attempt has begun the stream since this answer was read.
            end, progress.reason = forwarding.End.FAILED, ANSWERED_BESIDE
            reply = None
        self._end, self._reply = end, reply
        if end is forwarding.End.ANSWERED:
            self._is_answered = True
            self._cancel_all()
            return
        self._exchange.ledger.record_end(end)
        self.reason = progress.reason
        first = attempt.first_endpoint
        if self._running:
            # The remaining attempt goes on with the stream.
            self._position.leader = next(iter(self._running))
            self._refused_ids.add(first.endpoint_id)
        if end is forwarding.End.NOT_RUN:
            self._exchange.ledger.record_refusal(first.endpoint_id)
            self._paths.record_refusal(
                progress.failed_ids or {first.endpoint_id}
            )
        else:
            self._paths.excluded_ids |= {
                first.endpoint_id,
                *progress.failed_ids,
            }
        self._exchange.log_attempt(first, progress.reason, end.value)
        if (
            end is forwarding.End.BROKEN
            and progress.reason != exchange_lib.QUARANTINED
        ):
            await self._probe(first, progress)

    async def _probe(
        self,
        endpoint: endpoints_lib.Endpoint,
        progress: stream_progress.StreamProgress,
    ) -> None:
        """Finds out whether an engine has ended whose attempt has broken."""
        outcome = await self._exchange.crash_detector.probe(endpoint)
        if outcome is crashes.ProbeResult.REFUSED:
            self._exchange.ledger.exclude_from_attempts(endpoint.endpoint_id)
        elif (
            outcome is crashes.ProbeResult.LISTENS
            and not progress.has_received_event
        ):
            self._state.mark_unhealthy(
                endpoint,
                'connection failed before the first event',
                has_failed=False,
                cooldown_s=endpoints_lib.STALL_COOLDOWN_S,
            )

    def _cancel_all(self) -> None:
        assert self._nursery is not None
        self._nursery.cancel_scope.cancel()
