"""Groups pending transactions of a table into one call.

While calls are in flight, further transactions are queued; they are sent as
one group when a call returns. A single write is never delayed. Transactions
that write a common row aren't put into the same group.
"""

import logging
import typing

import result
import trio

from sardinebend_store import errors
from sardinebend_store import store

_LOGGER = logging.getLogger(__name__)
MAX_BATCH: typing.Final = 64


class _PendingTransaction:
    """A transaction that is waiting for its result."""

    def __init__(self, writes: typing.Sequence[store.Write]) -> None:
        self.writes = writes
        self.keys = {write.key for write in writes}
        self.done = trio.Event()
        self.outcome: result.Result[store.Committed, store.TableError] = (
            result.Err(errors.Unavailable('the call ended without a result'))
        )


class BatchingTable(store.TableStore):
    """A table store that groups the writes of one process.

    Attributes:
        calls: Number of calls made to the underlying table.
    """

    def __init__(self, table: store.TableStore, in_flight: int = 2) -> None:
        self._table = table
        self._free_slots = in_flight
        self._queue: list[_PendingTransaction] = []
        self.calls = 0

    @property
    def era(self) -> int:
        """The highest era that the underlying table has named, or 0."""
        return self._table.era

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
        """Applies all writes, or none; may send other transactions along."""
        transaction = _PendingTransaction(writes)
        self._queue.append(transaction)
        try:
            # A task that finds a free slot sends the whole group. Cancelling
            # it would lose the results of the group's other transactions, so
            # the exchange is shielded; the client's time-out bounds it.
            while not transaction.done.is_set() and self._free_slots:
                with trio.CancelScope(shield=True):
                    await self._send_group()
            await transaction.done.wait()
        finally:
            if transaction in self._queue:
                self._queue.remove(transaction)
        return transaction.outcome

    async def _send_group(self) -> None:
        group = self._take_group()
        if not group:
            return
        self._free_slots -= 1
        try:
            while group:
                group = await self._send_once(group)
        except Exception:
            # Must not end the process; the group's outcomes are `Unclear`.
            _LOGGER.exception('a group of transactions failed')
        finally:
            self._free_slots += 1
            for transaction in group:
                transaction.done.set()
            self._start_next_group()

    def _start_next_group(self) -> None:
        if self._queue:
            trio.lowlevel.spawn_system_task(self._send_group)

    def _take_group(self) -> list[_PendingTransaction]:
        group: list[_PendingTransaction] = []
        keys: set[str] = set()
        rest = []
        for transaction in self._queue:
            if len(group) < MAX_BATCH and not keys & transaction.keys:
                group.append(transaction)
                keys |= transaction.keys
            else:
                rest.append(transaction)
        self._queue = rest
        return group

    async def _send_once(
        self, group: list[_PendingTransaction]
    ) -> list[_PendingTransaction]:
        """Sends a group and returns the transactions to be sent again."""
        writes = [
            write for transaction in group for write in transaction.writes
        ]
        self.calls += 1
        for transaction in group:
            # The outcome of all if the call raises.
            transaction.outcome = result.Err(
                errors.Unclear('the exchange failed unexpectedly')
            )
        outcome = await self._table.transact(writes)
        conflicting: list[_PendingTransaction] = []
        if isinstance(outcome, result.Err) and isinstance(
            outcome.err_value, errors.Conflict
        ):
            current_rows = outcome.err_value.rows
            conflicting = [
                item for item in group if item.keys & set(current_rows)
            ]
            for transaction in conflicting:
                rows = {
                    k: current_rows[k]
                    for k in transaction.keys
                    if k in current_rows
                }
                self._complete(transaction, result.Err(errors.Conflict(rows)))
            return [item for item in group if item not in conflicting]
        for transaction in group:
            self._complete(transaction, outcome)
        return []

    def _complete(
        self,
        transaction: _PendingTransaction,
        outcome: result.Result[store.Committed, store.TableError],
    ) -> None:
        if isinstance(outcome, result.Ok):
            versions = outcome.ok_value.versions
            own = {k: versions[k] for k in transaction.keys if k in versions}
            outcome = result.Ok(store.Committed(own))
        transaction.outcome = outcome
        transaction.done.set()
