"""Links between hosts: authentication, silence, hostile peers."""

import contextlib

import pytest
import trio
import trustme

from sardinebend_peers import errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_router import host as host_lib

SECRET = b'the shared secret'
QUESTION = messages.SettingsQuestion(1)


async def answer(message):
    if message == messages.SettingsQuestion(99):
        await trio.sleep_forever()
    return messages.SettingsReply(2, 1, b'{}')


@contextlib.asynccontextmanager
async def served(tls=None):
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        server = links.PeerServer(answer, SECRET, tls)
        nursery.start_soon(server.serve, listener)
        yield f'127.0.0.1:{port}', nursery
        nursery.cancel_scope.cancel()


async def test_a_call_is_answered():
    async with served() as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery)
        reply = await link.call(QUESTION, 5)
    assert reply == messages.SettingsReply(2, 1, b'{}')


async def test_a_peer_with_the_wrong_secret_is_refused():
    async with served() as (address, nursery):
        link = links.PeerLink(address, b'another secret', nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(QUESTION, 5)


async def test_a_silent_connection_is_replaced_by_a_new_one():
    async with served() as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(messages.SettingsQuestion(99), 0.2)
        reply = await link.call(QUESTION, 5)
    assert reply == messages.SettingsReply(2, 1, b'{}')


async def test_a_host_that_is_gone_is_unreachable():
    async with served() as (address, nursery):
        link = links.PeerLink('127.0.0.1:1', SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await link.call(QUESTION, 5)


@pytest.mark.parametrize(
    'data', [b'', b'\xff' * 64, b'GET / HTTP/1.1\r\n\r\n', b'\0\0\0\x01x']
)
async def test_hostile_bytes_close_their_connection_only(data):
    async with served() as (address, nursery):
        host, port = address.split(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(data)
        await stream.aclose()
        link = links.PeerLink(address, SECRET, nursery)
        assert await link.call(QUESTION, 5)


async def test_a_recorded_proof_is_not_accepted_again():
    async with served() as (address, nursery):
        host, port = address.split(':')
        frames = links.FrameStream(await trio.open_tcp_stream(host, int(port)))
        nonce = await frames.receive()
        await frames.send(nonce)
        proof = await frames.receive()
        await frames.send(proof)
        with pytest.raises(errors.MalformedFrame):
            await frames.receive()


async def test_peers_speak_tls_and_check_certificates(tmp_path):
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
    async with served(tls.peer_server) as (address, nursery):
        link = links.PeerLink(address, SECRET, nursery, tls.peer_client)
        assert await link.call(QUESTION, 5)
        plain = links.PeerLink(address, SECRET, nursery)
        with pytest.raises(errors.PeerUnreachable):
            await plain.call(QUESTION, 1)
