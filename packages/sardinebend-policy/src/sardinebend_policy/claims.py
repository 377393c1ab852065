"""Claim rows of bookings, and what a host remembers of its own claims."""

import collections
import enum
import hashlib
import typing

from sardinebend_policy import outcomes

MAX_REMEMBERED: typing.Final = 20_000
MAX_INLINE_BODY_BYTES: typing.Final = 16 * 1024


class RowState(enum.StrEnum):
    """State of a claim row in the table."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class ClaimRow(typing.TypedDict, total=False):
    """Value of a claim row.

    Attributes:
        host: Host that may send.
        incarnation: Incarnation of that host's process.
        nonce: Of the one request that may send.
        digest: Digest of the request's body, operation included.
        state: A `RowState`.
        status: HTTP status of the recorded reply.
        content_type: Content type of the recorded reply.
        body: The recorded reply's body as text, if small.
        object_key: Where the body is kept, if large.
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
    """What a claimant says of one of its nonces."""

    RUNNING = 'running'
    VOID = 'void'
    DONE = 'done'
    UNKNOWN = 'unknown'


class ClaimantAnswer(typing.NamedTuple):
    """A claimant's answer to another host.

    Attributes:
        state: What became of the nonce. `VOID` is a promise: nothing ran
            under it and nothing ever will.
        answer: The outcome, where the state is `DONE`.
    """

    state: ClaimantState
    answer: outcomes.Answered | None = None


class ClaimRegistry:
    """The nonces of one process incarnation and their states.

    A nonce that isn't known any more is answered with `UNKNOWN`, never with
    `VOID`: forgetting must not look like a promise.
    """

    def __init__(self) -> None:
        self._states: collections.OrderedDict[str, ClaimantAnswer] = (
            collections.OrderedDict()
        )

    def set_state(
        self,
        nonce: str,
        state: ClaimantState,
        answer: outcomes.Answered | None = None,
    ) -> None:
        """Remembers the state of a nonce."""
        self._states.pop(nonce, None)
        self._states[nonce] = ClaimantAnswer(state, answer)
        while len(self._states) > MAX_REMEMBERED:
            self._states.popitem(last=False)

    def describe(self, nonce: str) -> ClaimantAnswer:
        """Answers a question about a nonce."""
        unknown = ClaimantAnswer(ClaimantState.UNKNOWN)
        return self._states.get(nonce, unknown)


def make_row_key(customer: str, idempotency_key: str) -> str:
    """Returns the table key of a claim.

    The caller's key is hashed, so that any text is safe in a row key and
    rows spread evenly.
    """
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f'claims/{customer}/{digest}'


def digest_body(operation: str, body: bytes) -> str:
    """Returns the digest that tells a repeat from another request."""
    mac = hashlib.sha256(operation.encode())
    mac.update(b'\0')
    mac.update(body)
    return mac.hexdigest()
