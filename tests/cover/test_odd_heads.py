"""Heads of answers and of requests that are sound but for one thing."""

import pytest
import trio

from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from tests.common import gateway_world as world_lib
from tests.common import odd_values

BODY = b'0123456789' * 50
EVENTS = b''.join(world_lib.event(number) for number in range(1, 4))
SERVED = b'served by app-0'


def make_head(request_id, line=b'', start=b'HTTP/1.1 200 OK', size=None):
    """Returns the head of an answer, with a line after its first field."""
    lines = [
        start,
        b'Response-Seal: a.b.c',
        *([line] if line else []),
        b'Request-Id: ' + request_id.encode(),
        b'Content-Length: %d' % (len(BODY) if size is None else size),
        b'',
        b'',
    ]
    return b'\r\n'.join(lines)


async def ask_server(answer, target='/book/x', service='app'):
    """Asks a server for an answer; returns what its caller gets.

    Args:
        answer: Returns the bytes to send, from the id of the request.
        target: Target of the request.
        service: The service of the server.
    """

    async def script(headers, stream):
        return world_lib.Answer(answer(headers['request-id']))

    servers = [world_lib.Server('app-0', 'app', script)]
    if service == 'llm':
        servers = world_lib.engines((0, 4), script=script)
    async with world_lib.running(*servers) as world:
        found = await world.ask(
            target, 'POST', b'p', token_usage='10,10', model='m'
        )
    assert servers[0].requests
    return found


FOLDS = {
    kind: line
    for kind, line in odd_values.HEAD_LINES.items()
    if line[:1] in (b' ', b'\t')
}


# Guards against a field that is joined to the one before it and passed on, and
# against control characters that reach callers.
@pytest.mark.parametrize('kind', odd_values.HEAD_LINES)
async def test_an_answer_with_an_odd_line_in_its_head_is_no_answer(kind):
    line = odd_values.HEAD_LINES[kind]
    answer = await ask_server(lambda name: make_head(name, line) + BODY)
    assert (answer[0], answer[2]) == (502, b'')


# Guards against a body whose length is hidden in a joined line (100 of 524
# bytes as a whole answer).
@pytest.mark.parametrize('kind', FOLDS)
async def test_such_a_line_does_not_hide_how_the_body_ends(kind):
    def make_answer(request_id):
        head = make_head(request_id, FOLDS[kind])
        return head.replace(b'\r\nContent-Length: 500', b'') + BODY[:100]

    assert (await ask_server(make_answer))[0] == 502


@pytest.mark.parametrize('kind', odd_values.HEAD_LINES)
async def test_a_stream_with_an_odd_line_in_its_head_is_no_answer(kind):
    line = odd_values.HEAD_LINES[kind]

    def make_answer(request_id):
        return make_head(request_id, line, size=len(EVENTS)) + EVENTS

    answer = await ask_server(make_answer, '/draft/x', 'llm')
    assert answer[0] in (502, 503)
    assert answer[2] == b''


async def test_control_characters_in_a_status_line_are_no_answer():
    start = b'HTTP/1.1 200 O\x01K'
    answer = await ask_server(lambda name: make_head(name, start=start) + BODY)
    assert answer[0] == 502


# An interim response has a head as well.
@pytest.mark.parametrize('kind', FOLDS)
async def test_an_odd_line_in_an_interim_response_is_no_answer(kind):
    interim = b'HTTP/1.1 103 X\r\nLink: x\r\n%b\r\n\r\n' % FOLDS[kind]
    answer = await ask_server(lambda name: interim + make_head(name) + BODY)
    assert answer[0] == 502


# How the body ends is said twice or in an unknown way.
@pytest.mark.parametrize(
    'line',
    [
        b'Content-Length: 100',
        b'Content-Length: +500',
        b'Content-Length: -1',
        b'Content-Length: 500, 100',
        b'Content-Length: x',
        b'Transfer-Encoding: xchunked',
        b'Transfer-Encoding: gzip, chunked',
        b'Transfer-Encoding: chunked, chunked',
    ],
)
async def test_an_answer_whose_end_is_ambiguous_is_no_answer(line):
    answer = await ask_server(lambda name: make_head(name, line) + BODY)
    assert (answer[0], answer[2]) == (502, b'')


async def test_an_answer_whose_trailer_is_odd_is_no_answer():
    def make_answer(request_id):
        head = make_head(request_id, b'Transfer-Encoding: chunked')
        head = head.replace(b'Content-Length: 500\r\n', b'')
        return head + world_lib.chunk(BODY) + b'0\r\nX\x01: 1\r\n\r\n'

    assert (await ask_server(make_answer))[0] == 502


async def test_an_answer_whose_first_line_begins_with_a_blank_is_no_answer():
    start = b' X-Odd: 1\r\nHTTP/1.1 200 OK'
    answer = await ask_server(lambda name: make_head(name, start=start) + BODY)
    assert answer[0] == 502
    start = b'HTTP/1.1 200 OK\r\n X-Odd: 1'
    answer = await ask_server(lambda name: make_head(name, start=start) + BODY)
    assert answer[0] == 502


