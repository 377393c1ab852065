"""Reads the parts of a caller's request and checks them against the limits."""

import typing

import h11

from sardinebend_gateway import errors
from sardinebend_gateway import request_bodies
from sardinebend_gateway import responder

# Raises `errors.BadRequest` if what comes next isn't valid.
NextEvent = typing.Callable[[], typing.Awaitable[typing.Any]]


class Request(typing.NamedTuple):
    """A request that has been received, completely unless it is refused.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Names in lower case, with values, in order.
        content: The body without its framing. It may be refused for want of
            memory; it is empty then, and so is one that was released.
        arrived_at: When the headers were complete, by trio's clock.
    """

    method: bytes
    target: bytes
    headers: responder.Pairs
    content: request_bodies.Body
    arrived_at: float

    @property
    def body(self) -> bytes:
        """A copy of the body."""
        return b''.join(self.content.pieces)


def check_head(req: h11.Request, max_bytes: int) -> None:
    """Raises if headers are too large or leave the message length ambiguous."""
    size = len(req.method) + len(req.target)
    size += sum(len(name) + len(value) + 4 for name, value in req.headers)
    if size > max_bytes:
        raise errors.BadRequest(431, 'request headers too large')
    names = [name for name, _ in req.headers]
    has_length = b'content-length' in names
    if has_length and b'transfer-encoding' in names:
        raise errors.BadRequest(
            400, 'both content-length and transfer-encoding are given'
        )


def get_content_length(req: h11.Request) -> int:
    """Returns the stated size of the body; 0 if none is stated."""
    for name, value in req.headers:
        if name == b'content-length':
            return int(value)
    return 0


def is_chunked(req: h11.Request) -> bool:
    """Returns whether the body comes in chunks."""
    return any(name == b'transfer-encoding' for name, _ in req.headers)


async def read_body(
    body: request_bodies.Body, next_event: NextEvent, max_bytes: int
) -> None:
    """Reads a body until its end, or until it is refused.

    Args:
        body: Takes the bytes.
        next_event: Returns what comes next on the connection.
        max_bytes: Largest size of a body.

    Raises:
        errors.BadRequest: The body is too large or not valid.
        errors.ConnectionAborted: The connection was closed within the body.
    """
    while not body.is_refused:
        event = await next_event()
        if isinstance(event, h11.EndOfMessage):
            body.finish()
            return
        if not isinstance(event, h11.Data):
            raise errors.ConnectionAborted(
                'connection closed within the request body'
            )
        if body.size + len(event.data) > max_bytes:
            raise errors.BadRequest(413, 'request body too large')
        body.add(event.data)
        # A caller may never send the next piece.
        del event


async def discard_body(next_event: NextEvent, max_bytes: int) -> None:
    """Reads the rest of a body that nobody wants, within a limit.

    A caller that sends a body may not read its answer before the end of it.

    Args:
        next_event: Returns what comes next on the connection.
        max_bytes: Reading ends once there was more than this.
    """
    size = 0
    while size <= max_bytes:
        try:
            event = await next_event()
        except errors.BadRequest:
            # The caller has closed, or what follows isn't a body.
            return
        if not isinstance(event, h11.Data):
            return
        size += len(event.data)
        del event
