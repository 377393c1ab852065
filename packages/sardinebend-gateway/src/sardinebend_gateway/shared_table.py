"""Rows that the hosts of a fleet share in the platform's store.

Each host has a row with its addresses. One row holds the lease of the placement
controller, and one the latest era of the store that is settled. Each
quarantined request or part of prompts has a row, and so has each part that
repeated crashes make suspect.
"""

import typing

import msgspec

from sardinebend_gateway import errors
from sardinebend_gateway import settings as settings_lib
from sardinebend_policy import lease as lease_lib
from sardinebend_store import documents
from sardinebend_store import errors as store_errors

TABLE: typing.Final = 'sardinebend'
HOST_PREFIX: typing.Final = 'host/'
LEASE_KEY: typing.Final = 'lease/orders'
# Holds the latest era of the store that is settled.
SETTLED_ERA_KEY: typing.Final = 'era/settled'
# Followed by the fingerprint of a request or part that crashes endpoints.
QUARANTINE_PREFIX: typing.Final = 'quarantine/'
# Followed by the fingerprint of a part that may crash endpoints.
EVIDENCE_PREFIX: typing.Final = 'evidence/'

# Crash ids, and the abbreviated fingerprint of a request of each crash.
RequestsByCrash = dict[str, str]

# A fencing number is far below this, even after many eras of the store.
MAX_FENCING: typing.Final = 2**62
# What a row holds goes into heartbeats, which must fit a datagram.
_EvidenceText = typing.Annotated[str, msgspec.Meta(max_length=300)]
_Evidence = typing.Annotated[
    dict[_EvidenceText, _EvidenceText], msgspec.Meta(max_length=256)
]


class HostRow(typing.TypedDict):
    """Addresses and state of a host.

    Attributes:
        callers: Its address for callers, `ip:port`.
        beats: Address at which it receives heartbeats, `ip:port`.
        relay: Address at which it answers peers, `ip:port`.
        domain: Its failure domain.
        incarnation: Changes with each start of its process.
        is_leaving: Whether a planned stop has begun.
        link_mbps: Capacity of its link, in Mbit/s; not stated by hosts of the
            previous release.
    """

    callers: str
    beats: str
    relay: str
    domain: str
    incarnation: str
    is_leaving: bool
    link_mbps: typing.NotRequired[
        typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
    ]


def encode(row: HostRow | lease_lib.LeaseRow) -> bytes:
    """Returns a row as JSON."""
    return msgspec.json.encode(row)


def decode_host(value: bytes) -> HostRow:
    """Returns the host row that JSON bytes hold.

    Raises:
        errors.Malformed: The bytes aren't a valid host row.
    """
    try:
        row: HostRow = documents.decode(value, HostRow)
        for address in (row['callers'], row['beats'], row['relay']):
            settings_lib.Address.parse_ip(address)
    except (store_errors.MalformedDocument, errors.InvalidSettings) as exc:
        raise errors.Malformed(str(exc)) from exc
    return row


def decode_lease(value: bytes) -> lease_lib.LeaseRow:
    """Returns the lease row that JSON bytes hold.

    Raises:
        errors.Malformed: The bytes aren't a valid lease row.
    """
    try:
        row: lease_lib.LeaseRow = documents.decode(value, lease_lib.LeaseRow)
    except store_errors.MalformedDocument as exc:
        raise errors.Malformed(str(exc)) from exc
    if not 0 <= row['fencing'] < MAX_FENCING:
        raise errors.Malformed('fencing number out of range')
    return row


def encode_evidence(crashes: RequestsByCrash) -> bytes:
    """Returns the crashes under requests with a part as JSON."""
    return msgspec.json.encode(crashes)


def decode_evidence(value: bytes) -> RequestsByCrash:
    """Returns the crashes under requests with a part that JSON bytes hold.

    Raises:
        errors.Malformed: The bytes aren't an object of short texts.
    """
    try:
        crashes: RequestsByCrash = documents.decode(value, _Evidence)
    except store_errors.MalformedDocument as exc:
        raise errors.Malformed(str(exc)) from exc
    return crashes
