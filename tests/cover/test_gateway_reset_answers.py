"""Servers that answer while a request is still sent, then reset."""

import socket

import h11
import pytest
import trio

from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from tests.common import decision_log
from tests.common import gateway_world as world_lib

REQUEST_BYTES = 500_000
MAX_BODY_BYTES = 4 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 65536
BODY = b'0123456789' * 200
SENT_BYTES = 800
PAUSE_S = 0.05


def make_config():
    config = world_lib.make_config()
    config['limits']['max_body_bytes'] = MAX_BODY_BYTES
    return config


class EarlyServer(world_lib.Server):
    """Answers once it has read the head of a request.

    Attributes:
        pieces: What it sends after the head of its first answer; the later ones
            are sound.
        framing: How the head of its answer states the end of the body.
        ends: How it ends the connection then; `read` is after it has read the
            request.
    """

    framing = ''
    fields = ()

    def __init__(self, name, service, pieces, ends):
        super().__init__(name, service)
        self.pieces = pieces
        self.ends = ends

    async def start(self, nursery, port=0):
        await super().start(nursery, port)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    async def _serve_one(self, stream):
        conn = h11.Connection(h11.SERVER)
        while (event := conn.next_event()) is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(1024))
        if not isinstance(event, h11.Request):
            return
        headers = {n.decode(): v.decode() for n, v in event.headers}
        target = event.target.decode()
        if target.startswith('/-/'):
            await self._report(stream)
            return
        self.requests.append((event.method.decode(), target, headers, b''))
        pieces, ends = self.pieces, self.ends
        if len(self.requests) > 1:
            pieces, ends = [BODY], 'read'
        fields = [('Request-Id', headers['request-id']), world_lib.SEAL]
        fields += self.fields
        head = world_lib.head(200, fields, self.framing, BODY)
        await stream.send_all(head.removesuffix(BODY))
        for piece in pieces:
            if isinstance(piece, float):
                await trio.sleep(piece)
            else:
                await stream.send_all(piece)
        if ends == 'read':
            await world_lib.read_request(conn, stream)
        if ends == 'reset':
            world_lib.reset(stream)


async def ask(world, target='/book/x', size=REQUEST_BYTES, **headers):
    return await world.ask(
        target,
        'POST',
        b'q' * size,
        **headers,
        token_usage='10,10',
        model='m',
    )


# Guards against logs in which an answer that was cut by a reset looks like a
# whole one of no length.
@pytest.mark.parametrize('ends', ['read', 'reset'])
async def test_the_log_tells_how_an_answer_ended_and_what_was_sent(
    ends,
):
    server = EarlyServer('app-0', 'app', [BODY, PAUSE_S], ends)
    server.framing = 'length' if ends == 'reset' else ''
    with decision_log.collecting() as lines:
        async with world_lib.running(server, config=make_config()) as world:
            answer = await ask(world)
            page = world.gateway.state.metrics.render()
    assert (answer[0], answer[2]) == (200, BODY)
    (fields,) = (fields for name, fields in lines if name == 'request_ended')
    assert fields.get('ends_with_connection', False) == (ends == 'read')
    assert bool(fields.get('send_failure')) == (ends == 'reset')
    name = {
        'read': 'answers_ended_by_connection',
        'reset': 'answers_before_whole_request',
    }[ends]
    assert f'sardinebend_{name}_total 1' in page


# What a server does after the head of its answer, and the request's size. It
# closes with unread bytes of the request, so that the kernel resets.
RESETS = {
    'after a while': ([BODY[:SENT_BYTES], PAUSE_S], 'reset', REQUEST_BYTES),
    'at once': ([BODY[:SENT_BYTES]], 'reset', REQUEST_BYTES),
    'a short request': ([BODY[:SENT_BYTES]], 'reset', 3600),
    'a long request': (
        [BODY[:SENT_BYTES], 4 * PAUSE_S],
        'reset',
        MAX_BODY_BYTES,
    ),
    'closed with unread bytes': (
        [BODY[:SENT_BYTES], PAUSE_S],
        'close',
        REQUEST_BYTES,
    ),
    'without a byte of the body': ([PAUSE_S], 'reset', REQUEST_BYTES),
}
EVENTS = [world_lib.event(number) for number in range(1, 21)]


async def serve_whole_stream(headers, stream):
    """Sends the events that the caller lacks."""
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    head = world_lib.head(200, fixed, 'chunked')
    start = int(headers.get('last-event-id', 0))
    chunks = [world_lib.chunk(event) for event in EVENTS[start:]]
    return world_lib.Answer(head, *chunks, b'0\r\n\r\n')


