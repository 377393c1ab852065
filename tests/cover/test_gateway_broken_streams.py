"""Streams that break off after they have begun, and what follows them."""

import logging

import pytest
import trio

from sardinebend_gateway import event_stream
from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
LAST_CHUNK = b'0\r\n\r\n'
# Events that arrive together with an error may be dropped along with it.
PAUSE_S = 0.05
ALL_EVENTS = b''.join(event(n) for n in range(1, 6))
BEGUN = event(1) + event(2)
OTHER_SEAL = ('Response-Seal', 'd.e.f')
EVENT_STREAM = ('Content-Type', 'text/event-stream')
HTML = b'<html>\r\n\r\n<p>error</p>\n\n</html>'
ERROR_HEAD = world_lib.head(
    500, [('Request-Id', 'r1'), OTHER_SEAL], body=b'error\n\n'
)


def begin(*pieces, ends='close', framing='chunked', seal=world_lib.SEAL):
    fixed = [('Request-Id', 'r1'), EVENT_STREAM, seal]
    return Answer(world_lib.head(200, fixed, framing), *pieces, ends=ends)


def error(status, *headers, framing='length', body=HTML, request_id='r1'):
    fixed = [('Request-Id', request_id), *headers]
    if not any(name == 'Content-Type' for name, _ in headers):
        fixed.append(('Content-Type', 'text/html'))
    data = world_lib.head(status, fixed, framing, body)
    if framing == 'chunked':
        data += chunk(body) + LAST_CHUNK
    elif not framing:
        data += body
    return Answer(data)


# How a stream breaks off after two events.
BREAKS = {
    'reset': begin(chunk(BEGUN), PAUSE_S, ends='reset'),
    'closed at the end of an event': begin(chunk(BEGUN)),
    'closed within an event': begin(chunk(BEGUN + b'id: 3\nda')),
    'ended within an event': begin(chunk(BEGUN + b'id: 3\nda'), LAST_CHUNK),
    'closed within an event, without chunks': begin(
        BEGUN + b'id: 3\nda', framing=''
    ),
    'an error in place of a chunk': begin(chunk(BEGUN), PAUSE_S, ERROR_HEAD),
    'an error within a chunk': begin(
        chunk(BEGUN), PAUSE_S, chunk(ERROR_HEAD), LAST_CHUNK
    ),
    'an error without chunks': begin(BEGUN, PAUSE_S, ERROR_HEAD, framing=''),
    'an error within an event, without chunks': begin(
        BEGUN, PAUSE_S, b'id: 3\n' + ERROR_HEAD, framing=''
    ),
    'an error within a line, without chunks': begin(
        BEGUN, PAUSE_S, b'id: 3\ndata: x' + ERROR_HEAD, framing=''
    ),
    'a page in a chunk': begin(chunk(BEGUN), PAUSE_S, chunk(HTML), LAST_CHUNK),
}
# What the next server answers.
ERRORS = {
    '500 with a mark of origin': error(500, OTHER_SEAL),
    '500 without one': error(500),
    '500 in chunks': error(500, OTHER_SEAL, framing='chunked'),
    '502 without a length': error(502, framing=''),
    '503 with a mark of origin': error(503, OTHER_SEAL),
    '503 not run': error(503, ('Not-Executed', '1')),
    '429 not run': error(429, ('Not-Executed', '1')),
    '421': error(421),
    '404 with a mark of origin': error(404, OTHER_SEAL),
    '404 without one': error(404),
    '400 with a mark of origin': error(400, OTHER_SEAL),
    '204 with a mark of origin': error(204, OTHER_SEAL, body=b''),
    'a page with 200': error(200, OTHER_SEAL),
    'a page with 200, in chunks': error(200, OTHER_SEAL, framing='chunked'),
    'a page with 200, without a length': error(200, OTHER_SEAL, framing=''),
    'an empty page with 200': error(200, OTHER_SEAL, body=b''),
    'json with 200': error(
        200,
        OTHER_SEAL,
        ('Content-Type', 'application/json'),
        body=b'{"data": "error"}\n\n',
    ),
    'a page as a stream': error(200, OTHER_SEAL, EVENT_STREAM),
    'a stream without a mark of origin': error(
        200, EVENT_STREAM, body=event(3)
    ),
    'a stream of another request': error(
        200, OTHER_SEAL, EVENT_STREAM, body=event(3), request_id='r2'
    ),
    'ids that go back': error(
        200, OTHER_SEAL, EVENT_STREAM, body=event(3, 'error') + event(2)
    ),
    'ids from the beginning': error(
        200, OTHER_SEAL, EVENT_STREAM, body=event(1, 'error') + event(2)
    ),
    'a malformed head': Answer(b'HTTP/1.1 500\0 error\r\n: x\r\n\r\n' + HTML),
    'no head': Answer(HTML),
    'an interim response and 500': Answer(
        b'HTTP/1.1 103 X\r\nLink: error\r\n\r\n',
        *error(500, OTHER_SEAL).pieces,
    ),
    'nothing': Answer(),
}


