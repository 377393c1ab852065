"""Attempts of one draft: routes, excluded endpoints and crash suspicion."""

import random
import typing

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import planners
from sardinebend_policy import quarantine as quarantine_lib
from sardinebend_policy import retries
from sardinebend_policy import routes
from sardinebend_policy import stream_watch


class Shared(typing.NamedTuple):
    """State that all sessions of one host share."""

    fleet: fleet_lib.Fleet
    planner: planners.Planner
    quarantine: quarantine_lib.Quarantine
    budgets: retries.BudgetPool
    gaps: stream_watch.Gaps
    rng: random.Random


class OpenAttempt(typing.NamedTuple):
    """An attempt that is running."""

    number: int
    route: routes.PipelineRoute


class Attempts:
    """Chooses a route for each attempt and tracks the attempt while it runs.

    Attributes:
        number: Number of the current attempt, from 1; 0 before the first.
        route: Route of the current or the last attempt.
        hedge: An attempt that runs beside the current one, if any.
        may_have_run: Attempts whose order may have reached an endpoint.
        version_refusals: Number of attempts that a stage refused because it
            hasn't loaded the model version; these don't count as failures.
    """

    def __init__(
        self, request: msg.DraftRequest, failure_domain: str, shared: Shared
    ) -> None:
        self.number = 0
        self.route: routes.PipelineRoute | None = None
        self.hedge: OpenAttempt | None = None
        self.may_have_run: set[int] = set()
        self.version_refusals = 0
        self._request = request
        self._failure_domain = failure_domain
        self._shared = shared
        self._avoid: set[str] = set()
        self._is_open = False
        self._last_number = 0
        self._unsent_hedges = 0

    @property
    def counted_attempts(self) -> int:
        """Number of attempts, including the current one.

        Attempts refused because the model version isn't loaded don't count,
        nor do hedges that weren't sent; other refused attempts do.

        This number is compared with the limit of attempts.
        """
        sent = self._last_number - self._unsent_hedges
        return sent - self.version_refusals

    def find_route(self, now: float) -> routes.PipelineRoute | None:
        """Returns a route for the next attempt, or `None` if there is none.

        If possible, its endpoints run no other suspect of the same crash. After
        the loss of a whole failure domain, nearly every request is a suspect,
        and the endpoints of every route run some of them. The request then
        shares a route with other suspects: the caller is still served, and a
        crash on that route can't be attributed to one request.
        """
        query = planners.PipelineQuery(
            self._request.spec,
            frozenset(self._avoid | self._find_endpoints_of_suspects()),
            frozenset(self.route.endpoint_ids if self.route else ()),
            self._request.prefix,
            self._failure_domain,
        )
        route = self._shared.planner.choose(query, now)
        if route is None and query.avoid != self._avoid:
            query = query._replace(avoid=frozenset(self._avoid))
            route = self._shared.planner.choose(query, now)
        return route

    def open(self, now: float) -> routes.PipelineRoute | None:
        """Starts an attempt; returns its route, or `None` if there is none."""
        route = self.find_route(now)
        if route is None:
            return None
        self._last_number += 1
        self.number = self._last_number
        self.route = route
        self._is_open = True
        self._begin_run(OpenAttempt(self.number, route))
        return route

    def open_hedge(self, route: routes.PipelineRoute) -> int:
        """Starts an attempt beside the current one; returns its number."""
        self._last_number += 1
        self.hedge = OpenAttempt(self._last_number, route)
        self._begin_run(self.hedge)
        return self.hedge.number

    def close_hedge(self, was_sent: bool) -> OpenAttempt | None:
        """Ends the hedge and returns it; `None` if there is none.

        Args:
            was_sent: Whether its order was sent; it doesn't count otherwise.
        """
        hedge, self.hedge = self.hedge, None
        if hedge is None:
            return None
        if not was_sent:
            self._unsent_hedges += 1
        self._finish_run(hedge)
        return hedge

    def promote_hedge(self) -> None:
        """Makes the hedge the current attempt; the last one has ended."""
        if self.hedge is not None:
            self.number, self.route = self.hedge
            self.hedge = None
            self._is_open = True

    def close(self) -> bool:
        """Ends the current attempt; returns false if it has already ended."""
        if not self._is_open or self.route is None:
            return False
        self._is_open = False
        self._finish_run(OpenAttempt(self.number, self.route))
        return True

    def reuse_number(self) -> None:
        """Gives the number of a closed, unsent attempt to the next one."""
        self._last_number -= 1
        self.number = self._last_number

    def is_usable(self, now: float) -> bool:
        """Returns whether all stages may still receive new work."""
        return self.route is not None and self.are_usable(self.route, now)

    def are_usable(self, route: routes.PipelineRoute, now: float) -> bool:
        """Returns whether all stages of a route may receive new work."""
        return all(
            self._shared.fleet.is_usable(endpoint_id, now)
            for endpoint_id in route.endpoint_ids
        )

    def avoid(self, endpoint_id: str) -> None:
        """Excludes an endpoint from the later routes of this request."""
        self._avoid.add(endpoint_id)

    def mark_dead(self, endpoint_ids: typing.Iterable[str], now: float) -> None:
        """Marks endpoints unhealthy for all requests during a cooldown.

        This request excludes them from all its later routes.
        """
        for endpoint_id in endpoint_ids:
            self._shared.fleet.mark_unhealthy(endpoint_id, now)
            self._avoid.add(endpoint_id)

    def mark_silent(
        self, endpoint_ids: typing.Iterable[str], now: float
    ) -> None:
        """Withholds new work from endpoints until they answer a probe."""
        for endpoint_id in endpoint_ids:
            self._shared.fleet.mark_unhealthy(endpoint_id, now)

    def record_version_refusal(self, endpoint_id: str) -> None:
        """Records that an endpoint hasn't loaded the model version."""
        spec = self._request.spec
        self._shared.fleet.record_refusal(
            endpoint_id, spec.model, spec.model_version
        )
        self._avoid.add(endpoint_id)
        self.version_refusals += 1

    def record_crash(
        self, dead: msg.DeadEndpoint, now: float, number: int = 0
    ) -> quarantine_lib.Crash:
        """Records the crash of an endpoint; returns the record.

        Suspects are an attempt, by default the current one, and all attempts
        of this host that were running at the endpoint.
        """
        state = self._shared.fleet.get(dead.endpoint_id)
        running = frozenset(state.running) if state else frozenset()
        run = self._get_run(number or self.number)
        crash = quarantine_lib.Crash(
            f'{dead.endpoint_id}/{dead.incarnation}', running | {run}
        )
        self._shared.quarantine.record_crash(crash, now)
        return crash

    def _get_run(self, number: int) -> quarantine_lib.Run:
        run_id = f'{self._request.request_id}/{number}'
        return quarantine_lib.Run(self._request.fingerprint, run_id)

    def _begin_run(self, attempt: OpenAttempt) -> None:
        for endpoint_id in attempt.route.endpoint_ids:
            run = self._get_run(attempt.number)
            self._shared.fleet.begin(endpoint_id, run)

    def _finish_run(self, attempt: OpenAttempt) -> None:
        for endpoint_id in attempt.route.endpoint_ids:
            run = self._get_run(attempt.number)
            self._shared.fleet.finish(endpoint_id, run)

    def _find_endpoints_of_suspects(self) -> set[str]:
        """Returns endpoints that run another suspect of the same crash."""
        own_fingerprint = self._request.fingerprint
        if not self._shared.quarantine.is_suspect(own_fingerprint):
            return set()
        return {
            state.spec.endpoint_id
            for state in self._shared.fleet.list_all()
            if any(
                run.fingerprint != own_fingerprint
                and self._shared.quarantine.shares_crash(
                    own_fingerprint, run.fingerprint
                )
                for run in state.running
            )
        }