# Guards against a part of an answer that was reset on the way and reaches the
# caller as a whole one, since the reset was reported to a write (review/6).
@pytest.mark.parametrize('kind', RESETS)
async def test_an_answer_that_is_reset_under_its_request_is_not_whole(kind):
    pieces, ends, size = RESETS[kind]
    server = EarlyServer('app-0', 'app', pieces, ends)
    async with world_lib.running(server, config=make_config()) as world:
        answer = await ask(world, size=size)
    assert answer[0] == 502
    assert len(server.requests) == 1


@pytest.mark.parametrize('kind', RESETS)
async def test_a_request_that_may_be_repeated_outlives_such_a_reset(kind):
    pieces, ends, size = RESETS[kind]
    servers = [EarlyServer(f'app-{n}', 'app', pieces, ends) for n in (0, 1)]
    # Only the first attempt fails, whichever server it reaches.
    servers[0].requests = servers[1].requests = []
    async with world_lib.running(*servers, config=make_config()) as world:
        answer = await ask(world, '/look/x', size=size)
    assert (answer[0], answer[2]) == (200, BODY)
    assert len(servers[0].requests) == 2


@pytest.mark.parametrize('kind', RESETS)
async def test_a_stream_that_is_reset_under_its_request_is_resumed(kind):
    pieces, ends, size = RESETS[kind]
    pieces = [
        b''.join(EVENTS[:5]) if isinstance(piece, bytes) else piece
        for piece in pieces
    ]
    broken = EarlyServer('engine-0', 'llm', pieces, ends)
    broken.span = (0, 4)
    sound = world_lib.Server('engine-1', 'llm', serve_whole_stream, 'west')
    sound.span = (0, 4)
    async with world_lib.running(broken, sound, config=make_config()) as world:
        answer = await ask(world, '/draft/x', size=size)
    assert answer[0] == 200
    assert answer[2:] == (b''.join(EVENTS), True)
    assert len(broken.requests) == 1


async def test_a_stream_that_runs_once_is_cut_by_such_a_reset():
    server = EarlyServer('engine-0', 'llm', EVENTS[:5], 'reset')
    server.span = (0, 4)
    config = make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    draft['stream_resume'] = False
    async with world_lib.running(server, config=config) as world:
        answer = await ask(world, '/draft/x')
    assert not answer[3]
    assert len(server.requests) == 1


# A length or chunks tell that nothing is missing.
@pytest.mark.parametrize('framing', ['length', 'chunked'])
async def test_an_answer_that_states_its_end_is_whole_despite_a_reset(framing):
    pieces = [BODY]
    if framing == 'chunked':
        pieces = [world_lib.chunk(BODY), b'0\r\n\r\n']
    server = EarlyServer('app-0', 'app', pieces, 'reset')
    server.framing = framing
    async with world_lib.running(server, config=make_config()) as world:
        answer = await ask(world)
    assert (answer[0], answer[2]) == (200, BODY)


# A server that stops without a reset, in the middle of its answer.
async def test_an_answer_that_falls_silent_under_its_request_is_not_whole():
    server = EarlyServer('app-0', 'app', [BODY[:SENT_BYTES]], 'hang')
    async with world_lib.running(server, config=make_config()) as world:
        answer = await ask(world, deadline_ms='700')
    assert answer[0] in (502, 504)
    assert answer[2] == b''


async def test_a_stream_that_falls_silent_under_its_request_is_resumed():
    broken = EarlyServer('engine-0', 'llm', EVENTS[:5], 'hang')
    broken.span = (0, 4)
    sound = world_lib.Server('engine-1', 'llm', serve_whole_stream, 'west')
    sound.span = (0, 4)
    async with world_lib.running(broken, sound, config=make_config()) as world:
        answer = await ask(world, '/draft/x', size=3600)
    assert answer[2:] == (b''.join(EVENTS), True)
    assert len(broken.requests) == 1


# Guards against orders, reports and rows that are read from a part of a reply.
async def test_a_call_of_the_host_itself_fails_with_such_a_reset():
    server = EarlyServer('app-0', 'app', [b'{"rows":[]}'], 'reset')
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        origin = connections.Origin(f'http://{server.address}')
        with pytest.raises(store_errors.ExchangeFailed, match='while'):
            await origin.exchange(
                'POST',
                '/x',
                [(b'request-id', b'r1')],
                b'q' * REQUEST_BYTES,
                timeout_s=5.0,
            )
        nursery.cancel_scope.cancel()