def make_script(answer):
    async def script(headers, stream):
        return answer

    return script


async def send_remaining_events(headers, stream):
    last_id = int(headers.get('last-event-id', 0))
    events = [chunk(event(n)) for n in range(last_id + 1, 6)]
    return begin(*events, LAST_CHUNK, seal=OTHER_SEAL)


async def ask(*scripts, changes=()):
    """Returns the answer of engines that are asked in the given order."""
    engines = world_lib.engines(*[(0, 4)] * len(scripts))
    remaining = list(scripts)

    async def script(headers, stream):
        # Engines are chosen in any order; the answers are given in this one.
        answer = remaining.pop(0) if remaining else None
        return await answer(headers, stream) if answer else Answer()

    for server in engines:
        server.script = script
    config = world_lib.make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    draft.update({'max_attempts': 3, **dict(changes)})
    async with world_lib.running(*engines, config=config) as world:
        return await world.ask(
            '/draft/x', 'POST', b'p', token_usage='10,10', model='m'
        )


def check_is_broken_off(answer, caplog, until=ALL_EVENTS):
    """Checks that a caller got events in order and no end."""
    status, headers, body, is_complete = answer
    assert (status, headers['response-seal']) == (200, 'a.b.c')
    assert headers['content-type'] == 'text/event-stream'
    # The last events may be lost when the connection is reset.
    assert body in [
        b''.join(event(n) for n in range(1, last + 1)) for last in range(6)
    ]
    assert until.startswith(body)
    assert not is_complete
    check_is_intended(caplog)


def check_is_intended(caplog):
    failures = [r for r in caplog.records if r.levelno >= logging.ERROR]
    assert failures == []


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (first, second)
        for first in BREAKS
        for second in ERRORS
        # The others differ only in what has been tried with these.
        if first in ('reset', 'closed within an event')
        or second in ('404 with a mark of origin', 'a page with 200', 'nothing')
    ],
)
async def test_a_begun_stream_never_contains_an_error(
    first, second, caplog, clock
):
    # Guards against an error's text, or its head, in the middle of a stream,
    # and against a stream that ends as if it were complete.
    answer = await ask(make_script(BREAKS[first]), make_script(ERRORS[second]))
    until = ALL_EVENTS
    if second != 'ids that go back':
        until = BEGUN
    check_is_broken_off(answer, caplog, until)


@pytest.mark.parametrize('first', BREAKS)
async def test_a_stream_goes_on_after_an_error_at_the_next_server(
    first, caplog, clock
):
    for second in ('500 with a mark of origin', 'a page with 200', '404'):
        answer = await ask(
            make_script(BREAKS[first]),
            make_script(ERRORS.get(second, error(404))),
            send_remaining_events,
        )
        status, headers, body, is_complete = answer
        assert (status, body, is_complete) == (200, ALL_EVENTS, True)
        assert headers['response-seal'] == 'a.b.c'
    check_is_intended(caplog)


@pytest.mark.parametrize('first', BREAKS)
@pytest.mark.parametrize(
    'changes', [{'stream_resume': False}, {'max_attempts': 1}]
)
async def test_a_begun_stream_without_another_attempt_is_broken_off(
    first, changes, caplog, clock
):
    answer = await ask(
        make_script(BREAKS[first]),
        send_remaining_events,
        changes=changes.items(),
    )
    check_is_broken_off(answer, caplog, BEGUN)


async def test_a_begun_stream_without_another_server_is_broken_off(
    caplog, clock
):
    for answer in BREAKS.values():
        check_is_broken_off(await ask(make_script(answer)), caplog, BEGUN)


