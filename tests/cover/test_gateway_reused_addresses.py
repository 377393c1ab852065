"""An address may be used by another endpoint before its listing has lapsed."""

import trio

from tests.common import gateway_world as world_lib

WAIT_S = 6.0


# Guards against an order of many layers that a smaller engine, which has got
# the address of the one it was meant for, takes and crashes.
async def test_an_order_never_reaches_another_engine_at_the_address(clock):
    stranger = world_lib.Server('stranger', 'app')
    lost = world_lib.Server('lost', 'llm')
    async with world_lib.running(stranger) as world:
        lost.port = stranger.port
        await world.list_server(lost)
        await trio.sleep(WAIT_S)
        assert not stranger.orders
        assert stranger.misdirected
        state = world.gateway.state
        assert not state.is_usable(state.endpoints.get('lost'))