# What is unusual but valid, and bytes of a body that look like an odd line.
@pytest.mark.parametrize(
    ('line', 'name', 'value'),
    [
        (b'X-Odd: a\tb', 'x-odd', 'a\tb'),
        (b'X-Odd:', 'x-odd', ''),
        (b'X-Odd:  1 ', 'x-odd', '1'),
        (b"!#$%&'*+-.^_`|~09: 1", "!#$%&'*+-.^_`|~09", '1'),
    ],
)
async def test_a_valid_line_is_passed_on(line, name, value):
    body = b'\n a\r\n\t\x00\x01\r\n\r\n b' + BODY

    def make_answer(request_id):
        return make_head(request_id, line, size=len(body)) + body

    answer = await ask_server(make_answer)
    assert (answer[0], answer[2]) == (200, body)
    assert answer[1][name] == value


# Guards against an odd line that is seen only if it comes in one piece.
@pytest.mark.parametrize('line', [b' X-Odd: 1', b'X-Odd: a\x01b'])
async def test_an_odd_line_that_comes_byte_by_byte_is_no_answer(line):
    async def script(headers, stream):
        head = make_head(headers['request-id'], line)
        pieces = [bytes([byte]) for byte in head]
        return world_lib.Answer(*pieces, BODY)

    server = world_lib.Server('app-0', 'app', script)
    async with world_lib.running(server) as world:
        assert (await world.ask('/book/x', 'POST', b'p'))[0] == 502


# Guards against orders, reports and rows that are read from such an answer.
@pytest.mark.parametrize('kind', FOLDS)
async def test_a_call_of_the_host_itself_fails_with_an_odd_line(kind):
    async def serve(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(make_head('r1', FOLDS[kind]) + BODY)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        origin = connections.Origin(f'http://{world_lib.IP}:{port}')
        with pytest.raises(store_errors.ExchangeFailed):
            await origin.exchange('GET', '/x', timeout_s=5.0)
        nursery.cancel_scope.cancel()


ODD_STARTS = {
    f'status {status}': b'HTTP/1.1 %b X' % status.encode()
    for status in (
        *('000', '001', '099', '101', '199', '600', '700', '999'),
        *('20', '0200', '2x0', '+20', '-20', ' 20', '2 0', ''),
    )
} | {
    f'version {version}': b'%b 200 X' % version.encode()
    for version in (
        *('HTTP/0.9', 'HTTP/2.0', 'HTTP/3.7', 'HTTP/1', 'HTTP/11.1'),
        *('http/1.1', 'XTTP/1.1', 'HTTP/1.1 ', ''),
    )
}


# Guards against a status that no server means as an answer (000, 600), and
# against other protocols that are passed on as version 1.1.
@pytest.mark.parametrize('target', ['/book/x', '/look/x'])
@pytest.mark.parametrize('kind', ODD_STARTS)
async def test_an_answer_with_an_odd_status_line_is_no_answer(kind, target):
    start = ODD_STARTS[kind]
    answer = await ask_server(
        lambda name: make_head(name, start=start) + BODY, target
    )
    assert (answer[0], answer[2]) == (502, b'')


@pytest.mark.parametrize('kind', ODD_STARTS)
async def test_a_stream_with_an_odd_status_line_is_no_answer(kind):
    def make_answer(request_id):
        head = make_head(request_id, start=ODD_STARTS[kind], size=len(EVENTS))
        return head + EVENTS

    answer = await ask_server(make_answer, '/draft/x', 'llm')
    assert answer[0] in (502, 503)
    assert answer[2] == b''


@pytest.mark.parametrize(
    'start',
    [b'HTTP/1.1 200', b'HTTP/1.1 200 ', b'HTTP/1.0 200 X', b'HTTP/1.7 200 X'],
)
async def test_a_valid_status_line_is_passed_on(start):
    answer = await ask_server(lambda name: make_head(name, start=start) + BODY)
    assert (answer[0], answer[2]) == (200, BODY)


@pytest.mark.parametrize('status', [299, 399, 499, 599])
async def test_a_status_that_is_not_registered_is_passed_on(status):
    start = b'HTTP/1.1 %d X' % status
    answer = await ask_server(lambda name: make_head(name, start=start) + BODY)
    assert (answer[0], answer[2]) == (status, BODY)


# Guards against an answer that may be that of another request.
@pytest.mark.parametrize(
    'line',
    [b'Request-Id: other', b'request-id: other', b'Response-Seal: d.e.f'],
)
async def test_an_answer_with_two_ids_or_marks_is_no_answer(line):
    start = b'HTTP/1.1 200 OK\r\nRequest-Id: r1'
    answer = await ask_server(lambda name: make_head(name, line, start) + BODY)
    assert (answer[0], answer[2]) == (502, b'')


async def test_an_answer_with_its_mark_twice_is_passed_on():
    line = b'Response-Seal: a.b.c'
    answer = await ask_server(lambda name: make_head(name, line) + BODY)
    assert (answer[0], answer[2]) == (200, BODY)
