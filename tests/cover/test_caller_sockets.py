"""What the kernel knows of the delivery to a caller."""

import trio

from sardinebend_gateway import caller_sockets
from tests.common import gateway_world as world_lib


def test_only_a_caller_whose_machine_is_silent_is_lost():
    delivery = caller_sockets.Delivery(4, 4.5, 100)
    assert delivery.is_lost
    # It confirms that its window is closed.
    assert not delivery._replace(unanswered=0).is_lost
    assert not delivery._replace(unanswered=1).is_lost
    assert not delivery._replace(since_answer_s=3.9).is_lost


async def test_confirmed_bytes_are_read_from_the_kernel():
    listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
    port = listeners[0].socket.getsockname()[1]
    client = await trio.open_tcp_stream(world_lib.IP, port)
    accepted = await listeners[0].accept()
    before = caller_sockets.read_delivery(accepted.socket)
    await accepted.send_all(b'x' * 1000)
    received = 0
    while received < 1000:
        received += len(await client.receive_some(1000))
    await trio.sleep(0.05)
    after = caller_sockets.read_delivery(accepted.socket)
    assert after.confirmed_bytes - before.confirmed_bytes == 1000
    assert not after.is_lost
    await accepted.aclose()
    await client.aclose()
    await listeners[0].aclose()
    assert caller_sockets.read_delivery(accepted.socket) is None


# Guards against a request that goes on although its caller's machine is gone.
async def test_a_request_ends_when_its_caller_is_lost(monkeypatch):
    lost = caller_sockets.Delivery(4, 5.0, 0)
    monkeypatch.setattr(caller_sockets, 'read_delivery', lambda conn: lost)
    closed = trio.Event()

    async def wait_for_close(headers, stream):
        assert await stream.receive_some(1) == b''
        closed.set()

    server = world_lib.Server('app-0', 'app', wait_for_close)
    async with world_lib.running(server) as world:
        stream = await world.connect()
        async with stream:
            await stream.send_all(world_lib.make_request('/book/x', 'POST'))
            with trio.fail_after(5):
                await closed.wait()
