"""HTTP clients of the platform's table service, object store and host list.

After a failed exchange the idle connections are closed, so that the next call
opens a new one. A write is tried once: only the caller knows whether repeating
it is safe. It has a connection of its own, so that the reply to an earlier call
can't be taken for its own. A read of the table is repeated once on a new
connection.
"""

import typing
import urllib.parse

import msgspec
import result
import trio

from sardinebend_store import connections
from sardinebend_store import documents
from sardinebend_store import eras
from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import store

DEFAULT_TIMEOUT_S: typing.Final = 2.0

_ERA_HEADER: typing.Final = 'store-era'
_JSON = ((b'content-type', b'application/json'),)


_Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=feeds.MAX_COUNTER)]


class _RowBody(typing.TypedDict):
    key: str
    # 1 for a new row; incremented by each write.
    version: _Counter
    value: dict[str, typing.Any]


class _CommittedBody(typing.TypedDict):
    versions: dict[str, _Counter]


class _HostBody(typing.TypedDict):
    host_id: str
    failure_domain: str
    caller_url: str
    peer_address: str
    leaving: bool


class _EndpointBody(typing.TypedDict):
    endpoint_id: str
    incarnation: str
    leaving: bool


class _ListingBody(typing.TypedDict):
    hosts: list[_HostBody]
    endpoints: list[_EndpointBody]


class _Client:
    """Base of the three clients, with one origin and one time-out."""

    def __init__(self, origin: connections.Origin, timeout_s: float) -> None:
        self._origin = origin
        self._timeout_s = timeout_s

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._origin.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        new_connection: bool = False,
    ) -> connections.Reply:
        try:
            return await self._origin.exchange(
                method,
                path,
                _JSON,
                body,
                timeout_s=self._timeout_s,
                new_connection=new_connection,
            )
        except errors.ExchangeFailed:
            # The idle connections use the same network path, so they may
            # have failed as well.
            await self._origin.drop_idle()
            raise

    def _accepts(self, reply: connections.Reply) -> bool:
        """Returns whether a reply can be used, whatever its status."""
        return True

    async def _read(
        self, path: str
    ) -> result.Result[bytes, errors.Unavailable]:
        for new_connection in (False, True):
            try:
                reply = await self._call(
                    'GET', path, new_connection=new_connection
                )
            except errors.ConnectFailed as exc:
                return result.Err(errors.Unavailable(str(exc)))
            except errors.ExchangeFailed as exc:
                failure = errors.Unavailable(str(exc))
                continue
            if not self._accepts(reply):
                failure = errors.Unavailable('answer of no known era')
                continue
            if reply.status == 200:
                return result.Ok(reply.body)
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        return result.Err(failure)


