"""The hosts of the fleet, as one of them knows them from the shared table."""

import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import errors
from sardinebend_gateway import events
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import liveness as liveness_lib
from sardinebend_policy import readers
from sardinebend_store import feeds

RETRY_S: typing.Final = 0.4
MAX_ADDRESSES: typing.Final = 64
# With fewer addresses than this a caller that meets two dead ones has no
# other to try.
MIN_OWN_DOMAIN: typing.Final = 2


class Members:
    """The other hosts by name.

    Attributes:
        liveness: Their life signs.
    """

    def __init__(self, state: state_lib.State, row: shared_table.HostRow):
        self._state = state
        self._own = row
        self._rows: dict[str, shared_table.HostRow] = {}
        self._were_live: set[str] = set()
        self._domains: dict[str, str] = {}
        self.liveness = liveness_lib.Liveness(state.rng)

    def hear(self, name: str, incarnation: str, now: float) -> None:
        """Takes in a life sign; a new start shows before its row does."""
        number = liveness_lib.start_number(name, incarnation)
        self.liveness.hear(number, now)
        row = self._rows.get(name)
        if row is not None and row['incarnation'] != incarnation:
            row['incarnation'] = incarnation
            row['is_leaving'] = False

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Takes in from a host itself that it is leaving."""
        row = self._rows.get(name)
        if row is not None and row['incarnation'] == incarnation:
            row['is_leaving'] = True

    def live_peers(self) -> dict[str, shared_table.HostRow]:
        """Returns the rows of the other hosts that are taken to live."""
        peers = self.peers()
        now = clocks.now()
        return {
            name: row
            for name, row in peers.items()
            if not row['is_leaving']
            and self.liveness.is_alive(
                name, row['incarnation'], now, len(peers)
            )
        }

    def note_changes(self) -> None:
        """Logs which hosts have come or fallen silent, and counts the rest."""
        live = self.live_peers()
        for name in sorted(set(live) - self._were_live):
            self._state.audit.log(
                events.PEER_SEEN,
                peer=name,
                incarnation=live[name]['incarnation'],
                domain=live[name]['domain'],
            )
        for name in sorted(self._were_live - set(live)):
            self._state.audit.log(
                events.PEER_LOST, peer=name, is_listed=name in self._rows
            )
        self._were_live = set(live)
        self._state.live_count = len(live) + 1
        cfg = self._state.cfg
        domains = {name: row['domain'] for name, row in live.items()}
        domains[cfg.name] = cfg.domain
        if domains != self._domains:
            self._domains = domains
            self._take_role(readers.choose_role(cfg.name, domains))

    def _take_role(self, role: readers.Role) -> None:
        if role != self._state.role:
            self._state.role = role
            self._state.audit.log(
                events.ROLE_CHANGED,
                reader=role.reader,
                is_shared=role.is_shared,
                live=self._state.live_count,
            )

    def take(self, row: feeds.FeedRow) -> None:
        """Takes in a host's row."""
        name = row.key.removeprefix(shared_table.HOST_PREFIX)
        if row.value is None:
            self._rows.pop(name, None)
            return
        try:
            host = shared_table.decode_host(row.value)
            if name != self._state.cfg.name:
                self._rows[name] = host
            self._state.set_host_count(len(self.peers()) + 1)
            self._forget_starts()
        except errors.Malformed as exc:
            self._state.audit.log(
                events.ENTRY_SKIPPED,
                table=shared_table.TABLE,
                key=row.key,
                reason=str(exc),
            )

    def _forget_starts(self) -> None:
        """Drops the life signs of starts that no row names any more."""
        kept = {
            liveness_lib.start_number(name, row['incarnation'])
            for name, row in self._rows.items()
        }
        self.liveness.forget(kept, clocks.now())

    async def publish(self, is_leaving: bool) -> None:
        """Writes this host's row until the store has taken it."""
        row: shared_table.HostRow = {**self._own, 'is_leaving': is_leaving}
        key = shared_table.HOST_PREFIX + self._state.cfg.name
        while True:
            answer = await self._state.edges.store.write(
                shared_table.TABLE, key, None, shared_table.encode(row)
            )
            if isinstance(answer, result.Ok):
                return
            await trio.sleep(RETRY_S * self._state.rng.uniform(0.7, 1.3))

    def peers(self) -> dict[str, shared_table.HostRow]:
        """Returns the rows of all other hosts."""
        return dict(self._rows)

    def addresses(self, domain: str) -> list[settings_lib.Address]:
        """Returns where callers of a failure domain may connect."""
        open_rows = list(self.live_peers().values())
        if not self._state.is_stopping:
            open_rows.append(self._own)
        near = [r for r in open_rows if r['domain'] == domain]
        chosen = near if len(near) >= MIN_OWN_DOMAIN else open_rows
        if len(chosen) > MAX_ADDRESSES:
            chosen = self._state.rng.sample(chosen, MAX_ADDRESSES)
        return [settings_lib.Address.parse(r['callers']) for r in chosen]
