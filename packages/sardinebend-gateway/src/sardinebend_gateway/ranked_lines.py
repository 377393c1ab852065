"""The waiting requests of the services whose requests differ in rank."""

import collections.abc
import contextlib
import itertools
import math
import statistics
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import state as state_lib
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import fair_queue
from sardinebend_policy import fleet_shares
from sardinebend_policy import headroom
from sardinebend_policy import liveness
from sardinebend_policy import path_cache
from sardinebend_policy import paths as paths_lib
from sardinebend_policy import return_order
from sardinebend_policy import service_rates
from sardinebend_policy import waiting_line

# The line is served at most this often, unless its first request changes.
POLL_S: typing.Final = 0.02
# The view of all hosts' requests is made anew at most this often.
VIEW_S: typing.Final = 0.1
# A size that fits on some path is taken to fit for this long.
FITS_S: typing.Final = 2.0
# Customers that metrics name; further ones are counted together.
MAX_NAMED_CUSTOMERS: typing.Final = 32
OTHER_CUSTOMERS: typing.Final = 'other'


class Searcher(typing.NamedTuple):
    """How a request looks for a path.

    Attributes:
        find: Returns a path with room, if there is one.
        take: Takes a path that was found.
        is_barred: Returns whether it may not use every engine.
        is_begun: Returns whether its stream has begun.
    """

    find: typing.Callable[[], paths_lib.Path | None]
    take: typing.Callable[[paths_lib.Path], None]
    is_barred: typing.Callable[[], bool]
    is_begun: typing.Callable[[], bool]


class RankedRequest:
    """A request of a service with ranks.

    Attributes:
        line: The line of its service.
        key: Identifies it at this host. A caller may use its own id twice.
        rank: Its rank.
        customer: Name of its customer; empty if it has none.
        tokens: Tokens that it is expected to reach.
        searcher: Looks for its path.
        path: The path that it was given.
        outcome: What the last search for it has found.
        ahead: Requests that were ahead of it as it joined the line.
        waited_s: Time that it has waited in line.
        started_at: When it first got a path, by trio's clock.
        found: Set once it is given a path.
    """

    def __init__(
        self,
        line: 'RankedLine',
        rank: int,
        customer: str,
        tokens: int,
        searcher: Searcher,
    ) -> None:
        self.line = line
        self.key = line.make_key()
        self.rank = rank
        self.customer = customer
        self.tokens = tokens
        self.searcher = searcher
        self.path: paths_lib.Path | None = None
        self.outcome = waiting_line.Outcome.BARRED
        self.ahead = 0
        self.waited_s = 0.0
        self.started_at: float | None = None
        self.found = trio.Event()

    @property
    def is_held(self) -> bool:
        """Whether it found room that is left to more urgent ones."""
        return self.outcome is waiting_line.Outcome.HELD


