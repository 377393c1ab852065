"""Decodes JSON that other programs have written."""

import json
import math
import typing

import msgspec

from sardinebend_store import errors

# A message may quote the document, which may be long.
MAX_ERROR_CHARS: typing.Final = 200
MAX_DIGITS: typing.Final = 30


def decode(data: bytes, shape: typing.Any) -> typing.Any:
    """Returns the value that JSON holds.

    Args:
        data: The JSON.
        shape: Type of the value.

    Raises:
        errors.MalformedDocument: It isn't UTF-8 or JSON of this shape, or is
            nested too deeply.
    """
    try:
        # Without this, texts that no field holds would go unchecked.
        return msgspec.json.decode(data.decode(), type=shape)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise _make_error(exc) from exc


def decode_leniently(data: bytes) -> typing.Any:
    """Returns the value that JSON holds even if parts of it aren't valid.

    Texts may hold lone surrogates (see `is_text`). Replaced are bytes that
    aren't UTF-8, and whole numbers of many digits.

    Raises:
        errors.MalformedDocument: It isn't JSON apart from that, or is nested
            too deeply.
    """
    try:
        return json.loads(data.decode(errors='replace'), parse_int=_parse_int)
    except (ValueError, RecursionError) as exc:
        raise _make_error(exc) from exc


def is_text(value: str) -> bool:
    """Returns whether a text can be encoded, that is, has no lone surrogate."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def convert(value: typing.Any, shape: typing.Any) -> typing.Any:
    """Returns a decoded JSON value as a value of a narrower type.

    Raises:
        errors.MalformedDocument: It doesn't have this shape.
    """
    try:
        return msgspec.convert(value, shape)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise _make_error(exc) from exc


def _parse_int(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else math.inf


def _make_error(exc: Exception) -> errors.MalformedDocument:
    return errors.MalformedDocument(
        f'{type(exc).__name__}: {exc}'[:MAX_ERROR_CHARS]
    )
