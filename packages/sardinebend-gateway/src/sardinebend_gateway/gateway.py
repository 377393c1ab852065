"""Assembles the components of a host, starts and stops them."""

import random
import typing
import uuid

import trio

from sardinebend_gateway import calls
from sardinebend_gateway import crashes
from sardinebend_gateway import edges as edges_lib
from sardinebend_gateway import events
from sardinebend_gateway import follower as follower_lib
from sardinebend_gateway import forwarder
from sardinebend_gateway import heartbeats
from sardinebend_gateway import host_clock
from sardinebend_gateway import http_server
from sardinebend_gateway import members
from sardinebend_gateway import placement_controller
from sardinebend_gateway import relay
from sardinebend_gateway import row_guard
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import settled_era
from sardinebend_gateway import share_metrics
from sardinebend_gateway import shared_part_evidence
from sardinebend_gateway import shared_quarantine
from sardinebend_gateway import shared_table
from sardinebend_gateway import slow_endpoints
from sardinebend_gateway import start_check
from sardinebend_gateway import state as state_lib
from sardinebend_gateway import stored_part_evidence
from sardinebend_gateway import supervisor
from sardinebend_gateway import watch
from sardinebend_policy import planned_stop
from sardinebend_store import feeds


class PeerAddresses(typing.NamedTuple):
    """Addresses at which this host and its peers reach each other.

    Attributes:
        heartbeats: Where this host receives heartbeats.
        relay: Where it answers peers.
        seeds: Relay addresses of hosts to ask before any peer is known; may be
            stale.
    """

    heartbeats: settings_lib.Address
    relay: settings_lib.Address
    seeds: tuple[settings_lib.Address, ...]


