"""Typed messages between entry hosts."""

import typing

from sardinebend_policy import claims
from sardinebend_policy import fleet_shares
from sardinebend_policy import membership
from sardinebend_policy import part_evidence
from sardinebend_policy import quarantine


class MembershipHeartbeat(typing.NamedTuple):
    """The sender's heartbeat; answered with the receiver's own."""

    heartbeat: membership.Heartbeat


class ClaimQuestion(typing.NamedTuple):
    """Asks the host that made a claim for its state.

    Attributes:
        incarnation: Incarnation of the host that made the claim; a later one
            doesn't know the claim.
        nonce: Nonce of the claim; not one of the handshake in `links`.
    """

    incarnation: str
    nonce: str


class ClaimReply(typing.NamedTuple):
    """Answers a `ClaimQuestion` with the claim's state and any outcome."""

    answer: claims.ClaimantAnswer


class CrashReport(typing.NamedTuple):
    """The crash of an endpoint incarnation, with the runs active on it."""

    crash_id: str
    runs: frozenset[quarantine.Run]


class CrashReports(typing.NamedTuple):
    """Reports crashes; answered with an `Ack`."""

    crashes: tuple[CrashReport, ...]


class LeavingNotice(typing.NamedTuple):
    """Reports that an endpoint incarnation is leaving; answered with `Ack`."""

    endpoint_id: str
    incarnation: str


class SettingsQuestion(typing.NamedTuple):
    """Asks for the entries of the settings tree changed since a version.

    Attributes:
        have_version: Version of the tree that the sender has.
    """

    have_version: int


class SettingsReply(typing.NamedTuple):
    """Entries of the settings tree changed since a version.

    Answers a `SettingsQuestion`; also sent unasked after a change.

    Attributes:
        version: The version of the tree with these entries applied.
        base_version: The version to which the entries are to be applied; 0 if
            they are the whole tree.
        nodes: The entries, as a JSON object of values by path in the tree;
            `null` for a removed entry.
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
        reading_token_layers: Prompt tokens x layers of those without a first
            event.
        first_requests: Those whose path begins at the endpoint.
    """

    endpoint_id: str
    requests: int
    token_layers: int
    reading_token_layers: int = 0
    first_requests: int = 0


class EndpointStart(typing.NamedTuple):
    """One start of an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        born: Start time, in Unix milliseconds.
    """

    endpoint_id: str
    born: int


class PartCrashReport(typing.NamedTuple):
    """A crash during a request whose prompt has a part.

    Attributes:
        crash: The crash.
        age_ms: Time since it was observed.
    """

    crash: part_evidence.PartCrash
    age_ms: int


class Verdict(typing.NamedTuple):
    """A request or a part of prompts that is quarantined.

    Attributes:
        fingerprint: Its fingerprint.
        left_ms: Time until the quarantine ends.
    """

    fingerprint: str
    left_ms: int


class EndpointLimit(typing.NamedTuple):
    """The limit that an endpoint last stated on what it takes.

    Attributes:
        endpoint_id: The endpoint.
        born: Start time, in Unix milliseconds.
        rate_per_s: Requests per second from all hosts together; `None` if the
            endpoint no longer states a limit.
        age_ms: Time since it stated that.
    """

    endpoint_id: str
    born: int
    rate_per_s: float | None
    age_ms: int


class EndpointSlowness(typing.NamedTuple):
    """How slow an engine was found to be.

    Attributes:
        endpoint_id: The engine.
        percent: Time that it takes, in percent of its published figures.
        age_ms: Time since that was found.
        number: Rises with each finding about the engine.
    """

    endpoint_id: str
    percent: int
    age_ms: int
    number: int


class LoadHeartbeat(typing.NamedTuple):
    """A heartbeat with the sender's load and gossip; not answered.

    Attributes:
        host: Name of the sender.
        incarnation: Changes with each start of the sender's process.
        is_leaving: Whether a planned stop has begun.
        loads: Load that the sender puts on each endpoint.
        heard: Age of recent heartbeats of other hosts, received by the sender
            or reported to it; encoded by `sardinebend_policy.liveness`. Empty
            in a small fleet.
        crossing_tokens: Prompt tokens per second that the sender sends between
            failure domains.
        crashes: Recent endpoint crashes, seen by the sender or reported to it
            by peers.
        leaving: Endpoints that recently announced that they leave.
        unreachable: Endpoints to which the sender recently failed to connect.
        part_crashes: Crashes by part of the prompt, seen by the sender or
            reported to it by peers.
        parts_served: Recent objections to quarantining parts, in the same way.
        verdicts: Some of the quarantines in force.
        limits: Some of the endpoints' limits, known from their answers or from
            peers.
        shares: What the sender has in flight by rank and customer; `None` if it
            doesn't say.
        slowness: Some of the engines that are slow, or were doubted and found
            not to be, known from their reports or from peers.
    """

    host: str
    incarnation: str
    is_leaving: bool
    loads: tuple[EndpointLoad, ...]
    heard: bytes
    crossing_tokens: int = 0
    crashes: tuple[CrashReport, ...] = ()
    leaving: tuple[EndpointStart, ...] = ()
    unreachable: tuple[EndpointStart, ...] = ()
    part_crashes: tuple[PartCrashReport, ...] = ()
    parts_served: tuple[part_evidence.PartServed, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()
    shares: fleet_shares.Report | None = None
    slowness: tuple[EndpointSlowness, ...] = ()


class FeedRow(typing.NamedTuple):
    """A row of a table.

    Attributes:
        key: Its key.
        version: Its version.
        value: Its value; `None` if the row has been removed.
        is_compressed: Whether the value is sent as `compression` returns it;
            received ones are plain.
    """

    key: str
    version: int
    value: bytes | None
    is_compressed: bool = False


class FeedQuestion(typing.NamedTuple):
    """Asks for the rows of a table that changed since a version.

    Attributes:
        table: The table.
        after: The store's counter at the version; -1 for all rows.
        wait_ms: Longest time to wait for a change.
        era: Era of the version; `None` from hosts of the previous release.
        may_compress: Whether the sender reads compressed values.
    """

    table: str
    after: int
    wait_ms: int
    era: int | None = None
    may_compress: bool = False


class FeedReply(typing.NamedTuple):
    """Answers a `FeedQuestion` from the sender's copy of the table.

    Attributes:
        version: The store's counter at the version up to which the rows are
            complete; negative if the sender has no copy.
        age_ms: Time since the sender last had evidence that its copy was up to
            date.
        is_whole: Whether the rows are the whole table.
        rows: The rows.
        waited_ms: How long the sender waited for a change.
        regained_ms: Time since the end of a store outage; -1 if none ended
            recently.
        era: Era of all versions; `None` from hosts of the previous release.
        catalog_version: Version of the configuration that a host which starts
            must have; `None` from hosts that don't know it, from those of the
            previous release, and for other tables.
    """

    version: int
    age_ms: int
    is_whole: bool
    rows: tuple[FeedRow, ...]
    waited_ms: int = 0
    regained_ms: int = -1
    era: int | None = None
    catalog_version: int | None = None


class Ack(typing.NamedTuple):
    """Confirms that a message was handled."""


Message = (
    MembershipHeartbeat
    | ClaimQuestion
    | ClaimReply
    | CrashReports
    | LeavingNotice
    | SettingsQuestion
    | SettingsReply
    | LoadHeartbeat
    | FeedQuestion
    | FeedReply
    | Ack
)
