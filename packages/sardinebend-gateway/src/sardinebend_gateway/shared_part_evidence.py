"""Shares what speaks for and against parts of prompts over the fleet.

Heartbeats carry it, with or without the store. Evidence that is older than a
few seconds is still sent now and then, so that a host that has restarted hears
of it.
"""

import collections
import typing

import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import gossip
from sardinebend_gateway import shared_quarantine
from sardinebend_gateway import state as state_lib
from sardinebend_peers import messages
from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine

CHECK_INTERVAL_S: typing.Final = 0.1
CLEANUP_INTERVAL_S: typing.Final = 10.0
# Parts of one crash that a host reports: those under suspicion already, then
# the most frequent ones among the requests that the endpoint was running.
MAX_PARTS_PER_CRASH: typing.Final = 8
# Crashes in a heartbeat: the newest, and some of the others. Each takes some 60
# bytes.
MAX_RECENT_SENT: typing.Final = 8
MAX_OLDER_SENT: typing.Final = 2


class SharedPartEvidence:
    """Synchronizes this host's evidence about parts with other hosts."""

    def __init__(
        self,
        state: state_lib.State,
        verdicts: shared_quarantine.SharedQuarantine,
    ) -> None:
        self._state = state
        self._verdicts = verdicts
        self._evidence = state.part_evidence
        self._objections: gossip.GossipItems[part_evidence.PartServed] = (
            gossip.GossipItems()
        )

    async def run(self) -> None:
        """Quarantines parts when it is due; runs until cancelled."""
        cleanup_at = clocks.now() + CLEANUP_INTERVAL_S
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = clocks.now()
            for part in self._evidence.select(now):
                self._verdicts.begin_quarantine(part, 'crashes under it')
            if now >= cleanup_at:
                cleanup_at = now + CLEANUP_INTERVAL_S
                self._evidence.drop_expired(now)
                self._objections.drop_expired(now)

    def record_crash(self, crash: quarantine.Crash) -> None:
        """Records a crash that this host observed."""
        uses = collections.Counter(use.part for use in crash.part_uses)
        requests = {use.part: use.fingerprint for use in crash.part_uses}
        suspected = {part.part for part, _ in self._evidence.items()}
        parts = sorted(uses, key=lambda p: (p not in suspected, -uses[p], p))
        for part in parts[:MAX_PARTS_PER_CRASH]:
            request = quarantine.abbreviate_fingerprint(requests[part])
            self._record(part_evidence.PartCrash(part, crash.crash_id, request))

    def record_served(self, parts: typing.Iterable[str]) -> None:
        """Records parts of a request that this host has served."""
        now = clocks.now()
        for part in parts:
            cleared = self._evidence.record_served(part, now)
            if not cleared:
                continue
            self._state.audit.log(
                events.PROMPT_PART_CLEARED,
                prompt_part=quarantine.abbreviate_fingerprint(part),
                crashes=len(cleared),
            )
            for served in cleared:
                self._object(served)

    def apply_reports(self, heartbeat: messages.LoadHeartbeat) -> None:
        """Applies what another host's heartbeat reports."""
        now = clocks.now()
        for served in heartbeat.parts_served:
            if self._evidence.record_objection(served, now):
                self._object(served)
        for report in heartbeat.part_crashes:
            age_s = max(0, report.age_ms) / 1000
            if age_s < part_evidence.EVIDENCE_TTL_S:
                self._record(report.crash, age_s)

    def crashes_to_send(self) -> tuple[messages.PartCrashReport, ...]:
        """Returns crashes to report with the next heartbeat."""
        now = clocks.now()
        items = sorted(self._evidence.items(), key=lambda item: item[1])
        recent_from = now - gossip.SEND_FOR_S
        recent = [item for item in items if item[1] > recent_from]
        sent = recent[-MAX_RECENT_SENT:]
        older = [item for item in items if item not in sent]
        sent += self._state.rng.sample(older, min(len(older), MAX_OLDER_SENT))
        return tuple(
            messages.PartCrashReport(crash, max(0, int((now - at) * 1000)))
            for crash, at in sent
        )

    def objections_to_send(self) -> tuple[part_evidence.PartServed, ...]:
        """Returns objections to report with the next heartbeat."""
        return tuple(self._objections.recent(clocks.now()))

    def restore(self, crash: part_evidence.PartCrash) -> bool:
        """Records a crash that the store holds; returns whether it is new."""
        is_new, objection = self._evidence.restore_crash(crash, clocks.now())
        self._announce(is_new, objection)
        return is_new

    def _record(
        self, crash: part_evidence.PartCrash, age_s: float = 0.0
    ) -> None:
        now = clocks.now()
        self._announce(*self._evidence.record_crash(crash, now, age_s))

    def _announce(
        self, is_new: bool, objection: part_evidence.PartServed | None
    ) -> None:
        if objection is not None:
            self._object(objection)
        if is_new:
            self._verdicts.announce()

    def _object(self, served: part_evidence.PartServed) -> None:
        if self._objections.add(served, clocks.now()):
            self._verdicts.announce()
