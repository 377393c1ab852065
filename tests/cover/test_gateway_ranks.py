"""A host whose engine has room for one of its urgent and batch requests."""

import trio

from tests.common import gateway_world as world_lib

# Of the 600,000 that the engine has memory for.
TOKENS = 400_000
WAIT_S = 2.0
# Longer than a request takes to reach the host, on a busy machine too.
ARRIVAL_S = 0.3


def make_config():
    config = world_lib.make_config()
    (draft,) = (r for r in config['routes'] if r['name'] == 'draft')
    draft |= {'priority': 0, 'target_latency_ms': 8000 * WAIT_S}
    config['routes'].append(
        {**draft, 'name': 'batch', 'prefix': '/batch/', 'priority': 2}
    )
    return config


class Burst:
    """Sends requests to a world, and holds the first one's answer back."""

    def __init__(self, world):
        self.world = world
        self.answers = {}

    async def ask(self, name, tokens=TOKENS):
        self.answers[name] = await self.world.ask(
            f'/{name.partition("-")[0]}/x',
            'POST',
            name.encode(),
            request_id=name,
            token_usage=f'{tokens},10',
        )

    async def send(self, name, **changes):
        """Sends a request; returns once it runs or waits."""
        self.world.nursery.start_soon(lambda: self.ask(name, **changes))
        await trio.sleep(ARRIVAL_S)


def serve_first_until(ended):
    async def script(headers, stream):
        fixed = [
            ('Request-Id', headers['request-id']),
            ('Content-Type', 'text/event-stream'),
            world_lib.SEAL,
        ]
        await stream.send_all(world_lib.head(200, fixed, 'chunked'))
        await stream.send_all(world_lib.chunk(world_lib.event(1)))
        if headers['request-id'] == 'batch-1':
            await ended.wait()
        await stream.send_all(b'0\r\n\r\n')

    return script


# Guards against an urgent request that finds no room, since a batch one that
# came before it asks for it just as often.
async def test_an_urgent_request_gets_the_room_that_a_batch_one_waits_for(
    clock,
):
    ended = trio.Event()
    engines = world_lib.engines((0, 4), script=serve_first_until(ended))
    async with world_lib.running(*engines, config=make_config()) as world:
        burst = Burst(world)
        for name in ('batch-1', 'batch-2', 'draft-1'):
            await burst.send(name)
        ended.set()
        await trio.sleep(ARRIVAL_S)
        order = [request[2]['request-id'] for request in engines[0].requests]
        metrics = world.gateway.state.metrics.render()
    assert order[:2] == ['batch-1', 'draft-1']
    priorities = [r[2]['request-priority'] for r in engines[0].requests]
    assert priorities[:2] == ['2', '1']
    assert 'ranked_requests_total{end="started",rank="1"} 1' in metrics


async def test_callers_that_leave_give_up_their_places(clock):
    ended = trio.Event()
    engines = world_lib.engines((0, 4), script=serve_first_until(ended))
    async with world_lib.running(*engines, config=make_config()) as world:
        burst = Burst(world)
        await burst.send('batch-1')
        with trio.move_on_after(WAIT_S / 4):
            await burst.ask('draft-1')
        await burst.send('batch-2')
        ended.set()
        await trio.sleep(ARRIVAL_S)
    assert [r[2]['request-id'] for r in engines[0].requests][:2] == [
        'batch-1',
        'batch-2',
    ]


async def test_what_no_engine_could_ever_hold_is_refused_at_once(clock):
    engines = world_lib.engines((0, 4))
    async with world_lib.running(*engines, config=make_config()) as world:
        began_at = trio.current_time()
        burst = Burst(world)
        await burst.ask('draft-1', tokens=900_000)
        took_s = trio.current_time() - began_at
    status, headers, _, _ = burst.answers['draft-1']
    assert status == 503 and float(headers['retry-after']) > 0
    assert took_s < WAIT_S
