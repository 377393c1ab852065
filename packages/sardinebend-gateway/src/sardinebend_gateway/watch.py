"""Applies the rows of the platform's tables to the state of a host."""

import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import crashes as crashes_lib
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import follower as follower_lib
from sardinebend_gateway import row_guard
from sardinebend_gateway import state as state_lib
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_store import feeds

# Interval between checks for postponed removals whose time has come.
CHECK_INTERVAL_S: typing.Final = 0.3
# How long after a change of era the store may lack the newest configuration,
# until the operator has written it again. Later, what it holds is in force.
REWRITE_LIMIT_S: typing.Final = 10.0


class CatalogUpdater:
    """Keeps the configuration up to date.

    Attributes:
        follower: Follows the table of the configuration.
        first_applied: Set once a configuration has been applied.
        is_starting: Whether this host has just started and the store may lack
            the newest configuration, as `start_check` finds out. Until it has,
            this host has no evidence that its own one is in force.
    """

    def __init__(self, state: state_lib.State) -> None:
        self.first_applied = trio.Event()
        self.is_starting = True
        self._state = state
        self._stored_version: int | None = None
        table = state.edges.state.catalog_table
        self.follower = follower_lib.Follower(
            state,
            table,
            self._apply_rows,
            follower_lib.KEY_POLL_SHARES.scale(state.cfg.revoke_s),
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        await self.follower.run()

    def _apply_rows(self, rows: typing.Iterable[feeds.FeedRow]) -> None:
        codec = self._state.edges.state
        for row in rows:
            if row.key != codec.catalog_key:
                continue
            self._stored_version = None
            if row.value is None:
                continue
            try:
                catalog = codec.decode_catalog(row.value)
                self._stored_version = catalog.version
                self._state.apply_catalog(catalog)
            except errors.Malformed as exc:
                self._state.audit.log(
                    events.CATALOG_REFUSED, version=row.version, reason=str(exc)
                )
                # The configuration in force may be outdated, so this answer
                # must not renew its evidence.
                return
        if self._state.catalog is None:
            return
        if feeds.era_of(self.follower.version) == 0:
            # The store has never come back from an older copy.
            self.is_starting = False
        self.first_applied.set()
        self._renew_evidence()

    def _renew_evidence(self) -> None:
        if not self.is_starting and not self._may_lack_newest():
            at = max(self._state.catalog_at, self.follower.evidence_at)
            self._state.catalog_at = at
            self._state.catalog_confirmed_at = self.follower.confirmed_at

    def end_start(self) -> None:
        """Takes what the store holds for the newest configuration."""
        self.is_starting = False
        # Otherwise the last answer had none that can be used.
        if self._stored_version is not None:
            self._renew_evidence()

    def applied_version(self) -> int:
        """Returns the version of the configuration in force; -1 if none."""
        catalog = self._state.catalog
        return -1 if catalog is None else catalog.version

    def version_to_state(self) -> int | None:
        """Returns the version that a host which starts now must have.

        It is `None` if this host doesn't know that.
        """
        if self.is_starting or self._state.catalog is None:
            return None
        if self._stored_version is None or self._may_lack_newest():
            return self.applied_version()
        return self._stored_version

    def _may_lack_newest(self) -> bool:
        """Returns whether the store may lack the newest configuration.

        After it has come back from an older copy, its answers don't show that
        the configuration is in force: one that takes keys away may be missing.
        """
        age_s = clocks.now() - self.follower.era_changed_at
        if age_s >= REWRITE_LIMIT_S:
            return False
        catalog = self._state.catalog
        return (
            age_s < follower_lib.RELIST_WAIT_S
            or catalog is None
            or self._stored_version is None
            or self._stored_version < catalog.version
        )


class EndpointUpdater:
    """Keeps the listings of endpoints up to date."""

    def __init__(
        self, state: state_lib.State, crashes: crashes_lib.CrashDetector
    ) -> None:
        self._state = state
        self._crashes = crashes
        self._postponed_removals: dict[str, float] = {}
        table = state.edges.state.endpoint_table
        self.follower = follower_lib.Follower(
            state,
            table,
            self._apply_rows,
            follower_lib.ENDPOINT_POLL_SHARES.scale(state.cfg.drain_s),
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._run_due_removals)

    def may_be_outdated(self) -> bool:
        """Returns whether listings may be older than what servers have written.

        That is so after the store has come back from an older copy, until
        servers have had time to write their listings again.
        """
        age_s = clocks.now() - self.follower.era_changed_at
        return age_s < follower_lib.RELIST_WAIT_S

    def _apply_rows(self, rows: typing.Iterable[feeds.FeedRow]) -> None:
        changed = False
        for row in rows:
            changed |= row_guard.apply_row(
                self._state, self.follower.table, row, self._apply_row
            )
        if changed:
            self._state.notify_change()

    def _apply_row(self, row: feeds.FeedRow) -> bool:
        if row.value is None:
            return self._handle_missing(row)
        self._postponed_removals.pop(row.key, None)
        endpoint = self._state.edges.state.decode_endpoint(row.key, row.value)
        previous = self._state.endpoints.get(endpoint.endpoint_id)
        if not self._state.endpoints.put(endpoint):
            return False
        self._log_put(previous, endpoint)
        if previous and previous.incarnation != endpoint.incarnation:
            self._state.notify_failure(endpoint.endpoint_id)
            self._crashes.record_crash(previous, 'a new incarnation is listed')
        return True

    def _log_put(
        self,
        previous: endpoints_lib.Endpoint | None,
        endpoint: endpoints_lib.Endpoint,
    ) -> None:
        if endpoint.is_draining and not (previous and previous.is_draining):
            self._state.audit.log(
                events.ENDPOINT_LEAVING,
                endpoint=endpoint.endpoint_id,
                source='listing',
            )
        elif previous is None or previous.span != endpoint.span:
            self._state.audit.log(
                events.ENDPOINT_SEEN,
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                service=endpoint.service,
                span=endpoint.span,
            )

    def _handle_missing(self, row: feeds.FeedRow) -> bool:
        """Handles a missing listing; returns whether an endpoint was removed.

        After a store outage, listings get time to be renewed first.
        """
        since_regained = clocks.now() - self.follower.regained_at
        if since_regained < follower_lib.RELIST_WAIT_S:
            self._postponed_removals[row.key] = (
                self.follower.regained_at + follower_lib.RELIST_WAIT_S
            )
            return False
        return self._remove(row.key)

    def _remove(self, key: str) -> bool:
        endpoint = self._state.endpoints.remove(key)
        if endpoint is None:
            return False
        self._state.audit.log(
            events.ENDPOINT_GONE, endpoint=key, source='listing'
        )
        names = self._state.endpoints.names()
        self._state.balancer.forget(names)
        self._state.stream_gaps.forget(names)
        self._state.slowness.forget(names)
        self._state.inflight.forget(names)
        if not endpoint.is_draining:
            self._crashes.record_delisted(endpoint)
        return True

    async def _run_due_removals(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = clocks.now()
            due = [
                key for key, at in self._postponed_removals.items() if at <= now
            ]
            for key in due:
                del self._postponed_removals[key]
                if self._remove(key):
                    self._state.notify_change()
