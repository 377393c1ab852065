"""Hosts that learn from heartbeats what others have in flight.

The load: a batch stream and an urgent one; engines fall silent, so that a
hedge runs beside an attempt.
"""

import contextlib

import pytest
import trio

from sardinebend_gateway import clocks
from sardinebend_gateway import status
from sardinebend_peers import messages
from sardinebend_policy import fleet_shares
from tests.common import decision_log
from tests.common import gateway_world as world_lib
from tests.cover import test_gateway_silent_servers as silent

Use = fleet_shares.Use
BATCH_PRIORITY = 3
# Ranks are places among the priorities of the configuration.
URGENT_RANK, BATCH_RANK = 0, 1


def make_config(batch_priority=BATCH_PRIORITY):
    """Returns a configuration with two routes to one service."""
    config = world_lib.make_config()
    draft = next(r for r in config['routes'] if r['name'] == 'draft')
    batch = {
        **draft,
        'name': 'batch',
        'prefix': '/batch/',
        'priority': batch_priority,
    }
    config['routes'].append(batch)
    for tenant in config['tenants']:
        del tenant['priority']
    return config


@contextlib.asynccontextmanager
async def two_hosts(*servers):
    async with world_lib.running(*servers, config=make_config()) as first:
        second = world_lib.World(
            first.nursery, (), store=first.store, name='host-2'
        )
        with trio.fail_after(20):
            await second.start_gateway()
            while first.gateway.state.live_count < 2:
                await trio.sleep(0.02)
        yield first, second


async def ask(world, path):
    await world.ask(path, 'POST', b'p', token_usage='40,10', model='m')


async def test_a_host_learns_what_another_one_runs_and_when_it_has_ended(clock):
    servers = silent.make_engines(silent.stream_events, silent.stream_events)
    async with two_hosts(*servers) as (first, second):
        gateway = second.gateway
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, first, '/batch/x')
            nursery.start_soon(ask, first, '/draft/x')
            # The store isn't asked for any of it.
            first.store.is_down = True
            await trio.sleep(1.0)
            for world in (first, second):
                view = world.gateway.state.share_view('llm')
                assert view.by_rank == {
                    URGENT_RANK: Use(1, 50),
                    BATCH_RANK: Use(1, 50),
                }
                assert view.by_customer == {'vanua': Use(2, 100)}
            page = gateway.state.metrics.render()
            labels = f'{{of="fleet",rank="{BATCH_RANK}",service="llm"}}'
            assert f'sardinebend_streams_by_rank{labels} 1' in page
            found = status.make_status(
                gateway.state, gateway.members, gateway.placement_controller
            )
            app, llm = found['services']
            assert app['shares'] is None
            assert llm['shares']['tokens_by_customer'] == {'vanua': 100}
        await trio.sleep(1.0)
        for world in (first, second):
            view = world.gateway.state.share_view('llm')
            assert (view.by_rank, view.heard_hosts) == ({}, 1)


async def test_a_request_counts_once_beside_its_hedge_and_always_ends(clock):
    servers = silent.make_engines(silent.stream_events, silent.stream_events)
    async with world_lib.running(*servers, config=make_config()) as world:
        state = world.gateway.state
        seen = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, world, '/batch/x')
            await trio.sleep(0.5)
            for server in servers:
                server.fall_silent(1.6)
            for _ in range(200):
                uses = state.shares.own('llm')
                seen.add((len(state.inflight.requests), *uses.items()))
                await trio.sleep(0.01)
        batch = (BATCH_RANK, Use(1, 50))
        assert (
            {(1, batch), (2, batch)} <= seen <= {(1, batch), (2, batch), (0,)}
        )
        # Its caller leaves.
        with trio.move_on_after(0.5):
            await ask(world, '/batch/x')
        await trio.sleep(0.5)
        assert state.shares.own('llm') == {}


async def test_shares_that_make_no_sense_cost_nothing_but_themselves(clock):
    bad = fleet_shares.ServiceShares(1, ((3, Use(-1, 5)),), ())
    with decision_log.collecting() as lines:
        async with world_lib.running() as world:
            state = world.gateway.state
            world.gateway._heartbeats._apply(
                messages.LoadHeartbeat(
                    'host-2',
                    'i',
                    False,
                    (messages.EndpointLoad('e', 4, 40),),
                    b'',
                    crossing_tokens=7,
                    shares=(bad,),
                )
            )
            assert state.inflight.crossing_tokens(clocks.now(), 2) == 7
            assert state.share_view('llm').heard_hosts == 0
    (fields,) = [f for name, f in lines if f.get('table') == 'shares']
    assert fields['key'] == 'host-2'


@pytest.mark.parametrize('batch_priority', [1, BATCH_PRIORITY])
async def test_shares_are_sent_only_where_the_ranks_of_routes_differ(
    batch_priority,
):
    config = make_config(batch_priority)
    async with world_lib.running(config=config) as world:
        is_sent = world.gateway.state.shares.report() is not None
        assert is_sent == (batch_priority == BATCH_PRIORITY)
