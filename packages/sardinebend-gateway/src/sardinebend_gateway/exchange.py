"""State of one admitted request, and the classification of its answers."""

import typing

import trio

from sardinebend_gateway import admission
from sardinebend_gateway import clocks
from sardinebend_gateway import crashes
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import endings
from sardinebend_gateway import events
from sardinebend_gateway import request_reader
from sardinebend_gateway import responder
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import forwarding
from sardinebend_policy import quarantine
from sardinebend_store import connections
from sardinebend_store import errors as store_errors

CONNECT_TIMEOUT_S: typing.Final = 0.3
MIN_RETRY_AFTER_S: typing.Final = 0.05
RETRY_AFTER_S: typing.Final = 0.1
# Upper end of the random factor that spreads the retries of callers, relative
# to the time that the endpoint asked for.
BACKOFF_SPREAD: typing.Final = 1.5
# Number of shared parts of a prompt that a log line shows.
MAX_LOGGED_PARTS: typing.Final = 8
# Reason for ending a request that would be cut off by a planned stop.
HOST_ENDS: typing.Final = 'no answer before the end of the host'
# Reason for refusing a request because endpoints crashed while they ran it.
QUARANTINED: typing.Final = 'ends the endpoints that run it'


class Reply(typing.NamedTuple):
    """A complete answer of an endpoint.

    Attributes:
        status: HTTP status.
        headers: Names and values as received.
        body: The body without its framing.
        facts: Values from the headers.
        is_followed: Whether further bytes follow an answer which states that
            nothing was run.
        exchange_end: How the exchange ended.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    facts: edges_lib.AnswerFacts
    is_followed: bool = False
    exchange_end: connections.ExchangeEnd = connections.ExchangeEnd()


def make_retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Returns a `Retry-After` header."""
    return (b'retry-after', b'%.2f' % max(MIN_RETRY_AFTER_S, seconds))


