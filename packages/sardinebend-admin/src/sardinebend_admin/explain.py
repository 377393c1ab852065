"""Reconstructs the history of a request from the decision logs of hosts."""

import pathlib
import sys
import typing

import msgspec

from sardinebend_admin import errors

# Context of a request: lines about its endpoints, its content, the parts of its
# prompt, the store or its host, logged from CONTEXT_S before the request's
# first line up to its last line.
CONTEXT_S: typing.Final = 5.0
# Hosts may lack evidence for this long after the store has come back from an
# older copy.
STORE_ERA_CONTEXT_S: typing.Final = 12.0
FAILURES: typing.Final = ('request_failed', 'request_refused')
CAUSES: typing.Final = (
    'attempt_failed',
    'connection_reset',
    'content_quarantined',
    'endpoint_backoff',
    'endpoint_crashed',
    'endpoint_doubted',
    'endpoint_gone',
    'endpoint_leaving',
    'host_delayed',
    'prompt_part_quarantined',
    'store_era_changed',
    'store_lost',
    'stream_stalled',
)
# Lines on the end of a host, the causes of a request that it cut. They are
# looked for on that host from the beginning of its stop until a little after
# the cut.
HOST_END_CAUSES: typing.Final = ('host_failed', 'host_stopping')
HOST_END_EVENTS: typing.Final = (*HOST_END_CAUSES, 'host_stopped')
HOST_END_SLACK_S: typing.Final = 1.0
CUT: typing.Final = 'request_cut'
CALLER_LEFT: typing.Final = 'request_cancelled'
LAST_EVENTS: typing.Final = (*FAILURES, CUT, CALLER_LEFT, 'request_ended')
# Lines on a host itself, whichever endpoint a request was sent to.
HOST_CAUSES: typing.Final = ('host_delayed', 'store_era_changed', 'store_lost')


class Line(typing.NamedTuple):
    """One line of a decision log."""

    time: float
    host: str
    event: str
    fields: dict[str, typing.Any]


def explain(request_id: str, *files: str) -> None:
    """Prints the history of a request, with the causes of its failure first.

    Args:
        request_id: Id of the request.
        files: Decision logs of any number of hosts; standard input if none is
            given.
    """
    logs = [_read(file) for file in files] or [sys.stdin.read()]
    lines = [line for log in logs for line in parse(log)]
    selected = select_lines(lines, request_id)
    if not selected:
        raise errors.NotFound(f'no log line of request {request_id}')
    for text in format_report(selected, request_id):
        print(text)


def _read(file: str) -> str:
    try:
        return pathlib.Path(file).read_text('utf-8', errors='replace')
    except OSError as exc:
        raise errors.BadInput(f'{file}: {exc}') from exc


def parse(text: str) -> list[Line]:
    """Parses the decision lines in a text; skips all other lines."""
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
            # The line was truncated when its host ended.
            continue
        lines.append(Line(time, host, event, data))
    return lines


def select_lines(lines: typing.Sequence[Line], request_id: str) -> list[Line]:
    """Returns the lines of a request and their context, sorted by time."""
    request_lines = [
        line for line in lines if line.fields.get('request') == request_id
    ]
    if not request_lines:
        return []
    first_at = min(line.time for line in request_lines)
    window_end = max(line.time for line in request_lines)
    endpoint_ids: set[str] = set()
    for line in request_lines:
        endpoint_ids.update(line.fields.get('dead', ()))
        endpoint_ids.add(line.fields.get('endpoint', ''))
    hosts = {line.host for line in request_lines}
    contents = {line.fields.get('content') for line in request_lines} - {None}
    prompt_parts: set[str] = set()
    for line in request_lines:
        prompt_parts.update(line.fields.get('prompt_parts', ()))
    cuts = [line for line in request_lines if line.event == CUT]

    def is_context(line: Line) -> bool:
        return (
            line.event in CAUSES
            and first_at - _context_s(line) <= line.time <= window_end
            and line.host in hosts
            and line.fields.get('request') is None
            and (
                line.event in HOST_CAUSES
                or line.fields.get('endpoint') in endpoint_ids
                or line.fields.get('content') in contents
                or line.fields.get('prompt_part') in prompt_parts
            )
        )

    selected = [
        line
        for line in lines
        if line.fields.get('request') == request_id
        or is_context(line)
        or any(_ends_host_of(line, cut) for cut in cuts)
    ]
    return sorted(selected, key=lambda line: line.time)


