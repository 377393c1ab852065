"""Claim rows of bookings, and a host's registry of its own claims."""

import collections
import enum
import hashlib
import typing

from sardinebend_policy import errors
from sardinebend_policy import outcomes

MAX_NONCES: typing.Final = 20_000
MAX_INLINE_BODY_BYTES: typing.Final = 16 * 1024
# Claims that a copy of the table may lack, which is some seconds old.
KEPT_ROWS_S: typing.Final = 60.0
MAX_KEPT_ROWS: typing.Final = 5_000
MAX_KEPT_BODY_BYTES: typing.Final = 1024


class RowState(enum.StrEnum):
    """State of a claim row in the table."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class ClaimRow(typing.TypedDict, total=False):
    """Value of a claim row.

    Attributes:
        host: Host that may send the request.
        incarnation: Incarnation of that host's process.
        nonce: Nonce of the one request that may be sent.
        digest: Digest of the request's operation and body.
        state: A `RowState`.
        status: HTTP status of the recorded reply.
        content_type: Content type of the recorded reply.
        body: Body of the recorded reply, if it is small and valid UTF-8.
        object_key: Key of the object that holds the body otherwise.
    """

    host: typing.Required[str]
    incarnation: typing.Required[str]
    nonce: typing.Required[str]
    digest: typing.Required[str]
    state: typing.Required[str]
    status: int
    content_type: str
    body: str
    object_key: str


class ClaimantState(enum.StrEnum):
    """State that a claimant reports for one of its nonces."""

    RUNNING = 'running'
    VOID = 'void'
    DONE = 'done'
    UNKNOWN = 'unknown'


class ClaimantAnswer(typing.NamedTuple):
    """A claimant's answer to a query from another host.

    Attributes:
        state: State of the nonce. `VOID` is a promise that nothing ran under
            this nonce and nothing ever will.
        answer: The outcome, if the state is `DONE` and the claimant still
            has it.
    """

    state: ClaimantState
    answer: outcomes.Answered | None = None


class KeptRow(typing.NamedTuple):
    """A claim row that this host wrote for a booking that it sent.

    Attributes:
        key: Its key in the table.
        row: Its value.
        at: When it was last changed.
    """

    key: str
    row: ClaimRow
    at: float


class ClaimRegistry:
    """The nonces of one process incarnation and their states.

    A nonce that is no longer stored has the state `UNKNOWN`, never `VOID`,
    because an eviction must not be mistaken for a promise that nothing ran.
    """

    def __init__(self) -> None:
        self._states: collections.OrderedDict[str, ClaimantAnswer] = (
            collections.OrderedDict()
        )
        self._rows: collections.OrderedDict[str, KeptRow] = (
            collections.OrderedDict()
        )

    def keep_row(self, key: str, row: ClaimRow, now: float) -> None:
        """Keeps the row of a booking that was sent, to write it again.

        An answer that is too large to keep counts as unknown.
        """
        if len(row.get('body', '')) > MAX_KEPT_BODY_BYTES:
            row = {
                'host': row['host'],
                'incarnation': row['incarnation'],
                'nonce': row['nonce'],
                'digest': row['digest'],
                'state': RowState.UNKNOWN,
            }
        self.drop_row(row['nonce'])
        self._rows[row['nonce']] = KeptRow(key, row, now)
        if len(self._rows) > MAX_KEPT_ROWS:
            self._rows.popitem(last=False)

    def drop_row(self, nonce: str) -> None:
        """Forgets the row of a booking that didn't run."""
        self._rows.pop(nonce, None)

    def has_row(self, nonce: str) -> bool:
        """Returns whether a nonce's row is kept."""
        return nonce in self._rows

    def list_rows(self, now: float) -> list[KeptRow]:
        """Returns the rows that a copy of the table may lack."""
        while self._rows:
            oldest = next(iter(self._rows.values()))
            if now - oldest.at <= KEPT_ROWS_S:
                break
            self._rows.popitem(last=False)
        return list(self._rows.values())

    def set_state(
        self,
        nonce: str,
        state: ClaimantState,
        answer: outcomes.Answered | None = None,
    ) -> None:
        """Stores the state of a nonce, evicting the oldest if necessary."""
        self._states.pop(nonce, None)
        self._states[nonce] = ClaimantAnswer(state, answer)
        while len(self._states) > MAX_NONCES:
            self._states.popitem(last=False)

    def describe(self, nonce: str) -> ClaimantAnswer:
        """Returns the state and answer stored for a nonce."""
        unknown = ClaimantAnswer(ClaimantState.UNKNOWN)
        return self._states.get(nonce, unknown)


def check_row(row: ClaimRow) -> None:
    """Checks a row whose fields have the right types.

    Raises:
        errors.MalformedClaim: Its state isn't one, or it lacks the answer.
    """
    if row['state'] not in set(RowState):
        raise errors.MalformedClaim(f'state {row["state"][:40]!r}')
    if row['state'] == RowState.DONE and not {'status', 'content_type'} <= set(
        row
    ):
        raise errors.MalformedClaim('the answer is missing')


def is_superseded(found: ClaimRow, known: ClaimRow) -> bool:
    """Returns whether a row says less than the one of a sent booking.

    Args:
        found: The row in the table.
        known: The row of a booking with the same key that was sent.
    """
    if found['state'] not in (RowState.CLAIMED, RowState.RELEASED):
        return False
    return found['nonce'] != known['nonce'] or (
        found['state'] != known['state']
    )


def make_row_key(customer: str, idempotency_key: str) -> str:
    """Returns the table key of a claim.

    The caller's key is hashed, so that it may contain any text and rows are
    distributed evenly.
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'claims/{customer}/{digest}'


def digest_body(operation: str, body: bytes) -> str:
    """Returns the digest that distinguishes a repeat from a new request."""
    hasher = hashlib.sha256(operation.encode())
    hasher.update(b'\0')
    hasher.update(body)
    return hasher.hexdigest()
