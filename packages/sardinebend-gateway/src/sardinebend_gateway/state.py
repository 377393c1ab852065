"""The state of one host, and the age of the evidence behind it."""

import random
import typing

import trio

from sardinebend_gateway import answer_buffers
from sardinebend_gateway import audit as audit_lib
from sardinebend_gateway import clocks
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import gossip
from sardinebend_gateway import host_clock
from sardinebend_gateway import metrics as metrics_lib
from sardinebend_gateway import request_bodies
from sardinebend_gateway import settings as settings_lib
from sardinebend_policy import balancing
from sardinebend_policy import catalog as catalog_lib
from sardinebend_policy import endpoint_limits as limits_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import fleet_shares
from sardinebend_policy import inflight as inflight_lib
from sardinebend_policy import part_evidence
from sardinebend_policy import path_cache
from sardinebend_policy import paths as paths_lib
from sardinebend_policy import peer_reports
from sardinebend_policy import planned_stop as planned_stop_lib
from sardinebend_policy import quarantine
from sardinebend_policy import readers
from sardinebend_policy import readings
from sardinebend_policy import retries
from sardinebend_policy import service_times
from sardinebend_policy import silences
from sardinebend_policy import slowness as slowness_lib
from sardinebend_policy import stream_gaps
from sardinebend_policy import suspects as suspects_lib

# A budget counts requests over up to twice the configured window, so this share
# of the ratio keeps retries within the limit.
BUDGET_RATIO_SHARE: typing.Final = 0.5
# Share of the retries allowed regardless of traffic (`extra_retries`) that the
# listed hosts divide up. The rest is for hosts that aren't listed yet.
BUDGET_FLOOR_SHARE: typing.Final = 0.85

NEVER: typing.Final = float('-inf')
# Limits that are older have expired.
MAX_LIMIT_AGE_MS: typing.Final = int(limits_lib.LIMIT_TTL_S * 1000)
# Source of evidence that this host received itself, for the log.
OWN: typing.Final = 'own answer'
# Time for which a request that crashes endpoints is refused; the same as the
# default of sardinebend-router's setting `quarantine.hold_s`.
QUARANTINE_HOLD_S: typing.Final = 600.0
# Crashes after which a request is quarantined. Even a request that is the only
# suspect common to several crashes needs this many: when endpoints of one path
# crash together, requests that merely ran there become suspects as well.
CRASHES_TO_QUARANTINE: typing.Final = 3
# An unreachable endpoint is reported again after this time, because the
# cooldown that the first report started at other hosts may have ended.
UNREACHABLE_GOSSIP_S: typing.Final = endpoints_lib.UNREACHABLE_COOLDOWN_S
# Once this share of a service's endpoints is unhealthy, peer reports mark no
# more of them unhealthy.
MAX_PEER_REPORTED_SHARE: typing.Final = 0.25


FailureListener = typing.Callable[[str], None]