def _ends_host_of(line: Line, cut: Line) -> bool:
    """Returns whether a line is on the end of a host that cut a request."""
    if line.event not in HOST_END_EVENTS or line.host != cut.host:
        return False
    stop_s = cut.fields.get('cut_after_stop_s') or 0.0
    start = cut.time - stop_s - HOST_END_SLACK_S
    return start <= line.time <= cut.time + HOST_END_SLACK_S


def _context_s(line: Line) -> float:
    """Returns how long before a request a line may explain its failure."""
    is_era = line.event == 'store_era_changed'
    return STORE_ERA_CONTEXT_S if is_era else CONTEXT_S


def format_report(
    selected: typing.Sequence[Line], request_id: str
) -> list[str]:
    """Formats lines for display: outcome, causes, then all in order."""
    failed = [line for line in selected if line.event in FAILURES]
    causes = [
        line
        for line in selected
        if line.event in CAUSES or line.event in HOST_END_CAUSES
    ]
    output = [f'request {request_id}']
    for line in failed:
        end = line.fields.get('end') or line.fields.get('status')
        output.append(f'  ended as {end}: {line.fields.get("reason")}')
    ended_early = [
        text for line in selected for text in _describe_early_end(line)
    ]
    output += ended_early
    output += [f'  cause: {_describe(line)}' for line in causes]
    if not failed and not ended_early:
        output.append('  no failure logged')
    if not any(line.event in LAST_EVENTS for line in selected):
        output.append(
            '  no end logged: it still runs, its host was killed, or lines were'
            ' dropped'
        )
    output.append('  timeline:')
    start = selected[0].time
    output += [
        f'    +{line.time - start:7.3f} s {line.host}: {_describe(line)}'
        for line in selected
    ]
    return output


def _describe_early_end(line: Line) -> list[str]:
    """Describes the end of a request that was neither served nor failed."""
    fields = line.fields
    if line.event == CALLER_LEFT:
        return [f'  its caller left after {fields.get("took_s")} s']
    if line.event != CUT:
        return []
    arrived_s = fields.get('arrived_after_stop_s')
    cut_s = fields.get('cut_after_stop_s')
    if arrived_s is None or cut_s is None:
        first = f'  cut by the end of {line.host}, which no planned stop began'
    else:
        order = 'before' if arrived_s < 0 else 'after'
        first = (
            f'  cut by the planned stop of {line.host}: arrived'
            f' {abs(arrived_s):.3f} s {order} the stop began,'
            f' cut {cut_s:.3f} s after that'
        )
    return [first, f'  {_describe_work(fields)}']


def _describe_work(fields: dict[str, typing.Any]) -> str:
    """Describes how far a request was when it was cut."""
    if fields.get('answered') is not None:
        unsent = fields.get('unsent_bytes')
        return f'the whole answer was there; {unsent} bytes of it were not sent'
    endpoint = fields.get('endpoint')
    if endpoint is None:
        return 'served by no endpoint when it was cut'
    event_s = fields.get('since_event_s')
    if event_s is None:
        return f'served by {endpoint}, which had sent no event'
    return (
        f'served by {endpoint}, whose last event came {event_s:.3f} s before'
        ' the cut'
    )


def _describe(line: Line) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name != 'request'
    )
    return f'{line.event} {fields}'.rstrip()
