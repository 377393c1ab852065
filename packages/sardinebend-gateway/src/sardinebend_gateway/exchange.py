"""One admitted request, the way to its caller, and what answers mean for it."""

import typing

import trio

from sardinebend_gateway import admission
from sardinebend_gateway import clocks
from sardinebend_gateway import crashes
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import http_server
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
# Time by which the last caller comes back, relative to the wait itself.
BACKOFF_SPREAD: typing.Final = 1.5
# Why a request is given up under which endpoints have ended.
QUARANTINED: typing.Final = 'ends the endpoints that run it'


class Reply(typing.NamedTuple):
    """A whole answer of an endpoint."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    facts: edges_lib.AnswerFacts


def make_retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Returns the header that says when to come back."""
    return (b'retry-after', b'%.2f' % max(MIN_RETRY_AFTER_S, seconds))


class Exchange:
    """One admitted request and the way to its caller.

    Attributes:
        state: What the host believes.
        req: The request as it was read.
        admitted: Its route, service and customer.
        out: Sends the answer.
        ledger: What has become of its attempts.
        watch: Finds out whether an endpoint has ended.
        content: Fingerprint of what it asks for, and who asks.
    """

    def __init__(
        self,
        state: state_lib.State,
        req: http_server.Request,
        admitted: admission.Admitted,
        out: responder.Responder,
        watch: crashes.CrashWatch,
    ) -> None:
        self.state = state
        self.req = req
        self.admitted = admitted
        self.out = out
        self.ledger = forwarding.Ledger(admitted.route)
        self.watch = watch
        self.content = make_content(req, admitted)
        self._runs = 0
        state.budget_of(admitted.service.name).record_success(clocks.now())

    @property
    def customer_name(self) -> str | None:
        """Name of the customer whose key the request bears."""
        customer = self.admitted.customer
        return customer.name if customer else None

    def time_left_s(self) -> float:
        """Returns how long the request may still take."""
        return self.admitted.ends_at - trio.current_time()

    def took_s(self) -> float:
        """Returns how long ago the request arrived."""
        return round(trio.current_time() - self.req.arrived_at, 4)

    def may_spend_retry(self) -> bool:
        """Takes a retry from the shared budget, if this send is a repeat."""
        if not self.ledger.sent_to:
            return True
        budget = self.state.budget_of(self.admitted.service.name)
        return budget.try_spend(clocks.now())

    async def open(
        self, endpoint: endpoints_lib.Endpoint
    ) -> connections.Connection | None:
        """Opens a connection; doubts the endpoint if that fails.

        Each attempt has a connection of its own: what is left of an earlier
        answer can't be taken for this one's, and a request that may not be
        repeated isn't lost on a connection that the other end has dropped.
        """
        origin = connections.Origin(f'http://{endpoint.address}')
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.01, self.time_left_s()))
        try:
            return await origin.connect(timeout_s)
        except store_errors.ConnectFailed as exc:
            self.log_attempt(endpoint, f'connect: {exc}', 'other endpoint')
            self.watch.note(endpoint, crashes.Life.from_failure(exc))
            self.state.doubt(endpoint, 'connect failed', is_dead=True)
            return None

    def note_harmless(self) -> None:
        """Takes in that an endpoint has served the request, or a part of it."""
        self.state.quarantine.clear(self.content, clocks.now())

    def quarantine_left_s(self) -> float:
        """Returns for how long the request is refused; 0 if it isn't."""
        now = clocks.now()
        until = self.state.quarantine.refused_until(self.content, now)
        return 0.0 if until is None else until - now

    def retry_after_s(self, default_s: float) -> float:
        """Returns when a caller may come back that finds no endpoint.

        The first endpoint that asked to be left alone is free then. Callers
        are spread, so that it doesn't meet all of them at once.
        """
        left_s = self.backoff_left_s()
        if left_s is None:
            return default_s
        return left_s * self.state.rng.uniform(1.0, BACKOFF_SPREAD)

    def backoff_left_s(self) -> float | None:
        """Returns when the first endpoint that backs off wants work again."""
        name = self.admitted.service.name
        return self.state.endpoints.backoff_left_s(name, clocks.now())

    def may_send(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Checks right before sending what may have changed meanwhile."""
        return (
            self.state.is_usable(endpoint)
            and not self.quarantine_left_s()
            and admission.may_still_send(self.state, self.admitted)
        )

    def expose(
        self, endpoints: typing.Iterable[endpoints_lib.Endpoint]
    ) -> crashes.Exposure:
        """Notes that the request is about to reach endpoints."""
        self._runs += 1
        run_id = f'{self.admitted.facts.request_id}/{self._runs}'
        exposure = crashes.Exposure(
            self.state, quarantine.Run(self.content, run_id)
        )
        exposure.reach(endpoints)
        return exposure

    def log_send(
        self,
        endpoint: endpoints_lib.Endpoint,
        parts: int = 1,
        **inputs: typing.Any,
    ) -> None:
        """Logs that the request is sent to an endpoint, and why there."""
        self.state.audit.log(
            events.REQUEST_SENT,
            request=self.admitted.facts.request_id,
            route=self.admitted.route.name,
            endpoint=endpoint.endpoint_id,
            parts=parts,
            content=quarantine.shorten(self.content),
            attempt=len(self.ledger.sent_to),
            time_left_s=round(self.time_left_s(), 3),
            after_s=self.took_s(),
            **inputs,
        )

    def note_too_large(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Takes in that an endpoint's answer was cut off for its size."""
        self.state.metrics.count('answers_cut_off')
        self.state.doubt(endpoint, 'an answer without end', is_dead=False)

    def log_attempt(
        self, endpoint: endpoints_lib.Endpoint, reason: str, then: str
    ) -> None:
        """Logs how an attempt failed."""
        self.state.audit.log(
            events.ATTEMPT_FAILED,
            request=self.admitted.facts.request_id,
            endpoint=endpoint.endpoint_id,
            reason=reason,
            then=then,
        )

    async def pass_on(self, reply: Reply) -> None:
        """Gives an endpoint's whole answer to the caller."""
        codec = self.state.edges.requests
        headers = codec.make_answer_headers(reply.headers)
        self.end(str(reply.status))
        await self.out.answer(reply.status, headers, reply.body)

    async def end_without_answer(
        self,
        step: forwarding.Step,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Ends the request with an answer of the gateway's own."""
        codec = self.state.edges.requests
        headers = codec.make_own_headers(self.admitted.facts.request_id)
        if step is forwarding.Step.REFUSE:
            status = 503
            headers.append(make_retry_after(retry_after_s))
        else:
            status = 504 if step is forwarding.Step.TIME_OUT else 502
        self.fail(f'status {status}', reason)
        await self.out.answer(status, headers, b'')

    def end(self, how: str) -> None:
        """Logs and counts how the request ended."""
        self.state.metrics.count(
            'requests', route=self.admitted.route.name, end=how
        )
        self.state.metrics.record_time('request', self.took_s())
        self.state.audit.log(
            events.REQUEST_ENDED,
            request=self.admitted.facts.request_id,
            route=self.admitted.route.name,
            status=how,
            took_s=self.took_s(),
        )

    def fail(self, how: str, reason: str) -> None:
        """Logs and counts a request that wasn't served."""
        self.state.metrics.count(
            'requests', route=self.admitted.route.name, end=how
        )
        self.state.audit.log(
            events.REQUEST_FAILED,
            request=self.admitted.facts.request_id,
            route=self.admitted.route.name,
            end=how,
            reason=reason,
            took_s=self.took_s(),
        )


def make_content(req: http_server.Request, admitted: admission.Admitted) -> str:
    """Returns a fingerprint of what a request asks for, and who asks.

    The same on all hosts, which have no secret in common to key it with.
    """
    customer = admitted.customer.name if admitted.customer else ''
    what = b' '.join(
        (req.method, admitted.facts.host.encode('latin-1'), req.target)
    )
    return quarantine.make_fingerprint(
        b'', customer, what.decode('latin-1'), req.body
    )


async def read_body(state: state_lib.State, response: typing.Any) -> bytes:
    """Returns the whole body of a response.

    Raises:
        errors.TooLarge: It is larger than any answer may be.
    """
    held = state.held_answers.open()
    try:
        async for chunk in response.aiter_stream():
            await held.add(chunk)
        return held.join()
    finally:
        held.close()


def judge(
    state: state_lib.State,
    exchange: Exchange,
    endpoint: endpoints_lib.Endpoint,
    reply: Reply,
) -> tuple[forwarding.End, str, Reply | None]:
    """Tells what an endpoint's answer means for the request."""
    facts = reply.facts
    if facts.was_not_run:
        if facts.answered_by not in (None, endpoint.endpoint_id):
            # Another endpoint has the address: the listing is outdated.
            state.endpoints.mark_left(endpoint.incarnation)
            state.audit.log(
                events.ENDPOINT_GONE,
                endpoint=endpoint.endpoint_id,
                source='address in use by another',
            )
        return forwarding.End.NOT_RUN, f'status {reply.status}', reply
    if facts.request_id != exchange.admitted.facts.request_id:
        return forwarding.End.BROKEN, 'answer to another request', None
    if not facts.is_genuine:
        return forwarding.End.BROKEN, 'no mark of origin', None
    if reply.status >= 500:
        return forwarding.End.FAILED, f'status {reply.status}', reply
    return forwarding.End.ANSWERED, '', reply
