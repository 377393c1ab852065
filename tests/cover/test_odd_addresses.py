"""Connecting to an odd address fails as connecting to any other does."""

import pytest
import trio

from sardinebend_peers import errors as peer_errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_store import connections
from sardinebend_store import errors as store_errors
from tests.common import odd_values


# Guards against a ValueError where a caller expects a failed connection.
@pytest.mark.parametrize('address', [*odd_values.BAD_ADDRESSES, '\ud800:80'])
async def test_connecting_to_an_odd_address_fails_as_a_connection(address):
    origin = connections.Origin(f'http://{address}')
    with pytest.raises(store_errors.ConnectFailed):
        # Those that are valid URLs after all: nothing listens there.
        await origin.connect(0.5)
        raise store_errors.ConnectFailed('a valid URL')


async def test_port_0_is_not_taken_for_the_default_port():
    origin = connections.Origin('http://127.0.0.1:0')
    with pytest.raises(store_errors.ConnectFailed, match='not the URL'):
        await origin.connect(0.5)


# Guards against an unexpected error in the task that asks a peer.
@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:x', 'a..b:1']
)
async def test_calling_a_peer_at_an_odd_address_fails_as_unreachable(address):
    async with trio.open_nursery() as nursery:
        link = links.PeerLink(address, b'', nursery)
        with pytest.raises(peer_errors.PeerUnreachable):
            await link.call(messages.Ack(), 1.0)
