"""A fleet of real programs and stand-ins, each in a process of its own.

Hosts are `deploy/host.py` with settings as the platform writes them. Faults are
signals, and a proxy between each host and the store.
"""

import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import trio

from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from standins import ports
from tests.common import gateway_world as world_lib
from tests.soak import fleet as fleet_lib

ROOT = pathlib.Path(__file__).parents[2]
IP = '127.0.0.1'
READY_S = 20.0
POLL_INTERVAL_S = 0.2
END_POLL_INTERVAL_S = 0.01
# From such a delay of the soak itself on, its callers judge no answer as late.
OWN_INTERVAL_S = 0.1
OWN_DELAY_S = 0.5
# A server that a request has crashed runs again, and is known, by then.
CRASH_KNOWN_S = 8.0
# Of the internal ports, the first receives heartbeats, the last serves metrics.
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{heartbeats}, {metrics}]
seeds = {seeds}
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[bounds]
revoke_ms = 5000
config_apply_ms = 2000
grace_s = 8
[platform]
address = "{store}"
"""


class Process:
    """A child process; signals go to its process id only."""

    def __init__(self, arguments, log, **environment):
        path = os.pathsep.join(
            [str(ROOT), str(ROOT / 'platform'), *sys.path[1:]]
        )
        self._child = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': path, **environment},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.pid = self._child.pid

    @property
    def is_up(self):
        return self._child.poll() is None

    def send(self, number):
        if self.is_up:
            self._child.send_signal(number)

    def kill(self):
        """Kills it and waits for its end, while all tasks stand still."""
        self._send_kill()
        self._child.wait()

    async def end(self):
        """Kills it and waits for its end, while other tasks go on.

        On a processor with many others, the end may take long.
        """
        self._send_kill()
        while self.is_up:
            await trio.sleep(END_POLL_INTERVAL_S)

    def _send_kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)


class StoreProxy:
    """A proxy between a host and the store, which can be made faulty.

    Attributes:
        mode: `open`, `slow`, `silent` or `reset`.
    """

    def __init__(self, nursery, port, target):
        self.mode = 'open'
        self.port = port
        self._nursery = nursery
        self._target = target
        self._streams = set()

    async def start(self):
        await self._nursery.start(trio.serve_tcp, self._serve, self.port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'reset':
            for stream in list(self._streams):
                world_lib.reset(stream)
                stream.socket.close()

    async def _serve(self, near):
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            if self.mode == 'reset':
                world_lib.reset(near)
                return
            async with await trio.open_tcp_stream(IP, self._target) as far:
                self._streams |= {near, far}
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, near, far, nursery)
                    nursery.start_soon(self._pump, far, near, nursery)
        self._streams.discard(near)

    async def _pump(self, source, sink, nursery):
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while data := await source.receive_some(65536):
                while self.mode == 'silent':
                    await trio.sleep(0.05)
                if self.mode == 'slow':
                    await trio.sleep(0.2)
                await sink.send_all(data)
        nursery.cancel_scope.cancel()


class Worker:
    """A stand-in server and its current process.

    Attributes:
        born: The number of its starts.
    """

    def __init__(self, fleet, name, service, zone, span):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.span = span
        self.born = 0
        self.port = ports.find_free(1)[0]
        self.address = f'{IP}:{self.port}'
        self.process = None
        self.is_leaving = False
        self.pauses = []
        # By `born`.
        self.process_ends = {}

    def can_fall_silent(self):
        return self.process.is_up and not self.is_leaving

    async def keep_silent(self, duration_s):
        process = self.process
        process.send(signal.SIGSTOP)
        await trio.sleep(duration_s)
        process.send(signal.SIGCONT)

    async def kill(self):
        """Kills its process."""
        await self.process.end()
        self.record_process_end()

    def record_process_end(self):
        """Records that its process has ended."""
        self.process_ends[self.born] = trio.current_time()

    def start(self):
        """Starts its process, unless another fault has done so already."""
        if self.process is not None and self.process.is_up:
            return
        self.born += 1
        self.is_leaving = False
        cfg = {
            'name': self.name,
            'service': self.service,
            'zone': self.zone,
            'span': self.span,
            'born': self.born,
            'port': self.port,
            'seed': self.fleet.rng.getrandbits(32),
            'store': f'http://{IP}:{self.fleet.store_port}',
            'book': str(self.fleet.folder / f'{self.name}.book'),
        }
        self.process = self.fleet.spawn(
            self.name, ['-m', 'tests.soak.worker_process', json.dumps(cfg)]
        )


class Host:
    """One host of the product and its current process."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f'host-{number}'
        self.zone = fleet_lib.DOMAINS[number % len(fleet_lib.DOMAINS)]
        free_ports = ports.find_free(4)
        self.frontend, self.readiness, self.control, self.directory = free_ports
        self.heartbeats = ports.find_free(1)[0]
        self.metrics = ports.find_free(1)[0]
        store_port = ports.find_free(1)[0]
        self.proxy = StoreProxy(fleet.nursery, store_port, fleet.store_port)
        self.process = None
        self.pauses = []
        self.is_stopping = False
        self._ready = False
        # Callers connect through `host.world`, as with the hosts of `fleet`.
        self.world = self

    @property
    def is_up(self):
        return self.process is not None and self.process.is_up

    def is_ready(self):
        return self.is_up and self._ready

    async def connect(self):
        return await trio.open_tcp_stream(IP, self.frontend)

    def start(self):
        if self.is_up:
            return
        self._ready = False
        path = self.fleet.folder / f'{self.name}.toml'
        seeds = [f'{IP}:{h.control}' for h in self.fleet.hosts[:3]]
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=IP,
                zone=self.zone,
                heartbeats=self.heartbeats,
                metrics=self.metrics,
                seeds=json.dumps(seeds),
                frontend=self.frontend,
                readiness=self.readiness,
                control=self.control,
                directory=self.directory,
                store=f'{IP}:{self.proxy.port}',
            )
        )
        self.process = self.fleet.spawn(
            self.name, ['deploy/host.py'], SARDINEBEND_NODE_FILE=str(path)
        )

    async def poll_readiness(self):
        """Polls whether the host is ready, as the platform does."""
        while True:
            self._ready = await is_ok(self.readiness, '/-/readyz')
            await trio.sleep(POLL_INTERVAL_S)


