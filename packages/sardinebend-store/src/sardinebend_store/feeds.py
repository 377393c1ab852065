"""Tables with a change feed, which the hosts of a fleet share.

`store.TableStore` has a version counter per row. A feed has one counter for
all writes, so that a reader can ask for the changes since a version.
"""

import abc
import typing

import result
import trio

from sardinebend_store import errors

FollowError = errors.Unavailable | errors.HistoryLost
WriteError = errors.Unavailable | errors.Unclear | errors.Conflict


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
    """Tables with a change feed and conditional writes."""

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
        self._changed = trio.Event()

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
        version = row.version if row is not None and row.value else 0
        if expected_version is not None and version != expected_version:
            return result.Err(errors.Conflict({key: row}))
        self._version += 1
        rows[key] = FeedRow(key, self._version, value)
        self._changed.set()
        self._changed = trio.Event()
        return result.Ok(self._version)

    def _changes_after(self, table: str, after: int) -> tuple[FeedRow, ...]:
        rows = self._tables.get(table, {}).values()
        changed = [row for row in rows if row.version > after]
        return tuple(sorted(changed, key=lambda row: row.version))
