"""What a host concludes about the store after a delay of its own."""

import result
import trio

from sardinebend_adapter import store_client
from sardinebend_gateway import admission
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds
from tests.common import decision_log
from tests.common import gateway_world as world_lib


class TimedStore(feeds.MemoryFeeds):
    """Its answers are waited for only some time, like those of a remote one."""

    async def follow(self, table, after, wait_s):
        with trio.move_on_after(wait_s + store_client.CALL_TIMEOUT_S):
            answer = await super().follow(table, after, wait_s)
            await trio.lowlevel.checkpoint()
            return answer
        return result.Err(store_errors.Unavailable('timed out'))


# Guards against refusals of valid keys because a host that was held up first
# takes the store for lost, and then waits for news instead of asking whether
# there are any.
async def test_a_host_that_was_held_up_soon_has_evidence_again(clock):
    with decision_log.collecting() as lines:
        async with world_lib.running(store=TimedStore()) as world:
            state = world.gateway.state
            await trio.sleep(2.0)
            clock.jump(6.0)
            assert not admission.can_trust_keys(state)
            await trio.sleep(0.1)
            assert admission.can_trust_keys(state)
            assert state.catalog_age_s() < 0.2
    assert not [fields for name, fields in lines if name == 'store_lost']


# Guards against a host that takes every silence for its own delay.
async def test_a_store_that_is_gone_after_a_delay_is_found_lost(clock):
    with decision_log.collecting() as lines:
        async with world_lib.running(store=TimedStore()) as world:
            await trio.sleep(2.0)
            world.store.is_down = True
            clock.jump(6.0)
            await trio.sleep(0.1)
    tables = {f['table'] for name, f in lines if name == 'store_lost'}
    assert len(tables) >= 2


# Guards against listings that are removed at once though the store, like the
# host, may have been held up, and endpoints had no time to renew them.
async def test_listings_may_be_renewed_after_a_delay_of_the_host(clock):
    server = world_lib.Server('app-1', 'app')
    async with world_lib.running(server, store=TimedStore()) as world:
        await trio.sleep(2.0)
        await world.store.write('servers', 'app-1', None, None)
        clock.jump(6.0)
        await trio.sleep(0.5)
        assert 'app-1' in world.gateway.state.endpoints.names()
        await trio.sleep(3.0)
        assert 'app-1' not in world.gateway.state.endpoints.names()
