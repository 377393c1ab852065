"""A reset answer of no length is passed on as a whole one.

A faulty server answers a long request before it has read it, with an answer of
no length, and resets the channel in the middle of it.
"""

import asyncio
import json
import pathlib
import socket
import struct
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))

import platform_standin as standin  # noqa: E402

REQUESTS = 40
REQUEST_BYTES = 500_000
ANSWER_BYTES = 2000
# What the server sends before it resets the channel.
SENT_BYTES = 800
TIMEOUT_S = 10.0
RECEIVE_BUFFER_BYTES = 65536
PAUSE_S = 0.05
RESET = struct.pack('ii', 1, 0)


def make_answer(name, request_id):
    """Returns the whole body of a server's answer."""
    text = f'{name} ran {request_id}: '.encode()
    return text + b'.' * (ANSWER_BYTES - len(text) - 4) + b'end\n'


class EarlyServer(standin.Server):
    """Answers before it has read a long body; may reset the channel."""

    is_faulty = False

    async def start(self):
        """Starts to serve with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((standin.IP, 0))
        server = await asyncio.start_server(
            self._serve_early, sock=sock, backlog=128, limit=16384
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve_early(self, reader, writer):
        try:
            head = await standin.read_head(reader)
            if head is None:
                return
            headers = head[1]
            request_id = headers.get('request-id', '')
            self.runs.append(request_id)
            fixed = [
                ('Request-Id', request_id),
                ('Response-Seal', 'a.b.c'),
                ('Connection', 'close'),
            ]
            body = make_answer(self.name, request_id)
            writer.write(standin.make_head(200, fixed))
            if not self.is_faulty:
                writer.write(body)
                await writer.drain()
                # A sound server reads on before it closes.
                await standin.read_body(reader, headers)
                return
            writer.write(body[:SENT_BYTES])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def _ask(host, request_id):
    """Returns status, headers, body, and whether the answer was complete."""
    reader, writer = await asyncio.open_connection(standin.IP, host.port)
    try:
        writer.write(
            standin.make_request(
                '/book/x',
                request_id,
                'POST',
                [('Deadline-Ms', '10000')],
                b'q' * REQUEST_BYTES,
            )
        )
        head = await asyncio.wait_for(standin.read_head(reader), TIMEOUT_S)
        if head is None:
            return 0, {}, b'', False
        status = int(head[0].split(' ')[1])
        try:
            body = await asyncio.wait_for(
                standin.read_body(reader, head[1]), TIMEOUT_S
            )
        except asyncio.IncompleteReadError as exc:
            return status, head[1], exc.partial, False
    except (OSError, TimeoutError):
        return 0, {}, b'', False
    else:
        return status, head[1], body, True
    finally:
        writer.transport.abort()


async def _play(folder, record):
    store = standin.Store()
    await store.start()
    server = EarlyServer('i-app-0', 'app')
    await server.start()
    route = standin.make_route('book', '/book/', 'non_idempotent', 'app')
    config = standin.make_config([route], ['app'])
    store.put('op', 'config', json.dumps(config).encode())
    listing = asyncio.create_task(standin.keep_listed(store, [server]))
    host = standin.Host('edge-ba-1', folder, f'{standin.IP}:{store.port}')
    wrong = whole = 0
    try:
        host.start()
        await host.wait_ready()
        await asyncio.sleep(1.5)
        server.is_faulty = standin.has_disruption()
        for number in range(REQUESTS):
            request_id = f'book-{number}'
            status, headers, body, is_complete = await _ask(host, request_id)
            is_sealed = 'response-seal' in headers
            is_whole = body == make_answer(server.name, request_id)
            record.write(
                f'{request_id}: status {status}, sealed {is_sealed},'
                f' {len(body)} of {ANSWER_BYTES} bytes, looks complete'
                f' {is_complete}'
            )
            whole += status == 200 and is_complete and is_whole
            wrong += status == 200 and is_complete and not is_whole
    finally:
        host.end()
        listing.cancel()
    record.write(f'the server ran {len(server.runs)}; whole answers: {whole}')
    if wrong:
        record.write(
            f'BROKEN: {wrong} of {REQUESTS} clients got a success that looks'
            " complete and isn't the server's whole body"
        )
        return 1
    if not server.is_faulty and whole < REQUESTS:
        raise RuntimeError('a sound server was not passed on')
    record.write('held')
    return 0


def main():
    """Returns the exit code of the case."""
    record = standin.Record(FOLDER / 'record.txt')
    with tempfile.TemporaryDirectory(prefix='case-6-') as folder:
        try:
            return standin.run(_play(folder, record))
        except (OSError, RuntimeError) as exc:
            record.write(f'could not run: {exc}')
            standin.print_error(str(exc))
            return 2


if __name__ == '__main__':
    sys.exit(main())
