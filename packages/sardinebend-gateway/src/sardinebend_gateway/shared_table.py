"""Rows that the hosts of a fleet share in the platform's store.

Each host has a row with its addresses. One row holds the lease of the placement
controller, and each quarantined request has a row.
"""

import typing

import msgspec

from sardinebend_gateway import errors
from sardinebend_gateway import settings as settings_lib
from sardinebend_policy import lease as lease_lib

TABLE: typing.Final = 'sardinebend'
HOST_PREFIX: typing.Final = 'host/'
LEASE_KEY: typing.Final = 'lease/orders'
# Followed by the fingerprint of a request that crashes endpoints.
QUARANTINE_PREFIX: typing.Final = 'quarantine/'


class HostRow(typing.TypedDict):
    """Addresses and state of a host.

    Attributes:
        callers: Its address for callers, `ip:port`.
        beats: Address at which it receives heartbeats, `ip:port`.
        relay: Address at which it answers peers, `ip:port`.
        domain: Its failure domain.
        incarnation: Changes with each start of its process.
        is_leaving: Whether a planned stop has begun.
    """

    callers: str
    beats: str
    relay: str
    domain: str
    incarnation: str
    is_leaving: bool


def encode(row: HostRow | lease_lib.LeaseRow) -> bytes:
    """Returns a row as JSON."""
    return msgspec.json.encode(row)


def decode_host(value: bytes) -> HostRow:
    """Returns the host row that JSON bytes hold.

    Raises:
        errors.Malformed: The bytes aren't a valid host row.
    """
    try:
        row = msgspec.json.decode(value, type=HostRow)
        for address in (row['callers'], row['beats'], row['relay']):
            settings_lib.Address.parse(address)
    except (msgspec.DecodeError, errors.InvalidSettings) as exc:
        raise errors.Malformed(str(exc)) from exc
    return row


def decode_lease(value: bytes) -> lease_lib.LeaseRow:
    """Returns the lease row that JSON bytes hold.

    Raises:
        errors.Malformed: The bytes aren't a valid lease row.
    """
    try:
        return msgspec.json.decode(value, type=lease_lib.LeaseRow)
    except msgspec.DecodeError as exc:
        raise errors.Malformed(str(exc)) from exc
