"""Admits or refuses requests."""

import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import request_reader
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import overload
from sardinebend_policy import ranks as ranks_lib

# A stopping host asks callers to come back at once: another host serves them.
STOPPING_RETRY_AFTER_S: typing.Final = 0.05
# Margin by which evidence must be younger than a limit, to allow for the time
# that the request takes to reach an endpoint.
EVIDENCE_MARGIN_S: typing.Final = 0.3
DEFAULT_RETRY_AFTER_S: typing.Final = 0.5
# Another host most likely serves the request at once.
OVERLOADED_RETRY_AFTER_S: typing.Final = 0.1
# Memory gets free as answers end; another host may have some at once.
NO_MEMORY_RETRY_AFTER_S: typing.Final = 0.5


class Refusal(typing.NamedTuple):
    """Why a request isn't served.

    Attributes:
        status: HTTP status.
        reason: For the log.
        retry_after_s: When it may be sent again; `None` if it shouldn't be.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class Admitted(typing.NamedTuple):
    """A request that may be served.

    Attributes:
        facts: Values from its headers.
        route: The route that it matches.
        service: The service that serves it.
        customer: The customer whose key it carries, if keys are required.
        ends_at: Deadline of the complete answer, by trio's clock.
        rank: Its order of admission within the service, between 0 (most
            urgent) and 9. Engines get it as its priority.
        is_ranked: Whether the requests of the service differ in rank.
    """

    facts: edges_lib.RequestFacts
    route: catalog_lib.Route
    service: catalog_lib.Service
    customer: catalog_lib.Customer | None
    ends_at: float
    rank: int
    is_ranked: bool

    @property
    def expected_answer_tokens(self) -> int:
        """Expected number of tokens of the answer; 0 if it has none."""
        answer: float = self.facts.answer_tokens
        if self.facts.expected_tokens is not None:
            answer = self.facts.expected_tokens
        elif self.service.engine is not None:
            answer = min(answer, self.service.engine.usual_answer)
        return int(answer)


def admit(
    state: state_lib.State,
    req: request_reader.Request,
    facts: edges_lib.RequestFacts,
) -> Admitted | Refusal:
    """Returns the request with its route and customer, or a refusal.

    A permanent refusal (401, 404) is given only while the configuration is
    known to be recent. During a store outage the host may have missed the
    change that allows the request.
    """
    catalog = state.catalog
    if catalog is None:
        return Refusal(503, 'no_configuration', DEFAULT_RETRY_AFTER_S)
    confirmed_age_s = clocks.now() - state.catalog_confirmed_at
    is_recent = confirmed_age_s < state.cfg.apply_s
    path = req.target.split(b'?', 1)[0].decode('latin-1')
    route = catalog.find_route(facts.host, path)
    if route is None:
        if not is_recent:
            return Refusal(
                503, 'route_unknown_and_store_away', DEFAULT_RETRY_AFTER_S
            )
        return Refusal(404, 'route_unknown')
    customer = None
    if catalog.needs_keys and not route.is_public:
        customer = catalog.find_customer(facts.key or '')
        if customer is None:
            if not is_recent and facts.key:
                return Refusal(
                    503, 'key_unknown_and_store_away', DEFAULT_RETRY_AFTER_S
                )
            return Refusal(401, 'key_unknown')
        if not can_trust_keys(state):
            return Refusal(503, 'keys_outdated', DEFAULT_RETRY_AFTER_S)
    service = catalog.services.get(route.pick_service(state.rng.random()))
    if service is None:
        return Refusal(503, 'service_unknown', DEFAULT_RETRY_AFTER_S)
    wait_s = route.timeout_s
    if facts.time_left_s is not None:
        wait_s = min(wait_s, facts.time_left_s)
    ends_at = req.arrived_at + wait_s
    return Admitted(
        facts,
        route,
        service,
        customer,
        ends_at,
        *_find_rank(catalog, service, route, customer),
    )


def _find_rank(
    catalog: catalog_lib.Catalog,
    service: catalog_lib.Service,
    route: catalog_lib.Route,
    customer: catalog_lib.Customer | None,
) -> tuple[int, bool]:
    """Returns the rank of a request, and whether the service has ranks."""
    priority = customer.priority if customer else None
    ranks = catalog.find_ranks(service.name)
    if ranks is not None:
        return ranks.find(route.priority, priority), True
    rank = route.priority if priority is None else priority
    return max(0, min(ranks_lib.LEAST_URGENT, rank)), False


def admit_while_stopping(
    state: state_lib.State, admitted: Admitted
) -> Admitted | Refusal:
    """Returns an admitted request, or a refusal if the host stops too soon."""
    stop = state.planned_stop
    if stop is None:
        return admitted
    now = trio.current_time()
    predicted_s = state.service_times.predict_s(
        admitted.service.name, admitted.expected_answer_tokens, now
    )
    if stop.may_admit(now, admitted.ends_at, predicted_s):
        return admitted
    return Refusal(503, 'host_stopping', STOPPING_RETRY_AFTER_S)


def admit_under_load(
    state: state_lib.State, admitted: Admitted, open_requests: int
) -> Admitted | Refusal:
    """Returns an admitted request, or a refusal if the host is too busy.

    Args:
        state: The state of the host.
        admitted: The request.
        open_requests: Number of others that the host has admitted.
    """
    left_s = admitted.ends_at - trio.current_time()
    # Others serve what a host refuses that stops; its own time is short.
    is_alone = not open_requests and state.planned_stop is None
    if overload.can_begin(state.host_clock.overload_s(), left_s, is_alone):
        return admitted
    return Refusal(503, 'host_overloaded', OVERLOADED_RETRY_AFTER_S)


def admit_body(
    admitted: Admitted, req: request_reader.Request
) -> Admitted | Refusal:
    """Returns an admitted request, or a refusal if its body has no room."""
    if req.content.is_refused:
        return Refusal(503, 'no_memory_for_body', NO_MEMORY_RETRY_AFTER_S)
    return admitted


def can_trust_keys(state: state_lib.State) -> bool:
    """Returns whether the configuration is recent enough to check keys.

    If it is, a withdrawn key is known to be withdrawn.
    """
    return state.catalog_age_s() < state.cfg.revoke_s - EVIDENCE_MARGIN_S


def may_still_send(state: state_lib.State, admitted: Admitted) -> bool:
    """Checks the customer's key again, right before sending.

    The host may have been suspended since the request was admitted.
    """
    if admitted.customer is None:
        return True
    catalog = state.catalog
    if catalog is None or not can_trust_keys(state):
        return False
    return catalog.find_customer(admitted.facts.key or '') is not None
