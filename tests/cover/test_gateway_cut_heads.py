"""Servers that stop in the middle of their answer's head, then close."""

import pytest

from tests.common import gateway_world as world_lib

# A reset at once would discard the bytes before it.
PAUSE_S = 0.01
PLACE_FOR_ID = b'r0000'
BODY = b'whole'
EVENTS = b''.join(world_lib.event(n) for n in range(1, 4))
CLOSE = ('Connection', 'close')
EVENT_STREAM = ('Content-Type', 'text/event-stream')
INTERIM = b'HTTP/1.1 103 X\r\nLink: x\r\n\r\n'


def make_head(*headers, framing='length', body=BODY):
    """Returns a head; what states its body's end comes last."""
    fixed = [('Request-Id', PLACE_FOR_ID.decode()), world_lib.SEAL, *headers]
    head = world_lib.head(200, fixed, framing, body)
    return head.removesuffix(body) if framing == 'length' else head


HEADS = {
    'a length': make_head(),
    'a length, closing': make_head(CLOSE),
    'a length first': make_head().replace(
        b'1.1 200 X\r\n', b'1.1 200 X\r\nContent-Length: 0\r\n'
    ),
    'chunks': make_head(framing='chunked'),
    'chunks, closing': make_head(CLOSE, framing='chunked'),
    'neither, closing': make_head(CLOSE, framing=''),
    'lines that end in a line feed': make_head(CLOSE).replace(b'\r\n', b'\n'),
    'an interim response': INTERIM + make_head(CLOSE),
    'version 1.0': make_head(framing='').replace(b'/1.1', b'/1.0'),
}
STREAM_HEADS = {
    'chunks': make_head(EVENT_STREAM, framing='chunked'),
    'chunks, closing': make_head(EVENT_STREAM, CLOSE, framing='chunked'),
    'a length': make_head(EVENT_STREAM, body=EVENTS),
    'neither, closing': make_head(EVENT_STREAM, CLOSE, framing=''),
}


async def ask_with_cuts(answer, ends, target, cuts, config=None):
    """Asks for answers that are cut.

    Args:
        answer: What the servers answer.
        ends: How they end the connection then.
        target: Target of the requests.
        cuts: Number of bytes that they send of it, for each request.
        config: The configuration, if it isn't the usual one.

    Returns:
        The answers that the callers got, and the ids of the requests that
        servers got.
    """
    answers = {}

    async def script(headers, stream):
        data = answer.replace(PLACE_FOR_ID, headers['request-id'].encode())
        piece = data[: int(headers['x-cut'])]
        return world_lib.Answer(piece, PAUSE_S, ends=ends)

    async def ask(world, cut):
        answers[cut] = await world.ask(
            target,
            'POST',
            b'p%d' % cut,
            request_id=f'r{cut:04}',
            x_cut=str(cut),
            token_usage='10,10',
            model='m',
        )

    servers = [world_lib.Server(f'app-{n}', 'app', script) for n in range(2)]
    if target.startswith('/draft/'):
        servers = world_lib.engines((0, 4), (0, 4), script=script)
    async with world_lib.running(*servers, config=config) as world:
        table = world.gateway.state.endpoints
        for cut in cuts:
            # An engine that broke a stream off gets no other one for a while.
            for endpoint in table.list_all(servers[0].service):
                table.mark_healthy(endpoint)
            await ask(world, cut)
    runs = [r[2]['request-id'] for s in servers for r in s.requests]
    return answers, runs


# Guards against an answer whose head was cut short and that a caller takes for
# a whole one, and against "not run" for what has run.
@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('kind', HEADS)
async def test_a_cut_head_is_no_answer_to_a_request_that_runs_once(
    kind, ends, clock
):
    head = HEADS[kind]
    cuts = range(len(head))
    answers, runs = await ask_with_cuts(head, ends, '/book/x', cuts)
    assert {answer[0] for answer in answers.values()} == {502}
    assert sorted(runs) == [f'r{cut:04}' for cut in cuts]


@pytest.mark.parametrize('kind', HEADS)
async def test_a_cut_head_is_no_answer_to_a_request_that_may_be_repeated(
    kind, clock
):
    head = HEADS[kind]
    cuts = range(len(head))
    answers, _ = await ask_with_cuts(head, 'close', '/look/x', cuts)
    assert {answer[0] for answer in answers.values()} == {502}


@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('kind', STREAM_HEADS)
async def test_a_cut_head_of_a_stream_is_no_answer(kind, ends, clock):
    head = STREAM_HEADS[kind]
    cuts = range(len(head))
    answers, runs = await ask_with_cuts(head, ends, '/draft/x', cuts)
    assert {answer[0] for answer in answers.values()} == {502}
    assert set(runs) == {f'r{cut:04}' for cut in cuts}


@pytest.mark.parametrize('ends', ['close', 'reset'])
async def test_a_cut_head_of_a_stream_that_runs_once_is_no_answer(ends, clock):
    config = world_lib.make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    draft['stream_resume'] = False
    head = STREAM_HEADS['chunks']
    cuts = range(len(head))
    answers, runs = await ask_with_cuts(head, ends, '/draft/x', cuts, config)
    assert {answer[0] for answer in answers.values()} == {502}
    assert sorted(runs) == [f'r{cut:04}' for cut in cuts]


# Guards against a body that is cut short and ends as if it were whole.
@pytest.mark.parametrize('ends', ['close', 'reset'])
@pytest.mark.parametrize('kind', ['a length', 'a length, closing'])
async def test_a_cut_body_is_no_answer(kind, ends, clock):
    head = HEADS[kind]
    cuts = range(len(head), len(head + BODY))
    answers, runs = await ask_with_cuts(head + BODY, ends, '/book/x', cuts)
    assert {answer[0] for answer in answers.values()} == {502}
    assert len(runs) == len(cuts)


# Such a body ends with its connection; only a reset shows that it was cut.
async def test_a_body_without_a_length_is_whole_unless_it_is_reset(clock):
    data = HEADS['neither, closing'] + BODY
    for ends, status, body in (('close', 200, BODY), ('reset', 502, b'')):
        answers, runs = await ask_with_cuts(data, ends, '/book/x', [len(data)])
        answer = answers[len(data)]
        assert (answer[0], answer[2], answer[3]) == (status, body, True)
        assert len(runs) == 1


async def test_a_stream_without_a_length_is_whole_unless_it_is_reset(clock):
    data = STREAM_HEADS['neither, closing'] + EVENTS
    cut = len(data)
    answers, _ = await ask_with_cuts(data, 'close', '/draft/x', [cut])
    assert answers[cut][0] == 200
    assert answers[cut][2:] == (EVENTS, True)
    answers, _ = await ask_with_cuts(data, 'reset', '/draft/x', [cut])
    assert not answers[cut][3]
