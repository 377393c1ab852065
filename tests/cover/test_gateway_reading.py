"""Prompts that engines read, counted by a host until their first event."""

import pytest
import trio

from tests.common import gateway_world as world_lib
from tests.cover import test_gateway_streams as streams

PROMPT_TOKENS = 10


def make_config(stride):
    config = world_lib.make_config()
    config['services'][1]['engine']['stride'] = stride
    return config


# A pass of 30 steps that reads takes 184 ms; the streams expect 150 ms.
@pytest.mark.parametrize(('stride', 'is_counted'), [(30, True), (1, False)])
async def test_the_reading_of_an_engine_that_dies_while_it_reads_ends(
    stride, is_counted
):
    counted = []

    def record():
        reading = world.gateway.state.inflight.reading_token_layers
        counted.append(dict(reading))

    async def serve(headers, stream):
        record()
        if len(counted) == 1:
            return streams.Answer(ends='reset')
        first = streams.chunk(streams.event(1))
        for piece in streams.begin_stream(headers, first).pieces:
            await stream.send_all(piece)
        with trio.fail_after(5):
            while world.gateway.state.inflight.reading_token_layers:
                await trio.sleep(0.01)
        record()
        for number in range(2, 6):
            await stream.send_all(streams.chunk(streams.event(number)))
        await stream.send_all(streams.LAST_CHUNK)
        return None

    servers = world_lib.engines((0, 4), (0, 4), script=serve)
    async with world_lib.running(*servers, config=make_config(stride)) as world:
        status, _, body, is_complete = await streams.ask(world)
    assert (status, body, is_complete) == (200, streams.join_all_events(), True)
    assert counted[2] == {}
    counts = [list(reading.values()) for reading in counted[:2]]
    one_prompt = [PROMPT_TOKENS * world_lib.LAYERS]
    assert counts == ([one_prompt, one_prompt] if is_counted else [[], []])
    assert not is_counted or counted[0] != counted[1]
