"""Relays the contents of the platform's store between hosts.

In a large fleet a few hosts, the readers, read the store for the others. A host
that can't reach the store asks a peer instead. Relayed evidence keeps the age
that it has at the peer.
"""

import math
import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import follower as follower_lib
from sardinebend_gateway import members as members_lib
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import state as state_lib
from sardinebend_gateway import watch
from sardinebend_peers import compression
from sardinebend_peers import errors as peer_errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

CALL_TIMEOUT_S: typing.Final = 0.5
# Empty: hosts are identified by address only, not authenticated. A shared
# secret would have to come from the platform, whose settings hold none.
SECRET: typing.Final = b''
MAX_WAIT_S: typing.Final = 5.0
# Time allowed for a reader's answer in addition to the requested wait. It is
# short because the store isn't queried meanwhile.
FOLLOW_SLACK_S: typing.Final = 0.3
# Time for which the reader isn't asked after a failed call: enough for missing
# heartbeats of the reader to be noticed.
READER_COOLDOWN_S: typing.Final = 3.0
# Time after its start in which a host discovers the others.
STARTUP_S: typing.Final = 3.0
# Smaller answers aren't logged.
MIN_LOGGED_BYTES: typing.Final = 4096
# Smaller values fit a few packets as they are. Few rows are larger: that of the
# configuration, above all.
MIN_COMPRESSED_BYTES: typing.Final = 4096
# Peers that a host which starts asks at a time, and how long it waits for the
# others after the first of them has stated a version.
ASKED_PEERS: typing.Final = 3
OTHERS_S: typing.Final = 0.1


class RelayServer:
    """Answers peers from the tables that this host follows."""

    def __init__(
        self,
        state: state_lib.State,
        followers: typing.Mapping[str, follower_lib.Follower],
        catalog: watch.CatalogUpdater,
    ) -> None:
        self._state = state
        self._followers = followers
        # Version and compressed value of large rows, by table and key.
        self._compressed: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._catalog = catalog
        self._server = links.PeerServer(
            self.answer, SECRET, fail_after=state.host_clock.fail_after
        )
        state.count_unsent_bytes = self._server.count_unsent_bytes

    async def run(self, address: settings_lib.Address) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.ip)
        await self._server.serve(listeners[0])

    async def answer(self, message: messages.Message) -> messages.Message:
        """Returns the reply to a message of a peer."""
        if not isinstance(message, messages.FeedQuestion):
            return messages.Ack()
        follower = self._followers.get(message.table)
        if follower is None or not follower.has_rows:
            return messages.FeedReply(-1, 0, False, ())
        asked_at = clocks.now()
        wait_s = min(MAX_WAIT_S, max(0.0, message.wait_ms / 1000))
        after = _version_asked_for(message, follower.version)
        with trio.move_on_after(wait_s):
            await follower.wait_for_newer(after)
        era = feeds.era_of(follower.version)
        is_whole = after < 0 or feeds.era_of(after) != era
        rows = tuple(
            self._make_row(message.table, row, message.may_compress)
            for row in follower.rows_since(-1 if is_whole else after)
        )
        self._record_rows(message.table, follower.version, rows)
        since_outage_s = follower.since_outage_s()
        return messages.FeedReply(
            feeds.counter_of(follower.version),
            # Rounded up: evidence must never seem fresher than it is.
            math.ceil(follower.evidence_age_s() * 1000),
            is_whole,
            rows,
            int((clocks.now() - asked_at) * 1000),
            -1 if since_outage_s is None else int(since_outage_s * 1000),
            era,
            self._catalog.version_to_state()
            if follower is self._catalog.follower
            else None,
        )

    def _make_row(
        self, table: str, row: feeds.FeedRow, may_compress: bool
    ) -> messages.FeedRow:
        """Returns a row as it is sent; a large value is compressed once."""
        version = feeds.counter_of(row.version)
        value = row.value or b''
        if not may_compress or len(value) < MIN_COMPRESSED_BYTES:
            return messages.FeedRow(row.key, version, row.value)
        cached_version, data = self._compressed.get((table, row.key), (-1, b''))
        if cached_version != row.version:
            data = compression.compress(value)
            self._compressed[table, row.key] = (row.version, data)
        return messages.FeedRow(row.key, version, data, is_compressed=True)

    def _record_rows(
        self, table: str, version: int, rows: typing.Sequence[messages.FeedRow]
    ) -> None:
        """Counts the rows of an answer, and logs those of a large one."""
        size = sum(len(row.value or b'') for row in rows)
        self._state.metrics.count('relayed_bytes', size, table=table)
        if size >= MIN_LOGGED_BYTES:
            self._state.audit.log(
                events.TABLE_RELAYED,
                table=table,
                version=version,
                rows=len(rows),
                bytes=size,
            )


