"""Stand-ins and helpers of the third review's scripts: standard library only.

Everything but the hosts runs in the script's own process, on one event loop.
The hosts are `python3 deploy/host.py`, as the deploy file says. All stand-ins
follow the users' pages and listen on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
HOST = 'users.example'
KEY = 'key-of-vanua'
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_USED = set()
_RNG = random.SystemRandom()
# The example of DEPLOY.md and the bounds of the sites' sheets.
SETTINGS = """
node_name = "{name}"
role = "host"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "viti-west"
internal_ports = [{first},{last}]
seeds = {seeds}
bootstrap = true
heartbeat_ms = 1200
[zones]
lautoka = "viti-west"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
outer_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 196
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
"""


def now():
    """Returns the time of the steady clock."""
    return time.monotonic()


def free_ports(count):
    """Returns free ports below the range of outgoing channels."""
    found = []
    while len(found) < count:
        port = _RNG.randrange(15000, 32000)
        if port in _USED:
            continue
        _USED.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as sock:
                    sock.bind((IP, port))
        except OSError:
            continue
        found.append(port)
    return found


class Record:
    """Writes `record.txt` of a case; times count from the record's start."""

    def __init__(self, path):
        self.start = now()
        self._path = pathlib.Path(path)
        self._path.write_text('')

    def __call__(self, text):
        """Writes a line."""
        with self._path.open('a') as file:
            file.write(f'{now() - self.start:8.3f} {text}\n')


async def read_message(reader):
    """Returns the first line, headers and body of a message, or `None`."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    body = b''
    try:
        if 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
        elif headers.get('transfer-encoding') == 'chunked':
            while size := int((await reader.readline()).split(b';')[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


def message(status, headers, body=b''):
    """Returns the bytes of an answer."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Listener:
    """A TCP server whose open channels can be reset."""

    def __init__(self, port=0):
        self.port = port or free_ports(1)[0]
        self.address = f'{IP}:{self.port}'
        self._server = None
        self._writers = set()

    async def listen(self):
        """Begins to accept channels."""
        self._server = await asyncio.start_server(
            self._serve, IP, self.port, limit=2**24, backlog=1024
        )

    async def shut(self):
        """Ends all channels with a reset and accepts no more."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._server = None

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # It ends with the script.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Listener):
    """The platform's store of rows, in memory.

    A drill returns it to a copy of some seconds ago: what was acknowledged
    since is gone, versions are given out again, and `Store-Era` rises by one.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.version = 0
        self.rows = {}
        # By table, the highest version that a poll has named as known.
        self.known = {}
        self._log = []
        self._changed = asyncio.Event()
        self._beats = {}

    async def wait_known(self, table, version):
        """Waits until a poll has named a version of a table as known."""
        while self.known.get(table, 0) < version:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

    def put(self, table, key, value, part=''):
        """Writes a row; `None` removes it."""
        self._commit([((table, part, key), value)])

    def put_json(self, table, key, value, part=''):
        """Writes a row as JSON."""
        self.put(table, key, json.dumps(value).encode(), part)

    def _commit(self, changes):
        self.version += 1
        for key, value in changes:
            self.rows[key] = (self.version, value)
            self._log.append((now(), self.version, key, value))
            if key[:2] == ('servers', ''):
                self._beats[key] = now()
        self._changed.set()
        self._changed = asyncio.Event()

    def return_from_copy(self, age_s):
        """Comes back as it was some seconds ago."""
        until = now() - age_s
        self._log = [entry for entry in self._log if entry[0] <= until]
        self.rows = {}
        self.version = 0
        for _, version, key, value in self._log:
            self.rows[key] = (version, value)
            self.version = version
        self.era += 1
        self._beats = {
            key: now()
            for key, (_, value) in self.rows.items()
            if key[:2] == ('servers', '') and value is not None
        }

    async def lapse(self):
        """Removes the entries of servers that have fallen silent."""
        while True:
            await asyncio.sleep(0.1)
            for key, at in list(self._beats.items()):
                if self.rows.get(key, (0, None))[1] is None:
                    del self._beats[key]
                elif now() - at > LAPSE_S and self._server is not None:
                    del self._beats[key]
                    self._commit([(key, None)])

    async def serve(self, reader, writer):
        """Answers the calls of one channel."""
        while (req := await read_message(reader)) is not None:
            status, body = await self._answer(req)
            await asyncio.sleep(0.004)
            data = json.dumps(body).encode()
            headers = [
                ('Content-Type', 'application/json'),
                ('Store-Era', str(self.era)),
            ]
            writer.write(message(status, headers, data))
            await writer.drain()

    async def _answer(self, req):
        target, body = req[0].split(' ')[1], req[2]
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/-/rows-tx':
            return self._transact(json.loads(body))
        if path == '/-/rows-get':
            return 200, self._read(fields)
        if path == '/-/rows-feed':
            return await self._feed(fields)
        return 404, {}

    def _transact(self, body):
        found = []
        for entry in body.get('expected', []):
            key = (entry['table'], entry['part'], entry['key'])
            version, value = self.rows.get(key, (0, None))
            if (0 if value is None else version) != entry['row_version']:
                found.append(key)
        if found:
            rows = [self._row(k) for k in found if k in self.rows]
            return 412, {'rows': rows, **self._state()}
        changes = [
            (
                (e['table'], e['part'], e['key']),
                base64.b64decode(e['value']),
            )
            for e in body.get('puts', [])
        ]
        changes += [
            ((e['table'], e['part'], e['key']), None)
            for e in body.get('remove', [])
        ]
        if any(key[0] in ('op', 'servers') for key, _ in changes):
            return 403, {}
        self._commit(changes)
        return 200, self._state()

    def _state(self):
        return {'row_version': self.version, 'now_ms': int(now() * 1000)}

    def _row(self, key):
        version, value = self.rows[key]
        row = {
            'table': key[0],
            'part': key[1],
            'key': key[2],
            'row_version': version,
        }
        if value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': base64.b64encode(value).decode()}

    def _read(self, fields):
        keys = sorted(
            key
            for key, (_, value) in self.rows.items()
            if key[:2] == (fields['table'], fields['part'])
            and value is not None
            and key[2] >= fields.get('from', '')
        )
        limit = int(fields.get('limit', 500))
        rows = [self._row(key) for key in keys[:limit]]
        more = len(keys) > limit
        return {'rows': rows, 'has_more': more, **self._state()}

    async def _feed(self, fields):
        after = int(fields['after_revision'])
        table = fields['table']
        self.known[table] = max(after, self.known.get(table, 0))
        until = now() + int(fields['wait_ms']) / 1000
        era = self.era
        while True:
            if after > self.version or era != self.era:
                return 410, {}
            rows = [
                self._row(key)
                for key, (version, _) in self.rows.items()
                if key[0] == fields['table'] and version > after
            ]
            left = until - now()
            if rows or left <= 0:
                rows.sort(key=lambda row: row['row_version'])
                return 200, {'rows': rows, **self._state()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class AppServer(Listener):
    """A plain server: runs a request in `work_s` and records the run."""

    def __init__(self, name, service, record, work_s=0.03, zone='lautoka'):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.runs = []
        self.cut = []
        self.born = int(time.time() * 1000)
        self._record = record
        self._sequence = 0

    def entry(self, state='ready'):
        """Returns its entry in the list of servers."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 60,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': self.born,
        }

    async def beat(self, store):
        """Writes its entry every `HEARTBEAT_S` while the store is there."""
        while True:
            if store._server is not None:
                store.put_json('servers', self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        """Answers the requests of one channel."""
        while (req := await read_message(reader)) is not None:
            _, headers, _ = req
            request_id = headers.get('request-id', '')
            own = [('Request-Id', request_id), ('Instance-Id', self.name)]
            if headers.get('expect-instance', self.name) != self.name:
                writer.write(message(421, [*own, ('Not-Executed', '1')]))
                continue
            if req[0].split(' ')[1] == '/healthz':
                writer.write(message(200, own))
                continue
            self.runs.append((now(), request_id, headers))
            self._record(f'{self.name} runs {request_id}')
            self.cut.append(request_id)
            await asyncio.sleep(self.work_s)
            body = f'{request_id} done by {self.name}'.encode()
            seal = ('Response-Seal', f'{self.name}.{len(body)}')
            writer.write(message(200, [*own, seal], body))
            await writer.drain()
            self.cut.remove(request_id)


def route(name, kind, **changes):
    """Returns a route to the service `app`."""
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 500,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': False,
        **changes,
    }


def config(version, routes, keys=(KEY,), services=('app',)):
    """Returns a config."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz'} for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'vanua', 'api_keys': list(keys), 'priority': 1}],
    }


