"""Prints values as readable text or, with `--json`, as JSON."""

import sys
import typing

import msgspec


def print_value(value: typing.Any, as_json: bool) -> None:
    """Prints a value as JSON, or else each of its items on one line."""
    if as_json:
        print(msgspec.json.encode(value).decode())
    elif isinstance(value, list):
        for item in value:
            print(_format_line(item))
    elif isinstance(value, dict):
        for key, item in value.items():
            print(f'{key}: {_format_line(item)}')
    else:
        print(value)


def confirm(question: str) -> bool:
    """Asks the operator to confirm; returns `False` without a terminal."""
    if not sys.stdin.isatty():
        return False
    return input(f'{question} [y/N] ').strip().lower() == 'y'


def _format_line(value: typing.Any) -> str:
    if isinstance(value, dict):
        pairs = [f'{key}={_format_line(item)}' for key, item in value.items()]
        return ' '.join(pairs)
    if isinstance(value, list):
        return ', '.join(_format_line(item) for item in value)
    return str(value)
