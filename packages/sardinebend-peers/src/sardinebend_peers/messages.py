"""Typed messages between entry hosts."""

import typing

from sardinebend_policy import claims
from sardinebend_policy import membership
from sardinebend_policy import quarantine


class Beat(typing.NamedTuple):
    """A heartbeat; answered with the receiver's own `Beat`."""

    heartbeat: membership.Heartbeat


class ClaimQuestion(typing.NamedTuple):
    """Asks for the state of the claim with a nonce of one incarnation."""

    incarnation: str
    nonce: str


class ClaimReply(typing.NamedTuple):
    """Answers a `ClaimQuestion`."""

    answer: claims.ClaimantAnswer


class CrashNotice(typing.NamedTuple):
    """The crash of an endpoint incarnation, with the runs active on it."""

    crash_id: str
    runs: frozenset[quarantine.Run]


class CrashNotices(typing.NamedTuple):
    """Reports crashes; answered with an `Ack`."""

    crashes: tuple[CrashNotice, ...]


class LeavingNotice(typing.NamedTuple):
    """Reports that an endpoint incarnation is leaving; answered with `Ack`."""

    endpoint_id: str
    incarnation: str


class SettingsQuestion(typing.NamedTuple):
    """Asks for the settings nodes that changed since a version."""

    have_version: int


class SettingsReply(typing.NamedTuple):
    """Settings nodes changed since a version; also pushed without a question.

    Attributes:
        version: The version of the tree with these nodes applied.
        base_version: The version to which the nodes are to be applied; 0 if
            they are the whole tree.
        nodes: JSON object of values by path; `null` for a removed node.
    """

    version: int
    base_version: int
    nodes: bytes


class EndpointLoad(typing.NamedTuple):
    """The load that one host puts on an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        requests: Number of the host's requests running on the endpoint.
        token_layers: Memory that these requests use, in tokens x layers.
    """

    endpoint_id: str
    requests: int
    token_layers: int


class EndpointStart(typing.NamedTuple):
    """One start of an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        born: Start time, in Unix milliseconds.
    """

    endpoint_id: str
    born: int


class HostBeat(typing.NamedTuple):
    """A heartbeat with the sender's load and gossip; not answered.

    Attributes:
        host: Name of the sender.
        incarnation: Changes with each start of the sender's process.
        is_leaving: Whether a planned stop has begun.
        loads: Load that the sender puts on each endpoint.
        heard: Digest of the heartbeats that the sender has received, packed
            by `liveness`.
        crossing_tokens: Prompt tokens per second that the sender sends between
            failure domains.
        crashes: Recent endpoint crashes, seen by the sender or reported to it
            by peers.
        leaving: Endpoints that recently announced that they leave.
        unreachable: Endpoints to which the sender recently failed to connect.
    """

    host: str
    incarnation: str
    is_leaving: bool
    loads: tuple[EndpointLoad, ...]
    heard: bytes
    crossing_tokens: int = 0
    crashes: tuple[CrashNotice, ...] = ()
    leaving: tuple[EndpointStart, ...] = ()
    unreachable: tuple[EndpointStart, ...] = ()


class FeedRow(typing.NamedTuple):
    """A row of a table; `value` is `None` if the row has been removed."""

    key: str
    version: int
    value: bytes | None


class FeedQuestion(typing.NamedTuple):
    """Asks for the rows of a table that changed since a version.

    Attributes:
        table: The table.
        after: The version; -1 for all rows.
        wait_ms: Longest time to wait for a change.
    """

    table: str
    after: int
    wait_ms: int


class FeedReply(typing.NamedTuple):
    """Answers a `FeedQuestion` from the sender's copy of the table.

    Attributes:
        version: Version up to which the rows are complete; negative if the
            sender has no copy.
        age_ms: Time since the sender last had evidence that its copy was up to
            date.
        is_whole: Whether the rows are the whole table.
        rows: The rows.
        waited_ms: How long the sender waited for a change.
        regained_ms: Time since the sender could reach the store again after an
            outage; negative if that isn't recent.
    """

    version: int
    age_ms: int
    is_whole: bool
    rows: tuple[FeedRow, ...]
    waited_ms: int = 0
    regained_ms: int = -1


class Ack(typing.NamedTuple):
    """Confirms that a message was handled."""


Message = (
    Beat
    | ClaimQuestion
    | ClaimReply
    | CrashNotices
    | LeavingNotice
    | SettingsQuestion
    | SettingsReply
    | HostBeat
    | FeedQuestion
    | FeedReply
    | Ack
)
