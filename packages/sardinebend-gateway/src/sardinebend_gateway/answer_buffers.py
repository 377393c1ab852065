"""Buffers of the incomplete answers that a host reads, and their pace."""

import typing

import trio

from sardinebend_gateway import errors
from sardinebend_store import memory_budgets
from sardinebend_store import reply_heads

# Read buffers and copies of answers, such as `AnswerBuffer.join` makes, come on
# top of this. The memory that Python allocates in all, while many endless
# answers arrive, has to stay under 64 MB.
MAX_HELD_BYTES: typing.Final = 24 * 1024 * 1024
# Small hosts have a share of what one at rest leaves free; some have little.
AT_REST_MB: typing.Final = 40.0
FREE_SHARE: typing.Final = 0.1
MIN_MEMORY_SHARE: typing.Final = 0.05
BYTES_PER_MB: typing.Final = 1_000_000
# Limit for a plain answer, which is buffered until it is complete.
MAX_ANSWER_BYTES: typing.Final = 16 * 1024 * 1024
# Memory that a chunk takes in addition to its bytes.
CHUNK_OVERHEAD_BYTES: typing.Final = 48
# When reading is paced, a chunk counts as at least this many bytes. A chunk
# takes some 27 us of CPU time, as much as 6 KB of a large one. Counting 8 KB
# keeps the CPU use of many small chunks below that of large ones.
MIN_CHUNK_COST_BYTES: typing.Final = 8 * 1024
# Reading is paced beyond either limit. Ordinary answers are smaller and arrive
# in fewer chunks.
UNPACED_BYTES: typing.Final = 256 * 1024
UNPACED_CHUNKS: typing.Final = 256
# Rate for all paced answers together; reading takes some 4.5 ms of CPU time per
# MB.
PACED_BYTES_PER_S: typing.Final = 32 * 1024 * 1024


def make_limit(memory_mb: float) -> int:
    """Returns the budget of a host for incomplete answers, in bytes.

    Args:
        memory_mb: Memory limit of the process.
    """
    limit_mb = max(
        FREE_SHARE * (memory_mb - AT_REST_MB), MIN_MEMORY_SHARE * memory_mb
    )
    return min(MAX_HELD_BYTES, int(limit_mb * BYTES_PER_MB))


class AnswerBuffers(memory_budgets.MemoryBudget):
    """Memory budget for the incomplete answers that a host buffers."""

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        super().__init__(limit)
        self._next_read_at = float('-inf')

    def open(self, limit: int = MAX_ANSWER_BYTES) -> 'AnswerBuffer':
        """Returns an empty buffer for one answer, which is to be closed."""
        return AnswerBuffer(self, limit)

    async def pace(self, size: int) -> None:
        """Waits before more of a large answer is read.

        Endless answers would otherwise use up the CPU of a small host.
        """
        now = trio.current_time()
        read_at = max(now, self._next_read_at + size / PACED_BYTES_PER_S)
        self._next_read_at = read_at
        await trio.sleep(read_at - now)


class AnswerBuffer(memory_budgets.Buffer):
    """Buffer of one incomplete answer."""

    def __init__(self, budget: AnswerBuffers, limit: int) -> None:
        super().__init__(budget)
        self._answers = budget
        self._limit = limit
        self._chunks: list[bytes] = []

    async def add(self, chunk: bytes) -> None:
        """Appends a chunk.

        Raises:
            errors.TooLarge: The answer exceeds its limit, or has been dropped
                to free memory.
        """
        size = len(chunk) + CHUNK_OVERHEAD_BYTES
        self.resize(self.size + size)
        self._chunks.append(chunk)
        await self.throttle(size, reply_heads.count_chunks(chunk))

    async def throttle(self, size: int, chunk_count: int = 1) -> None:
        """Lets other tasks run, and paces reading, after chunks.

        Args:
            size: Bytes that they take.
            chunk_count: Number of chunks that were read as one.
        """
        has_to_yield = self.record_chunks(chunk_count)
        if self.size > UNPACED_BYTES or self.chunk_count > UNPACED_CHUNKS:
            await self._answers.pace(
                max(size, chunk_count * MIN_CHUNK_COST_BYTES)
            )
        elif has_to_yield:
            await trio.lowlevel.checkpoint()

    def resize(self, size: int) -> None:
        """Sets the size of an answer, whose bytes may be stored elsewhere.

        Raises:
            errors.TooLarge: The answer exceeds its limit, or has been dropped
                to free memory.
        """
        if size > self._limit:
            self.drop()
        self._check()
        self.set_size(size)

    def join(self) -> bytes:
        """Returns the complete answer.

        Raises:
            errors.TooLarge: The answer has been dropped.
        """
        self._check()
        return b''.join(self._chunks)

    def discard_content(self) -> None:
        """Discards the chunks; the next use raises `errors.TooLarge`."""
        self._chunks = []

    def _check(self) -> None:
        if self.is_dropped:
            raise errors.TooLarge(
                'answer exceeds the size limit or was dropped to free memory'
            )
