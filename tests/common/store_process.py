"""A stand-in for the platform's store of rows, as a process.

Usage: `python -m tests.common.store_process PORT`. After SIGUSR1 it comes back
from an older copy of itself.
"""

import base64
import json
import signal
import sys
import urllib.parse

import result
import trio

from sardinebend_gateway import http_server
from sardinebend_policy import catalog
from sardinebend_store import errors
from sardinebend_store import feeds

IP = '127.0.0.1'
# A listing expires after three heartbeats without a write.
LISTING_TTL_S = 3.6
EXPIRY_INTERVAL_S = 0.2
LISTINGS = 'servers'
# About the writes of three seconds.
LOST_WRITES = 30
JSON = [(b'content-type', b'application/json')]


class Store:
    """Serves rows over HTTP as the platform's documentation describes."""

    def __init__(self):
        self.rows = feeds.MemoryFeeds()
        self._written_at = {}

    async def serve(self, req, out):
        path, _, query = req.target.decode().partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        status, body = await self._answer(path, fields, req.body)
        era = (b'store-era', b'%d' % self.rows.era)
        await out.answer(status, [*JSON, era], json.dumps(body).encode())

    async def _answer(self, path, fields, body):
        if path == '/-/rows-tx':
            return await self._write(json.loads(body))
        if path == '/-/rows-get':
            found = (await self.rows.read_all(fields['table'])).ok_value
            start = fields.get('from', '')
            rows = [row for row in found.rows if row.key >= start]
        else:
            wait_s = int(fields['wait_ms']) / 1000
            after = self._make_version(int(fields['after_revision']))
            newest = (await self.rows.read_all(fields['table'])).ok_value
            if after > newest.version:
                return 410, {}
            answer = await self.rows.follow(fields['table'], after, wait_s)
            if isinstance(answer, result.Err):
                return 410, {}
            found = answer.ok_value
            rows = found.rows
        return 200, {
            'rows': [make_row(row) for row in rows],
            'row_version': feeds.counter_of(found.version),
            'has_more': False,
        }

    def _make_version(self, counter):
        """Returns the version that a counter has in the present era."""
        return feeds.make_version(self.rows.era, counter) if counter else 0

    async def return_from_copy(self):
        """Loses the last writes; servers may write their listings again."""
        self.rows.return_from_copy(LOST_WRITES)
        now = trio.current_time()
        listings = (await self.rows.read_all(LISTINGS)).ok_value.rows
        self._written_at = {row.key: now for row in listings}

    async def _write(self, body):
        removed = [{**row, 'value': None} for row in body['remove']]
        for row in [*body['puts'], *removed]:
            expected = [
                self._make_version(e['row_version'])
                for e in body['expected']
                if e['key'] == row['key']
            ]
            value = row['value']
            if value is not None:
                value = base64.b64decode(value)
            answer = await self.rows.write(
                row['table'],
                row['key'],
                expected[0] if expected else None,
                value,
            )
            if isinstance(answer, result.Err):
                assert isinstance(answer.err_value, errors.Conflict)
                found = [r for r in answer.err_value.rows.values() if r]
                return 412, {'rows': [make_row(r) for r in found]}
            if row['table'] == LISTINGS:
                self._written_at[row['key']] = trio.current_time()
            version = feeds.counter_of(answer.ok_value)
        return 200, {'row_version': version}

    async def expire_listings(self):
        """Removes the listings of servers that stopped writing them."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            oldest = trio.current_time() - LISTING_TTL_S
            for key, at in list(self._written_at.items()):
                if at < oldest:
                    del self._written_at[key]
                    await self.rows.write(LISTINGS, key, None, None)


def make_row(row):
    counter = feeds.counter_of(row.version)
    made = {'key': row.key, 'row_version': counter, 'part': ''}
    if row.value is None:
        return {**made, 'deleted': True}
    return {**made, 'value': base64.b64encode(row.value).decode()}


async def run(port):
    store = Store()
    limits = catalog.Limits()._replace(max_body_bytes=1_000_000)
    server = http_server.Server(store.serve, lambda: limits)
    async with trio.open_nursery() as nursery:
        await server.start(nursery, IP, port)
        nursery.start_soon(store.expire_listings)
        with trio.open_signal_receiver(signal.SIGUSR1) as signals:
            async for _ in signals:
                await store.return_from_copy()


if __name__ == '__main__':
    trio.run(run, int(sys.argv[1]))
