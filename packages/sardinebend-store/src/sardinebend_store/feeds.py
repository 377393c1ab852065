"""Tables with a change feed, which the hosts of a fleet share.

`store.TableStore` has a version counter per row. A feed has one counter for
all writes, so that a reader can ask for the changes since a version.

A store may come back from an older copy of itself. Its counter then goes back,
and it gives out the same numbers again; each time, its era rises by one. A
version here holds both, the era first, so that versions of different eras
compare as they should and are never equal.
"""

import abc
import typing

import result
import trio

from sardinebend_store import errors

FollowError = errors.Unavailable | errors.HistoryLost
WriteError = errors.Unavailable | errors.Unclear | errors.Conflict


# The counter takes the lower bits of a version.
_COUNTER_BITS: typing.Final = 48
MAX_COUNTER: typing.Final = (1 << _COUNTER_BITS) - 1


def make_version(era: int, counter: int) -> int:
    """Returns the version for a value of the store's counter in an era."""
    return (era << _COUNTER_BITS) + counter


def era_of(version: int) -> int:
    """Returns the era of a version; 0 for none (a negative version)."""
    return max(0, version) >> _COUNTER_BITS


def counter_of(version: int) -> int:
    """Returns the value of the store's counter; negative for no version."""
    return version - (era_of(version) << _COUNTER_BITS)


class FeedRow(typing.NamedTuple):
    """A row of a table.

    Attributes:
        key: Its key.
        version: Version of the store at which the row was written.
        value: Its bytes; `None` where the row has been removed.
    """

    key: str
    version: int
    value: bytes | None


class Changes(typing.NamedTuple):
    """Rows of one reply, and the version up to which they are complete."""

    rows: tuple[FeedRow, ...]
    version: int


class FeedStore(abc.ABC):
    """Tables with a change feed and conditional writes.

    Attributes:
        era: The highest era that any answer of the store has named; 0 if none
            has named one.
    """

    era: int = 0

    @abc.abstractmethod
    async def read_all(
        self, table: str
    ) -> result.Result[Changes, errors.Unavailable]:
        """Returns all rows of a table, and a version from which to `follow`.

        Changes made while the rows are read may be included or not; `follow`
        from the returned version returns all of them.
        """

    @abc.abstractmethod
    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Changes, FollowError]:
        """Returns rows changed since a version, as soon as there are any.

        If the store no longer has the history, or is in another era, the
        result is `HistoryLost`.

        Args:
            table: The table.
            after: The version of the last reply.
            wait_s: How long to wait for a change; if there is none, the reply
                has no rows.
        """

    @abc.abstractmethod
    async def write(
        self,
        table: str,
        key: str,
        expected_version: int | None,
        value: bytes | None,
    ) -> result.Result[int, WriteError]:
        """Writes or removes one row and returns its new version.

        A version of an earlier era is a `Conflict`. If the era rises while the
        write is in flight, it is `Unclear` whether it was applied, and to what.

        Args:
            table: The table.
            key: The row's key.
            expected_version: Version that the row must have; 0 for an absent
                row, `None` for any.
            value: The new bytes; `None` removes the row.
        """


class MemoryFeeds(FeedStore):
    """A store in memory with the semantics of the platform's.

    Attributes:
        is_down: While true, every call is `Unavailable`.
        oldest_version: Changes before this version are no longer available.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.oldest_version = 0
        self._version = 0
        self._tables: dict[str, dict[str, FeedRow]] = {}
        # Table, key and former row of each write, to undo it.
        self._history: list[tuple[str, str, FeedRow | None]] = []
        self._changed = trio.Event()

    def return_from_copy(self, lost_writes: int) -> None:
        """Undoes the last writes and begins a new era."""
        for _ in range(min(lost_writes, len(self._history))):
            table, key, row = self._history.pop()
            if row is None:
                del self._tables[table][key]
            else:
                self._tables[table][key] = row
            self._version -= 1
        self.era += 1
        self._version = make_version(self.era, counter_of(self._version))
        for rows in self._tables.values():
            for key, row in rows.items():
                version = make_version(self.era, counter_of(row.version))
                rows[key] = row._replace(version=version)
        self._notify()

    async def read_all(
        self, table: str
    ) -> result.Result[Changes, errors.Unavailable]:
        """Returns all rows of a table as of one moment."""
        if self.is_down:
            return result.Err(errors.Unavailable('down'))
        rows = self._tables.get(table, {}).values()
        live = tuple(sorted(row for row in rows if row.value is not None))
        return result.Ok(Changes(live, self._version))

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Changes, FollowError]:
        """Returns rows changed since a version, as soon as there are any."""
        with trio.move_on_after(wait_s):
            while not self.is_down and not self._changes_after(table, after):
                await self._changed.wait()
        if self.is_down:
            return result.Err(errors.Unavailable('down'))
        if era_of(after) != self.era:
            return result.Err(errors.HistoryLost(f'era {self.era}'))
        if after < self.oldest_version:
            return result.Err(
                errors.HistoryLost(f'before {self.oldest_version}')
            )
        return result.Ok(
            Changes(self._changes_after(table, after), self._version)
        )

    async def write(
        self,
        table: str,
        key: str,
        expected_version: int | None,
        value: bytes | None,
    ) -> result.Result[int, WriteError]:
        """Writes or removes one row and returns its new version."""
        if self.is_down:
            return result.Err(errors.Unavailable('down'))
        rows = self._tables.setdefault(table, {})
        row = rows.get(key)
        version = 0
        if row is not None and row.value is not None:
            version = row.version
        if expected_version is not None and version != expected_version:
            return result.Err(errors.Conflict({key: row}))
        self._version += 1
        self._history.append((table, key, row))
        rows[key] = FeedRow(key, self._version, value)
        self._notify()
        return result.Ok(self._version)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _changes_after(self, table: str, after: int) -> tuple[FeedRow, ...]:
        rows = self._tables.get(table, {}).values()
        changed = [row for row in rows if row.version > after]
        return tuple(sorted(changed, key=lambda row: row.version))
