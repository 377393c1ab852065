"""Real hosts that stop as planned, with callers, servers and a store.

Hosts and store are processes; callers and servers run in the test's process. A
violation is a request that a planned stop may not leave without its whole
answer, by what its caller and its server saw.
"""

import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import typing

import trio

from sardinebend_adapter import store_client
from standins import ports
from tests.common import gateway_world as world_lib
from tests.common import starving
from tests.soak import fleet as fleet_lib
from tests.soak import process_fleet

GRACE_S: typing.Final = 8.0
# From here on after the signal, a server that is still at work may be cut off
# from a request that was sent no later than EXCUSED_S after the signal.
LAST_SIXTH_S: typing.Final = GRACE_S * 5 / 6
EXCUSED_S: typing.Final = 3.0
# A request that was read is answered within this time even if it isn't passed
# on.
READ_WITHIN_S: typing.Final = 0.2
# The rule holds until this long after the grace period.
AFTER_GRACE_S: typing.Final = 1.0
EVENT_S: typing.Final = 0.25
NOT_PASSED_ON: typing.Final = 'neither passed on nor answered'
STREAM_LIMIT_S: typing.Final = 20.0
PLAIN_LIMIT_S: typing.Final = 2.0
# Under the hosts' idle time-out for connections.
REUSE_LIMIT_S: typing.Final = 1.0
# These time limits only end broken tests.
START_LIMIT_S: typing.Final = 40.0
END_LIMIT_S: typing.Final = 40.0
# Streams that outlast a stop, sent around the end of the time of its excuse.
LONG_S: typing.Final = 6.0
LONG_STREAMS_FROM_S: typing.Final = 2.7
LONG_STREAMS_TO_S: typing.Final = 4.0
LONG_STREAMS_INTERVAL_S: typing.Final = 0.03
STREAM_DURATIONS_S: typing.Final = (0.5, 1.5, 3.0, 4.5, 6.0, 12.0)
PLAIN_DURATIONS_S: typing.Final = (0.0, 0.1, 0.5, 1.0)


@dataclasses.dataclass
class Request:
    """One request, as its caller saw it.

    Attributes:
        is_new: Whether it came on a new connection.
        sent_at: When the caller began to send its last byte.
        sent_by: When all of it had been sent.
    """

    request_id: str
    host: 'Host'
    duration_s: float
    limit_s: float
    is_new: bool = True
    was_refused_connection: bool = False
    began_at: float = 0.0
    sent_at: float | None = None
    sent_by: float | None = None
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    is_whole: bool = False
    ended_at: float | None = None


@dataclasses.dataclass
class Run:
    """One request, as a server saw it."""

    request_id: str
    server: str
    at: float
    ended_at: float = float('inf')
    broke_off: bool = False


class Stop(typing.NamedTuple):
    """A planned stop, from the sending of its signal to the process's end."""

    host: 'Host'
    at: float
    ended_at: float
    code: int


def find_violations(requests, runs, stops):
    """Returns a description of each request that a planned stop broke.

    Args:
        requests: What the callers saw.
        runs: What the servers saw.
        stops: The planned stops.
    """
    found = []
    for stop in stops:
        end = stop.at + GRACE_S + AFTER_GRACE_S
        for request in requests:
            if (
                request.host is not stop.host
                or request.is_whole
                or request.was_refused_connection
                or request.sent_at is None
                or request.ended_at is None
                or not stop.at <= request.ended_at <= end
            ):
                continue
            own_runs = [r for r in runs if r.request_id == request.request_id]
            reason = _find_reason(request, own_runs, stop)
            if reason:
                found.append(
                    f'{request.request_id}: {reason}; sent'
                    f' {request.sent_at - stop.at:.3f} s and cut'
                    f' {request.ended_at - stop.at:.3f} s after the signal,'
                    f' status {request.status}'
                )
    return found


