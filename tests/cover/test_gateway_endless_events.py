"""Streams of blank events without end, and heads of many fields."""

import tracemalloc

import pytest
import trio

from sardinebend_gateway import event_stream
from tests.common import gateway_world as world_lib
from tests.cover import test_gateway_endless_answers

MB = 1024 * 1024


# Guards against a search that goes over all buffered bytes for each event.
@pytest.mark.parametrize('blank', [b':\n\n', b'\r\n\r\n'])
def test_the_end_of_an_event_is_not_looked_for_beyond_a_nearer_one(blank):
    class CountingBuffer(bytearray):
        searched_bytes = 0

        def find(self, part, start=0, end=None):
            end = len(self) if end is None else end
            at = super().find(part, start, end)
            last = end if at < 0 else at + len(part)
            CountingBuffer.searched_bytes += max(0, last - start)
            return at

    splitter = event_stream.EventSplitter()
    splitter._buffer = CountingBuffer()
    assert len(splitter.feed(blank * 20_000)) == 20_000
    assert CountingBuffer.searched_bytes < 20 * 80_000


# Guards against tiny events that take far more memory than their bytes, while
# an attempt that isn't the first holds them back.
@pytest.mark.parametrize('block', [b'\n\n' * 32768, b':\n\n' * 20000])
async def test_endless_blank_events_take_little_memory(block):
    script = test_gateway_endless_answers.make_endless(
        lambda h: world_lib.head(200, h, 'none'), block
    )
    servers = world_lib.engines((0, 4), script=script)
    async with world_lib.running(*servers) as world:
        tracemalloc.start()
        try:
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(
                        lambda n=number: world.ask(
                            '/draft/x',
                            'POST',
                            b'p',
                            model='m',
                            deadline_ms='3000',
                            request_id=f'q{n}',
                        )
                    )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert world.gateway.state.answer_buffers.size == 0
    assert peak < 10 * MB
