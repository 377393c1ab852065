"""Engines that peers can't reach get no new work, but keep their requests."""

import pytest
import trio

from sardinebend_gateway import clocks
from sardinebend_peers import messages
from sardinebend_policy import endpoints as endpoints_lib
from sardinebend_policy import peer_reports
from sardinebend_store import errors as store_errors
from tests.common import gateway_world as world_lib

EVENTS = 5


async def answer_slowly(headers, stream):
    fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
    await stream.send_all(world_lib.head(200, fixed, 'chunked'))
    for number in range(1, EVENTS + 1):
        await trio.sleep(0.1)
        await stream.send_all(world_lib.chunk(world_lib.event(number)))
    return world_lib.Answer(b'0\r\n\r\n')


def report_unreachable(world, host, server):
    start = messages.EndpointStart(server.name, 1)
    heartbeat = messages.LoadHeartbeat(
        host, 'x', False, (), b'', unreachable=(start,)
    )
    world.gateway._heartbeats._apply(heartbeat)


async def ask(world, number):
    return await world.ask(
        '/draft/x',
        'POST',
        b'p',
        token_usage='10,10',
        model='m',
        request_id=f'q{number}',
    )


async def test_an_engine_that_two_hosts_cannot_reach_gets_nothing_new(clock):
    # Guards against each host of a large fleet having to detect the failure by
    # its own requests.
    servers = world_lib.engines((0, 4), (0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        report_unreachable(world, 'a', servers[0])
        report_unreachable(world, 'b', servers[0])
        for number in range(4):
            assert (await ask(world, number))[3]
    assert not servers[0].requests
    assert len(servers[1].requests) == 4


async def test_repeated_reports_of_a_single_host_have_no_effect(clock):
    servers = world_lib.engines((0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        for _ in range(5):
            report_unreachable(world, 'a', servers[0])
        assert (await ask(world, 1))[3]


async def test_a_request_on_an_engine_that_peers_cannot_reach_continues(clock):
    # Guards against moving a request away from a machine that still runs it and
    # is only unreachable for some hosts.
    servers = world_lib.engines((0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        answers = []

        async def keep():
            answers.append(await ask(world, 1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep)
            while not servers[0].requests:
                await trio.sleep(0.001)
            spare = world_lib.engines((0, 4), script=answer_slowly)[0]
            spare.name = 'spare'
            await spare.start(world.nursery)
            await world.list_server(spare)
            for host in ('a', 'b', 'c'):
                report_unreachable(world, host, servers[0])
    assert answers[0][3]
    assert not spare.requests
    assert not servers[0].orders


def take_time_out(world, server, since):
    """Records a time-out, or a refusal if no time is given.

    Returns what is told to peers, and the cooldown.
    """
    state = world.gateway.state
    endpoint = state.endpoints.get(server.name)
    exc = store_errors.ConnectFailed('timed out', since is None)
    since = trio.current_time() if since is None else since
    world.gateway._crashes.record_failure_to_connect(endpoint, exc, since)
    told = state.unreachable.recent(clocks.now())
    left_s = 0.0
    while state.endpoints.is_unhealthy(endpoint, clocks.now() + left_s):
        left_s += 0.1
    return told, left_s


# Guards against a host that was held up, takes its own delay for a time-out of
# sound engines, and makes all other hosts avoid them.
@pytest.mark.parametrize('is_recorded', [True, False])
async def test_a_host_that_was_held_up_reports_no_time_out_to_peers(
    clock, is_recorded
):
    servers = world_lib.engines((0, 4))
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        since = trio.current_time()
        clock.jump(0.6)
        if is_recorded:
            await trio.sleep(0.2)
        told, cooldown_s = take_time_out(world, servers[0], since)
        assert not told
        assert not cooldown_s


# Guards against time-outs that fall into the backlog after a delay.
async def test_a_time_out_just_after_a_delay_is_not_reported(clock):
    servers = world_lib.engines((0, 4))
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        clock.jump(0.6)
        await trio.sleep(0.5)
        since = trio.current_time()
        await trio.sleep(0.3)
        assert not take_time_out(world, servers[0], since)[0]


# Guards against a rule that silences a host which is on time.
@pytest.mark.parametrize('has_paused', [True, False])
async def test_a_host_on_time_reports_a_time_out_to_peers(clock, has_paused):
    servers = world_lib.engines((0, 4))
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        if has_paused:
            clock.jump(0.6)
            await trio.sleep(1.5)
        since = trio.current_time()
        await trio.sleep(0.3)
        told, cooldown_s = take_time_out(world, servers[0], since)
        assert told == [(servers[0].name, 1)]
        assert cooldown_s > 3.9


# Guards against taking an answer, which a delay doesn't change, for a time-out.
async def test_a_refused_connection_is_reported_even_after_a_delay(clock):
    servers = world_lib.engines((0, 4))
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.5)
        clock.jump(0.6)
        assert take_time_out(world, servers[0], None)[0]


def is_avoided(world, server):
    state = world.gateway.state
    endpoint = state.endpoints.get(server.name)
    return state.endpoints.is_unhealthy(endpoint, clocks.now())


# Guards against hosts that are well and stop using sound engines, which answer
# them, on the word of hosts that are late themselves.
async def test_an_engine_that_answers_this_host_is_used_whatever_peers_say(
    clock,
):
    servers = world_lib.engines((0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        assert (await ask(world, 1))[3]
        report_unreachable(world, 'a', servers[0])
        report_unreachable(world, 'b', servers[0])
        assert not is_avoided(world, servers[0])


# Guards against engines that are used long after they have failed because they
# once answered.
@pytest.mark.parametrize('is_host_paused', [True, False])
async def test_peers_are_believed_when_the_last_answer_is_old(
    clock, is_host_paused
):
    servers = world_lib.engines((0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        assert (await ask(world, 1))[3]
        if is_host_paused:
            clock.jump(endpoints_lib.CONTACT_TTL_S + 0.1)
        else:
            await trio.sleep(endpoints_lib.CONTACT_TTL_S + 0.1)
        report_unreachable(world, 'a', servers[0])
        report_unreachable(world, 'b', servers[0])
        assert is_avoided(world, servers[0])


# Guards against answers that count as new because the host read them late.
async def test_an_answer_that_waited_during_a_pause_is_no_recent_one(clock):
    servers = world_lib.engines((0, 4), script=answer_slowly)
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.0)
        state = world.gateway.state
        clock.jump(endpoints_lib.CONTACT_TTL_S + 0.1)
        state.record_contact(state.endpoints.get(servers[0].name))
        report_unreachable(world, 'a', servers[0])
        report_unreachable(world, 'b', servers[0])
        assert is_avoided(world, servers[0])


# Guards against engines that are avoided on reports which are long outdated,
# because they waited while this host was held up.
async def test_reports_that_waited_during_a_long_pause_do_not_count(clock):
    servers = world_lib.engines((0, 4))
    async with world_lib.running(*servers) as world:
        await trio.sleep(1.0)
        clock.jump(peer_reports.REPORT_TTL_S + 0.1)
        for host in ('a', 'b'):
            report_unreachable(world, host, servers[0])
        assert not is_avoided(world, servers[0])
        await trio.sleep(0.5)
        for host in ('a', 'b'):
            report_unreachable(world, host, servers[0])
        assert is_avoided(world, servers[0])
