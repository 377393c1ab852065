"""A fault in applying one row doesn't cost the rows after it."""

import trio

from sardinebend_adapter import state_codec
from sardinebend_gateway import row_guard
from sardinebend_store import feeds
from tests.common import gateway_world as world_lib
from tests.common import odd_world


# Guards against a fault in applying one row that costs the rows after it.
async def test_an_unexpected_error_of_one_row_costs_only_that_row(
    clock, caplog, monkeypatch
):
    caplog.set_level('INFO', 'sardinebend.decisions')
    decode = state_codec.PlatformState.decode_endpoint

    def fail_at_odd(self, key, value):
        if key == 'a-odd':
            raise ZeroDivisionError('a bug')
        return decode(self, key, value)

    monkeypatch.setattr(
        state_codec.PlatformState, 'decode_endpoint', fail_at_odd
    )
    trap = world_lib.Server('a-odd', 'app')
    engines = world_lib.engines((0, 4), script=odd_world.answer_completely)
    app = world_lib.Server('app-1', 'app')
    store = feeds.MemoryFeeds()
    await store.write('servers', 'a-odd', None, b'{}')
    async with trio.open_nursery() as nursery:
        world = world_lib.World(nursery, [app, *engines], store=store)
        with trio.fail_after(odd_world.LIMIT_S):
            await world.start()
        await odd_world.check_goes_on(world, trap, caplog)
        reason = odd_world.skipped(caplog)[0]['reason']
        assert 'ZeroDivisionError' in reason
        assert len(reason) <= row_guard.MAX_REASON_CHARS
        nursery.cancel_scope.cancel()
