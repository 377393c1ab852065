"""Streams along paths of model engines: sent, watched, repaired, resumed.

Two tasks serve a stream. The reader passes on whole events. The watchdog
looks for the cause when events stay out: it asks the first engine which others
it waits for, and has the stream continued around them, or gives the attempt up
so that it is resumed elsewhere.
"""

import enum
import typing

import trio

from sardinebend_gateway import admission
from sardinebend_gateway import calls as calls_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import event_stream
from sardinebend_gateway import events
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import paths as paths_lib
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

# Pause between events that is looked into, relative to the pause that callers
# accept; two looks and a repair fit in before they leave.
STALL_SHARE: typing.Final = 1.5
MIN_STALL_S: typing.Final = 0.25
# Callers leave after 2 s without an event; a stream whose cause isn't found
# by then is moved while one is still there to see it.
GIVE_UP_SHARE: typing.Final = 2.2
MAX_REPAIRS: typing.Final = 6
# A new request that finds no path waits for this part of its target: longer
# waits fill the engines with requests whose callers have left.
WAIT_SHARE: typing.Final = 1 / 8
# Callers leave a begun stream 2 s after the last event.
RESUME_WAIT_S: typing.Final = 1.2
POLL_S: typing.Final = 0.02
NO_PATH_RETRY_S: typing.Final = 1.0


class _Verdict(enum.Enum):
    """What the watchdog makes of a silence."""

    WAIT = 'wait'
    REPAIRED = 'repaired'
    MOVE = 'move'


def _expect_tokens(admitted: admission.Admitted) -> int:
    """Returns how many tokens a request is expected to reach."""
    facts = admitted.facts
    answer: float = facts.answer_tokens
    if facts.expected_tokens is not None:
        answer = facts.expected_tokens
    elif admitted.service.engine is not None:
        answer = min(answer, admitted.service.engine.usual_answer)
    return facts.prompt_tokens + int(answer)


