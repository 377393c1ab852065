"""Calls to peers by a host that is held up itself, on the virtual clock."""

import contextlib

import pytest
import trio

from sardinebend_gateway import relay
from sardinebend_peers import errors
from sardinebend_peers import links
from sardinebend_peers import messages
from tests.common import gateway_world as world_lib

PAUSE_S = 1.2
WAIT_S = 0.2
TABLE = 'op'
REPLY = messages.FeedReply(5, 0, False, ())


class Peer:
    """A peer whose host is sound, while this host may be held up.

    Attributes:
        accepted: Number of connections.
        pause: Called right before each reply is sent. The reply is in the
            socket before this host goes on.
        is_silent: Whether it leaves questions unanswered.
    """

    def __init__(self):
        self.accepted = 0
        self.pause = lambda: None
        self.is_silent = False
        self.asked = 0
        self.address = ''

    async def serve(self, stream):
        self.accepted += 1
        frames = links.FrameStream(Pausing(stream, self))
        await links.authenticate(frames, relay.SECRET, is_client=False)
        with contextlib.suppress(errors.MalformedFrame):
            while True:
                envelope = links.codec.decode(await frames.receive())
                self.asked += 1
                if not self.is_silent:
                    reply = links.codec.Envelope(envelope.call_id, True, REPLY)
                    await frames.send(links.codec.encode(reply))


class Pausing(trio.abc.Stream):
    """A stream of a peer; this host may stand still before a reply is sent."""

    def __init__(self, stream, peer):
        self.stream = stream
        self.peer = peer

    async def send_all(self, data):
        if self.peer.asked:
            self.peer.pause()
        await self.stream.send_all(data)

    async def receive_some(self, max_bytes=None):
        return await self.stream.receive_some(max_bytes)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self):
        await self.stream.aclose()


@contextlib.asynccontextmanager
async def asking(monkeypatch):
    """Yields a world, its client that asks a reader, and the reader."""
    peer = Peer()
    async with world_lib.running() as world:
        listeners = await trio.open_tcp_listeners(0, host=world_lib.IP)
        port = listeners[0].socket.getsockname()[1]
        peer.address = f'{world_lib.IP}:{port}'
        world.nursery.start_soon(trio.serve_listeners, peer.serve, listeners)
        client = relay.RelayClient(
            world.gateway.state, world.gateway.members, (), world.nursery
        )
        monkeypatch.setattr(client, '_reader_address', lambda: peer.address)
        yield world, client, peer


async def query(client):
    return await client.query_reader(TABLE, 1, WAIT_S)


# Guards against a host that asks the store instead of its reader for 3 s, and
# counts a silence of it, because the host itself was held up.
async def test_a_reader_that_a_late_host_gave_up_is_asked_again(
    clock, monkeypatch
):
    async with asking(monkeypatch) as (world, client, peer):
        assert (await query(client)).is_ok()
        await trio.sleep(1.0)
        peer.is_silent = True
        clock.jump(PAUSE_S)
        # The backlog of the delay takes longer than the call may.
        assert (await query(client)).is_err()
        peer.is_silent = False
        assert (await query(client)).is_ok()
        metrics = world.gateway.state.metrics.render()
    assert 'readers_unanswered' not in metrics


# Guards against a host that asks a reader without a pause that is silent.
async def test_a_reader_that_is_silent_to_a_host_on_time_is_left_alone(
    clock, monkeypatch
):
    async with asking(monkeypatch) as (_, client, peer):
        peer.is_silent = True
        await trio.sleep(2.0)
        assert (await query(client)).is_err()
        asked = peer.asked
        await trio.sleep(relay.READER_COOLDOWN_S - 0.1)
        assert (await query(client)).is_err()
        assert peer.asked == asked
        await trio.sleep(0.2)
        peer.is_silent = False
        assert (await query(client)).is_ok()


# Guards against calls that fail, and sound connections that are closed,
# because the time of a call passed while the host was suspended.
@pytest.mark.parametrize('pause_s', [0.6, 1.2, 3.5])
async def test_an_answer_that_came_while_the_host_was_held_up_is_taken(
    pause_s, clock, monkeypatch
):
    async with asking(monkeypatch) as (_, client, peer):
        assert (await query(client)).is_ok()
        await trio.sleep(1.0)
        peer.pause = lambda: clock.jump(pause_s)
        answer = await query(client)
        peer.pause = lambda: None
        assert answer.is_ok()
        assert (await query(client)).is_ok()
    assert peer.accepted == 1
