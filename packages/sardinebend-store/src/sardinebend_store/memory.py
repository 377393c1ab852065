"""In-memory implementations of the platform's services."""

import typing

import result

from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import store


class MemoryTable(store.TableStore):
    """A table in memory with the semantics of the platform's service."""

    def __init__(self) -> None:
        self._rows: dict[str, store.Row] = {}
        self._era = 0

    @property
    def era(self) -> int:
        """The number of times that the table came back from a copy."""
        return self._era

    def copy_rows(self) -> dict[str, store.Row]:
        """Returns the rows as they are now."""
        return dict(self._rows)

    def return_from_copy(self, rows: dict[str, store.Row]) -> None:
        """Replaces all rows by those of a copy and begins a new era."""
        self._era += 1
        self._rows = {
            key: row._replace(
                version=feeds.make_version(
                    self.era, feeds.counter_of(row.version)
                )
            )
            for key, row in rows.items()
        }

    async def transact(
        self, writes: typing.Sequence[store.Write]
    ) -> result.Result[store.Committed, store.TableError]:
        """Applies all writes, or none of them."""
        return self.apply(writes)

    def apply(
        self, writes: typing.Sequence[store.Write]
    ) -> result.Result[store.Committed, store.TableError]:
        """Does the same as `transact`, without a Trio checkpoint."""
        conflicting_rows: dict[str, store.Row | None] = {}
        for write in writes:
            row = self._rows.get(write.key)
            if (row.version if row else 0) != write.expected_version:
                conflicting_rows[write.key] = row
        if conflicting_rows:
            return result.Err(errors.Conflict(conflicting_rows))
        versions = {}
        for write in writes:
            if write.value is None:
                self._rows.pop(write.key, None)
                continue
            counter = feeds.counter_of(write.expected_version) + 1
            version = feeds.make_version(self.era, counter)
            versions[write.key] = version
            self._rows[write.key] = store.Row(write.key, version, write.value)
        return result.Ok(store.Committed(versions))

    async def read(
        self, key: str
    ) -> result.Result[store.Row | None, store.ReadError]:
        """Returns one row, or `None` where it is absent."""
        return result.Ok(self._rows.get(key))

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[store.Row], store.ReadError]:
        """Returns rows in key order whose keys start with a prefix."""
        return result.Ok(self.select(prefix, after, limit))

    def select(self, prefix: str, after: str, limit: int) -> list[store.Row]:
        """Does the same as `scan`, without a Trio checkpoint."""
        found = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return [self._rows[key] for key in found[:limit]]


class MemoryObjects(store.ObjectStore):
    """An object store in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable | errors.Unclear]:
        """Writes an object, replacing an older one."""
        self._objects[key] = data
        return result.Ok(None)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, errors.Unavailable]:
        """Returns an object, or `None` where it is absent."""
        return result.Ok(self._objects.get(key))


class MemoryHostList(store.HostList):
    """A host list with fixed contents, which `listing` replaces."""

    def __init__(self, listing: store.Listing) -> None:
        self.listing = listing

    async def fetch(self) -> result.Result[store.Listing, errors.Unavailable]:
        """Returns the current list."""
        return result.Ok(self.listing)
