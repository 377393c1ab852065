"""Servers that are killed within an answer that has no length.

The kernel closes the connections of a killed process in order.
"""

import pytest
import trio

from tests.common import gateway_world as world_lib

EVENTS = [world_lib.event(number) for number in range(1, 9)]
BODY = b'0123456789' * 50
CLOSING_S = 0.003
AFTER_A_KILL = ('refuses', 'resets first')


class KilledServer(world_lib.Server):
    """Sends a part of its first answer, whose connection ends in order.

    Attributes:
        part: What it sends after the head.
        then: What new connections find afterwards: it `refuses` them, `resets
            first` those that its kernel had accepted, `resets` them all as it
            is busy, or `serves`.
    """

    def __init__(self, name, service, part, then):
        super().__init__(name, service, self._answer)
        self.part = part
        self.then = then
        self.span = (0, 4) if service == 'llm' else None
        self.is_ending = False

    async def _answer(self, headers, stream):
        fields = [('Request-Id', headers['request-id']), world_lib.SEAL]
        self.is_ending = self.then.startswith('resets')
        if self.then == 'refuses':
            self.close()
        return world_lib.Answer(world_lib.head(200, fields, ''), self.part)

    async def _serve(self, stream):
        if not self.is_ending:
            await super()._serve(stream)
            return
        await trio.sleep(CLOSING_S)
        if self.then == 'resets first':
            self.close()
        world_lib.reset(stream)
        await trio.aclose_forcefully(stream)


async def serve_rest(headers, stream):
    """Sends the events that the caller lacks, or a whole body."""
    fields = [('Request-Id', headers['request-id']), world_lib.SEAL]
    if 'hop-count' not in headers:
        return world_lib.Answer(world_lib.head(200, fields, body=BODY))
    start = int(headers.get('last-event-id', 0))
    return world_lib.Answer(
        world_lib.head(200, fields, ''), b''.join(EVENTS[start:])
    )


async def ask(servers, target, config=None):
    async with world_lib.running(*servers, config=config) as world:
        return await world.ask(
            target, 'POST', b'p', token_usage='10,10', model='m'
        )


def make_engines(part, then):
    """Returns an engine that is killed, and a sound one further away."""
    sound = world_lib.Server('engine-1', 'llm', serve_rest, 'west')
    sound.span = (0, 4)
    return KilledServer('engine-0', 'llm', part, then), sound


# Guards against a stream that ends as complete before its last event, as its
# server was killed between two events (review/8).
@pytest.mark.parametrize('then', AFTER_A_KILL)
async def test_a_stream_whose_server_is_killed_is_resumed(then):
    servers = make_engines(b''.join(EVENTS[:3]), then)
    answer = await ask(servers, '/draft/x')
    assert answer[0] == 200
    assert answer[2:] == (b''.join(EVENTS), True)
    ((_, _, headers, _),) = servers[1].requests
    assert headers['last-event-id'] == '3'


@pytest.mark.parametrize('then', AFTER_A_KILL)
async def test_a_stream_that_runs_once_is_cut_as_its_server_is_killed(then):
    servers = make_engines(b''.join(EVENTS[:3]), then)
    config = world_lib.make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    draft['stream_resume'] = False
    answer = await ask(servers, '/draft/x', config)
    assert answer[2:] == (b''.join(EVENTS[:3]), False)
    assert servers[1].requests == []


# A server that ends after its last event has nothing left to resume.
async def test_a_whole_stream_whose_server_ends_then_stays_whole():
    servers = make_engines(b''.join(EVENTS), 'refuses')
    answer = await ask(servers, '/draft/x')
    assert answer[2:] == (b''.join(EVENTS), True)


@pytest.mark.parametrize('then', ['serves', 'resets'])
async def test_a_stream_of_a_server_that_lives_is_whole(then):
    servers = make_engines(b''.join(EVENTS), then)
    answer = await ask(servers, '/draft/x')
    assert answer[2:] == (b''.join(EVENTS), True)
    assert servers[1].requests == []


# Guards against a part of a body that is passed on as a whole one.
@pytest.mark.parametrize('then', AFTER_A_KILL)
async def test_a_body_whose_server_is_killed_is_not_whole(then):
    server = KilledServer('app-0', 'app', BODY[:100], then)
    answer = await ask([server], '/book/x')
    assert (answer[0], answer[2]) == (502, b'')
    assert len(server.requests) == 1


@pytest.mark.parametrize('then', ['serves', 'resets'])
async def test_a_body_of_a_server_that_lives_is_whole(then):
    server = KilledServer('app-0', 'app', BODY, then)
    answer = await ask([server], '/book/x')
    assert (answer[0], answer[2]) == (200, BODY)