class Host:
    """A process of the product, as the deploy file starts it."""

    def __init__(self, folder, name, store_address, zone='lautoka'):
        self.name = name
        self.zone = zone
        self.port, self.readiness, self.control, self.directory = free_ports(4)
        self.first, self.last = free_ports(2)
        self._folder = pathlib.Path(folder)
        self.store_address = store_address
        self.process = None
        self.log = self._folder / f'{name}.log'

    async def start(self, seeds):
        """Writes its settings file and starts it."""
        path = self._folder / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=IP,
                zone=self.zone,
                first=self.first,
                last=self.last,
                seeds=json.dumps([f'{IP}:{h.control}' for h in seeds]),
                frontend=self.port,
                readiness=self.readiness,
                control=self.control,
                directory=self.directory,
                store=self.store_address,
            )
        )
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SARDINEBEND_NODE_FILE'] = str(path)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                'deploy/host.py',
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Sends it a signal."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Returns whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(IP, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await asyncio.wait_for(read_message(reader), 1)
            return answer is not None and ' 200' in answer[0]
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=25):
        """Waits until it is ready; raises if that takes too long."""
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until or self.process.returncode is not None:
                raise RuntimeError(f'{self.name} does not get ready')
            await asyncio.sleep(0.1)

    async def end(self):
        """Kills it."""
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


class Sent:
    """One request, as its client saw it."""

    def __init__(self, request_id, at):
        self.request_id = request_id
        self.at = at
        self.status = 0
        self.body = b''


async def ask(
    host, request_id, path='/book/x', key=KEY, limit_s=1.5, body=b'{}'
):
    """Sends a request on a new channel and returns what came of it."""
    sent = Sent(request_id, now())
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(IP, host.port), 1
        )
    except (OSError, TimeoutError):
        return sent
    try:
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            f'Deadline-Ms: {int(limit_s * 1000)}',
            f'Authorization: Bearer {key}',
            f'Content-Length: {len(body)}',
        ]
        sent.at = now()
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        answer = await asyncio.wait_for(read_message(reader), limit_s + 1)
        if answer is not None:
            sent.status = int(answer[0].split(' ')[1])
            sent.body = answer[2]
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return sent


def main(case, folder):
    """Runs a case and exits with its result.

    Args:
        case: A function of the record, a temporary folder and whether there is
            to be trouble; returns whether the rule held.
        folder: The folder of the case.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    code = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix='review-') as temporary:
            held = asyncio.run(
                asyncio.wait_for(case(record, temporary, trouble), 110)
            )
        code = HELD if held else BROKEN
    except Exception as exc:
        record(f'could not run: {exc!r}')
    record(f'exit {code}')
    sys.exit(code)
