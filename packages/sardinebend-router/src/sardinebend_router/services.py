"""Connections to plain services, and the choice of their endpoints."""

import abc
import typing

import trio

from sardinebend_policy import fleet as fleet_lib
from sardinebend_store import connections
from sardinebend_store import errors as platform_errors

IDEMPOTENCY_HEADER: typing.Final = b'idempotency-key'
# Replies from this status on may declare that the call didn't run.
FIRST_REFUSAL_STATUS: typing.Final = 400
# Wait for bytes that follow such a reply.
FURTHER_BYTES_WAIT_S: typing.Final = 0.005


class Call(typing.NamedTuple):
    """A call to a plain service.

    Attributes:
        operation: Name of the operation.
        content_type: Content type of the body.
        body: The body, forwarded unchanged.
        idempotency_key: The caller's idempotency key; empty for none.
        request_id: Identifier of the request.
    """

    operation: str
    content_type: str
    body: bytes
    idempotency_key: str
    request_id: str


class ServiceConnection(abc.ABC):
    """An open connection to a service's endpoint, for one call."""

    @abc.abstractmethod
    async def send(self, call: Call) -> connections.Reply:
        """Sends a call once, never again, and returns the whole reply.

        Raises:
            sardinebend_store.errors.ExchangeFailed: The call may have
                been received.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the connection."""


class ServiceClient(abc.ABC):
    """Opens connections to the endpoints of plain services."""

    @abc.abstractmethod
    async def connect(
        self, endpoint_id: str, timeout_s: float
    ) -> ServiceConnection:
        """Opens a new connection; nothing is sent on it.

        Raises:
            sardinebend_store.errors.ConnectFailed: It couldn't be opened.
        """


class HttpServiceConnection(ServiceConnection):
    """A new HTTP connection to a service's endpoint."""

    def __init__(self, conn: connections.Connection) -> None:
        self._conn = conn

    async def send(self, call: Call) -> connections.Reply:
        """Sends a call once and returns the whole reply.

        A refusal that another reply follows may be the one to an earlier call,
        written once more, while this call runs. It counts as no reply.
        """
        headers = [
            (b'content-type', call.content_type.encode('latin-1', 'replace')),
            (b'x-request-id', call.request_id.encode()),
        ]
        if call.idempotency_key:
            key = call.idempotency_key.encode('latin-1', 'replace')
            headers.append((IDEMPOTENCY_HEADER, key))
        path = f'/operations/{call.operation}'
        reply = await self._conn.exchange('POST', path, headers, call.body)
        if (
            reply.status >= FIRST_REFUSAL_STATUS
            and await self._conn.has_further_bytes(FURTHER_BYTES_WAIT_S)
        ):
            raise platform_errors.ExchangeFailed('more than one reply')
        return reply

    async def close(self) -> None:
        """Closes the connection."""
        await self._conn.close()


class HttpServiceClient(ServiceClient):
    """Opens a new HTTP connection for each call."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        fail_after: connections.WaitLimit = trio.fail_after,
    ) -> None:
        """Creates a client without a connection.

        Args:
            fleet: The known endpoints.
            fail_after: Limits how long a connect waits.
        """
        self._fleet = fleet
        self._fail_after = fail_after

    async def connect(
        self, endpoint_id: str, timeout_s: float
    ) -> ServiceConnection:
        """Opens a new connection; nothing is sent on it."""
        state = self._fleet.get(endpoint_id)
        if state is None:
            raise platform_errors.ConnectFailed(
                f'unknown endpoint {endpoint_id}'
            )
        origin = connections.Origin(state.spec.url, fail_after=self._fail_after)
        return HttpServiceConnection(await origin.connect(timeout_s))


def choose_endpoint(
    fleet: fleet_lib.Fleet, service: str, avoid: typing.Container[str]
) -> str | None:
    """Returns the usable endpoint with the fewest running calls, or `None`.

    Args:
        fleet: The known endpoints.
        service: Name of the plain service.
        avoid: Endpoints that must not be chosen.
    """
    now = trio.current_time()
    candidates = [
        state
        for state in fleet.list_usable(now)
        if state.spec.service == service and state.spec.endpoint_id not in avoid
    ]
    if not candidates:
        return None
    least_busy = min(candidates, key=lambda state: state.estimate_running(now))
    return least_busy.spec.endpoint_id
