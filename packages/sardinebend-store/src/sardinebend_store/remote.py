"""HTTP clients of the platform's table service, object store and host list.

Each call opens a new connection after a failure on an old one, and is tried
once: whether a repeat is safe is known only to the caller.
"""

import typing
import urllib.parse

import msgspec
import result
import trio

from sardinebend_store import connections
from sardinebend_store import errors
from sardinebend_store import store

DEFAULT_TIMEOUT_S: typing.Final = 2.0

_JSON = ((b'content-type', b'application/json'),)


class _RowBody(typing.TypedDict):
    key: str
    version: int
    value: dict[str, typing.Any]


class _CommittedBody(typing.TypedDict):
    versions: dict[str, int]


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
    """What the three clients share: one origin and one time-out."""

    def __init__(self, origin: connections.Origin, timeout_s: float) -> None:
        self._origin = origin
        self._timeout_s = timeout_s

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._origin.close()

    async def _call(
        self, method: str, path: str, body: bytes = b'', fresh: bool = False
    ) -> connections.Reply:
        try:
            return await self._origin.exchange(
                method,
                path,
                _JSON,
                body,
                timeout_s=self._timeout_s,
                fresh=fresh,
            )
        except errors.ExchangeFailed:
            # One silent connection is a sign that its idle neighbours,
            # which share the path, may be silent too.
            await self._origin.drop_idle()
            raise

    async def _read(
        self, path: str
    ) -> result.Result[bytes, errors.Unavailable]:
        for fresh in (False, True):
            try:
                reply = await self._call('GET', path, fresh=fresh)
            except errors.ConnectFailed as exc:
                return result.Err(errors.Unavailable(str(exc)))
            except errors.ExchangeFailed as exc:
                failure = errors.Unavailable(str(exc))
                continue
            if reply.status == 200:
                return result.Ok(reply.body)
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        return result.Err(failure)


class RemoteTable(_Client, store.TableStore):
    """The platform's table service."""

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
        body = msgspec.json.encode({'writes': [w._asdict() for w in writes]})
        try:
            reply = await self._call('POST', '/v1/transact', body)
        except errors.ConnectFailed as exc:
            return result.Err(errors.Unavailable(str(exc)))
        except errors.ExchangeFailed as exc:
            return result.Err(errors.Unclear(str(exc)))
        return _settle(reply)

    async def read(
        self, key: str
    ) -> result.Result[store.Row | None, store.ReadError]:
        """Returns one row, or `None` where it is absent."""
        path = f'/v1/row?key={urllib.parse.quote(key, safe="")}'
        answer = await self._read(path)
        if isinstance(answer, result.Err):
            return answer
        return _decode(answer.ok_value, _RowBody | None).map(_make_row)

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
        return rows.map(lambda items: [store.Row(**item) for item in items])


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
        """Writes an object whole."""
        path = f'/v1/objects/{urllib.parse.quote(key, safe="")}'
        try:
            reply = await self._call('PUT', path, data)
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
            reply = await self._call('GET', path, fresh=True)
        except errors.PlatformError as exc:
            return result.Err(errors.Unavailable(str(exc)))
        if reply.status == 404:
            return result.Ok(None)
        if reply.status != 200:
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        return result.Ok(reply.body)


class RemoteHostList(_Client, store.HostList):
    """The platform's list of hosts."""

    def __init__(self, origin: connections.Origin, timeout_s: float) -> None:
        super().__init__(origin, timeout_s)
        self._etag = ''
        self._last: store.Listing | None = None

    @classmethod
    def from_url(
        cls, url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> 'RemoteHostList':
        """Makes a client of the list at a URL."""
        return cls(connections.Origin(url), timeout_s)

    async def fetch(self) -> result.Result[store.Listing, errors.Unavailable]:
        """Returns the newest list that the platform has.

        A list that hasn't changed since the last call isn't sent again: each
        host asks every second, and at 360 hosts and 1,600 endpoints the list
        has some 180 KB.
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
        if reply.status == 304 and self._last is not None:
            return result.Ok(self._last)
        if reply.status != 200:
            return result.Err(errors.Unavailable(f'status {reply.status}'))
        listing = _decode(reply.body, _ListingBody).map(_make_listing)
        if isinstance(listing, result.Ok):
            self._last = listing.ok_value
            self._etag = reply.headers.get('etag', '')
        return listing


async def settle(
    table: store.TableStore,
    writes: typing.Sequence[store.Write],
    is_mine: typing.Callable[[store.Row | None], bool],
    pause_s: float,
    attempts: int,
) -> result.Result[store.Committed | None, store.TableError]:
    """Repeats a transaction until its effect is known.

    Args:
        table: The table.
        writes: The transaction; its rows must carry a mark of the writer.
        is_mine: Tells from the first row whether this very transaction took
            effect.
        pause_s: Pause between two attempts.
        attempts: Largest number of attempts.

    Returns:
        The committed versions, `None` where only a conflict showed that the
        transaction had taken effect before, or the error that remained.
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


def _settle(
    reply: connections.Reply,
) -> result.Result[store.Committed, store.TableError]:
    if reply.status == 200:
        committed = _decode(reply.body, _CommittedBody)
        return committed.map(lambda body: store.Committed(**body))
    if reply.status == 409:
        rows = _decode(reply.body, dict[str, _RowBody | None])
        if isinstance(rows, result.Err):
            return rows
        against = {key: _make_row(row) for key, row in rows.ok_value.items()}
        return result.Err(errors.Conflict(against))
    # Only a status that the protocol defines as a refusal proves that nothing
    # was written; a proxy's or a crashed server's 5xx proves nothing.
    if reply.status in (400, 413, 429):
        return result.Err(errors.Unavailable(f'status {reply.status}'))
    return result.Err(errors.Unclear(f'status {reply.status}'))


def _make_row(body: _RowBody | None) -> store.Row | None:
    return None if body is None else store.Row(**body)


def _make_listing(body: _ListingBody) -> store.Listing:
    return store.Listing(
        tuple(store.ListedHost(**item) for item in body['hosts']),
        tuple(store.ListedEndpoint(**item) for item in body['endpoints']),
    )


def _decode(body: bytes, shape: typing.Any) -> typing.Any:
    try:
        return result.Ok(msgspec.json.decode(body, type=shape))
    except msgspec.MsgspecError as exc:
        return result.Err(errors.Unavailable(f'bad reply: {exc}'))