@pytest.mark.parametrize('second', [n for n in ERRORS if n[:3] != 'ids'])
async def test_an_error_before_the_first_event_leaves_the_head_to_the_next(
    second, caplog, clock
):
    answer = await ask(make_script(ERRORS[second]), send_remaining_events)
    status, headers, body, _ = answer
    if status == 200:
        assert (body, headers['response-seal']) == (ALL_EVENTS, 'd.e.f')
    else:
        # A server's own answer to a proper attempt.
        assert second.endswith('with a mark of origin')
        assert status == int(second[:3])
    check_is_intended(caplog)


async def test_a_route_that_times_out_within_a_stream_writes_no_error(
    caplog, clock
):
    async def pause(headers, stream):
        return begin(chunk(BEGUN), 60.0)

    answer = await ask(pause, changes={'timeout_ms': 1000}.items())
    check_is_broken_off(answer, caplog, BEGUN)


@pytest.mark.parametrize('size', [10, 200_000])
async def test_invalid_bytes_of_the_caller_write_no_error_into_its_answer(
    size, clock
):
    may_go_on = trio.Event()

    async def wait(headers, stream):
        await stream.send_all(begin().pieces[0] + chunk(BEGUN))
        await may_go_on.wait()
        await stream.send_all(chunk(ALL_EVENTS[len(BEGUN) :]) + LAST_CHUNK)

    servers = world_lib.engines((0, 4), script=wait)
    data = b''
    async with world_lib.running(*servers) as world:
        async with await world.connect() as stream:
            request = world_lib.make_request('/draft/x', 'POST', b'p')
            await stream.send_all(request)
            while BEGUN not in data:
                data += await stream.receive_some(65536)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_and_ignore_reset, stream, b'\0' * size)
                await trio.sleep(0.1)
                may_go_on.set()
                while LAST_CHUNK not in data:
                    data += await stream.receive_some(65536)
                nursery.cancel_scope.cancel()
    begun, _, after = data.partition(LAST_CHUNK)
    assert begun.count(b'HTTP/1.1') == 1
    assert begun.endswith(chunk(ALL_EVENTS[len(BEGUN) :]))
    assert after[:13] in (b'', b'HTTP/1.1 400 ')


async def send_and_ignore_reset(stream, data):
    try:
        await stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


PLAIN_BREAKS = {
    'in chunks, closed': ('chunked', chunk(b'bad'), 'close'),
    'in chunks, reset': ('chunked', chunk(b'bad'), 'reset'),
    'without a length, reset': ('', b'bad', 'reset'),
    'an error in place of a chunk': (
        'chunked',
        chunk(b'bad') + ERROR_HEAD,
        'close',
    ),
}


@pytest.mark.parametrize('kind', PLAIN_BREAKS)
async def test_a_plain_answer_that_breaks_off_is_not_forwarded(kind, clock):
    framing, data, ends = PLAIN_BREAKS[kind]

    async def break_off(headers, stream):
        fixed = [('Request-Id', 'r1'), world_lib.SEAL]
        start = world_lib.head(200, fixed, framing)
        return Answer(start + data, 0.05, ends=ends)

    server = world_lib.Server('app-1', 'app', break_off)
    async with world_lib.running(server) as world:
        status, _, body, _ = await world.ask('/book/x', 'POST', b'p')
    assert (status, body) == (502, b'')


WELL_FORMED = [
    b'id: 1\ndata: x\n\n',
    b'weights-versions: 3\nid: 1\ndata: x\n\n',
    b'\xef\xbb\xbfdata: x\n\n',
    b': a comment\n\n',
    b':\r\n\r\n',
    b'data\n\n',
    b'event:error\r\ndata: <html>\r\n\r\n',
    b'data: HTTP/1.1 500 X\n\n',
    b'\n\n',
]
MALFORMED = [
    b'HTTP/1.1 500 X\r\nRequest-Id: r1\r\n\r\n',
    b'id: 3\nHTTP/1.1 500 X\r\nRequest-Id: r1\r\n\r\n',
    b'<html>\n\n',
    b'{"data": 1}\n\n',
    b'error\n\n',
    b'upstream failed: no server\n\n',
    b'da\n\n',
    b'id: 3\ndata: xHTTP/1.1 500 X\r\nRequest-Id: r1\r\n\r\n',
    b'Error: no server\n\n',
    b'\0\1: x\n\n',
]


@pytest.mark.parametrize('data', WELL_FORMED + MALFORMED)
def test_an_event_consists_of_fields_and_comments(data):
    (found,) = event_stream.EventSplitter().feed(data)
    assert found.data == data
    assert found.is_well_formed == (data in WELL_FORMED)