def _find_reason(request, runs, stop):
    """Returns why a request that was cut counts, or an empty text."""
    if not runs:
        if request.sent_by is None:
            return ''
        if request.ended_at - request.sent_by <= READ_WITHIN_S:
            return ''
        return NOT_PASSED_ON
    if any(run.broke_off for run in runs):
        return ''
    if request.ended_at >= request.began_at + request.limit_s:
        return ''
    worked_until = max(run.ended_at for run in runs)
    if (
        request.sent_at <= stop.at + EXCUSED_S
        and worked_until >= stop.at + LAST_SIXTH_S
    ):
        return ''
    return (
        f'passed on, its server was at work until'
        f' {worked_until - stop.at:.3f} s'
    )


def find_unread(requests, runs, stops):
    """Returns the requests on new connections that were closed unread.

    Connections that are open when the process is about to end don't count.
    """
    run_ids = {run.request_id for run in runs}
    return [
        f'{request.request_id}: sent {request.sent_at - stop.at:.3f} s after'
        ' the signal, closed unread'
        for stop in stops
        for request in requests
        if request.host is stop.host
        and request.is_new
        and request.sent_at is not None
        and stop.at <= request.sent_at
        and request.ended_at <= stop.ended_at - READ_WITHIN_S
        and request.status == 0
        and request.request_id not in run_ids
    ]


class TimedServer(world_lib.Server):
    """Works on each request as long as the request says, and records it.

    Attributes:
        event_s: Time between two events of a stream.
    """

    event_s = EVENT_S

    def __init__(self, name, service):
        super().__init__(name, service, self._run)
        self.runs = []
        self.state = 'ready'

    def break_off(self):
        """Ends as a killed process does."""
        for run in self.runs:
            run.broke_off |= run.ended_at == float('inf')
        self.close()
        self.drop_connections()

    async def _run(self, headers, stream):
        run = Run(headers['request-id'], self.name, trio.current_time())
        self.runs.append(run)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    fleet_lib.cancel_on_close, stream, nursery.cancel_scope
                )
                # Its host has gone, or the test has dropped its connections.
                with contextlib.suppress(
                    trio.BrokenResourceError, trio.ClosedResourceError
                ):
                    await self._work(headers, stream)
                nursery.cancel_scope.cancel()
        finally:
            run.ended_at = trio.current_time()

    async def _work(self, headers, stream):
        duration_s = float(headers['x-duration'])
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        if self.service == 'app':
            await trio.sleep(duration_s)
            await stream.send_all(world_lib.head(200, fixed, body=b'done'))
            return
        fixed.append(('Content-Type', 'text/event-stream'))
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, max(1, int(duration_s / self.event_s)) + 1):
            await trio.sleep(self.event_s)
            await stream.send_all(world_lib.chunk(world_lib.event(number)))
        await stream.send_all(b'0\r\n\r\n')


