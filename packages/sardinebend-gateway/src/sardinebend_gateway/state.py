"""What one host believes, and how old the evidence for it is."""

import random
import typing

import trio

from sardinebend_gateway import audit as audit_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import held_answers
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_gateway import news
from sardinebend_gateway import settings as settings_lib
from sardinebend_policy import balancing
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import hearsay
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import pathbook
from sardinebend_policy import paths as paths_lib
from sardinebend_policy import quarantine
from sardinebend_policy import readers
from sardinebend_policy import retries
from sardinebend_policy import silences
from sardinebend_policy import suspects as suspects_lib

# A budget counts requests over up to twice the stated span, so half the ratio
# keeps the bound; the rest of the floor is for hosts that aren't listed yet.
RATIO_SHARE: typing.Final = 0.5
FLOOR_SHARE: typing.Final = 0.85

NEVER: typing.Final = float('-inf')
# Time for which a request that ends endpoints is refused; the same as the
# default of the product's own setting.
QUARANTINE_HOLD_S: typing.Final = 600.0
# Endpoints that may end under one request. A lone suspect isn't told apart
# earlier: parts of a path that end together make suspects of passers-by.
CRASHES_BORNE: typing.Final = 3
# An endpoint is told of again once others may have stopped passing it over.
UNREACHABLE_S: typing.Final = endpoints_lib.DEAD_HOLD_S
# Share of a service's endpoints beyond which others' word keeps work from no
# more of them.
MAX_HEARSAY_SHARE: typing.Final = 0.25


DeathWatcher = typing.Callable[[str], None]