class RankedLine:
    """The line of one service, and what its decisions are based on."""

    def __init__(
        self, state: state_lib.State, service: catalog_lib.Service
    ) -> None:
        self._state = state
        self._name = service.name
        self._line = waiting_line.WaitingLine()
        self._requests: dict[str, RankedRequest] = {}
        self._numbers = itertools.count()
        self._served_at = -math.inf
        self._returns = return_order.ReturnOrder(state.rng)
        self._rates = service_rates.ServiceRates()
        self._view = fleet_shares.ShareView({}, {})
        self._view_at = -math.inf
        self._fitting_tokens = 0
        self._fits_until = -math.inf
        self._gap_version = -1
        self._gap_target_s = 0.0
        self._named_customers: set[str] = set()

    def make_key(self) -> str:
        """Returns a key that no other request of this line has."""
        return str(next(self._numbers))

    @contextlib.contextmanager
    def waiting(
        self, req: RankedRequest, wait_s: float
    ) -> collections.abc.Iterator[None]:
        """Keeps a request in line, for as long as it has no path."""
        is_begun = req.searcher.is_begun()
        rank = waiting_line.BEGUN if is_begun else req.rank
        cost = 0.0 if is_begun else float(req.tokens)
        entry = fair_queue.Entry(req.key, req.customer, rank, cost)
        joined_at = trio.current_time()
        req.path = None
        req.found = trio.Event()
        self._requests[req.key] = req
        self._line.join(entry, req.tokens, wait_s, joined_at)
        req.ahead = self._line.count_ahead(req.key)
        try:
            yield
        finally:
            self._line.leave(req.key)
            del self._requests[req.key]
            req.waited_s += trio.current_time() - joined_at

    def serve(self, req: RankedRequest) -> None:
        """Lets the line's requests look for room, on behalf of one of them."""
        now = trio.current_time()
        if now - self._served_at < POLL_S and not self._line.is_first(req.key):
            return
        self._served_at = now
        for key in self._line.serve(now, self._try_path):
            self._begin(self._requests[key])

    def _try_path(self, key: str) -> waiting_line.Outcome:
        req = self._requests[key]
        path = req.searcher.find()
        if path is None:
            req.outcome = (
                waiting_line.Outcome.BARRED
                if req.searcher.is_barred()
                else waiting_line.Outcome.NO_ROOM
            )
        elif self.is_held(req, path):
            req.outcome = waiting_line.Outcome.HELD
        else:
            req.outcome = waiting_line.Outcome.FOUND
            req.path = path
            req.searcher.take(path)
            req.found.set()
        return req.outcome

    def is_held(self, req: RankedRequest, path: paths_lib.Path) -> bool:
        """Returns whether to leave a path's room to more urgent requests."""
        catalog = self._state.catalog
        service = catalog.services.get(self._name) if catalog else None
        if (
            req.searcher.is_begun()
            or catalog is None
            or service is None
            or service.engine is None
            or not service.has_layers
        ):
            return False
        view = self.view()
        if not headroom.is_held_back(view, req.rank):
            return False
        outlook = headroom.Outlook(
            view.urgent_share(req.rank),
            liveness.LARGE_HEARTBEAT_INTERVAL_S + view.age_s,
            self._rates.service_s,
        )
        verdict = headroom.check(
            service.engine,
            self._find_gap_target_s(catalog),
            path,
            req.tokens,
            self._state.loads(),
            outlook,
        )
        if verdict is not headroom.Verdict.FITS:
            self._state.metrics.count('ranked_holds', why=verdict.value)
        return verdict is not headroom.Verdict.FITS

    def _find_gap_target_s(self, catalog: catalog_lib.Catalog) -> float:
        """Returns the shortest of the gaps that the routes expect."""
        if catalog.version != self._gap_version:
            self._gap_version = catalog.version
            routes = catalog.list_stream_routes(self._name)
            gaps_s = (r.gap_target_s for r in routes if r.gap_target_s > 0)
            self._gap_target_s = min(gaps_s, default=0.0)
        return self._gap_target_s

    def view(self) -> fleet_shares.ShareView:
        """Returns what is in flight of each rank and customer."""
        now = clocks.now()
        if now - self._view_at >= VIEW_S:
            self._view_at = now
            self._view = self._state.share_view(self._name)
        return self._view

    def is_too_large(
        self, tokens: int, get_cache: typing.Callable[[], path_cache.PathCache]
    ) -> bool:
        """Returns whether a request fits on no path, but a small one does."""
        now = clocks.now()
        if tokens <= self._fitting_tokens and now < self._fits_until:
            return False
        idle = get_cache().finder.with_loads({})
        if idle.find(tokens) is None:
            return idle.find(0.0) is not None
        self._fitting_tokens, self._fits_until = tokens, now + FITS_S
        return False

    def _begin(self, req: RankedRequest) -> None:
        if req.started_at is not None:
            return
        req.started_at = trio.current_time()
        self._rates.begin()
        self._count(req, 'started')

    def end(self, req: RankedRequest) -> None:
        """Records that a request has ended, whether it had a path or not."""
        if req.started_at is None:
            self._count(req, 'not started')
            return
        self._rates.end(trio.current_time() - req.started_at)

    def book_return(
        self, req: RankedRequest, time_left_s: float, is_connected: bool
    ) -> float:
        """Returns in how many seconds a refused caller may return.

        Args:
            req: Its request.
            time_left_s: Time that the caller has left.
            is_connected: Whether there is a path, whatever the load.
        """
        ranks_ahead = sum(rank < req.rank for rank in self.view().by_rank)
        catalog = self._state.catalog
        service = catalog.services.get(self._name) if catalog else None
        missing_layers = 0.0 if is_connected else self._usual_span_layers()
        return self._returns.book(
            req.rank,
            return_order.find_earliest_s(
                ranks_ahead, service.engine if service else None, missing_layers
            ),
            self._rates.ends_per_s,
            time_left_s,
            clocks.now(),
        )

    def _usual_span_layers(self) -> float:
        """Returns how many layers an endpoint usually holds."""
        listed = self._state.endpoints.list_all(self._name)
        return statistics.median([e.span.size for e in listed if e.span] or [0])

    def make_log_fields(self, req: RankedRequest) -> dict[str, typing.Any]:
        """Returns the inputs to the decisions on a request, for the log."""
        view = self.view()
        return {
            'rank': req.rank,
            'customer': req.customer,
            'found': req.outcome.value,
            'ahead': req.ahead,
            'waited_s': round(req.waited_s, 3),
            'urgent_share': round(view.urgent_share(req.rank), 2),
            'view_age_s': round(view.age_s, 2),
        }

    def _count(self, req: RankedRequest, end: str) -> None:
        metrics = self._state.metrics
        metrics.count('ranked_requests', rank=str(req.rank), end=end)
        customer = req.customer
        if customer not in self._named_customers:
            if len(self._named_customers) < MAX_NAMED_CUSTOMERS:
                self._named_customers.add(customer)
            else:
                customer = OTHER_CUSTOMERS
        metrics.count('customer_requests', customer=customer, end=end)


class RankedLines:
    """The lines of all services with ranks."""

    def __init__(self, state: state_lib.State) -> None:
        self._state = state
        self._lines: dict[str, RankedLine] = {}

    def of(self, service: catalog_lib.Service) -> RankedLine:
        """Returns the line of a service."""
        line = self._lines.get(service.name)
        if line is None:
            line = RankedLine(self._state, service)
            self._lines[service.name] = line
        return line
