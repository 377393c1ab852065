"""Heads of requests that are sound but for one thing."""

import pytest

from tests.common import gateway_world as world_lib
from tests.common import odd_values

ID_LINE = b'Request-Id: r1\r\n'
BODY = b'12345'


async def send(*pieces):
    """Sends the bytes of a request to a host.

    Returns:
        What `read_answer` returns, and the requests that the server got.
    """
    server = world_lib.Server('app-0', 'app')
    async with world_lib.running(server) as world:
        stream = await world.connect()
        async with stream:
            for piece in pieces:
                await stream.send_all(piece)
            answer = await world_lib.read_answer(stream)
    return answer, server.requests


def make_request(line, body=b''):
    """Returns a request with a line after its id."""
    request = world_lib.make_request('/look/x', 'POST', body)
    return request.replace(ID_LINE, ID_LINE + line + b'\r\n')


# Guards against a field that is joined to the one before it, so that the server
# gets another id, and against control characters that reach servers.
@pytest.mark.parametrize('kind', odd_values.HEAD_LINES)
async def test_a_request_with_an_odd_line_in_its_head_is_refused(kind):
    line = odd_values.HEAD_LINES[kind]
    answer, requests = await send(make_request(line))
    assert answer[0] == 400
    assert requests == []


# Guards against a body that is read as the next request.
@pytest.mark.parametrize(
    'line', [b' Content-Length: 5', b'\tTransfer-Encoding: chunked']
)
async def test_such_a_line_does_not_hide_how_the_body_of_a_request_ends(line):
    smuggled = world_lib.make_request('/look/y', request_id='r2')
    answer, requests = await send(make_request(line) + smuggled)
    assert answer[0] == 400
    assert requests == []


# Guards against an odd line that is seen only if it comes in one piece.
@pytest.mark.parametrize('line', [b' X-Odd: 1', b'X-Odd: a\x01b'])
async def test_an_odd_line_that_comes_byte_by_byte_is_refused(line):
    request = make_request(line)
    answer, requests = await send(*(bytes([byte]) for byte in request))
    assert answer[0] == 400
    assert requests == []


@pytest.mark.parametrize('line', [b' X-Odd: 1', b'X-Odd: a\x01b'])
async def test_a_request_with_an_odd_line_among_its_trailers_is_refused(line):
    head = make_request(b'Transfer-Encoding: chunked')
    body = b'5\r\n12345\r\n0\r\nX-Sum: 1\r\n' + line + b'\r\n\r\n'
    answer, requests = await send(head + body)
    assert answer[0] == 400
    assert requests == []


# What is unusual but valid, and bytes of a body that look like an odd line.
async def test_a_request_with_valid_lines_reaches_a_server():
    body = b'\n a\r\n\t\x00\x01\r\n\r\n b'
    answer, requests = await send(make_request(b'X-Odd: a\tb', body))
    assert answer[0] == 200
    ((_, _, headers, received),) = requests
    assert received == body
    assert headers['x-odd'] == 'a\tb'
    assert headers['request-id'] == 'r1'


# Guards against a request that the host and the server read differently.
@pytest.mark.parametrize(
    'line',
    [
        b'Request-Id: r2',
        b'REQUEST-ID: r2',
        b'Request-Id: ',
        b'Deadline-Ms: 1',
        b'Authorization: Bearer other',
        b'Model: m\r\nModel: n',
        b'Last-Event-Id: 1\r\nLast-Event-Id: 2',
    ],
)
async def test_a_request_with_two_values_of_a_field_is_refused(line):
    answer, requests = await send(make_request(line))
    assert answer[0] == 400
    assert requests == []


# A list may come in several lines.
@pytest.mark.parametrize(
    'line',
    [
        b'Request-Id: r1',
        b'Prefix-Hash: a:1\r\nPrefix-Hash: b:2',
        b'X: 1\r\nX: 2',
    ],
)
async def test_a_request_with_a_field_twice_is_served(line):
    answer, requests = await send(make_request(line))
    assert answer[0] == 200
    assert len(requests) == 1
