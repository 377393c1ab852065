"""Events and actions of a booking's session."""

import typing

from sardinebend_policy import claims
from sardinebend_policy import outcomes


class BookingRequest(typing.NamedTuple):
    """A request of a kind that must not be repeated.

    Attributes:
        request_id: Unique for each request of a caller.
        customer: The caller's customer.
        row_key: Table key of the claim.
        digest: Digest of operation and body.
        nonce: Unique for this request at this host.
        deadline: When the caller stops waiting, on the host's clock.
        refusal_statuses: Statuses that promise that the call didn't run.
    """

    request_id: str
    customer: str
    row_key: str
    digest: str
    nonce: str
    deadline: float
    refusal_statuses: frozenset[int] = frozenset()


class BookingConfig(typing.NamedTuple):
    """Settings of one session; see the settings reference.

    Attributes:
        host: This host.
        incarnation: This process's incarnation.
        insert_wait_s: Longest time spent settling the claim's insert.
        insert_pause_s: Pause between two tries of the insert.
        ask_interval_s: Pause between two questions to a claimant.
        reply_wait_s: Longest wait for the service's reply.
        record_pause_s: Pause between two tries to record the outcome.
        table_retry_s: What callers are told when the table is down.
        max_connects: Endpoints tried before the claim.
    """

    host: str
    incarnation: str
    insert_wait_s: float = 3.0
    insert_pause_s: float = 0.1
    ask_interval_s: float = 0.2
    reply_wait_s: float = 10.0
    record_pause_s: float = 1.0
    table_retry_s: float = 5.0
    max_connects: int = 3


class Timer(typing.NamedTuple):
    """A timer of the session; a new one of the same name replaces the old."""

    name: typing.Literal['deadline', 'insert', 'ask', 'reply', 'record']


# Events.


class Started(typing.NamedTuple):
    """The request was admitted."""


class Connected(typing.NamedTuple):
    """A new connection to an endpoint is open; nothing was sent on it."""

    endpoint_id: str


class ConnectFailed(typing.NamedTuple):
    """No connection to the endpoint could be opened."""

    endpoint_id: str


class NoEndpoint(typing.NamedTuple):
    """There is no further endpoint to connect to."""


class ClaimWritten(typing.NamedTuple):
    """The claim is in the table under this session's nonce."""

    version: int


class ClaimConflict(typing.NamedTuple):
    """Another row stands in the claim's place; `None` if it went again."""

    row: claims.ClaimRow | None
    version: int


class ClaimUnclear(typing.NamedTuple):
    """The insert may or may not have taken effect."""


class TableDown(typing.NamedTuple):
    """The insert surely had no effect."""


class ClaimantSaid(typing.NamedTuple):
    """The claimant answered."""

    nonce: str
    answer: claims.ClaimantAnswer


class ClaimantLost(typing.NamedTuple):
    """The claimant's process is gone or out of reach."""

    nonce: str


class RowRead(typing.NamedTuple):
    """The claim row was read again; `None` where it couldn't be."""

    row: claims.ClaimRow | None
    version: int


class Replied(typing.NamedTuple):
    """The service's whole reply."""

    status: int
    content_type: str
    body: bytes


class ReplyLost(typing.NamedTuple):
    """The connection failed after the request may have left."""


class OutcomeWritten(typing.NamedTuple):
    """The outcome is in the table, or a row that forbids writing it is."""


class OutcomeNotWritten(typing.NamedTuple):
    """The write of the outcome failed or its effect is unclear."""


class CallerLeft(typing.NamedTuple):
    """The caller went away or cancelled."""


class HostStopping(typing.NamedTuple):
    """The host's planned stop has waited as long as it may."""


class TimerDue(typing.NamedTuple):
    """A timer has run out."""

    timer: Timer


Event = (
    Started
    | Connected
    | ConnectFailed
    | NoEndpoint
    | ClaimWritten
    | ClaimConflict
    | ClaimUnclear
    | TableDown
    | ClaimantSaid
    | ClaimantLost
    | RowRead
    | Replied
    | ReplyLost
    | OutcomeWritten
    | OutcomeNotWritten
    | CallerLeft
    | HostStopping
    | TimerDue
)

# Actions.


class Connect(typing.NamedTuple):
    """Open a new connection to an endpoint not in `avoid`."""

    avoid: frozenset[str]


class WriteClaim(typing.NamedTuple):
    """Write the claim row on condition of its version, 0 for an insert."""

    row: claims.ClaimRow
    expected_version: int


class Send(typing.NamedTuple):
    """Send the request on the open connection, once, now."""


class CloseConnection(typing.NamedTuple):
    """Close the connection that was opened."""


class AskClaimant(typing.NamedTuple):
    """Ask another host what became of its nonce."""

    host: str
    incarnation: str
    nonce: str


class ReadRow(typing.NamedTuple):
    """Read the claim row."""


class WriteOutcome(typing.NamedTuple):
    """Write the outcome into the claim row that holds this nonce."""

    state: claims.RowState
    answer: outcomes.Answered | None


class SetClaimState(typing.NamedTuple):
    """Remember what to tell other hosts that ask about this nonce."""

    state: claims.ClaimantState
    answer: outcomes.Answered | None = None


class ReplayAnswer(typing.NamedTuple):
    """Give the caller the answer that a row has on record."""

    row: claims.ClaimRow


class SetTimer(typing.NamedTuple):
    """Report `TimerDue` at a time."""

    timer: Timer
    at: float


class End(typing.NamedTuple):
    """Tell the caller the outcome; only recording may follow."""

    outcome: outcomes.Outcome


class Done(typing.NamedTuple):
    """Nothing is left to do for this session."""


Action = (
    Connect
    | WriteClaim
    | Send
    | CloseConnection
    | AskClaimant
    | ReadRow
    | WriteOutcome
    | SetClaimState
    | ReplayAnswer
    | SetTimer
    | End
    | Done
)
