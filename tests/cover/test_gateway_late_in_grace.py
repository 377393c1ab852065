"""Requests that come late in the grace period, on the virtual clock."""

import typing

import pytest
import trio

from tests.common import gateway_world as world_lib
from tests.common import stopping_host

GRACE_S = stopping_host.GRACE_S
INTERVAL_S = 0.1
# Some requests are passed on that were sent this long after the signal.
LATE_S = 1.8
KINDS = ('look', 'book', 'draft')
METHODS = {'look': 'GET', 'book': 'POST', 'draft': 'POST'}


class Work(typing.NamedTuple):
    """What is asked of the servers.

    Attributes:
        duration_s: How long they work on it.
        limit_s: The caller's time limit.
        usual_s: How long they worked on the requests before the stop; `None`
            if there were none.
        has_layers: Whether the streams are served by engines with layers.
    """

    duration_s: float
    limit_s: float
    usual_s: float | None = None
    has_layers: bool = True


WORKS = {
    'short': Work(0.3, 2.0),
    'short, engines without layers': Work(0.3, 2.0, has_layers=False),
    'up to the end of the grace period': Work(3.9, 4.0),
    'beyond its limit': Work(5.0, 2.0),
    'no limit before the end, usually short': Work(1.0, 20.0, 0.5),
    'usually short, long now': Work(6.0, 20.0, 0.5),
    'usually as long': Work(3.0, 20.0, 3.0),
}


class Callers:
    """Sends requests and records what came of them."""

    def __init__(self, world, work):
        self.requests = []
        self._world = world
        self._work = work
        self._port = world.gateway.server.port

    async def connect(self):
        return await trio.open_tcp_stream(world_lib.IP, self._port)

    async def ask(self, kind, stream=None):
        """Sends a request, on a new connection if none is given."""
        work = self._work
        request = stopping_host.Request(
            f'{kind}-{len(self.requests)}',
            self,
            work.duration_s,
            work.limit_s,
            is_new=stream is None,
            began_at=trio.current_time(),
        )
        self.requests.append(request)
        try:
            async with stream or await self.connect() as stream:
                data = self.make(kind, request.request_id, work.duration_s)
                request.sent_at = trio.current_time()
                await stream.send_all(data)
                request.sent_by = trio.current_time()
                (
                    request.status,
                    request.headers,
                    _,
                    request.is_whole,
                ) = await world_lib.read_answer(stream, METHODS[kind])
        except OSError:
            request.was_refused_connection = request.sent_at is None
        except trio.BrokenResourceError:
            # Closed before all of the request was sent.
            pass
        request.ended_at = trio.current_time()

    async def keep(self, kind, number):
        """Returns a connection that has served a request."""
        stream = await self.connect()
        duration_s = self._work.usual_s or 0.0
        await stream.send_all(
            self.make(kind, f'kept-{kind}-{number}', duration_s)
        )
        assert (await world_lib.read_answer(stream, METHODS[kind]))[3]
        return stream

    def make(self, kind, request_id, duration_s):
        return world_lib.make_request(
            f'/{kind}/x',
            METHODS[kind],
            b'' if METHODS[kind] == 'GET' else request_id.encode(),
            request_id=request_id,
            deadline_ms=str(int(self._work.limit_s * 1000)),
            x_duration=str(duration_s),
            token_usage='10,10',
            model='m',
        )


def make_config(work):
    config = world_lib.make_config()
    config['limits']['idle_timeout_ms'] = 60000
    for route in config['routes']:
        route['timeout_ms'] = 20000
    if not work.has_layers:
        config['services'][1].pop('engine')
    return config


def make_servers(work):
    servers = [stopping_host.TimedServer(f'app-{n}', 'app') for n in range(3)]
    for number in range(3):
        server = stopping_host.TimedServer(f'llm-{number}', 'llm')
        server.span = (0, world_lib.LAYERS) if work.has_layers else None
        servers.append(server)
    return servers


# Guards against a request that a stopping host still takes and passes on, and
# whose answer it cuts off at the end.
@pytest.mark.parametrize('name', WORKS)
async def test_what_is_passed_on_late_in_the_grace_is_answered(name, clock):
    work = WORKS[name]
    servers = make_servers(work)
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, servers, grace_s=GRACE_S)
        await world.start(make_config(work))
        callers = Callers(world, work)
        kept = {kind: [] for kind in KINDS}

        async def keep(kind, number):
            kept[kind].append(await callers.keep(kind, number))

        count = round(GRACE_S / INTERVAL_S)
        async with trio.open_nursery() as opening:
            for number in range(count):
                for kind in KINDS:
                    opening.start_soon(keep, kind, number)
                await trio.sleep(INTERVAL_S / 10)
        signal_at = trio.current_time()
        world.gateway.begin_stop()
        async with trio.open_nursery() as asking:
            for number in range(count):
                for kind in KINDS:
                    asking.start_soon(callers.ask, kind)
                    asking.start_soon(callers.ask, kind, kept[kind].pop())
                await trio.sleep_until(signal_at + (number + 1) * INTERVAL_S)
        nursery.cancel_scope.cancel()
    runs = [run for server in servers for run in server.runs]
    stop = stopping_host.Stop(callers, signal_at, signal_at + GRACE_S, 0)
    requests = callers.requests
    assert stopping_host.find_violations(requests, runs, [stop]) == []
    run_ids = {run.request_id for run in runs}
    passed_on = [r for r in requests if r.request_id in run_ids]
    # Without these, nothing was tried.
    assert len(requests) == 2 * count * len(KINDS)
    for kind in KINDS:
        for is_new in (True, False):
            assert any(
                request.request_id.startswith(kind)
                and request.is_new == is_new
                and request.sent_at >= signal_at + LATE_S
                for request in passed_on
            )