class State:
    """The state of one host, shared by its components.

    Attributes:
        cfg: The host's settings.
        edges: The external systems that the host uses.
        host_clock: Stands still while the host is held up.
        catalog: The configuration in force, if any is known.
        catalog_at: Latest time at which the store is known to have held this
            catalog, by `clocks.now` (see `Follower.evidence_at`).
        catalog_confirmed_at: When that was last confirmed (see
            `Follower.confirmed_at`).
        endpoints: All known endpoints.
        endpoint_limits: Limits that endpoints state on what they take.
        shares: Streams in flight by rank and customer, of all hosts.
        stream_gaps: History of the gaps between events of streams, by engine.
        slowness: Engines that are slower than published.
        answer_buffers: The buffered parts of incomplete answers.
        request_bodies: The bodies of the requests in progress.
        leaving: Incarnations of endpoints that announced that they leave, to
            gossip to other hosts.
        unreachable: Incarnations of endpoints that this host couldn't connect
            to, to gossip to other hosts.
        silences: Endpoints whose connects timed out.
        count_unsent_bytes: Returns how many bytes for peers wait to be sent.
        has_listings: Returns whether the endpoints' listings have been read.
        peer_reports: Peer reports of unreachable endpoints.
        suspects: Running and recently ended requests that may have caused a
            crash.
        quarantine: Requests during which endpoints have crashed, and parts of
            prompts that crash endpoints.
        part_evidence: What speaks for and against parts of prompts.
        planned_stop: The planned stop, if one has begun.
        service_times: Times that served requests took.
        host_count: Number of listed hosts, among which retry budgets are
            divided; `None` until it is known.
        live_count: Number of hosts that are considered live, this one
            included.
        role: Whether this host reads the store, or which host reads it on its
            behalf.
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
        self.host_clock = host_clock.HostClock(self._log_delay, self.metrics)
        self.catalog: catalog_lib.Catalog | None = None
        self.catalog_at = NEVER
        self.catalog_confirmed_at = NEVER
        self.endpoints = endpoints_lib.EndpointTable()
        self.endpoint_limits = limits_lib.EndpointLimits(rng)
        self.balancer = balancing.Balancer(rng)
        self.inflight = inflight_lib.InFlight()
        self.shares = fleet_shares.FleetShares()
        self.stream_gaps = stream_gaps.StreamGapHistory()
        self.slowness = slowness_lib.SlownessTable()
        self.answer_buffers = answer_buffers.AnswerBuffers()
        self.request_bodies = request_bodies.RequestBodies(
            lambda: request_bodies.make_limit(self.cfg.memory_mb)
        )
        self.request_bodies.register_gauges(self.metrics)
        self.unreachable: gossip.GossipItems[tuple[str, int]] = (
            gossip.GossipItems(UNREACHABLE_GOSSIP_S)
        )
        self.silences = silences.Silences()
        self.count_unsent_bytes: typing.Callable[[], int] = lambda: 0
        self.has_listings: typing.Callable[[], bool] = lambda: True
        self.peer_reports = peer_reports.PeerReports()
        self.leaving: gossip.GossipItems[tuple[str, int]] = gossip.GossipItems()
        self.suspects = suspects_lib.Suspects()
        self.quarantine = quarantine.Quarantine(
            QUARANTINE_HOLD_S, CRASHES_TO_QUARANTINE, CRASHES_TO_QUARANTINE
        )
        self.part_evidence = part_evidence.PartEvidence()
        self.planned_stop: planned_stop_lib.PlannedStop | None = None
        self.service_times = service_times.ServiceTimes()
        self.host_count: int | None = None
        self.live_count = 1
        self.role = readers.DIRECT_READER
        self._path_caches: dict[str, path_cache.PathCache] = {}
        self._pauses_at_risk_s: dict[str, float | None] = {}
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._failure_listeners: set[FailureListener] = set()
        self.endpoints_changed = trio.Event()
        self.quarantine_changed = trio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.planned_stop is not None

    def catalog_age_s(self) -> float:
        """Returns the time since the catalog was last known to be in force."""
        return clocks.now() - self.catalog_at

    def apply_catalog(self, catalog: catalog_lib.Catalog) -> None:
        """Applies a configuration if it is newer than the current one."""
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
        self.shares.configure(
            filter(catalog.has_ranks, catalog.services),
            catalog.customer_names(),
        )
        pauses_s = {n: catalog.pause_at_risk_s(n) for n in catalog.services}
        for name, service in catalog.services.items():
            before = old.services.get(name) if old else None
            if (
                before is None
                or before.engine != service.engine
                or pauses_s[name] != self._pauses_at_risk_s.get(name)
            ):
                self._path_caches.pop(name, None)
        self._pauses_at_risk_s = pauses_s

    def counts_reading(self, service: str) -> bool:
        """Returns whether prompts of a service count until they are read."""
        return self._pauses_at_risk_s.get(service) is not None

    def limits(self) -> catalog_lib.Limits:
        """Returns the limits on what callers may send."""
        return self.catalog.limits if self.catalog else catalog_lib.Limits()

    def path_cache_of(
        self, service: catalog_lib.Service
    ) -> path_cache.PathCache:
        """Returns the path cache of a service, rebuilt if it is outdated."""
        assert service.engine is not None
        cache = self._path_caches.get(service.name)
        if cache is None:
            pause_s = self._pauses_at_risk_s.get(service.name)
            cache = path_cache.PathCache(service.engine, pause_s)
            self._path_caches[service.name] = cache
        now = clocks.now()
        usable = self.endpoints.list_usable(service.name, now)
        is_rebuilt = cache.refresh(
            usable, self.loads(), self.endpoints.revision, now
        )
        if is_rebuilt and cache.pause_s is not None:
            self.inflight.read_rates.update(
                readings.read_rates(service.engine, usable)
            )
        return cache

    def loads(self) -> dict[str, paths_lib.Load]:
        """Returns the load of each endpoint, summed over all hosts."""
        return self.inflight.loads(clocks.now(), self.live_count)

    def share_view(self, service: str) -> fleet_shares.ShareView:
        """Returns what all hosts have in flight for a service."""
        return self.shares.view(service, clocks.now(), self.live_count)

    def link_use(self, engine: catalog_lib.EngineModel) -> float:
        """Returns the utilization of the links between failure domains.

        Each pair of domains has one link, which carries prompts one after
        another. The load is assumed to be spread evenly over all links.
        """
        tokens = self.inflight.crossing_tokens(clocks.now(), self.live_count)
        domains = max(2, self.endpoints.count_domains())
        links = domains * (domains - 1) / 2
        return tokens * paths_lib.link_ms_per_token(engine) / 1000 / links

    def watches_slowness(self, service: catalog_lib.Service) -> bool:
        """Returns whether paths go by how slow engines are now."""
        return (
            service.has_layers
            and self.catalog is not None
            and service.name in self.catalog.services
            and self.catalog.reading_can_break_pauses(service.name)
        )

    def record_pace(
        self, endpoint: endpoints_lib.Endpoint, factor: float, at: float
    ) -> None:
        """Records how slow an engine says that it is.

        Args:
            endpoint: The engine; other endpoints are ignored.
            factor: Its factor.
            at: When it was asked.
        """
        if self._watches_endpoint(endpoint):
            self.slowness.record(endpoint.endpoint_id, factor, at)

    def record_peer_slowness(self, statement: slowness_lib.Statement) -> None:
        """Applies another host's finding about an engine, if it is listed."""
        known = self.endpoints.get(statement.endpoint_id)
        if known is not None and self._watches_endpoint(known):
            self.slowness.apply(statement)

    def _watches_endpoint(self, endpoint: endpoints_lib.Endpoint) -> bool:
        catalog = self.catalog
        service = catalog.services.get(endpoint.service) if catalog else None
        return service is not None and self.watches_slowness(service)

    def budget_of(self, service: str) -> retries.RetryBudget:
        """Returns this host's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(
                self.cfg.retry_ratio * BUDGET_RATIO_SHARE,
                self._budget_floor(),
                self.cfg.retry_window_s,
            )
            self._budgets[service] = budget
        return budget

    def set_host_count(self, count: int) -> None:
        """Sets the number of hosts among which the budgets are divided."""
        if count != self.host_count:
            self.host_count = count
            for budget in self._budgets.values():
                budget.set_floor(self._budget_floor())

    def _budget_floor(self) -> int:
        if self.host_count is None:
            return 0
        share = self.cfg.extra_retries / max(1, self.host_count)
        return int(share * BUDGET_FLOOR_SHARE)

    def mark_unhealthy(
        self,
        endpoint: endpoints_lib.Endpoint,
        reason: str,
        has_failed: bool,
        cooldown_s: float = endpoints_lib.FIRST_COOLDOWN_S,
        is_silent: bool = False,
    ) -> None:
        """Marks an endpoint unhealthy for a cooldown.

        Args:
            endpoint: The endpoint.
            reason: Why it is marked, for the log.
            has_failed: Whether there is evidence that the endpoint has failed;
                a time-out is none. If so, the cooldown for unreachable
                endpoints applies instead of `cooldown_s`, and the failure
                listeners are called.
            cooldown_s: The first cooldown, which grows as
                `EndpointTable.mark_unhealthy` describes; ignored if
                `has_failed` is set.
            is_silent: Whether any later answer ends the cooldown.
        """
        if has_failed:
            cooldown_s = endpoints_lib.UNREACHABLE_COOLDOWN_S
        cooldown_s = self.endpoints.mark_unhealthy(
            endpoint, clocks.now(), reason, cooldown_s, is_silent
        )
        self.audit.log(
            events.ENDPOINT_DOUBTED,
            endpoint=endpoint.endpoint_id,
            reason=reason,
            for_s=round(cooldown_s, 3),
            silent_endpoints=self.silences.count(clocks.now()),
            unsent_bytes=self.count_unsent_bytes(),
        )
        if has_failed:
            self.notify_failure(endpoint.endpoint_id)

    def record_silence(
        self,
        endpoint: endpoints_lib.Endpoint,
        reason: str,
        cooldown_s: float = endpoints_lib.UNREACHABLE_COOLDOWN_S,
    ) -> None:
        """Withholds new work from an endpoint that didn't answer in time.

        Silence doesn't show that it has failed: requests that run there
        continue, and any later answer ends the cooldown.

        Args:
            endpoint: The endpoint.
            reason: What it didn't answer, for the log.
            cooldown_s: The first cooldown.
        """
        self.mark_unhealthy(
            endpoint,
            reason,
            has_failed=False,
            cooldown_s=cooldown_s,
            is_silent=True,
        )

    def record_unreachable(
        self, endpoint: endpoints_lib.Endpoint, is_silent: bool
    ) -> None:
        """Marks an endpoint unhealthy that this host can't connect to.

        This alone doesn't call the failure listeners, so requests that already
        run there continue: the network rather than the endpoint may be the
        cause.

        Args:
            endpoint: The endpoint.
            is_silent: Whether it didn't answer, rather than refuse.
        """
        if self.unreachable.add(endpoint.incarnation, clocks.now()):
            self.mark_unhealthy(
                endpoint,
                'unreachable',
                has_failed=False,
                cooldown_s=endpoints_lib.UNREACHABLE_COOLDOWN_S,
                is_silent=is_silent,
            )

    def record_peer_report(
        self, incarnation: tuple[str, int], host: str
    ) -> None:
        """Records a peer's report that it can't connect to an endpoint."""
        now = clocks.now()
        known = self.endpoints.get(incarnation[0])
        if known is None or known.incarnation != incarnation:
            return
        # It may have waited in the socket while this host was held up.
        late_s = self.host_clock.signal_late_s()
        if not self.peer_reports.record(incarnation, host, now, late_s):
            return
        if self._may_apply_peer_report(known):
            self.record_silence(known, 'unreachable for other hosts')

    def record_contact(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Records that an endpoint has answered this host."""
        self.silences.record_answer(endpoint.endpoint_id)
        # The answer may have waited while this host was held up.
        at = clocks.now() - self.host_clock.signal_late_s()
        self.endpoints.record_contact(endpoint, at)

    def _may_apply_peer_report(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Returns whether peer reports may mark an endpoint unhealthy.

        A host that was suspended finds every endpoint unreachable for a moment
        after it resumes, so the reports of such hosts must not make most of a
        service unavailable. What this host itself sees answering outweighs
        what others say.
        """
        now = clocks.now()
        if self.endpoints.has_recent_contact(endpoint, now):
            return False
        listed = self.endpoints.list_all(endpoint.service)
        unhealthy = sum(self.endpoints.is_unhealthy(e, now) for e in listed)
        return not self.endpoints.is_unhealthy(
            endpoint, now
        ) and unhealthy < MAX_PEER_REPORTED_SHARE * len(listed)

    def apply_answer_facts(
        self, endpoint: endpoints_lib.Endpoint, facts: edges_lib.AnswerFacts
    ) -> None:
        """Applies what an answer states about the endpoint that sent it."""
        if facts.is_from_another(endpoint):
            # The address now belongs to another endpoint.
            return
        self.record_contact(endpoint)
        if facts.is_leaving:
            self.mark_leaving(endpoint.incarnation, OWN)
        if facts.malformed_header:
            self.audit.log(
                events.ENTRY_SKIPPED,
                table='answer',
                key=endpoint.endpoint_id,
                reason=facts.malformed_header,
            )
        if facts.backoff_s:
            self.endpoints.back_off(endpoint, clocks.now(), facts.backoff_s)
            self.metrics.count('endpoint_backoffs')
            self.audit.log(
                events.ENDPOINT_BACKOFF,
                endpoint=endpoint.endpoint_id,
                for_s=facts.backoff_s,
            )
        if facts.limit_per_s is not None:
            self.record_limit(
                endpoint.incarnation, facts.limit_per_s, clocks.now(), OWN
            )
        elif (facts.is_genuine or facts.was_not_run) and (
            not facts.malformed_header
        ):
            # Other answers, such as reports, need not state a limit.
            self.record_limit(endpoint.incarnation, None, clocks.now(), OWN)

    def record_limit(
        self,
        incarnation: tuple[str, int],
        limit_per_s: float | None,
        stated_at: float,
        source: str,
    ) -> None:
        """Records the limit that an endpoint stated on what it takes.

        Args:
            incarnation: The incarnation of the endpoint.
            limit_per_s: Requests per second from all hosts together; `None` if
                it stated none.
            stated_at: When it stated that.
            source: Who received that, for the log.
        """
        now = clocks.now()
        previous_per_s = self.endpoint_limits.rate_per_s(incarnation, now)
        statement = limits_lib.Statement(incarnation, limit_per_s, stated_at)
        sharers = self._limit_sharers()
        if not self.endpoint_limits.record(statement, sharers, now):
            return
        self.metrics.count('endpoint_limits_changed')
        self.audit.log(
            events.ENDPOINT_LIMIT,
            endpoint=incarnation[0],
            limit_per_s=limit_per_s,
            previous_per_s=previous_per_s,
            source=source,
        )

    def record_peer_limit(
        self,
        incarnation: tuple[str, int],
        limit_per_s: float | None,
        age_ms: int,
    ) -> None:
        """Records a limit that another host heard of.

        Args:
            incarnation: The incarnation of the endpoint; ignored if it isn't
                listed.
            limit_per_s: Its limit; `None` if it no longer states one.
            age_ms: Time since it stated that.
        """
        known = self.endpoints.get(incarnation[0])
        if known is None or known.incarnation != incarnation:
            return
        # An absurd age mustn't overflow a float.
        age_s = min(max(0, age_ms), MAX_LIMIT_AGE_MS) / 1000
        self.record_limit(
            incarnation, limit_per_s, clocks.now() - age_s, 'another host'
        )

    def drop_expired_limits(self) -> None:
        """Drops limits that no answer has confirmed for long."""
        for statement in self.endpoint_limits.drop_expired(clocks.now()):
            self.metrics.count('endpoint_limits_changed')
            self.audit.log(
                events.ENDPOINT_LIMIT,
                endpoint=statement.incarnation[0],
                limit_per_s=None,
                previous_per_s=statement.rate_per_s,
                source='expired',
            )

    def _limit_sharers(self) -> int:
        """Returns the number of hosts that share endpoints' limits.

        A host that hears of no other one may itself be cut off or new, while
        the others still send.
        """
        if self.live_count > 1:
            return self.live_count
        return max(1, self.host_count or 1)

    def limit_wait_s(self, endpoint: endpoints_lib.Endpoint) -> float:
        """Returns the time until an endpoint's limit allows a request."""
        return self.endpoint_limits.wait_s(
            endpoint.incarnation, self._limit_sharers(), clocks.now()
        )

    def list_over_limit(self, service: str) -> set[str]:
        """Returns the IDs of endpoints whose limit allows no request now."""
        return {
            e.endpoint_id
            for e in self.endpoints.list_all(service)
            if self.limit_wait_s(e) > 0
        }

    def try_take_from_limit(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Counts a request towards an endpoint's limit.

        Returns:
            Whether the limit allows it.
        """
        return self.endpoint_limits.try_take(
            endpoint.incarnation, self._limit_sharers(), clocks.now()
        )

    def record_reused_address(self, endpoint: endpoints_lib.Endpoint) -> None:
        """Records that another endpoint uses the address of a listed one.

        The listing is outdated, so the endpoint gets no new work.
        """
        if self.endpoints.mark_leaving(endpoint.incarnation):
            self.audit.log(
                events.ENDPOINT_GONE,
                endpoint=endpoint.endpoint_id,
                source='address in use by another endpoint',
            )

    def mark_leaving(self, incarnation: tuple[str, int], source: str) -> None:
        """Permanently stops new work for one incarnation of an endpoint."""
        if not self.endpoints.mark_leaving(incarnation):
            return
        self.leaving.add(incarnation, clocks.now())
        self.audit.log(
            events.ENDPOINT_LEAVING, endpoint=incarnation[0], source=source
        )
        self.notify_change()

    def is_usable(self, endpoint: endpoints_lib.Endpoint) -> bool:
        """Returns whether this incarnation may still get new work."""
        known = self.endpoints.get(endpoint.endpoint_id)
        return (
            known is not None
            and known.incarnation == endpoint.incarnation
            and not known.is_draining
            and not self.endpoints.is_backing_off(known, clocks.now())
        )

    def _log_delay(self, delay_s: float) -> None:
        self.audit.log(events.HOST_DELAYED, delay_s=delay_s)

    def notify_change(self) -> None:
        """Wakes all tasks that wait for a change of the endpoints."""
        self.endpoints_changed.set()
        self.endpoints_changed = trio.Event()

    def notify_quarantined(self) -> None:
        """Wakes all tasks that wait for something to be quarantined."""
        self.quarantine_changed.set()
        self.quarantine_changed = trio.Event()

    def add_failure_listener(self, listener: FailureListener) -> None:
        """Registers a function to call with the ID of each failed endpoint."""
        self._failure_listeners.add(listener)

    def remove_failure_listener(self, listener: FailureListener) -> None:
        """Removes a function that `add_failure_listener` registered."""
        self._failure_listeners.discard(listener)

    def notify_failure(self, endpoint_id: str) -> None:
        """Calls all registered functions for an endpoint that has failed."""
        for listener in list(self._failure_listeners):
            listener(endpoint_id)
