"""Tests of endpoints that refuse requests and send a Retry-After time."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
# Time within which the gateway must apply an answer, as callers require.
APPLY_S = 0.5
MAX_LATE = 2


class Busy(world_lib.Server):
    """Refuses everything with a Retry-After time.

    Attributes:
        retry_after: Value of the Retry-After header; `None` for no header.
        status: Status of the answers.
        is_not_run: Whether the answers state that nothing was run.
        arrivals: When requests arrived.
    """

    def __init__(
        self, name, service, retry_after='1.5', status=503, is_not_run=True
    ):
        super().__init__(name, service, self._refuse)
        self.retry_after = retry_after
        self.status = status
        self.is_not_run = is_not_run
        self.arrivals = []

    async def _refuse(self, headers, stream):
        self.arrivals.append(trio.current_time())
        fixed_headers = [('Request-Id', headers['request-id'])]
        fixed_headers.append(
            ('Not-Executed', '1') if self.is_not_run else world_lib.SEAL
        )
        if self.retry_after is not None:
            fixed_headers.append(('Retry-After', self.retry_after))
        return Answer(world_lib.head(self.status, fixed_headers))

    def count_during_backoff(self, until):
        """Returns the number of requests that arrived during the backoff."""
        first = self.arrivals[0] + APPLY_S
        return sum(
            first < at < self.arrivals[0] + until for at in self.arrivals
        )


async def ask_repeatedly(world, seconds, target='/look/x', every_s=0.05):
    """Sends requests at a fixed interval; returns all answers."""
    answers = []

    async def ask_once():
        answers.append(await world.ask(target, 'POST', b'p', model='m'))

    async with trio.open_nursery() as nursery:
        with trio.move_on_after(seconds):
            while True:
                nursery.start_soon(ask_once)
                await trio.sleep(every_s)
    return answers


@pytest.mark.parametrize('is_not_run', [True, False])
@pytest.mark.parametrize('target', ['/look/x', '/book/x'])
async def test_a_server_gets_no_requests_until_its_retry_after_time(
    target, is_not_run, clock
):
    # Guards against overloading a server that has asked for a pause.
    busy = Busy('app-1', 'app', is_not_run=is_not_run)
    async with world_lib.running(busy) as world:
        answers = await ask_repeatedly(world, 1.3, target)
        assert busy.count_during_backoff(1.5) <= MAX_LATE
        # Callers are refused at once, with Retry-After times that differ.
        refused = [a for a in answers if 'retry-after' in a[1]]
        assert len(refused) > 10
        waits = {float(a[1]['retry-after']) for a in refused}
        assert all(wait <= 1.5 * 1.5 for wait in waits)
        assert len(waits) > 5
        await trio.sleep(0.6)
        arrivals = len(busy.arrivals)
        await ask_repeatedly(world, 0.1, target)
        assert len(busy.arrivals) > arrivals


async def test_another_server_gets_the_requests_during_a_backoff(clock):
    busy = Busy('app-1', 'app')
    idle_server = world_lib.Server('app-2', 'app')
    async with world_lib.running(busy) as world:
        assert (await world.ask())[0] == 503
        await idle_server.start(world.nursery)
        await world.list_server(idle_server)
        while len(world.gateway.state.endpoints.names()) < 2:
            await trio.sleep(0.005)
        answers = await ask_repeatedly(world, 0.5)
    assert {a[0] for a in answers} == {200}
    assert len(busy.arrivals) == 1


@pytest.mark.parametrize('span', [(0, 2), (0, 4)])
async def test_an_engine_gets_nothing_until_its_retry_after_time(span, clock):
    busy = Busy('engine-0', 'llm')
    busy.span = span
    next_engine = world_lib.Server('engine-1', 'llm')
    next_engine.span = (2, 4)
    async with world_lib.running(busy, next_engine) as world:
        answers = await ask_repeatedly(world, 1.0, '/draft/x')
        assert {a[0] for a in answers} == {503}
        assert busy.count_during_backoff(1.5) <= MAX_LATE
    assert busy.orders == []


@pytest.mark.parametrize(
    'retry_after',
    ['soon', '-3', 'nan', 'inf', '1e400', '', '0', '3,5', '\xb2'],
)
async def test_an_invalid_retry_after_value_is_ignored(retry_after, clock):
    busy = Busy('app-1', 'app', retry_after)
    async with world_lib.running(busy) as world:
        for _ in range(3):
            assert (await world.ask())[0] == 503
    assert len(busy.arrivals) == 3


async def test_retry_after_of_a_429_answer_does_not_cause_a_backoff(clock):
    # 429 concerns the request; only 503 concerns the server.
    busy = Busy('app-1', 'app', status=429)
    async with world_lib.running(busy) as world:
        for _ in range(3):
            assert (await world.ask())[0] == 503
    assert len(busy.arrivals) == 3


async def test_a_very_long_backoff_ends_when_the_server_restarts(clock):
    busy = Busy('app-1', 'app', '99999999999')
    async with world_lib.running(busy) as world:
        for _ in range(3):
            status, headers, _, _ = await world.ask()
            assert status == 503
            assert float(headers['retry-after']) < 2 * 3600
        assert len(busy.arrivals) == 1
        await world.list_server(busy, born=2)
        await trio.sleep(0.2)
        await world.ask()
    assert len(busy.arrivals) == 2