class StreamRun:
    """One streamed request, over as many attempts as it takes."""

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        engine_calls: calls_lib.EngineCalls,
    ) -> None:
        self._exchange = exchange
        self._state = exchange.state
        self._calls = engine_calls
        self._last_id = exchange.admitted.facts.resume_after
        self._avoid: set[str] = set()
        self._reason = ''
        self._tokens = _expect_tokens(exchange.admitted)

    async def run(self) -> None:
        """Has the request served and answers its caller."""
        exchange = self._exchange
        with trio.move_on_after(max(0.0, exchange.time_left_s())):
            await self._run_attempts()
            return
        if exchange.out.is_started:
            self._break_off('timeout of the route')
        elif exchange.ledger.sent_to:
            await exchange.end_without_answer(
                forwarding.Step.TIME_OUT, 'timeout of the route'
            )
        else:
            await exchange.end_without_answer(
                forwarding.Step.REFUSE, 'no room in time'
            )

    async def _run_attempts(self) -> None:
        exchange = self._exchange
        end = forwarding.End.NOT_RUN
        while True:
            choice = await self._choose()
            if choice is None:
                step = forwarding.Step.REFUSE
                if exchange.ledger.may_have_run:
                    step = forwarding.Step.FAIL
                reason = self._reason or self._why_no_path()
                await self._end(step, reason, None)
                return
            end, reply = await self._attempt(choice)
            if end is forwarding.End.ANSWERED:
                if reply is not None:
                    await exchange.pass_on(reply)
                return
            step = exchange.ledger.next_step(end, exchange.time_left_s())
            is_repeat = end is not forwarding.End.UNREACHED
            if (
                step is forwarding.Step.RETRY
                and is_repeat
                and not exchange.may_spend_retry()
            ):
                self._reason += ', no retry budget'
                step = exchange.ledger.final_step(end)
            if step is not forwarding.Step.RETRY:
                await self._end(step, self._reason, reply)
                return

    async def _end(
        self,
        step: forwarding.Step,
        reason: str,
        reply: exchange_lib.Reply | None,
    ) -> None:
        exchange = self._exchange
        if exchange.out.is_started:
            self._break_off(reason)
        elif step is forwarding.Step.PASS_ON and reply is not None:
            await exchange.pass_on(reply)
        else:
            await exchange.end_without_answer(step, reason, NO_PATH_RETRY_S)

    def _break_off(self, reason: str) -> None:
        """Ends a begun stream so that it can't be taken for a whole one."""
        self._exchange.fail('broken off', reason)
        raise errors.CallerGone(reason)

    async def _choose(self) -> paths_lib.Path | None:
        """Returns a path with room, waiting for one for a short while."""
        exchange = self._exchange
        wait_s = exchange.admitted.route.target_s * WAIT_SHARE
        if exchange.out.is_started:
            wait_s = RESUME_WAIT_S
        with trio.move_on_after(wait_s):
            while True:
                path = self._find_path()
                if path is not None:
                    return path
                await trio.sleep(POLL_S)
        return None

    def _why_no_path(self) -> str:
        service = self._exchange.admitted.service
        if not service.has_layers:
            return 'no engine'
        if not self._state.book_of(service).is_connected():
            return 'no path: layers without a holder'
        return f'no path: no room for {self._tokens} tokens'

    def _find_path(self) -> paths_lib.Path | None:
        service = self._exchange.admitted.service
        if not service.has_layers:
            return self._find_single()
        book = self._state.book_of(service)
        assert service.engine is not None
        path = book.choose(
            self._tokens,
            self._state.loads(),
            self._avoid,
            self._state.link_use(service.engine),
        )
        if path is not None:
            self._state.inflight.crossings.add(path, self._tokens, clocks.now())
        return path

    def _find_single(self) -> paths_lib.Path | None:
        """Returns one endpoint that holds the whole model."""
        state = self._state
        now = clocks.now()
        name = self._exchange.admitted.service.name
        found = [
            e
            for e in state.endpoints.open_of(name, now)
            if e.endpoint_id not in self._avoid
        ]
        endpoint = state.balancer.choose(found, state.cfg.domain, now)
        if endpoint is None:
            return None
        return (paths_lib.Part(endpoint, endpoints_lib.Span(0, 0)),)

    def _inputs(self, path: paths_lib.Path) -> dict[str, typing.Any]:
        """Returns what decided on a path, for the log."""
        engine = self._exchange.admitted.service.engine
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
        first = path[0].endpoint
        conn = await exchange.open(first)
        if conn is None or not all(
            exchange.may_send(part.endpoint) for part in path
        ):
            self._avoid.add(first.endpoint_id)
            self._reason = 'first engine unreached'
            if conn is not None:
                await conn.close()
            return forwarding.End.UNREACHED, None
        exchange.ledger.record_send(first.endpoint_id)
        exchange.log_send(first, len(path), **self._inputs(path))
        if self._last_id is not None and exchange.out.is_started:
            self._state.audit.log(
                events.STREAM_RESUMED,
                request=exchange.admitted.facts.request_id,
                after_event=self._last_id.decode('latin-1'),
                endpoint=first.endpoint_id,
            )
        attempt = _Attempt(self._exchange, self._calls, path, self._tokens)
        attempt.last_id = self._last_id
        try:
            end, reply = await attempt.run(conn)
        finally:
            self._last_id = attempt.last_id
            with trio.CancelScope(shield=True):
                await conn.close()
        if end is not forwarding.End.ANSWERED:
            self._reason = attempt.reason
            self._avoid |= attempt.dead
            if end is not forwarding.End.NOT_RUN:
                self._avoid.add(first.endpoint_id)
            if self._state.is_dead(first):
                exchange.ledger.excuse(first.endpoint_id)
            exchange.log_attempt(first, attempt.reason, end.value)
        return end, reply


