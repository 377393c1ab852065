"""Memory budget for the request bodies that a host holds.

A body is held until its request has been answered, since another endpoint may
have to be sent it. All bodies share one budget, which follows from the memory
of the host. A body has its whole share before it is read, so that none is given
up in the middle. Large bodies leave a part of the budget to small ones.
"""

import typing

from sardinebend_gateway import metrics as metrics_lib

BYTES_PER_MB: typing.Final = 1_000_000
# Memory for everything else: a host without requests takes some 40 MB, answers
# and their copies up to some 50 MB.
RESERVED_MB: typing.Final = 100.0
# Where that would leave less for bodies, they have this share of the memory.
MIN_MEMORY_SHARE: typing.Final = 1 / 6
# Bodies up to this size have a part of the budget of their own.
SMALL_BODY_BYTES: typing.Final = 64 * 1024
SMALL_BODIES_SHARE: typing.Final = 0.125
# Bodies are kept in pieces of about this size. Joining them would take the
# memory of a whole body once more.
PIECE_BYTES: typing.Final = 64 * 1024
# A body of unknown size takes its room in steps.
STEP_BYTES: typing.Final = 4096


def make_limit(memory_mb: float) -> int:
    """Returns the budget of a host for bodies, in bytes.

    Args:
        memory_mb: Memory limit of the process.
    """
    budget_mb = max(memory_mb - RESERVED_MB, memory_mb * MIN_MEMORY_SHARE)
    return int(budget_mb * BYTES_PER_MB)


class RequestBodies:
    """Accounts for the request bodies that a host holds.

    Attributes:
        size: Bytes in use or promised to bodies that are being read.
        peak: The highest number of such bytes so far.
        refused_count: Number of bodies that found no room.
        make_room: Frees bytes, where it can, for a body that finds no room.
    """

    make_room: typing.Callable[[int], None] | None = None

    def __init__(self, limit: typing.Callable[[], int]) -> None:
        """Creates an empty budget.

        Args:
            limit: Returns the largest number of bytes in use.
        """
        self.size = 0
        self.peak = 0
        self.refused_count = 0
        self._limit = limit
        self._large_size = 0

    def register_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Shows what is in use on the metrics page."""
        metrics.register_gauge('request_body_bytes', lambda: self.size)
        metrics.register_gauge('request_body_bytes_peak', lambda: self.peak)
        metrics.register_gauge(
            'request_bodies_refused', lambda: self.refused_count
        )

    def try_grow(self, old_size: int, new_size: int) -> bool:
        """Takes more of the budget for one body.

        Args:
            old_size: What the body has of the budget so far.
            new_size: What it needs.

        Returns:
            Whether the body fits; otherwise nothing changes.
        """
        if not self._fits(old_size, new_size) and self.make_room is not None:
            self.make_room(new_size - old_size)
        if not self._fits(old_size, new_size):
            self.refused_count += 1
            return False
        self.size += new_size - old_size
        self._large_size += _large(new_size) - _large(old_size)
        self.peak = max(self.peak, self.size)
        return True

    @property
    def limit(self) -> int:
        """The largest number of bytes in use."""
        return self._limit()

    def _fits(self, old_size: int, new_size: int) -> bool:
        large_size = self._large_size + _large(new_size) - _large(old_size)
        large_limit = self.limit - int(self.limit * SMALL_BODIES_SHARE)
        if new_size > SMALL_BODY_BYTES and large_size > large_limit:
            return False
        return self.size + new_size - old_size <= self.limit

    def give_back(self, size: int) -> None:
        """Returns what one body had of the budget."""
        self.size -= size
        self._large_size -= _large(size)


def _large(size: int) -> int:
    return size if size > SMALL_BODY_BYTES else 0


class Body:
    """The body of one request, without its framing.

    Iterating it asynchronously yields its pieces.

    Attributes:
        size: Number of bytes that were received.
        is_refused: Whether it found no room. Its bytes are discarded.
    """

    def __init__(self, budget: RequestBodies) -> None:
        self.size = 0
        self.is_refused = False
        self._budget = budget
        self._reserved = 0
        self._pieces: list[bytes] = []
        self._last_piece = bytearray()

    def reserve(self, size: int) -> None:
        """Takes what a body of this size needs; refuses it if there is none."""
        if self.is_refused or size <= self._reserved:
            return
        if self._budget.try_grow(self._reserved, size):
            self._reserved = size
            return
        self.is_refused = True
        self.release()

    def add(self, data: bytes | bytearray) -> None:
        """Appends bytes, unless the body is or gets refused."""
        self.size += len(data)
        if self.size > self._reserved:
            self.reserve(-(-self.size // STEP_BYTES) * STEP_BYTES)
        if self.is_refused:
            return
        self._last_piece += data
        if len(self._last_piece) >= PIECE_BYTES:
            self._pieces.append(bytes(self._last_piece))
            self._last_piece.clear()

    def finish(self) -> None:
        """Ends a body that has been received completely."""
        if self._last_piece:
            self._pieces.append(bytes(self._last_piece))
        self._last_piece = bytearray()

    @property
    def reserved_bytes(self) -> int:
        """What it has of the budget."""
        return self._reserved

    def give_up(self) -> None:
        """Drops the bytes, and those that still come."""
        self.is_refused = True
        self.release()

    def release(self) -> None:
        """Drops the bytes, which can't be needed any more."""
        self._pieces = []
        self._last_piece = bytearray()
        self._budget.give_back(self._reserved)
        self._reserved = 0

    @property
    def pieces(self) -> typing.Sequence[bytes]:
        """The bytes, in order."""
        return self._pieces

    def __aiter__(self) -> '_PieceIterator':
        # A release meanwhile must not cut what is being sent.
        return _PieceIterator(tuple(self._pieces))


class _PieceIterator:
    """Yields pieces. A generator would need to be closed when cancelled."""

    def __init__(self, pieces: tuple[bytes, ...]) -> None:
        self._pieces = iter(pieces)

    def __aiter__(self) -> '_PieceIterator':
        return self

    async def __anext__(self) -> bytes:
        for piece in self._pieces:
            return piece
        raise StopAsyncIteration
