"""Keeps evidence against parts of prompts in the store.

Heartbeats share it among running hosts. If all hosts restart before a verdict,
the rows spare the engines that would have to crash again to reach it.
"""

import typing

import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import events
from sardinebend_gateway import shared_part_evidence
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine
from sardinebend_store import feeds

CHECK_INTERVAL_S: typing.Final = 0.25
# Range of the random delay before a row is written. All hosts have the same
# evidence; once the first has written it, the others don't.
WRITE_DELAY_S: typing.Final = (0.2, 1.5)
# The same before a row is deleted: the verdict that replaces the evidence is
# written first.
DELETE_DELAY_S: typing.Final = (2.0, 6.0)


class _Row(typing.NamedTuple):
    version: int
    crashes: shared_table.RequestsByCrash


class StoredPartEvidence:
    """Synchronizes this host's evidence about parts with the store."""

    def __init__(
        self,
        state: state_lib.State,
        shared_evidence: shared_part_evidence.SharedPartEvidence,
    ) -> None:
        self._state = state
        self._shared_evidence = shared_evidence
        self._rows: dict[str, _Row] = {}
        self._due: dict[str, float] = {}

    async def run(self) -> None:
        """Writes and deletes rows when it is due; runs until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            wanted = self._state.part_evidence.list_to_store()
            for part in sorted(wanted.keys() | self._rows.keys()):
                await self._synchronize(part, wanted.get(part))

    async def _synchronize(
        self, part: str, crashes: shared_table.RequestsByCrash | None
    ) -> None:
        """Writes or deletes the row of a part if it is outdated and due."""
        row = self._rows.get(part)
        stored = row.crashes.keys() if row else set()
        if crashes is not None and crashes.keys() <= stored:
            self._due.pop(part, None)
            return
        now = clocks.now()
        delay_s = DELETE_DELAY_S if crashes is None else WRITE_DELAY_S
        due = self._due.setdefault(
            part, now + self._state.rng.uniform(*delay_s)
        )
        if due > now:
            return
        del self._due[part]
        outcome = await self._state.edges.store.write(
            shared_table.TABLE,
            shared_table.EVIDENCE_PREFIX + part,
            row.version if row else 0,
            None if crashes is None else shared_table.encode_evidence(crashes),
        )
        if isinstance(outcome, result.Err):
            # Tried again after another delay unless the row shows by then.
            self._state.metrics.count('part_evidence_unwritten')

    def apply_row(self, row: feeds.FeedRow) -> None:
        """Applies the row of a part.

        Raises:
            errors.Malformed: It isn't a valid row of a part.
        """
        part = row.key.removeprefix(shared_table.EVIDENCE_PREFIX)
        known = self._rows.pop(part, None)
        self._due.pop(part, None)
        if row.value is None:
            # A row that an older copy of the store lacks is written again.
            if known and feeds.era_of(row.version) == feeds.era_of(
                known.version
            ):
                self._state.part_evidence.forget(part, known.crashes.keys())
            return
        # A row that can't be read can still be replaced or deleted.
        self._rows[part] = _Row(row.version, {})
        crashes = shared_table.decode_evidence(row.value)
        self._rows[part] = _Row(row.version, crashes)
        restored = [
            crash_id
            for crash_id, request in crashes.items()
            if self._shared_evidence.restore(
                part_evidence.PartCrash(part, crash_id, request)
            )
        ]
        if restored:
            self._state.audit.log(
                events.PROMPT_PART_RESTORED,
                prompt_part=quarantine.abbreviate_fingerprint(part),
                crashes=len(restored),
            )
