"""Memory budget that the buffers of incomplete answers share.

A server may send an endless answer. All buffers share one budget, so that
memory stays bounded however many servers do so at once. When the budget is
exceeded, the largest buffer is dropped, since its answer is the most likely to
be endless.
"""

import abc
import typing

# Number of chunks after which other tasks may run.
CHUNKS_PER_CHECKPOINT: typing.Final = 8


class MemoryBudget:
    """Accounts for the buffers of incomplete answers.

    Attributes:
        size: Bytes in use.
        peak: The highest number of bytes in use so far.
    """

    def __init__(self, limit: int) -> None:
        """Creates a budget.

        Args:
            limit: Number of bytes above which the largest buffer is dropped.
        """
        self.size = 0
        self.peak = 0
        self._limit = limit
        self._buffers: set[Buffer] = set()

    def register(self, buffer: 'Buffer') -> None:
        """Adds an empty buffer to those that may be dropped."""
        self._buffers.add(buffer)

    def unregister(self, buffer: 'Buffer') -> None:
        """Removes a buffer that is empty again."""
        self._buffers.discard(buffer)

    def add_bytes(self, difference: int) -> None:
        """Adds to the bytes in use; drops the largest buffer if over budget.

        Args:
            difference: Change in the number of bytes; negative if bytes were
                released.
        """
        self.size += difference
        self.peak = max(self.peak, self.size)
        if self.size > self._limit:
            max(self._buffers, key=lambda buffer: buffer.size).drop()


class Buffer(abc.ABC):
    """Buffer of one incomplete answer.

    Attributes:
        size: Bytes in use.
        chunk_count: Number of chunks that have been recorded.
        is_dropped: Whether its content was discarded to free memory.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.size = 0
        self.chunk_count = 0
        self.is_dropped = False
        self._budget = budget
        budget.register(self)

    @abc.abstractmethod
    def discard_content(self) -> None:
        """Discards what it holds."""

    def set_size(self, size: int) -> None:
        """Sets the bytes in use; may drop buffers of the budget, also this."""
        difference, self.size = size - self.size, size
        self._budget.add_bytes(difference)

    def record_chunks(self, count: int) -> bool:
        """Counts chunks that were read.

        Returns:
            Whether other tasks should run before more are read.
        """
        rest = self.chunk_count % CHUNKS_PER_CHECKPOINT
        self.chunk_count += count
        return rest + count >= CHUNKS_PER_CHECKPOINT

    def drop(self) -> None:
        """Discards its content for good, and releases the bytes."""
        self.is_dropped = True
        self.discard_content()
        self.set_size(0)

    def close(self) -> None:
        """Releases the bytes of an answer that is no longer needed."""
        self.set_size(0)
        self._budget.unregister(self)