class RemoteTable(_Client, store.TableStore):
    """The platform's table service."""

    def __init__(self, origin: connections.Origin, timeout_s: float) -> None:
        super().__init__(origin, timeout_s)
        self._era = 0
        self._era_header = eras.EraHeader(_ERA_HEADER)

    @property
    def era(self) -> int:
        """The highest era that any reply has named, or 0."""
        return self._era

    @classmethod
    def from_url(
        cls, url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> 'RemoteTable':
        """Makes a client of the service at a URL."""
        return cls(connections.Origin(url), timeout_s)

    async def transact(
        self, writes: typing.Sequence[store.Write]
    ) -> result.Result[store.Committed, store.TableError]:
        """Applies all writes, or none of them."""
        era = self.era
        lost = [
            write.key
            for write in writes
            if write.expected_version
            and feeds.era_of(write.expected_version) != era
        ]
        if lost:
            return result.Err(errors.Conflict(dict.fromkeys(lost)))
        body = msgspec.json.encode({'writes': [_encode(w) for w in writes]})
        try:
            reply = await self._call(
                'POST', '/v1/transact', body, new_connection=True
            )
        except errors.ConnectFailed as exc:
            return result.Err(errors.Unavailable(str(exc)))
        except errors.ExchangeFailed as exc:
            return result.Err(errors.Unclear(str(exc)))
        if not self._accepts(reply) or self.era != era:
            # A table in another era may have applied the writes to other rows
            # of the same versions, and an earlier era's writes are lost.
            return result.Err(errors.Unclear(f'era {self.era}'))
        put_keys = {write.key for write in writes if write.value is not None}
        return _decode_transact_reply(reply, era, put_keys)

    async def read(
        self, key: str
    ) -> result.Result[store.Row | None, store.ReadError]:
        """Returns one row, or `None` where it is absent."""
        path = f'/v1/row?key={urllib.parse.quote(key, safe="")}'
        answer = await self._read(path)
        if isinstance(answer, result.Err):
            return answer
        row = _decode(answer.ok_value, _RowBody | None)
        return row.map(lambda body: _make_row(body, self.era))

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[store.Row], store.ReadError]:
        """Returns rows in key order whose keys start with a prefix."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        answer = await self._read(f'/v1/rows?{query}')
        if isinstance(answer, result.Err):
            return answer
        rows = _decode(answer.ok_value, list[_RowBody])
        return rows.map(
            lambda items: [_make_row(item, self.era) for item in items]
        )

    def _accepts(self, reply: connections.Reply) -> bool:
        """Records the era that a reply names; returns whether it is usable."""
        era = self._era_header.read(reply, self._era)
        if era is None:
            return False
        self._era = era
        return True


class RemoteObjects(_Client, store.ObjectStore):
    """The platform's object store."""

    @classmethod
    def from_url(
        cls, url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> 'RemoteObjects':
        """Makes a client of the store at a URL."""
        return cls(connections.Origin(url), timeout_s)

    async def put(
        self, key: str, data: bytes
    ) -> result.Result[None, errors.Unavailable | errors.Unclear]:
        """Writes an object, replacing an older one."""
        path = f'/v1/objects/{urllib.parse.quote(key, safe="")}'
        try:
            reply = await self._call('PUT', path, data, new_connection=True)
        except errors.ConnectFailed as exc:
            return result.Err(errors.Unavailable(str(exc)))
        except errors.ExchangeFailed as exc:
            return result.Err(errors.Unclear(str(exc)))
        if reply.status >= 300:
            return result.Err(errors.Unclear(f'status {reply.status}'))
        return result.Ok(None)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, errors.Unavailable]:
        """Returns an object, or `None` where it is absent."""
        path = f'/v1/objects/{urllib.parse.quote(key, safe="")}'
        try:
            reply = await self._call('GET', path, new_connection=True)
        except errors.PlatformError as exc:
            return result.Err(errors.Unavailable(str(exc)))
        if reply.status == 404:
            return result.Ok(None)
        if reply.status != 200:
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        return result.Ok(reply.body)


