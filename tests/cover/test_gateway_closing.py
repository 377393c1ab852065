"""Connections of callers around the end of a planned stop."""

import trio

from sardinebend_store import feeds
from tests.common import gateway_world as world_lib


def stream_script(duration_s):
    """Returns a script of a server that streams an event each 0.1 s."""

    async def script(headers, stream):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        pieces = [world_lib.head(200, fixed, 'chunked')]
        for number in range(1, int(duration_s / 0.1) + 1):
            pieces += [0.1, world_lib.chunk(world_lib.event(number))]
        return world_lib.Answer(*pieces, b'0\r\n\r\n')

    return script


async def begin_stream(world, answers, request_id='long'):
    """Starts a stream; returns once it is in flight."""

    async def ask():
        answers.append(
            await world.ask(
                '/draft/x',
                'POST',
                b'x',
                request_id=request_id,
                deadline_ms='8000',
            )
        )

    world.nursery.start_soon(ask)
    while not world.gateway.server.in_flight:
        await trio.sleep(0.01)


class FailingFeeds(feeds.MemoryFeeds):
    """A store whose writes raise an unexpected error when told to."""

    fails = False

    async def write(self, *args):
        if self.fails:
            raise RuntimeError('unexpected')
        return await super().write(*args)


# Guards against streams that are cut because a task that runs only at the
# beginning of a stop fails.
async def test_an_error_while_a_host_announces_its_stop_cuts_no_stream(clock):
    answers = []
    engines = world_lib.engines((0, 4), script=stream_script(3.0))
    store = FailingFeeds()
    async with world_lib.running(*engines, store=store) as world:
        await begin_stream(world, answers)
        store.fails = True
        world.gateway.begin_stop()
        while not answers:
            await trio.sleep(0.01)
    assert answers[0][0] == 200
    assert answers[0][3]
