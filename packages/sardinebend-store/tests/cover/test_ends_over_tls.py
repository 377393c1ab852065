"""Replies without a length over TLS, and how their connections end."""

import ssl

import pytest
import trio
import trustme

from sardinebend_store import connections
from sardinebend_store import errors

IP = '127.0.0.1'
HEAD = b'HTTP/1.1 200 OK\r\n'
BODY = b'0123456789' * 50
LENGTH = b'Content-Length: %d\r\n' % len(BODY)


async def exchange(ends, framing=b'', sent=BODY):
    """Returns the reply of a server over TLS, or the error in place of it.

    Args:
        ends: How it ends the connection: `alert` is TLS's orderly end, `close`
            lacks it.
        framing: What its head says of the end of the body.
        sent: What it sends of its body.
    """
    authority = trustme.CA()
    server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(IP).configure_cert(server_context)
    context = ssl.create_default_context()
    authority.configure_trust(context)

    async def serve(transport):
        stream = trio.SSLStream(transport, server_context, server_side=True)
        await stream.receive_some(65536)
        await stream.send_all(HEAD + framing + b'\r\n' + sent)
        if ends == 'alert':
            await stream.aclose()
        else:
            # The kernel's end of the connection is orderly.
            await transport.send_eof()
            await transport.receive_some(65536)
            await transport.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=IP)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        origin = connections.Origin(f'https://{IP}:{port}', context)
        try:
            return await origin.exchange('GET', '/x', timeout_s=5.0)
        except errors.ExchangeFailed as exc:
            return exc
        finally:
            await origin.close()
            nursery.cancel_scope.cancel()


async def test_a_reply_without_a_length_ends_with_the_alert():
    reply = await exchange('alert')
    assert (reply.status, reply.body) == (200, BODY)


# Guards against a part of a reply that is taken for a whole one: anyone on the
# way can end a TCP connection, but not send TLS's alert.
async def test_a_reply_without_a_length_is_not_whole_without_the_alert():
    found = await exchange('close', sent=BODY[:100])
    assert isinstance(found, errors.ExchangeFailed)


@pytest.mark.parametrize('ends', ['alert', 'close'])
async def test_a_reply_with_a_length_needs_no_alert(ends):
    reply = await exchange(ends, LENGTH)
    assert (reply.status, reply.body) == (200, BODY)


@pytest.mark.parametrize('ends', ['alert', 'close'])
async def test_a_reply_that_is_shorter_than_its_length_is_not_whole(ends):
    found = await exchange(ends, LENGTH, BODY[:100])
    assert isinstance(found, errors.ExchangeFailed)


async def test_a_server_that_is_not_trusted_gets_no_request():
    authority = trustme.CA()
    server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(IP).configure_cert(server_context)

    async def serve(transport):
        stream = trio.SSLStream(transport, server_context, server_side=True)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(65536)
        await transport.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=IP)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        origin = connections.Origin(f'https://{IP}:{port}')
        with pytest.raises(errors.ConnectFailed):
            await origin.exchange('GET', '/x', timeout_s=5.0)
        nursery.cancel_scope.cancel()
