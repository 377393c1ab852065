"""A lease on a table row, with a fencing number, by local clocks only.

A holder counts its time from before it sent the write that renewed the lease;
a contender counts from when it first saw that write's row version. Hosts'
clocks are never compared, only durations, and those must be taken from a clock
that goes on while the host is suspended.

The lease bounds who may *try* to act. A holder that is paused between its last
look at the clock and the act itself acts late all the same; what that can do
is bounded by the fencing number where it is checked, and by the rules of
`orders` where it isn't.
"""

import typing

MARGIN: typing.Final = 0.2


class LeaseRow(typing.TypedDict):
    """Value of the lease's row.

    Attributes:
        holder: Host and incarnation that hold the lease.
        fencing: Rises by one with each change of holder.
    """

    holder: str
    fencing: int


class Attempt(typing.NamedTuple):
    """A write that takes or renews the lease, on condition of a version."""

    row: LeaseRow
    expected_version: int


class Lease:
    """One host's view of a lease.

    Attributes:
        fencing: Fencing number under which this host last held it.
        taken_at: When this host last became the holder.
    """

    def __init__(self, holder: str, duration_s: float) -> None:
        self.fencing = 0
        self.taken_at = 0.0
        self._holder = holder
        self._duration_s = duration_s
        self._row: LeaseRow | None = None
        self._version = 0
        self._seen_at = float('-inf')
        self._held_until = float('-inf')
        self._was_read = False

    def is_held(self, now: float) -> bool:
        """Tells whether this host may act, by a clock that never stops."""
        return now < self._held_until

    def see(self, row: LeaseRow | None, version: int, now: float) -> None:
        """Takes in the row as it was read."""
        if not self._was_read or version != self._version:
            self._seen_at = now
        self._was_read = True
        self._row = row
        self._version = version

    def next_attempt(self, now: float) -> Attempt | None:
        """Returns the write to make now, if any."""
        if not self._was_read:
            return None
        if self._row is None:
            return Attempt({'holder': self._holder, 'fencing': 1}, 0)
        if self._row['holder'] == self._holder:
            return Attempt(self._row, self._version)
        if now - self._seen_at < self._duration_s:
            return None
        fencing = self._row['fencing'] + 1
        return Attempt(
            {'holder': self._holder, 'fencing': fencing}, self._version
        )

    def confirm(self, attempt: Attempt, sent_at: float) -> None:
        """Takes in that a write of this host has taken effect."""
        if attempt.row['fencing'] != self.fencing:
            self.taken_at = sent_at
        self.fencing = attempt.row['fencing']
        self._row = attempt.row
        self._version = attempt.expected_version + 1
        self._seen_at = sent_at
        self._held_until = sent_at + self._duration_s * (1 - MARGIN)
