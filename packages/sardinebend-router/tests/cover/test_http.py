"""Tests of the HTTP interface of an embedded host."""

import json
import socket

import pytest
import trio

from sardinebend_router import embedded
from sardinebend_router import host as host_lib
from sardinebend_router import logs
from sardinebend_settings import tree as tree_lib
from tests.common import embedded_host as eh

CONFIRM = '/v1/services/bookings/confirm'
LOOKUP = '/v1/services/bookings/lookup'


async def test_a_draft_without_streaming_is_answered_in_one_reply():
    async with eh.started() as host:
        status, headers, body = await eh.ask(host, body=eh.draft())
    assert status == 200
    assert headers['x-request-id'] == body['id']
    assert body['usage'] == {'completion_tokens': 3}
    assert body['choices'][0]['finish_reason'] == 'length'


async def test_a_streamed_draft_ends_with_the_token_count_and_a_done_event():
    async with eh.started() as host:
        _, headers, data = await eh.ask(host, body=eh.draft(stream=True))
    assert headers['content-type'] == 'text/event-stream'
    events = data.decode().split('\n\n')
    assert events[-2] == 'data: [DONE]'
    last_event = json.loads(events[-3].removeprefix('data: '))
    assert last_event['usage'] == {'completion_tokens': 3}


async def test_a_booking_repeated_with_its_key_gets_the_first_answer():
    async with eh.started() as host:
        first = await eh.ask(host, CONFIRM, b'{}', idempotency_key='k')
        repeated = await eh.ask(host, CONFIRM, b'{}', idempotency_key='k')
        changed_body = await eh.ask(
            host, CONFIRM, b'{"x":1}', idempotency_key='k'
        )
    assert first[0] == 200
    assert repeated[2] == first[2]
    assert changed_body[0] == 422
    assert changed_body[2]['outcome'] == 'not_run'


BAD_REQUESTS = {
    'malformed-json': (400, 'malformed-body', {'body': b'{'}),
    'not-an-object': (400, 'malformed-body', {'body': b'[]'}),
    'not-utf-8': (
        400,
        'malformed-body',
        {'body': b'{"model": "assistant", "prompt": "\xff\xfe"}'},
    ),
    'deeply-nested': (400, 'malformed-body', {'body': b'[' * 100_000}),
    'unknown-route': (404, 'not-found', {'body': eh.draft(model='x')}),
    'too-many-tokens': (
        400,
        'malformed-body',
        {'body': eh.draft(max_tokens=10**9)},
    ),
    'no-tokens': (400, 'malformed-body', {'body': eh.draft(max_tokens=0)}),
    'wrong-key': (401, 'not-authentic', {'body': eh.draft(), 'key': 'x'}),
    'no-key': (401, 'not-authentic', {'body': eh.draft(), 'key': ''}),
    'operator-key-for-a-draft': (
        401,
        'not-authentic',
        {'body': eh.draft(), 'key': eh.OPERATOR_KEY},
    ),
    'customer-key-for-admin': (
        401,
        'not-authentic',
        {'path': '/admin/v1/hosts', 'method': 'GET'},
    ),
    'oversize-body': (413, 'body-too-large', {'body': b'x' * 1_100_000}),
    'excessive-timeout': (
        400,
        'bad-request',
        {'body': eh.draft(), 'request_timeout': '1e99'},
    ),
    'negative-timeout': (
        400,
        'bad-request',
        {'body': eh.draft(), 'request_timeout': '-1'},
    ),
    'nan-timeout': (
        400,
        'bad-request',
        {'body': eh.draft(), 'request_timeout': 'nan'},
    ),
    'unknown-path': (404, 'not-found', {'path': '/x'}),
    'wrong-method': (
        405,
        'method-not-allowed',
        {'path': '/v1/completions', 'method': 'GET'},
    ),
    'unknown-operation': (
        404,
        'not-found',
        {'path': '/v1/services/bookings/x'},
    ),
    'booking-without-key': (400, 'idempotency-key-required', {'path': CONFIRM}),
    'booking-with-too-long-key': (
        400,
        'idempotency-key-required',
        {'path': CONFIRM, 'idempotency_key': 'k' * 300},
    ),
    'unknown-request': (
        404,
        'not-found',
        {'path': '/v1/requests/x', 'method': 'DELETE'},
    ),
}


@pytest.mark.parametrize('name', BAD_REQUESTS)
async def test_a_bad_request_gets_a_typed_error_and_leaves_no_work_behind(name):
    status, slug, kwargs = BAD_REQUESTS[name]
    async with eh.started() as host:
        actual_status, headers, problem = await eh.ask(host, **kwargs)
    assert actual_status == status
    assert headers['content-type'] == 'application/problem+json'
    assert problem['type'] == f'urn:sardinebend:problem:{slug}'
    assert problem['outcome'] == 'not_run'
    assert problem['request_id'] == headers['x-request-id']


