"""Shows the state of the fleet as one platform host sees it."""

import typing

import httpcore
import msgspec

from sardinebend_admin import errors
from sardinebend_admin import show

TIMEOUT_S: typing.Final = 5.0


def status(address: str, *, json: bool = False) -> None:
    """Shows effective versions, ages of evidence, readers and coverage.

    Args:
        address: Address, `ip:port`, at which the host serves its metrics.
        json: Print the result as JSON.
    """
    show.print_value(fetch(address), json)


def fetch(
    address: str, pool: httpcore.ConnectionPool | None = None
) -> dict[str, typing.Any]:
    """Returns the state of the fleet as a host reports it.

    Raises:
        errors.BadInput: The address is invalid.
        errors.Unavailable: The host doesn't answer, or its answer is invalid.
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
