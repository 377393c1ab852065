"""One quarantine over the fleet: crashes by life signs, verdicts in the store.

Life signs tell of crashes within a second or so, also while the store is away;
a verdict is a row, so that it outlives every host.
"""

import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import news
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import quarantine
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

ROUND_S: typing.Final = 0.25
# Hosts that reach a verdict by each other's word leave its row to the first.
WRITE_DELAY_S: typing.Final = (0.0, 0.5)


class SharedQuarantine:
    """Keeps this host's quarantine in step with those of the others."""

    def __init__(
        self,
        state: state_lib.State,
        holds_lease: typing.Callable[[], bool],
    ) -> None:
        self._state = state
        self._holds_lease = holds_lease
        self._news: news.News[tuple[str, quarantine.Run]] = news.News()
        self._unwritten: dict[str, float] = {}
        self._rows: dict[str, float] = {}

    async def run(self) -> None:
        """Writes verdicts and drops old ones; runs until cancelled."""
        while True:
            await trio.sleep(ROUND_S)
            now = clocks.now()
            self._news.forget_old(now)
            for fingerprint, due in list(self._unwritten.items()):
                if due <= now:
                    await self._write(fingerprint)
            if self._holds_lease():
                await self._drop_old(now)

    def record(self, crash: quarantine.Crash) -> None:
        """Takes in a crash that this host has seen or heard of."""
        now = clocks.now()
        fresh = [
            self._news.add((crash.crash_id, run), now) for run in crash.runs
        ]
        if not any(fresh):
            return
        held = self._state.quarantine
        for fingerprint in held.record_crash(crash, now):
            self._unwritten[fingerprint] = now + self._state.rng.uniform(
                *WRITE_DELAY_S
            )
            self._log(fingerprint, crash.crash_id)

    def recent(self) -> tuple[quarantine.Crash, ...]:
        """Returns crashes that other hosts may not have heard of."""
        by_crash: dict[str, set[quarantine.Run]] = {}
        for crash_id, run in self._news.recent(clocks.now()):
            by_crash.setdefault(crash_id, set()).add(run)
        return tuple(
            quarantine.Crash(crash_id, frozenset(runs))
            for crash_id, runs in by_crash.items()
        )

    def take(self, row: feeds.FeedRow) -> None:
        """Takes in the row of a verdict."""
        fingerprint = row.key.removeprefix(shared_table.VERDICT_PREFIX)
        self._unwritten.pop(fingerprint, None)
        if row.value is None:
            self._rows.pop(fingerprint, None)
            return
        now = clocks.now()
        self._rows.setdefault(fingerprint, now)
        held = self._state.quarantine
        if held.refused_until(fingerprint, now) is None:
            held.convict(fingerprint, now + state_lib.QUARANTINE_HOLD_S)
            self._log(fingerprint, 'row of another host')

    def _log(self, fingerprint: str, source: str) -> None:
        self._state.metrics.count('contents_quarantined')
        self._state.audit.log(
            events.CONTENT_QUARANTINED,
            content=quarantine.shorten(fingerprint),
            source=source,
            for_s=state_lib.QUARANTINE_HOLD_S,
        )

    async def _write(self, fingerprint: str) -> None:
        answer = await self._state.edges.store.write(
            shared_table.TABLE,
            shared_table.VERDICT_PREFIX + fingerprint,
            0,
            b'{}',
        )
        is_there = isinstance(answer, result.Ok) or isinstance(
            answer.err_value, store_errors.Conflict
        )
        if is_there:
            self._unwritten.pop(fingerprint, None)
            return
        # The other hosts know by life signs meanwhile; tried again next round.
        self._state.metrics.count('verdicts_unwritten')

    async def _drop_old(self, now: float) -> None:
        for fingerprint, since in list(self._rows.items()):
            if now - since < state_lib.QUARANTINE_HOLD_S:
                continue
            # An answer of any kind is followed by the row's own absence.
            self._rows[fingerprint] = now
            await self._state.edges.store.write(
                shared_table.TABLE,
                shared_table.VERDICT_PREFIX + fingerprint,
                None,
                None,
            )