class Exchange:
    """One admitted request and the means to answer its caller.

    Attributes:
        state: The state of the host.
        req: The request as it was received.
        admitted: Its route, service and customer.
        out: Sends the answer.
        ending: Records how the request ends.
        ledger: Record of its attempts.
        attempts_scope: Limits the attempts. Once it is cancelled, the request's
            handler ends the request by itself.
        crash_detector: Detects crashed endpoints.
        content_fingerprint: Fingerprint of its content and its customer.
        part_fingerprints: Fingerprints of the parts of its prompt that other
            requests may share.
    """

    def __init__(
        self,
        state: state_lib.State,
        req: request_reader.Request,
        admitted: admission.Admitted,
        out: responder.Responder,
        crash_detector: crashes.CrashDetector,
    ) -> None:
        self.state = state
        self.req = req
        self.admitted = admitted
        self.out = out
        self.ending = endings.Ending(state, req, admitted, out)
        self.ledger = forwarding.AttemptLedger(admitted.route)
        self.attempts_scope = trio.CancelScope()
        self.crash_detector = crash_detector
        self.content_fingerprint = make_content_fingerprint(req, admitted)
        self.part_fingerprints = tuple(
            quarantine.make_part_fingerprint(part)
            for part in admitted.facts.shared_parts
        )
        self._exposure_count = 0
        # The gateway's budgets limit retries relative to admitted requests, so
        # each one counts here, before its outcome is known.
        state.budget_of(admitted.service.name).record_success(clocks.now())

    @property
    def customer_name(self) -> str | None:
        """Name of the customer whose key the request carries."""
        customer = self.admitted.customer
        return customer.name if customer else None

    def time_left_s(self) -> float:
        """Returns the time left until the deadline of the request."""
        return self.admitted.ends_at - trio.current_time()

    async def send_timeout(self) -> None:
        """Ends a request without an answer whose attempts were cancelled."""
        is_over = self.time_left_s() <= 0
        reason = 'route timeout' if is_over else HOST_ENDS
        if self.ledger.sent_to:
            await self.send_error(forwarding.Step.TIME_OUT, reason)
        else:
            reason = 'no capacity in time' if is_over else HOST_ENDS
            await self.send_error(forwarding.Step.REFUSE, reason)

    def took_s(self) -> float:
        """Returns the time since the request arrived."""
        return self.ending.took_s()

    def try_spend_retry(self) -> bool:
        """Takes a retry from the shared budget if this attempt is a retry.

        Returns:
            Whether the attempt may be made.
        """
        if not self.ledger.sent_to:
            return True
        budget = self.state.budget_of(self.admitted.service.name)
        return budget.try_spend(clocks.now())

    async def connect(
        self, endpoint: endpoints_lib.Endpoint
    ) -> connections.Connection | None:
        """Opens a connection; marks the endpoint as unhealthy if that fails.

        Each attempt has its own connection. Leftover bytes of an earlier answer
        can't be mistaken for this one's, and a request that may not be repeated
        isn't lost on a connection that the endpoint has already closed.
        """
        origin = connections.Origin(f'http://{endpoint.address}')
        started_at, began_at = trio.current_time(), clocks.now()
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.01, self.time_left_s()))
        try:
            conn = await origin.connect(timeout_s)
        except store_errors.ConnectFailed as exc:
            self.log_attempt(endpoint, f'connect: {exc}', 'other endpoint')
            outcome = self.crash_detector.record_failure_to_connect(
                endpoint, exc, started_at
            )
            if outcome is crashes.ProbeResult.REFUSED:
                self.state.mark_unhealthy(
                    endpoint, 'connect refused', has_failed=True
                )
            elif outcome is crashes.ProbeResult.UNREACHABLE:
                self.state.record_silence(endpoint, 'connect timed out')
            return None
        self.state.silences.record_success(began_at)
        return conn

    def is_answered_by(self, facts: edges_lib.AnswerFacts) -> bool:
        """Returns whether an answer belongs to this request.

        An endpoint may send an answer of an earlier request once more.
        """
        return facts.request_id == self.admitted.facts.request_id

    def clear_suspicion(self) -> None:
        """Clears the content and its parts after a run without a crash."""
        self.state.quarantine.clear(self.content_fingerprint, clocks.now())
        self.crash_detector.record_served(self.part_fingerprints)

    def quarantine_left_s(self) -> float:
        """Returns how long the content or a part of it stays quarantined.

        Returns:
            Seconds; 0 if nothing of it is quarantined.
        """
        now = clocks.now()
        ends = (
            self.state.quarantine.refused_until(fingerprint, now)
            for fingerprint in (
                self.content_fingerprint,
                *self.part_fingerprints,
            )
        )
        return max((end - now for end in ends if end is not None), default=0.0)

    def retry_after_s(self, default_s: float) -> float:
        """Returns the `Retry-After` time for a request that found no endpoint.

        This is when the earliest backoff of an endpoint ends, or when the limit
        of an endpoint allows a request again. A random factor spreads the
        callers, so that they don't all return at once.

        Args:
            default_s: The time if no endpoint backs off or has a limit.
        """
        waits = (self.backoff_left_s(), self.limit_wait_s())
        wait_s = min((w for w in waits if w is not None), default=None)
        if wait_s is None:
            return default_s
        return wait_s * self.state.rng.uniform(1.0, BACKOFF_SPREAD)

    def limit_wait_s(self) -> float | None:
        """Returns the time until the first endpoint's limit allows a request.

        Returns:
            Seconds; `None` if some endpoint that could receive the request has
            no limit or takes it now, or if none could receive it.
        """
        service = self.admitted.service
        waits = [
            self.state.limit_wait_s(e)
            for e in self.state.endpoints.list_usable(
                service.name, clocks.now()
            )
            # Only engines with the first layer receive requests from a host.
            if not service.has_layers or (e.span and e.span.start == 0)
        ]
        return min(waits, default=0.0) or None

    def backoff_left_s(self) -> float | None:
        """Returns the time until the earliest backoff of an endpoint ends."""
        name = self.admitted.service.name
        return self.state.endpoints.backoff_left_s(name, clocks.now())

    def may_send(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Repeats, right before sending, the checks whose result may change."""
        return (
            self.state.is_usable(endpoint)
            and not self.quarantine_left_s()
            and admission.may_still_send(self.state, self.admitted)
        )

    def begin_exposure(
        self, endpoints: typing.Iterable[endpoints_lib.Endpoint]
    ) -> crashes.Exposure:
        """Records that the request is about to reach endpoints."""
        self._exposure_count += 1
        run_id = f'{self.admitted.facts.request_id}/{self._exposure_count}'
        exposure = crashes.Exposure(
            self.state,
            quarantine.Run(self.content_fingerprint, run_id),
            self.part_fingerprints,
        )
        exposure.add(endpoints)
        return exposure

    def log_send(
        self,
        endpoint: endpoints_lib.Endpoint,
        parts: int = 1,
        **inputs: typing.Any,
    ) -> None:
        """Logs that the request is sent to an endpoint.

        Args:
            endpoint: The endpoint.
            parts: Number of endpoints on the path.
            **inputs: What the choice of the path was based on.
        """
        self.ending.endpoint = endpoint
        self.state.audit.log(
            events.REQUEST_SENT,
            request=self.admitted.facts.request_id,
            route=self.admitted.route.name,
            endpoint=endpoint.endpoint_id,
            parts=parts,
            content=quarantine.abbreviate_fingerprint(self.content_fingerprint),
            prompt_parts=[
                quarantine.abbreviate_fingerprint(part)
                for part in self.part_fingerprints[:MAX_LOGGED_PARTS]
            ],
            attempt=len(self.ledger.sent_to),
            time_left_s=round(self.time_left_s(), 3),
            after_s=self.took_s(),
            recent_delay_s=round(self.state.host_clock.recent_delay_s(), 3),
            **inputs,
        )

    def record_oversized_answer(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Marks an endpoint as unhealthy for an oversized answer."""
        self.state.metrics.count('answers_cut_off')
        self.state.mark_unhealthy(
            endpoint, 'answer exceeds the size limit', has_failed=False
        )

    def log_attempt(
        self, endpoint: endpoints_lib.Endpoint, reason: str, next_step: str
    ) -> None:
        """Logs a failed attempt and what follows it."""
        self.ending.endpoint = None
        self.state.audit.log(
            events.ATTEMPT_FAILED,
            request=self.admitted.facts.request_id,
            endpoint=endpoint.endpoint_id,
            reason=reason,
            then=next_step,
        )

    async def send_reply(self, reply: Reply) -> None:
        """Sends a complete answer of an endpoint to the caller."""
        self.req.content.release()
        codec = self.state.edges.requests
        headers = codec.make_answer_headers(reply.headers)
        self.ending.record_exchange_end(reply.exchange_end)
        self.ending.record_answered(str(reply.status))
        await self.out.answer(reply.status, headers, reply.body)

    async def send_error(
        self,
        step: forwarding.Step,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Ends the request with an error response made by the gateway."""
        self.req.content.release()
        codec = self.state.edges.requests
        headers = codec.make_own_headers(self.admitted.facts.request_id)
        if step is forwarding.Step.REFUSE:
            status = 503
            headers.append(make_retry_after(retry_after_s))
        else:
            status = 504 if step is forwarding.Step.TIME_OUT else 502
        self.ending.record_failed(f'status {status}', reason)
        await self.out.answer(status, headers, b'')


def make_content_fingerprint(
    req: request_reader.Request, admitted: admission.Admitted
) -> str:
    """Returns a fingerprint of a request's content and its customer.

    It is the same on all hosts, and therefore not keyed: the hosts share no
    secret.
    """
    customer = admitted.customer.name if admitted.customer else ''
    request_line = b' '.join(
        (req.method, admitted.facts.host.encode('latin-1'), req.target)
    )
    return quarantine.make_fingerprint(
        b'',
        customer,
        request_line.decode('latin-1'),
        req.content.pieces,
    )
