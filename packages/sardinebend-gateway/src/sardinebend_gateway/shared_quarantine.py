"""Shares one quarantine over the fleet, by heartbeats and the store.

Heartbeats report crashes within about a second, also during a store outage. A
verdict, the decision to quarantine a request or a part of prompts, is also a
row of the store, so that it survives a restart of all hosts. Verdicts in force
are sent with heartbeats as well, some at a time, so that a host that restarts
during a store outage hears of those that no row holds yet.
"""

import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import gossip
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import quarantine
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

CHECK_INTERVAL_S: typing.Final = 0.25
# Range of the random delay before a verdict is written. Several hosts reach the
# same verdict from peer reports; once the first has written the row, the others
# don't.
WRITE_DELAY_S: typing.Final = (0.0, 0.5)
# The same for a verdict that another host has reached, which should write it.
REPORTED_WRITE_DELAY_S: typing.Final = (2.0, 6.0)
# Verdicts sent with each heartbeat, each some 50 bytes.
MAX_VERDICTS_SENT: typing.Final = 4


class _VerdictRow(typing.NamedTuple):
    """A row of a verdict: when this host saw it, and its version."""

    since: float
    version: int


class SharedQuarantine:
    """Synchronizes this host's quarantine with those of other hosts.

    Attributes:
        has_news: Set when there is something to send that shouldn't wait for
            the next regular heartbeat; replaced by `take_news`.
    """

    def __init__(
        self,
        state: state_lib.State,
        holds_lease: typing.Callable[[], bool],
    ) -> None:
        self._state = state
        self._holds_lease = holds_lease
        self._gossip: gossip.GossipItems[tuple[str, quarantine.Run]] = (
            gossip.GossipItems()
        )
        self.has_news = trio.Event()
        self._unwritten_verdicts: dict[str, float] = {}
        self._verdict_rows: dict[str, _VerdictRow] = {}

    async def run(self) -> None:
        """Writes verdicts and deletes old ones; runs until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = clocks.now()
            self._gossip.drop_expired(now)
            for fingerprint, due in list(self._unwritten_verdicts.items()):
                if due <= now:
                    await self._write(fingerprint)
            if self._holds_lease():
                await self._delete_old_rows(now)

    def record(self, crash: quarantine.Crash) -> None:
        """Records a crash that this host observed or that a peer reported."""
        if self._state.part_evidence.explains(crash.crash_id):
            return
        now = clocks.now()
        are_new = [
            self._gossip.add((crash.crash_id, run), now) for run in crash.runs
        ]
        if not any(are_new):
            return
        self.announce()
        for fingerprint in self._state.quarantine.record_crash(crash, now):
            self.begin_quarantine(fingerprint, crash.crash_id)

    def begin_quarantine(self, fingerprint: str, source: str) -> None:
        """Carries out a verdict of this host.

        Args:
            fingerprint: Fingerprint of a request or of a part of prompts.
            source: What the verdict is based on, for the log.
        """
        now = clocks.now()
        self._state.quarantine.quarantine_until(
            fingerprint, now + state_lib.QUARANTINE_HOLD_S
        )
        self._unwritten_verdicts[fingerprint] = now + self._state.rng.uniform(
            *WRITE_DELAY_S
        )
        self._report_quarantined(fingerprint, source)
        self.announce()

    def apply_verdict(self, fingerprint: str, left_s: float) -> None:
        """Applies a verdict that a peer reported.

        Args:
            fingerprint: Fingerprint of a request or of a part of prompts.
            left_s: Time until the quarantine ends.
        """
        now = clocks.now()
        left_s = min(left_s, state_lib.QUARANTINE_HOLD_S)
        is_known = self._state.quarantine.refused_until(fingerprint, now)
        if is_known is not None or left_s <= 0:
            return
        self._state.quarantine.quarantine_until(fingerprint, now + left_s)
        self._unwritten_verdicts[fingerprint] = now + self._state.rng.uniform(
            *REPORTED_WRITE_DELAY_S
        )
        self._report_quarantined(fingerprint, 'another host')
        self.announce()

    def verdicts_to_send(self) -> list[tuple[str, float]]:
        """Returns some verdicts in force and the time left of each."""
        now = clocks.now()
        verdicts = self._state.quarantine.list_refused(now)
        chosen = self._state.rng.sample(
            verdicts, min(len(verdicts), MAX_VERDICTS_SENT)
        )
        return [(fingerprint, until - now) for fingerprint, until in chosen]

    def announce(self) -> None:
        """Has the next heartbeat sent at once."""
        self.has_news.set()

    def take_news(self) -> None:
        """Resets `has_news` when a heartbeat is about to be sent."""
        self.has_news = trio.Event()

    def recent(self) -> tuple[quarantine.Crash, ...]:
        """Returns crashes that other hosts may not know yet."""
        by_crash: dict[str, set[quarantine.Run]] = {}
        for crash_id, run in self._gossip.recent(clocks.now()):
            by_crash.setdefault(crash_id, set()).add(run)
        return tuple(
            quarantine.Crash(crash_id, frozenset(runs))
            for crash_id, runs in by_crash.items()
        )

    def apply_row(self, row: feeds.FeedRow) -> None:
        """Applies the row of a verdict."""
        fingerprint = row.key.removeprefix(shared_table.QUARANTINE_PREFIX)
        self._unwritten_verdicts.pop(fingerprint, None)
        now = clocks.now()
        if row.value is None:
            known = self._verdict_rows.pop(fingerprint, None)
            # Otherwise the row was deleted on purpose.
            is_lost = known is not None and (
                feeds.era_of(row.version) > feeds.era_of(known.version)
            )
            if is_lost:
                self._unwritten_verdicts[fingerprint] = (
                    now + self._state.rng.uniform(*REPORTED_WRITE_DELAY_S)
                )
            return
        known = self._verdict_rows.get(fingerprint)
        self._verdict_rows[fingerprint] = _VerdictRow(
            known.since if known else now, row.version
        )
        local_quarantine = self._state.quarantine
        if local_quarantine.refused_until(fingerprint, now) is None:
            local_quarantine.quarantine_until(
                fingerprint, now + state_lib.QUARANTINE_HOLD_S
            )
            self._report_quarantined(fingerprint, 'row of another host')

    def _report_quarantined(self, fingerprint: str, source: str) -> None:
        self._state.notify_quarantined()
        name = quarantine.abbreviate_fingerprint(fingerprint)
        if fingerprint.startswith(quarantine.PART_PREFIX):
            self._state.part_evidence.accept_verdict(fingerprint, clocks.now())
            self._state.metrics.count('prompt_parts_quarantined')
            self._state.audit.log(
                events.PROMPT_PART_QUARANTINED,
                prompt_part=name,
                source=source,
                for_s=state_lib.QUARANTINE_HOLD_S,
            )
            return
        self._state.metrics.count('contents_quarantined')
        self._state.audit.log(
            events.CONTENT_QUARANTINED,
            content=name,
            source=source,
            for_s=state_lib.QUARANTINE_HOLD_S,
        )

    async def _write(self, fingerprint: str) -> None:
        now = clocks.now()
        if self._state.quarantine.refused_until(fingerprint, now) is None:
            self._unwritten_verdicts.pop(fingerprint, None)
            return
        answer = await self._state.edges.store.write(
            shared_table.TABLE,
            shared_table.QUARANTINE_PREFIX + fingerprint,
            0,
            b'{}',
        )
        is_there = isinstance(answer, result.Ok) or isinstance(
            answer.err_value, store_errors.Conflict
        )
        if is_there:
            self._unwritten_verdicts.pop(fingerprint, None)
            return
        # Heartbeats inform the other hosts meanwhile; the next round retries.
        self._state.metrics.count('verdicts_unwritten')

    async def _delete_old_rows(self, now: float) -> None:
        for fingerprint, row in list(self._verdict_rows.items()):
            if now - row.since < state_lib.QUARANTINE_HOLD_S:
                continue
            # Resets the age so that a failed deletion isn't retried at once.
            # A successful one shows as the absence of the row.
            self._verdict_rows[fingerprint] = row._replace(since=now)
            await self._state.edges.store.write(
                shared_table.TABLE,
                shared_table.QUARANTINE_PREFIX + fingerprint,
                None,
                None,
            )
