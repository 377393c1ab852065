"""Bytes of answers that a host holds: one budget for all of them.

An endpoint may send bytes without end. What a host holds of answers that
aren't complete stays bounded however many do so at once: when the budget is
spent, the largest answer is dropped, and it is the likeliest to have no end.
"""

import typing

import trio

from sardinebend_gateway import errors

# Buffers and copies come on top; all of it has to stay under 64 MB.
MAX_HELD_BYTES: typing.Final = 24 * 1024 * 1024
# A plain answer is kept whole until it is known to be complete.
MAX_ANSWER_BYTES: typing.Final = 16 * 1024 * 1024
# What a piece takes besides its bytes, however small it is.
PIECE_BYTES: typing.Final = 48
# A piece takes some 27 us of processor time, as much as 6 KB of a large one.
PIECE_WORK_BYTES: typing.Final = 8 * 1024
# Pieces after which other tasks get their turn.
PIECES_AT_ONCE: typing.Final = 8
# Ordinary answers are smaller and come in fewer pieces; beyond these, reading
# is slowed down.
SMALL_BYTES: typing.Final = 256 * 1024
FEW_PIECES: typing.Final = 256
# All large answers together; reading takes some 4.5 ms of processor time a MB.
LARGE_BYTES_PER_S: typing.Final = 32 * 1024 * 1024


class HeldAnswers:
    """What a host holds of incomplete answers.

    Attributes:
        size: Bytes held.
        peak: The most bytes ever held.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.size = 0
        self.peak = 0
        self._limit = limit
        self._answers: set[HeldAnswer] = set()
        self._read_at = float('-inf')

    def open(self, limit: int = MAX_ANSWER_BYTES) -> 'HeldAnswer':
        """Returns room for one answer, empty so far; close it."""
        answer = HeldAnswer(self, limit)
        self._answers.add(answer)
        return answer

    def close(self, answer: 'HeldAnswer') -> None:
        """Takes back an answer's room."""
        self.change(-answer.size)
        self._answers.discard(answer)

    def change(self, size: int) -> None:
        """Counts bytes that came or went; drops the largest answer if full."""
        self.size += size
        self.peak = max(self.peak, self.size)
        if self.size > self._limit:
            max(self._answers, key=lambda answer: answer.size).drop()

    async def pace(self, size: int) -> None:
        """Waits before more of a large answer is read.

        Endless answers would otherwise take all of a small host's processor.
        """
        now = trio.current_time()
        due = max(now, self._read_at + size / LARGE_BYTES_PER_S)
        self._read_at = due
        await trio.sleep(due - now)


class HeldAnswer:
    """One answer that isn't complete.

    Attributes:
        size: Bytes held of it.
    """

    def __init__(self, held: HeldAnswers, limit: int) -> None:
        self.size = 0
        self._held = held
        self._limit = limit
        self._chunks: list[bytes] = []
        self._is_dropped = False
        self._pieces = 0

    async def add(self, chunk: bytes) -> None:
        """Keeps more bytes.

        Raises:
            errors.TooLarge: The answer is larger than any may be, or has been
                dropped to make room.
        """
        size = len(chunk) + PIECE_BYTES
        self.resize(self.size + size)
        self._chunks.append(chunk)
        await self.take_turn(size)

    async def take_turn(self, size: int) -> None:
        """Lets other tasks run after a piece of some bytes."""
        self._pieces += 1
        if self.size > SMALL_BYTES or self._pieces > FEW_PIECES:
            await self._held.pace(max(size, PIECE_WORK_BYTES))
        elif self._pieces % PIECES_AT_ONCE == 0:
            await trio.lowlevel.checkpoint()

    def resize(self, size: int) -> None:
        """Counts bytes that are kept elsewhere.

        Raises:
            errors.TooLarge: As above.
        """
        if size > self._limit:
            self.drop()
        self._check()
        change, self.size = size - self.size, size
        self._held.change(change)

    def join(self) -> bytes:
        """Returns the whole answer.

        Raises:
            errors.TooLarge: It has been dropped.
        """
        self._check()
        return b''.join(self._chunks)

    def drop(self) -> None:
        """Frees what is held; whoever adds to it next learns of it."""
        self._is_dropped = True
        self._chunks = []
        change, self.size = -self.size, 0
        self._held.change(change)

    def _check(self) -> None:
        if self._is_dropped:
            raise errors.TooLarge('the answer has no end, or too late a one')

    def close(self) -> None:
        """Frees the room."""
        self._held.close(self)
        self.size = 0
