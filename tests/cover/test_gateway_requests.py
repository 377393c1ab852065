"""Tests of valid and invalid requests to plain services."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
head = world_lib.head


def app(name='app-1', script=None):
    return world_lib.Server(name, 'app', script)


def scripted(*answers):
    """Returns a script that gives the answers in turn and repeats the last."""
    remaining = list(answers)

    async def script(headers, stream):
        make = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return make(headers)

    return script


def answer_good(headers):
    fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
    return Answer(head(200, fixed_headers, body=b'good'))


async def test_a_request_is_forwarded_unchanged_and_answered_completely():
    server = app()
    async with world_lib.running(server) as world:
        status, headers, body, is_complete = await world.ask(
            '/book/%7Ea/../b?q=%20', 'POST', b'data', x_more='1'
        )
    assert (status, body, is_complete) == (200, b'served by app-1', True)
    assert headers['response-seal'] == 'a.b.c'
    assert headers['request-id'] == 'r1'
    method, target, sent_headers, sent_body = server.requests[0]
    assert (method, target) == ('POST', '/book/%7Ea/../b?q=%20')
    assert sent_body == b'data'
    assert sent_headers['host'] == world_lib.HOST
    assert sent_headers['x-more'] == '1'


async def test_internal_and_hop_by_hop_headers_of_callers_are_not_forwarded():
    server = app()
    async with world_lib.running(server) as world:
        await world.ask(
            tenant='other',
            expect_instance='x',
            expect_version='9',
            hop_count='1.2.3.4:5=0-80',
            request_priority='0',
            connection='x-secret, host, request-id',
            x_secret='1',
        )
    sent_headers = server.requests[0][2]
    assert sent_headers['tenant'] == 'vanua'
    assert sent_headers['expect-instance'] == 'app-1'
    assert 1 <= int(sent_headers['deadline-ms']) <= 2000
    assert sent_headers['host'] == world_lib.HOST
    assert sent_headers['request-id'] == 'r1'
    for name in (
        'authorization',
        'hop-count',
        'expect-version',
        'request-priority',
        'x-secret',
    ):
        assert name not in sent_headers


@pytest.mark.parametrize(
    ('headers', 'target', 'status'),
    [
        ({'authorization': 'Bearer wrong'}, '/look/x', 401),
        ({'authorization': None}, '/look/x', 401),
        ({'authorization': None}, '/open/x', 200),
        ({}, '/nowhere/x', 404),
        ({'host': 'other.example'}, '/look/x', 404),
        ({'deadline_ms': 'soon'}, '/look/x', 400),
    ],
)
async def test_requests_are_admitted_by_key_and_route(headers, target, status):
    server = app()
    async with world_lib.running(server) as world:
        answer = await world.ask(target, **headers)
    assert answer[0] == status
    assert len(server.requests) == (status == 200)


async def test_a_withdrawn_key_is_refused_at_once():
    server = app()
    async with world_lib.running(server) as world:
        config = world_lib.make_config(2, tenants=[])
        await world.put_config(config)
        while world.gateway.state.catalog.version < 2:
            await trio.sleep(0.005)
        assert (await world.ask())[0] == 401
    assert server.requests == []


async def test_an_older_configuration_is_never_applied():
    async with world_lib.running(app()) as world:
        await world.put_config(world_lib.make_config(5))
        await world.put_config(world_lib.make_config(4, tenants=[]))
        await world.put_config(world_lib.make_config(6))
        while world.gateway.state.catalog.version < 6:
            await trio.sleep(0.005)
        await world.put_config(world_lib.make_config(2, routes=[]))
        await trio.sleep(0.3)
        assert (await world.ask())[0] == 200


async def test_keys_are_not_accepted_once_the_configuration_is_outdated():
    server = app()
    async with world_lib.running(server, revoke_s=0.8) as world:
        world.store.is_down = True
        world.gateway.state.catalog_at -= 1.0
        status, headers, _, _ = await world.ask()
    assert status == 503
    assert 'retry-after' in headers
    assert server.requests == []


async def test_an_unknown_route_is_refused_temporarily_during_a_store_outage():
    async with world_lib.running(app()) as world:
        world.store.is_down = True
        world.gateway.state.catalog_confirmed_at -= 10.0
        assert (await world.ask('/new/x'))[0] == 503


INVALID_ANSWERS = {
    'of another request': lambda h: Answer(
        head(200, [('Request-Id', 'r2'), world_lib.SEAL], body=b'bad')
    ),
    'without a mark of origin': lambda h: Answer(
        head(200, [('Request-Id', 'r1')], body=b'bad')
    ),
    'encoded': lambda h: Answer(
        head(
            200,
            [('Request-Id', 'r1'), world_lib.SEAL, ('Content-Encoding', 'x')],
            body=b'bad',
        )
    ),
    'cut short': lambda h: Answer(
        head(200, [('Request-Id', 'r1'), world_lib.SEAL], body=b'bad')[:-1]
    ),
    'not http': lambda h: Answer(b'\0\1\2 garbage\r\n\r\n'),
    'reset before its end, without a length': lambda h: Answer(
        head(200, [('Request-Id', 'r1'), world_lib.SEAL], '') + b'bad',
        0.05,
        ends='reset',
    ),
    'none at all': lambda h: Answer(),
}


@pytest.mark.parametrize('kind', INVALID_ANSWERS)
async def test_a_repeatable_request_is_retried_after_an_invalid_answer(kind):
    servers = [
        app(
            f'app-{n}',
            scripted(INVALID_ANSWERS[kind], answer_good) if n == 1 else None,
        )
        for n in (1, 2)
    ]
    async with world_lib.running(*servers) as world:
        for _ in range(4):
            status, _, body, is_complete = await world.ask()
            assert (status, is_complete) == (200, True)
            assert b'bad' not in body
    assert max(len(s.requests) for s in servers) >= 1


@pytest.mark.parametrize('kind', INVALID_ANSWERS)
async def test_an_unrepeatable_request_is_sent_once_despite_an_invalid_answer(
    kind,
):
    servers = [app(f'app-{n}', scripted(INVALID_ANSWERS[kind])) for n in (1, 2)]
    async with world_lib.running(*servers) as world:
        status, _, body, is_complete = await world.ask('/book/x', 'POST', b'1')
    assert (status, body, is_complete) == (502, b'', True)
    assert sum(len(server.requests) for server in servers) == 1


async def test_bytes_after_a_complete_answer_are_discarded():
    def answer_twice(headers):
        answer = answer_good(headers)
        return Answer(answer.pieces[0] * 2)

    async with world_lib.running(app(script=scripted(answer_twice))) as world:
        async with await world.connect() as stream:
            for number in range(3):
                name = f'q{number}'
                await stream.send_all(world_lib.make_request(request_id=name))
                status, headers, body, _ = await world_lib.read_answer(stream)
                assert (status, body) == (200, b'good')
                assert headers['request-id'] == name


async def test_an_answer_that_ends_with_its_connection_is_complete():
    def answer_without_length(headers):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(head(200, fixed_headers, '') + b'whole')

    async with world_lib.running(
        app(script=scripted(answer_without_length))
    ) as world:
        assert (await world.ask())[2:] == (b'whole', True)


async def test_a_request_refused_by_its_servers_gets_a_503_with_retry_after():
    def refuse(headers):
        fixed_headers = [
            ('Request-Id', headers['request-id']),
            ('Not-Executed', '1'),
        ]
        return Answer(head(503, fixed_headers))

    servers = [app(f'app-{n}', scripted(refuse)) for n in (1, 2, 3)]
    async with world_lib.running(*servers) as world:
        status, headers, _, _ = await world.ask('/book/x', 'POST', b'1')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert sum(len(server.requests) for server in servers) == 2


async def test_a_failure_of_a_server_is_forwarded_with_its_mark_of_origin():
    def failing(headers):
        fixed_headers = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(head(500, fixed_headers, body=b'oh'))

    async with world_lib.running(app(script=scripted(failing))) as world:
        status, headers, body, _ = await world.ask('/book/x', 'POST', b'1')
    assert (status, body) == (500, b'oh')
    assert headers['response-seal'] == 'a.b.c'


async def test_an_address_taken_over_by_another_server_gets_no_requests():
    def moved(headers):
        fixed_headers = [
            ('Request-Id', headers['request-id']),
            ('Instance-Id', 'other'),
        ]
        return Answer(head(421, fixed_headers))

    servers = [app('app-1', scripted(moved)), app('app-2')]
    async with world_lib.running(*servers) as world:
        for _ in range(6):
            assert (await world.ask('/book/x', 'POST', b'1'))[0] == 200
    assert len(servers[0].requests) <= 1


async def test_a_long_body_is_forwarded_completely():
    server = app()
    body = b'x' * 9000
    async with world_lib.running(server) as world:
        assert (await world.ask('/book/x', 'POST', body))[0] == 200
    assert server.requests[0][3] == body


async def test_an_unresponsive_server_results_in_a_timeout_of_the_route():
    async def silent(headers, stream):
        return Answer(ends='hang')

    config = world_lib.make_config()
    for route in config['routes']:
        route['timeout_ms'] = 300
    async with world_lib.running(app(script=silent), config=config) as world:
        status, _, _, is_complete = await world.ask('/book/x', 'POST', b'1')
    assert (status, is_complete) == (504, True)


async def test_the_work_is_cancelled_when_the_caller_disconnects():
    entered, disconnected = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        assert await stream.receive_some(1) == b''
        disconnected.set()

    async with world_lib.running(app(script=slow)) as world:
        stream = await world.connect()
        await stream.send_all(world_lib.make_request())
        await entered.wait()
        await stream.aclose()
        with trio.fail_after(5):
            await disconnected.wait()


async def test_a_draining_server_gets_no_new_requests_but_finishes_its_own():
    entered, may_finish = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        await may_finish.wait()
        return answer_good(headers)

    leaving, other = app('app-1', slow), app('app-2')
    async with world_lib.running(leaving, other) as world:
        await world.list_server(other, state='draining')
        while world.gateway.state.endpoints.get('app-2').is_draining is False:
            await trio.sleep(0.005)
        answers = []

        async def ask():
            answers.append(await world.ask())

        world.nursery.start_soon(ask)
        await entered.wait()
        await world.list_server(leaving, state='draining')
        while not world.gateway.state.endpoints.get('app-1').is_draining:
            await trio.sleep(0.005)
        assert (await world.ask('/book/x', 'POST', b'1'))[0] == 503
        may_finish.set()
        with trio.fail_after(5):
            while not answers:
                await trio.sleep(0.005)
    assert answers[0][0] == 200


INVALID_REQUESTS = {
    'two lengths': (
        b'POST /book/x HTTP/1.1\r\nHost: users.example\r\nRequest-Id: r1\r\n'
        b'Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc',
        400,
    ),
    'a length beside chunks': (
        b'POST /book/x HTTP/1.1\r\nHost: users.example\r\nRequest-Id: r1\r\n'
        b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\nGET /look/smuggled HTTP/1.1\r\nHost: users.example\r\n\r\n',
        400,
    ),
    'headers too large': (
        b'GET /look/x HTTP/1.1\r\nHost: users.example\r\nX: '
        + b'x' * 8000
        + b'\r\n\r\n',
        431,
    ),
    'a body too large': (
        b'POST /book/x HTTP/1.1\r\nHost: users.example\r\nRequest-Id: r1\r\n'
        b'Content-Length: 20000\r\n\r\n' + b'x' * 20000,
        413,
    ),
    'headers too slow': (b'GET /look/x HTTP/1.1\r\nHost: us', 408),
    'not http': (b'\0\1\2\3\r\n\r\n', 400),
    'no host': (b'GET /look/x HTTP/1.1\r\n\r\n', 400),
}


@pytest.mark.parametrize('case', INVALID_REQUESTS)
async def test_invalid_requests_are_refused_and_not_forwarded(case):
    data, status = INVALID_REQUESTS[case]
    server = app()
    async with world_lib.running(server) as world:
        async with await world.connect() as stream:
            await stream.send_all(data)
            answer = await world_lib.read_answer(stream)
        assert answer[0] == status
        assert (await world.ask('/open/x'))[0] == 200
    assert len(server.requests) == 1


async def test_a_pipelined_request_is_served_after_the_first():
    async with world_lib.running(app()) as world:
        async with await world.connect() as stream:
            await stream.send_all(
                world_lib.make_request(request_id='q1')
                + world_lib.make_request(request_id='q2')
            )
            data = b''
            while data.count(b'served by') < 2:
                data += await stream.receive_some(65536)
    assert data.index(b'q1') < data.index(b'q2')


async def test_a_chunked_body_is_forwarded_completely():
    server = app()
    async with world_lib.running(server) as world:
        async with await world.connect() as stream:
            await stream.send_all(
                world_lib.make_request(
                    '/book/x', 'POST', transfer_encoding='chunked'
                )
                + world_lib.chunk(b'ab')
                + world_lib.chunk(b'cd')
                + b'0\r\n\r\n'
            )
            assert (await world_lib.read_answer(stream))[0] == 200
    assert server.requests[0][3] == b'abcd'


async def test_a_planned_stop_finishes_accepted_requests():
    may_finish, entered = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        await may_finish.wait()
        return answer_good(headers)

    answers = []
    async with world_lib.running(app(script=slow), grace_s=6.0) as world:

        async def ask():
            answers.append(await world.ask())

        world.nursery.start_soon(ask)
        await entered.wait()
        world.gateway.begin_stop()
        assert not world.gateway.is_ready()
        assert world.gateway.members.addresses('east') == []
        may_finish.set()
        with trio.fail_after(5):
            while not answers:
                await trio.sleep(0.01)
    assert answers[0][0] == 200


async def test_a_retry_gets_no_more_time_than_is_left():
    # Guards against a second endpoint that works beyond the caller's deadline.
    async def answer_late(headers, stream):
        await trio.sleep(0.3)
        return Answer(head(200, [('Request-Id', 'r2'), world_lib.SEAL]))

    servers = [app('app-1', answer_late), app('app-2', answer_late)]
    async with world_lib.running(*servers) as world:
        await world.ask(deadline_ms='1500')
    first, second = (s.requests[0][2]['deadline-ms'] for s in servers)
    deadlines_ms = sorted((int(first), int(second)))
    assert deadlines_ms[1] <= 1500
    assert deadlines_ms[0] <= deadlines_ms[1] - 290