class Gateway:
    """One host.

    Attributes:
        state: The state that its components share.
        members: The hosts of the fleet.
        supervisor: Runs the background tasks.
        relay_server: Answers peers; set once `run` has begun.
    """

    def __init__(
        self,
        cfg: settings_lib.HostSettings,
        edges: edges_lib.Edges,
        addresses: PeerAddresses,
    ) -> None:
        self.incarnation = uuid.uuid4().hex[:12]
        self.state = state_lib.State(
            cfg, edges, random.Random(self.incarnation)
        )
        share_metrics.register(self.state)
        self._quarantine = shared_quarantine.SharedQuarantine(
            self.state, lambda: self.placement_controller.holds_lease
        )
        self._shared_evidence = shared_part_evidence.SharedPartEvidence(
            self.state, self._quarantine
        )
        self._stored_evidence = stored_part_evidence.StoredPartEvidence(
            self.state, self._shared_evidence
        )
        self._crashes = crashes.CrashDetector(
            self.state, self._quarantine, self._shared_evidence
        )
        self._calls = calls.EngineCalls(self.state, self._crashes)
        self.placement_controller = placement_controller.PlacementController(
            self.state,
            self._calls,
            self.incarnation,
            lambda: self._endpoints.may_be_outdated(),
        )
        self._slow_endpoints = slow_endpoints.SlowEndpoints(
            self.state, self._calls
        )
        self._forwarder = forwarder.Forwarder(
            self.state, self._calls, self._crashes
        )
        self.server = http_server.Server(
            self._forwarder.serve,
            self.state.limits,
            self.state.host_clock.move_on_after,
            self.state.caller_account,
        )
        row: shared_table.HostRow = {
            'callers': str(cfg.callers),
            'beats': str(addresses.heartbeats),
            'relay': str(addresses.relay),
            'domain': cfg.domain,
            'incarnation': self.incarnation,
            'is_leaving': False,
            'link_mbps': cfg.link_mbps,
        }
        self.members = members.Members(self.state, row)
        self._shared = follower_lib.Follower(
            self.state,
            shared_table.TABLE,
            self._apply_shared_rows,
            follower_lib.SHARED_ROWS_POLL,
        )
        self._catalog = watch.CatalogUpdater(self.state)
        self._settled_era = settled_era.SettledEra(self.state, self._catalog)
        self._endpoints = watch.EndpointUpdater(self.state, self._crashes)
        self.state.has_listings = lambda: self._endpoints.follower.has_rows
        self._heartbeats = heartbeats.Heartbeats(
            self.state,
            self.members,
            self._quarantine,
            self._shared_evidence,
            addresses.heartbeats,
            self.incarnation,
        )
        self.supervisor = supervisor.Supervisor(
            self.state.audit, self.state.metrics
        )
        self._addresses = addresses
        self._stop_requested = trio.Event()

    async def run(self) -> None:
        """Serves until a planned stop is complete."""
        cfg = self.state.cfg
        self.state.audit.log(
            events.STARTED, incarnation=self.incarnation, domain=cfg.domain
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.state.host_clock.run)
            await self.server.start(nursery, cfg.callers.ip, cfg.callers.port)
            client = self._start_relay(nursery)
            jobs: dict[str, supervisor.Job] = {
                'catalog': self._catalog.run,
                'first catalog': start_check.StartCheck(
                    self._catalog, client, self._settled_era
                ).run,
                'settled era': self._settled_era.run,
                'endpoints': self._endpoints.run,
                'shared rows': self._shared.run,
                'life signs': self._heartbeats.run,
                'crashes': self._crashes.run,
                'quarantine': self._quarantine.run,
                'prompt parts': self._shared_evidence.run,
                'stored evidence': self._stored_evidence.run,
                'first row': lambda: self.members.publish(False),
                'own row': self.members.keep_published,
                'keeper': self.placement_controller.run,
                'slow endpoints': self._slow_endpoints.run,
            }
            for name, job in jobs.items():
                nursery.start_soon(self.supervisor.run, name, job)
            await self._stop_requested.wait()
            nursery.start_soon(
                self.supervisor.run,
                'leaving row',
                lambda: self.members.publish(True),
            )
            assert self.state.planned_stop is not None
            await self._drain(self.state.planned_stop)
            nursery.cancel_scope.cancel()

    def _start_relay(self, nursery: trio.Nursery) -> relay.RelayClient:
        own = self._addresses.relay
        seeds = [s for s in self._addresses.seeds if s != own]
        client = relay.RelayClient(
            self.state,
            self.members,
            seeds,
            nursery,
            is_seed=own in self._addresses.seeds,
        )
        followers = {
            follower.table: follower
            for follower in (
                self._catalog.follower,
                self._endpoints.follower,
                self._shared,
            )
        }
        for follower in followers.values():
            follower.peers = client
        self.relay_server = relay.RelayServer(
            self.state, followers, self._catalog
        )
        nursery.start_soon(self.relay_server.run, self._addresses.relay)
        return client

    def begin_stop(self) -> None:
        """Begins a planned stop; `run` returns when it is complete."""
        if self.state.is_stopping:
            return
        signal_late_s = self.state.host_clock.stop_signal_late_s()
        self.state.planned_stop = planned_stop.PlannedStop.begin(
            trio.current_time(), self.state.cfg.grace_s, signal_late_s
        )
        self.server.begin_stop()
        self.state.audit.log(
            events.STOPPING,
            in_flight=self.server.in_flight,
            grace_s=self.state.cfg.grace_s,
            signal_late_s=round(signal_late_s, 3),
        )
        self._stop_requested.set()

    def is_ready(self) -> bool:
        """Returns whether callers should be sent to this host."""
        state = self.state
        if state.is_stopping or state.catalog is None:
            return False
        if not self._endpoints.follower.has_rows:
            return False
        if not self.supervisor.is_healthy():
            return False
        return state.catalog_age_s() < state.cfg.revoke_s

    async def _drain(self, stop: planned_stop.PlannedStop) -> None:
        """Waits until no request is in flight or the grace period is over.

        Requests that come meanwhile are refused, and don't prolong the stop.
        """
        await trio.sleep_until(stop.refuses_at)
        with trio.move_on_at(stop.closes_at):
            await self._forwarder.wait_idle()
        self.server.close()
        with trio.move_on_at(stop.gives_up_at):
            await self.server.wait_closed()
        await self._pass_on_arrived()
        self._forwarder.give_up_unanswered(stop.cut_at)
        with trio.move_on_at(stop.cut_at):
            await self.server.wait_closed()
        await self._pass_on_arrived()
        self.state.audit.log(
            events.STOPPED,
            in_flight=self.server.in_flight,
            cut=self._forwarder.open_requests,
            unread_or_refused=(
                self.server.in_flight - self._forwarder.open_requests
            ),
            after_s=round(trio.current_time() - stop.started_at, 3),
        )

    async def _pass_on_arrived(self) -> None:
        """Lets requests end whose answers have arrived.

        A host that was held up finds the times of its stop over before it has
        read them.
        """
        until = trio.current_time() + planned_stop.LAST_READ_S
        for _ in range(host_clock.READ_PASSES):
            if not self.server.in_flight or trio.current_time() >= until:
                return
            await trio.lowlevel.checkpoint()

    def _apply_shared_rows(self, rows: typing.Iterable[feeds.FeedRow]) -> None:
        for row in rows:
            row_guard.apply_row(
                self.state, shared_table.TABLE, row, self._apply_shared_row
            )
        self.placement_controller.apply_missing_lease()
        self.members.refresh_live_peers()

    def _apply_shared_row(self, row: feeds.FeedRow) -> None:
        if row.key == shared_table.LEASE_KEY:
            self.placement_controller.apply_lease_row(row)
        elif row.key == shared_table.SETTLED_ERA_KEY:
            self._settled_era.apply_row(row)
        elif row.key.startswith(shared_table.HOST_PREFIX):
            self.members.apply_row(row)
        elif row.key.startswith(shared_table.QUARANTINE_PREFIX):
            self._quarantine.apply_row(row)
        elif row.key.startswith(shared_table.EVIDENCE_PREFIX):
            self._stored_evidence.apply_row(row)
