"""Typed messages between entry hosts."""

import typing

from sardinebend_policy import claims
from sardinebend_policy import membership
from sardinebend_policy import quarantine


class Beat(typing.NamedTuple):
    """A heartbeat; answered with the other side's own `Beat`."""

    heartbeat: membership.Heartbeat


class ClaimQuestion(typing.NamedTuple):
    """Asks what became of a nonce of one incarnation."""

    incarnation: str
    nonce: str


class ClaimReply(typing.NamedTuple):
    """Answers a `ClaimQuestion`."""

    answer: claims.ClaimantAnswer


class CrashNotice(typing.NamedTuple):
    """The death of an endpoint incarnation and what ran there."""

    crash_id: str
    runs: frozenset[quarantine.Run]


class CrashNotices(typing.NamedTuple):
    """Tells of crashes; answered with an `Ack`."""

    crashes: tuple[CrashNotice, ...]


class LeavingNotice(typing.NamedTuple):
    """Tells that an endpoint incarnation is leaving; answered with `Ack`."""

    endpoint_id: str
    incarnation: str


class SettingsQuestion(typing.NamedTuple):
    """Asks for what changed in the settings since a version."""

    have_version: int


class SettingsReply(typing.NamedTuple):
    """Settings nodes changed since a version; also sent unasked.

    Attributes:
        version: The version that results.
        base_version: The version to which the nodes are added; 0 if they are
            the whole tree.
        nodes: JSON object of values by path; `null` for a removed node.
    """

    version: int
    base_version: int
    nodes: bytes


class EndpointLoad(typing.NamedTuple):
    """What a host has running at an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        requests: Requests that run through it.
        token_layers: Memory they take, in tokens x layers.
    """

    endpoint_id: str
    requests: int
    token_layers: int


class EndpointStart(typing.NamedTuple):
    """One start of an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        born: When it started, in Unix milliseconds.
    """

    endpoint_id: str
    born: int


class HostBeat(typing.NamedTuple):
    """A life sign with what the sender has running; not answered.

    Attributes:
        host: The sender.
        incarnation: Changes with each start of its process.
        is_leaving: Whether a planned stop has begun.
        loads: What it has running.
        heard: Life signs that it has heard, packed by `liveness`.
        crossing_tokens: Prompt tokens a second that it sends between failure
            domains.
        crashes: Ends of endpoints that it has seen or heard of lately.
        leaving: Endpoints that said lately that they leave.
        unreachable: Endpoints that it couldn't connect to lately.
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
    """A row of a table; without a value it has been removed."""

    key: str
    version: int
    value: bytes | None


class FeedQuestion(typing.NamedTuple):
    """Asks for the rows of a table that changed since a version.

    Attributes:
        table: The table.
        after: The version; -1 for all rows.
        wait_ms: How long to wait for a change.
    """

    table: str
    after: int
    wait_ms: int


class FeedReply(typing.NamedTuple):
    """Answers a `FeedQuestion` from what the sender knows.

    Attributes:
        version: Up to which the rows speak; negative if the sender knows
            nothing.
        age_ms: Age of the sender's own evidence for that.
        is_whole: Whether the rows are the whole table.
        rows: The rows.
        waited_ms: How long the sender waited for a change.
        regained_ms: How long ago it got the store back after an outage;
            negative if that isn't recent.
    """

    version: int
    age_ms: int
    is_whole: bool
    rows: tuple[FeedRow, ...]
    waited_ms: int = 0
    regained_ms: int = -1


class Ack(typing.NamedTuple):
    """Confirms that a message was taken in."""


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
