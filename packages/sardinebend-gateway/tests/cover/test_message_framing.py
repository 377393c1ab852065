"""Tests of the framing of requests, by small pieces and by h11."""

import random

import h11
import pytest

from sardinebend_gateway import errors
from sardinebend_gateway import message_framing

HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
NEXT = b'GET /next HTTP/1.1\r\n'
MAX_LINE_BYTES = 200


def make_body(rng):
    """Returns a chunked body as sent, and its content."""
    wire, content = b'', b''
    for _ in range(rng.randrange(1, 400)):
        data = rng.randbytes(rng.choice((1, 1, 1, 2, 700)))
        line = b'%x' % len(data)
        if rng.random() < 0.05:
            line = rng.choice((b'0' + line, line + b';a=b', line + b' '))
        wire += line + b'\r\n' + data + b'\r\n'
        content += data
    end = rng.choice((b'0\r\n\r\n', b'00;x\r\n\r\n', b'0\r\nX-T: 1\r\n\r\n'))
    return wire + end, content


def read(wire, rng):
    """Returns the content, and what lies behind the body."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(HEAD)
    conn.next_event()
    framing = message_framing.Chunked(MAX_LINE_BYTES)
    content, arrived, at = b'', b'', 0
    while True:
        event = conn.next_event()
        if isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage):
            return content, arrived + wire[at:]
        elif event is h11.NEED_DATA:
            if not arrived:
                assert at < len(wire), 'not refused'
                size = rng.choice((1, 2, 5, 1000, 65536))
                arrived, at = wire[at : at + size], at + size
            used, arrived = framing.take(arrived)
            if used:
                conn.receive_data(used)


# Guards against a request that is changed, or smuggled, by joining its chunks.
@pytest.mark.parametrize('seed', range(30))
def test_joined_chunks_are_the_body_and_end_where_it_ends(seed):
    rng = random.Random(seed)
    wire, content = make_body(rng)
    assert read(wire + NEXT, rng) == (content, NEXT)


@pytest.mark.parametrize(
    'wire',
    [
        b'1\r\naX1\r\nb\r\n',
        b'zz\r\n',
        b'-1\r\n',
        b'1\ra\r\n',
        b'1\r\nab\r\n0\r\n\r\n',
        b'1\n\r\na\r\n',
        b'1;' + b'e' * 70_000,
        b'0\r\n' + b'X-T: 1\r\n' * 10_000,
    ],
)
def test_what_is_no_chunk_is_refused(wire):
    with pytest.raises((h11.RemoteProtocolError, errors.BadRequest)):
        read(wire, random.Random(1))


def test_endless_extensions_of_whole_chunks_are_refused():
    framing = message_framing.Chunked(MAX_LINE_BYTES)
    with pytest.raises(errors.BadRequest) as info:
        for _ in range(100):
            framing.take(b'1;' + b'e' * 100 + b'\r\na\r\n')
    assert info.value.status == 413
