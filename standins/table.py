"""Stand-in for the platform's transactional table service."""

import defopt
import result
import trio

from sardinebend_store import errors
from sardinebend_store import feeds
from sardinebend_store import memory
from sardinebend_store import store
from standins import web


class TableApp(web.WebApp):
    """Serves an in-memory table over HTTP and counts reads and writes."""

    def __init__(self) -> None:
        super().__init__()
        self.table = memory.MemoryTable()
        self._counts = {'writes': 0, 'reads': 0}
        self.add('POST', '/v1/transact', self._transact)
        self.add('GET', '/v1/rows', self._scan)
        self.add('GET', '/v1/row', self._read)
        self.add('GET', '/counts', self._list_counts, subject_to_faults=False)
        self.add('GET', '/records', self._list_rows, subject_to_faults=False)

        self.add('POST', '/lose', self._lose, subject_to_faults=False)

    def make_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns the header that names the table's era."""
        return [(b'store-era', b'%d' % self.table.era)]

    async def _transact(self, req: web.Request) -> tuple[int, object]:
        self._counts['writes'] += 1
        writes = [
            self._decode(store.Write(**write)) for write in req.json()['writes']
        ]
        answer = self.table.apply(writes)
        if isinstance(answer, result.Ok):
            versions = answer.ok_value.versions.items()
            counters = {key: feeds.counter_of(item) for key, item in versions}
            return 200, {'versions': counters}
        if isinstance(answer.err_value, errors.Conflict):
            rows = answer.err_value.rows
            return 409, {key: _encode(row) for key, row in rows.items()}
        return 503, None

    def _decode(self, write: store.Write) -> store.Write:
        counter = write.expected_version
        if not counter:
            return write
        version = feeds.make_version(self.table.era, counter)
        return write._replace(expected_version=version)

    async def _read(self, req: web.Request) -> tuple[int, object]:
        self._counts['reads'] += 1
        answer = await self.table.read(req.query['key'])
        return 200, _encode(answer.unwrap())

    async def _scan(self, req: web.Request) -> tuple[int, object]:
        self._counts['reads'] += 1
        query = req.query
        rows = self.table.select(
            query['prefix'], query.get('after', ''), int(query['limit'])
        )
        return 200, [_encode(row) for row in rows]

    async def _lose(self, req: web.Request) -> tuple[int, object]:
        """Returns from a copy without the rows whose keys start with a text."""
        prefix = req.json()['prefix']
        rows = self.table.copy_rows()
        kept = {k: row for k, row in rows.items() if not k.startswith(prefix)}
        self.table.return_from_copy(kept)
        return 200, {'era': self.table.era}

    async def _list_counts(self, req: web.Request) -> tuple[int, object]:
        return 200, self._counts

    async def _list_rows(self, req: web.Request) -> tuple[int, object]:
        rows = self.table.select(req.query.get('prefix', ''), '', 100_000)
        return 200, [_encode(row) for row in rows]


def _encode(row: store.Row | None) -> object:
    if row is None:
        return None
    return row._replace(version=feeds.counter_of(row.version))._asdict()


def main(*, address: str = '127.0.0.1', port: int = 0) -> None:
    """Runs the table service.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
    """
    trio.run(web.run, TableApp(), address, port)


if __name__ == '__main__':
    defopt.run(main)
