"""A small fleet with requests that crash each server that runs them."""

import contextlib
import typing

import trio

from sardinebend_gateway import shared_table
from sardinebend_policy import quarantine
from sardinebend_store import feeds
from tests.common import gateway_world as world_lib

HOSTS: typing.Final = 3
# A crashed server restarts after this time.
RESTART_DELAY_S: typing.Final = 2.5
# An engine waits this long for a failed engine of its path, then refuses the
# request.
STALL_S: typing.Final = 3.0
# Limits promised to callers: this long after a request's third crash, all hosts
# know its quarantine. Later, it may reach servers in at most MAX_LATE_REPEATS
# more repeats.
QUARANTINE_KNOWN_S: typing.Final = 3.0
CRASHES_BEFORE_QUARANTINE: typing.Final = 3
MAX_LATE_REPEATS: typing.Final = 3
FATAL: typing.Final = b'fatal'
# Any request whose prompt has this part crashes the engines that run it. Limits
# promised to callers: this long after the fifth crash, all hosts know the part.
# Later, at most MAX_LATE_REPEATS more requests with it may reach engines.
FATAL_PART: typing.Final = 'fa7a1'
CRASHES_BEFORE_PART_QUARANTINE: typing.Final = 5


class Arrival(typing.NamedTuple):
    """A request that a server received."""

    at: float
    server: str
    request_id: str


class Worker(world_lib.Server):
    """A server, or an engine of a path, that the fatal request crashes.

    Attributes:
        is_up: Whether it is running.
        reads_for_s: How long an engine reads a fatal prompt before it crashes;
            it drops the request if the caller disconnects meanwhile.
        is_immune: Whether no request crashes it.
        born: The number of its starts.
    """

    def __init__(self, fleet, name, service, span=None):
        script = self._run_path if span else self._run_plain
        super().__init__(name, service, script)
        self.fleet = fleet
        self.span = span
        self.is_up = True
        self.reads_for_s = 0.01
        self.is_immune = False
        self.born = 1
        self.paths = {}

    def entry(self, **changes):
        return super().entry(**{'born': self.born, **changes})

    def crash(self):
        """Ends at once; the listing stays unchanged until the next start."""
        if not self.is_up:
            return
        self.is_up = False
        self.fleet.crashes.append(trio.current_time())
        self.close()
        self.drop_connections()
        self.fleet.nursery.start_soon(self._restart)

    async def _restart(self):
        await trio.sleep(RESTART_DELAY_S)
        self.born += 1
        old_name = self.name
        if self.fleet.renames:
            self.name = f'{old_name}-again'
            await self.fleet.store.write('servers', old_name, None, None)
        port = 0 if self.fleet.renames else self.port
        await self.start(self.fleet.nursery, port)
        self.is_up = True
        await self.fleet.write_listing(self)

    def _record_arrival(self, headers):
        request_id = headers['request-id']
        self.fleet.arrivals.append(
            Arrival(trio.current_time(), self.name, request_id)
        )

    async def _run_plain(self, headers, stream):
        _, target, _, body = self.requests[-1]
        if body == FATAL or FATAL.decode() in target:
            self._record_arrival(headers)
            await trio.sleep(0.01)
            self.crash()
            return None
        await trio.sleep(0.01)
        return await self.serve(headers, stream)

    async def _run_path(self, headers, stream):
        *shared_parts, _ = headers.get('prefix-hash', '').split(',')
        is_fatal = self.requests[-1][3] == FATAL or any(
            part.startswith(f'{FATAL_PART}:') for part in shared_parts
        )
        request_id = headers['request-id']
        answer_headers = [('Request-Id', request_id), world_lib.SEAL]
        path = self.fleet.read_path(headers['hop-count'])
        if not is_fatal or self.is_immune:
            pieces = [world_lib.chunk(world_lib.event(n)) for n in (1, 2, 3)]
            start = world_lib.head(200, answer_headers, 'chunked')
            return world_lib.Answer(start, 0.02, *pieces, b'0\r\n\r\n')
        self._record_arrival(headers)
        self.paths[request_id] = path
        with trio.move_on_after(self.reads_for_s):
            await stream.receive_some(1)
            return None
        # The engine of the last part reads the prompt, which crashes it.
        path[-1].crash()
        with trio.move_on_after(STALL_S):
            while self.is_up:
                failed = [p for p in self.paths[request_id] if not p.is_up]
                self.stalled = [p.address for p in failed]
                await trio.sleep(0.02)
        if not self.is_up:
            return None
        refusal_headers = [
            ('Request-Id', request_id),
            ('Not-Executed', '1'),
            ('At-Server', self.paths[request_id][-1].address),
        ]
        return world_lib.Answer(world_lib.head(503, refusal_headers))

    def take_order(self, order):
        """Runs a repaired path, which crashes the engine of its last part."""
        if order['operation'] != 'repath' or order['id'] not in self.paths:
            return 404
        path = self.fleet.read_path(order['path'])
        old = self.paths[order['id']]
        self.paths[order['id']] = path
        for part in path:
            if part not in old:
                self.fleet.arrivals.append(
                    Arrival(trio.current_time(), part.name, order['id'])
                )
        path[-1].crash()
        return 202


