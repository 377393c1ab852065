"""Memory budget for the incomplete answers that a host buffers.

An endpoint may send an endless answer. All incomplete answers share one budget,
so that memory stays bounded however many endpoints do so at once. When the
budget is exceeded, the largest answer is dropped, since it is the most likely
to be endless.
"""

import typing

import trio

from sardinebend_gateway import errors
from sardinebend_store import reply_heads

# Read buffers and copies of answers, such as `AnswerBuffer.join` makes, come on
# top of this. The memory that Python allocates in all, while many endless
# answers arrive, has to stay under 64 MB.
MAX_HELD_BYTES: typing.Final = 24 * 1024 * 1024
# Limit for a plain answer, which is buffered until it is complete.
MAX_ANSWER_BYTES: typing.Final = 16 * 1024 * 1024
# Memory that a chunk takes in addition to its bytes.
CHUNK_OVERHEAD_BYTES: typing.Final = 48
# When reading is paced, a chunk counts as at least this many bytes. A chunk
# takes some 27 us of CPU time, as much as 6 KB of a large one. Counting 8 KB
# keeps the CPU use of many small chunks below that of large ones.
MIN_CHUNK_COST_BYTES: typing.Final = 8 * 1024
# Number of chunks after which other tasks may run.
CHUNKS_PER_CHECKPOINT: typing.Final = 8
# Reading is paced beyond either limit. Ordinary answers are smaller and arrive
# in fewer chunks.
UNPACED_BYTES: typing.Final = 256 * 1024
UNPACED_CHUNKS: typing.Final = 256
# Rate for all paced answers together; reading takes some 4.5 ms of CPU time per
# MB.
PACED_BYTES_PER_S: typing.Final = 32 * 1024 * 1024


class AnswerBuffers:
    """Accounts for the incomplete answers that a host buffers.

    Attributes:
        size: Bytes in use.
        peak: The highest number of bytes in use so far.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.size = 0
        self.peak = 0
        self._limit = limit
        self._buffers: set[AnswerBuffer] = set()
        self._next_read_at = float('-inf')

    def open(self, limit: int = MAX_ANSWER_BYTES) -> 'AnswerBuffer':
        """Returns an empty buffer for one answer; the caller closes it."""
        buffer = AnswerBuffer(self, limit)
        self._buffers.add(buffer)
        return buffer

    def close(self, buffer: 'AnswerBuffer') -> None:
        """Releases the bytes of an answer."""
        self.add_bytes(-buffer.size)
        self._buffers.discard(buffer)

    def add_bytes(self, difference: int) -> None:
        """Adds to the bytes in use; drops the largest answer if over budget.

        Args:
            difference: Change in the number of bytes; negative if bytes were
                released.
        """
        self.size += difference
        self.peak = max(self.peak, self.size)
        if self.size > self._limit:
            max(self._buffers, key=lambda buffer: buffer.size).drop()

    async def pace(self, size: int) -> None:
        """Waits before more of a large answer is read.

        Endless answers would otherwise use up the CPU of a small host.
        """
        now = trio.current_time()
        read_at = max(now, self._next_read_at + size / PACED_BYTES_PER_S)
        self._next_read_at = read_at
        await trio.sleep(read_at - now)


class AnswerBuffer:
    """Buffer of one incomplete answer.

    Attributes:
        size: Bytes in use.
    """

    def __init__(self, budget: AnswerBuffers, limit: int) -> None:
        self.size = 0
        self._budget = budget
        self._limit = limit
        self._chunks: list[bytes] = []
        self._is_dropped = False
        self._chunk_count = 0

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
        rest = self._chunk_count % CHUNKS_PER_CHECKPOINT
        self._chunk_count += chunk_count
        if self.size > UNPACED_BYTES or self._chunk_count > UNPACED_CHUNKS:
            await self._budget.pace(
                max(size, chunk_count * MIN_CHUNK_COST_BYTES)
            )
        elif rest + chunk_count >= CHUNKS_PER_CHECKPOINT:
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
        difference, self.size = size - self.size, size
        self._budget.add_bytes(difference)

    def join(self) -> bytes:
        """Returns the complete answer.

        Raises:
            errors.TooLarge: The answer has been dropped.
        """
        self._check()
        return b''.join(self._chunks)

    def drop(self) -> None:
        """Discards the buffer; the next use of it raises `errors.TooLarge`."""
        self._is_dropped = True
        self._chunks = []
        difference, self.size = -self.size, 0
        self._budget.add_bytes(difference)

    def _check(self) -> None:
        if self._is_dropped:
            raise errors.TooLarge(
                'answer exceeds the size limit or was dropped to free memory'
            )

    def close(self) -> None:
        """Releases the bytes of the answer."""
        self._budget.close(self)
        self.size = 0
