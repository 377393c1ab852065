"""Keeps in the store which era of it holds the newest configuration.

After the store has come back from an older copy, the operator needs some time
to write the newest configuration again. Hosts that were running know when that
was. If all of them end as well, only the store can tell those that start.
"""

import typing

import msgspec
import result
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import errors
from sardinebend_gateway import shared_table
from sardinebend_gateway import state as state_lib
from sardinebend_gateway import watch
from sardinebend_store import documents
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

CHECK_INTERVAL_S: typing.Final = 0.5
# Range of the random delay before the row is written. Once the first host has
# written it, the others don't.
WRITE_DELAY_S: typing.Final = (0.0, 5.0)
_Era = typing.Annotated[int, msgspec.Meta(ge=0)]


class SettledEra:
    """The latest era of the store that is known to be settled.

    An era is settled once the operator has had `watch.REWRITE_LIMIT_S` to write
    the configuration again.
    """

    def __init__(
        self, state: state_lib.State, catalog: watch.CatalogUpdater
    ) -> None:
        self._state = state
        self._catalog = catalog
        self._started_at = clocks.now()
        self._row_version = 0
        self._stored_era = 0

    def is_settled(self) -> bool:
        """Returns whether the era of the configuration is stored as settled."""
        return self._stored_era >= self._current_era()

    def _current_era(self) -> int:
        return feeds.era_of(self._catalog.follower.version)

    async def run(self) -> None:
        """Writes the row once it is due; runs until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._is_due():
                continue
            await trio.sleep(self._state.rng.uniform(*WRITE_DELAY_S))
            if not self._is_due():
                continue
            outcome = await self._state.edges.store.write(
                shared_table.TABLE,
                shared_table.SETTLED_ERA_KEY,
                self._row_version,
                msgspec.json.encode(self._current_era()),
            )
            if isinstance(outcome, result.Err):
                # Tried again unless the row shows by then.
                self._state.metrics.count('settled_era_unwritten')

    def _is_due(self) -> bool:
        if self.is_settled() or self._catalog.is_starting:
            return False
        since = max(self._started_at, self._catalog.follower.era_changed_at)
        return clocks.now() - since >= watch.REWRITE_LIMIT_S

    def apply_row(self, row: feeds.FeedRow) -> None:
        """Applies the row.

        Raises:
            errors.Malformed: It isn't a valid row.
        """
        self._row_version, self._stored_era = 0, 0
        if row.value is None:
            return
        # A row that can't be read can still be replaced.
        self._row_version = row.version
        try:
            era: int = documents.decode(row.value, _Era)
        except store_errors.MalformedDocument as exc:
            raise errors.Malformed(str(exc)) from exc
        self._stored_era = era
