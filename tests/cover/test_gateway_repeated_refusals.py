"""Refusals that aren't this request's prove nothing about it."""

import contextlib
import json

import pytest
import trio

from sardinebend_adapter import store_client
from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from sardinebend_store import remote
from sardinebend_store import store
from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
head = world_lib.head
OWN_ID = 'r1'
TARGETS = {
    'non_idempotent': '/book/x',
    'streaming without resume': '/once/x',
}


def refuse(request_id, status=503, *more):
    """Returns the bytes of a refusal; `None` stands for no request id."""
    fixed = [('Not-Executed', '1'), *more]
    if request_id is not None:
        fixed.append(('Request-Id', request_id))
    return head(status, fixed)


def make_script(*pieces):
    async def script(headers, stream):
        return Answer(*pieces)

    return script


def make_servers(target, *scripts):
    """Returns servers of the route's service, one for each script."""
    if target.startswith(('/draft/', '/once/')):
        servers = world_lib.engines(*[(0, 4)] * len(scripts))
    else:
        servers = [
            world_lib.Server(f'app-{n}', 'app') for n in range(len(scripts))
        ]
    for server, script in zip(servers, scripts, strict=True):
        server.script = script
    return servers


def make_config():
    config = world_lib.make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    once = {**draft, 'name': 'once', 'prefix': '/once/', 'stream_resume': False}
    config['routes'].append(once)
    return config


async def ask(target, servers):
    """Returns the answer and how many requests reached the servers."""
    async with world_lib.running(*servers, config=make_config()) as world:
        answer = await world.ask(
            target, 'POST', b'p', token_usage='1,1', model='m'
        )
    return answer, sum(len(server.requests) for server in servers)


