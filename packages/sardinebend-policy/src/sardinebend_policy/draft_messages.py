"""Events that a draft session receives and actions that it returns."""

import typing

from sardinebend_policy import outcomes
from sardinebend_policy import quarantine
from sardinebend_policy import routes


class DraftRequest(typing.NamedTuple):
    """A caller's request for a draft.

    Attributes:
        request_id: Unique for each request of a caller.
        customer: The customer that the caller belongs to.
        fingerprint: Keyed hash of customer, kind and body.
        spec: The model.
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
        deadline: Time on the host's clock at which the request expires.
        prefix: Hash of the first part of the prompt.
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
    """Settings of one session; the settings reference describes each."""

    max_attempts: int = 3
    stall_floor_s: float = 0.5
    stall_ceiling_s: float = 10.0
    first_token_s: float = 5.0
    suspicion_wait_s: float = 0.5
    backoff_base_s: float = 0.05
    backoff_cap_s: float = 2.0
    failure_domain: str = ''


class Timer(typing.NamedTuple):
    """A timer of the session; setting it again replaces it."""

    name: typing.Literal['stall', 'hedge', 'retry', 'notify', 'deadline']


# Events.


class Started(typing.NamedTuple):
    """The request was admitted."""


class Connected(typing.NamedTuple):
    """A connection to the first stage is open; nothing has been sent."""

    attempt: int


class ConnectFailed(typing.NamedTuple):
    """The connection to an endpoint failed to open; nothing was sent."""

    attempt: int
    endpoint_id: str


class Refused(typing.NamedTuple):
    """The first stage refused the order and ran no part of it."""

    attempt: int
    endpoint_id: str
    retry_after_s: float


class StageRefused(typing.NamedTuple):
    """A stage refused the order because it hasn't loaded the model version.

    The stage itself ran no part of the order.

    Attributes:
        attempt: The attempt.
        endpoint_id: The stage that refused.
        may_have_run: Whether earlier stages may have run a part of it.
    """

    attempt: int
    endpoint_id: str
    may_have_run: bool


class Chunk(typing.NamedTuple):
    """The text of one token, received from an engine."""

    attempt: int
    token_index: int
    text: str


class Finished(typing.NamedTuple):
    """The engine's final marker, with the answer's number of tokens."""

    attempt: int
    token_count: int


class StreamBroken(typing.NamedTuple):
    """The stream ended without a final marker.

    Attributes:
        attempt: The attempt.
        unreachable_endpoint_id: Endpoint that an upstream stage reported as
            unreachable, or empty.
    """

    attempt: int
    unreachable_endpoint_id: str = ''


class DeadEndpoint(typing.NamedTuple):
    """An endpoint that no longer runs the orders sent to it.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: The incarnation that the order was sent to.
        crashed: Whether its process is known to have ended: the endpoint
            refuses connections, or answers as another incarnation. An
            endpoint that doesn't answer may as well be cut off by a network
            fault, which is no evidence against a request.
    """

    endpoint_id: str
    incarnation: str
    crashed: bool


class Probed(typing.NamedTuple):
    """All stages have been probed, each on a new connection."""

    attempt: int
    dead: tuple[DeadEndpoint, ...]


class CrashesReported(typing.NamedTuple):
    """All reachable peers have answered an attempt's crash report."""

    attempt: int


class TimerDue(typing.NamedTuple):
    """A timer has expired."""

    timer: Timer


class CallerLeft(typing.NamedTuple):
    """The caller disconnected, cancelled, or stopped reading."""


class HostStopping(typing.NamedTuple):
    """The drain period of the host's planned stop has expired."""


Event = (
    Started
    | Connected
    | ConnectFailed
    | Refused
    | StageRefused
    | Chunk
    | Finished
    | StreamBroken
    | Probed
    | CrashesReported
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
        start_index: Index of the first token to generate.
        delivered: Texts of the tokens already delivered.
        deadline: Time at which every stage must stop by itself.
    """

    attempt: int
    route: routes.PipelineRoute
    start_index: int
    delivered: tuple[str, ...]
    deadline: float


class CloseAttempt(typing.NamedTuple):
    """Close the attempt's connection and drop data still arriving on it."""

    attempt: int


class CancelAttempt(typing.NamedTuple):
    """Repeat the cancel at each stage until it confirms or `until` passes."""

    attempt: int
    endpoint_ids: tuple[str, ...]
    until: float


class ProbeStages(typing.NamedTuple):
    """Check on a new connection to each endpoint whether it is live."""

    attempt: int
    endpoint_ids: tuple[str, ...]


class ReportCrashes(typing.NamedTuple):
    """Report crashes to all peers, then post `CrashesReported`.

    Attributes:
        attempt: The attempt during which the last of them was seen.
        crashes: All crashes of the request.
    """

    attempt: int
    crashes: tuple[quarantine.Crash, ...]


class Deliver(typing.NamedTuple):
    """Deliver the next token to the caller."""

    token_index: int
    text: str


class SetTimer(typing.NamedTuple):
    """Post `TimerDue` at time `at`."""

    timer: Timer
    at: float


class End(typing.NamedTuple):
    """Report the outcome to the caller; no action follows."""

    outcome: outcomes.Outcome


Action = (
    Connect
    | SendOrder
    | CloseAttempt
    | CancelAttempt
    | ProbeStages
    | ReportCrashes
    | Deliver
    | SetTimer
    | End
)
