"""Hedges: a second attempt of a request beside one that is silent."""

import pytest
import trio

from sardinebend_gateway import responder as responder_lib
from sardinebend_peers import errors as peer_errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_store import connections
from tests.common import gateway_world as world_lib
from tests.common import silent_servers
from tests.cover import test_gateway_silent_servers as silent

Answer = world_lib.Answer
chunk = world_lib.chunk
event = world_lib.event
DONE = b'data: [DONE]\n\n'
SLOW_CONNECT_S = 0.28
TARGET_MS = 150


async def send_head(headers, stream):
    fixed = [
        ('Request-Id', headers['request-id']),
        ('Content-Type', 'text/event-stream'),
        world_lib.SEAL,
    ]
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    return int(headers.get('last-event-id', 0)) + 1


def make_config(**changes):
    config = world_lib.make_config()
    for route in config['routes']:
        route['target_latency_ms'] = TARGET_MS
        route.update(changes)
    return config


def slow_connects(monkeypatch, addresses):
    connect = connections.Origin.connect

    async def connect_slowly(origin, timeout_s):
        if origin.host_header.decode() in addresses:
            await trio.sleep(SLOW_CONNECT_S)
        return await connect(origin, timeout_s)

    monkeypatch.setattr(connections.Origin, 'connect', connect_slowly)


async def hang(headers, stream):
    return Answer(ends='hang')


# Guards against an end without the events that a hedge has sent without an id.
async def test_a_hedge_that_only_has_the_end_forwards_events_without_an_id(
    clock,
):
    async def send_all_but_end(headers, stream):
        first = await send_head(headers, stream)
        for number in range(first, 6):
            await trio.sleep(0.1)
            await stream.send_all(chunk(event(number)))
        engine.fall_silent(3.0)
        await stream.send_all(chunk(DONE))
        return Answer(silent.LAST_CHUNK)

    async def send_end(headers, stream):
        await send_head(headers, stream)
        await stream.send_all(chunk(DONE))
        await trio.sleep(0.05)
        return Answer(silent.LAST_CHUNK)

    engine, other = silent.make_engines(send_all_but_end, send_end)
    answers = {}
    async with world_lib.running(engine) as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(silent.ask, world, answers, 0)
            while not engine.requests:
                await trio.sleep(0.01)
            await trio.sleep(0.2)
            await other.start(world.nursery)
            await world.list_server(other)
    assert other.requests
    status, _, body, is_complete = answers[0]
    assert (status, is_complete) == (200, True)
    assert body == b''.join(event(n) for n in range(1, 6)) + DONE


# Guards against a hedge of an answer that already has its end, of which the
# caller hasn't read the last bytes.
async def test_an_ended_answer_gets_no_hedge_while_its_caller_pauses(
    clock, monkeypatch
):
    flush = responder_lib.Responder.flush

    async def flush_late(self):
        if self.is_ended and self.media_type:
            await trio.sleep(1.5)
        await flush(self)

    monkeypatch.setattr(responder_lib.Responder, 'flush', flush_late)
    servers = silent.make_engines(silent.stream_events, silent.stream_events)
    answers = {}
    async with world_lib.running(*servers) as world:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(silent.ask, world, answers, 0)
            await trio.sleep(silent.EVENTS * silent.EVENT_S + 0.1)
            for server in servers:
                if server.requests:
                    server.fall_silent(1.6)
        sent = sum(len(server.requests) for server in servers)
    silent.assert_all_whole(answers, 1)
    assert sent == 1


def make_silent_midway(server_list):
    """Returns a script that falls silent within an event."""

    async def script(headers, stream):
        first = await send_head(headers, stream)
        for number in range(first, silent.EVENTS + 1):
            await trio.sleep(0.1)
            data = event(number)
            if number == 5:
                await stream.send_all(chunk(data[:4]))
                server_list[0].fall_silent(1.5)
                data = data[4:]
            await stream.send_all(chunk(data))
        return Answer(silent.LAST_CHUNK)

    return script


