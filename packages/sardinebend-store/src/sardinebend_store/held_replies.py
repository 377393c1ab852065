"""Buffers of the incomplete replies that a process reads whole."""

import collections.abc
import contextlib
import typing

import trio

from sardinebend_store import errors
from sardinebend_store import memory_budgets
from sardinebend_store import reply_heads

# The smallest hosts have 200 MB. Copies of replies come on top of this.
MAX_HELD_BYTES: typing.Final = 32 * 1024 * 1024
# A chunk counts as this many bytes in addition to its own, for the processor
# time that it takes.
CHUNK_COST_BYTES: typing.Final = 48
# Chunks that each reply may have, in addition to those that cost its limit.
MIN_CHUNK_LIMIT: typing.Final = 1024


class HeldReplies(memory_budgets.MemoryBudget):
    """Memory budget for the incomplete replies of a process."""

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        super().__init__(limit)

    @contextlib.contextmanager
    def open(self, limit: int) -> collections.abc.Iterator['HeldReply']:
        """Yields an empty reply.

        Args:
            limit: Largest size of the reply in bytes.
        """
        reply = HeldReply(self, limit)
        try:
            yield reply
        finally:
            reply.drop()
            reply.close()


class HeldReply(memory_budgets.Buffer):
    """The body of one incomplete reply."""

    def __init__(self, budget: HeldReplies, limit: int) -> None:
        super().__init__(budget)
        self._limit = limit
        # A list of tiny chunks would take far more memory than their bytes.
        self._body = bytearray()

    async def add(self, chunk: bytes) -> None:
        """Appends a chunk, and lets other tasks run.

        Raises:
            errors.ReplyTooLarge: The reply exceeds its limit, or has been
                dropped to free memory.
        """
        self._check()
        count = reply_heads.count_chunks(chunk)
        has_to_yield = self.record_chunks(count)
        if len(self._body) + len(chunk) > self._limit:
            raise errors.ReplyTooLarge('the reply is larger than allowed')
        if self.chunk_count > MIN_CHUNK_LIMIT + self._limit / CHUNK_COST_BYTES:
            raise errors.ReplyTooLarge('the reply has too many chunks')
        self._body += chunk
        self.set_size(self.size + len(chunk) + count * CHUNK_COST_BYTES)
        if has_to_yield:
            await trio.lowlevel.checkpoint()

    def complete(self) -> bytes:
        """Returns the whole body.

        Raises:
            errors.ReplyTooLarge: The reply has been dropped to free memory.
        """
        self._check()
        return bytes(self._body)

    def discard_content(self) -> None:
        """Discards what has been read of the body."""
        self._body = bytearray()

    def _check(self) -> None:
        if self.is_dropped:
            raise errors.ReplyTooLarge('the reply was dropped to free memory')


# Memory is limited for the process, whatever the connections are for.
REPLIES: typing.Final = HeldReplies()
