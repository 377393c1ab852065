"""Requests through a gateway to plain services, good ones and bad ones."""

import pytest
import trio

from tests.common import gateway_world as world_lib

Answer = world_lib.Answer
head = world_lib.head


def app(name='app-1', script=None):
    return world_lib.Server(name, 'app', script)


def scripted(*answers):
    """Returns a script that gives one answer after another."""
    left = list(answers)

    async def script(headers, stream):
        make = left.pop(0) if len(left) > 1 else left[0]
        return make(headers)

    return script


def good(headers):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    return Answer(head(200, fixed, body=b'good'))


async def test_a_request_is_forwarded_unchanged_and_answered_whole():
    server = app()
    async with world_lib.running(server) as world:
        status, headers, body, whole = await world.ask(
            '/book/%7Ea/../b?q=%20', 'POST', b'data', x_more='1'
        )
    assert (status, body, whole) == (200, b'served by app-1', True)
    assert headers['response-seal'] == 'a.b.c'
    assert headers['request-id'] == 'r1'
    method, target, sent, sent_body = server.requests[0]
    assert (method, target) == ('POST', '/book/%7Ea/../b?q=%20')
    assert sent_body == b'data'
    assert sent['host'] == world_lib.HOST
    assert sent['x-more'] == '1'


async def test_what_only_the_system_may_say_does_not_pass_through():
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
    sent = server.requests[0][2]
    assert sent['tenant'] == 'vanua'
    assert sent['expect-instance'] == 'app-1'
    assert 1 <= int(sent['deadline-ms']) <= 2000
    assert sent['host'] == world_lib.HOST
    assert sent['request-id'] == 'r1'
    for name in (
        'authorization',
        'hop-count',
        'expect-version',
        'request-priority',
        'x-secret',
    ):
        assert name not in sent


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
async def test_keys_and_routes_decide_who_is_let_in(headers, target, status):
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


async def test_an_older_configuration_never_comes_back():
    async with world_lib.running(app()) as world:
        await world.put_config(world_lib.make_config(5))
        await world.put_config(world_lib.make_config(4, tenants=[]))
        await world.put_config(world_lib.make_config(6))
        while world.gateway.state.catalog.version < 6:
            await trio.sleep(0.005)
        await world.put_config(world_lib.make_config(2, routes=[]))
        await trio.sleep(0.3)
        assert (await world.ask())[0] == 200


async def test_keys_are_not_trusted_once_the_evidence_is_old():
    server = app()
    async with world_lib.running(server, revoke_s=0.8) as world:
        world.store.is_down = True
        world.gateway.state.catalog_at -= 1.0
        status, headers, _, _ = await world.ask()
    assert status == 503
    assert 'retry-after' in headers
    assert server.requests == []


async def test_a_route_unknown_to_outdated_evidence_is_refused_for_now():
    async with world_lib.running(app()) as world:
        world.store.is_down = True
        world.gateway.state.catalog_heard_at -= 10.0
        assert (await world.ask('/new/x'))[0] == 503


