"""Tests of what a host records of its own delays, on the virtual clock."""

import contextlib

import trio

from sardinebend_gateway import http_server
from tests.common import decision_log
from tests.common import gateway_world as world_lib

PAUSE_S = 1.2


# Guards against a log that doesn't tell a delay of the host itself from the
# silence of others.
async def test_a_pause_of_the_host_is_logged(clock):
    with decision_log.collecting() as lines:
        async with world_lib.running() as world:
            await trio.sleep(1.0)
            clock.jump(PAUSE_S)
            await trio.sleep(0.5)
            page = world.gateway.state.metrics.render()
    (fields,) = [fields for name, fields in lines if name == 'host_delayed']
    assert PAUSE_S - 0.2 < fields['delay_s'] <= PAUSE_S
    assert 'sardinebend_host_delay_seconds_count 1' in page


async def test_a_stop_tells_how_late_its_signal_may_be(clock):
    with decision_log.collecting() as lines:
        async with world_lib.running() as world:
            await trio.sleep(1.0)
            clock.jump(PAUSE_S)
            await trio.lowlevel.checkpoint()
            world.gateway.begin_stop()
    (fields,) = [fields for name, fields in lines if name == 'host_stopping']
    assert PAUSE_S <= fields['signal_late_s'] <= PAUSE_S + 0.2


# Guards against an answer whose end is lost by a reset that leaves no line.
async def test_a_close_that_discards_bytes_of_the_caller_is_logged(
    clock, monkeypatch
):
    # A caller that has sent more than was read when the wait for it is over.
    monkeypatch.setattr(http_server, 'LINGER_S', 0.0)
    with decision_log.collecting() as lines:
        async with world_lib.running() as world:
            port = world.gateway.server.port
            world.gateway.begin_stop()
            req = world_lib.make_request('/unknown/x', request_id='r1')
            async with await trio.open_tcp_stream(world_lib.IP, port) as stream:
                # Reading pauses before all early bytes have been read.
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(req + bytes(4_000_000))
            await world.gateway.server.wait_closed()
    (fields,) = [f for name, f in lines if name == 'connection_reset']
    assert fields['request'] == 'r1'
    assert fields['is_answered']
    assert fields['unread_bytes']
