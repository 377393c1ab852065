"""Stand-ins of the platform, servers and clients, and the hosts as processes.

Only the standard library is used. The stand-ins run in the process of the
script; each host is `python3 deploy/host.py`, as the deploy file starts it.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
DOMAIN = 'users.example'
KEY = 'key-of-vanua'
TENANT = 'vanua'
SEAL = 'a1.b2.c3'
HEARTBEAT_S = 1.2
LISTING_TTL_S = 3 * HEARTBEAT_S
SETTINGS = """
node_name = "{name}"
role = "host"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = "{ip}"
zone = "{zone}"
region = "east"
internal_ports = [{heartbeats},{metrics}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",
  "stream","tenants","platform","layers"]
[zones]
{zone} = "east"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
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
pass_ms = 120
retry_after_s = 0
stall_ms = 3000
require_fence = false
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 4.0
partition_writes_s = 250
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"""

_used_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that neither TCP nor UDP uses, outside the ephemeral."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        if port in _used_ports:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as sock:
                    sock.bind((IP, port))
        except OSError:
            continue
        _used_ports.add(port)
        return port


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the record began."""
        return time.monotonic() - self._began_at

    def add(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class HttpRequest:
    """A request that a stand-in received."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_headers(reader: asyncio.StreamReader) -> list[str]:
    """Returns the lines of a head, none at the end of the stream."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return []
    return data.decode('latin-1').split('\r\n')[:-2]


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Returns the headers by name in lower case."""
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    return headers


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Reads one request whose body has a length."""
    lines = await read_headers(reader)
    if not lines:
        return None
    method, target, _ = lines[0].split(' ', 2)
    headers = parse_headers(lines[1:])
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return HttpRequest(method, target, headers, body)


def make_head(status: int, headers: dict[str, object]) -> bytes:
    """Returns the head of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def make_answer(
    status: int, body: bytes = b'', headers: dict[str, object] | None = None
) -> bytes:
    """Returns a whole answer with a length."""
    fixed = {**(headers or {}), 'Content-Length': len(body)}
    return make_head(status, fixed) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset, as the end of a process may."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Listener:
    """A listener whose connections can all be reset."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'{IP}:{self.port}'

    async def listen(self, port: int = 0) -> None:
        """Listens on a port, or on a free one."""
        self.port = port or free_port()
        self._server = await asyncio.start_server(
            self._accept, IP, self.port, limit=2**20, backlog=512
        )

    def end(self) -> None:
        """Ends as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store of rows."""

    def __init__(self) -> None:
        super().__init__()
        self._rows: dict[tuple[str, str, str], tuple[int, bytes | None]] = {}
        self._version = 1
        self._changed = asyncio.Event()
        self._beats: dict[str, float] = {}
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listens, and begins to remove listings that have lapsed."""
        await self.listen()
        self._tasks.append(asyncio.create_task(self._expire()))

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator or a server does."""
        if table == 'servers':
            self._beats[key] = time.monotonic()
        self._write((table, '', key), json.dumps(value).encode())

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._beats.pop(key, None)
        self._write((table, '', key), None)

    def find(self, table: str) -> dict[str, bytes]:
        """Returns the values of a table by key."""
        return {
            key: value
            for (name, _, key), (_, value) in self._rows.items()
            if name == table and value is not None
        }

    def _write(self, name: tuple[str, str, str], value: bytes | None) -> None:
        self._version += 1
        self._rows[name] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            oldest = time.monotonic() - LISTING_TTL_S
            for key, at in list(self._beats.items()):
                if at < oldest:
                    self.remove('servers', key)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls of one connection."""
        while (req := await read_request(reader)) is not None:
            path, _, query = req.target.partition('?')
            fields = dict(urllib.parse.parse_qsl(query))
            await asyncio.sleep(0.002)
            if path == '/-/rows-tx':
                status, answer = self._transact(json.loads(req.body))
            elif path == '/-/rows-get':
                status, answer = self._get(fields)
            elif path == '/-/rows-feed':
                status, answer = await self._feed(fields)
            else:
                status, answer = 404, {}
            answer['row_version'] = self._version
            answer['now_ms'] = int(time.monotonic() * 1000)
            data = json.dumps(answer).encode()
            headers = {'Content-Type': 'application/json', 'Store-Era': 0}
            writer.write(make_answer(status, data, headers))
            await writer.drain()

    def _make_row(self, name: tuple[str, str, str]) -> dict[str, object]:
        version, value = self._rows.get(name, (0, None))
        row = {'table': name[0], 'part': name[1], 'key': name[2]}
        if value is None:
            return {**row, 'row_version': version, 'deleted': True}
        text = base64.b64encode(value).decode()
        return {**row, 'row_version': version, 'value': text}

    def _transact(self, body: dict) -> tuple[int, dict]:
        def name_of(row: dict) -> tuple[str, str, str]:
            return row['table'], row.get('part', ''), row['key']

        for row in body.get('expected', []):
            version, value = self._rows.get(name_of(row), (0, None))
            if row['row_version'] != (0 if value is None else version):
                names = [name_of(row) for row in body['expected']]
                found = [self._make_row(name) for name in names]
                return 412, {'rows': [r for r in found if 'value' in r]}
        for row in body.get('puts', []):
            self._write(name_of(row), base64.b64decode(row['value']))
        for row in body.get('remove', []):
            self._write(name_of(row), None)
        return 200, {}

    def _get(self, fields: dict[str, str]) -> tuple[int, dict]:
        names = sorted(
            name
            for name, (_, value) in self._rows.items()
            if name[:2] == (fields['table'], fields.get('part', ''))
            and value is not None
            and name[2] >= fields.get('from', '')
        )
        limit = int(fields.get('limit', 500))
        rows = [self._make_row(name) for name in names[:limit]]
        return 200, {'rows': rows, 'has_more': len(names) > limit}

    async def _feed(self, fields: dict[str, str]) -> tuple[int, dict]:
        after = int(fields['after_revision'])
        until = time.monotonic() + int(fields['wait_ms']) / 1000
        if after > self._version:
            return 410, {}
        while True:
            names = [
                name
                for name, (version, _) in self._rows.items()
                if name[0] == fields['table'] and version > after
            ]
            left_s = until - time.monotonic()
            if names or left_s <= 0:
                names.sort(key=lambda name: self._rows[name][0])
                return 200, {'rows': [self._make_row(n) for n in names]}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class Server(Listener):
    """A server: an engine that holds layers, or a plain one.

    Attributes:
        runs: Ids of the requests that it ran.
        orders: Orders that it received: time, body and status.
        size: Layers that its memory holds; 0 for a plain server.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, **options
    ) -> None:
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.kind = options.get('kind', '')
        self.size = options.get('size', 0)
        self.span = options.get('span')
        self.load_s = options.get('load_s', 0.1)
        self.event_s = options.get('event_s', 0.1)
        self.work_s = options.get('work_s', 0.02)
        self.zone = options.get('zone', 'lautoka')
        self.fleet = options.get('fleet', {})
        self.runs: list[str] = []
        self.orders: list[tuple[float, dict, int]] = []
        self.state = 'ready'
        self.sequence = 0
        self.is_up = False
        self.is_busy = False
        self.born = 0
        self.ended_at = 0.0
        self._task: asyncio.Task | None = None

    async def start(self, port: int = 0) -> None:
        """Starts to serve, and registers itself."""
        await self.listen(port)
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.fleet[self.address] = self
        self.record.add(f'server {self.name} starts at {self.address}')
        self._task = asyncio.create_task(self._beat())

    def crash(self, reason: str) -> None:
        """Ends at once."""
        if not self.is_up:
            return
        self.record.add(f'server {self.name} crashes: {reason}')
        self.is_up = False
        self.ended_at = self.record.now()
        if self._task is not None:
            self._task.cancel()
        self.end()

    async def _beat(self) -> None:
        while True:
            self.store.put('servers', self.name, self.make_entry())
            await asyncio.sleep(HEARTBEAT_S)

    def make_entry(self) -> dict[str, object]:
        """Returns its listing."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96 if self.size else 6,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if not self.size:
            return entry
        return {**entry, 'kind': self.kind, **self._make_models()}

    def _make_models(self) -> dict[str, object]:
        layers = None
        if self.span:
            start, end = self.span
            layers = {'from': start, 'target': end, 'version': 1}
        models = [{'name': 'm', 'version': 1, 'adapters': []}]
        return {'stage': 'both', 'models': models, 'layers': layers}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        while (req := await read_request(reader)) is not None:
            expected = req.headers.get('expect-instance', self.name)
            if expected != self.name:
                headers = {
                    'Request-Id': req.headers.get('request-id', ''),
                    'Instance-Id': self.name,
                }
                self.record.add(f'server {self.name} got one for {expected}')
                writer.write(make_answer(421, b'', headers))
            elif req.target == '/-/report' and self.size:
                writer.write(make_answer(200, self._make_report()))
            elif req.target == '/-/order' and self.size:
                status = self._take_order(json.loads(req.body))
                if self.is_up:
                    writer.write(make_answer(status))
            elif 'request-id' not in req.headers:
                writer.write(make_answer(400, b'', {'Not-Executed': 1}))
            else:
                await self.run(req, writer)
            await writer.drain()

    def _make_report(self) -> bytes:
        return json.dumps(
            {
                **self._make_models(),
                'busy': self.is_busy,
                'sequence': self.sequence,
                'waiting': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': 50000,
                'handles': 0,
            }
        ).encode()

    def _take_order(self, order: dict) -> int:
        status = 400
        if order['operation'] == 'place':
            span = (order['from'], order['target'])
            if order.get('expected', self.sequence) != self.sequence:
                status = 409
            elif span == self.span:
                status = 200
            elif self.is_busy:
                status = 409
            else:
                status = 202
        self.orders.append((self.record.now(), order, status))
        self.record.add(f'server {self.name} gets {order}: {status}')
        if status == 202:
            self.sequence += 1
            if span[1] - span[0] > self.size:
                self.crash(f'holds {self.size} layers, ordered to hold {span}')
            else:
                self.is_busy = True
                asyncio.get_running_loop().call_later(
                    self.load_s, self._finish_load, span
                )
        return status

    def _finish_load(self, span: tuple[int, int]) -> None:
        self.is_busy = False
        self.span = span
        if self.is_up:
            self.store.put('servers', self.name, self.make_entry())

    async def run(self, req: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Runs one request."""
        request_id = req.headers['request-id']
        fixed = {'Request-Id': request_id, 'Response-Seal': SEAL}
        fault = self._find_fault(req)
        if fault is not None:
            status, address = fault
            headers = {
                'Request-Id': request_id,
                'At-Server': address,
                'Not-Executed': 1,
            }
            writer.write(make_answer(status, b'', headers))
            return
        self.runs.append(request_id)
        self.record.add(f'server {self.name} runs {request_id}')
        if not self.size:
            await asyncio.sleep(self.work_s)
            body = f'{self.name} {request_id} {len(req.body)}'.encode()
            writer.write(make_answer(200, body, fixed))
            return
        events = int(req.headers['token-usage'].split(',')[1])
        head = {
            **fixed,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(make_head(200, head))
        first = int(req.headers.get('last-event-id', '0')) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(self.event_s)
            data = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    def _find_fault(self, req: HttpRequest) -> tuple[int, str] | None:
        """Returns the status and the server at fault of a path, if any."""
        if not self.size:
            return None
        for part in req.headers.get('hop-count', '').split(','):
            if not part:
                continue
            address, _, layers = part.partition('=')
            start, end = (int(n) for n in layers.split('-'))
            server = self.fleet.get(address)
            if server is None or not server.is_up:
                return 503, address
            held = server.span or (0, 0)
            if not held[0] <= start <= end <= held[1]:
                return 421, address
        return None


class Host:
    """One host of the product and its current process."""

    def __init__(self, folder: pathlib.Path, record: Record, number: int):
        self.name = f'edge-lautoka-{number}'
        self.frontend = free_port()
        self.readiness = free_port()
        self.control = free_port()
        self.directory = free_port()
        self.heartbeats = free_port()
        self.metrics = free_port()
        self.log_path = folder / f'{self.name}.log'
        self.process: subprocess.Popen | None = None
        self._path = folder / f'{self.name}.toml'
        self._record = record

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file."""
        text = SETTINGS.format(
            name=self.name,
            ip=IP,
            zone='lautoka',
            heartbeats=self.heartbeats,
            metrics=self.metrics,
            seeds=json.dumps(seeds),
            frontend=self.frontend,
            readiness=self.readiness,
            control=self.control,
            directory=self.directory,
            store=store,
        )
        self._path.write_text(text, encoding='utf-8')

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SARDINEBEND_NODE_FILE'] = str(self._path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'deploy/host.py'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._record.add(f'{self.name} starts, pid {self.process.pid}')

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.is_up:
            self._record.add(f'{self.name} gets {number.name}')
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.is_up:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if self.process is None or not self.is_up:
            return 0.0
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        pages = int((text.split() or ['0', '0'])[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 2**20

    async def is_ready(self) -> bool:
        """Asks for the readiness, as the platform does."""
        try:
            reply = await ask(self.readiness, 'GET', '/-/readyz', {}, b'', 1.0)
        except OSError:
            return False
        return reply.status == 200


class Reply:
    """An answer as a client saw it.

    Attributes:
        status: 0 if there was none.
        is_whole: Whether the answer was complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_whole = False


async def read_reply(
    reader: asyncio.StreamReader, reply: Reply, pause_s: float | None = None
) -> None:
    """Reads an answer.

    Args:
        reader: The channel.
        reply: Receives what is read.
        pause_s: The longest pause before a piece, if there is a limit.

    Raises:
        TimeoutError: A pause was longer.
    """
    async with asyncio.timeout(pause_s):
        lines = await read_headers(reader)
    if not lines:
        return
    reply.status = int(lines[0].split(' ')[1])
    reply.headers = parse_headers(lines[1:])
    if reply.headers.get('transfer-encoding') != 'chunked':
        length = int(reply.headers.get('content-length', '0'))
        reply.body = await reader.readexactly(length)
        reply.is_whole = True
        return
    while True:
        async with asyncio.timeout(pause_s):
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            reply.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            reply.is_whole = True
            return


async def ask(
    port: int,
    method: str,
    target: str,
    headers: dict[str, object],
    body: bytes = b'',
    limit_s: float = 20.0,
) -> Reply:
    """Sends one request on a new connection and returns the answer.

    An answer that was cut off is returned as far as it came.
    """
    reply = Reply()
    reader, writer = await asyncio.open_connection(IP, port, limit=2**20)
    try:
        writer.write(make_request(method, target, headers, body))
        async with asyncio.timeout(limit_s):
            await writer.drain()
            await read_reply(reader, reply)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return reply


def make_request(
    method: str, target: str, headers: dict[str, object], body: bytes
) -> bytes:
    """Returns a request, with a length if it has a body."""
    fields = {'Host': DOMAIN, **headers}
    if body:
        fields['Content-Length'] = len(body)
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def make_client_headers(request_id: str, limit_ms: int) -> dict[str, object]:
    """Returns the headers of a client's request."""
    return {
        'Request-Id': request_id,
        'Deadline-Ms': limit_ms,
        'Authorization': f'Bearer {KEY}',
    }


def make_route(name: str, kind: str, service: str, **options) -> dict:
    """Returns a route of the configuration."""
    return {
        'name': f'r-{name}',
        'hostname': DOMAIN,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 20000 if kind == 'streaming' else 800,
        'target_latency_ms': 500 if kind == 'streaming' else 150,
        'priority': 1,
        'service': service,
        'max_attempts': 1 if kind == 'non_idempotent' else 2,
        'public': False,
        **options,
    }


def make_engine(layers: int, kinds: dict[str, float], load_s: float) -> dict:
    """Returns the published figures of a service's engines."""
    return {
        'slots': 96,
        'kv_capacity_tokens': 50000,
        'kv_token_bytes': 1180000,
        'link_mbps': 480000.0,
        'stride': 2,
        'models': [{'name': 'm', 'pace': 1.0, 'load_s': load_s}],
        'step_ms': 0.85,
        'per_seq_ms': 0.00764,
        'context_per_k': 0.01024,
        'read_per_s': 196000.0,
        'pairs_per_m': 0.166,
        'chunk': 512,
        'report_lag_ms': 200.0,
        'loads_at_once': 6,
        'usual': {'prompt': 772, 'answer': 167},
        'layers': layers,
        'layer_mb': 1750.0,
        'activation_bytes': 59000,
        'pipe_mbps': 13000.0,
        'kinds': [
            {'name': name, 'size_mb': size, 'pace': 1.4, 'read_factor': 1.0}
            for name, size in kinds.items()
        ],
    }


def make_config(version: int, routes: list, services: list) -> dict:
    """Returns a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


class World:
    """A small deployment: the store, servers and hosts of one script."""

    def __init__(self, folder: pathlib.Path, host_count: int) -> None:
        self.record = Record(folder)
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.fleet: dict[str, Server] = {}
        self.hosts = [
            Host(self.scratch, self.record, number + 1)
            for number in range(host_count)
        ]

    def make_server(self, name: str, service: str, **options) -> Server:
        """Returns a server of this deployment."""
        return Server(
            self.store,
            self.record,
            name,
            service,
            fleet=self.fleet,
            **options,
        )

    async def start_hosts(self, ready_s: float = 30.0) -> bool:
        """Starts the hosts; returns whether all are ready in time."""
        seeds = [f'{IP}:{host.control}' for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.store.address, seeds)
            host.start()
        until = time.monotonic() + ready_s
        while time.monotonic() < until:
            if all([await host.is_ready() for host in self.hosts]):
                self.record.add('all hosts are ready')
                return True
            await asyncio.sleep(0.2)
        return False

    def close(self) -> None:
        """Ends all processes that were started."""
        for host in self.hosts:
            host.kill()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.scratch, ignore_errors=True)
