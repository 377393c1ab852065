"""Compressed values."""

import zlib

import pytest

from sardinebend_peers import codec
from sardinebend_peers import compression
from sardinebend_peers import errors
from sardinebend_peers import messages

VALUE = b'{"name": "route"}' * 1000


def make_frame(data):
    row = messages.FeedRow('config', 3, data, is_compressed=True)
    reply = messages.FeedReply(3, 0, True, (row,))
    return codec.encode(codec.Envelope(1, True, reply))


def test_a_compressed_value_is_small_and_received_as_it_was():
    data = compression.compress(VALUE)
    assert len(data) < len(VALUE) / 20
    (row,) = codec.decode(make_frame(data)).message.rows
    assert row.value == VALUE
    assert not row.is_compressed


@pytest.mark.parametrize(
    'data',
    [b'', b'x' * 50, compression.compress(VALUE)[:-1]],
    ids=['empty', 'not compressed', 'cut short'],
)
def test_bytes_that_are_no_compressed_value_are_refused(data):
    with pytest.raises(errors.MalformedFrame):
        codec.decode(make_frame(data))


# Guards against a small frame that takes all of a host's memory.
def test_a_value_over_the_limit_is_refused():
    data = zlib.compress(bytes(compression.MAX_VALUE_BYTES + 1), 9)
    with pytest.raises(errors.MalformedFrame):
        codec.decode(make_frame(data))
