"""Writes claims again after the table came back from an older copy.

The copy may lack claims of bookings that have run. Each host writes those again
that it sent lately, then confirms the table's era in a row of its own. Until
all hosts have done so, an absent claim doesn't show that nothing ran, and no
host claims a booking.
"""

import typing

import result
import trio

from sardinebend_policy import claims
from sardinebend_router import logs
from sardinebend_router import state as state_lib
from sardinebend_store import documents
from sardinebend_store import errors as platform_errors
from sardinebend_store import store

CONFIRMATION_PREFIX: typing.Final = 'claim-hosts/'
CHECK_INTERVAL_S: typing.Final = 0.5
# What a host knew that doesn't confirm by then is taken as lost.
RECOVERY_LIMIT_S: typing.Final = 60.0


class _Confirmation(typing.TypedDict):
    """Value of the row in which a host confirms an era.

    Attributes:
        incarnation: Incarnation of the host's process.
        era: Era in which it has written its claims again.
    """

    incarnation: str
    era: int


class ClaimRecovery:
    """Recovers this host's claims, and tells when all hosts have."""

    def __init__(
        self, state: state_lib.HostState, table: store.TableStore
    ) -> None:
        self._state = state
        self._table = table
        self._complete_era = 0
        self._confirmed_era = 0
        self._noticed_era = 0
        self._noticed_at = 0.0
        # Incarnations of the other hosts; empty where not known.
        self._required: dict[str, str] = {}
        self._changed = trio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether an absent claim shows that the booking didn't run."""
        return self._table.era <= self._complete_era

    async def wait_until_complete(self, timeout_s: float) -> bool:
        """Waits for `is_complete`; returns it."""
        with trio.move_on_after(timeout_s):
            while not self.is_complete:
                await self._changed.wait()
        return self.is_complete

    async def run(self) -> None:
        """Recovers claims in each new era until cancelled."""
        while True:
            await self.tick()
            await trio.sleep(CHECK_INTERVAL_S)

    async def tick(self) -> None:
        """Recovers the claims of this host, then looks at the others."""
        era = self._table.era
        if era > self._noticed_era:
            self._noticed_era = era
            self._noticed_at = trio.current_time()
            known = self._state.membership.list_incarnations()
            self._required = {**known, **self._required}
        if era > self._confirmed_era:
            await self._recover(era)
        if era > self._complete_era and await self._have_all_confirmed(era):
            self._complete_era = era
            self._required = {}
            self._changed.set()
            self._changed = trio.Event()

    async def _recover(self, era: int) -> None:
        for kept in self._state.claims.list_rows(trio.current_time()):
            if not await self._write_again(kept):
                return
        key = CONFIRMATION_PREFIX + self._state.own.host_id
        read = await self._table.read(key)
        if isinstance(read, result.Err):
            return
        version = read.ok_value.version if read.ok_value else 0
        value: _Confirmation = {
            'incarnation': self._state.incarnation,
            'era': era,
        }
        write = store.Write(key, version, dict(value))
        answer = await self._table.transact([write])
        if isinstance(answer, result.Ok):
            self._confirmed_era = era

    async def _write_again(self, kept: claims.KeptRow) -> bool:
        """Writes a claim unless the table has it; returns whether it does."""
        value = typing.cast(dict[str, typing.Any], kept.row)
        answer = await self._table.transact([store.Write(kept.key, 0, value)])
        if isinstance(answer, result.Ok):
            logs.get().info('claim written again', extra={'key': kept.key})
            return True
        error = answer.err_value
        if not isinstance(error, platform_errors.Conflict):
            return False
        row = error.rows.get(kept.key)
        if row is None:
            return False
        found = _convert(row, claims.ClaimRow)
        if found is None or not claims.is_superseded(found, kept.row):
            return True
        answer = await self._table.transact(
            [store.Write(kept.key, row.version, value)]
        )
        return isinstance(answer, result.Ok)

    async def _have_all_confirmed(self, era: int) -> bool:
        if self._confirmed_era < era:
            return False
        if trio.current_time() - self._noticed_at > RECOVERY_LIMIT_S:
            logs.get().warning('claims of some hosts are lost')
            return True
        rows = await self._table.scan(CONFIRMATION_PREFIX)
        if isinstance(rows, result.Err):
            return False
        confirmed: dict[str, str] = {}
        for row in rows.ok_value:
            value = _convert(row, _Confirmation)
            if value is not None and value['era'] >= era:
                host_id = row.key.removeprefix(CONFIRMATION_PREFIX)
                confirmed[host_id] = value['incarnation']
        return all(
            host_id in confirmed and incarnation in ('', confirmed[host_id])
            for host_id, incarnation in self._required.items()
        )


def _convert(row: store.Row, shape: typing.Any) -> typing.Any:
    """Returns the value of a row; `None` if another program wrote it."""
    try:
        return documents.convert(row.value, shape)
    except platform_errors.MalformedDocument as exc:
        logs.get().warning(
            'row skipped', extra={'key': row.key, 'error': str(exc)}
        )
        return None