async def is_ok(port, path):
    origin = connections.Origin(f'http://{IP}:{port}')
    try:
        reply = await origin.exchange(
            'GET', path, timeout_s=1.0, new_connection=True
        )
    except store_errors.PlatformError:
        return False
    finally:
        await origin.close()
    return reply.status == 200


class ProcessFleet(fleet_lib.Disturbances):
    """All components and records of one soak over processes.

    It has the attributes of `fleet.Fleet` that the checks use.
    """

    def __init__(self, nursery, seed, hosts, engines):
        super().__init__()
        self.is_ending = False
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.stream_rng = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        self.log = []
        self.requests = []
        self.runs = []
        self.fatal_runs = []
        self.fatal_contents = set()
        self.fatal_parts = set()
        self.planned_stops = []
        self.idle_connections = {}
        self.departures = []
        self.revoked_keys = {}
        self.ended_at = 0.0
        self.unready_at_end = []
        self.leftover_shares = []
        self.keys = {world_lib.KEY: None}
        self.config = world_lib.make_config()
        self.store_port = ports.find_free(1)[0]
        self.workers = {}
        for number, zone in enumerate(fleet_lib.DOMAINS):
            self._add_worker(f'app-{number}', 'app', zone, None)
        for number in range(engines):
            zone = fleet_lib.DOMAINS[number // 2 % len(fleet_lib.DOMAINS)]
            span = ((0, 2), (2, 4))[number % 2]
            self._add_worker(f'engine-{number}', 'llm', zone, span)
        self.hosts = []
        for number in range(hosts):
            self.hosts.append(Host(self, number))
        self._processes = []
        self._logs = contextlib.ExitStack()
        self.store = None
        # Workers record times of the machine's monotonic clock.
        self._clock_shift = trio.current_time() - time.monotonic()

    def _add_worker(self, name, service, zone, span):
        self.workers[name] = Worker(self, name, service, zone, span)

    def spawn(self, name, arguments, **environment):
        log = self._logs.enter_context((self.folder / f'{name}.log').open('ab'))
        process = Process(arguments, log, **environment)
        self._processes.append(process)
        return process

    async def watch_own_delays(self):
        """Marks times in which the callers stood still, which see all late."""
        while True:
            before = trio.current_time()
            await trio.sleep(OWN_INTERVAL_S)
            now = trio.current_time()
            if now - before > OWN_INTERVAL_S + OWN_DELAY_S:
                self.add_log(
                    f'the soak itself stood still {now - before:.1f} s'
                )
                for host in self.hosts:
                    host.pauses.append([before, now])

    async def start(self):
        self.nursery.start_soon(self.watch_own_delays)
        self.store = self.spawn(
            'store', ['-m', 'tests.common.store_process', str(self.store_port)]
        )
        with trio.fail_after(READY_S):
            while not await self.put_config():
                await trio.sleep(0.1)
        for worker in self.workers.values():
            worker.start()
        for host in self.hosts:
            await host.proxy.start()
            host.start()
            self.nursery.start_soon(host.poll_readiness)
        with trio.fail_after(READY_S):
            while not all(host.is_ready() for host in self.hosts):
                await trio.sleep(0.1)
        await trio.sleep(2.5)

    async def put_config(self):
        from sardinebend_adapter import store_client  # noqa: PLC0415

        client = store_client.StoreClient(f'http://{IP}:{self.store_port}')
        value = json.dumps(self.config).encode()
        answer = await client.write('op', 'config', None, value)
        await client.close()
        return answer.is_ok()

    def was_running(self, host, start, end):
        return not any(
            started < end and ended > start for started, ended in host.pauses
        )

    def has_begun(self, request_id):
        """Returns whether a server has begun a request."""
        text = json.dumps({'request_id': request_id}).strip('{}')
        return any(
            text in (self.folder / f'{name}.book').read_text()
            for name in self.workers
        )

    def read_records(self):
        """Reads what the workers recorded."""
        for name in self.workers:
            open_runs = {}
            path = self.folder / f'{name}.book'
            for line in path.read_text().splitlines():
                self._add_record(json.loads(line), open_runs)
        for run in self.runs:
            if run.ended_at is None:
                # It was cut off by the end of its process.
                run.is_sound = False
                run.ended_at = self._find_process_end(run)
        for crash in self.fatal_runs:
            window = [crash.at, crash.at + CRASH_KNOWN_S]
            address = self.workers[crash.server].address
            self.server_failures.append((address, window))

    def _find_process_end(self, run):
        """Returns when the process of a run ended; `None` if it didn't."""
        worker = self.workers[run.server]
        ends = [
            crash.at
            for crash in self.fatal_runs
            if crash.server == run.server and crash.at >= run.at
        ]
        if run.born in worker.process_ends:
            ends.append(worker.process_ends[run.born])
        return min(ends, default=None)

    def _add_record(self, data, open_runs):
        kind = data.pop('kind')
        data['at'] += self._clock_shift
        if kind == 'fatal':
            data['content'] = data['content'].encode()
            self.fatal_runs.append(fleet_lib.FatalRun(**data))
            return
        if data['ended_at'] is not None:
            data['ended_at'] += self._clock_shift
        run = fleet_lib.Run(**data)
        if kind == 'run':
            open_runs[run.request_id] = run
            self.runs.append(run)
        else:
            vars(open_runs[run.request_id]).update(vars(run))

    def close(self):
        """Kills every process that was started."""
        for process in self._processes:
            process.kill()
        self._logs.close()
