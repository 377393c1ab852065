"""Requests to plain services, whose endpoints are interchangeable."""

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

# Share of the time left after which an attempt of a repeatable request is
# cancelled, so that the request can be sent to another endpoint.
ATTEMPT_TIMEOUT_SHARE: typing.Final = 0.35


class PlainRequestHandler:
    """Serves one request to a plain service, with one or more attempts."""

    def __init__(self, exchange: exchange_lib.Exchange) -> None:
        self._exchange = exchange
        self._state = exchange.state
        self._unreached_ids: set[str] = set()

    async def run(self) -> None:
        """Serves the request and answers the caller."""
        exchange = self._exchange
        step, reason = forwarding.Step.REFUSE, 'no_endpoint'
        reply: exchange_lib.Reply | None = None
        retry_after_s = exchange_lib.RETRY_AFTER_S
        while True:
            quarantine_s = exchange.quarantine_left_s()
            if quarantine_s:
                step = exchange.ledger.give_up_step()
                reason, retry_after_s = exchange_lib.QUARANTINED, quarantine_s
                break
            endpoint = self._choose()
            if endpoint is None:
                step = self._give_up_step(reply)
                retry_after_s = exchange.retry_after_s(retry_after_s)
                break
            end, reason, latest_reply = await self._attempt(endpoint)
            reply = latest_reply or reply
            step = exchange.ledger.next_step(end, exchange.time_left_s())
            is_repeat = end is not forwarding.End.UNREACHED
            if (
                step is forwarding.Step.RETRY
                and is_repeat
                and not exchange.try_spend_retry()
            ):
                step, reason = exchange.ledger.final_step(end), 'no_budget'
            if step is not forwarding.Step.RETRY:
                break
        if step is forwarding.Step.PASS_ON and reply is not None:
            await exchange.send_reply(reply)
        else:
            await exchange.send_error(step, reason, retry_after_s)

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
        endpoint = self._state.balancer.choose(
            candidates, self._state.cfg.domain, now
        )
        if endpoint is not None:
            self._state.try_take_from_limit(endpoint)
        return endpoint

    async def _attempt(
        self, endpoint: endpoints_lib.Endpoint
    ) -> tuple[forwarding.End, str, exchange_lib.Reply | None]:
        exchange = self._exchange
        conn = await exchange.connect(endpoint)
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
        took_s = clock.now() - start
        balancer.record(
            endpoint.endpoint_id,
            took_s,
            end is forwarding.End.ANSWERED,
            clocks.now(),
        )
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
        wait_s = left_s
        route = exchange.admitted.route
        if route.may_repeat and exchange.ledger.can_send():
            wait_s = max(route.target_s, left_s * ATTEMPT_TIMEOUT_SHARE)
        dispatch = edges_lib.Dispatch(
            endpoint=endpoint,
            path=None,
            time_left_s=left_s,
            customer=exchange.customer_name,
            resume_after=exchange.admitted.facts.resume_after,
            priority=exchange.admitted.priority,
        )
        codec = self._state.edges.requests
        headers = codec.make_request_headers(exchange.req.headers, dispatch)
        req = exchange.req
        with (
            trio.move_on_after(max(0.0, left_s)),
            self._state.host_clock.move_on_after(wait_s),
        ):
            try:
                async with conn.stream(
                    req.method, req.target, headers, req.body
                ) as response:
                    facts = replies.decode_answer(exchange, endpoint, response)
                    reply = await replies.read_reply(
                        exchange, conn, response, facts
                    )
            except (errors.TooLarge, store_errors.ReplyTooLarge) as exc:
                exchange.record_oversized_answer(endpoint)
                return forwarding.End.BROKEN, str(exc), None
            except (errors.Malformed, store_errors.ExchangeFailed) as exc:
                return forwarding.End.BROKEN, str(exc), None
            return replies.classify_reply(exchange, endpoint, reply)
        return forwarding.End.TIMED_OUT, 'no answer in time', None
