"""What hosts know of the platform's store, passed from one to another.

A host that the store doesn't answer asks a peer instead. The age of the
evidence is counted from when the question was sent, plus the age that the
peer's own evidence has.
"""

import math
import typing

import result
import trio

from sardinebend_gateway import members as members_lib
from sardinebend_gateway import settings as settings_lib
from sardinebend_gateway import state as state_lib
from sardinebend_gateway import watch
from sardinebend_peers import errors as peer_errors
from sardinebend_peers import links
from sardinebend_peers import messages
from sardinebend_store import errors as store_errors
from sardinebend_store import feeds

CALL_TIMEOUT_S: typing.Final = 0.5
# Hosts are told apart by address only; a shared secret would have to come
# from the platform, whose settings hold none.
SECRET: typing.Final = b''
MAX_WAIT_S: typing.Final = 5.0


class RelayServer:
    """Answers peers from the tables that this host follows."""

    def __init__(self, followers: typing.Mapping[str, watch.Follower]) -> None:
        self._followers = followers
        self._server = links.PeerServer(self._answer, SECRET)

    async def run(self, address: settings_lib.Address) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.ip)
        await self._server.serve(listeners[0])

    async def _answer(self, message: messages.Message) -> messages.Message:
        if not isinstance(message, messages.FeedQuestion):
            return messages.Ack()
        follower = self._followers.get(message.table)
        if follower is None or not follower.has_rows:
            return messages.FeedReply(-1, 0, False, ())
        wait_s = min(MAX_WAIT_S, max(0.0, message.wait_ms / 1000))
        with trio.move_on_after(wait_s):
            await follower.wait_beyond(message.after)
        rows = follower.rows_since(message.after)
        return messages.FeedReply(
            follower.version,
            # Rounded up: evidence must never seem fresher than it is.
            math.ceil(follower.evidence_age_s() * 1000),
            message.after < 0,
            tuple(messages.FeedRow(*row) for row in rows),
        )


class RelayClient(watch.Fallback):
    """Asks peers for what the store doesn't answer."""

    def __init__(
        self,
        state: state_lib.State,
        members: members_lib.Members,
        seeds: typing.Sequence[settings_lib.Address],
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._members = members
        self._seeds = [str(seed) for seed in seeds]
        self._nursery = nursery
        self._links: dict[str, links.PeerLink] = {}

    async def ask(
        self, table: str, after: int
    ) -> result.Result[watch.Relayed, store_errors.Unavailable]:
        """Returns what one live peer knows of a table."""
        live = self._members.live_peers().values()
        # Before the first rows have come, only the seeds are known.
        addresses = [row['relay'] for row in live] or self._seeds
        if not addresses:
            return result.Err(store_errors.Unavailable('no peer is known'))
        address = self._state.rng.choice(addresses)
        link = self._link(address)
        question = messages.FeedQuestion(table, after, 0)
        try:
            reply = await link.call(question, CALL_TIMEOUT_S)
        except peer_errors.PeerUnreachable as exc:
            return result.Err(store_errors.Unavailable(str(exc)))
        if not isinstance(reply, messages.FeedReply) or reply.version < 0:
            return result.Err(
                store_errors.Unavailable(f'{address} knows nothing')
            )
        rows = tuple(feeds.FeedRow(*row) for row in reply.rows)
        return result.Ok(
            watch.Relayed(
                feeds.Changes(rows, reply.version),
                reply.age_ms / 1000,
                reply.is_whole,
            )
        )

    def _link(self, address: str) -> links.PeerLink:
        if address not in self._links:
            self._links[address] = links.PeerLink(
                address, SECRET, self._nursery
            )
        return self._links[address]
