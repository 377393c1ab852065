"""Six hosts that stop in turn, before engines with layers.

Hosts and store are processes, as in `stopping_host`; callers and servers run
in the test's process. A host that outlasts its grace period is killed, as the
platform does.
"""

import contextlib
import json
import signal
import time
import typing

import trio

from sardinebend_gateway import calls
from tests.common import stopping_host
from tests.soak import fleet as fleet_lib

HOSTS: typing.Final = 6
ENGINES: typing.Final = 8
PLAIN_SERVERS: typing.Final = 3
PLAIN_STREAMS: typing.Final = 'feed'
# Each path has two parts.
SPANS: typing.Final = ((0, 2), (2, 4))
EVENT_S: typing.Final = 0.1
# Streams that come steadily; few last long, so that a host predicts short
# ones.
USUAL_DURATIONS_S: typing.Final = (1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0)
LONG_DURATIONS_S: typing.Final = (6.0, 7.0, 8.0)
LONG_SHARE: typing.Final = 0.08
STREAM_SHARE: typing.Final = 0.7
# Routes to the engines and to the plain servers.
STREAM_KINDS: typing.Final = ('draft', 'quick')
# Share of the requests that go to the host that is about to stop.
NEXT_SHARE: typing.Final = 0.6
SEND_INTERVAL_S: typing.Final = 0.05
# Streams sent when a host that learns late of its stop may still begin them.
LATE_STREAMS_FROM_S: typing.Final = 2.9
LATE_STREAMS_TO_S: typing.Final = 4.5
LATE_STREAMS_INTERVAL_S: typing.Final = 0.06
LATE_DURATIONS_S: typing.Final = (5.0, 6.0, 7.0, 8.0)
# Time with requests before the first signal, and between two of them.
BEFORE_S: typing.Final = 3.0
# Requests may end for this long once no more come; the rule of the last planned
# stop no longer holds then.
LAST_STREAMS_S: typing.Final = 1.5
# Verdicts this long after a pause may come from it.
PAUSE_EFFECT_S: typing.Final = 4.0
LATENESS_TICK_S: typing.Final = 0.02
# Shorter delays of the test's own process aren't kept.
MIN_OWN_DELAY_S: typing.Final = 0.02
# A host that is on time asks an engine this long before it doubts it.
SILENCE_S: typing.Final = calls.REPORT_TIMEOUT_S
# Servers that were held up for this share of that time were silent themselves.
SILENT_SHARE: typing.Final = 2 / 3
UNANSWERED: typing.Final = 'report request unanswered'
# The log's name of a stall that no failure explains.
STALLED: typing.Final = 'stalled without a known cause'
# Lines of what became of a host, and the fields that are shown of any line.
HOST_EVENTS: typing.Final = (
    'host_stopping',
    'host_stopped',
    'host_delayed',
    'connection_reset',
    'lines_dropped',
)
SHOWN_FIELDS: typing.Final = (
    'time',
    'endpoint',
    'peer',
    'is_leaving',
    'attempt',
    'status',
    'end',
    'reason',
    'then',
    'took_s',
    'arrived_after_stop_s',
    'cut_after_stop_s',
    'in_flight',
    'cut',
    'after_s',
    'delay_s',
    'signal_late_s',
    'unread_bytes',
)
# A line beginning with this is a log line.
LINE_START: typing.Final = '{'


class Pause(typing.NamedTuple):
    """A time for which a host was suspended.

    `wall_at` is its begin by the clock of the log.
    """

    host: stopping_host.Host
    at: float
    ended_at: float
    wall_at: float
    wall_ended_at: float


class Delay(typing.NamedTuple):
    """A time for which the test's own process, with its servers, was held up.

    Its end is by the clock of the log.
    """

    wall_ended_at: float
    delay_s: float


class PlainServer(stopping_host.TimedServer):
    """A server that serves requests and streams by itself."""

    event_s = EVENT_S
    # A host that has been suspended connects to it many times at once.
    backlog = 500


