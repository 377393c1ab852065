"""Follows one table of the platform's store and tracks the age of its rows.

The rows come from the store, or from a host that reads it on behalf of others.
"""

import abc
import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import state as state_lib
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

RETRY_S: typing.Final = 0.3
# A host that starts asks the seeds first. They may start at the same time, so
# it asks the store after this time.
SEEDS_TIMEOUT_S: typing.Final = 1.0
SEEDS_RETRY_S: typing.Final = 0.3
# Refused calls cost as much as others, and peers relay changes meanwhile, so
# the retry delay may grow up to this.
MAX_RETRY_S: typing.Final = 1.2
# Listings get time to be renewed only after an outage longer than this.
MIN_OUTAGE_S: typing.Final = 1.0
# Listings that expired during a store outage reappear about 2 s after its end.
# This shorter time counts from the first answer after the outage, and removals
# that are due are carried out at the next check (`watch.CHECK_INTERVAL_S`).
RELIST_WAIT_S: typing.Final = 1.8
# The store's clock may run at a different rate, so only this share of the
# requested wait counts as time in which nothing changed.
CERTAIN_WAIT_SHARE: typing.Final = 0.95
# A request with a shorter wait than this counts as one without a wait.
MIN_WAIT_S: typing.Final = 0.02


class PollTimes(typing.NamedTuple):
    """Long-poll times for one table, in seconds.

    A feed without messages doesn't show that nothing has changed, so each
    request waits for a bounded time. The age of the evidence can reach the sum
    of the waits of all hosts that relay it.

    Attributes:
        store_wait_s: Longest wait at the store if no other host reads the store
            through this one.
        reader_store_wait_s: Longest wait at the store if other hosts do.
        relay_wait_s: Longest wait at another host if others read the store
            through this one.
        peer_wait_s: Longest wait at another host if no others do.
        max_peer_age_s: If the evidence of the asked host is this old or older,
            the store is asked instead.
        batch_pause_s: Pause after an answer with rows. While a fleet starts,
            rows arrive one by one; with a pause, the next answer has several.
    """

    store_wait_s: float
    reader_store_wait_s: float
    relay_wait_s: float
    peer_wait_s: float
    max_peer_age_s: float
    batch_pause_s: float

    def scale(self, bound_s: float) -> 'PollTimes':
        """Returns times that are these shares of a bound."""
        return PollTimes(*(share * bound_s for share in self))


# Shares of `drain_s`, the time after which a leaving endpoint must get no new
# work. The waits of the host that reads the store, of a relay and of the host
# itself add up to less than the greatest allowed age of evidence, so that a
# host asks the store only when its reader has lost contact with the store.
ENDPOINT_POLL_SHARES: typing.Final = PollTimes(
    store_wait_s=0.9,
    reader_store_wait_s=0.4,
    relay_wait_s=0.12,
    peer_wait_s=0.25,
    max_peer_age_s=0.8,
    batch_pause_s=0.1,
)
# Shares of `revoke_s`, the time after which a withdrawn key must be refused. A
# host accepts keys while its evidence is less than about that old. After it has
# lost the store, it must still accept keys for 0.6 * `revoke_s`, so at that
# moment its evidence may be at most 0.4 * `revoke_s` old.
KEY_POLL_SHARES: typing.Final = PollTimes(
    store_wait_s=0.16,
    reader_store_wait_s=0.16,
    relay_wait_s=0.05,
    peer_wait_s=0.1,
    max_peer_age_s=0.33,
    batch_pause_s=0.04,
)
# The rows that hosts share change rarely, and no time limit depends on them.
SHARED_ROWS_POLL: typing.Final = PollTimes(
    store_wait_s=5.0,
    reader_store_wait_s=5.0,
    relay_wait_s=3.0,
    peer_wait_s=4.0,
    max_peer_age_s=15.0,
    batch_pause_s=0.5,
)


class Relayed(typing.NamedTuple):
    """Rows of a table as relayed by a peer.

    Attributes:
        changes: Rows, and the table version that they include.
        evidence_at: Latest time at which the store is known to have held them.
        is_whole: Whether the rows are the whole table.
        since_outage_s: Time since the peer's last store outage ended, if that
            is recent.
    """

    changes: feeds.Changes
    evidence_at: float
    is_whole: bool
    since_outage_s: float | None = None


RelayAnswer = result.Result[Relayed, store_errors.Unavailable]