# Guards against taking a silence within an event for an endless event.
@pytest.mark.parametrize('has_layers', [True, False])
async def test_a_stream_outlives_a_silence_within_an_event(has_layers, clock):
    servers = []
    script = make_silent_midway(servers)
    changes = {}
    if has_layers:
        servers += silent.make_engines(script)
    else:
        servers.append(silent.Server('app-0', 'app', script))
        changes['service'] = 'app'
    answers = {}
    async with world_lib.running(
        *servers,
        config=make_config(**changes),
        extra_retries=0,
        retry_ratio=0.0,
    ) as world:
        await silent.ask(world, answers, 0)
    silent.assert_all_whole(answers, 1)


# Guards against a second send, unpaid and to the same server, of a request
# whose first attempt is still connecting.
async def test_a_request_that_still_connects_gets_no_unpaid_hedge(
    clock, monkeypatch
):
    async def answer_late(headers, stream):
        await trio.sleep(0.35)
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        return Answer(world_lib.head(200, fixed, body=b'x'))

    server = world_lib.Server('app-0', 'app', answer_late)
    slow = set()
    slow_connects(monkeypatch, slow)
    async with world_lib.running(
        server, config=make_config(), extra_retries=0, retry_ratio=0.0
    ) as world:
        slow.add(server.address)
        status, *_ = await world.ask(deadline_ms='700')
        await trio.sleep(0.5)
    assert status == 200
    assert len(server.requests) == 1


# Guards against more servers than the route allows, because the ledger doesn't
# know of an attempt before it is sent.
@pytest.mark.parametrize('max_attempts', [1, 2])
@pytest.mark.parametrize('is_slow', [True, False])
async def test_hedges_keep_to_the_attempts_of_the_route(
    is_slow, max_attempts, clock, monkeypatch
):
    servers = [world_lib.Server(f'app-{n}', 'app', hang) for n in range(6)]
    slow = set()
    slow_connects(monkeypatch, slow)
    config = make_config(max_attempts=max_attempts)
    async with world_lib.running(*servers, config=config) as world:
        if is_slow:
            slow |= {server.address for server in servers}
        await world.ask(deadline_ms='1500')
    assert sum(bool(s.requests) for s in servers) == max_attempts


# Guards against streams that try one cut engine after the other.
async def test_streams_begin_in_time_while_some_engines_are_cut_off(
    clock, monkeypatch
):
    servers = silent.make_engines(*[silent.stream_events] * 10)
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)
    took = []
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        blocked |= {server.address for server in servers[:5]}
        cut_at = trio.current_time()

        async def draft(number):
            began_at = trio.current_time()
            await silent.ask(world, {}, number)
            took_s = round(trio.current_time() - began_at - 2.0, 2)
            took.append((round(began_at - cut_at, 1), took_s))

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(draft, number)
                await trio.sleep(0.1)
    # Each engine has timed out by then, and is doubted for 4 s.
    assert not [t for t in took if 1.5 < t[0] < 3.5 and t[1] > 0.4]


# Guards against refusing streams for seconds after a short silence.
async def test_an_engine_gets_streams_again_soon_after_a_silence(
    clock, monkeypatch
):
    (engine,) = silent.make_engines(silent.stream_events)
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)
    answers = {}
    async with world_lib.running(engine) as world:
        await trio.sleep(1.5)
        blocked.add(engine.address)
        await silent.ask(world, {}, 0)
        await trio.sleep(0.7)
        blocked.clear()
        await trio.sleep(0.5)
        await silent.ask(world, answers, 1)
    silent.assert_all_whole(answers, 1)