class State:
    """The beliefs of one host, shared by its parts.

    Attributes:
        cfg: The host's settings.
        edges: The systems around it.
        catalog: The configuration in force, if any is known.
        catalog_at: When the question was asked whose answer last confirmed
            the catalog; by `clocks.now`.
        catalog_heard_at: When that answer came; it may have been under way
            for a while.
        endpoints: All known endpoints.
        pauses: Pauses of streams by engine.
        held_answers: What is held of incomplete answers.
        leaving: Starts of endpoints that said that they leave.
        unreachable: Starts of endpoints that this host couldn't connect to.
        hearsay: What other hosts say of endpoints.
        suspects: Requests under which an endpoint may end.
        quarantine: Requests under which endpoints have ended.
        is_stopping: Whether a planned stop has begun.
        host_count: Hosts that are listed, among which budgets are shared;
            `None` until that is known.
        live_count: Hosts that are taken to live.
        role: Whether this host reads the store, or which host does so for it.
    """

    def __init__(
        self,
        cfg: settings_lib.HostSettings,
        edges: edges_lib.Edges,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.edges = edges
        self.rng = rng
        self.audit = audit_lib.Audit()
        self.metrics = metrics_lib.Metrics()
        self.catalog: catalog_lib.Catalog | None = None
        self.catalog_at = NEVER
        self.catalog_heard_at = NEVER
        self.endpoints = endpoints_lib.EndpointTable()
        self.balancer = balancing.Balancer(rng)
        self.inflight = inflight_lib.InFlight()
        self.pauses = silences.PauseBook()
        self.held_answers = held_answers.HeldAnswers()
        self.unreachable: news.News[tuple[str, int]] = news.News(UNREACHABLE_S)
        self.hearsay = hearsay.Hearsay()
        self.leaving: news.News[tuple[str, int]] = news.News()
        self.suspects = suspects_lib.Suspects()
        self.quarantine = quarantine.Quarantine(
            QUARANTINE_HOLD_S, CRASHES_BORNE, CRASHES_BORNE
        )
        self.is_stopping = False
        self.host_count: int | None = None
        self.live_count = 1
        self.role = readers.ALONE
        self._books: dict[str, pathbook.PathBook] = {}
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._death_watchers: set[DeathWatcher] = set()
        self.endpoints_changed = trio.Event()

    def catalog_age_s(self) -> float:
        """Returns how long ago the catalog is known to have been in force."""
        return clocks.now() - self.catalog_at

    def apply_catalog(self, catalog: catalog_lib.Catalog) -> None:
        """Puts a configuration in force, unless a newer one is."""
        old = self.catalog
        if old is not None and catalog.version <= old.version:
            return
        self.catalog = catalog
        self.audit.log(
            events.CATALOG_APPLIED,
            version=catalog.version,
            previous=old.version if old else None,
            routes=sum(1 for _ in catalog.routes()),
        )
        for name, service in catalog.services.items():
            before = old.services.get(name) if old else None
            if before is None or before.engine != service.engine:
                self._books.pop(name, None)

    def limits(self) -> catalog_lib.Limits:
        """Returns what callers may send."""
        return self.catalog.limits if self.catalog else catalog_lib.Limits()

    def book_of(self, service: catalog_lib.Service) -> pathbook.PathBook:
        """Returns the paths through a service, made anew if that is due."""
        book = self._books.get(service.name)
        if book is None:
            assert service.engine is not None
            book = pathbook.PathBook(service.engine)
            self._books[service.name] = book
        now = clocks.now()
        book.refresh(
            self.endpoints.open_of(service.name, now),
            self.loads(),
            self.endpoints.revision,
            now,
        )
        return book

    def loads(self) -> dict[str, paths_lib.Load]:
        """Returns the load of each endpoint, over all hosts."""
        return self.inflight.loads(clocks.now(), self.live_count)

    def link_use(self, engine: catalog_lib.EngineModel) -> float:
        """Returns the share of the links between domains that is taken.

        Each pair of domains has a link, on which prompts go one after another;
        the use of all links is taken to be even.
        """
        tokens = self.inflight.crossing_tokens(clocks.now(), self.live_count)
        domains = max(2, self.endpoints.count_domains())
        links = domains * (domains - 1) / 2
        return tokens * paths_lib.crossing_ms(engine) / 1000 / links

    def budget_of(self, service: str) -> retries.RetryBudget:
        """Returns this host's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                self.cfg.retry_ratio * RATIO_SHARE,
                self._budget_floor(),
                self.cfg.retry_window_s,
            )
            self._budgets[service] = budget
        return budget

    def set_host_count(self, count: int) -> None:
        """Takes in among how many hosts the budgets are shared."""
        if count != self.host_count:
            self.host_count = count
            for budget in self._budgets.values():
                budget.set_floor(self._budget_floor())

    def _budget_floor(self) -> int:
        if self.host_count is None:
            return 0
        share = self.cfg.extra_retries / max(1, self.host_count)
        return int(share * FLOOR_SHARE)

    def doubt(
        self,
        endpoint: endpoints_lib.Endpoint,
        reason: str,
        is_dead: bool,
        hold_s: float = endpoints_lib.FIRST_HOLD_S,
    ) -> None:
        """Passes an endpoint over for a while."""
        if is_dead:
            hold_s = endpoints_lib.DEAD_HOLD_S
        hold_s = self.endpoints.doubt(endpoint, clocks.now(), reason, hold_s)
        self.audit.log(
            events.ENDPOINT_DOUBTED,
            endpoint=endpoint.endpoint_id,
            reason=reason,
            for_s=round(hold_s, 3),
        )
        if is_dead:
            self.tell_death(endpoint.endpoint_id)

    def note_unreachable(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Passes over an endpoint that this host can't connect to.

        What runs there goes on: silence may be the network's.
        """
        if self.unreachable.add(endpoint.incarnation, clocks.now()):
            self.doubt(
                endpoint,
                'unreachable',
                is_dead=False,
                hold_s=endpoints_lib.DEAD_HOLD_S,
            )

    def hear_unreachable(self, incarnation: tuple[str, int], host: str) -> None:
        """Takes in that another host can't connect to an endpoint."""
        now = clocks.now()
        known = self.endpoints.get(incarnation[0])
        if known is None or known.incarnation != incarnation:
            return
        if not self.hearsay.hear(incarnation, host, now):
            return
        if self._may_pass_over(known):
            self.doubt(
                known,
                'unreachable for other hosts',
                is_dead=False,
                hold_s=endpoints_lib.DEAD_HOLD_S,
            )

    def _may_pass_over(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Tells whether hearsay may still keep work from an endpoint.

        Hosts that wake from a pause find everything unreachable for a moment,
        so what they say must not take most of a service away.
        """
        now = clocks.now()
        listed = self.endpoints.all_of(endpoint.service)
        doubted = sum(self.endpoints.is_doubted(e, now) for e in listed)
        return not self.endpoints.is_doubted(
            endpoint, now
        ) and doubted < MAX_HEARSAY_SHARE * len(listed)

    def heed(
        self, endpoint: endpoints_lib.Endpoint, facts: edges_lib.AnswerFacts
    ) -> None:
        """Takes in what an answer says of the endpoint that gave it."""
        if facts.answered_by not in (None, endpoint.endpoint_id):
            # The address has gone to another one.
            return
        if facts.is_leaving:
            self.mark_leaving(endpoint.incarnation, 'own answer')
        if facts.unread:
            self.audit.log(
                events.ENTRY_SKIPPED,
                table='answer',
                key=endpoint.endpoint_id,
                reason=facts.unread,
            )
        if facts.backoff_s:
            self.endpoints.back_off(endpoint, clocks.now(), facts.backoff_s)
            self.metrics.count('endpoint_backoffs')
            self.audit.log(
                events.ENDPOINT_BACKOFF,
                endpoint=endpoint.endpoint_id,
                for_s=facts.backoff_s,
            )

    def mark_leaving(self, incarnation: tuple[str, int], source: str) -> None:
        """Keeps new work from a start of an endpoint, for good."""
        if not self.endpoints.mark_left(incarnation):
            return
        self.leaving.add(incarnation, clocks.now())
        self.audit.log(
            events.ENDPOINT_LEAVING, endpoint=incarnation[0], source=source
        )
        self.note_change()

    def is_usable(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Tells whether new work may still go to this start of an endpoint."""
        known = self.endpoints.get(endpoint.endpoint_id)
        return (
            known is not None
            and known.incarnation == endpoint.incarnation
            and not known.is_draining
            and not self.endpoints.is_backing_off(known, clocks.now())
        )

    def note_change(self) -> None:
        """Wakes whoever waits for a change of the endpoints."""
        self.endpoints_changed.set()
        self.endpoints_changed = trio.Event()

    def watch_deaths(self, watcher: DeathWatcher) -> None:
        """Calls a function with the name of each endpoint that dies."""
        self._death_watchers.add(watcher)

    def unwatch_deaths(self, watcher: DeathWatcher) -> None:
        """Stops calling a function."""
        self._death_watchers.discard(watcher)

    def tell_death(self, endpoint_id: str) -> None:
        """Tells all watchers that an endpoint has died."""
        for watcher in list(self._death_watchers):
            watcher(endpoint_id)