class Host:
    """A host of the product as a process."""

    def __init__(self, scene, number):
        self.name = f'host-{number}'
        self._scene = scene
        self.log = scene.folder / f'{self.name}.log'
        self.process = None
        self._choose_ports()

    def _choose_ports(self):
        self.port, self.readiness, *internal = ports.find_free(6)
        self._control, self._directory, self._beats, self._metrics = internal

    @property
    def seed(self):
        return f'{world_lib.IP}:{self._control}'

    def start(self):
        path = self._scene.folder / f'{self.name}.toml'
        path.write_text(
            process_fleet.SETTINGS.format(
                name=self.name,
                ip=world_lib.IP,
                zone='east',
                heartbeats=self._beats,
                metrics=self._metrics,
                seeds=json.dumps([h.seed for h in self._scene.hosts]),
                frontend=self.port,
                readiness=self.readiness,
                control=self._control,
                directory=self._directory,
                store=f'{world_lib.IP}:{self._scene.store_port}',
            )
            + self._scene.host_limits
        )
        self.process = self._scene.spawn(
            self.name, ['deploy/host.py'], SARDINEBEND_NODE_FILE=str(path)
        )

    @property
    def is_up(self):
        return self.process.is_up

    @property
    def pid(self):
        return self.process.pid

    def send(self, number):
        self.process.send(number)

    async def wait_ready(self):
        with trio.fail_after(START_LIMIT_S):
            while not await process_fleet.is_ok(self.readiness, '/-/readyz'):
                if not self.is_up:
                    # Other processes on the machine may take a free port.
                    text = self.log.read_text()
                    assert 'Address already in use' in text, text
                    self.log.write_text('')
                    self._choose_ports()
                    self.start()
                await trio.sleep(0.1)

    async def wait_logged(self, event):
        with trio.fail_after(START_LIMIT_S):
            while event not in self.log.read_text():
                await trio.sleep(0.01)

    async def wait_loading(self):
        """Waits until the process has begun to import its libraries."""
        with trio.fail_after(START_LIMIT_S):
            while not self._has_mapped('_ssl.'):
                await trio.sleep(0.001)

    def _has_mapped(self, name):
        return name in pathlib.Path(f'/proc/{self.pid}/maps').read_text()


