"""Tells the story of one request from the decision logs of several hosts."""

import pathlib
import sys
import typing

import msgspec

from sardinebend_admin import errors

# Lines about an endpoint that a request used are part of its story if they
# fall this close to it.
CONTEXT_S: typing.Final = 5.0
FAILURES: typing.Final = ('request_failed', 'request_refused')
CAUSES: typing.Final = (
    'attempt_failed',
    'content_quarantined',
    'endpoint_backoff',
    'endpoint_crashed',
    'endpoint_doubted',
    'endpoint_gone',
    'endpoint_leaving',
    'store_lost',
)


class Line(typing.NamedTuple):
    """One line of a decision log."""

    time: float
    host: str
    event: str
    fields: dict[str, typing.Any]


def explain(request_id: str, *files: str) -> None:
    """Prints what happened to a request, causes first.

    Args:
        request_id: The request.
        files: Logs of any number of hosts; standard input if there are none.
    """
    texts = [_read(file) for file in files] or [sys.stdin.read()]
    lines = [line for text in texts for line in parse(text)]
    story = find_story(lines, request_id)
    if not story:
        raise errors.NotFound(f'no line tells of request {request_id}')
    for text in render(story, request_id):
        print(text)


def _read(file: str) -> str:
    try:
        return pathlib.Path(file).read_text('utf-8', errors='replace')
    except OSError as exc:
        raise errors.BadInput(f'{file}: {exc}') from exc


def parse(text: str) -> list[Line]:
    """Returns the decision lines in a text; other lines are passed over."""
    lines = []
    for raw in text.splitlines():
        start = raw.find('{"time"')
        if start < 0:
            continue
        try:
            data = msgspec.json.decode(raw[start:])
            time, host = float(data.pop('time')), data.pop('host')
            event = data.pop('event')
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # A line that was cut off when its host ended.
            continue
        lines.append(Line(time, host, event, data))
    return lines


def find_story(lines: typing.Sequence[Line], request_id: str) -> list[Line]:
    """Returns a request's own lines, and those that explain them, in order."""
    own = [line for line in lines if line.fields.get('request') == request_id]
    if not own:
        return []
    first = min(line.time for line in own) - CONTEXT_S
    last = max(line.time for line in own)
    used: set[str] = set()
    for line in own:
        used.update(line.fields.get('dead', ()))
        used.add(line.fields.get('endpoint', ''))
    hosts = {line.host for line in own}
    contents = {line.fields.get('content') for line in own} - {None}
    context = [
        line
        for line in lines
        if line.event in CAUSES
        and first <= line.time <= last
        and line.host in hosts
        and line.fields.get('request') is None
        and (
            line.event == 'store_lost'
            or line.fields.get('endpoint') in used
            or line.fields.get('content') in contents
        )
    ]
    return sorted(own + context)


def render(story: typing.Sequence[Line], request_id: str) -> list[str]:
    """Returns the story as lines of text: the cause, then what happened."""
    failed = [line for line in story if line.event in FAILURES]
    causes = [line for line in story if line.event in CAUSES]
    texts = [f'request {request_id}']
    for line in failed:
        end = line.fields.get('end') or line.fields.get('status')
        texts.append(f'  ended as {end}: {line.fields.get("reason")}')
    texts += [f'  cause: {_describe(line)}' for line in causes]
    if not failed:
        texts.append('  no line tells of a failure')
    texts.append('  story:')
    start = story[0].time
    texts += [
        f'    +{line.time - start:7.3f} s {line.host}: {_describe(line)}'
        for line in story
    ]
    return texts


def _describe(line: Line) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name != 'request'
    )
    return f'{line.event} {fields}'.rstrip()