class Engine(PlainServer):
    """An engine with layers; only a path of several can serve a stream.

    Attributes:
        paths: The paths of the streams that it serves, by request id.
        past_paths: The paths of all streams that it was asked for.
    """

    def __init__(self, name, service, span):
        super().__init__(name, service)
        self.span = span
        self.paths = {}
        self.past_paths = []

    def take_order(self, order):
        if order['operation'] == 'repath' and order['id'] in self.paths:
            self.paths[order['id']] = fleet_lib.read_path(order['path'])
            return 202
        return 409

    async def _run(self, headers, stream):
        request_id = headers['request-id']
        path = fleet_lib.read_path(headers['hop-count'])
        self.paths[request_id] = path
        self.past_paths.append(path)
        try:
            await super()._run(headers, stream)
        finally:
            self.paths.pop(request_id, None)


class LayeredScene(stopping_host.Scene):
    """Six hosts, engines with layers, plain services, store and callers.

    Streams run at engines (route `draft`) and at plain servers (`quick`).

    Attributes:
        pauses: The times for which hosts were suspended.
        lines: The log lines of each host, by its name; read by `close`.
        own_delay_s: The longest time for which the test's own process was
            held up.
        own_delays: The times for which it was held up.
    """

    engine_class = Engine
    plain_class = PlainServer

    def __init__(self, background, folder, host_count):
        super().__init__(background, folder, host_count)
        self.pauses = []
        self.lines = {}
        self.own_delay_s = 0.0
        self.own_delays = []
        self._is_over = False
        self._next_host = self.hosts[0]

    def _make_servers(self):
        engines = [
            self.engine_class(
                f'llm-{number}', 'llm', SPANS[number % len(SPANS)]
            )
            for number in range(ENGINES)
        ]
        plain = [
            self.plain_class(f'{service}-{number}', service)
            for service in ('app', PLAIN_STREAMS)
            for number in range(PLAIN_SERVERS)
        ]
        return engines + plain

    def _make_config(self):
        config = stopping_host.make_config()
        plain = {'name': PLAIN_STREAMS, 'health_path': '/healthz'}
        config['services'].append(plain)
        for route in config['routes']:
            if route['name'] == 'quick':
                route['service'] = PLAIN_STREAMS
        return config

    async def start_hosts(self):
        self._background.start_soon(self._measure_own_delay)
        await super().start_hosts()

    async def _measure_own_delay(self):
        while True:
            at = trio.current_time()
            await trio.sleep(LATENESS_TICK_S)
            delay_s = trio.current_time() - at - LATENESS_TICK_S
            self.own_delay_s = max(self.own_delay_s, delay_s)
            if delay_s >= MIN_OWN_DELAY_S:
                self.own_delays.append(Delay(_wall_now(), delay_s))

    def _own_delay_before(self, wall_at):
        """Returns for how long the servers were held up right before a time."""
        return sum(
            max(
                0.0,
                min(wall_at, delay.wall_ended_at)
                - max(wall_at - SILENCE_S, delay.wall_ended_at - delay.delay_s),
            )
            for delay in self.own_delays
        )

    @contextlib.asynccontextmanager
    async def with_requests(self):
        """Sends requests steadily to all hosts, and lets them end."""
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self._send_until_over)
            await trio.sleep(BEFORE_S)
            yield
            self._is_over = True
            self.nursery.cancel_scope.deadline = (
                trio.current_time() + LAST_STREAMS_S
            )

    async def _send_until_over(self):
        while not self._is_over:
            host = self.rng.choice(self.hosts)
            if self.rng.random() < NEXT_SHARE:
                host = self._next_host
            kind = 'look'
            duration_s = self.rng.choice(stopping_host.PLAIN_DURATIONS_S)
            if self.rng.random() < STREAM_SHARE:
                kind = self.rng.choice(STREAM_KINDS)
                is_long = self.rng.random() < LONG_SHARE
                duration_s = self.rng.choice(
                    LONG_DURATIONS_S if is_long else USUAL_DURATIONS_S
                )
            framing = self.rng.choice(('length', 'chunked'))
            self.nursery.start_soon(
                self._send_from_pool, host, kind, duration_s, framing
            )
            await trio.sleep(SEND_INTERVAL_S)

    async def stop_in_turn(self, hosts, stop):
        """Stops hosts one after another and starts each again.

        Args:
            hosts: The hosts that stop.
            stop: Async function that stops one host and waits for its end.
        """
        for host in hosts:
            self._next_host = host
            if self.stops:
                await trio.sleep(BEFORE_S)
            await stop(host)
            host.start()
            await host.wait_ready()

    async def pause_next(self, host, duration_s):
        """Suspends a host's process after a time with more requests for it."""
        self._next_host = host
        await trio.sleep(BEFORE_S)
        await self.pause(host, duration_s)

    async def pause(self, host, duration_s):
        """Suspends a host's process for a time."""
        at, wall_at = trio.current_time(), _wall_now()
        host.send(signal.SIGSTOP)
        await trio.sleep(duration_s)
        host.send(signal.SIGCONT)
        self.pauses.append(
            Pause(host, at, trio.current_time(), wall_at, _wall_now())
        )

    async def _wait_end(self, host, stopped_at):
        """Waits for the end of a process; kills it after its grace period."""
        with trio.move_on_at(stopped_at + stopping_host.GRACE_S):
            while host.is_up:
                await trio.sleep(0.01)
            return
        host.send(signal.SIGKILL)
        await super()._wait_end(host, stopped_at)

    async def _send_long_streams(self, host, stopped_at):
        await trio.sleep_until(stopped_at + LATE_STREAMS_FROM_S)
        while trio.current_time() < stopped_at + LATE_STREAMS_TO_S:
            kind = self.rng.choice(STREAM_KINDS)
            duration_s = self.rng.choice(LATE_DURATIONS_S)
            self.nursery.start_soon(
                self._send_from_pool, host, kind, duration_s, 'length'
            )
            await trio.sleep(LATE_STREAMS_INTERVAL_S)

    def lists_paths_of_layers(self):
        """Returns whether the engines have run streams along whole paths."""
        return any(
            len(path) == len(SPANS)
            for server in self.servers
            for path in getattr(server, 'past_paths', ())
        )

    def close(self):
        super().close()
        self.lines = {host.name: _read_lines(host.log) for host in self.hosts}

    @property
    def broken_off(self):
        """Descriptions of the sound streams that were broken off.

        Those of a stopping host are left out: they are judged by the rule of
        planned stops.
        """
        return [
            f'{request.request_id}: at {request.host.name}, cut'
            f' {request.ended_at - request.sent_at:.3f} s after it was sent,'
            f' status {request.status}'
            for request in self.requests
            if self._is_broken_off(request)
        ]

    def _is_broken_off(self, request):
        if request.is_whole or None in (request.sent_at, request.ended_at):
            return False
        if request.ended_at >= request.began_at + request.limit_s:
            return False
        end_s = stopping_host.GRACE_S + stopping_host.AFTER_GRACE_S
        if any(
            stop.host is request.host
            and stop.at <= request.ended_at <= stop.at + end_s
            for stop in self.stops
        ):
            return False
        runs = [r for r in self.runs if r.request_id == request.request_id]
        return bool(runs) and not any(run.broke_off for run in runs)

    @property
    def lost(self):
        """Descriptions of requests passed on that a planned stop lost."""
        return [
            text
            for text in self.violations
            if stopping_host.NOT_PASSED_ON not in text
        ]

    @property
    def unanswered(self):
        """Descriptions of the other requests that a planned stop lost."""
        kept = {r.request_id for r in self.requests if not r.is_new}
        return [
            f'{text}, on a {"kept" if _find_id(text) in kept else "new"}'
            ' connection'
            for text in self.violations
            if stopping_host.NOT_PASSED_ON in text
        ]

    def find_rash(self, event):
        """Returns what hosts said of sound engines and peers after a pause.

        All engines of a scene are sound. Only a host that was suspended itself
        must not take another one for lost. An unanswered report of an engine
        doesn't count if the servers were held up meanwhile: it is true then.

        Args:
            event: The name of the log lines.
        """
        return [
            f'{name}, {line["time"] - pause.wall_ended_at:.3f} s after the'
            f' pause of {pause.host.name}, the servers held up for'
            f' {self._own_delay_before(line["time"]):.3f} s of the last'
            f' {SILENCE_S} s: {_show(line)}'
            for pause, name, line in self._list_after_pauses(event)
            if not self._is_true_doubt(line)
            and (event != 'peer_lost' or name == pause.host.name)
            and not line.get('is_leaving')
            and (event != 'attempt_failed' or STALLED in line['reason'])
        ]

    def list_true_doubts(self):
        """Returns what hosts said of engines that were held up themselves."""
        return [
            f'{name}: the servers were held up for'
            f' {self._own_delay_before(line["time"]):.3f} s of the last'
            f' {SILENCE_S} s: {_show(line)}'
            for _, name, line in self._list_after_pauses('endpoint_doubted')
            if self._is_true_doubt(line)
        ]

    def _list_after_pauses(self, event):
        return [
            (pause, name, line)
            for pause in self.pauses
            for name, lines in self.lines.items()
            for line in lines
            if line['event'] == event
            and pause.wall_at
            <= line['time']
            <= pause.wall_ended_at + PAUSE_EFFECT_S
        ]

    def _is_true_doubt(self, line):
        """Returns whether the servers were silent when a host doubted one."""
        return (
            line['event'] == 'endpoint_doubted'
            and line['reason'] == UNANSWERED
            and self._own_delay_before(line['time']) >= SILENT_SHARE * SILENCE_S
        )

    def explain(self, descriptions):
        """Returns descriptions, each with the hosts' lines of its request."""
        explained = []
        for text in descriptions:
            request_id = _find_id(text)
            lines = [
                f'{name}: {_show(line)}'
                for name, own_lines in self.lines.items()
                for line in own_lines
                if line.get('request') == request_id
            ]
            explained.append('; '.join((text, *(lines or ('no line',)))))
        return explained

    def list_delays(self, max_own_delay_s):
        """Returns what was held up by the machine, so that a play tells little.

        Args:
            max_own_delay_s: How long the test's own process may be held up.
        """
        found = [
            f'{name} {starved.describe()}'
            for name, starved in self.starved.items()
            if not starved.had_share
        ]
        if self.own_delay_s > max_own_delay_s:
            found.append(f'the test was held up for {self.own_delay_s:.3f} s')
        return found

    def describe(self):
        """Returns what happened to the scene's hosts, one line each."""
        return [
            f'{len(self.requests)} requests, the test was held up for'
            f' {self.own_delay_s:.3f} s at most',
            *(
                f'{stop.host.name}: ended {stop.ended_at - stop.at:.3f} s after'
                f' the signal, code {stop.code}'
                for stop in self.stops
            ),
            *(
                f'{name}: {_show(line)}'
                for name, lines in self.lines.items()
                for line in lines
                if line['event'] in HOST_EVENTS
            ),
            *(
                f'{name}: {starved.describe()}'
                for name, starved in self.starved.items()
            ),
            *self.list_true_doubts(),
        ]


def _wall_now():
    """Returns the time of the clock of the log."""
    return time.time()


def _find_id(description):
    """Returns the request id that a description begins with."""
    return description.partition(':')[0]


def _read_lines(path):
    lines = []
    for text in path.read_text().splitlines():
        if text.startswith(LINE_START):
            # The last line of a killed process may be cut short.
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(text))
    return lines


def _show(line):
    fields = (f'{k} {line[k]}' for k in SHOWN_FIELDS if k in line)
    return f'{line["event"]} ({", ".join(fields)})'
