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
    | Ack
)
