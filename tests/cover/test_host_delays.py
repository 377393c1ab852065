"""Hosts with the product's own interface that are held up themselves."""

import contextlib
import json
import signal

import pytest
import result
import trio

from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_policy import claims
from sardinebend_policy import host_delays
from sardinebend_policy import membership
from sardinebend_policy import outcomes
from sardinebend_router import cli
from sardinebend_router import embedded
from sardinebend_store import connections
from sardinebend_store import errors as platform_errors
from sardinebend_store import store
from tests.common import embedded_host as eh

# Longer than a call to a peer may take, and than peers may be silent.
PAUSE_S = 3.5
# Longer than the settings may be unconfirmed.
LONG_PAUSE_S = 20.0
ANSWER_S = 0.5
DRAIN_WAIT_S = 6.0
TOKENS = 4
TOKEN_S = 0.05
# Longer than a sound engine is silent, shorter than the longest wait that is
# derived from the gaps between tokens.
FOUND_SILENT_S = 5.0
# Interval at which a stopping host looks whether it is idle.
POLL_S = 0.1


class Peer:
    """Another host, which answers each call after a delay.

    Attributes:
        delay_s: That delay.
        settings_version: What it says of its settings.
        claim: What it says of each claim.
    """

    claim = claims.ClaimantAnswer(
        claims.ClaimantState.DONE,
        outcomes.Answered(0, 200, 'application/json', b'{}'),
    )

    def __init__(self):
        self.delay_s = 0.0
        self.settings_version = 1

    async def answer(self, message):
        await trio.sleep(self.delay_s)
        if isinstance(message, messages.ClaimQuestion):
            return messages.ClaimReply(self.claim)
        if isinstance(message, messages.SettingsReply):
            self.settings_version = message.version
        return messages.MembershipHeartbeat(
            membership.Heartbeat(
                'peer', 'i', self.settings_version, 0, False, True
            )
        )


@contextlib.asynccontextmanager
async def two_hosts():
    """Yields a started host, and a peer that has sent it a heartbeat."""
    peer = Peer()
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    listed = store.ListedHost(
        'peer', 'local', 'http://peer', f'127.0.0.1:{port}', False
    )
    host = embedded.make_host(port=0)
    host._deps.host_list.listing = store.Listing((listed,), ())
    async with trio.open_nursery() as nursery:
        server = links.PeerServer(peer.answer, embedded.SECRET)
        nursery.start_soon(server.serve, listener)
        async with eh.started(host):
            await trio.sleep(1.5)
            yield host, peer
        nursery.cancel_scope.cancel()


# Guards against callers that are sent to this host alone, since it was
# suspended for longer than peers may be silent.
async def test_a_pause_of_the_host_is_no_silence_of_its_peers(clock):
    async with two_hosts() as (host, peer):
        peer.delay_s = ANSWER_S
        await trio.sleep(1.5)
        request = eh.make_request('/v1/hosts', method='GET')
        stream = await eh.send_raw(host, request)
        clock.jump(PAUSE_S)
        async with stream:
            body = (await eh.read_all(stream)).partition(b'\r\n\r\n')[2]
    names = {item['host'] for item in json.loads(body)['hosts']}
    assert names == {'embedded', 'peer'}


# Guards against a change of the settings that is reported as unconfirmed,
# since the host was suspended while its peer confirmed it.
@pytest.mark.parametrize('pause_s', [1.2, PAUSE_S])
async def test_a_pause_of_the_host_ends_no_call_to_a_peer(clock, pause_s):
    edit = {
        'node': 'values/fleet',
        'expected_version': 1,
        'value': {'draft.max_attempts': 2},
    }
    change = {'change_id': 'c', 'why': 'w', 'edits': [edit]}
    answers = []

    async def make_change(host):
        answers.append(
            await eh.ask(
                host,
                '/admin/v1/settings/changes',
                json.dumps(change).encode(),
                key=eh.OPERATOR_KEY,
            )
        )

    async with two_hosts() as (host, peer):
        peer.delay_s = ANSWER_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_change, host)
            await trio.sleep(0.2)
            clock.jump(pause_s)
    [(status, _, body)] = answers
    assert (status, body['state']) == (200, 'accepted')
    assert body['in_force_at'] == ['embedded', 'peer']


