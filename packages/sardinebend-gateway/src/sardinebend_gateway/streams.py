"""Serves streamed requests along paths of engines, with retries.

Two tasks serve each attempt: `stream_attempt` forwards events to the caller,
and `stream_watchdog` acts when no events arrive.
"""

import typing

import trio

from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import crashes
from sardinebend_gateway import endings
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import stream_attempt
from sardinebend_gateway import stream_progress
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import paths as paths_lib

# A new request that finds no path waits for this share of its route's target
# latency. Longer waits fill the engines with requests whose callers have left.
PATH_WAIT_SHARE: typing.Final = 1 / 8
# Callers abandon a started stream 2 s after the last event, so the search for
# another path has to end sooner.
RESUME_WAIT_S: typing.Final = 1.2
POLL_S: typing.Final = 0.02
NO_PATH_RETRY_AFTER_S: typing.Final = 1.0


class StreamRequestHandler:
    """Serves one streamed request, with one or more attempts."""

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        engine_calls: calls_lib.EngineCalls,
    ) -> None:
        self._exchange = exchange
        self._state = exchange.state
        self._calls = engine_calls
        self._last_id = exchange.admitted.facts.resume_after
        self._excluded_ids: set[str] = set()
        self._reason = ''
        admitted = exchange.admitted
        self._tokens = (
            admitted.facts.prompt_tokens + admitted.expected_answer_tokens
        )

    async def run(self) -> None:
        """Serves the request and answers the caller."""
        exchange = self._exchange
        with trio.move_on_after(max(0.0, exchange.time_left_s())):
            await self._run_attempts()
            return
        if exchange.out.is_ended:
            # The whole answer is there; what is unsent is sent, if late.
            return
        if exchange.out.is_started:
            self._abort_stream('route timeout')
        elif exchange.ledger.sent_to:
            await exchange.send_error(forwarding.Step.TIME_OUT, 'route timeout')
        else:
            await exchange.send_error(
                forwarding.Step.REFUSE, 'no capacity in time'
            )

    async def _run_attempts(self) -> None:
        exchange = self._exchange
        end = forwarding.End.NOT_RUN
        while True:
            quarantine_s = exchange.quarantine_left_s()
            if quarantine_s:
                step = exchange.ledger.give_up_step()
                await self._finish(
                    step, exchange_lib.QUARANTINED, None, quarantine_s
                )
                return
            choice = await self._choose()
            if choice is None:
                step = exchange.ledger.give_up_step()
                reason = self._reason or self._explain_missing_path()
                wait_s = exchange.retry_after_s(NO_PATH_RETRY_AFTER_S)
                await self._finish(step, reason, None, wait_s)
                return
            end, reply = await self._attempt(choice)
            if end is forwarding.End.ANSWERED:
                if reply is not None:
                    await exchange.send_reply(reply)
                return
            step = exchange.ledger.next_step(end, exchange.time_left_s())
            is_repeat = end is not forwarding.End.UNREACHED
            if (
                step is forwarding.Step.RETRY
                and is_repeat
                and not exchange.try_spend_retry()
            ):
                self._reason += ', no retry budget'
                step = exchange.ledger.final_step(end)
            if step is not forwarding.Step.RETRY:
                await self._finish(step, self._reason, reply)
                return

    async def _finish(
        self,
        step: forwarding.Step,
        reason: str,
        reply: exchange_lib.Reply | None,
        retry_after_s: float = NO_PATH_RETRY_AFTER_S,
    ) -> None:
        exchange = self._exchange
        if exchange.out.is_started:
            self._abort_stream(reason)
        elif step is forwarding.Step.PASS_ON and reply is not None:
            await exchange.send_reply(reply)
        else:
            await exchange.send_error(step, reason, retry_after_s)

    def _abort_stream(self, reason: str) -> None:
        """Aborts a started stream so that it isn't mistaken for a complete one.

        The raised error makes the server reset the caller's connection.
        """
        self._exchange.ending.record_failed(endings.BROKEN_OFF, reason)
        raise errors.ConnectionAborted(reason)

    async def _choose(self) -> paths_lib.Path | None:
        """Returns a path with free capacity, or `None` after a short wait."""
        exchange = self._exchange
        wait_s = exchange.admitted.route.target_s * PATH_WAIT_SHARE
        if exchange.out.is_started:
            wait_s = RESUME_WAIT_S
        with trio.move_on_after(wait_s):
            while True:
                path = self._find_path()
                if path is not None:
                    return path
                if self._backoff_exceeds_wait(
                    wait_s
                ) or self._limits_exceed_wait(wait_s):
                    return None
                await trio.sleep(POLL_S)
        return None

    def _backoff_exceeds_wait(self, wait_s: float) -> bool:
        """Returns whether to stop waiting because of the endpoints' backoffs.

        That is so if the answer hasn't started, no path exists, whatever the
        load, and the earliest backoff ends only after the wait. The request is
        then refused without waiting.
        """
        left_s = self._exchange.backoff_left_s()
        return (
            left_s is not None
            and left_s > wait_s
            and not self._exchange.out.is_started
            and not self._is_connected()
        )

    def _limits_exceed_wait(self, wait_s: float) -> bool:
        """Returns whether no endpoint's limit allows a request in time.

        A started stream waits all the same: a limit may change.
        """
        left_s = self._exchange.limit_wait_s()
        return (
            left_s is not None
            and left_s > wait_s
            and not self._exchange.out.is_started
        )

    def _is_connected(self) -> bool:
        service = self._exchange.admitted.service
        if not service.has_layers:
            return self._find_single_endpoint(self._excluded_ids) is not None
        return self._state.path_cache_of(service).is_connected()

    def _explain_missing_path(self) -> str:
        engine = self._exchange.admitted.service.engine
        if engine is None or not self._exchange.admitted.service.has_layers:
            return 'no engine'
        if not self._is_connected():
            return 'no path: layers without a holder'
        if self._exchange.limit_wait_s() is not None:
            return 'no path: limits of all first engines used up'
        if self._state.link_use(engine) >= paths_lib.LINK_LIMIT:
            return 'no path: no capacity, or only over saturated links'
        return f'no path: no capacity for {self._tokens} tokens'

    def _find_path(self) -> paths_lib.Path | None:
        """Returns a path, counted as load on links and towards limits.

        A crossing is a step of a path into another failure domain.
        """
        path = self._search(self._excluded_ids)
        if path is not None:
            self._state.try_take_from_limit(path[0].endpoint)
        if path is not None and self._exchange.admitted.service.has_layers:
            self._state.inflight.crossings.add(path, self._tokens, clocks.now())
        return path

    def _find_alternative_path(self, endpoint_id: str) -> paths_lib.Path | None:
        """Returns a path that avoids an engine and could continue the stream.

        Returns `None` as well if the route or the retry budget allows no
        further attempt: without a successor, the current attempt is better
        kept than ended.
        """
        exchange = self._exchange
        budget = self._state.budget_of(exchange.admitted.service.name)
        if (
            not exchange.admitted.route.may_repeat
            or not exchange.ledger.can_send()
            or not budget.can_spend(clocks.now())
        ):
            return None
        return self._search({*self._excluded_ids, endpoint_id})

    def _search(self, excluded_ids: set[str]) -> paths_lib.Path | None:
        service = self._exchange.admitted.service
        if not service.has_layers:
            return self._find_single_endpoint(excluded_ids)
        assert service.engine is not None
        return self._state.path_cache_of(service).choose(
            self._tokens,
            self._state.loads(),
            excluded_ids,
            self._state.link_use(service.engine),
            paths_lib.STARTED_LINK_LIMIT
            if self._exchange.out.is_started
            else paths_lib.LINK_LIMIT,
            avoid_first=self._state.list_over_limit(service.name),
        )

    def _find_single_endpoint(
        self, excluded_ids: typing.Collection[str]
    ) -> paths_lib.Path | None:
        """Returns a path of one endpoint that holds the whole model."""
        state = self._state
        now = clocks.now()
        name = self._exchange.admitted.service.name
        candidates = [
            e
            for e in state.endpoints.list_usable(name, now)
            if e.endpoint_id not in excluded_ids and not state.limit_wait_s(e)
        ]
        endpoint = state.balancer.choose(candidates, state.cfg.domain, now)
        if endpoint is None:
            return None
        # An empty span marks an endpoint without layers, which serves the
        # request alone.
        return (paths_lib.Part(endpoint, endpoints_lib.Span(0, 0)),)

    def _make_path_fields(self, path: paths_lib.Path) -> dict[str, typing.Any]:
        """Returns the inputs to the choice of a path, as fields for the log."""
        engine = self._exchange.admitted.service.engine
        # An empty span marks a single endpoint without layers.
        if engine is None or not path[0].span.size:
            return {}
        return {
            'tokens': self._tokens,
            'crossings': inflight_lib.count_crossings(path),
            'link_use': round(self._state.link_use(engine), 2),
            'domain': path[0].endpoint.domain,
        }

    async def _attempt(
        self, path: paths_lib.Path
    ) -> tuple[forwarding.End, exchange_lib.Reply | None]:
        exchange = self._exchange
        first_endpoint = path[0].endpoint
        conn = await exchange.connect(first_endpoint)
        if conn is None or not all(
            exchange.may_send(part.endpoint) for part in path
        ):
            self._excluded_ids.add(first_endpoint.endpoint_id)
            self._reason = (
                'first engine unreachable, or the request may no longer be sent'
            )
            if conn is not None:
                await conn.close()
            return forwarding.End.UNREACHED, None
        exchange.ledger.record_send(first_endpoint.endpoint_id)
        exchange.log_send(
            first_endpoint, len(path), **self._make_path_fields(path)
        )
        if self._last_id is not None and exchange.out.is_started:
            self._state.audit.log(
                events.STREAM_RESUMED,
                request=exchange.admitted.facts.request_id,
                after_event=self._last_id.decode('latin-1'),
                endpoint=first_endpoint.endpoint_id,
            )
        progress = stream_progress.StreamProgress(exchange, path, self._tokens)
        attempt = stream_attempt.StreamAttempt(
            progress, self._calls, self._last_id, self._find_alternative_path
        )
        try:
            end, reply = await attempt.run(conn)
        finally:
            self._last_id = attempt.last_id
            with trio.CancelScope(shield=True):
                await conn.close()
        if progress.reason == exchange_lib.QUARANTINED:
            # This host ended the attempt, which says nothing of the engine.
            self._reason = progress.reason
        elif end is forwarding.End.BROKEN:
            outcome = await exchange.crash_detector.probe(first_endpoint)
            if outcome.shows_failure:
                exchange.ledger.exclude_from_attempts(
                    first_endpoint.endpoint_id
                )
            elif (
                outcome is crashes.ProbeResult.LISTENS
                and not progress.has_received_event
            ):
                self._state.mark_unhealthy(
                    first_endpoint,
                    'connection failed before the first event',
                    has_failed=False,
                    cooldown_s=endpoints_lib.STALL_COOLDOWN_S,
                )
        if end is not forwarding.End.ANSWERED:
            self._reason = progress.reason
            self._excluded_ids |= progress.failed_ids
            if end is not forwarding.End.NOT_RUN:
                self._excluded_ids.add(first_endpoint.endpoint_id)
            exchange.log_attempt(first_endpoint, progress.reason, end.value)
        return end, reply
