"""Events that a booking session receives and actions that it returns."""

import typing

from sardinebend_policy import claims
from sardinebend_policy import outcomes


class BookingRequest(typing.NamedTuple):
    """A request that must not run more than once.

    Attributes:
        request_id: Unique for each request of a caller.
        customer: The customer that the caller belongs to.
        row_key: Table key of the claim.
        digest: Digest of operation and body.
        nonce: Unique for this request at this host.
        deadline: Time on the host's clock at which the caller stops waiting.
        refusal_statuses: HTTP statuses by which the service declares that
            the call didn't run.
    """

    request_id: str
    customer: str
    row_key: str
    digest: str
    nonce: str
    deadline: float
    refusal_statuses: frozenset[int] = frozenset()


class BookingConfig(typing.NamedTuple):
    """Settings of one session; the settings reference describes each.

    Attributes:
        host: This host.
        incarnation: Incarnation of this process.
        insert_wait_s: Maximum time for inserting the claim, retries included.
        insert_pause_s: Time between two attempts at the insert.
        ask_interval_s: Time between two queries to a claimant.
        reply_wait_s: Time-out for the service's reply.
        record_pause_s: Time between two attempts to record the outcome.
        table_retry_s: Retry delay sent to callers while the table is
            unavailable.
        max_connects: Maximum number of connection attempts before the claim.
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
    """A timer of the session; setting it again replaces it.

    `insert` is due when the claim is to be written again, `ask` when the
    claimant is to be queried again.
    """

    name: typing.Literal['deadline', 'insert', 'ask', 'reply', 'record']


# Events.


class Started(typing.NamedTuple):
    """The request was admitted."""


class Connected(typing.NamedTuple):
    """A new connection to an endpoint is open; nothing has been sent."""

    endpoint_id: str


class ConnectFailed(typing.NamedTuple):
    """The connection to the endpoint failed to open."""

    endpoint_id: str


class NoEndpoint(typing.NamedTuple):
    """No other endpoint is left to connect to."""


class ClaimWritten(typing.NamedTuple):
    """The table holds the claim with this session's nonce."""

    version: int


class ClaimConflict(typing.NamedTuple):
    """The key already has a row; `None` if it has since been deleted."""

    row: claims.ClaimRow | None
    version: int


class ClaimUnclear(typing.NamedTuple):
    """The insert may or may not have taken effect."""


class TableUnavailable(typing.NamedTuple):
    """The insert certainly had no effect."""


class ClaimantAnswered(typing.NamedTuple):
    """The claimant answered the query about its nonce."""

    nonce: str
    answer: claims.ClaimantAnswer


class ClaimantUnreachable(typing.NamedTuple):
    """The claimant's process has ended or is unreachable."""

    nonce: str


class RowRead(typing.NamedTuple):
    """The claim row was read again; `None` if it is gone or unreadable."""

    row: claims.ClaimRow | None
    version: int


class Replied(typing.NamedTuple):
    """The service's complete reply."""

    status: int
    content_type: str
    body: bytes


class ReplyLost(typing.NamedTuple):
    """The connection failed when the request may already have been sent."""


class OutcomeWritten(typing.NamedTuple):
    """The outcome is recorded, or must not be recorded.

    The latter holds if the row is gone, has another nonce or already has an
    outcome.
    """


class OutcomeNotWritten(typing.NamedTuple):
    """The write of the outcome failed or may not have taken effect."""


class CallerLeft(typing.NamedTuple):
    """The caller disconnected or cancelled."""


class HostStopping(typing.NamedTuple):
    """The drain period of the host's planned stop has expired."""


class TimerDue(typing.NamedTuple):
    """A timer has expired."""

    timer: Timer


Event = (
    Started
    | Connected
    | ConnectFailed
    | NoEndpoint
    | ClaimWritten
    | ClaimConflict
    | ClaimUnclear
    | TableUnavailable
    | ClaimantAnswered
    | ClaimantUnreachable
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
    """Write the claim row if its version matches; 0 means insert."""

    row: claims.ClaimRow
    expected_version: int


class Send(typing.NamedTuple):
    """Send the request immediately, once, on the open connection."""


class CloseConnection(typing.NamedTuple):
    """Close the open connection, if there is one."""


class QueryClaimant(typing.NamedTuple):
    """Query another host for the state of its nonce."""

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
    """Store the state to report to other hosts that query this nonce."""

    state: claims.ClaimantState
    answer: outcomes.Answered | None = None


class ReplayAnswer(typing.NamedTuple):
    """Return the answer recorded in a row to the caller."""

    row: claims.ClaimRow


class SetTimer(typing.NamedTuple):
    """Post `TimerDue` at time `at`."""

    timer: Timer
    at: float


class End(typing.NamedTuple):
    """Report the outcome to the caller.

    The session may go on until `Done`: it records the outcome in the claim row,
    and after the deadline it still waits for the service's reply.
    """

    outcome: outcomes.Outcome


class Done(typing.NamedTuple):
    """The session is complete and returns no further actions."""


Action = (
    Connect
    | WriteClaim
    | Send
    | CloseConnection
    | QueryClaimant
    | ReadRow
    | WriteOutcome
    | SetClaimState
    | ReplayAnswer
    | SetTimer
    | End
    | Done
)