# Guards against requests that are handled by settings of before a long pause,
# at a host that hears neither of the table nor of its peers.
async def test_a_host_that_was_suspended_for_long_is_isolated(
    clock, monkeypatch
):
    async def fail():
        return result.Err(platform_errors.Unavailable('down'))

    async with two_hosts() as (host, peer):
        monkeypatch.setattr(host._settings, 'read_version', fail)
        peer.delay_s = 2 * LONG_PAUSE_S
        await trio.sleep(0.1)
        clock.jump(LONG_PAUSE_S)
        # The peer would count as live for three seconds more.
        await trio.sleep(0.1)
        status, _, _ = await eh.ask(host, '/readyz', method='GET', key='')
    assert status == 503


# Guards against a request that is killed without an answer, since the host was
# suspended when the signal to stop was sent and counted the stop from later.
@pytest.mark.parametrize('late_s', [0.6, 0.95])
async def test_a_stop_ends_requests_in_time_for_a_late_signal(
    clock, monkeypatch, late_s
):
    async def hang(self, call):
        await trio.sleep_forever()

    monkeypatch.setattr(embedded.EmbeddedService, 'send', hang)
    values = {'hosts.drain_wait_s': DRAIN_WAIT_S}
    host = embedded.make_host(port=0, extra={'values': {'fleet': values}})
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cli._run_host, host)
        await eh.wait_until(lambda: host.state.is_ready and host.caller_port)
        await trio.sleep(0.5)
        stream = await eh.send_raw(
            host,
            eh.make_request(
                '/v1/services/bookings/confirm', b'{}', idempotency_key='k'
            ),
        )
        await eh.wait_until(lambda: host.state.in_flight)
        await trio.sleep(0.2)
        sent_at = trio.current_time()
        clock.jump(late_s)
        signal.raise_signal(signal.SIGTERM)
        answer = await eh.read_all(stream)
        answered_at = trio.current_time()
    assert b'host-draining' in answer
    assert answered_at - sent_at < DRAIN_WAIT_S + POLL_S
    # The signal may also have been sent at the end of the delay.
    assert answered_at - sent_at - late_s > DRAIN_WAIT_S * 5 / 6 - POLL_S


@contextlib.asynccontextmanager
async def service_host(answer_s, further_values=()):
    """Yields a host whose service answers after a while, and its calls."""
    called = []

    async def serve(stream):
        await stream.receive_some(65536)
        called.append(trio.current_time())
        await trio.sleep(answer_s)
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}')

    endpoint = dict(embedded.make_tree({})['endpoints']['bookings-1'])
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    endpoint['url'] = f'http://127.0.0.1:{port}'
    values = {'service.reply_s': 2 * answer_s} | dict(further_values)
    extra = {'endpoints': {'bookings-1': endpoint}, 'values': {'fleet': values}}
    host = embedded.make_host(port=0, extra=extra)
    host._deps = host._deps._replace(make_client=cli.make_client)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        async with eh.started(host):
            yield host, called
        nursery.cancel_scope.cancel()


# Guards against lookups that are sent twice, or end without an answer, since
# the host was suspended while the service answered.
async def test_a_pause_of_the_host_ends_no_wait_for_a_service(clock):
    lookup = eh.make_request('/v1/services/bookings/lookup', b'{}')
    async with service_host(ANSWER_S) as (host, called):
        stream = await eh.send_raw(host, lookup)
        await eh.wait_until(lambda: called)
        clock.jump(PAUSE_S)
        async with stream:
            answer = await eh.read_all(stream)
    assert answer.startswith(b'HTTP/1.1 200')
    assert len(called) == 1


# Guards against endpoints that are avoided, and lookups that are refused, since
# the host was suspended while it connected.
async def test_a_pause_of_the_host_ends_no_connect_to_an_endpoint(
    clock, monkeypatch
):
    original = connections._connect_tcp

    async def connect_late(*args):
        clock.jump(PAUSE_S)
        await trio.sleep(0.01)
        return await original(*args)

    monkeypatch.setattr(connections, '_connect_tcp', connect_late)
    async with service_host(ANSWER_S) as (host, _):
        status, _, _ = await eh.ask(host, '/v1/services/bookings/lookup', b'{}')
        endpoint = host.state.fleet.get('bookings-1')
        assert endpoint.unhealthy_until <= trio.current_time()
    assert status == 200


