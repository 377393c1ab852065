"""Endpoints that turn requests away and name a time to come back."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
# Time for an answer to be taken in; the callers' bound.
HEARD_S = 0.5
BORNE = 2


class Busy(world_lib.Server):
    """Turns everything away and names a time.

    Attributes:
        says: The time, as it stands in the header.
        seen: When requests, reports and orders came.
    """

    def __init__(self, name, service, says='1.5', status=503, not_run=True):
        super().__init__(name, service, self._refuse)
        self.says = says
        self.status = status
        self.not_run = not_run
        self.seen = []

    async def _refuse(self, headers, stream):
        self.seen.append(trio.current_time())
        fixed = [('Request-Id', headers['request-id'])]
        fixed.append(('Not-Executed', '1') if self.not_run else world_lib.SEAL)
        if self.says is not None:
            fixed.append(('Retry-After', self.says))
        return Answer(world_lib.head(self.status, fixed))

    def count_late(self, until):
        """Returns what came while nothing was wanted."""
        first = self.seen[0] + HEARD_S
        return sum(first < at < self.seen[0] + until for at in self.seen)


async def ask_for(world, seconds, target='/look/x', every_s=0.05):
    """Asks again and again; returns all answers."""
    answers = []

    async def one():
        answers.append(await world.ask(target, 'POST', b'p', model='m'))

    async with trio.open_nursery() as nursery:
        with trio.move_on_after(seconds):
            while True:
                nursery.start_soon(one)
                await trio.sleep(every_s)
    return answers


@pytest.mark.parametrize('not_run', [True, False])
@pytest.mark.parametrize('target', ['/look/x', '/book/x'])
async def test_a_server_that_names_a_time_gets_nothing_until_then(
    target, not_run, clock
):
    # Guards against overloading a server that has asked to be left alone.
    busy = Busy('app-1', 'app', not_run=not_run)
    async with world_lib.running(busy) as world:
        answers = await ask_for(world, 1.3, target)
        assert busy.count_late(1.5) <= BORNE
        # A caller is told at once when to come back, not all the same time.
        refused = [a for a in answers if 'retry-after' in a[1]]
        assert len(refused) > 10
        waits = {float(a[1]['retry-after']) for a in refused}
        assert all(wait <= 1.5 * 1.5 for wait in waits)
        assert len(waits) > 5
        await trio.sleep(0.6)
        seen = len(busy.seen)
        await ask_for(world, 0.1, target)
        assert len(busy.seen) > seen


async def test_another_server_takes_the_work_meanwhile(clock):
    busy = Busy('app-1', 'app')
    other = world_lib.Server('app-2', 'app')
    async with world_lib.running(busy) as world:
        assert (await world.ask())[0] == 503
        await other.start(world.nursery)
        await world.list_server(other)
        while len(world.gateway.state.endpoints.names()) < 2:
            await trio.sleep(0.005)
        answers = await ask_for(world, 0.5)
    assert {a[0] for a in answers} == {200}
    assert len(busy.seen) == 1


@pytest.mark.parametrize('span', [(0, 2), (0, 4)])
async def test_an_engine_that_names_a_time_gets_nothing_until_then(span, clock):
    busy = Busy('engine-0', 'llm')
    busy.span = span
    rest = world_lib.Server('engine-1', 'llm')
    rest.span = (2, 4)
    async with world_lib.running(busy, rest) as world:
        answers = await ask_for(world, 1.0, '/draft/x')
        assert {a[0] for a in answers} == {503}
        assert busy.count_late(1.5) <= BORNE
    assert busy.orders == []


@pytest.mark.parametrize(
    'says',
    ['soon', '-3', 'nan', 'inf', '1e400', '', '0', '3,5', '\xb2'],
)
async def test_a_time_that_is_none_is_passed_over(says, clock):
    busy = Busy('app-1', 'app', says)
    async with world_lib.running(busy) as world:
        for _ in range(3):
            assert (await world.ask())[0] == 503
    assert len(busy.seen) == 3


async def test_a_time_that_is_named_otherwise_is_no_rule(clock):
    # 429 speaks of the request; only 503 speaks of the server.
    busy = Busy('app-1', 'app', status=429)
    async with world_lib.running(busy) as world:
        for _ in range(3):
            assert (await world.ask())[0] == 503
    assert len(busy.seen) == 3


async def test_a_very_long_time_ends_with_that_start_of_the_server(clock):
    busy = Busy('app-1', 'app', '99999999999')
    async with world_lib.running(busy) as world:
        for _ in range(3):
            status, headers, _, _ = await world.ask()
            assert status == 503
            assert float(headers['retry-after']) < 2 * 3600
        assert len(busy.seen) == 1
        await world.list_server(busy, born=2)
        await trio.sleep(0.2)
        await world.ask()
    assert len(busy.seen) == 2
