"""Interfaces of table store, object store and host list; their data types."""

import abc
import typing

import result

from sardinebend_store import errors

TableError = errors.Unavailable | errors.Unclear | errors.Conflict
ReadError = errors.Unavailable


class Row(typing.NamedTuple):
    """A row of the table.

    Attributes:
        key: Its key.
        version: Rises with each write. A store that has come back from an older
            copy gives out the same numbers again; a version here also holds its
            era (see `feeds`), so those of two eras are never equal.
        value: Its value, a JSON object.
    """

    key: str
    version: int
    value: dict[str, typing.Any]


class Write(typing.NamedTuple):
    """A conditional write of one row.

    Attributes:
        key: The row's key.
        expected_version: Version that the row must have; 0 if the row must
            be absent.
        value: The new value; `None` deletes the row.
    """

    key: str
    expected_version: int
    value: dict[str, typing.Any] | None


class Committed(typing.NamedTuple):
    """The new version of each row that a transaction wrote."""

    versions: dict[str, int]


class ListedHost(typing.NamedTuple):
    """An entry host in the platform's list, which may be out of date.

    Attributes:
        host_id: Its name.
        failure_domain: Failure domain in which it runs.
        caller_url: URL at which it serves callers.
        peer_address: Address at which it serves peers, `ip:port`.
        leaving: Whether the platform is about to stop it.
    """

    host_id: str
    failure_domain: str
    caller_url: str
    peer_address: str
    leaving: bool


class ListedEndpoint(typing.NamedTuple):
    """An endpoint in the platform's list, which may be out of date.

    Attributes:
        endpoint_id: Its name.
        incarnation: Changes with each start of the endpoint.
        leaving: Whether the platform is about to stop it.
    """

    endpoint_id: str
    incarnation: str
    leaving: bool


class Listing(typing.NamedTuple):
    """The hosts and endpoints of one reply of the host list."""

    hosts: tuple[ListedHost, ...]
    endpoints: tuple[ListedEndpoint, ...]


class TableStore(abc.ABC):
    """A table with transactions that are conditional on row versions."""

    @property
    @abc.abstractmethod
    def era(self) -> int:
        """The highest era that any answer of the table has named, or 0."""

    @abc.abstractmethod
    async def transact(
        self, writes: typing.Sequence[Write]
    ) -> result.Result[Committed, TableError]:
        """Applies all writes, or none of them.

        An expected version of an earlier era is a `Conflict`. If the era rises
        while the call is in flight, the outcome is `Unclear`.
        """

    @abc.abstractmethod
    async def read(self, key: str) -> result.Result[Row | None, ReadError]:
        """Returns one row, or `None` where it is absent."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], ReadError]:
        """Returns rows in key order whose keys start with a prefix.

        Args:
            prefix: Common prefix of the keys.
            after: Only keys that sort after this one are returned.
            limit: Largest number of rows.
        """


class ObjectStore(abc.ABC):
    """A key-value store of byte strings."""

    @abc.abstractmethod
    async def put(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable | errors.Unclear]:
        """Writes an object, replacing an older one."""

    @abc.abstractmethod
    async def get(
        self, key: str
    ) -> result.Result[bytes | None, errors.Unavailable]:
        """Returns an object, or `None` where it is absent."""


class HostList(abc.ABC):
    """The platform's list of hosts and endpoints; it may be out of date."""

    @abc.abstractmethod
    async def fetch(self) -> result.Result[Listing, errors.Unavailable]:
        """Returns the latest list that the platform has."""