class Scene:
    """Hosts with a store, servers and callers of their own.

    Attributes:
        nursery: Runs the callers.
        requests: What the callers saw.
        stops: The planned stops that have ended.
        is_reloaded_ready: Whether a host became ready that got SIGHUP at start.
        starved: What hosts had that shared their processors, by their names.
        error: Why the scene wasn't played to its end.
        host_limits: The table of limits of the hosts' settings, as text.
    """

    host_limits = ''

    def __init__(self, background, folder, host_count=1):
        self.nursery = None
        self.is_reloaded_ready = False
        self.error = None
        self._background = background
        self.folder = pathlib.Path(folder)
        self.folder.mkdir()
        self.rng = random.Random(self.folder.name)
        self.requests = []
        self.stops = []
        self.starved = {}
        self.store_port = ports.find_free(1)[0]
        self.store = None
        self._client = None
        self.servers = self._make_servers()
        self.hosts = []
        self.hosts += [Host(self, number) for number in range(host_count)]
        self._idle = []
        self._logs = contextlib.ExitStack()
        self._busy_processes = contextlib.ExitStack()
        self._processes = []

    def _make_servers(self):
        return [
            TimedServer(f'{service}-{number}', service)
            for service in ('app', 'llm')
            for number in range(3)
        ]

    def _make_config(self):
        config = make_config()
        # The service of streams is a plain one.
        config['services'][1].pop('engine')
        return config

    @property
    def runs(self):
        return [run for server in self.servers for run in server.runs]

    def spawn(self, name, arguments, **environment):
        log = self._logs.enter_context((self.folder / f'{name}.log').open('ab'))
        process = process_fleet.Process(arguments, log, **environment)
        self._processes.append(process)
        return process

    async def start(self):
        """Starts everything but the hosts."""
        self.store = self.spawn(
            'store', ['-m', 'tests.common.store_process', str(self.store_port)]
        )
        for server in self.servers:
            await server.start(self._background)
        self._client = store_client.StoreClient(
            f'http://{world_lib.IP}:{self.store_port}'
        )
        with trio.fail_after(START_LIMIT_S):
            while not await self.put_config(self._make_config()):
                await trio.sleep(0.1)
        self._background.start_soon(self._keep_listed, self._client)

    async def put_config(self, config):
        """Writes a configuration; returns whether the store has it."""
        value = json.dumps(config).encode()
        answer = await self._client.write('op', 'config', None, value)
        return answer.is_ok()

    async def start_hosts(self):
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        # The hosts' first answers come before all servers are known.
        await trio.sleep(1.5)

    async def _keep_listed(self, client):
        sequence = 3
        while True:
            sequence += 1
            for server in self.servers:
                entry = server.entry(
                    sequence=sequence, slots=500, state=server.state
                )
                value = json.dumps(entry).encode()
                await client.write('servers', server.name, None, value)
            await trio.sleep(1.0)

    async def stop(self, host, late_s=0.0, has_long_streams=True):
        """Sends SIGTERM and waits for the end.

        Args:
            host: The host that stops.
            late_s: How long the process is suspended from the signal on.
            has_long_streams: Whether streams that outlast the stop are sent
                when the host is about to refuse requests.
        """
        at = trio.current_time()
        if has_long_streams:
            self.nursery.start_soon(self._send_long_streams, host, at)
        if late_s:
            host.send(signal.SIGSTOP)
        host.send(signal.SIGTERM)
        if late_s:
            await trio.sleep(late_s)
            host.send(signal.SIGCONT)
        await self._wait_end(host, at)
        code = host.process._child.returncode
        self.stops.append(Stop(host, at, trio.current_time(), code))

    async def _wait_end(self, host, stopped_at):
        with trio.fail_after(END_LIMIT_S):
            while host.is_up:
                await trio.sleep(0.01)

    async def _send_long_streams(self, host, stopped_at):
        await trio.sleep_until(stopped_at + LONG_STREAMS_FROM_S)
        while trio.current_time() < stopped_at + LONG_STREAMS_TO_S:
            self.nursery.start_soon(self.ask, host, 'draft', LONG_S)
            await trio.sleep(LONG_STREAMS_INTERVAL_S)

    async def send_steadily(self, hosts, interval_s=0.06):
        """Sends streams and plain requests until all these hosts have ended.

        They come on new and on kept connections.
        """
        while any(host.is_up for host in hosts):
            host = self.rng.choice(hosts)
            kind, duration_s = 'look', self.rng.choice(PLAIN_DURATIONS_S)
            if self.rng.random() < 0.7:
                kind = 'draft'
                duration_s = self.rng.choice(STREAM_DURATIONS_S)
            framing = self.rng.choice(('length', 'chunked'))
            self.nursery.start_soon(
                self._send_from_pool, host, kind, duration_s, framing
            )
            await trio.sleep(interval_s)

    async def _send_from_pool(self, host, kind, duration_s, framing):
        stream = None
        oldest = trio.current_time() - REUSE_LIMIT_S
        for item in list(self._idle):
            # Another request may have taken it while one was being closed.
            is_usable = item[0] is host and item in self._idle
            if is_usable and self.rng.random() < 0.7:
                self._idle.remove(item)
                if item[2] >= oldest:
                    stream = item[1]
                    break
                await trio.aclose_forcefully(item[1])
        _, stream = await self.ask(host, kind, duration_s, framing, stream)
        if stream is not None:
            self._idle.append((host, stream, trio.current_time()))

    async def come_back(self, host, slow_s=0.0):
        """Asks on a new connection as soon as the last one has answered.

        Goes on until the host has ended.
        """
        while host.is_up:
            request, stream = await self.ask(
                host, 'look', 0.05, 'chunked', slow_s=slow_s
            )
            if stream is not None:
                await trio.aclose_forcefully(stream)
            if request.was_refused_connection:
                await trio.sleep(0.02)

    async def ask(
        self,
        host,
        kind='draft',
        duration_s=1.0,
        framing='length',
        stream=None,
        slow_s=0.0,
        **headers,
    ):
        """Sends one request; returns it, and its connection if that is kept.

        Args:
            host: The host that is asked.
            kind: The name of a route.
            duration_s: How long the server works.
            framing: `length` or `chunked`.
            stream: A kept connection.
            slow_s: Time between the first and the last byte of the request.
            **headers: Further headers.
        """
        limit_s = PLAIN_LIMIT_S if kind == 'look' else STREAM_LIMIT_S
        request = Request(
            f'r{len(self.requests)}', host, duration_s, limit_s, stream is None
        )
        request.began_at = trio.current_time()
        self.requests.append(request)
        data = _make_request(request, kind, framing, headers)
        try:
            if stream is None:
                stream = await trio.open_tcp_stream(world_lib.IP, host.port)
        except OSError:
            request.was_refused_connection = True
            request.ended_at = trio.current_time()
            return request, None
        is_kept = False
        with trio.move_on_after(limit_s + 1):
            await _send(request, stream, data, slow_s)
            answer = await world_lib.read_answer(stream)
            request.status, request.headers, _, request.is_whole = answer
            is_closing = request.headers.get('connection') == 'close'
            is_kept = request.is_whole and not is_closing
        request.ended_at = trio.current_time()
        if is_kept:
            return request, stream
        await trio.aclose_forcefully(stream)
        return request, None

    def add_busy_processes(self, host, count):
        """Lets a host share its processor with processes that never wait."""
        starved = self._busy_processes.enter_context(
            starving.starved(host.process, count)
        )
        self.starved[host.name] = starved
        self._background.start_soon(starved.keep_sampling)

    def end_busy_processes(self):
        """Ends the processes that shared a host's processor."""
        self._busy_processes.close()

    def close(self):
        """Kills every process that was started."""
        self.end_busy_processes()
        for process in self._processes:
            process.kill()
        self._logs.close()

    @property
    def violations(self):
        return find_violations(self.requests, self.runs, self.stops)

    @property
    def unread(self):
        return find_unread(self.requests, self.runs, self.stops)