async def answer_event_stream(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    start = head(200, fixed, 'chunked')
    return Answer(start, world_lib.chunk(world_lib.event(1)), b'0\r\n\r\n')


async def answer_plainly(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    return Answer(head(200, fixed, body=b'good'))


@pytest.mark.parametrize('status', [503, 429, 421])
@pytest.mark.parametrize('request_id', ['r0', None])
@pytest.mark.parametrize('kind', TARGETS)
async def test_a_refusal_of_another_request_is_not_believed(
    kind, request_id, status, clock
):
    # Guards against a second run, and against "not run" for a request that a
    # server runs, after a server repeated an earlier refusal.
    script = make_script(refuse(request_id, status))
    servers = make_servers(TARGETS[kind], script, script)
    answer, arrivals = await ask(TARGETS[kind], servers)
    assert (answer[0], answer[2], arrivals) == (502, b'', 1)


@pytest.mark.parametrize('kind', TARGETS)
async def test_a_421_without_the_id_of_its_request_is_not_believed(kind, clock):
    script = make_script(head(421, [('Instance-Id', 'other')]))
    servers = make_servers(TARGETS[kind], script, script)
    answer, arrivals = await ask(TARGETS[kind], servers)
    assert (answer[0], arrivals) == (502, 1)


@pytest.mark.parametrize('kind', TARGETS)
async def test_a_refusal_of_another_request_at_the_second_attempt(kind, clock):
    refusals = [refuse(OWN_ID), refuse('r0')]

    async def refuse_in_turn(headers, stream):
        return Answer(refusals.pop(0))

    scripts = [refuse_in_turn] * 2
    answer, arrivals = await ask(
        TARGETS[kind], make_servers(TARGETS[kind], *scripts)
    )
    assert (answer[0], arrivals) == (502, 2)


@pytest.mark.parametrize('target', ['/look/x', '/draft/x'])
async def test_a_repeatable_request_is_sent_on_and_never_reported_as_not_run(
    target, clock
):
    good = answer_plainly if target == '/look/x' else answer_event_stream
    stale = make_script(refuse('r0'))
    is_first = []

    async def refuse_first(headers, stream):
        is_first.append(1)
        script = stale if len(is_first) == 1 else good
        return await script(headers, stream)

    servers = make_servers(target, refuse_first, refuse_first)
    answer, arrivals = await ask(target, servers)
    assert (answer[0], answer[3], arrivals) == (200, True, 2)
    answer, arrivals = await ask(target, make_servers(target, stale, stale))
    assert (answer[0], arrivals) == (502, 2)


@pytest.mark.parametrize('kind', [*TARGETS, 'idempotent'])
async def test_a_refusal_of_this_request_is_believed(kind, clock):
    target = TARGETS.get(kind, '/look/x')
    own = make_script(refuse(OWN_ID))
    answer, arrivals = await ask(target, make_servers(target, own, own))
    # An engine may get a refused request again, along another path.
    assert (answer[0], arrivals >= 2) == (503, True)


@pytest.mark.parametrize('pause', [(), (0.004,)])
@pytest.mark.parametrize(
    'body', [b'', b'busy'], ids=['without a body', 'with a body']
)
@pytest.mark.parametrize('kind', TARGETS)
async def test_a_refusal_followed_by_another_answer_is_not_believed(
    kind, body, pause, clock
):
    # Guards against "not run" for a request whose answer was on its way.
    async def refuse_and_answer(headers, stream):
        fixed = [('Request-Id', OWN_ID), ('Not-Executed', '1')]
        good = await answer_plainly(headers, stream)
        if not pause:
            return Answer(head(503, fixed, body=body) + good.pieces[0])
        return Answer(head(503, fixed, body=body), *pause, *good.pieces)

    servers = make_servers(TARGETS[kind], *[refuse_and_answer] * 2)
    answer, arrivals = await ask(TARGETS[kind], servers)
    assert (answer[0], answer[2], arrivals) == (502, b'', 1)


@pytest.mark.parametrize('length', [3, 9])
async def test_a_refusal_that_is_not_complete_is_not_believed(length, clock):
    fixed = [('Request-Id', OWN_ID), ('Not-Executed', '1')]
    data = head(503, fixed, body=b'x' * length)[:-1]
    servers = make_servers('/book/x', *[make_script(data)] * 2)
    answer, arrivals = await ask('/book/x', servers)
    assert (answer[0], arrivals) == (502, 1)


async def test_a_kept_connection_of_a_caller_gets_no_earlier_refusal(clock):
    answers = [refuse('q0', 503, ('X', '1')), refuse('q0'), refuse('q0')]

    async def repeat_the_first(headers, stream):
        return Answer(answers.pop(0))

    servers = make_servers('/book/x', repeat_the_first)
    statuses = []
    async with world_lib.running(*servers) as world:
        async with await world.connect() as stream:
            for name in ('q0', 'q1', 'q2'):
                data = world_lib.make_request(
                    '/book/x', 'POST', b'p', request_id=name
                )
                await stream.send_all(data)
                answer = await world_lib.read_answer(stream, 'POST')
                statuses.append((answer[0], answer[1]['request-id']))
    assert statuses == [(503, 'q0'), (502, 'q1'), (502, 'q2')]


@pytest.mark.parametrize('request_id', [OWN_ID, 'r0'])
async def test_only_an_answer_to_its_request_says_something_of_the_server(
    request_id, clock
):
    # Guards against a server kept from work, for an hour or for good, by what
    # it had said once.
    more = ('Retry-After', '3600'), ('Server-Leaving', '1')
    servers = make_servers(
        '/look/x', make_script(refuse(request_id, 503, *more))
    )
    async with world_lib.running(*servers) as world:
        await world.ask('/look/x')
        await world.ask('/look/x', request_id='r5')
    assert len(servers[0].requests) == (1 if request_id == OWN_ID else 2)


@pytest.mark.parametrize('request_id', [OWN_ID, 'r0'])
async def test_only_a_421_of_this_request_removes_its_server(request_id, clock):
    data = refuse(request_id, 421, ('Instance-Id', 'other'))
    servers = make_servers('/look/x', make_script(data))
    async with world_lib.running(*servers) as world:
        await world.ask('/look/x')
        endpoint = world.gateway.state.endpoints.get('app-0')
        assert endpoint.is_draining == (request_id == OWN_ID)


@pytest.mark.parametrize('request_id', [OWN_ID, 'r0'])
async def test_only_a_refusal_of_this_request_names_an_engine_at_fault(
    request_id, clock
):
    async def name_the_second(headers, stream):
        fault = ('At-Server', servers[1].address)
        return Answer(refuse(request_id, 503, fault))

    servers = world_lib.engines((0, 2), (2, 4))
    servers[0].script = name_the_second
    async with world_lib.running(*servers) as world:
        await world.ask('/draft/x', 'POST', b'p', token_usage='1,1', model='m')
        endpoint = world.gateway.state.endpoints.get('engine-1')
        is_unhealthy = world.gateway.state.endpoints.is_unhealthy(
            endpoint, trio.current_time()
        )
    assert is_unhealthy == (request_id == OWN_ID)


async def test_each_order_counts_on_what_the_engine_has_begun(clock):
    # An order that was begun though its answer was an earlier refusal.
    server = world_lib.Server('engine-0', 'llm')

    def begin_and_refuse(order):
        server.orders.append(order)
        return 409

    server.take_order = begin_and_refuse
    async with world_lib.running(server):
        with trio.fail_after(60):
            while len(server.orders) < 3:
                await trio.sleep(0.1)
    expected = [order['expected'] for order in server.orders]
    assert expected == list(range(len(expected)))


@pytest.mark.parametrize('status', [404, 409, 421, 503])
async def test_a_repair_believed_refused_leaves_the_stream_in_order(
    status, clock
):
    # The engine repairs the stream and goes on, though it answered the order
    # with an earlier refusal.
    async def stall_until_repaired(headers, stream):
        last_id = int(headers.get('last-event-id', 0))
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        await stream.send_all(head(200, fixed, 'chunked'))
        for number in range(last_id + 1, 6):
            await stream.send_all(world_lib.chunk(world_lib.event(number)))
            if number == 2 and not servers[0].orders:
                servers[0].stalled = [servers[1].address]
                while not servers[0].orders:
                    await trio.sleep(0.01)
        await stream.send_all(b'0\r\n\r\n')

    def take_and_refuse(order):
        servers[0].orders.append(order)
        return status

    servers = world_lib.engines((0, 2), (2, 4), (2, 4), (0, 4))
    servers[0].script = servers[3].script = stall_until_repaired
    servers[0].take_order = take_and_refuse
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        for name in ('engine-2', 'engine-3'):
            state.mark_unhealthy(state.endpoints.get(name), 'test', False)
        answer = await world.ask(
            '/draft/x', 'POST', b'p', token_usage='1,1', model='m'
        )
    events = b''.join(world_lib.event(n) for n in range(1, 6))
    assert servers[0].orders
    assert answer[2] == events[: len(answer[2])]
    assert answer[3] == (answer[2] == events)


class FaultyStore:
    """A store that refuses its first call and writes that reply once more.

    It does so right after the first reply, or on the same connection, before
    the reply to the next call. It applies all further calls.

    Attributes:
        applied: The calls that were applied.
        connections: Number of connections that were opened.
    """

    def __init__(self, stale, good, repeats_at_once):
        self.applied = []
        self.connections = 0
        self._stale = stale
        self._good = good
        self._repeats_at_once = repeats_at_once

    async def serve(self, stream):
        self.connections += 1
        is_first_connection = self.connections == 1
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async with stream:
                await self._serve(stream, is_first_connection)

    async def _serve(self, stream, is_first_connection):
        repeated = b''
        if is_first_connection:
            await read_call(stream)
            again = self._stale if self._repeats_at_once else b''
            await stream.send_all(self._stale + again)
            repeated = b'' if self._repeats_at_once else self._stale
        while call := await read_call(stream):
            self.applied.append(call)
            await stream.send_all(repeated + self._good)


async def read_call(stream):
    """Returns the bytes of one call; empty at the end."""
    data = b''
    while b'\r\n\r\n' not in data:
        more = await stream.receive_some(65536)
        if not more:
            return b''
        data += more
    start, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in start.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line[15:])
    while len(body) < length:
        body += await stream.receive_some(65536)
    return start + body


@contextlib.asynccontextmanager
async def serving(faulty_store):
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
        nursery.start_soon(trio.serve_listeners, faulty_store.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        yield f'http://{world_lib.IP}:{port}'
        nursery.cancel_scope.cancel()


def encode_reply(status, value):
    body = json.dumps(value).encode()
    return head(status, [('Content-Type', 'application/json')], body=body)


@pytest.mark.parametrize('repeats_at_once', [True, False])
@pytest.mark.parametrize('status', [409, 429])
async def test_a_write_to_the_table_never_gets_the_reply_to_an_earlier_one(
    status, repeats_at_once
):
    # Guards against a claim that is believed refused, and was applied.
    faulty_store = FaultyStore(
        encode_reply(status, {'k': None}),
        encode_reply(200, {'versions': {'k': 2}}),
        repeats_at_once,
    )
    async with serving(faulty_store) as url:
        table = remote.RemoteTable.from_url(url)
        first = await table.transact([store.Write('k', 0, {})])
        second = await table.transact([store.Write('k', 1, {})])
        await table.close()
    assert first.is_err()
    assert second.ok_value == store.Committed({'k': 2})
    assert len(faulty_store.applied) == 1


@pytest.mark.parametrize('repeats_at_once', [True, False])
@pytest.mark.parametrize('status', [412, 429, 503])
async def test_a_write_of_a_row_never_gets_the_reply_to_an_earlier_one(
    status, repeats_at_once
):
    faulty_store = FaultyStore(
        encode_reply(status, {'rows': []}),
        encode_reply(200, {'row_version': 7}),
        repeats_at_once,
    )
    async with serving(faulty_store) as url:
        client = store_client.StoreClient(url)
        first = await client.write('t', 'k', 0, b'1')
        second = await client.write('t', 'k', 1, b'2')
        await client.close()
    assert first.is_err()
    assert second.ok_value == 7
    assert len(faulty_store.applied) == 1


async def test_a_connection_with_unread_bytes_is_not_used_again():
    # Guards against the reply to an earlier call as the reply to the next one:
    # both had arrived together, so the socket had nothing left to read.
    faulty_store = FaultyStore(
        encode_reply(503, {}), encode_reply(200, {}), True
    )
    async with serving(faulty_store) as url:
        origin = connections.Origin(url)
        replies = [
            await origin.exchange('GET', '/x', timeout_s=1.0) for _ in range(2)
        ]
        await origin.close()
    assert [reply.status for reply in replies] == [503, 200]
    assert faulty_store.connections == 2


async def test_a_large_object_is_not_taken_as_written_for_an_earlier_reply():
    faulty_store = FaultyStore(
        encode_reply(200, {}), encode_reply(503, {}), False
    )
    async with serving(faulty_store) as url:
        objects = remote.RemoteObjects.from_url(url)
        first = await objects.put('a', b'1')
        second = await objects.put('b', b'2')
        await objects.close()
    assert first.is_ok()
    assert isinstance(second.err_value, store_errors.Unclear)
