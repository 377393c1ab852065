"""Streams of blank events without end."""

import pytest

from sardinebend_gateway import event_stream


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
