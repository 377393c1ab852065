"""Abstract table store, object store and host list, with their data types."""

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
        version: 1 for a new row; each write adds one.
        value: Its value, a JSON object.
    """

    key: str
    version: int
    value: dict[str, typing.Any]


class Write(typing.NamedTuple):
    """A conditional write of one row.

    Attributes:
        key: The row's key.
        expected_version: Version that the row must have; 0 for an absent
            row.
        value: The new value; `None` deletes the row.
    """

    key: str
    expected_version: int
    value: dict[str, typing.Any] | None


class Committed(typing.NamedTuple):
    """A transaction that took effect, with the new version of each row."""

    versions: dict[str, int]


class ListedHost(typing.NamedTuple):
    """An entry host as the platform lists it; the list lags behind.

    Attributes:
        host_id: Its name.
        failure_domain: Where it runs.
        caller_url: Its address for callers.
        peer_address: Its address for peers, `ip:port`.
        leaving: Whether the platform is about to stop it.
    """

    host_id: str
    failure_domain: str
    caller_url: str
    peer_address: str
    leaving: bool


class ListedEndpoint(typing.NamedTuple):
    """An endpoint as the platform lists it; the list lags behind.

    Attributes:
        endpoint_id: Its name.
        incarnation: Changes with each start of the endpoint.
        leaving: Whether the platform is about to stop it.
    """

    endpoint_id: str
    incarnation: str
    leaving: bool


class Listing(typing.NamedTuple):
    """One answer of the host list."""

    hosts: tuple[ListedHost, ...]
    endpoints: tuple[ListedEndpoint, ...]


class TableStore(abc.ABC):
    """A table whose transactions are conditional on row versions."""

    @abc.abstractmethod
    async def transact(
        self, writes: typing.Sequence[Write]
    ) -> result.Result[Committed, TableError]:
        """Applies all writes, or none of them."""

    @abc.abstractmethod
    async def read(self, key: str) -> result.Result[Row | None, ReadError]:
        """Returns one row, or `None` where it is absent."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], ReadError]:
        """Returns rows in key order whose keys start with a prefix.

        Args:
            prefix: Common start of the keys.
            after: Only keys that sort behind this one.
            limit: Largest number of rows.
        """


class ObjectStore(abc.ABC):
    """A store of byte strings by key."""

    @abc.abstractmethod
    async def put(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable | errors.Unclear]:
        """Writes an object whole."""

    @abc.abstractmethod
    async def get(
        self, key: str
    ) -> result.Result[bytes | None, errors.Unavailable]:
        """Returns an object, or `None` where it is absent."""


class HostList(abc.ABC):
    """The platform's lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def fetch(self) -> result.Result[Listing, errors.Unavailable]:
        """Returns the newest list that the platform has."""
