"""Shows what one host of the platform believes of the fleet."""

import typing

import httpcore
import msgspec

from sardinebend_admin import errors
from sardinebend_admin import show

TIMEOUT_S: typing.Final = 5.0


def status(address: str, *, json: bool = False) -> None:
    """Shows versions in force, ages of evidence, readers and coverage.

    Args:
        address: `ip:port` where the host serves its metrics.
        json: Print the answer as JSON.
    """
    show.print_value(fetch(address), json)


def fetch(
    address: str, pool: httpcore.ConnectionPool | None = None
) -> dict[str, typing.Any]:
    """Returns what a host believes.

    Raises:
        errors.BadInput: The address isn't one.
        errors.Unavailable: The host doesn't answer.
    """
    _, _, port = address.rpartition(':')
    if not port.isdigit():
        raise errors.BadInput(f'{address!r} is not ip:port')
    timeouts = dict.fromkeys(('connect', 'read', 'write'), TIMEOUT_S)
    try:
        response = (pool or httpcore.ConnectionPool(retries=0)).request(
            'GET',
            f'http://{address}/status',
            extensions={'timeout': timeouts},
        )
        found = msgspec.json.decode(response.content)
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        msgspec.DecodeError,
    ) as exc:
        raise errors.Unavailable(f'{address}: {exc}') from exc
    if response.status != 200 or not isinstance(found, dict):
        raise errors.Unavailable(f'{address}: status {response.status}')
    return found
