"""Reads documents in JSON with comments, and checks them against types."""

import os
import typing

import jsonc
import msgspec

from sardinebend_settings import errors

MAX_DOCUMENT_BYTES: typing.Final = 8 * 1024 * 1024

Shape = typing.TypeVar('Shape')


def read_file(path: str) -> object:
    """Returns the value parsed from a file in JSON with comments.

    Raises:
        errors.DocumentUnreadable: The file can't be read or parsed.
    """
    try:
        if os.path.getsize(path) > MAX_DOCUMENT_BYTES:
            raise errors.DocumentUnreadable(
                f'{path}: larger than {MAX_DOCUMENT_BYTES} bytes'
            )
        with open(path, encoding='utf-8') as stream:
            text = stream.read()
    except OSError as exc:
        raise errors.DocumentUnreadable(f'{path}: {exc.strerror}') from exc
    except UnicodeDecodeError as exc:
        raise errors.DocumentUnreadable(f'{path}: not UTF-8') from exc
    return parse_text(text, path)


def parse_text(text: str, name: str) -> object:
    """Returns the value parsed from a text in JSON with comments.

    Args:
        text: The document.
        name: Name of the document in error messages.
    """
    try:
        return jsonc.loads(text)
    except (ValueError, RecursionError) as exc:
        raise errors.DocumentUnreadable(f'{name}: {exc}') from exc


def convert(value: object, shape: type[Shape], path: str) -> Shape:
    """Returns a value converted to a `TypedDict`; refuses unknown keys.

    `msgspec` ignores unknown keys of a `TypedDict`, so they are checked for
    first.
    """
    _refuse_unknown_keys(value, shape, path)
    try:
        return msgspec.convert(value, shape, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.InvalidSetting(path, value, str(exc)) from exc


def _refuse_unknown_keys(value: object, shape: object, path: str) -> None:
    if not typing.is_typeddict(shape):
        return
    if not isinstance(value, dict):
        raise errors.InvalidSetting(path, value, 'an object is expected')
    hints = typing.get_type_hints(shape)
    for key, item in value.items():
        if key not in hints:
            known = ', '.join(sorted(hints))
            raise errors.UnknownSetting(
                f'{path}.{key}', item, f'known: {known}'
            )
        _refuse_nested_unknown_keys(item, hints[key], f'{path}.{key}')


def _refuse_nested_unknown_keys(value: object, hint: object, path: str) -> None:
    origin = typing.get_origin(hint)
    args = typing.get_args(hint)
    if typing.is_typeddict(hint):
        _refuse_unknown_keys(value, hint, path)
    elif origin is dict and isinstance(value, dict):
        for key, item in value.items():
            _refuse_nested_unknown_keys(item, args[1], f'{path}.{key}')
    elif origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            _refuse_nested_unknown_keys(item, args[0], f'{path}[{index}]')
    elif args and value is not None:
        for arg in args:
            if typing.is_typeddict(arg):
                _refuse_unknown_keys(value, arg, path)
