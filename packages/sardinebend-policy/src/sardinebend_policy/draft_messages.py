"""Events and actions of a draft's session."""

import typing

from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_policy import routes


class DraftRequest(typing.NamedTuple):
    """What a caller asked for.

    Attributes:
        request_id: Unique for each request of a caller.
        customer: The caller's customer.
        fingerprint: Keyed hash of customer, kind and body.
        spec: The model.
        prompt: The prompt.
        max_tokens: Largest number of tokens wanted.
        deadline: When the answer is no longer wanted, on the host's clock.
        prefix: Hash of the prompt's first part.
    """

    request_id: str
    customer: str
    fingerprint: str
    spec: routes.ModelSpec
    prompt: str
    max_tokens: int
    deadline: float
    prefix: str = ''


class DraftConfig(typing.NamedTuple):
    """Settings of one session; see the settings reference."""

    max_attempts: int = 3
    stall_floor_s: float = 0.5
    stall_ceiling_s: float = 10.0
    first_token_s: float = 5.0
    suspicion_wait_s: float = 0.5
    backoff_base_s: float = 0.05
    backoff_cap_s: float = 2.0
    failure_domain: str = ''


class Timer(typing.NamedTuple):
    """A timer of the session; a new one of the same name replaces the old."""

    name: typing.Literal['stall', 'retry', 'told', 'deadline']


# Events.


class Started(typing.NamedTuple):
    """The request was admitted."""


class Connected(typing.NamedTuple):
    """A connection to the first stage is open; nothing was sent on it."""

    attempt: int


class ConnectFailed(typing.NamedTuple):
    """No connection to an endpoint could be opened; nothing was sent."""

    attempt: int
    endpoint_id: str


class Refused(typing.NamedTuple):
    """The first stage refused the order and surely ran none of it."""

    attempt: int
    endpoint_id: str
    retry_after_s: float


class StageRefused(typing.NamedTuple):
    """A stage doesn't hold what the order names; it ran none of it.

    Attributes:
        attempt: The attempt.
        endpoint_id: The stage that refused.
        may_have_run: Whether stages before it may have run a part.
    """

    attempt: int
    endpoint_id: str
    may_have_run: bool


class Chunk(typing.NamedTuple):
    """A token's text from an engine."""

    attempt: int
    token_index: int
    text: str


class Finished(typing.NamedTuple):
    """The engine's final marker with the number of tokens of the answer."""

    attempt: int
    token_count: int


class Broken(typing.NamedTuple):
    """The stream ended without a final marker.

    Attributes:
        attempt: The attempt.
        blamed: Endpoint that an upstream stage reported as lost, or empty.
    """

    attempt: int
    blamed: str = ''


class DeadEndpoint(typing.NamedTuple):
    """An endpoint that no longer runs what it was sent.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The incarnation that the order was sent to.
        crashed: Whether its process is known to be gone: it refuses
            connections, or answers as another incarnation. Mere silence may
            as well be a cut link, and is no evidence against a request.
    """

    endpoint_id: str
    incarnation: str
    crashed: bool


class Probed(typing.NamedTuple):
    """Every stage was probed on a new connection."""

    attempt: int
    dead: tuple[DeadEndpoint, ...]


class PeersTold(typing.NamedTuple):
    """All reachable peers have acknowledged the suspicion."""


class TimerDue(typing.NamedTuple):
    """A timer has run out."""

    timer: Timer


class CallerLeft(typing.NamedTuple):
    """The caller went away, cancelled, or stopped reading."""


class HostStopping(typing.NamedTuple):
    """The host's planned stop has waited as long as it may."""


Event = (
    Started
    | Connected
    | ConnectFailed
    | Refused
    | StageRefused
    | Chunk
    | Finished
    | Broken
    | Probed
    | PeersTold
    | TimerDue
    | CallerLeft
    | HostStopping
)

# Actions.


class Connect(typing.NamedTuple):
    """Open a new connection to the route's first stage."""

    attempt: int
    route: routes.PipelineRoute


class SendOrder(typing.NamedTuple):
    """Send the order on the open connection.

    Attributes:
        attempt: The attempt.
        route: All stages.
        start_index: Index of the first token wanted.
        delivered: Texts of the tokens before it.
        deadline: When every stage must stop by itself.
    """

    attempt: int
    route: routes.PipelineRoute
    start_index: int
    delivered: tuple[str, ...]
    deadline: float


class CloseAttempt(typing.NamedTuple):
    """Close the attempt's connection; drop what still arrives on it."""

    attempt: int


class CancelAttempt(typing.NamedTuple):
    """Cancel at every stage until confirmed or until a time."""

    attempt: int
    endpoint_ids: tuple[str, ...]
    until: float


class ProbeStages(typing.NamedTuple):
    """Ask each endpoint on a new connection whether it is alive."""

    attempt: int
    endpoint_ids: tuple[str, ...]


class TellPeers(typing.NamedTuple):
    """Tell all peers of crashes, then report `PeersTold`."""

    crashes: tuple[quarantine.Crash, ...]


class Deliver(typing.NamedTuple):
    """Give the caller the next token."""

    token_index: int
    text: str


class SetTimer(typing.NamedTuple):
    """Report `TimerDue` at a time."""

    timer: Timer
    at: float


class End(typing.NamedTuple):
    """Tell the caller the outcome; nothing follows."""

    outcome: outcomes.Outcome


Action = (
    Connect
    | SendOrder
    | CloseAttempt
    | CancelAttempt
    | ProbeStages
    | TellPeers
    | Deliver
    | SetTimer
    | End
)
