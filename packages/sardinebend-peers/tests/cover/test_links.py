"""Tests of links: authentication, unanswered calls, malformed input."""

import contextlib

import pytest
import trio
import trio.testing
import trustme

from sardinebend_gateway import host_clock
from sardinebend_gateway import metrics
from sardinebend_peers import errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_router import host as host_lib

SECRET = b'the shared secret'
QUESTION = messages.SettingsQuestion(1)


async def answer_question(message):
    if message == messages.SettingsQuestion(99):
        await trio.sleep_forever()
    return messages.SettingsReply(2, 1, b'{}')


@contextlib.asynccontextmanager
async def run_server(tls=None, **options):
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        server = links.PeerServer(answer_question, SECRET, tls, **options)
        nursery.start_soon(server.serve, listener)
        yield f'127.0.0.1:{port}', nursery
        nursery.cancel_scope.cancel()


async def test_a_call_returns_the_reply():
    async with run_server() as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery)
        reply = await link.call(QUESTION, 5)
    assert reply == messages.SettingsReply(2, 1, b'{}')


async def test_a_peer_with_the_wrong_secret_is_refused():
    async with run_server() as (address, nursery):
        link = links.PeerLink(address, b'another secret', nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(QUESTION, 5)


async def test_a_call_after_a_timed_out_one_uses_a_new_connection():
    async with run_server() as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(messages.SettingsQuestion(99), 0.2)
        reply = await link.call(QUESTION, 5)
    assert reply == messages.SettingsReply(2, 1, b'{}')


async def test_a_call_to_a_port_without_listener_is_unreachable():
    async with run_server() as (address, nursery):
        link = links.PeerLink('127.0.0.1:1', SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(QUESTION, 5)


@pytest.mark.parametrize(
    'data', [b'', b'\xff' * 64, b'GET / HTTP/1.1\r\n\r\n', b'\0\0\0\x01x']
)
async def test_malformed_bytes_on_one_connection_leave_the_server_usable(data):
    async with run_server() as (address, nursery):
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(data)
        await stream.aclose()
        link = links.PeerLink(address, SECRET, nursery)
        assert await link.call(QUESTION, 5)


async def test_a_reflected_proof_is_refused():
    async with run_server() as (address, nursery):
        host, port = address.split(':')
        frames = links.FrameStream(await trio.open_tcp_stream(host, int(port)))
        nonce = await frames.receive()
        await frames.send(nonce)
        proof = await frames.receive()
        await frames.send(proof)
        with pytest.raises(errors.MalformedFrame):
            await frames.receive()


async def test_calls_over_tls_succeed_and_calls_without_tls_fail(tmp_path):
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    files = {
        'cert_file': str(tmp_path / 'cert.pem'),
        'key_file': str(tmp_path / 'key.pem'),
        'ca_file': str(tmp_path / 'ca.pem'),
    }
    certificate.cert_chain_pems[0].write_to_path(files['cert_file'])
    certificate.private_key_pem.write_to_path(files['key_file'])
    authority.cert_pem.write_to_path(files['ca_file'])
    tls = host_lib.make_tls({'tls': files})
    async with run_server(tls.peer_server) as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery, tls.peer_client)
        assert await link.call(QUESTION, 5)
        plain = links.PeerLink(address, SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await plain.call(QUESTION, 1)


# Guards against megabytes that are kept for a stranger, on each connection.
@pytest.mark.parametrize('is_client', [True, False])
async def test_a_large_frame_before_authentication_is_refused(is_client):
    ends = trio.testing.memory_stream_pair()
    length = 1024 * 1024
    await ends[1].send_all(length.to_bytes(4, 'big') + b'x' * 1000)
    frames = links.FrameStream(ends[0])
    with pytest.raises(errors.MalformedFrame), trio.fail_after(1):
        await links.authenticate(frames, SECRET, is_client)


# Guards against a peer's connection that is given up, since this host was
# suspended while the two proved who they are.
async def test_a_pause_of_the_host_ends_no_handshake(mock_clock):
    mock_clock.autojump_threshold = 0.01
    delays = host_clock.HostClock(lambda _: None, metrics.Metrics())
    async with run_server(fail_after=delays.fail_after) as (address, nursery):
        nursery.start_soon(delays.run)
        await trio.sleep(0.2)
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await trio.sleep(0.2)
        mock_clock.jump(links.HANDSHAKE_TIMEOUT_S + 0.5)
        await trio.sleep(0.05)
        frames = links.FrameStream(stream)
        await links.authenticate(frames, SECRET, is_client=True)