class RelayClient(follower_lib.PeerTables):
    """Reads tables of the store from peers."""

    def __init__(
        self,
        state: state_lib.State,
        members: members_lib.Members,
        seeds: typing.Sequence[settings_lib.Address],
        nursery: trio.Nursery,
        is_seed: bool = False,
    ) -> None:
        self._state = state
        self._members = members
        self._seeds = [str(seed) for seed in seeds]
        self._is_seed = is_seed
        self._nursery = nursery
        self._links: dict[str, links.PeerLink] = {}
        self._reader_cooldown_until = state_lib.NEVER
        self._started_at = clocks.now()

    @property
    def serves_others(self) -> bool:
        """Whether other hosts read the store through this one.

        The role names this `is_shared`.
        """
        return self._state.role.is_shared

    @property
    def has_seeds(self) -> bool:
        """Whether seed hosts can be asked before any peer is known."""
        return bool(self._seeds) and not self._is_seed

    async def query_any(
        self, table: str, after: int
    ) -> follower_lib.RelayAnswer:
        """Returns what one live peer knows of a table.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
        """
        peer_rows = self._members.live_peers().values()
        # Until the first rows arrive, only the seeds are known.
        addresses = [row['relay'] for row in peer_rows] or self._seeds
        if not addresses:
            return result.Err(store_errors.Unavailable('no peer is known'))
        address = self._state.rng.choice(addresses)
        question = _make_question(table, after, 0.0)
        return await self._call(address, question, CALL_TIMEOUT_S)

    async def query_reader(
        self, table: str, after: int, wait_s: float
    ) -> follower_lib.RelayAnswer:
        """Returns what this host's reader knows of a table.

        Args:
            table: Name of the table.
            after: Version after which changes are wanted.
            wait_s: How long the reader may wait for a change.
        """
        address = self._reader_address()
        if address is None or clocks.now() < self._reader_cooldown_until:
            return result.Err(
                store_errors.Unavailable('no reader is available')
            )
        question = _make_question(table, after, wait_s)
        asked_at = trio.current_time()
        answer = await self._call(address, question, wait_s + FOLLOW_SLACK_S)
        # Otherwise the delay of this host may be the cause.
        was_on_time = self._state.host_clock.was_on_time_since(asked_at)
        if isinstance(answer, result.Err) and was_on_time:
            self._reader_cooldown_until = clocks.now() + READER_COOLDOWN_S
            self._state.metrics.count('readers_unanswered')
        return answer

    async def ask_catalog_version(
        self, follower: follower_lib.Follower, asked: set[str]
    ) -> int | None:
        """Returns the newest configuration's version that some peers state.

        It is `None` if none of them states one.

        Args:
            follower: Follower of the table of the configuration. Only rows that
                are newer than its own are sent.
            asked: Addresses of the peers that were asked before, to which those
                that are asked now are added. Others are asked first.
        """
        peer_rows = self._members.live_peers().values()
        known = {*(row['relay'] for row in peer_rows), *self._seeds}
        if known <= asked:
            asked.clear()
        addresses = sorted(known - asked)
        if len(addresses) > ASKED_PEERS:
            addresses = self._state.rng.sample(addresses, ASKED_PEERS)
        asked.update(addresses)
        question = _make_question(follower.table, follower.version, 0.0)
        stated: list[int] = []

        first_stated = trio.Event()

        async def ask(address: str) -> None:
            try:
                reply = await self._link(address).call(question, CALL_TIMEOUT_S)
            except peer_errors.PeerUnreachable:
                return
            version = getattr(reply, 'catalog_version', None)
            if version is not None:
                stated.append(version)
                first_stated.set()

        async def ask_all(scope: trio.CancelScope) -> None:
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    nursery.start_soon(ask, address)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_all, nursery.cancel_scope)
            await first_stated.wait()
            began_at = trio.current_time()
            await trio.sleep(OTHERS_S)
            if not self._state.host_clock.was_on_time_since(began_at):
                # Answers that came during a delay haven't been read yet.
                await trio.sleep(OTHERS_S)
            nursery.cancel_scope.cancel()
        return max(stated, default=None)

    def _reader_address(self) -> str | None:
        """Returns the relay address of this host's reader, if any."""
        role = self._state.role
        if role.reader is not None:
            row = self._members.peers().get(role.reader)
            return row['relay'] if row else None
        is_starting = clocks.now() - self._started_at < STARTUP_S
        if is_starting and self.has_seeds and not role.is_shared:
            # The reader isn't known yet, so a seed is asked.
            return self._state.rng.choice(self._seeds)
        return None

    async def _call(
        self, address: str, question: messages.FeedQuestion, timeout_s: float
    ) -> follower_lib.RelayAnswer:
        asked_at = clocks.now()
        try:
            reply = await self._link(address).call(question, timeout_s)
        except peer_errors.PeerUnreachable as exc:
            return result.Err(store_errors.Unavailable(str(exc)))
        if not isinstance(reply, messages.FeedReply) or reply.version < 0:
            return result.Err(
                store_errors.Unavailable(
                    f'{address} holds no rows of the table'
                )
            )
        if reply.era is None and question.era:
            # Versions of a peer of the previous release may be of any era.
            return result.Err(
                store_errors.Unavailable(f'{address} names no era')
            )
        era = reply.era or 0
        # The peer received the question no earlier than it was sent, and the
        # reported age applies at the end of the peer's wait. The computed time
        # of the evidence may thus be too early, but never too late.
        answered_at = asked_at + reply.waited_ms / 1000
        since_outage_s = None
        if reply.regained_ms >= 0:
            since_outage_s = reply.regained_ms / 1000
        return result.Ok(
            follower_lib.Relayed(
                feeds.Changes(
                    tuple(
                        feeds.FeedRow(
                            row.key,
                            feeds.make_version(era, row.version),
                            row.value,
                        )
                        for row in reply.rows
                    ),
                    feeds.make_version(era, reply.version),
                ),
                answered_at - reply.age_ms / 1000,
                reply.is_whole,
                since_outage_s,
            )
        )

    def _link(self, address: str) -> links.PeerLink:
        if address not in self._links:
            self._links[address] = links.PeerLink(
                address,
                SECRET,
                self._nursery,
                # An answer that came while this host was held up still counts.
                fail_after=self._state.host_clock.fail_after,
            )
        return self._links[address]


def _make_question(
    table: str, after: int, wait_s: float
) -> messages.FeedQuestion:
    return messages.FeedQuestion(
        table,
        feeds.counter_of(after),
        int(wait_s * 1000),
        feeds.era_of(after),
        may_compress=True,
    )


def _version_asked_for(question: messages.FeedQuestion, version: int) -> int:
    """Returns the version after which a peer asks for changes.

    A host of the previous release doesn't know of eras; the one of this host's
    version is assumed.
    """
    if question.after < 0:
        return question.after
    era = feeds.era_of(version) if question.era is None else question.era
    return feeds.make_version(era, question.after)
