"""Stand-ins for the platform's store and servers, on loopback addresses.

They follow PROTOCOL.md. Only the standard library is used, so that a case runs
wherever the deploy file's build runs.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

IP = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLERS_HOST = 'users.example'
KEY = 'key-of-vanua'
TENANT = 'vanua'
LISTING_INTERVAL_S = 1.0
READY_S = 30.0


def find_ports(count):
    """Returns free ports, which are different."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((IP, 0))
    found = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return found


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


def start_process(words, log=None, env=None):
    """Starts a program from the root of the repository."""
    return subprocess.Popen(
        words, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
    )


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            piece = await reader.readexactly(size)
            await reader.readuntil(b'\r\n')
            if not size:
                return body
            body += piece
    return body


def make_head(status, headers=(), length=None):
    """Returns the head of an answer."""
    lines = [f'HTTP/1.1 {status} X', *(f'{n}: {v}' for n, v in headers)]
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


class Store:
    """The platform's metadata store: rows in tables, one counter.

    Attributes:
        port: Where it listens, also after it has been away.
        era: Rises each time it comes back from an older copy.
    """

    def __init__(self):
        self.port = 0
        self.era = 0
        self._rows = {}
        self._version = 1
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        """Starts to serve, on the same port as before."""
        self._server = await asyncio.start_server(self._serve, IP, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def copy(self):
        """Returns a copy of all that it holds."""
        return dict(self._rows), self._version

    def go_away(self):
        """Stops to serve and closes all channels."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, copy):
        """Serves again, from an older copy."""
        rows, self._version = copy
        self._rows = dict(rows)
        self.era += 1
        await self.start()

    def put(self, table, key, value):
        """Writes a row, or removes it; returns its version."""
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, answer = await self._answer(head[0], body)
                data = json.dumps(answer).encode()
                fixed = [
                    ('Content-Type', 'application/json'),
                    ('Store-Era', self.era),
                ]
                writer.write(make_head(status, fixed, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line, body):
        target = line.split(' ')[1]
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == '/-/rows-tx':
            return self._transact(json.loads(body))
        if path == '/-/rows-get':
            start = fields.get('from', '')
            rows = sorted(
                self._make_row(t, k)
                for (t, k), (_, value) in self._rows.items()
                if t == fields['table'] and k >= start and value is not None
            )
            return 200, self._page([row for _, row in rows])
        if path == '/-/rows-feed':
            if int(fields['after_revision']) > self._version:
                return 410, {}
            return 200, await self._feed(fields)
        return 404, {}

    def _make_row(self, table, key):
        version, value = self._rows[table, key]
        row = {'table': table, 'part': '', 'key': key, 'row_version': version}
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
        return key, row

    def _page(self, rows):
        return {
            'rows': rows,
            'has_more': False,
            'row_version': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _feed(self, fields):
        table, after = fields['table'], int(fields['after_revision'])
        ends_at = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            changed = sorted(
                (version, key)
                for (t, key), (version, _) in self._rows.items()
                if t == table and version > after
            )
            left_s = ends_at - time.monotonic()
            if changed or left_s <= 0:
                return self._page(
                    [self._make_row(table, key)[1] for _, key in changed]
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, call):
        for row in call['expected']:
            name = (row['table'], row['key'])
            version, value = self._rows.get(name, (0, None))
            if (version if value is not None else 0) != row['row_version']:
                found = [
                    self._make_row(r['table'], r['key'])[1]
                    for r in call['expected']
                    if self._rows.get((r['table'], r['key']), (0, None))[1]
                    is not None
                ]
                return 412, self._page(found)
        for row in call['puts']:
            value = base64.b64decode(row['value'])
            self.put(row['table'], row['key'], value)
        for row in call['remove']:
            self.put(row['table'], row['key'], None)
        return 200, self._page([])


class Server:
    """A sound server: answers each request, and records what it ran.

    Attributes:
        runs: What it ran, as texts for the record.
    """

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.port = 0
        self.runs = []
        self.state = 'ready'

    async def start(self):
        """Starts to serve."""
        server = await asyncio.start_server(self._serve, IP, 0, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]

    def make_entry(self, sequence):
        """Returns its listing."""
        return {
            'service': self.service,
            'address': f'{IP}:{self.port}',
            'zone': 'ba',
            'version': 'v1',
            'slots': 96,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': sequence,
            'born': 1700000000000,
        }

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                await self.answer(head, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, writer):
        """Answers one request."""
        line, headers = head
        if headers.get('expect-instance', self.name) != self.name:
            fixed = [('Instance-Id', self.name), ('Not-Executed', '1')]
            writer.write(make_head(421, fixed, 0))
            return
        request_id = headers.get('request-id', '')
        self.runs.append((request_id, line, headers, len(body)))
        await self.run(request_id, headers, writer)

    async def run(self, request_id, headers, writer):
        """Runs one request."""
        text = f'{self.name} ran {request_id}'.encode()
        fixed = [('Request-Id', request_id), ('Response-Seal', 'a.b.c')]
        writer.write(make_head(200, fixed, len(text)) + text)


def make_route(name, prefix, kind, service, **changes):
    """Returns a route of the configuration."""
    return {
        'name': name,
        'hostname': CALLERS_HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 20000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        **changes,
    }


def make_config(routes, services, version=1, keys=(KEY,)):
    """Returns a configuration with the limits that `fleetbench wire` prints."""
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
        'tenants': [{'name': TENANT, 'api_keys': list(keys)}],
    }


async def keep_listed(store, servers):
    """Writes the listings of servers, as their heartbeats do."""
    sequence = 0
    while True:
        sequence += 1
        for server in servers:
            entry = json.dumps(server.make_entry(sequence)).encode()
            store.put('servers', server.name, entry)
        await asyncio.sleep(LISTING_INTERVAL_S)


_SETTINGS = """
node_name = "{name}"
role = "host"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = "{ip}"
zone = "ba"
region = "viti-west"
internal_ports = [{first}, {last}]
seeds = {seeds}
bootstrap = true
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
revoke_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 196
ttl_max_s = 5
[platform]
address = "{store}"
"""


class Host:
    """One host of the product: the command of the deploy file, as a process."""

    def __init__(self, name, folder, store_address, seeds=(), **limits):
        found = find_ports(6)
        self.name = name
        self.port, self.readiness, self.control, self.directory = found[:4]
        self.seeds = list(seeds) or [f'{IP}:{self.control}']
        self.log = pathlib.Path(folder) / f'{name}.log'
        self._settings = pathlib.Path(folder) / f'{name}.toml'
        self._internal = sorted(found[4:])
        self._store_address = store_address
        self._limits = {'memory_mb': 300, 'max_fds': 4200, **limits}
        self._child = None

    def write_settings(self):
        """Writes its settings file, as the platform does."""
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=IP,
                first=self._internal[0],
                last=self._internal[1],
                seeds=json.dumps(self.seeds),
                frontend=self.port,
                readiness=self.readiness,
                control=self.control,
                directory=self.directory,
                store=self._store_address,
                **self._limits,
            )
        )

    def start(self):
        """Starts its process."""
        self.write_settings()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['SARDINEBEND_NODE_FILE'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self._child = start_process(['python3', 'deploy/host.py'], log, env)

    @property
    def pid(self):
        """Its process id."""
        return self._child.pid

    def is_up(self):
        """Returns whether its process runs."""
        return self._child.poll() is None

    def send(self, number):
        """Sends a signal to its process."""
        if self.is_up():
            self._child.send_signal(number)

    def end(self):
        """Kills its process and waits for its end."""
        if self._child is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._child.wait()

    async def wait_listening(self):
        """Waits until its process listens; raises if it doesn't."""
        ends_at = time.monotonic() + READY_S
        while time.monotonic() < ends_at:
            try:
                _, writer = await asyncio.open_connection(IP, self.port)
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.transport.abort()
                return
        raise RuntimeError(f'{self.name} does not listen')

    async def wait_ready(self):
        """Waits until it is ready; raises if it doesn't get ready."""
        ends_at = time.monotonic() + READY_S
        while time.monotonic() < ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    IP, self.readiness
                )
                writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head and ' 200 ' in head[0] + ' ':
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready: {self.log.read_text()}')


def make_request(
    target, request_id, method='GET', headers=(), body=None, key=KEY
):
    """Returns the bytes of a proper request."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {CALLERS_HOST}',
        f'Request-Id: {request_id}',
        f'Authorization: Bearer {key}',
        *(f'{n}: {v}' for n, v in headers),
    ]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + (body or b'')


class Record:
    """Writes what happened to `record.txt`, with times in seconds."""

    def __init__(self, path):
        self._began_at = time.monotonic()
        self._path = pathlib.Path(path)
        self._path.write_text('')

    def write(self, text):
        """Writes one line."""
        at = time.monotonic() - self._began_at
        with self._path.open('a') as file:
            file.write(f'{at:8.3f} {text}\n')


def run(main):
    """Runs a coroutine; connections that are left at its end are no errors."""

    async def run_quietly():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        return await main

    return asyncio.run(run_quietly())


def has_disruption():
    """Returns whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def print_error(text):
    """Prints why a case couldn't run."""
    print(text, file=sys.stderr)
