"""Compression of values that hosts send to each other."""

import typing
import zlib

from sardinebend_peers import errors

# The fastest level: a configuration has much that repeats.
LEVEL: typing.Final = 1
# Limit for a value that is received.
MAX_VALUE_BYTES: typing.Final = 16 * 1024 * 1024


def compress(value: bytes) -> bytes:
    """Returns a value in the format of zlib."""
    return zlib.compress(value, LEVEL)


def decompress(data: bytes) -> bytes:
    """Returns the value that `compress` was given.

    Raises:
        errors.MalformedFrame: The bytes aren't a compressed value, or the value
            is too large.
    """
    decoder = zlib.decompressobj()
    try:
        value = decoder.decompress(data, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise errors.MalformedFrame('not a compressed value') from exc
    if not decoder.eof:
        raise errors.MalformedFrame('a compressed value without its end')
    return value