class PeerTables(abc.ABC):
    """Source of a table's rows other than the store."""

    @property
    @abc.abstractmethod
    def serves_others(self) -> bool:
        """Whether other hosts read the store through this one."""

    @property
    @abc.abstractmethod
    def has_seeds(self) -> bool:
        """Whether there are hosts to ask before any peer is known."""

    @abc.abstractmethod
    async def query_any(self, table: str, after: int) -> RelayAnswer:
        """Returns without a wait a peer's changes; all rows for version -1."""

    @abc.abstractmethod
    async def query_reader(
        self, table: str, after: int, wait_s: float
    ) -> RelayAnswer:
        """Returns changes from the host that reads the store for this one.

        Waits for rows that changed after a version. Returns `Unavailable` if no
        host reads the store for this one.
        """


class Follower:
    """Follows one table.

    Attributes:
        table: The table.
        evidence_at: Latest time at which the store is known to have held
            exactly these rows: the time of the request, or the end of the wait
            if the store delayed its answer because nothing changed.
        confirmed_at: When the store's answer arrived that last confirmed the
            rows; for relayed rows, the time of their evidence.
        is_store_lost: Whether a request to the store failed and neither the
            store nor this host's reader has given a usable answer since. A
            `HistoryLost` answer isn't such a failure.
        regained_at: Latest time at which an outage longer than `MIN_OUTAGE_S`
            ended, for this host or, as its reader reports, for the reader.
        era_changed_at: When this host noticed that the store had come back
            from an older copy.
        peers: Other hosts that have the table, if any.
        version: Store version that the rows include.
    """

    def __init__(
        self,
        state: state_lib.State,
        table: str,
        on_rows: typing.Callable[[typing.Iterable[feeds.FeedRow]], None],
        poll_times: PollTimes,
    ) -> None:
        self.table = table
        self.evidence_at = state_lib.NEVER
        self.confirmed_at = state_lib.NEVER
        self.is_store_lost = False
        self.regained_at = state_lib.NEVER
        self.era_changed_at = state_lib.NEVER
        self.peers: PeerTables | None = None
        self.version = -1
        self._state = state
        self._on_rows = on_rows
        self._poll_times = poll_times
        self._must_read_all = True
        # Whether the reader may have the rows that the store must be asked for.
        self._may_ask_reader = False
        # Whether the last request failed while this host was held up.
        self._failed_late = False
        self._retry_delay_s = RETRY_S
        self._rows: dict[str, feeds.FeedRow] = {}
        self._changed = trio.Event()

    @property
    def has_rows(self) -> bool:
        """Whether the table has been read at all."""
        return self.version >= 0

    def evidence_age_s(self) -> float:
        """Returns the time since the rows were last known to be in force."""
        return clocks.now() - self.evidence_at

    def since_outage_s(self) -> float | None:
        """Returns the time since a store outage ended, if that is recent."""
        age_s = clocks.now() - self.regained_at
        return age_s if age_s < RELIST_WAIT_S else None

    def rows_since(self, version: int) -> list[feeds.FeedRow]:
        """Returns rows that changed after a version, removed ones included."""
        changed = [row for row in self._rows.values() if row.version > version]
        return sorted(changed, key=lambda row: row.version)

    async def wait_for_newer(self, version: int) -> None:
        """Waits until the table is newer than a version."""
        while self.version <= version:
            await self._changed.wait()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        if self.peers is not None and self.peers.has_seeds:
            with trio.move_on_after(SEEDS_TIMEOUT_S):
                await self._read_from_seeds()
        while True:
            rows = await self._follow_peer()
            if rows is None:
                rows = await self._follow_store()
            if rows:
                await trio.sleep(self._poll_times.batch_pause_s)

    async def _read_from_seeds(self) -> None:
        """Reads the table from a seed that already has it."""
        while not self.has_rows:
            # The seeds may have just started as well.
            await trio.sleep(SEEDS_RETRY_S * self._state.rng.uniform(0.7, 1.3))
            await self._ask_any_peer()
        self._must_read_all = False

    async def _follow_peer(self) -> int | None:
        """Applies changes from the host that reads the store for this one.

        Returns the number of rows; `None` if the store must be asked.
        """
        if self.peers is None:
            return None
        if self._must_read_all:
            return await self._read_from_reader(self.peers)
        # The wait ends before the current evidence becomes too old, so that the
        # store can be asked in time.
        remaining_s = self._poll_times.max_peer_age_s - self.evidence_age_s()
        max_wait_s = self._poll_times.peer_wait_s
        if self.peers.serves_others:
            max_wait_s = self._poll_times.relay_wait_s
        wait_s = max(0.0, min(max_wait_s, remaining_s))
        answer = await self.peers.query_reader(self.table, self.version, wait_s)
        if isinstance(answer, result.Err):
            return None
        relayed = answer.ok_value
        age_s = clocks.now() - relayed.evidence_at
        is_older = relayed.changes.version < self.version
        # While roles change, two hosts may each take the other for their
        # reader. Without a wait, and with no newer evidence in the answers,
        # they would ask each other in a loop without a pause, so the store is
        # asked instead.
        repeats_evidence = (
            wait_s < MIN_WAIT_S and relayed.evidence_at <= self.evidence_at
        )
        if repeats_evidence or age_s >= self._poll_times.max_peer_age_s:
            return None
        if is_older:
            # This host already got a newer version, from the store or another
            # peer. The store's version also counts writes to other tables, so
            # this peer reaches it even if the table doesn't change.
            return 0 if wait_s >= MIN_WAIT_S else None
        self._apply_relayed(relayed)
        return len(relayed.changes.rows)

    async def _read_from_reader(self, peers: PeerTables) -> int | None:
        """Applies rows that this host's reader has since the store lost them.

        Once a store has come back from an older copy, all hosts that asked it
        learn of that at the same time; the reader spares it their whole reads.

        Returns the number of rows; `None` if the store must be asked.
        """
        if not self._may_ask_reader:
            return None
        self._may_ask_reader = False
        # A reader that has lost the store asks it again within this time.
        wait_s = min(MAX_RETRY_S, self._poll_times.max_peer_age_s)
        answer = await peers.query_reader(self.table, self.version, wait_s)
        if isinstance(answer, result.Err):
            return None
        relayed = answer.ok_value
        version = relayed.changes.version
        era = feeds.era_of(version)
        is_of_former_era = era < self._state.edges.store.era
        has_gaps = era > feeds.era_of(self.version) and not relayed.is_whole
        age_s = clocks.now() - relayed.evidence_at
        is_old = age_s >= self._poll_times.max_peer_age_s
        if is_of_former_era or has_gaps or is_old or version < self.version:
            return None
        self._apply_relayed(relayed)
        self._must_read_all = False
        return len(relayed.changes.rows)

    def _apply_relayed(self, relayed: Relayed) -> None:
        self._record_contact(relayed.evidence_at)
        if relayed.since_outage_s is not None:
            regained_at = clocks.now() - relayed.since_outage_s
            self.regained_at = max(self.regained_at, regained_at)
        self._apply(relayed.changes, relayed.evidence_at, relayed.is_whole)

    async def _follow_store(self) -> int:
        """Applies changes from the store; returns the number of rows."""
        sent_at = clocks.now()
        began_at = trio.current_time()
        wait_s = self._wait_s()
        answer = await self._ask_store(wait_s)
        if isinstance(answer, result.Err):
            await self._handle_store_failure(answer.err_value, began_at)
            return 0
        changes = answer.ok_value
        if changes.version < self.version:
            # The answer is older than one that was already applied.
            self._must_read_all = True
            await trio.sleep(RETRY_S)
            return 0
        self._record_contact(sent_at)
        self.confirmed_at = clocks.now()
        evidence_at = sent_at
        if not changes.rows and not self._must_read_all:
            # If nothing changes, the store delays its answer until the end of
            # the wait.
            held_until = sent_at + CERTAIN_WAIT_SHARE * wait_s
            evidence_at = min(held_until, self.confirmed_at)
        self._apply(changes, evidence_at, self._must_read_all)
        self._must_read_all = False
        return len(changes.rows)

    def _wait_s(self) -> float:
        """Returns how long the store may delay an answer."""
        serves_others = self.peers is not None and self.peers.serves_others
        wait_s = (
            self._poll_times.reader_store_wait_s
            if serves_others
            else self._poll_times.store_wait_s
        )
        # The evidence is overdue, so it is renewed before any wait for news.
        return 0.0 if self.evidence_age_s() > 2 * wait_s else wait_s

    async def _ask_store(
        self, wait_s: float
    ) -> result.Result[feeds.Changes, feeds.FollowError]:
        store = self._state.edges.store
        if self._must_read_all:
            return await store.read_all(self.table)
        return await store.follow(self.table, self.version, wait_s)

    async def _handle_store_failure(
        self, exc: Exception, began_at: float
    ) -> None:
        """Handles a failed request.

        Args:
            exc: Why it failed.
            began_at: When it began, by `trio.current_time`.
        """
        self._state.metrics.count('store_failures', table=self.table)
        if isinstance(exc, store_errors.HistoryLost):
            self._must_read_all = True
            self._may_ask_reader = self.has_rows
            return
        host_clock = self._state.host_clock
        may_be_sound = not (self.is_store_lost or self._failed_late)
        if may_be_sound and not host_clock.was_on_time_since(began_at):
            # The delay of this host may be the cause; the next request tells.
            self._failed_late = True
            return
        if not self.is_store_lost:
            self.is_store_lost = True
            self._state.audit.log(
                events.STORE_LOST,
                table=self.table,
                reason=str(exc),
                evidence_age_s=round(self.evidence_age_s(), 3),
            )
        await self._ask_any_peer()
        await trio.sleep(
            self._retry_delay_s * self._state.rng.uniform(0.7, 1.3)
        )
        self._retry_delay_s = min(MAX_RETRY_S, self._retry_delay_s * 2)

    async def _ask_any_peer(self) -> None:
        if self.peers is None:
            return
        answer = await self.peers.query_any(self.table, self.version)
        if isinstance(answer, result.Err):
            return
        relayed = answer.ok_value
        is_not_older = relayed.changes.version >= self.version
        if is_not_older and relayed.evidence_at > self.evidence_at:
            self._apply(relayed.changes, relayed.evidence_at, relayed.is_whole)

    def _record_contact(self, contact_at: float) -> None:
        """Records an answer, and the end of a store outage if there was one.

        Args:
            contact_at: When the request to the store was sent; for a peer's
                answer, the time of its evidence.
        """
        self._retry_delay_s = RETRY_S
        if not (self.is_store_lost or self._failed_late):
            return
        outage_s = contact_at - self.evidence_at
        if self.is_store_lost:
            self._state.audit.log(
                events.STORE_REGAINED,
                table=self.table,
                after_s=round(outage_s, 3),
            )
        self.is_store_lost = False
        # If this host was held up, the store and the endpoints may have been as
        # well: listings get time to be renewed as after an outage.
        self._failed_late = False
        if outage_s > MIN_OUTAGE_S:
            self.regained_at = clocks.now()

    def _apply(
        self, changes: feeds.Changes, evidence_at: float, is_whole: bool
    ) -> None:
        is_new_era = feeds.era_of(changes.version) > feeds.era_of(self.version)
        if is_new_era and self.has_rows:
            if not is_whole:
                # Changes since a version of another era would leave gaps.
                self._must_read_all = True
                return
            self._record_era(changes)
        rows = list(changes.rows)
        if is_whole:
            present = {row.key for row in rows}
            rows += [
                feeds.FeedRow(key, changes.version, None)
                for key, row in self._rows.items()
                if key not in present and row.value is not None
            ]
        self.evidence_at = max(self.evidence_at, evidence_at)
        self.confirmed_at = max(self.confirmed_at, evidence_at)
        newer = [row for row in rows if self._is_newer(row)]
        self._rows.update((row.key, row) for row in newer)
        self.version = changes.version
        self._on_rows(newer)
        if newer:
            self._changed.set()
            self._changed = trio.Event()

    def _record_era(self, changes: feeds.Changes) -> None:
        """Records that the store has come back from an older copy."""
        now = clocks.now()
        keys = {row.key for row in changes.rows}
        lost = [
            key
            for key, row in self._rows.items()
            if row.value is not None and key not in keys
        ]
        self.era_changed_at = now
        # Listings are written again as after an outage.
        self.regained_at = now
        self._state.metrics.count('store_era_changes', table=self.table)
        self._state.audit.log(
            events.STORE_ERA_CHANGED,
            table=self.table,
            era=feeds.era_of(changes.version),
            previous=feeds.era_of(self.version),
            lost_rows=len(lost),
            evidence_age_s=round(self.evidence_age_s(), 3),
        )

    def _is_newer(self, row: feeds.FeedRow) -> bool:
        known = self._rows.get(row.key)
        return known is None or row.version > known.version
