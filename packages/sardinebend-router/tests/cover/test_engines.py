"""Tests how valid, malformed and truncated engine streams are decoded."""

import pytest
import trio

from sardinebend_policy import draft_messages as msg
from sardinebend_policy import fleet as fleet_lib
from sardinebend_policy import routes
from sardinebend_router import engines

SPEC = routes.ModelSpec('tide', '1', 2)
ROUTE = routes.PipelineRoute(SPEC, (routes.Stage('e', 0, 2),))
REQUEST = msg.DraftRequest('r', 'vanua', 'f', SPEC, 'p', 4, 100.0)
ORDER = engines.DraftOrder(REQUEST, msg.SendOrder(2, ROUTE, 0, (), 100.0))
CHUNK = b'{"request": "r", "attempt": 2, "index": 0, "text": "t"}'


@pytest.mark.parametrize(
    ('line', 'event'),
    [
        (CHUNK, msg.Chunk(2, 0, 't')),
        (CHUNK.replace(b'2', b'1'), msg.Chunk(1, 0, 't')),
        (b'{"final": true, "count": 9}', msg.Finished(2, 9)),
        (b'{"lost": "e2"}', msg.StreamBroken(2, 'e2')),
        (b'{"refused": "e2"}', msg.StageRefused(2, 'e2', True)),
        (CHUNK.replace(b'"r"', b'"other"'), msg.StreamBroken(2)),
        (CHUNK.replace(b'0', b'-1'), msg.StreamBroken(2)),
        (CHUNK.replace(b'0', b'"0"'), msg.StreamBroken(2)),
        (b'{"text": 3}', msg.StreamBroken(2)),
        (b'\xff\xfe', msg.StreamBroken(2)),
        (b'', msg.StreamBroken(2)),
    ],
)
def test_each_line_decodes_to_an_event_and_an_invalid_one_to_broken(
    line, event
):
    assert engines.decode_line(line, ORDER) == event


class FakeConnection:
    """A connection whose response has the given status and body pieces."""

    def __init__(self, pieces, status=200):
        self.pieces = pieces
        self.status = status

    def stream(self, method, path, headers, body):
        return self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        return False

    async def aiter_stream(self):
        for piece in self.pieces:
            yield piece


async def run(pieces, status=200):
    events = []
    pipeline = engines.ForwardingPipeline(
        FakeConnection(pieces, status), fleet_lib.Fleet()
    )
    await pipeline.run(ORDER, events.append)
    return events


async def test_lines_split_over_several_reads_are_joined():
    pieces = [CHUNK[:9], CHUNK[9:] + b'\n' + CHUNK, b'\n{"final": true}\n']
    events = await run(pieces)
    assert events[:2] == [msg.Chunk(2, 0, 't')] * 2
    assert isinstance(events[2], msg.Finished)


async def test_a_line_over_the_size_limit_breaks_the_stream():
    pieces = [b'x' * 65536] * 1000
    assert await run(pieces) == [msg.StreamBroken(2)]


async def test_a_stream_without_a_final_line_is_broken():
    assert await run([CHUNK + b'\n']) == [
        msg.Chunk(2, 0, 't'),
        msg.StreamBroken(2),
    ]


@pytest.mark.parametrize(
    ('status', 'event'),
    [
        (409, msg.StageRefused(2, 'e', False)),
        (429, msg.Refused(2, 'e', 1.0)),
        (503, msg.StreamBroken(2)),
    ],
)
async def test_only_statuses_409_and_429_are_refusals(status, event):
    assert (await run([], status))[0] == event


# Guards against a line in tiny pieces that is copied at each of them.
async def test_a_line_in_tiny_pieces_is_not_copied_again_for_each_piece():
    copied_bytes = 0

    class Piece(bytes):
        def __radd__(self, other):
            nonlocal copied_bytes
            copied_bytes += len(other)
            return bytes(other) + bytes(self)

    assert await run([Piece(b'xy')] * 150_000) == [msg.StreamBroken(2)]
    assert copied_bytes < 10 * engines.MAX_LINE_BYTES


# Guards against an engine whose tiny pieces keep the host from all else.
async def test_other_tasks_run_while_tiny_pieces_arrive():
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns)
        await run([b'xy'] * 10_000)
        nursery.cancel_scope.cancel()
    assert turns > 100