class Engines:
    """Engines over HTTP, some of whose streams wait once before a token.

    Attributes:
        wait_at: Index of the token before which a stream waits.
        waiting_attempts: Numbers of the attempts that wait.
        first_may_go_on: Set once a first attempt may go on. Others that wait
            never do.
        orders: Number of each attempt that was received, in order.
    """

    def __init__(self):
        self.wait_at = 2
        self.waiting_attempts = {1}
        self.first_may_go_on = trio.Event()
        self.orders = []

    async def serve(self, stream):
        """Answers one request."""
        head, _, body = (await stream.receive_some(65536)).partition(
            b'\r\n\r\n'
        )
        if not head.startswith(b'POST /v1/run'):
            await send_json(stream, {'incarnation': 'i', 'running': 0})
            return
        while not body.endswith(b'}'):
            body += await stream.receive_some(65536)
        # The host may give up meanwhile.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._run(stream, json.loads(body))

    async def _run(self, stream, order):
        number = order['attempt']
        self.orders.append(number)
        await stream.send_all(b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n')
        line = {'request': order['request'], 'attempt': number, 'text': 't'}
        for index in range(order['start_index'], TOKENS):
            await trio.sleep(TOKEN_S)
            if index == self.wait_at and number in self.waiting_attempts:
                if number != 1:
                    await trio.sleep_forever()
                await self.first_may_go_on.wait()
            await stream.send_all(make_line(line | {'index': index}))
        await stream.send_all(make_line({'final': True, 'count': TOKENS}))


def make_line(value):
    """Returns a line of an engine's stream."""
    return json.dumps(value).encode() + b'\n'


async def send_json(stream, value):
    """Sends a whole answer."""
    body = json.dumps(value).encode()
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
    await stream.send_all(head.encode() + body)


@contextlib.asynccontextmanager
async def engine_host():
    """Yields a host with two engines, and the engines."""
    running = Engines()
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    endpoint = dict(embedded.make_tree({})['endpoints']['engine-1'])
    endpoint['url'] = f'http://127.0.0.1:{port}'
    endpoints = {'engine-1': endpoint, 'engine-2': endpoint}
    host = embedded.make_host(port=0, extra={'endpoints': endpoints})
    host._deps = host._deps._replace(make_driver=cli.make_driver)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, running.serve, [listener])
        async with eh.started(host):
            await trio.sleep(0.5)
            yield host, running
        nursery.cancel_scope.cancel()


async def ask_for_draft(host):
    """Asserts that a draft is answered; returns how long that took."""
    began_at = trio.current_time()
    status, _, _ = await eh.ask(
        host, '/v1/completions', eh.draft(max_tokens=TOKENS)
    )
    assert status == 200
    return trio.current_time() - began_at


# Guards against a second attempt beside a sound stream, since the host was
# suspended for longer than an engine may be silent.
@pytest.mark.parametrize('wait_at', [0, 2])
async def test_a_pause_of_the_host_is_no_silence_of_a_stream(clock, wait_at):
    async with engine_host() as (host, running):
        running.wait_at = wait_at
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_for_draft, host)
            await trio.sleep(0.3)
            clock.jump(2 * PAUSE_S)
            # The engine was held up as well.
            await trio.sleep(ANSWER_S)
            running.first_may_go_on.set()
    assert running.orders == [1]


# Guards against a stream that is ended for a second attempt which was only
# sent shortly before the host was suspended.
async def test_a_pause_of_the_host_makes_no_second_attempt_overdue(clock):
    async with engine_host() as (host, running):
        running.waiting_attempts = {1, 2}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_for_draft, host)
            await eh.wait_until(lambda: 2 in running.orders)
            await trio.sleep(0.3)
            clock.jump(2 * PAUSE_S)
            await trio.sleep(ANSWER_S)
            running.first_may_go_on.set()
    assert running.orders == [1, 2]


# Guards against an engine that is found silent late, since the host took a
# pause of its own for the gap that is usual between two tokens.
async def test_a_pause_of_the_host_is_no_usual_gap_between_tokens(clock):
    async with engine_host() as (host, running):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_for_draft, host)
            await trio.sleep(0.3)
            running.first_may_go_on.set()
            clock.jump(PAUSE_S)
        running.first_may_go_on = trio.Event()
        took_s = await ask_for_draft(host)
        running.first_may_go_on.set()
    assert running.orders == [1, 1, 2]
    assert took_s < FOUND_SILENT_S


# Guards against exchanges that end without an answer, since the host was
# suspended while it connected.
async def test_a_pause_in_a_connect_leaves_time_for_the_answer(
    clock, monkeypatch
):
    original = connections._connect_tcp

    async def connect_late(*args):
        stream = await original(*args)
        clock.jump(PAUSE_S)
        return stream

    async with service_host(ANSWER_S) as (host, _):
        url = host.state.fleet.get('bookings-1').spec.url
        origin = connections.Origin(
            url, fail_after=host.state.host_clock.fail_after
        )
        monkeypatch.setattr(connections, '_connect_tcp', connect_late)
        reply = await origin.exchange('GET', '/health', timeout_s=2 * ANSWER_S)
        await origin.close()
    assert reply.status == 200


