"""Answers whose sending is cancelled and then goes on."""

import h11
import pytest
import trio

from sardinebend_gateway import errors
from sardinebend_gateway import responder as responder_lib

HEADERS = [(b'transfer-encoding', b'chunked')]
# More than a socket buffers.
LARGE = b'x' * 4_000_000


def make_responder():
    ours, theirs = trio.socket.socketpair()
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    while not isinstance(conn.next_event(), h11.EndOfMessage):
        pass
    out = responder_lib.Responder(conn, trio.SocketStream(ours))
    return out, trio.SocketStream(theirs)


async def read_answer(stream):
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
    conn.send(h11.EndOfMessage())
    body = b''
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return body


async def test_an_answer_whose_start_was_cancelled_begins_with_its_head():
    # Guards against a stream that is resumed without the head of its answer:
    # the attempt that began it was cancelled before the head was written.
    out, theirs = make_responder()
    with trio.CancelScope() as scope:
        scope.cancel()
        await out.start(200, [])
    assert out.is_started
    await out.write(b'event')
    await out.finish()
    assert await read_answer(theirs) == b'event'


async def test_an_event_whose_writing_was_cancelled_is_sent_whole_and_once():
    # Guards against a next event in the middle of a chunk that was cut off.
    out, theirs = make_responder()
    await out.start(200, [])
    with trio.move_on_after(0.01) as scope:
        await out.write(LARGE)
    assert scope.cancelled_caught
    async with trio.open_nursery() as nursery:

        async def go_on():
            await out.write(b'next')
            await out.finish()

        nursery.start_soon(go_on)
        assert await read_answer(theirs) == LARGE + b'next'
    assert out.is_finished


async def test_an_answer_is_finished_only_once_its_last_byte_is_sent():
    # Guards against a connection that is used again, or counted as done, while
    # the end of the answer before is still unsent.
    out, theirs = make_responder()
    with trio.move_on_after(0.01):
        await out.answer(200, [], LARGE)
    assert out.is_ended
    assert not out.is_finished
    async with trio.open_nursery() as nursery:
        nursery.start_soon(out.flush)
        assert await read_answer(theirs) == LARGE
    assert out.is_finished


async def test_a_begun_answer_gets_no_second_head():
    # Guards against an error answer in the middle of a stream, also while the
    # stream's own bytes are still unsent.
    out, theirs = make_responder()
    await out.start(200, [])
    with trio.move_on_after(0.01):
        await out.write(LARGE)
    for begin_again in (
        lambda: out.answer(504, [], b'error'),
        lambda: out.start(502, []),
    ):
        with pytest.raises(errors.ConnectionAborted):
            await begin_again()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(out.finish)
        assert await read_answer(theirs) == LARGE
