"""Writes claims again after the table came back from an older copy.

The copy may lack claims of bookings that have run. Each host writes those again
that it sent lately, then confirms the table's era in a row of its own. Until
all hosts that ran lately have done so, an absent claim doesn't show that
nothing ran, and no host claims a booking.
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
# How long a booking waits for hosts that have just learnt of an era.
CONFIRMATION_WAIT_S: typing.Final = 3.0
# Restarts of a host in one era that others may still wait for.
MAX_EARLIER: typing.Final = 8
# What a process knew that doesn't confirm by then is taken as lost. The time
# counts from the return, or from when it was last listed before.
RECOVERY_LIMIT_S: typing.Final = 60.0


class _Confirmation(typing.TypedDict, total=False):
    """Value of the row in which a host confirms an era.

    Attributes:
        incarnation: Incarnation of the host's process.
        era: Era in which it has written its claims again.
        earlier: Incarnations of the host that have confirmed this era before.
        awaits_others: Whether it waits for processes that haven't confirmed. A
            host that has just started may not know of them itself.
    """

    incarnation: typing.Required[str]
    era: typing.Required[int]
    earlier: list[str]
    awaits_others: bool


class _Process(typing.NamedTuple):
    """The process of another host.

    Attributes:
        host_id: The host.
        incarnation: Incarnation of the process; empty if not known.
    """

    host_id: str
    incarnation: str


class _Confirmations(typing.NamedTuple):
    """What the rows of all hosts say about an era.

    Attributes:
        processes: The processes that have confirmed it.
        others_await: Whether another host waits for further ones.
    """

    processes: frozenset[_Process]
    others_await: bool


class ClaimRecovery:
    """Recovers this host's claims, and tells when all hosts have."""

    def __init__(
        self, state: state_lib.HostState, table: store.TableStore
    ) -> None:
        self._state = state
        self._table = table
        self._complete_era = 0
        self._confirmed_era = 0
        # The last era in which this host has stated that it awaits no others.
        self._settled_era = 0
        self._started_at = trio.current_time()
        self._noticed_era = 0
        self._noticed_at = 0.0
        # When each process was last listed, of those that were lately.
        self._listed_at: dict[_Process, float] = {}
        # Until when each process that may have sent bookings is waited for.
        self._awaited: dict[_Process, float] = {}
        self._changed = trio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether an absent claim shows that the booking didn't run."""
        return self._table.era <= self._complete_era

    async def wait_until_complete(self) -> bool:
        """Waits for `is_complete` if it is likely soon; returns it.

        A host that hasn't confirmed within `CONFIRMATION_WAIT_S` may do so much
        later, or never, as one of a release that knows nothing of eras.
        """
        noticed_at = trio.current_time()
        if self._table.era == self._noticed_era:
            noticed_at = self._noticed_at
        with trio.move_on_at(noticed_at + CONFIRMATION_WAIT_S):
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
        self._record_listed()
        era = self._table.era
        if era > self._noticed_era:
            self._noticed_era = era
            self._noticed_at = trio.current_time()
            for process, listed_at in self._listed_at.items():
                self._awaited[process] = listed_at + RECOVERY_LIMIT_S
        if era > self._confirmed_era:
            await self._recover(era)
        if era > self._complete_era and await self._have_all_confirmed(era):
            self._complete_era = era
            self._awaited = {}
            self._changed.set()
            self._changed = trio.Event()

    def _record_listed(self) -> None:
        """Records the processes that are listed; forgets old ones."""
        now = trio.current_time()
        for item in self._state.membership.list_incarnations().items():
            self._listed_at[_Process(*item)] = now
        self._listed_at = {
            process: listed_at
            for process, listed_at in self._listed_at.items()
            if now - listed_at <= RECOVERY_LIMIT_S
        }

    async def _recover(self, era: int) -> None:
        for kept in self._state.claims.list_rows(trio.current_time()):
            if not await self._write_again(kept):
                return
        if await self._confirm(era, awaits_others=True):
            self._confirmed_era = era

    async def _confirm(self, era: int, awaits_others: bool) -> bool:
        """Writes this host's row; returns whether it was written."""
        key = CONFIRMATION_PREFIX + self._state.own.host_id
        read = await self._table.read(key)
        if isinstance(read, result.Err):
            return False
        row = read.ok_value
        value: _Confirmation = {
            'incarnation': self._state.incarnation,
            'era': era,
            'earlier': self._list_earlier(row, era),
            'awaits_others': awaits_others,
        }
        write = store.Write(key, row.version if row else 0, dict(value))
        answer = await self._table.transact([write])
        return isinstance(answer, result.Ok)

    def _list_earlier(self, row: store.Row | None, era: int) -> list[str]:
        """Returns the host's incarnations that its row says have confirmed."""
        found = None if row is None else _convert(row, _Confirmation)
        if found is None or found['era'] != era:
            return []
        earlier = [*found.get('earlier', []), found['incarnation']]
        return [item for item in earlier if item != self._state.incarnation][
            -MAX_EARLIER:
        ]

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
        found = await self._read_confirmations(era)
        if found is None:
            return False
        now = trio.current_time()
        missing = self._awaited.keys() - found.processes
        if any(self._awaited[process] >= now for process in missing):
            return False
        if self._settled_era < era:
            if not await self._confirm(era, awaits_others=False):
                return False
            self._settled_era = era
        knows_all = self._noticed_at - self._started_at >= RECOVERY_LIMIT_S
        is_over = now - self._noticed_at > RECOVERY_LIMIT_S
        if found.others_await and not (knows_all or is_over):
            return False
        if missing:
            hosts = sorted({process.host_id for process in missing})
            logs.get().warning(
                'claims of some hosts are lost', extra={'hosts': hosts}
            )
        return True

    async def _read_confirmations(self, era: int) -> _Confirmations | None:
        """Returns what all rows say; `None` if they can't be read."""
        rows = await self._table.scan(CONFIRMATION_PREFIX)
        if isinstance(rows, result.Err):
            return None
        processes: set[_Process] = set()
        others_await = False
        for row in rows.ok_value:
            value = _convert(row, _Confirmation)
            if value is None or value['era'] < era:
                continue
            host_id = row.key.removeprefix(CONFIRMATION_PREFIX)
            if host_id != self._state.own.host_id:
                others_await |= value.get('awaits_others', False)
            # Any process of a host whose incarnation isn't known counts.
            known = ['', value['incarnation'], *value.get('earlier', [])]
            processes.update(_Process(host_id, item) for item in known)
        return _Confirmations(frozenset(processes), others_await)


def _convert(row: store.Row, shape: typing.Any) -> typing.Any:
    """Returns the value of a row; `None` if another program wrote it."""
    try:
        return documents.convert(row.value, shape)
    except platform_errors.MalformedDocument as exc:
        logs.get().warning(
            'row skipped', extra={'key': row.key, 'error': str(exc)}
        )
        return None
