"""Unexpected errors and malformed messages don't end a host."""

import socket

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import supervisor
from sardinebend_peers import codec
from sardinebend_peers import messages
from sardinebend_policy import part_evidence
from tests.common import gateway_world as world_lib

TEXT = st.text(max_size=12)
NUMBER = st.integers(-(2**31), 2**31 - 1)
STARTS = st.lists(
    st.builds(messages.EndpointStart, TEXT, NUMBER), max_size=4
).map(tuple)
HEARTBEATS = st.builds(
    messages.LoadHeartbeat,
    TEXT,
    TEXT,
    st.booleans(),
    st.lists(
        st.builds(
            messages.EndpointLoad,
            st.sampled_from(['engine-0', 'engine-1', 'x']),
            NUMBER,
            NUMBER,
        ),
        max_size=4,
    ).map(tuple),
    st.binary(max_size=30),
    NUMBER,
    st.just(()),
    STARTS,
    STARTS,
)


async def answer_completely(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    head = world_lib.head(200, fixed, 'chunked')
    return world_lib.Answer(
        head, world_lib.chunk(world_lib.event(1)), b'0\r\n\r\n'
    )


async def ask(world, number=1):
    with trio.fail_after(10):
        return await world.ask(
            '/draft/x',
            'POST',
            b'p',
            token_usage='10,10',
            model='m',
            request_id=f'q{number}',
        )


async def test_a_reset_during_a_100_continue_ends_only_that_connection(
    monkeypatch,
):
    # Guards against one reset connection that ends the whole process.
    send = trio.SocketStream.send_all

    async def reset_at_100(self, data):
        if bytes(data).startswith(b'HTTP/1.1 100'):
            raise trio.BrokenResourceError('reset')
        await send(self, data)

    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server) as world:
        monkeypatch.setattr(trio.SocketStream, 'send_all', reset_at_100)
        stream = await world.connect()
        async with stream:
            head = world_lib.make_request(
                '/book/x',
                'POST',
                expect='100-continue',
                content_length='3',
            )
            await stream.send_all(head)
            with pytest.raises(trio.BrokenResourceError):
                assert await stream.receive_some(100) == b''
                raise trio.BrokenResourceError
        assert (await world.ask())[0] == 200


@pytest.mark.parametrize(
    'task', ['heartbeats', 'endpoints', 'keeper', 'crashes']
)
async def test_a_fault_in_a_background_task_restarts_only_that_task(
    task, monkeypatch, clock
):
    servers = world_lib.engines((0, 4), script=answer_completely)
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, servers)
        part = (
            getattr(world.gateway, f'_{task}', None)
            or world.gateway.placement_controller
        )
        run = part.run
        failures = []

        async def fail_once():
            if not failures:
                failures.append(1)
                raise ZeroDivisionError('a bug')
            await run()

        monkeypatch.setattr(part, 'run', fail_once)
        await world.start()
        assert failures
        assert (await ask(world))[3]
        nursery.cancel_scope.cancel()


async def test_a_host_with_a_repeatedly_failing_task_is_not_ready(
    monkeypatch, clock
):
    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server) as world:
        assert world.gateway.is_ready()

        async def fail():
            raise ZeroDivisionError('a bug')

        world.nursery.start_soon(world.gateway.supervisor.run, 'a part', fail)
        with trio.fail_after(supervisor.WINDOW_S):
            while world.gateway.is_ready():
                await trio.sleep(0.05)
        assert (await world.ask())[0] == 200


@hypothesis.given(st.lists(HEARTBEATS, min_size=1, max_size=6))
@hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)
def test_no_heartbeat_ends_a_host_or_prevents_it_from_serving(heartbeats):
    async def play():
        servers = world_lib.engines((0, 4), (0, 4), script=answer_completely)
        async with world_lib.running(*servers) as world:
            for heartbeat in heartbeats:
                world.gateway._heartbeats._apply(heartbeat)
            cache = world.gateway.state.path_cache_of(
                world.gateway.state.catalog.services['llm']
            )
            cache.choose(20, world.gateway.state.loads())
            world.gateway._heartbeats._encode()
            world.gateway.members.refresh_live_peers()

    trio.run(play)


async def test_an_absurd_age_in_a_heartbeat_does_not_stop_ones_own(clock):
    # Guards against a host that never sends a heartbeat again: it passed the
    # age on, increased, and the sum didn't fit the field.
    crash = part_evidence.PartCrash('part/a', 'engine/1', 'request')
    report = messages.PartCrashReport(crash, 2**63 - 1)
    heartbeat = messages.LoadHeartbeat('h', 'i', False, (), b'')
    async with world_lib.running() as world:
        beats = world.gateway._heartbeats
        beats._apply(heartbeat._replace(part_crashes=(report,)))
        await trio.sleep(1.0)
        beats._encode()
        assert world.gateway.state.part_evidence.items() == []


@hypothesis.given(st.lists(st.binary(max_size=120), min_size=1, max_size=20))
@hypothesis.settings(
    derandomize=True, max_examples=25, deadline=None, database=None
)
def test_no_datagram_ends_a_host(datagrams):
    async def play():
        server = world_lib.Server('app-1', 'app')
        async with world_lib.running(server) as world:
            address = world.gateway._addresses.heartbeats
            assert isinstance(address, settings_lib.Address)
            heartbeat = messages.LoadHeartbeat('h', 'i', False, (), b'')
            good = codec.encode(codec.Envelope(0, False, heartbeat))
            with socket.socket(type=socket.SOCK_DGRAM) as sock:
                for data in [*datagrams, good[:-1], good + b'x']:
                    sock.sendto(data, tuple(address))
            await trio.sleep(0.01)
            assert (await world.ask())[0] == 200

    trio.run(play)
