"""ASGI utilities for hosts and stand-ins: serving, request bodies, replies.

hypercorn shields its socket writes: an application can't cancel a `send` to a
caller that has stopped reading. The listening socket therefore sets
`TCP_USER_TIMEOUT`, which accepted sockets inherit: the kernel closes such a
connection after the time-out, and hypercorn reports the disconnect.

hypercorn's `read_timeout` stays unset: it also runs while a caller reads its
answer and sends nothing, and would report a disconnect during the answer.
Instead, its keep-alive time-out limits how long slow headers may take, and
`read_body` limits how long the body may take.
"""

import collections.abc
import socket
import typing

import hypercorn.config
import hypercorn.trio
import msgspec
import trio

from sardinebend_router import errors

BACKLOG: typing.Final = 1024
SEND_BUFFER_BYTES: typing.Final = 64 * 1024
MAX_HEADER_BYTES: typing.Final = 16 * 1024
MAX_STREAMS: typing.Final = 256
IDLE_WAIT_S: typing.Final = 30.0
GRACE_S: typing.Final = 1.0

Scope = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
Headers = list[tuple[bytes, bytes]]
App = collections.abc.Callable[
    [Scope, Receive, Send], collections.abc.Awaitable[None]
]


def listen(
    address: str, port: int, write_wait_s: float | None = None
) -> socket.socket:
    """Returns a listening socket.

    Args:
        address: IP address.
        port: Port; 0 for any free port.
        write_wait_s: How long sent data may stay unacknowledged before the
            connection is closed; `None` for the system's default.
    """
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if write_wait_s is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(write_wait_s * 1000),
        )
        # By default the system grows the buffer to megabytes, so that a caller
        # that reads nothing would be detected only after its whole answer.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.bind((address, port))
    sock.listen(BACKLOG)
    return sock


async def serve(
    app: App,
    sock: socket.socket,
    *,
    shutdown: trio.Event,
    tls_files: tuple[str, str] | None = None,
    idle_wait_s: float = IDLE_WAIT_S,
    task_status: trio.TaskStatus[typing.Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application on a listening socket.

    Args:
        app: The application.
        sock: The listening socket; it is closed when serving ends.
        shutdown: Set it to stop accepting connections and return.
        tls_files: Certificate and key file; `None` for plain HTTP.
        idle_wait_s: Longest wait for the next request or for its headers.
        task_status: Reports started once connections are accepted.
    """
    config = hypercorn.config.Config()
    config.bind = [f'fd://{sock.detach()}']
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_timeout = idle_wait_s
    config.keep_alive_max_requests = 1_000_000
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_STREAMS
    config.graceful_timeout = GRACE_S
    config.shutdown_timeout = GRACE_S
    if tls_files is not None:
        config.certfile, config.keyfile = tls_files
    await hypercorn.trio.serve(
        typing.cast(typing.Any, app),
        config,
        shutdown_trigger=shutdown.wait,
        task_status=task_status,
        mode='asgi',
    )


async def read_body(
    receive: Receive, limit: int, wait_s: float = 10.0
) -> bytes:
    """Returns the whole request body.

    Raises:
        errors.BodyTooLarge: The body is larger than `limit` bytes.
        errors.BodyTooSlow: The body didn't arrive within `wait_s` seconds.
        errors.CallerDisconnected: The caller disconnected before the end
                of the body.
    """
    chunks = []
    size = 0
    with trio.move_on_after(wait_s):
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise errors.CallerDisconnected(
                    'caller disconnected while sending the body'
                )
            size += len(message.get('body', b''))
            if size > limit:
                raise errors.BodyTooLarge(limit)
            chunks.append(message.get('body', b''))
            if not message.get('more_body', False):
                return b''.join(chunks)
    raise errors.BodyTooSlow(wait_s)


async def start_reply(
    send: Send,
    status: int,
    content_type: str,
    headers: typing.Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Sends the status and headers of a reply."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', content_type.encode('latin-1', 'replace')),
                *headers,
            ],
        }
    )


async def send_chunk(send: Send, body: bytes, more: bool = True) -> None:
    """Sends a part of a reply's body."""
    await send({'type': 'http.response.body', 'body': body, 'more_body': more})


async def send_reply(
    send: Send,
    status: int,
    content_type: str,
    body: bytes,
    headers: typing.Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Sends a whole reply."""
    length = (b'content-length', str(len(body)).encode())
    await start_reply(send, status, content_type, [*headers, length])
    await send_chunk(send, body, more=False)


async def send_json(
    send: Send,
    status: int,
    value: typing.Any,
    headers: typing.Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Sends a whole reply in JSON."""
    body = msgspec.json.encode(value)
    await send_reply(send, status, 'application/json', body, headers)


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledges the server's startup and shutdown messages."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
