"""Memory budget for the incomplete replies that a process reads.

A server may send an endless reply. All incomplete replies share one budget, so
that memory stays bounded however many servers do so at once. When the budget is
exceeded, the largest reply is dropped, since it is the most likely to be
endless.
"""

import collections.abc
import contextlib
import typing

import trio

from sardinebend_store import errors
from sardinebend_store import reply_heads

# The smallest hosts have 200 MB. Copies of replies come on top of this.
MAX_HELD_BYTES: typing.Final = 32 * 1024 * 1024
# A chunk counts as this many bytes in addition to its own, for the processor
# time that it takes.
CHUNK_COST_BYTES: typing.Final = 48
# Chunks that each reply may have, in addition to those that cost its limit.
MIN_CHUNK_LIMIT: typing.Final = 1024
# Number of chunks after which other tasks may run.
CHUNKS_PER_CHECKPOINT: typing.Final = 8


class HeldReplies:
    """Accounts for the incomplete replies of a process.

    Attributes:
        size: Bytes in use.
        peak: The highest number of bytes in use so far.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.size = 0
        self.peak = 0
        self._limit = limit
        self._replies: set[HeldReply] = set()

    @contextlib.contextmanager
    def open(self, limit: int) -> collections.abc.Iterator['HeldReply']:
        """Yields an empty reply.

        Args:
            limit: Largest size of the reply in bytes.
        """
        reply = HeldReply(self, limit)
        self._replies.add(reply)
        try:
            yield reply
        finally:
            reply.drop()
            self._replies.discard(reply)

    def add_bytes(self, difference: int) -> None:
        """Adds to the bytes in use; drops the largest reply if over budget.

        Args:
            difference: Change in the number of bytes; negative if bytes were
                released.
        """
        self.size += difference
        self.peak = max(self.peak, self.size)
        if self.size > self._limit:
            max(self._replies, key=lambda reply: reply.size).drop()


class HeldReply:
    """The body of one incomplete reply.

    Attributes:
        size: Bytes in use.
    """

    def __init__(self, budget: HeldReplies, limit: int) -> None:
        self.size = 0
        self._budget = budget
        self._limit = limit
        # A list of tiny chunks would take far more memory than their bytes.
        self._body = bytearray()
        self._is_dropped = False
        self._chunk_count = 0

    async def add(self, chunk: bytes) -> None:
        """Appends a chunk, and lets other tasks run.

        Raises:
            errors.ReplyTooLarge: The reply exceeds its limit, or has been
                dropped to free memory.
        """
        self._check()
        chunk_count = reply_heads.count_chunks(chunk)
        rest = self._chunk_count % CHUNKS_PER_CHECKPOINT
        self._chunk_count += chunk_count
        cost = len(chunk) + chunk_count * CHUNK_COST_BYTES
        if len(self._body) + len(chunk) > self._limit:
            raise errors.ReplyTooLarge('the reply is larger than allowed')
        if self._chunk_count > MIN_CHUNK_LIMIT + self._limit / CHUNK_COST_BYTES:
            raise errors.ReplyTooLarge('the reply has too many chunks')
        self._body += chunk
        self.size += cost
        self._budget.add_bytes(cost)
        if rest + chunk_count >= CHUNKS_PER_CHECKPOINT:
            await trio.lowlevel.checkpoint()

    def complete(self) -> bytes:
        """Returns the whole body.

        Raises:
            errors.ReplyTooLarge: The reply has been dropped to free memory.
        """
        self._check()
        return bytes(self._body)

    def drop(self) -> None:
        """Releases the bytes; the next use raises `errors.ReplyTooLarge`."""
        self._is_dropped = True
        self._body = bytearray()
        difference, self.size = -self.size, 0
        self._budget.add_bytes(difference)

    def _check(self) -> None:
        if self._is_dropped:
            raise errors.ReplyTooLarge('the reply was dropped to free memory')


# Memory is limited for the process, whatever the connections are for.
REPLIES: typing.Final = HeldReplies()