# Guards against an exchange that may take its time limit twice.
@pytest.mark.parametrize(
    ('connect_s', 'expected'),
    [
        (0.2, contextlib.nullcontext()),
        # The request may have been received.
        (0.6, pytest.raises(platform_errors.ExchangeFailed)),
        (2.0, pytest.raises(platform_errors.ConnectFailed)),
    ],
)
async def test_connect_and_answer_share_one_time_limit(
    clock, monkeypatch, connect_s, expected
):
    original = connections._connect_tcp

    async def connect_slowly(*args):
        await trio.sleep(connect_s)
        return await original(*args)

    async with service_host(ANSWER_S) as (host, called):
        url = host.state.fleet.get('bookings-1').spec.url
        origin = connections.Origin(
            url, fail_after=host.state.host_clock.fail_after
        )
        monkeypatch.setattr(connections, '_connect_tcp', connect_slowly)
        began_at = trio.current_time()
        with expected:
            await origin.exchange('GET', '/', timeout_s=2 * ANSWER_S)
        took_s = trio.current_time() - began_at
        await origin.close()
    assert took_s < 2 * ANSWER_S + POLL_S
    assert bool(called) == (connect_s < 2 * ANSWER_S)


# Guards against bookings whose outcome is unknown to the caller, since the
# host was suspended, however shortly, when the service's answer came.
@pytest.mark.parametrize('pause_s', [0.08, 0.11, PAUSE_S])
async def test_a_pause_of_the_host_loses_no_answer_to_a_booking(clock, pause_s):
    # The answer comes within the limit, and the pause ends after it.
    values = {'service.reply_s': ANSWER_S + 0.05}
    booking = eh.make_request(
        '/v1/services/bookings/confirm', b'{}', idempotency_key='k'
    )
    async with service_host(ANSWER_S, values) as (host, called):
        stream = await eh.send_raw(host, booking)
        await eh.wait_until(lambda: called)
        await trio.sleep_until(called[0] + ANSWER_S - 0.01)
        clock.jump(pause_s)
        async with stream:
            answer = await eh.read_all(stream)
    assert answer.startswith(b'HTTP/1.1 200')
    assert len(called) == 1


# Guards against bookings that wait without end for a service that is silent.
@pytest.mark.parametrize('pause_s', [0.0, 0.11, PAUSE_S])
async def test_a_booking_at_a_silent_service_ends_as_unknown(clock, pause_s):
    booking = eh.make_request(
        '/v1/services/bookings/confirm', b'{}', idempotency_key='k'
    )
    values = {'service.reply_s': ANSWER_S}
    async with service_host(2 * PAUSE_S, values) as (host, called):
        stream = await eh.send_raw(host, booking)
        await eh.wait_until(lambda: called)
        await trio.sleep_until(called[0] + ANSWER_S / 2)
        # The service is held up as well.
        called_at = called[0] + pause_s
        clock.jump(pause_s)
        async with stream:
            answer = await eh.read_all(stream)
        took_s = trio.current_time() - called_at
    assert b'unknown' in answer.lower()
    assert took_s < ANSWER_S + 2 * host_delays.MAX_STEP_S


# Guards against a repeat of a booking whose outcome is unknown to its caller,
# since the host was suspended while it asked the host that holds the claim.
async def test_a_pause_of_the_host_is_no_silence_of_a_claimant(clock):
    row = {
        'host': 'peer',
        'incarnation': 'i',
        'nonce': 'n',
        'digest': claims.digest_body('bookings.confirm', b'{}'),
        'state': claims.RowState.CLAIMED,
    }
    booking = eh.make_request(
        '/v1/services/bookings/confirm', b'{}', idempotency_key='k'
    )
    async with two_hosts() as (host, peer):
        write = store.Write(claims.make_row_key('demo', 'k'), 0, row)
        await host._deps.table.transact([write])
        # The first question gets no answer.
        peer.delay_s = LONG_PAUSE_S
        stream = await eh.send_raw(host, booking)
        await trio.sleep(0.2)
        clock.jump(PAUSE_S)
        peer.delay_s = 0.0
        async with stream:
            answer = await eh.read_all(stream)
    assert answer.startswith(b'HTTP/1.1 200')