def make_config():
    """Returns a configuration whose streams may last longer than a stop."""
    config = world_lib.make_config()
    for route in config['routes']:
        if route['name'] == 'draft':
            route['timeout_ms'] = int(STREAM_LIMIT_S * 1000)
            quick = {**route, 'name': 'quick', 'prefix': '/quick/'}
    config['routes'].append(quick)
    return config


def _make_request(request, kind, framing, headers):
    body = b'b' * 20
    data = world_lib.make_request(
        f'/{kind}/x',
        'POST',
        body if framing == 'length' else b'',
        request_id=request.request_id,
        deadline_ms=str(int(request.limit_s * 1000)),
        x_duration=str(request.duration_s),
        **({'transfer_encoding': 'chunked'} if framing == 'chunked' else {}),
        **headers,
    )
    if framing == 'chunked':
        data += world_lib.chunk(body[:7]) + world_lib.chunk(body[7:])
        data += b'0\r\n\r\n'
    return data


async def _send(request, stream, data, slow_s):
    """Sends a request; if it is slow, its head first and then byte by byte."""
    # A host may close a kept connection meanwhile, or answer and then close.
    with contextlib.suppress(trio.BrokenResourceError):
        if slow_s:
            start = data.index(b'\r\n\r\n') + 4
            await stream.send_all(data[:start])
            for number in range(start, len(data) - 1):
                await trio.sleep(slow_s / (len(data) - start))
                await stream.send_all(data[number : number + 1])
            data = data[-1:]
        request.sent_at = trio.current_time()
        await stream.send_all(data)
        request.sent_by = trio.current_time()


async def play_scenes(scene_class, batch, folder):
    """Returns scenes that were played beside each other, by their function.

    Args:
        scene_class: The class of the scenes.
        batch: For each scene its function and its number of hosts.
        folder: Where the scenes keep their files.
    """
    scenes = {}
    async with trio.open_nursery() as nursery:
        for act, host_count in batch:
            nursery.start_soon(
                _play, scene_class, act, host_count, folder, scenes
            )
    return scenes


async def _play(scene_class, act, host_count, folder, scenes):
    async with trio.open_nursery() as background:
        scene = scene_class(background, folder / act.__name__, host_count)
        scenes[act] = scene
        try:
            await scene.start()
            async with trio.open_nursery() as scene.nursery:
                await act(scene)
        except Exception as exc:
            # The other scenes of the batch go on.
            scene.error = exc
        finally:
            scene.close()
        background.cancel_scope.cancel()
