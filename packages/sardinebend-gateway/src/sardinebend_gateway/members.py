"""The other hosts of the fleet, as listed in the shared table."""

import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_peers import messages
from sardinebend_policy import liveness as liveness_lib
from sardinebend_policy import readers
from sardinebend_store import feeds

RETRY_S: typing.Final = 0.4
MAX_ADDRESSES: typing.Final = 64
# With a single address in its own domain, a caller has no other to try if that
# host is down, so it gets the addresses of all domains.
MIN_SAME_DOMAIN: typing.Final = 2


class Members:
    """The other hosts by name.

    Attributes:
        liveness: Their heartbeats.
    """

    def __init__(self, state: state_lib.State, row: shared_table.HostRow):
        self._state = state
        self._own_row = row
        self._rows: dict[str, shared_table.HostRow] = {}
        self._live_names: set[str] = set()
        self._domains: dict[str, str] = {}
        self._links_mbps: dict[str, float] = {}
        self._own_row_lost = trio.Event()
        self.liveness = liveness_lib.Liveness(state.rng)

    def record_heartbeat(self, heartbeat: messages.LoadHeartbeat) -> None:
        """Records a heartbeat, which may show a restart before the row does."""
        name, incarnation = heartbeat.host, heartbeat.incarnation
        incarnation_hash = liveness_lib.hash_incarnation(name, incarnation)
        host_clock = self._state.host_clock
        now = host_clock.now()
        # It may have waited in the socket while this host was held up.
        sent_at = clocks.now() - host_clock.signal_late_s()
        self.liveness.record_heartbeat(incarnation_hash, now, sent_at)
        self.liveness.apply_digest(heartbeat.heard, now, sent_at)
        row = self._rows.get(name)
        if row is not None and row['incarnation'] != incarnation:
            row['incarnation'] = incarnation
            row['is_leaving'] = False

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Records a host's own announcement that it is leaving."""
        row = self._rows.get(name)
        if row is not None and row['incarnation'] == incarnation:
            row['is_leaving'] = True

    def live_peers(self) -> dict[str, shared_table.HostRow]:
        """Returns the rows of the other hosts that are considered live."""
        peers = self.peers()
        now = self._state.host_clock.now()
        return {
            name: row
            for name, row in peers.items()
            if not row['is_leaving']
            and self.liveness.is_live(name, row['incarnation'], now, len(peers))
        }

    def refresh_live_peers(self) -> None:
        """Logs found and lost peers; updates their count and the role."""
        live = self.live_peers()
        for name in sorted(set(live) - self._live_names):
            self._state.audit.log(
                events.PEER_SEEN,
                peer=name,
                incarnation=live[name]['incarnation'],
                domain=live[name]['domain'],
            )
        for name in sorted(self._live_names - set(live)):
            row = self._rows.get(name)
            self._state.audit.log(
                events.PEER_LOST,
                peer=name,
                is_listed=row is not None,
                # Otherwise it fell silent, unless it is no longer listed.
                is_leaving=row['is_leaving'] if row is not None else None,
            )
        self._live_names = set(live)
        self._state.live_count = len(live) + 1
        cfg = self._state.cfg
        domains = {name: row['domain'] for name, row in live.items()}
        domains[cfg.name] = cfg.domain
        links_mbps = {
            name: row.get('link_mbps', 0.0) for name, row in live.items()
        }
        links_mbps[cfg.name] = cfg.link_mbps
        if (domains, links_mbps) != (self._domains, self._links_mbps):
            self._domains, self._links_mbps = domains, links_mbps
            self._apply_role(readers.choose_role(cfg.name, domains, links_mbps))

    def _apply_role(self, role: readers.Role) -> None:
        if role != self._state.role:
            self._state.role = role
            self._state.audit.log(
                events.ROLE_CHANGED,
                reader=role.reader,
                is_shared=role.is_shared,
                live=self._state.live_count,
            )

    def apply_row(self, row: feeds.FeedRow) -> None:
        """Applies a host's row.

        Raises:
            errors.Malformed: It isn't a valid host row.
        """
        name = row.key.removeprefix(shared_table.HOST_PREFIX)
        if row.value is None:
            self._rows.pop(name, None)
            if name == self._state.cfg.name:
                self._own_row_lost.set()
            return
        try:
            host = shared_table.decode_host(row.value)
        except errors.Malformed:
            if name == self._state.cfg.name:
                self._own_row_lost.set()
            raise
        if name != self._state.cfg.name:
            self._rows[name] = host
        elif host['incarnation'] != self._own_row['incarnation']:
            self._own_row_lost.set()
        self._state.set_host_count(len(self.peers()) + 1)
        self._drop_old_incarnations()

    def _drop_old_incarnations(self) -> None:
        """Drops the heartbeats of incarnations that no row names any more."""
        listed_incarnations = {
            liveness_lib.hash_incarnation(name, row['incarnation'])
            for name, row in self._rows.items()
        }
        self.liveness.forget(listed_incarnations, clocks.now())

    async def publish(self, is_leaving: bool) -> None:
        """Writes this host's row, with retries until the store accepts it."""
        row: shared_table.HostRow = {**self._own_row, 'is_leaving': is_leaving}
        key = shared_table.HOST_PREFIX + self._state.cfg.name
        while True:
            outcome = await self._state.edges.store.write(
                shared_table.TABLE, key, None, shared_table.encode(row)
            )
            if isinstance(outcome, result.Ok):
                return
            await trio.sleep(RETRY_S * self._state.rng.uniform(0.7, 1.3))

    async def keep_published(self) -> None:
        """Writes this host's row again whenever it is lost.

        It is if the store comes back from a copy that is older than the row.
        Runs until cancelled.
        """
        while True:
            await self._own_row_lost.wait()
            self._own_row_lost = trio.Event()
            await self.publish(self._state.is_stopping)

    def peers(self) -> dict[str, shared_table.HostRow]:
        """Returns the rows of all other hosts."""
        return dict(self._rows)

    def addresses(self, domain: str) -> list[settings_lib.Address]:
        """Returns the addresses that callers of a failure domain may use."""
        available = list(self.live_peers().values())
        if not self._state.is_stopping:
            available.append(self._own_row)
        same_domain = [r for r in available if r['domain'] == domain]
        chosen = (
            same_domain if len(same_domain) >= MIN_SAME_DOMAIN else available
        )
        if len(chosen) > MAX_ADDRESSES:
            chosen = self._state.rng.sample(chosen, MAX_ADDRESSES)
        return [settings_lib.Address.parse(r['callers']) for r in chosen]
