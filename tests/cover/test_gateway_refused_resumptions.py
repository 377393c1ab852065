"""A begun stream whose resumption is refused goes on while it can."""

import pytest
import trio

from sardinebend_store import connections
from tests.common import gateway_world as world_lib
from tests.common import silence

Answer = world_lib.Answer
EVENTS = 8
EVENT_S = 0.05
BROKEN_AFTER = 3
# Less than a started stream searches for another path.
FAULT_S = 0.7
GIVEN_UP_S = 4.0
# A connect takes its time limit each time.
UNREACHED_GIVEN_UP_S = 5.0
FIRST, SECOND = (0, 2), (2, 4)


class Engine(silence.Silence, world_lib.Server):
    """An engine whose answers a scene chooses."""

    def __init__(self, scene, number, span):
        super().__init__(f'engine-{number}', 'llm', self._answer)
        self.span = span
        self.scene = scene

    async def _answer(self, headers, stream):
        self.scene.arrivals.append(self)
        return await self.scene.script(self, headers, stream)


class Scene:
    """Engines with a common script, and the order in which they are asked."""

    def __init__(self, script, *spans):
        self.script = script
        self.arrivals = []
        self.engines = [Engine(self, n, s) for n, s in enumerate(spans)]
        self.broken_at = None

    async def ask(self, world):
        return await world.ask(
            '/draft/x',
            'POST',
            b'p',
            token_usage='10,10',
            model='m',
            deadline_ms='8000',
        )

    def break_off(self, engine, listens):
        """Ends an engine's stream, with its process or not."""
        self.broken_at = trio.current_time()
        if not listens:
            engine.close()
            engine.drop_connections()
        return Answer(ends='reset')


def assert_whole(answer):
    status, _, body, is_complete = answer
    events = b''.join(world_lib.event(n) for n in range(1, EVENTS + 1))
    assert (status, is_complete) == (200, True)
    assert body == events


async def send_events(headers, stream, last=EVENTS):
    fixed = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    first = int(headers.get('last-event-id', 0)) + 1
    for number in range(first, last + 1):
        await trio.sleep(EVENT_S)
        await stream.send_all(world_lib.chunk(world_lib.event(number)))
    return Answer(b'0\r\n\r\n')


def refuse(headers, *more):
    fixed = [('Request-Id', headers['request-id']), ('Not-Executed', '1')]
    return Answer(world_lib.head(503, [*fixed, *more]))


# Guards against giving up a begun stream because the only engine that could run
# it, or a part of it, was named in a refusal once and is excluded for good.
@pytest.mark.parametrize('named', ['first', 'second'])
async def test_a_stream_goes_on_once_the_part_named_in_a_refusal_is_back(
    named, clock
):
    async def script(engine, headers, stream):
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=False)
        if trio.current_time() < scene.broken_at + FAULT_S:
            at_fault = engine if named == 'first' else scene.engines[1]
            return refuse(headers, ('At-Server', at_fault.address))
        return await send_events(headers, stream)

    scene = Scene(script, FIRST, SECOND, FIRST)
    async with world_lib.running(*scene.engines) as world:
        answer = await scene.ask(world)
    assert_whole(answer)
    assert len(scene.arrivals) <= 6


# Guards against giving up a begun stream because a refusal that is proved not
# run has used up its route's attempts: the engine that refused may be asked
# again, others may not.
async def test_an_engine_that_refused_the_last_attempt_is_asked_again(clock):
    async def script(engine, headers, stream):
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=True)
        if trio.current_time() < scene.broken_at + FAULT_S:
            return refuse(headers)
        return await send_events(headers, stream)

    scene = Scene(script, *[(0, 4)] * 4)
    async with world_lib.running(*scene.engines) as world:
        answer = await scene.ask(world)
    assert_whole(answer)
    assert len(set(scene.arrivals)) == 2


# Guards against the same where the refused attempt was a hedge.
async def test_an_engine_that_refused_a_hedge_is_asked_again(clock):
    async def script(engine, headers, stream):
        if len(scene.arrivals) == 1:
            await send_events(headers, stream, BROKEN_AFTER)
            while len(scene.arrivals) == 1:
                await trio.sleep(EVENT_S)
            await trio.sleep(EVENT_S)
            return scene.break_off(engine, listens=True)
        if scene.broken_at is None:
            return refuse(headers)
        return await send_events(headers, stream)

    scene = Scene(script, *[(0, 4)] * 4)
    async with world_lib.running(*scene.engines) as world:
        answer = await scene.ask(world)
    assert_whole(answer)
    assert len(set(scene.arrivals)) == 2


