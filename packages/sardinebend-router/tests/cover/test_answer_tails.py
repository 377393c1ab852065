"""Ends of answers whose connection is closed before they have been read."""

import contextlib
import socket

import trio

from sardinebend_router import asgi

BODY = b'x' * 1_000_000
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 4096
IDLE_WAIT_S = 0.2
LATE_S = 0.1
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


@contextlib.asynccontextmanager
async def serving():
    """Yields the port of a server, and an event that its answer is sent."""
    answered = trio.Event()

    async def app(scope, receive, send):
        if scope['type'] == 'lifespan':
            await asgi.run_lifespan(receive, send)
            return
        await asgi.send_reply(send, 200, 'text/plain', BODY)
        answered.set()

    sock = asgi.listen('127.0.0.1', 0, 5.0)
    port = sock.getsockname()[1]
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:

        async def serve(task_status=trio.TASK_STATUS_IGNORED):
            await asgi.serve(
                app,
                sock,
                shutdown=shutdown,
                idle_wait_s=IDLE_WAIT_S,
                task_status=task_status,
            )

        await nursery.start(serve)
        yield port, answered
        shutdown.set()


# Guards against an answer whose end is lost since its caller sends its next
# request when the time limit of its kept connection has passed.
async def test_a_request_to_an_idle_connection_costs_no_end_of_an_answer():
    received = b''
    async with serving() as (port, answered):
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.connect(('127.0.0.1', port))
        sock.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))

        async with stream:
            await stream.send_all(REQUEST)
            while not answered.is_set():
                received += await stream.receive_some(READ_BYTES)
                await trio.sleep(0.001)
            await trio.sleep(IDLE_WAIT_S + LATE_S)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(REQUEST)
            await trio.sleep(LATE_S)
            with contextlib.suppress(trio.BrokenResourceError):
                while data := await stream.receive_some(READ_BYTES):
                    received += data
    assert len(received.partition(b'\r\n\r\n')[2]) == len(BODY)