# Guards against doubting all engines for reports that this host's own link
# holds up, when its connects to all of them time out.
async def test_unanswered_reports_of_many_engines_do_not_make_all_doubted(
    clock, monkeypatch
):
    servers = silent.make_engines(*[silent.stream_events] * 6)
    blocked = set()
    silent_servers.block_connects(monkeypatch, blocked)
    answers = {}
    fewest = 6
    async with world_lib.running(*servers) as world:
        state = world.gateway.state
        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(silent.ask, world, answers, number)
                await trio.sleep(0.01)
            await trio.sleep(silent.BEGUN_S)
            # What a busy link of the host does: nothing comes from anyone.
            blocked |= {server.address for server in servers}
            for server in servers:
                server.fall_silent(silent.SILENCE_S)
            for _ in range(10):
                await trio.sleep(silent.SILENCE_S / 10)
                usable = state.endpoints.list_usable('llm', trio.current_time())
                fewest = min(fewest, len(usable))
            blocked.clear()
    silent.assert_all_whole(answers, 40)
    assert fewest >= 4


# Guards against ending all calls to a peer because one of them is late.
async def test_a_late_reply_of_a_peer_does_not_end_the_other_calls(clock):
    async def answer(message):
        await trio.sleep(message.wait_ms / 1000)
        return messages.Ack()

    replies = {}

    async def call(name, wait_ms, timeout_s):
        question = messages.FeedQuestion('t', -1, wait_ms)
        try:
            replies[name] = await link.call(question, timeout_s)
        except peer_errors.PeerUnreachable as exc:
            replies[name] = exc

    async with trio.open_nursery() as nursery:
        server = links.PeerServer(answer, b'secret')
        (listener,) = await trio.open_tcp_listeners(0, host=world_lib.IP)
        nursery.start_soon(server.serve, listener)
        port = listener.socket.getsockname()[1]
        link = links.PeerLink(f'{world_lib.IP}:{port}', b'secret', nursery)
        async with trio.open_nursery() as calls:
            calls.start_soon(call, 'late', 1000, 0.3)
            calls.start_soon(call, 'in time', 600, 2.0)
        # Both connections are closed once they have no call.
        await call('next', 0, 1.0)
        nursery.cancel_scope.cancel()
    assert isinstance(replies['late'], peer_errors.PeerUnreachable)
    assert isinstance(replies['in time'], messages.Ack), replies['in time']
    assert isinstance(replies['next'], messages.Ack), replies['next']


# Guards against taking an engine that refuses a report for a leaving one.
async def test_a_refused_report_of_the_engine_itself_does_not_end_its_work(
    clock,
):
    async def stall(headers, stream):
        first = await send_head(headers, stream)
        for number in range(first, 6):
            await trio.sleep(0.1)
            await stream.send_all(chunk(event(number)))
            if number == 2:
                await trio.sleep(0.6)
        return Answer(silent.LAST_CHUNK)

    class Refusing(world_lib.Server):
        async def _report(self, stream):
            fixed = [('Instance-Id', self.name), ('Not-Executed', '1')]
            await stream.send_all(world_lib.head(421, fixed))

    engine = Refusing('engine-0', 'llm', stall)
    engine.span = (0, 4)
    answers = {}
    async with world_lib.running(engine) as world:
        await silent.ask(world, answers, 0)
        known = world.gateway.state.endpoints.get('engine-0')
        assert not known.is_draining


# Guards against a silence that outlasts its answer, because it came during a
# short doubt of another cause.
def test_a_silence_ends_with_an_answer_whatever_was_doubted_before():
    table = endpoints_lib.EndpointTable()
    engine = endpoints_lib.Endpoint('e', 's', 'a:1', 'd', 1, False, 1)
    table.put(engine)
    first_s = endpoints_lib.FIRST_COOLDOWN_S
    table.mark_unhealthy(engine, 0.0, 'refused')
    silent_s = endpoints_lib.UNREACHABLE_COOLDOWN_S
    table.mark_unhealthy(engine, 0.1, 'silent', silent_s, is_silent=True)
    table.record_contact(engine, 0.5)
    assert table.is_unhealthy(engine, first_s - 0.1)
    assert not table.is_unhealthy(engine, first_s + 0.1)
