"""Requests to plain services, whose endpoints are interchangeable."""

import collections
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import errors
from sardinebend_gateway import exchange as exchange_lib
from sardinebend_gateway import replies
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

# Share of the time left after which a repeatable request that has no answer yet
# is sent to another endpoint as well.
HEDGE_AFTER_SHARE: typing.Final = 0.35
# Interval at which a hedge that is due waits for an attempt to connect.
CONNECT_POLL_S: typing.Final = 0.02
SUPERSEDED: typing.Final = 'another endpoint has answered'


class _Result(typing.NamedTuple):
    """How an attempt ended."""

    end: forwarding.End
    reason: str
    reply: exchange_lib.Reply | None


class PlainRequestHandler:
    """Serves one request to a plain service, with one or more attempts."""

    def __init__(self, exchange: exchange_lib.Exchange) -> None:
        self._exchange = exchange
        self._state = exchange.state
        self._unreached_ids: set[str] = set()
        # Endpoints to which an attempt is connecting; it isn't sent yet.
        self._connecting_ids: set[str] = set()
        self._running = 0
        self._results: collections.deque[_Result] = collections.deque()
        self._result_added = trio.Event()
        self._is_answered = False
        self._reason = 'no_endpoint'
        self._reply: exchange_lib.Reply | None = None
        self._retry_after_s = exchange_lib.RETRY_AFTER_S

    async def run(self) -> None:
        """Serves the request and answers the caller."""
        step: forwarding.Step | None = None
        with self._exchange.attempts_scope:
            async with trio.open_nursery() as nursery:
                step = await self._run_attempts(nursery)
                nursery.cancel_scope.cancel()
        if step is None:
            await self._exchange.send_timeout()
        elif step is forwarding.Step.PASS_ON and self._reply is not None:
            await self._exchange.send_reply(self._reply)
        else:
            await self._exchange.send_error(
                step, self._reason, self._retry_after_s
            )

    async def _run_attempts(self, nursery: trio.Nursery) -> forwarding.Step:
        """Runs attempts until one answers or none may be begun."""
        step = self._begin_attempt(nursery)
        while step is None or self._running:
            result = await self._wait_for_result(may_hedge=step is None)
            if result is None:
                # A hedge: the silent attempts go on beside it.
                step = self._begin_retry(nursery, forwarding.End.TIMED_OUT)
                continue
            self._reason = result.reason
            self._reply = result.reply or self._reply
            if result.end is forwarding.End.ANSWERED:
                self._is_answered = True
                return forwarding.Step.PASS_ON
            step = self._exchange.ledger.next_step(
                result.end, self._exchange.time_left_s()
            )
            if step is forwarding.Step.RETRY:
                # An attempt that is connecting is the retry.
                step = None
                if not self._connecting_ids:
                    step = self._begin_retry(nursery, result.end)
        return step

    def _begin_retry(
        self, nursery: trio.Nursery, end: forwarding.End
    ) -> forwarding.Step | None:
        """Begins another attempt if the retry budget allows one.

        Args:
            nursery: Runs the attempt.
            end: Result of the attempt before it.

        Returns:
            `None`, or how to end the request unless an earlier attempt answers.
        """
        endpoint, step = self._choose_or_give_up()
        if endpoint is None:
            return step
        is_repeat = end is not forwarding.End.UNREACHED
        if is_repeat and not self._exchange.try_spend_retry():
            self._reason = 'no_budget'
            return self._exchange.ledger.final_step(end)
        self._start(nursery, endpoint)
        return None

    def _begin_attempt(self, nursery: trio.Nursery) -> forwarding.Step | None:
        endpoint, step = self._choose_or_give_up()
        if endpoint is not None:
            self._start(nursery, endpoint)
        return step

    def _choose_or_give_up(
        self,
    ) -> tuple[endpoints_lib.Endpoint | None, forwarding.Step | None]:
        """Returns the next endpoint, or how to end the request without one."""
        exchange = self._exchange
        quarantine_s = exchange.quarantine_left_s()
        if quarantine_s:
            self._reason = exchange_lib.QUARANTINED
            self._retry_after_s = quarantine_s
            return None, exchange.ledger.give_up_step()
        endpoint = self._choose()
        if endpoint is not None:
            return endpoint, None
        self._retry_after_s = exchange.retry_after_s(self._retry_after_s)
        return None, self._give_up_step(self._reply)

    def _start(
        self, nursery: trio.Nursery, endpoint: endpoints_lib.Endpoint
    ) -> None:
        self._state.try_take_from_limit(endpoint)
        self._running += 1
        self._connecting_ids.add(endpoint.endpoint_id)
        nursery.start_soon(self._run_attempt, endpoint)

    async def _run_attempt(self, endpoint: endpoints_lib.Endpoint) -> None:
        self._results.append(_Result(*await self._attempt(endpoint)))
        self._running -= 1
        self._result_added.set()

    async def _wait_for_result(self, may_hedge: bool) -> '_Result | None':
        """Returns the next result; `None` if a hedge is due before it."""
        exchange = self._exchange
        route = exchange.admitted.route
        wait_s = float('inf')
        if may_hedge and route.may_repeat and exchange.ledger.can_send():
            wait_s = max(
                route.target_s, exchange.time_left_s() * HEDGE_AFTER_SHARE
            )
        while True:
            with self._state.host_clock.move_on_after(wait_s):
                while not self._results:
                    self._result_added = trio.Event()
                    await self._result_added.wait()
                return self._results.popleft()
            if self._connecting_ids:
                # The ledger doesn't know of an attempt before it is sent.
                wait_s = CONNECT_POLL_S
            elif exchange.ledger.can_send():
                return None
            else:
                wait_s = float('inf')

    def _give_up_step(
        self, reply: exchange_lib.Reply | None
    ) -> forwarding.Step:
        if reply is not None and not reply.facts.was_not_run:
            return forwarding.Step.PASS_ON
        return self._exchange.ledger.give_up_step()

    def _choose(self) -> endpoints_lib.Endpoint | None:
        service = self._exchange.admitted.service.name
        table = self._state.endpoints
        now = clocks.now()
        excluded_ids = (
            self._exchange.ledger.sent_to
            | self._unreached_ids
            | self._state.list_over_limit(service)
        )
        candidates = [
            e
            for e in table.list_usable(service, now)
            if e.endpoint_id not in excluded_ids
        ]
        if not candidates:
            # An unhealthy endpoint is better than none.
            candidates = [
                e
                for e in table.list_all(service)
                if not e.is_draining
                and not table.is_backing_off(e, now)
                and e.endpoint_id not in excluded_ids
            ]
        return self._state.balancer.choose(
            candidates, self._state.cfg.domain, now
        )

    async def _attempt(
        self, endpoint: endpoints_lib.Endpoint
    ) -> tuple[forwarding.End, str, exchange_lib.Reply | None]:
        exchange = self._exchange
        try:
            conn = await exchange.connect(endpoint)
        finally:
            self._connecting_ids.discard(endpoint.endpoint_id)
        if conn is None or not exchange.may_send(endpoint):
            self._unreached_ids.add(endpoint.endpoint_id)
            if conn is not None:
                await conn.close()
            return forwarding.End.UNREACHED, 'unreached', None
        exchange.ledger.record_send(endpoint.endpoint_id)
        exchange.log_send(endpoint)
        exposure = exchange.begin_exposure((endpoint,))
        balancer = self._state.balancer
        balancer.begin(endpoint.endpoint_id)
        clock = self._state.host_clock
        start = clock.now()
        end: forwarding.End | None = None
        try:
            end, reason, reply = await self._send(conn, endpoint)
            if end in forwarding.ENDS_SHOWING_LIVENESS:
                exposure.clear()
            if end in forwarding.ENDS_SHOWING_NO_CRASH:
                exchange.clear_suspicion()
        finally:
            exposure.close()
            balancer.end(endpoint.endpoint_id)
            await conn.close()
            if end is not None or self._is_answered:
                balancer.record(
                    endpoint.endpoint_id,
                    clock.now() - start,
                    end is forwarding.End.ANSWERED,
                    clocks.now(),
                )
            if end is None and self._is_answered:
                exchange.log_attempt(endpoint, SUPERSEDED, 'none')
        if end is forwarding.End.BROKEN:
            await exchange.crash_detector.probe(endpoint)
        if end is not forwarding.End.ANSWERED:
            exchange.log_attempt(endpoint, reason, end.value)
        else:
            self._state.endpoints.mark_healthy(endpoint)
        return end, reason, reply

    async def _send(
        self, conn: connections.Connection, endpoint: endpoints_lib.Endpoint
    ) -> tuple[forwarding.End, str, exchange_lib.Reply | None]:
        exchange = self._exchange
        left_s = exchange.time_left_s()
        dispatch = edges_lib.Dispatch(
            endpoint=endpoint,
            path=None,
            time_left_s=left_s,
            customer=exchange.customer_name,
            resume_after=exchange.admitted.facts.resume_after,
            priority=exchange.admitted.rank,
        )
        codec = self._state.edges.requests
        headers = codec.make_request_headers(exchange.req.headers, dispatch)
        req = exchange.req
        with trio.move_on_after(max(0.0, left_s)):
            try:
                async with conn.stream(
                    req.method, req.target, headers, req.content
                ) as response:
                    facts = replies.decode_answer(exchange, endpoint, response)
                    reply = await replies.read_reply(
                        exchange, conn, endpoint, response, facts
                    )
            except (errors.TooLarge, store_errors.ReplyTooLarge) as exc:
                exchange.record_oversized_answer(endpoint)
                return forwarding.End.BROKEN, str(exc), None
            except (errors.Malformed, store_errors.ExchangeFailed) as exc:
                return forwarding.End.BROKEN, str(exc), None
            return replies.classify_reply(exchange, endpoint, reply)
        return forwarding.End.TIMED_OUT, 'no answer in time', None
