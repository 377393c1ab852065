"""A lease on a table row, with a fencing number, based on local clocks only.

A holder measures its lease from before it sent the write that renewed it; a
contender measures from when it first read the row version of that write.
Clocks of different hosts are never compared, only durations, which must be
measured by a clock that continues while the host is suspended.

The lease only limits which host may *try* to act. A holder that is suspended
between its last check of the clock and the action still acts late. The effect
of that is limited by the fencing number where the receiver checks it, and by
the rules of `orders` where it doesn't.
"""

import typing

# Share of the duration by which a holder stops before the lease expires.
SAFETY_MARGIN: typing.Final = 0.2
# The lower bits of a fencing number tell the holders within an era apart.
ERA_FENCING_BITS: typing.Final = 40


class LeaseRow(typing.TypedDict):
    """Value of the lease row.

    Attributes:
        holder: Host and incarnation that hold the lease.
        fencing: Fencing number; incremented with each change of holder.
    """

    holder: str
    fencing: int


class Attempt(typing.NamedTuple):
    """A write that acquires or renews the lease if the version matches."""

    row: LeaseRow
    expected_version: int


class Lease:
    """One host's view of a lease.

    Attributes:
        fencing: Fencing number under which this host last held the lease.
        taken_at: Time at which this host last became the holder.
    """

    def __init__(self, holder: str, duration_s: float) -> None:
        self.fencing = 0
        self.taken_at = 0.0
        self._holder = holder
        self._duration_s = duration_s
        self._row: LeaseRow | None = None
        self._version = 0
        self._version_seen_at = float('-inf')
        self._held_until = float('-inf')
        self._was_read = False
        self._highest_fencing = 0

    def is_held(self, now: float) -> bool:
        """Returns whether this host holds the lease and may act.

        The clock behind `now` must continue while the host is suspended.
        """
        return now < self._held_until

    def observe(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Records the row and version that were read.

        A row that can't be read is `None` with its version; an absent one has
        version 0.

        A holder whose row is lost or replaced stops at once.
        """
        if row is None or row['holder'] != self._holder:
            self._held_until = float('-inf')
        if not self._was_read or version != self._version:
            self._version_seen_at = now
        self._was_read = True
        if row is not None:
            self._highest_fencing = max(self._highest_fencing, row['fencing'])
        self._row = row
        self._version = version

    def next_attempt(
        self, now: float, era: int = 0, counter: int = 0
    ) -> Attempt | None:
        """Returns the write to make now; `None` if there is none.

        Args:
            now: The time.
            era: Era of the store. Its row may be older than the last one, so
                each era has fencing numbers of its own, above all others.
            counter: The number that the store gave the row that was read; it
                rises with each write within an era. A late write of an earlier
                era may have replaced a holder's row of this one, so the row
                doesn't tell which numbers this era has used.
        """
        if not self._was_read:
            return None
        lowest = era << ERA_FENCING_BITS
        highest = lowest + counter if era else 0
        fencing = max(highest, self._highest_fencing) + 1
        is_waiting = now - self._version_seen_at < self._duration_s
        if self._row is None:
            if is_waiting and (self._highest_fencing or self._version):
                # The row is lost or unreadable, but its holder may not know
                # that yet.
                return None
            return Attempt(
                {'holder': self._holder, 'fencing': fencing}, self._version
            )
        if self._row['holder'] == self._holder and (
            self._row['fencing'] >= lowest
        ):
            return Attempt(self._row, self._version)
        if is_waiting:
            return None
        return Attempt(
            {'holder': self._holder, 'fencing': fencing}, self._version
        )

    def confirm(self, attempt: Attempt, version: int, sent_at: float) -> None:
        """Records that a write by this host has taken effect.

        Args:
            attempt: The write.
            version: The row's version since.
            sent_at: When the write was sent.
        """
        if attempt.row['fencing'] != self.fencing:
            self.taken_at = sent_at
        self.fencing = attempt.row['fencing']
        self._highest_fencing = max(self._highest_fencing, self.fencing)
        self._row = attempt.row
        self._version = version
        self._version_seen_at = sent_at
        self._held_until = sent_at + self._duration_s * (1 - SAFETY_MARGIN)