LIES = {
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


@pytest.mark.parametrize('lie', LIES)
async def test_a_repeatable_request_goes_on_after_an_answer(lie):
    servers = [
        app(f'app-{n}', scripted(LIES[lie], good) if n == 1 else None)
        for n in (1, 2)
    ]
    async with world_lib.running(*servers) as world:
        for _ in range(4):
            status, _, body, whole = await world.ask()
            assert (status, whole) == (200, True)
            assert b'bad' not in body
    assert max(len(s.requests) for s in servers) >= 1


@pytest.mark.parametrize('lie', LIES)
async def test_an_unrepeatable_request_is_sent_once_despite_an_answer(lie):
    servers = [app(f'app-{n}', scripted(LIES[lie])) for n in (1, 2)]
    async with world_lib.running(*servers) as world:
        status, _, body, whole = await world.ask('/book/x', 'POST', b'1')
    assert (status, body, whole) == (502, b'', True)
    assert sum(len(server.requests) for server in servers) == 1


async def test_bytes_after_a_whole_answer_reach_nobody():
    def extra(headers):
        answer = good(headers)
        return Answer(answer.pieces[0] * 2)

    async with world_lib.running(app(script=scripted(extra))) as world:
        async with await world.connect() as stream:
            for number in range(3):
                name = f'q{number}'
                await stream.send_all(world_lib.make_request(request_id=name))
                status, headers, body, _ = await world_lib.read_answer(stream)
                assert (status, body) == (200, b'good')
                assert headers['request-id'] == name


async def test_an_answer_that_ends_with_its_connection_is_whole():
    def unframed(headers):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(head(200, fixed, '') + b'whole')

    async with world_lib.running(app(script=scripted(unframed))) as world:
        assert (await world.ask())[2:] == (b'whole', True)


async def test_a_refusal_by_the_server_ends_as_not_run():
    def full(headers):
        fixed = [('Request-Id', headers['request-id']), ('Not-Executed', '1')]
        return Answer(head(503, fixed))

    servers = [app(f'app-{n}', scripted(full)) for n in (1, 2, 3)]
    async with world_lib.running(*servers) as world:
        status, headers, _, _ = await world.ask('/book/x', 'POST', b'1')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert sum(len(server.requests) for server in servers) == 2


async def test_a_servers_own_failure_is_passed_on_with_its_mark():
    def failing(headers):
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(head(500, fixed, body=b'oh'))

    async with world_lib.running(app(script=scripted(failing))) as world:
        status, headers, body, _ = await world.ask('/book/x', 'POST', b'1')
    assert (status, body) == (500, b'oh')
    assert headers['response-seal'] == 'a.b.c'


async def test_a_server_that_is_another_now_gets_nothing_more():
    def moved(headers):
        return Answer(head(421, [('Instance-Id', 'other')]))

    servers = [app('app-1', scripted(moved)), app('app-2')]
    async with world_lib.running(*servers) as world:
        for _ in range(6):
            assert (await world.ask('/book/x', 'POST', b'1'))[0] == 200
    assert len(servers[0].requests) <= 1


async def test_an_early_answer_to_a_long_body_is_taken():
    server = app()
    body = b'x' * 9000
    async with world_lib.running(server) as world:
        assert (await world.ask('/book/x', 'POST', body))[0] == 200
    assert server.requests[0][3] == body


async def test_a_silent_server_ends_in_a_timeout_of_the_route():
    async def silent(headers, stream):
        return Answer(ends='hang')

    config = world_lib.make_config()
    for route in config['routes']:
        route['timeout_ms'] = 300
    async with world_lib.running(app(script=silent), config=config) as world:
        status, _, _, whole = await world.ask('/book/x', 'POST', b'1')
    assert (status, whole) == (504, True)


async def test_a_caller_that_leaves_ends_the_work():
    entered, left = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        assert await stream.receive_some(1) == b''
        left.set()

    async with world_lib.running(app(script=slow)) as world:
        stream = await world.connect()
        await stream.send_all(world_lib.make_request())
        await entered.wait()
        await stream.aclose()
        with trio.fail_after(5):
            await left.wait()


async def test_a_leaving_server_gets_nothing_and_finishes_what_it_has():
    entered, go_on = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        await go_on.wait()
        return good(headers)

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
        go_on.set()
        with trio.fail_after(5):
            while not answers:
                await trio.sleep(0.005)
    assert answers[0][0] == 200


RAW = {
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


@pytest.mark.parametrize('case', RAW)
async def test_bad_bytes_are_refused_and_run_nothing(case):
    data, status = RAW[case]
    server = app()
    async with world_lib.running(server) as world:
        async with await world.connect() as stream:
            await stream.send_all(data)
            answer = await world_lib.read_answer(stream)
        assert answer[0] == status
        assert (await world.ask('/open/x'))[0] == 200
    assert len(server.requests) == 1


async def test_a_request_sent_early_is_served_after_the_first():
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


async def test_a_chunked_body_arrives_whole():
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


async def test_a_planned_stop_finishes_what_was_read():
    go_on, entered = trio.Event(), trio.Event()

    async def slow(headers, stream):
        entered.set()
        await go_on.wait()
        return good(headers)

    answers = []
    async with world_lib.running(app(script=slow), grace_s=6.0) as world:

        async def ask():
            answers.append(await world.ask())

        world.nursery.start_soon(ask)
        await entered.wait()
        world.gateway.begin_stop()
        assert not world.gateway.is_ready()
        assert world.gateway.members.addresses('east') == []
        go_on.set()
        with trio.fail_after(5):
            while not answers:
                await trio.sleep(0.01)
    assert answers[0][0] == 200


async def test_a_repeat_gets_no_more_time_than_is_left():
    # Guards against a second endpoint working past the caller's deadline.
    async def late(headers, stream):
        await trio.sleep(0.3)
        return Answer(head(200, [('Request-Id', 'r2'), world_lib.SEAL]))

    servers = [app('app-1', late), app('app-2', late)]
    async with world_lib.running(*servers) as world:
        await world.ask(deadline_ms='1500')
    first, second = (s.requests[0][2]['deadline-ms'] for s in servers)
    sent = sorted((int(first), int(second)))
    assert sent[1] <= 1500
    assert sent[0] <= sent[1] - 290
