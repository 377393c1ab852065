"""Background tasks: polls, probes of suspect endpoints, and cancels.

The polls read the platform's list of hosts and endpoints, the load reports of
the engines, and the settings in the platform's table.
"""

import typing

import result
import trio

from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import membership
from sardinebend_router import engines
from sardinebend_router import logs
from sardinebend_router import peering as peering_lib
from sardinebend_router import settings_store
from sardinebend_router import state as state_lib
from sardinebend_settings import errors as settings_errors
from sardinebend_store import errors as platform_errors
from sardinebend_store import store

LIST_POLL_S: typing.Final = 1.0
SETTINGS_POLL_S: typing.Final = 5.0
LOAD_POLLS_PER_S: typing.Final = 10
SUSPECT_PROBE_S: typing.Final = 1.0
PROBE_TIMEOUT_S: typing.Final = 1.0


class BackgroundTasks:
    """Runs the background tasks of one host."""

    def __init__(
        self,
        state: state_lib.HostState,
        host_list: store.HostList,
        settings: settings_store.SettingsStore,
        driver: engines.PipelineDriver,
        peering: peering_lib.Peering,
    ) -> None:
        self._state = state
        self._host_list = host_list
        self._settings = settings
        self._driver = driver
        self._peering = peering
        self._table_reached_at = trio.current_time()

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the tasks."""
        nursery.start_soon(self._run_list)
        nursery.start_soon(self._run_settings)
        nursery.start_soon(self._run_loads)
        nursery.start_soon(self.run_suspect_probes)
        nursery.start_soon(self.run_cancels)

    # The platform's list of hosts and endpoints.

    async def _run_list(self) -> None:
        """Polls the list and updates the concurrency limit until cancelled."""
        while True:
            await self.poll_list()
            self._state.update_limit()
            await trio.sleep(LIST_POLL_S)

    async def poll_list(self) -> None:
        """Fetches the list of hosts and endpoints once and applies it."""
        answer = await self._host_list.fetch()
        if isinstance(answer, result.Err):
            self._state.metrics.count('host_list_failed')
            return
        listing = answer.ok_value
        members = [
            (
                membership.Member(
                    host.host_id,
                    host.failure_domain,
                    host.caller_url,
                    host.peer_address,
                ),
                host.leaving,
            )
            for host in listing.hosts
        ]
        self._state.membership.apply_listing(members)
        for endpoint in listing.endpoints:
            self._apply_endpoint(endpoint)

    def _apply_endpoint(self, endpoint: store.ListedEndpoint) -> None:
        fleet = self._state.fleet
        if endpoint.leaving:
            fleet.mark_leaving(endpoint.endpoint_id, endpoint.incarnation)
        elif endpoint.incarnation:
            fleet.record_incarnation(endpoint.endpoint_id, endpoint.incarnation)

    # Endpoints.

    async def _run_loads(self) -> None:
        """Polls the load of one engine after another until cancelled."""
        index = 0
        while True:
            await trio.sleep(1 / LOAD_POLLS_PER_S)
            engine_states = [
                endpoint
                for endpoint in self._state.fleet.list_all()
                if not endpoint.spec.service
            ]
            if not engine_states:
                continue
            index = (index + 1) % len(engine_states)
            await self._poll_load(engine_states[index])

    async def _poll_load(self, endpoint: fleet_lib.EndpointState) -> None:
        endpoint_id = endpoint.spec.endpoint_id
        with trio.move_on_after(PROBE_TIMEOUT_S):
            load = await self._driver.fetch_load(endpoint_id)
            if load is None:
                return
            fleet = self._state.fleet
            incarnation = load.get('incarnation', '')
            fleet.record_incarnation(endpoint_id, incarnation)
            now = trio.current_time()
            fleet.record_report(endpoint_id, load.get('running', -1), now)
            fleet.record_loaded_model(
                endpoint_id,
                load.get('model', ''),
                load.get('model_version', ''),
            )
            if load.get('leaving') and not endpoint.is_leaving:
                fleet.mark_leaving(endpoint_id, incarnation)
                await self._peering.report_leaving(endpoint_id, incarnation)

    async def run_suspect_probes(self) -> None:
        """Probes suspect endpoints until cancelled."""
        while True:
            await trio.sleep(SUSPECT_PROBE_S)
            now = trio.current_time()
            suspects = [
                endpoint.spec.endpoint_id
                for endpoint in self._state.fleet.list_all()
                if endpoint.unhealthy_until > now
            ]
            async with trio.open_nursery() as nursery:
                for endpoint_id in suspects:
                    nursery.start_soon(self._probe_suspect, endpoint_id)

    async def _probe_suspect(self, endpoint_id: str) -> None:
        health = await self._driver.probe(endpoint_id, PROBE_TIMEOUT_S)
        if isinstance(health, platform_errors.PlatformError):
            return
        incarnation = health.get('incarnation', '')
        self._state.fleet.record_incarnation(endpoint_id, incarnation)
        self._state.fleet.mark_healthy(endpoint_id)

    # Settings.

    async def _run_settings(self) -> None:
        """Polls the settings in the table until cancelled."""
        while True:
            await trio.sleep(SETTINGS_POLL_S)
            await self.poll_settings()

    async def poll_settings(self) -> None:
        """Applies the settings in the table if they are newer.

        If they are older, the table has lost what is in force here, and it is
        written again. Another host may do so first; the next poll tells.
        """
        answer = await self._settings.read_version()
        now = trio.current_time()
        if isinstance(answer, result.Ok):
            self._table_reached_at = now
            tree = self._state.settings.tree
            if answer.ok_value > tree.version:
                await self._apply_newer_settings()
            elif answer.ok_value < tree.version:
                await self._write_settings_again()
        self._update_isolation(now)

    async def _write_settings_again(self) -> None:
        try:
            answer = await self._settings.write_again(
                self._state.settings.tree, self._state.own.host_id
            )
        except settings_errors.SettingsError as exc:
            error: Exception = exc
        else:
            if isinstance(answer, result.Ok):
                return
            error = answer.err_value
        logs.get().warning(
            'settings not written again', extra={'error': str(error)}
        )

    async def _apply_newer_settings(self) -> None:
        tree = self._state.settings.tree
        entries = await self._settings.read_audit_entries(tree.version)
        if isinstance(entries, result.Err):
            return
        try:
            newer = settings_store.apply_audit_entries(tree, entries.ok_value)
            if newer is None:
                stored = await self._settings.load()
                if isinstance(stored, result.Ok):
                    newer = stored.ok_value.tree
        except settings_errors.SettingsError as exc:
            logs.get().error(
                'settings in the table are refused', extra={'error': str(exc)}
            )
            return
        if newer is not None:
            self._state.settings.apply_tree(newer)

    def _update_isolation(self, now: float) -> None:
        """Marks this host as isolated, or as connected again.

        A host that has peers is isolated if it has not reached the table for
        `settings.blind_after_s` and none of its peers is live, or none was
        heard for as long: it can't know which settings have been accepted. A
        host without peers is never isolated: no other host can accept settings
        that it doesn't know.
        """
        limit_s = self._state.get_number('settings.blind_after_s')
        peers = self._state.membership.list_members()
        live = self._state.membership.list_live(self._state.host_clock.now())
        # However long a pause was, what a peer said before it is of then.
        is_peer_recent = now - self._state.peer_heard_at <= limit_s
        is_peer_live = bool(live) and is_peer_recent
        is_peer_live_or_unneeded = is_peer_live or not peers
        is_table_lost = now - self._table_reached_at > limit_s
        self._state.is_isolated = is_table_lost and not is_peer_live_or_unneeded

    # Cancels.

    async def run_cancels(self) -> None:
        """Sends cancels, repeating unconfirmed ones, until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                for key in self._state.cancels.take_due(now):
                    nursery.start_soon(self._send_cancel, key)
                due = self._state.cancels.next_due()
                self._state.cancel_added = trio.Event()
                with trio.move_on_at(float('inf') if due is None else due):
                    await self._state.cancel_added.wait()

    async def _send_cancel(self, key: typing.Any) -> None:
        confirmed = await self._driver.cancel(
            key.endpoint_id, key.request_id, key.attempt
        )
        self._state.metrics.count('cancels_sent')
        if confirmed:
            self._state.cancels.confirm(key)