# Guards against giving up a begun stream beside a silent engine, because the
# engine that broke it off would still be a path for others.
@pytest.mark.parametrize('has_layers', [True, False])
async def test_a_stream_is_resumed_at_a_silent_engine_if_no_other_is_left(
    has_layers, clock
):
    async def script(engine, headers, stream):
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=True)
        return await send_events(headers, stream)

    scene = Scene(script, (0, 4), (0, 4))
    config = world_lib.make_config()
    if not has_layers:
        config['services'][1].pop('engine')
    answers = []

    async def ask(world):
        answers.append(await scene.ask(world))

    async with world_lib.running(*scene.engines, config=config) as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world)
            while not scene.arrivals:
                await trio.sleep(0.01)
            [silent] = set(scene.engines) - set(scene.arrivals)
            silent.fall_silent(1.0)
            state = world.gateway.state
            state.record_silence(state.endpoints.get(silent.name), 'test')
    assert_whole(answers[0])


# Guards against giving up a begun stream because the only engine that is left
# wasn't reached once: a link may be cut, or a machine silent, for a moment.
@pytest.mark.parametrize('fault_s', [FAULT_S, float('inf')])
async def test_an_engine_that_was_not_reached_at_once_is_tried_again(
    fault_s, clock, monkeypatch
):
    async def script(engine, headers, stream):
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=True)
        return await send_events(headers, stream)

    connect_tcp = connections._connect_tcp

    async def connect_after_fault(host, port):
        if scene.broken_at is not None:
            await trio.sleep_until(scene.broken_at + fault_s)
        return await connect_tcp(host, port)

    monkeypatch.setattr(connections, '_connect_tcp', connect_after_fault)
    scene = Scene(script, (0, 4), (0, 4))
    async with world_lib.running(*scene.engines) as world:
        answer = await scene.ask(world)
        took_s = trio.current_time() - scene.broken_at
    if fault_s == FAULT_S:
        assert_whole(answer)
    else:
        assert not answer[3]
    assert took_s < UNREACHED_GIVEN_UP_S
    assert len(scene.arrivals) <= 2


# Guards against giving up a begun stream because other requests have used up
# the retry budget for a moment; each new request adds to it.
@pytest.mark.parametrize('has_others', [True, False])
async def test_a_begun_stream_waits_for_a_retry(has_others, clock):
    async def script(engine, headers, stream):
        if headers['request-id'] != 'r1':
            return await send_events({**headers, 'last-event-id': '7'}, stream)
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=True)
        return await send_events(headers, stream)

    async def send_others():
        while scene.broken_at is None:
            await trio.sleep(EVENT_S)
        await trio.sleep(FAULT_S)
        for number in range(2, 5):
            await world.ask(
                '/draft/x', 'POST', b'p', request_id=f'r{number}', model='m'
            )

    scene = Scene(script, (0, 4), (0, 4), (0, 4))
    # A retry for each two requests.
    async with world_lib.running(
        *scene.engines, extra_retries=0, retry_ratio=1.0
    ) as world:
        budget = world.gateway.state.budget_of('llm')
        budget.record_success(trio.current_time())
        async with trio.open_nursery() as nursery:
            if has_others:
                nursery.start_soon(send_others)
            budget.try_spend(trio.current_time())
            answer = await scene.ask(world)
            took_s = trio.current_time() - scene.broken_at
    if has_others:
        assert_whole(answer)
    else:
        assert not answer[3]
    assert took_s < GIVEN_UP_S


# Guards against a search without end for an engine that goes on refusing.
async def test_a_stream_that_all_engines_go_on_refusing_is_given_up(clock):
    async def script(engine, headers, stream):
        if scene.broken_at is None:
            await send_events(headers, stream, BROKEN_AFTER)
            return scene.break_off(engine, listens=True)
        return refuse(headers, ('At-Server', engine.address))

    scene = Scene(script, *[(0, 4)] * 4)
    async with world_lib.running(*scene.engines) as world:
        answer = await scene.ask(world)
        took_s = trio.current_time() - scene.broken_at
    assert not answer[3]
    assert took_s < GIVEN_UP_S
    assert len(set(scene.arrivals)) == 2
    assert len(scene.arrivals) <= 6