@pytest.mark.parametrize(
    'disconnect_at', ['in-header', 'in-body', 'after-body', 'in-stream']
)
async def test_a_caller_that_disconnects_leaves_no_work_behind(disconnect_at):
    body = eh.draft(max_tokens=500, stream=True)
    data = eh.make_request(body=body)
    sent_lengths = {'in-header': 40, 'in-body': len(data) - 10}
    async with eh.started() as host:
        stream = await eh.send_raw(
            host, data[: sent_lengths.get(disconnect_at, len(data))]
        )
        if disconnect_at == 'in-stream':
            assert await stream.receive_some(100)
        elif disconnect_at == 'after-body':
            await eh.wait_until(lambda: host.state.in_flight)
        await stream.aclose()


async def test_the_host_ends_a_connection_whose_header_or_body_stalls():
    values = {'request.body_wait_s': 1.0, 'request.idle_wait_s': 1.0}
    host = eh.embedded.make_host(port=0, extra={'values': {'fleet': values}})
    data = eh.make_request(body=eh.draft())
    async with eh.started(host):
        in_header = await eh.send_raw(host, data[:30])
        in_body = await eh.send_raw(host, data[:-5])
        assert await eh.read_all(in_header) == b''
        answer = await eh.read_all(in_body)
    assert b' 408 ' in answer.split(b'\r\n')[0]


async def test_the_time_limits_for_a_request_do_not_cut_off_a_long_answer():
    values = {'request.body_wait_s': 1.0, 'request.idle_wait_s': 1.0}
    host = eh.embedded.make_host(port=0, extra={'values': {'fleet': values}})
    async with eh.started(host):
        _, _, body = await eh.ask(host, body=eh.draft(max_tokens=100))
    assert body['usage'] == {'completion_tokens': 100}


async def test_a_customer_cancels_only_its_own_requests():
    other = {'customers': {'other': {'key_hashes': [hash_key('other-key')]}}}
    host = eh.embedded.make_host(port=0, extra=other)
    body = eh.draft(max_tokens=500, stream=True)
    async with eh.started(host):
        stream = await eh.send_raw(host, eh.make_request(body=body))
        await eh.wait_until(lambda: host.state.in_flight)
        [request_id] = host.state.in_flight
        path = f'/v1/requests/{request_id}'
        other_customer = await eh.ask(
            host, path, method='DELETE', key='other-key'
        )
        assert other_customer[0] == 404
        assert host.state.in_flight
        same_customer = await eh.ask(host, path, method='DELETE')
        assert same_customer[0] == 202
        await eh.wait_until(lambda: not host.state.in_flight)
        await stream.aclose()


async def test_a_request_to_a_full_queue_is_refused_with_a_retry_time():
    values = {'admission.max_running': 1, 'admission.max_queued': 1}
    host = eh.embedded.make_host(port=0, extra={'values': {'fleet': values}})
    body = eh.draft(max_tokens=500)
    async with eh.started(host):
        first = await eh.send_raw(host, eh.make_request(body=body))
        await eh.wait_until(lambda: host.state.gate.running == 1)
        second = await eh.send_raw(host, eh.make_request(body=body))
        await eh.wait_until(lambda: host.state.gate.waiting == 1)
        status, headers, problem = await eh.ask(host, body=body)
        assert status == 429
        assert problem['type'].endswith('queue-full')
        assert int(headers['retry-after']) >= 1
        await second.aclose()
        await eh.wait_until(lambda: host.state.gate.waiting == 0)
        await first.aclose()


async def test_a_booking_does_not_wait_for_drafts():
    values = {'admission.max_running': 1}
    host = eh.embedded.make_host(port=0, extra={'values': {'fleet': values}})
    async with eh.started(host):
        body = eh.draft(max_tokens=500)
        draft = await eh.send_raw(host, eh.make_request(body=body))
        await eh.wait_until(lambda: host.state.gate.running == 1)
        status, _, _ = await eh.ask(
            host, CONFIRM, b'{}', idempotency_key='k', request_timeout='5'
        )
        assert status == 200
        assert host.state.gate.running == 1
        await draft.aclose()


