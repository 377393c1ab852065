"""An embedded host in the event loop of a test, and a raw HTTP client."""

import contextlib
import json

import trio

from sardinebend_router import embedded

TEST_TIMEOUT_S = 20.0
KEY = embedded.CUSTOMER_KEY
OPERATOR_KEY = embedded.OPERATOR_KEY


@contextlib.asynccontextmanager
async def started(host=None):
    """Yields a started host and then waits until it holds no work."""
    host = host or embedded.make_host(port=0)
    async with trio.open_nursery() as nursery:
        await nursery.start(host.run)
        try:
            yield host
            await wait_until(lambda: is_idle(host))
        finally:
            nursery.cancel_scope.cancel()


def is_idle(host):
    """Returns whether no request, queue entry or cancel is left."""
    state = host.state
    running = sum(len(item.running) for item in state.fleet.list_all())
    return not (
        state.in_flight
        or state.gate.running
        or state.gate.waiting
        or state.service_gate.running
        or state.service_gate.waiting
        or state.cancels.pending
        or running
    )


async def wait_until(condition):
    """Waits until a condition holds; the time limit only ends broken tests."""
    with trio.fail_after(TEST_TIMEOUT_S):
        while not condition():
            await trio.sleep(0.01)


async def send_raw(host, data):
    """Sends bytes on a new connection and returns the open stream."""
    stream = await trio.open_tcp_stream('127.0.0.1', host.caller_port)
    await stream.send_all(data)
    return stream


async def read_all(stream):
    """Returns all bytes until the other end closes."""
    data = b''
    with trio.fail_after(TEST_TIMEOUT_S):
        while chunk := await stream.receive_some(65536):
            data += chunk
    return data


def make_request(
    path='/v1/completions', body=b'', method='POST', key=KEY, **headers
):
    """Returns the bytes of a request after which the connection closes."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: h', 'Connection: close']
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def ask(host, *args, **kwargs):
    """Makes one exchange; returns status, headers and parsed body."""
    stream = await send_raw(host, make_request(*args, **kwargs))
    async with stream:
        data = await read_all(stream)
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines[1:])
    if headers.get('transfer-encoding') == 'chunked':
        body = _join_chunks(body)
    value = body
    if 'json' in headers.get('content-type', ''):
        value = json.loads(body)
    return int(lines[0].split()[1]), headers, value


def _join_chunks(data):
    parts = []
    while data:
        size, _, data = data.partition(b'\r\n')
        count = int(size, 16)
        parts.append(data[:count])
        data = data[count + 2 :]
        if not count:
            break
    return b''.join(parts)


def draft(**changes):
    """Returns a draft's request body."""
    body = {'model': 'assistant', 'prompt': 'p', 'max_tokens': 3, **changes}
    return json.dumps(body).encode()
