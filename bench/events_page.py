"""Generates the page of logged decisions from the calls that log them."""

import ast
import pathlib
import typing

from sardinebend_gateway import events

PAGE: typing.Final = pathlib.Path('docs/events.md')
SOURCES: typing.Final = (
    'packages/sardinebend-gateway/src',
    'platform/sardinebend_adapter',
)
_HEAD: typing.Final = """# Logged decisions

Written by `make reference` from the calls that log; don't edit. Each line is a
JSON object with `time` (wall clock, Unix seconds), `host` and `event`, and the
fields below. Lines of failures have a larger share of each second. `...` stands
for the inputs of the choice, which depend on the service.

| event | failure | fields | logged by |
| --- | --- | --- | --- |
"""


class Call(typing.NamedTuple):
    """A call in the sources that logs an event."""

    name: str
    fields: frozenset[str]
    module: str


def find_calls(root: pathlib.Path) -> list[Call]:
    """Returns the calls in `SOURCES` below a root that log a gateway event."""
    found = []
    for source in SOURCES:
        for file in sorted((root / source).rglob('*.py')):
            for node in ast.walk(ast.parse(file.read_text('utf-8'))):
                if isinstance(node, ast.Call) and _logs_event(node):
                    name = typing.cast(ast.Attribute, node.args[0]).attr
                    fields = frozenset(kw.arg or '...' for kw in node.keywords)
                    found.append(Call(name, fields, file.stem))
    return found


def _logs_event(node: ast.Call) -> bool:
    return (
        isinstance(node.func, ast.Attribute)
        and node.func.attr == 'log'
        and bool(node.args)
        and isinstance(node.args[0], ast.Attribute)
        and isinstance(node.args[0].value, ast.Name)
        and node.args[0].value.id == 'events'
    )


def render(root: pathlib.Path) -> str:
    """Returns the page as Markdown."""
    calls = find_calls(root)
    rows = []
    for name, event in sorted(vars(events).items()):
        event_calls = [call for call in calls if call.name == name]
        if not event_calls:
            continue
        fields = sorted(
            frozenset().union(*(call.fields for call in event_calls))
        )
        field_list = ', '.join(f'`{field}`' for field in fields)
        modules = ', '.join(sorted({call.module for call in event_calls}))
        failure = 'yes' if event.is_failure else ''
        rows.append(
            f'| `{event.name}` | {failure} | {field_list} | {modules} |\n'
        )
    dropped = events.LINES_DROPPED.name
    rows.append(f'| `{dropped}` | | the number left out, by event | audit |\n')
    return _HEAD + ''.join(rows)


if __name__ == '__main__':
    PAGE.write_text(render(pathlib.Path()), 'utf-8')