async def test_hosts_health_and_metrics_need_no_key():
    async with eh.started() as host:
        answers = [
            await eh.ask(host, path, method='GET', key='')
            for path in ('/v1/hosts', '/livez', '/readyz', '/metrics')
        ]
    assert [status for status, _, _ in answers] == [200] * 4
    assert answers[0][2]['hosts'][0]['host'] == 'embedded'
    assert b'sardinebend_settings_version 1' in answers[3][2]


async def test_an_operator_may_not_change_nodes_outside_its_branches():
    operator = {
        'key_hashes': [hash_key('narrow-key')],
        'branches': ['values/fleet/customer:demo'],
    }
    host = eh.embedded.make_host(
        port=0, extra={'operators': {'narrow': operator}}
    )
    edit = {'node': 'values/fleet', 'expected_version': 1, 'value': {}}
    change = {'change_id': 'c', 'why': 'w', 'edits': [edit]}
    async with eh.started(host):
        status, _, problem = await eh.ask(
            host,
            '/admin/v1/settings/changes',
            json.dumps(change).encode(),
            key='narrow-key',
        )
    assert status == 403
    assert problem['type'].endswith('not-allowed')


async def test_a_refused_settings_change_is_not_recorded_in_the_history():
    edit = {
        'node': 'values/fleet',
        'expected_version': 1,
        'value': {'draft.max_attempts': 99},
    }
    change = {'change_id': 'c', 'why': 'w', 'edits': [edit]}
    async with eh.started() as host:
        status, _, problem = await eh.ask(
            host,
            '/admin/v1/settings/changes',
            json.dumps(change).encode(),
            key=eh.OPERATOR_KEY,
        )
        _, _, history = await eh.ask(
            host,
            '/admin/v1/settings/history',
            method='GET',
            key=eh.OPERATOR_KEY,
        )
    assert status == 400
    assert 'from 1 to 10' in problem['detail']
    assert [entry['change_id'] for entry in history] == ['initial']


def test_the_settings_tree_of_an_embedded_host_is_valid():
    assert tree_lib.Tree.from_document(eh.embedded.make_tree({})).version == 1


async def test_a_host_that_drains_lets_a_draft_finish():
    async with trio.open_nursery() as nursery:
        host = eh.embedded.make_host(port=0)
        await nursery.start(host.run)
        body = eh.draft(max_tokens=20)
        stream = await eh.send_raw(host, eh.make_request(body=body))
        await eh.wait_until(lambda: host.state.in_flight)
        host.begin_drain()
        data = await eh.read_all(stream)
    assert b'"completion_tokens":20' in data


async def test_a_host_that_drains_waits_for_an_incomplete_request_body():
    async with trio.open_nursery() as nursery:
        host = eh.embedded.make_host(port=0)
        await nursery.start(host.run)
        data = eh.make_request(body=eh.draft(max_tokens=5))
        stream = await eh.send_raw(host, data[:-10])
        await eh.wait_until(lambda: host.state.open_exchanges)
        host.begin_drain()
        await trio.sleep(1.0)
        await stream.send_all(data[-10:])
        answer = await eh.read_all(stream)
    assert b'"completion_tokens":5' in answer


SERVICE_CALLS = {
    'lookup': {'path': LOOKUP, 'body': b'{}'},
    'booking': {'path': CONFIRM, 'body': b'{}', 'idempotency_key': 'other'},
}


def begin_and_hang(monkeypatch):
    """Lets services hang; returns the calls that they begin."""
    begun = []

    async def hang(self, call):
        begun.append(call.operation)
        await trio.sleep_forever()

    monkeypatch.setattr(embedded.EmbeddedService, 'send', hang)
    return begun


# Guards against a queued call that begins when the drain has ended the one
# before it, and is then cut by the end of the host.
@pytest.mark.parametrize('kind', SERVICE_CALLS)
async def test_a_queued_call_is_refused_once_a_drain_ends_what_runs(
    kind, monkeypatch
):
    begun = begin_and_hang(monkeypatch)
    values = {'admission.max_running': 1, 'hosts.drain_wait_s': 0.2}
    host = embedded.make_host(port=0, extra={'values': {'fleet': values}})
    async with trio.open_nursery() as nursery:
        await nursery.start(host.run)
        running = eh.make_request(CONFIRM, b'{}', idempotency_key='k')
        first = await eh.send_raw(host, running)
        await eh.wait_until(lambda: begun)
        queued = eh.make_request(**SERVICE_CALLS[kind])
        second = await eh.send_raw(host, queued)
        await eh.wait_until(lambda: host.state.service_gate.waiting)
        host.begin_drain()
        answers = [await eh.read_all(stream) for stream in (second, first)]
    assert begun == ['confirm']
    assert b'503' in answers[0].split(b'\r\n')[0]
    assert b'host-draining' in answers[0]
    assert b'"not_run"' in answers[0]
    assert b'host-draining' in answers[1]