class RemoteHostList(_Client, store.HostList):
    """The platform's list of hosts and endpoints."""

    def __init__(self, origin: connections.Origin, timeout_s: float) -> None:
        super().__init__(origin, timeout_s)
        self._etag = ''
        self._last_listing: store.Listing | None = None

    @classmethod
    def from_url(
        cls, url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> 'RemoteHostList':
        """Makes a client of the list at a URL."""
        return cls(connections.Origin(url), timeout_s)

    async def fetch(self) -> result.Result[store.Listing, errors.Unavailable]:
        """Returns the latest list that the platform has.

        The request is conditional on the `ETag` of the last reply, so that an
        unchanged list isn't sent again: each host asks every second, and with
        360 hosts and 1,600 endpoints the list has about 180 KB.
        """
        headers = [*_JSON]
        if self._etag:
            headers.append((b'if-none-match', self._etag.encode()))
        try:
            reply = await self._origin.exchange(
                'GET', '/v1/list', headers, timeout_s=self._timeout_s
            )
        except errors.PlatformError as exc:
            await self._origin.drop_idle()
            return result.Err(errors.Unavailable(str(exc)))
        if reply.status == 304 and self._last_listing is not None:
            return result.Ok(self._last_listing)
        if reply.status != 200:
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        listing = _decode(reply.body, _ListingBody).map(_make_listing)
        if isinstance(listing, result.Ok):
            self._last_listing = listing.ok_value
            self._etag = reply.headers.get('etag', '')
        return listing


async def transact_until_known(
    table: store.TableStore,
    writes: typing.Sequence[store.Write],
    is_mine: typing.Callable[[store.Row | None], bool],
    pause_s: float,
    attempts: int,
) -> result.Result[store.Committed | None, store.TableError]:
    """Repeats a transaction until it is known whether it took effect.

    Args:
        table: The table.
        writes: The transaction; the value of its first row must contain an
            id by which `is_mine` recognises this transaction.
        is_mine: Returns whether the current row with the key of the first
            write was written by this transaction; the row is `None` if it is
            absent or isn't in conflict.
        pause_s: Pause between two attempts.
        attempts: Largest number of attempts.

    Returns:
        The committed versions; `None` if a conflict showed that an earlier
        attempt had taken effect; or the error of the last attempt.
    """
    error: store.TableError = errors.Unavailable('no attempt was made')
    may_have_applied = False
    for attempt in range(attempts):
        if attempt:
            await trio.sleep(pause_s)
        answer = await table.transact(writes)
        if isinstance(answer, result.Ok):
            return result.Ok(answer.ok_value)
        error = answer.err_value
        if isinstance(error, errors.Conflict):
            row = error.rows.get(writes[0].key)
            if may_have_applied and is_mine(row):
                return result.Ok(None)
            return result.Err(error)
        if isinstance(error, errors.Unclear):
            may_have_applied = True
    if may_have_applied and isinstance(error, errors.Unavailable):
        return result.Err(errors.Unclear(str(error)))
    return result.Err(error)


def _decode_transact_reply(
    reply: connections.Reply, era: int, put_keys: set[str]
) -> result.Result[store.Committed, store.TableError]:
    if reply.status == 200:
        committed = _decode(reply.body, _CommittedBody)
        if isinstance(committed, result.Err):
            # The status says that it was applied, but nothing shows by whom.
            return result.Err(errors.Unclear(str(committed.err_value)))
        if not put_keys <= committed.ok_value['versions'].keys():
            return result.Err(errors.Unclear('a version is missing'))
        versions = {
            key: feeds.make_version(era, counter)
            for key, counter in committed.ok_value['versions'].items()
        }
        return result.Ok(store.Committed(versions))
    if reply.status == 409:
        rows = _decode(reply.body, dict[str, _RowBody | None])
        if isinstance(rows, result.Err):
            return rows
        conflicting_rows = {
            key: _make_row(row, era) for key, row in rows.ok_value.items()
        }
        return result.Err(errors.Conflict(conflicting_rows))
    # Only the statuses that the protocol defines as a refusal mean that nothing
    # was written. After a 5xx, for instance of a proxy or of a server that
    # crashed, the write may have taken effect.
    if reply.status in (400, 413, 429):
        return result.Err(errors.Unavailable(f'status {reply.status}'))
    return result.Err(errors.Unclear(f'status {reply.status}'))


def _encode(write: store.Write) -> dict[str, typing.Any]:
    counter = feeds.counter_of(write.expected_version)
    return write._replace(expected_version=counter)._asdict()


def _make_row(body: _RowBody | None, era: int) -> store.Row | None:
    if body is None:
        return None
    version = feeds.make_version(era, body['version'])
    return store.Row(body['key'], version, body['value'])


def _make_listing(body: _ListingBody) -> store.Listing:
    return store.Listing(
        tuple(store.ListedHost(**item) for item in body['hosts']),
        tuple(store.ListedEndpoint(**item) for item in body['endpoints']),
    )


def _decode(body: bytes, expected_type: typing.Any) -> typing.Any:
    try:
        return result.Ok(documents.decode(body, expected_type))
    except errors.MalformedDocument as exc:
        return result.Err(errors.Unavailable(f'malformed reply: {exc}'))
