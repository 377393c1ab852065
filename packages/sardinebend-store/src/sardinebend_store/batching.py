"""Puts transactions that wait for the table together into one.

While a write is in flight, further ones gather; they leave together when it
returns. One lone write is never delayed. Transactions that touch a common row
are kept apart.
"""

import typing

import result
import trio

from sardinebend_store import errors
from sardinebend_store import store

MAX_BATCH: typing.Final = 64


class _Waiting:
    """A transaction that waits for its answer."""

    def __init__(self, writes: typing.Sequence[store.Write]) -> None:
        self.writes = writes
        self.keys = {write.key for write in writes}
        self.done = trio.Event()
        self.answer: result.Result[store.Committed, store.TableError] = (
            result.Err(errors.Unavailable('not sent'))
        )


class BatchingTable(store.TableStore):
    """A table store that groups the writes of one process.

    Attributes:
        calls: Number of transactions sent so far.
    """

    def __init__(self, table: store.TableStore, in_flight: int = 2) -> None:
        self._table = table
        self._slots = in_flight
        self._queue: list[_Waiting] = []
        self.calls = 0

    async def read(
        self, key: str
    ) -> result.Result[store.Row | None, store.ReadError]:
        """Returns one row, or `None` where it is absent."""
        return await self._table.read(key)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[store.Row], store.ReadError]:
        """Returns rows in key order whose keys start with a prefix."""
        return await self._table.scan(prefix, after, limit)

    async def transact(
        self, writes: typing.Sequence[store.Write]
    ) -> result.Result[store.Committed, store.TableError]:
        """Applies all writes, or none of them; others may travel along."""
        waiting = _Waiting(writes)
        self._queue.append(waiting)
        try:
            # Whoever finds a free slot sends for all that wait. A sender that
            # is cancelled takes its group's answers with it, so the exchange
            # is shielded; it is bounded by the client's time-out.
            while not waiting.done.is_set() and self._slots:
                with trio.CancelScope(shield=True):
                    await self._send_group()
            await waiting.done.wait()
        finally:
            if waiting in self._queue:
                self._queue.remove(waiting)
        return waiting.answer

    async def _send_group(self) -> None:
        group = self._take_group()
        if not group:
            return
        self._slots -= 1
        try:
            while group:
                group = await self._send_once(group)
        finally:
            self._slots += 1
            for waiting in group:
                waiting.done.set()
            self._wake_next()

    def _wake_next(self) -> None:
        if self._queue:
            trio.lowlevel.spawn_system_task(self._send_group)

    def _take_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        keys: set[str] = set()
        rest = []
        for waiting in self._queue:
            if len(group) < MAX_BATCH and not keys & waiting.keys:
                group.append(waiting)
                keys |= waiting.keys
            else:
                rest.append(waiting)
        self._queue = rest
        return group

    async def _send_once(self, group: list[_Waiting]) -> list[_Waiting]:
        """Sends a group and returns those of it that must be sent again."""
        writes = [write for waiting in group for write in waiting.writes]
        self.calls += 1
        answer = await self._table.transact(writes)
        refused: list[_Waiting] = []
        if isinstance(answer, result.Err) and isinstance(
            answer.err_value, errors.Conflict
        ):
            against = answer.err_value.rows
            refused = [item for item in group if item.keys & set(against)]
            for waiting in refused:
                rows = {k: against[k] for k in waiting.keys if k in against}
                self._answer(waiting, result.Err(errors.Conflict(rows)))
            return [item for item in group if item not in refused]
        for waiting in group:
            self._answer(waiting, answer)
        return []

    def _answer(
        self,
        waiting: _Waiting,
        answer: result.Result[store.Committed, store.TableError],
    ) -> None:
        if isinstance(answer, result.Ok):
            versions = answer.ok_value.versions
            own = {k: versions[k] for k in waiting.keys if k in versions}
            answer = result.Ok(store.Committed(own))
        waiting.answer = answer
        waiting.done.set()