# Guards against a request whose body is complete only when the drain has ended
# what ran, and which then begins and is cut.
@pytest.mark.parametrize('kind', ['draft', *SERVICE_CALLS])
async def test_a_body_that_comes_after_the_wait_of_a_drain_begins_nothing(
    kind, monkeypatch
):
    begun = begin_and_hang(monkeypatch)
    values = {'hosts.drain_wait_s': 0.2}
    host = embedded.make_host(port=0, extra={'values': {'fleet': values}})
    requests = {'draft': {'body': eh.draft(max_tokens=1000)}, **SERVICE_CALLS}
    data = eh.make_request(**requests[kind])
    async with trio.open_nursery() as nursery:
        await nursery.start(host.run)
        stream = await eh.send_raw(host, data[:-1])
        await eh.wait_until(lambda: host.state.open_exchanges)
        host.begin_drain()
        await trio.sleep(1.0)
        await stream.send_all(data[-1:])
        answer = await eh.read_all(stream)
    assert begun == []
    assert b'503' in answer.split(b'\r\n')[0]
    assert b'host-draining' in answer
    assert b'"not_run"' in answer


# Guards against a second stop request that ends the host before the requests
# that it ends have been answered.
@pytest.mark.parametrize('kind', ['draft', *SERVICE_CALLS])
async def test_a_second_stop_request_ends_requests_with_an_answer(
    kind, monkeypatch
):
    begin_and_hang(monkeypatch)
    requests = {'draft': {'body': eh.draft(max_tokens=1000)}, **SERVICE_CALLS}
    host = embedded.make_host(port=0)
    async with trio.open_nursery() as nursery:
        await nursery.start(host.run)
        data = eh.make_request(**requests[kind])
        stream = await eh.send_raw(host, data)
        await eh.wait_until(lambda: host.state.in_flight)
        await trio.sleep(0.1)
        host.begin_drain()
        await trio.sleep(0.5)
        host.begin_drain()
        answer = await eh.read_all(stream)
    assert b'"outcome"' in answer
    assert b'host-draining' in answer


def hash_key(key):
    return eh.embedded.auth.hash_key(key)


def hang_in_service(monkeypatch):
    async def hang(self, call):
        await trio.sleep_forever()

    monkeypatch.setattr(embedded.EmbeddedService, 'send', hang)


CUT_REQUESTS = {
    'draft': {'body': eh.draft(max_tokens=1000)},
    'lookup': {'path': LOOKUP, 'body': b'{}'},
    'booking': {'path': CONFIRM, 'body': b'{}', 'idempotency_key': 'k'},
}


@pytest.mark.parametrize('kind', CUT_REQUESTS)
async def test_a_request_that_the_end_of_its_host_cuts_leaves_a_line(
    kind, monkeypatch, caplog
):
    # Guards against requests of which no line says that they were cut.
    hang_in_service(monkeypatch)
    host = embedded.make_host(port=0)
    with caplog.at_level('INFO', logs.LOGGER_NAME):
        async with trio.open_nursery() as nursery:
            await nursery.start(host.run)
            data = eh.make_request(**CUT_REQUESTS[kind])
            stream = await eh.send_raw(host, data)
            await eh.wait_until(lambda: host.state.in_flight)
            (request_id,) = host.state.in_flight
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        await stream.aclose()
    (line,) = [
        record
        for record in caplog.records
        if getattr(record, 'request_id', '') == request_id
    ]
    assert line.message == 'request cut'
    assert line.levelname == 'WARNING'
    assert line.kind == kind
    assert line.customer == 'demo'
    assert line.took_s > 0


# Guards against requests that are closed without an answer, since the host has
# accepted but not begun them when it finds itself idle and ends. A connection
# that it accepts in its last pass is closed by hypercorn; see KNOWN-RED.txt.
@pytest.mark.parametrize('passes', range(2, 10))
async def test_a_request_that_comes_when_its_host_ends_is_answered(
    passes, monkeypatch
):
    host = embedded.make_host(port=0)
    callers = []

    async def find_idle(*args):
        caller = socket.create_connection(('127.0.0.1', host.caller_port))
        caller.sendall(eh.make_request())
        callers.append(caller)
        for _ in range(passes):
            await trio.lowlevel.checkpoint()
        return True

    monkeypatch.setattr(host_lib.Host, '_wait_idle', find_idle)
    with trio.fail_after(eh.TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(host.run)
            host.begin_drain()
    [caller] = callers
    with caller:
        assert b'host-draining' in caller.recv(65536)