class _Attempt:
    """One send of a stream along a path.

    Attributes:
        last_id: Id of the last event that the caller was sent.
        dead: Names of engines that were found dead meanwhile.
        reason: Why the attempt failed.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        engine_calls: calls_lib.EngineCalls,
        path: paths_lib.Path,
        tokens: int,
    ) -> None:
        self.last_id: bytes | None = None
        self.dead: set[str] = set()
        self.reason = ''
        self._exchange = exchange
        self._state = exchange.state
        self._calls = engine_calls
        self._path = path
        self._tokens = tokens
        self._splitter = event_stream.Splitter()
        self._progress_at = trio.current_time()
        self._waits_for_caller = False
        self._poke = trio.Event()
        self._repairs = 0
        self._has_events = False
        self._end = forwarding.End.BROKEN
        self._reply: exchange_lib.Reply | None = None
        self._caller_gone: errors.CallerGone | None = None
        route = exchange.admitted.route
        self._stall_s = max(MIN_STALL_S, STALL_SHARE * route.gap_target_s)
        self._first_s = max(self._stall_s, route.target_s)

    async def run(
        self, conn: connections.Connection
    ) -> tuple[forwarding.End, exchange_lib.Reply | None]:
        """Sends the request and passes its events on."""
        self._state.inflight.add(self._path, self._tokens)
        self._state.watch_deaths(self._on_death)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, nursery.cancel_scope)
                await self._read(conn)
                nursery.cancel_scope.cancel()
        finally:
            self._state.unwatch_deaths(self._on_death)
            self._state.inflight.remove(self._path, self._tokens)
        if self._caller_gone is not None:
            raise self._caller_gone
        return self._end, self._reply

    async def _read(self, conn: connections.Connection) -> None:
        exchange = self._exchange
        codec = self._state.edges.requests
        dispatch = edges_lib.Dispatch(
            endpoint=self._path[0].endpoint,
            path=self._path if self._path[0].span.size else None,
            time_left_s=exchange.time_left_s(),
            customer=exchange.customer_name,
            resume_after=self.last_id,
            urgency=exchange.admitted.urgency,
        )
        req = exchange.req
        headers = codec.make_request_headers(req.headers, dispatch)
        try:
            async with conn.stream(
                req.method, req.target, headers, req.body
            ) as response:
                await self._read_response(response)
        except (store_errors.ExchangeFailed, errors.Malformed) as exc:
            self.reason = str(exc)
            self._end = forwarding.End.BROKEN
        except errors.CallerGone as exc:
            # Raised again outside the nursery, which would wrap it.
            self._caller_gone = exc

    async def _read_response(self, response: typing.Any) -> None:
        codec = self._state.edges.requests
        facts = codec.read_answer(response.status, response.headers)
        if response.status != 200:
            body = await exchange_lib.read_body(response)
            reply = exchange_lib.Reply(
                response.status, response.headers, body, facts
            )
            self._end, self.reason, self._reply = exchange_lib.judge(
                self._state, self._exchange, self._path[0].endpoint, reply
            )
            self._blame(facts)
            return
        reply = exchange_lib.Reply(200, response.headers, b'', facts)
        self._end, self.reason, _ = exchange_lib.judge(
            self._state, self._exchange, self._path[0].endpoint, reply
        )
        if self._end is not forwarding.End.ANSWERED:
            return
        self._end = forwarding.End.BROKEN
        await self._pass_events_on(response)

    def _blame(self, facts: edges_lib.AnswerFacts) -> None:
        """Passes over the engine that an answer names as its cause."""
        for part in self._path:
            if part.endpoint.address == facts.at_fault:
                self.dead.add(part.endpoint.endpoint_id)
                if part is not self._path[0]:
                    self._state.doubt(
                        part.endpoint, 'named in a refusal', is_dead=False
                    )

    async def _pass_events_on(self, response: typing.Any) -> None:
        out = self._exchange.out
        async for chunk in response.aiter_stream():
            self._progress_at = trio.current_time()
            found = self._splitter.feed(chunk)
            if not found:
                continue
            self._check_order(found)
            if not out.is_started:
                headers = self._state.edges.requests.make_answer_headers(
                    response.headers
                )
                await out.start(200, headers)
                self._state.metrics.record_time(
                    'first_event', self._exchange.took_s()
                )
            self._has_events = True
            await self._write(b''.join(event.data for event in found))
            ids = [event.event_id for event in found if event.event_id]
            self.last_id = ids[-1] if ids else self.last_id
        if self._splitter.has_rest:
            self.reason = 'ended within an event'
            return
        if not out.is_started:
            self.reason = 'ended without an event'
            return
        self._end = forwarding.End.ANSWERED
        self._exchange.end('200')
        await out.finish()
        self._state.endpoints.clear_doubt(self._path[0].endpoint)

    def _check_order(
        self, found: typing.Sequence[event_stream.StreamEvent]
    ) -> None:
        last = self.last_id
        for event in found:
            if event.event_id is None:
                continue
            if not event_stream.follows(event.event_id, last):
                raise errors.Malformed('an event comes twice')
            last = event.event_id

    async def _write(self, data: bytes) -> None:
        self._waits_for_caller = True
        try:
            await self._exchange.out.write(data)
        finally:
            self._waits_for_caller = False
            self._progress_at = trio.current_time()

    def _on_death(self, endpoint_id: str) -> None:
        if any(p.endpoint.endpoint_id == endpoint_id for p in self._path):
            self._poke.set()

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Looks into silences until the attempt is over."""
        while True:
            limit_s = self._stall_s if self._has_events else self._first_s
            silent_s = trio.current_time() - self._progress_at
            with trio.move_on_after(max(POLL_S, limit_s - silent_s)):
                await self._poke.wait()
            was_poked = self._poke.is_set()
            self._poke = trio.Event()
            silent_s = trio.current_time() - self._progress_at
            if self._waits_for_caller or not (was_poked or silent_s >= limit_s):
                continue
            verdict = await self._look_into(silent_s)
            if verdict is _Verdict.MOVE:
                self._end = forwarding.End.BROKEN
                scope.cancel()
                return
            if verdict is _Verdict.WAIT:
                await trio.sleep(self._stall_s / 2)

    async def _look_into(self, silent_s: float) -> _Verdict:
        if not self._path[0].span.size:
            return self._judge_silence(silent_s)
        dead = {
            p.endpoint.endpoint_id
            for p in self._path
            if self._state.endpoints.is_doubted(p.endpoint, clocks.now())
        }
        if not dead:
            report = await self._calls.report(self._path[0].endpoint)
            if report is None:
                self._state.doubt(
                    self._path[0].endpoint, 'report unanswered', is_dead=True
                )
                self.reason = 'first engine silent'
                return _Verdict.MOVE
            dead = self._doubt_stalled(report)
        if not dead:
            return self._judge_silence(silent_s)
        self.dead |= dead
        return await self._repair(dead)

    def _judge_silence(self, silent_s: float) -> _Verdict:
        give_up_s = self._exchange.admitted.route.target_s * GIVE_UP_SHARE
        if self._has_events and silent_s > give_up_s:
            self.reason = 'silent without a cause'
            return _Verdict.MOVE
        return _Verdict.WAIT

    def _doubt_stalled(self, report: edges_lib.Report) -> set[str]:
        dead = set()
        for part in self._path:
            if part.endpoint.address in report.stalled:
                self._state.doubt(
                    part.endpoint, 'another engine waits for it', is_dead=True
                )
                dead.add(part.endpoint.endpoint_id)
        return dead

    async def _repair(self, dead: set[str]) -> _Verdict:
        """Has the stream continued around dead engines."""
        first = self._path[0].endpoint.endpoint_id
        started = trio.current_time()
        while first not in dead and self._repairs < MAX_REPAIRS:
            self._repairs += 1
            book = self._state.book_of(self._exchange.admitted.service)
            loads = self._state.loads()
            path = paths_lib.repair(
                book.finder.with_loads(loads), self._path, dead, self._tokens
            )
            if path is None:
                break
            reply = await self._calls.repath(
                self._exchange.admitted.facts.request_id, path
            )
            if reply is not None and reply.status in calls_lib.ACCEPTED:
                self._take_path(path, dead, started)
                return _Verdict.REPAIRED
            blamed = self._blame_part(path, reply)
            if blamed is None:
                break
            dead = dead | {blamed}
        self.reason = f'dead engines {sorted(dead)}'
        return _Verdict.MOVE

    def _blame_part(
        self, path: paths_lib.Path, reply: connections.Reply | None
    ) -> str | None:
        """Returns the part that a refused order names, if any."""
        if reply is None or reply.status != 409:
            return None
        address = self._state.edges.engines.read_fault(reply.body)
        for part in path[1:]:
            if part.endpoint.address == address:
                self._state.doubt(
                    part.endpoint, 'refused a repair', is_dead=False
                )
                return part.endpoint.endpoint_id
        return None

    def _take_path(
        self, path: paths_lib.Path, dead: set[str], started: float
    ) -> None:
        self._state.inflight.remove(self._path, self._tokens)
        self._path = path
        self._state.inflight.add(path, self._tokens)
        self._state.audit.log(
            events.STREAM_REPAIRED,
            request=self._exchange.admitted.facts.request_id,
            dead=sorted(dead),
            path=[p.endpoint.endpoint_id for p in path],
            after_s=round(trio.current_time() - self._progress_at, 3),
            took_s=round(trio.current_time() - started, 3),
        )
        self._state.metrics.record_time(
            'repair', trio.current_time() - self._progress_at
        )
        self._progress_at = trio.current_time()