class Fleet:
    """Hosts with a shared store, and servers that crash.

    Attributes:
        arrivals: All arrivals of the fatal request at servers.
        crashes: Times at which servers crashed.
        renames: Whether a server restarts under another name.
    """

    def __init__(self, nursery, renames=False, **settings):
        self.nursery = nursery
        self.renames = renames
        self.settings = settings
        self.arrivals = []
        self.crashes = []
        self.store = feeds.MemoryFeeds()
        self.workers = [
            *(Worker(self, f'app-{n}', 'app') for n in range(6)),
            *(Worker(self, f'first-{n}', 'llm', (0, 2)) for n in range(3)),
            *(Worker(self, f'last-{n}', 'llm', (2, 4)) for n in range(6)),
        ]
        self.hosts = []
        self._scopes = []
        self._request_count = 0

    def read_path(self, text):
        """Returns the workers of a path."""
        by_address = {w.address: w for w in self.workers}
        return [by_address[p.partition('=')[0]] for p in text.split(',')]

    async def write_listing(self, worker):
        await world_lib.World.list_server(self, worker)

    async def start(self):
        await world_lib.World.put_config(self, world_lib.make_config())
        for worker in self.workers:
            await worker.start(self.nursery)
            await self.write_listing(worker)
        for number in range(HOSTS):
            await self.start_host(f'host-{number}')

    async def start_host(self, name, **ports):
        """Starts a host and waits until it knows the servers."""
        seeds = [h.gateway._addresses.relay.port for h in self.hosts]
        host = world_lib.World(
            self.nursery,
            (),
            seeds=seeds,
            store=self.store,
            name=name,
            **ports,
            **self.settings,
        )
        scope = trio.CancelScope()
        self.nursery.start_soon(self._run_host, host, scope)
        while not host.gateway.is_ready():
            await trio.sleep(0.005)
        self.hosts.append(host)
        self._scopes.append(scope)
        while not host.gateway.state.endpoints.names():
            await trio.sleep(0.02)
        # Leaves time for the hosts to discover each other.
        await trio.sleep(1.0)
        return host

    async def _run_host(self, host, scope):
        with scope:
            await host.gateway.run()

    async def replace_host(self, number):
        """Kills a host and starts it anew at its addresses."""
        old = self.hosts.pop(number).gateway
        self._scopes.pop(number).cancel()
        await trio.sleep(0.1)
        await self.start_host(
            old.state.cfg.name,
            relay_port=old._addresses.relay.port,
            heartbeat_port=old._addresses.heartbeats.port,
        )

    def kill_hosts(self):
        """Ends all hosts without a planned stop."""
        for scope in self._scopes:
            scope.cancel()
        self.hosts.clear()
        self._scopes.clear()

    async def restart_hosts(self, name):
        """Kills all hosts and starts others; `name` begins their names."""
        self.kill_hosts()
        await trio.sleep(1.0)
        for number in range(HOSTS):
            await self.start_host(f'{name}-{number}')

    async def read_evidence(self):
        """Returns the parts against which the store holds evidence."""
        answer = await self.store.read_all(shared_table.TABLE)
        prefix = shared_table.EVIDENCE_PREFIX + quarantine.PART_PREFIX
        return [
            row.key.removeprefix(prefix)
            for row in answer.ok_value.rows
            if row.key.startswith(prefix) and row.value is not None
        ]

    async def ask(self, target='/look/x', body=FATAL, host=None, **headers):
        """Sends one attempt of a request; returns status and headers."""
        self._request_count += 1
        if host is None:
            host = self.hosts[self._request_count % len(self.hosts)]
        answer = await host.ask(
            target,
            'POST',
            body,
            request_id=f'q{self._request_count}',
            **headers,
        )
        return answer[0], answer[1]

    async def ask_with_parts(self, *shared_parts, host=None):
        """Sends a draft that is like no other but for parts of its prompt."""
        number = self._request_count
        entries = [f'{part}:10' for part in (*shared_parts, f'e{number}')]
        return await self.ask(
            f'/draft/{number}',
            b'body %d' % number,
            host,
            prefix_hash=','.join(entries),
        )

    async def send_fatal_parts(self, times, every_s=0.6):
        """Sends different requests that share the fatal part."""
        for number in range(times):
            subject = f'5ab{number % 4}'
            self.nursery.start_soon(self.ask_with_parts, subject, FATAL_PART)
            await trio.sleep(every_s)

    async def repeat(self, target, times, every_s=0.6):
        """Sends the fatal request repeatedly, as its callers do."""
        for _ in range(times):
            self.nursery.start_soon(self.ask, target)
            await trio.sleep(every_s)

    def late_arrivals(self, crashes=CRASHES_BEFORE_QUARANTINE):
        """Returns arrivals over QUARANTINE_KNOWN_S after so many crashes."""
        if len(self.crashes) < crashes:
            return []
        known_at = self.crashes[crashes - 1] + QUARANTINE_KNOWN_S
        return [a for a in self.arrivals if a.at > known_at]


@contextlib.asynccontextmanager
async def running(renames=False, **settings):
    """Yields a running fleet; settings are those of its hosts."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, renames, **settings)
        await fleet.start()
        yield fleet
        nursery.cancel_scope.cancel()
