"""Clients outside the limits, before one real host with lowered limits.

Nothing here depends on the speed of the machine: a wait has a limit only so
that a broken test ends. The crowds and bounds were fixed on the code that
failed. See docs/design/caller-limits.md.
"""

import contextlib
import os
import pathlib
import tempfile

import pytest
import trio

from tests.common import gateway_world as world_lib
from tests.common import stopping_host

# A host at rest takes some 40 MB.
MEMORY_MB = 72
# Of the descriptors, 200 are for files, as on the platform.
MAX_FDS = 4200
FEW_FDS = 460
FILE_FDS = 200
BODY_BYTES = 1_000_000
HEADER_BYTES = 16_384
CROWD = 300
# Work for each byte is high in very small chunks.
CROWD_OF_SMALL_CHUNKS = 60
SMALL_CHUNKS = 10_000
CROWD_FOR_DESCRIPTORS = 400
PIECE_BYTES = 50_000
ANSWER_BYTES = 400_000
SAMPLE_S = 0.02
# A crowd that the host doesn't read waits to be given up no longer than this.
CROWD_S = 30.0
# Only ends broken tests.
HANG_S = 120.0
# A caller comes back after a refusal, as the pages allow.
TRIES = 4

HEAD = (
    f'POST /look/x HTTP/1.1\r\nHost: {world_lib.HOST}\r\nRequest-Id: c1\r\n'
    f'Deadline-Ms: 100000\r\nAuthorization: Bearer {world_lib.KEY}\r\n'
).encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
SLOW = HEAD + b'X-Duration: 100\r\nContent-Length: 0\r\n\r\n'
LARGE = HEAD + b'X-Duration: 0\r\nX-Large: 1\r\nContent-Length: 0\r\n\r\n'
CHUNK = b'%x\r\n' % PIECE_BYTES + b'c' * PIECE_BYTES + b'\r\n'


def announced_bodies(number):
    yield HEAD + b'Content-Length: 10000000000\r\n\r\n'
    for _ in range(20):
        yield b'b' * PIECE_BYTES


def sent_bodies(number):
    yield CHUNKED
    for _ in range(3 * BODY_BYTES // PIECE_BYTES):
        yield CHUNK


def large_chunks_that_stop_short(number):
    yield CHUNKED
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield CHUNK
    yield CHUNK[:-3]


def small_chunks_that_stop_short(number):
    yield CHUNKED
    for _ in range(10):
        yield b'1\r\nc\r\n' * (SMALL_CHUNKS // 10)


def heads_without_end(number):
    yield HEAD + b'X-Long: '
    # Half of them stop before they are over the limit.
    for _ in range(14 if number % 2 else 100):
        yield b'h' * 1000


def endless_framing(number):
    yield CHUNKED
    if number % 3 == 0:
        yield b'5;'
        for _ in range(20):
            yield b'e' * 10_000
    elif number % 3 == 1:
        yield b'0\r\n'
        for _ in range(20):
            yield b'X-Trailer: t\r\n' * 800
    else:
        for _ in range(100):
            yield b'1;' + b'e' * 4000 + b'\r\nc\r\n'


def pipelined_requests(number):
    yield SLOW
    for _ in range(20):
        yield SLOW * (PIECE_BYTES // len(SLOW))


def answers_that_nobody_reads(number):
    yield LARGE


def connections_for_all_descriptors(number):
    # Half of them are silent.
    yield HEAD if number % 2 else b''


# For each kind the size of the crowd, and the host's descriptors.
CROWDS = {
    announced_bodies: (CROWD, MAX_FDS),
    sent_bodies: (CROWD, MAX_FDS),
    large_chunks_that_stop_short: (CROWD, MAX_FDS),
    small_chunks_that_stop_short: (CROWD_OF_SMALL_CHUNKS, MAX_FDS),
    heads_without_end: (CROWD, MAX_FDS),
    endless_framing: (CROWD, MAX_FDS),
    pipelined_requests: (CROWD, MAX_FDS),
    answers_that_nobody_reads: (CROWD, MAX_FDS),
    connections_for_all_descriptors: (CROWD_FOR_DESCRIPTORS, FEW_FDS),
}


class CrowdServer(stopping_host.TimedServer):
    """Answers a request that asks for it with a large body."""

    backlog = 500

    async def _work(self, headers, stream):
        if 'x-large' not in headers:
            await super()._work(headers, stream)
            return
        fixed = [('Request-Id', headers['request-id']), world_lib.SEAL]
        body = b'a' * ANSWER_BYTES
        await stream.send_all(world_lib.head(200, fixed, body=body))


class CrowdScene(stopping_host.Scene):
    """One host, and clients that nobody controls.

    Attributes:
        peak_mb: Most memory seen, with bytes that the host has not read.
        peak_fds: Most descriptors that the process was seen to have.
        status: Status of the answer to an ordinary request, sent while the
            clients' connections were open.
        was_up: Whether the process was alive then.
    """

    def __init__(self, background, folder, max_fds):
        self.host_limits = (
            f'[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {max_fds}\n'
        )
        super().__init__(background, folder)
        self.peak_mb = 0.0
        self.peak_fds = 0
        self.status = 0
        self.was_up = False

    def _make_servers(self):
        return [CrowdServer('app-0', 'app')]

    def _make_config(self):
        config = super()._make_config()
        for route in config['routes']:
            route['timeout_ms'] = 100_000
        config['limits'] = {
            'max_header_bytes': HEADER_BYTES,
            'max_body_bytes': BODY_BYTES,
            'header_timeout_ms': 10_000,
            'idle_timeout_ms': 10_000,
        }
        return config

    async def play(self, kind, size):
        """Sends the crowd's bytes; asks while its connections are open."""
        await self.start_hosts()
        host = self.hosts[0]
        async with trio.open_nursery() as watcher:
            watcher.start_soon(self._sample)
            async with trio.open_nursery() as crowd:
                with trio.move_on_after(CROWD_S):
                    async with trio.open_nursery() as senders:
                        for number in range(size):
                            senders.start_soon(self._send, crowd, kind(number))
                with trio.fail_after(HANG_S):
                    await self._ask_ordinarily()
                self.was_up = host.is_up
                crowd.cancel_scope.cancel()
            watcher.cancel_scope.cancel()
        self._look()

    async def _send(self, crowd, pieces):
        """Sends what it can; leaves the connection open."""
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(
                world_lib.IP, self.hosts[0].port
            )
            crowd.start_soon(_keep_open, stream)
            for piece in pieces:
                await stream.send_all(piece)

    async def _ask_ordinarily(self):
        for _ in range(TRIES):
            stream = await trio.open_tcp_stream(
                world_lib.IP, self.hosts[0].port
            )
            async with stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(
                        world_lib.make_request(
                            deadline_ms='100000', x_duration='0'
                        )
                    )
                    answer = await world_lib.read_answer(stream)
                    self.status = answer[0] if answer[3] else 0
            if self.status == 200:
                return

    async def _sample(self):
        while True:
            self._look()
            await trio.sleep(SAMPLE_S)

    def _look(self):
        process = pathlib.Path(f'/proc/{self.hosts[0].pid}')
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            status = (process / 'status').read_text()
            size_kb = int(status.partition('VmRSS:')[2].split()[0])
            unread = _count_unread_bytes(self.hosts[0].port)
            peak_mb = (size_kb * 1024 + unread) / 1e6
            self.peak_mb = max(self.peak_mb, peak_mb)
            self.peak_fds = max(self.peak_fds, len(os.listdir(process / 'fd')))


async def _keep_open(stream):
    async with stream:
        await trio.sleep_forever()


def _count_unread_bytes(port):
    """Returns the bytes that the connections to a port have not read."""
    size = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        # Of a listening socket it is the number of waiting connections.
        if int(local.partition(':')[2], 16) == port and state != '0A':
            size += int(queues.partition(':')[2], 16)
    return size


async def play_crowd(kind, size, max_fds, folder):
    async with trio.open_nursery() as background:
        scene = CrowdScene(background, folder, max_fds)
        try:
            await scene.start()
            await scene.play(kind, size)
        finally:
            scene.close()
        background.cancel_scope.cancel()
    return scene


# Guards against clients that end a host by its memory or its descriptors, or
# keep it from serving others.
@pytest.mark.parametrize('kind', CROWDS, ids=lambda kind: kind.__name__)
def test_a_host_survives_clients_outside_its_limits(kind):
    size, max_fds = CROWDS[kind]
    with tempfile.TemporaryDirectory(prefix='crowd-') as folder:
        scene = trio.run(
            play_crowd, kind, size, max_fds, pathlib.Path(folder) / 'scene'
        )
    print(
        f'{scene.peak_mb:.1f} MB, {scene.peak_fds} descriptors,'
        f' status {scene.status}'
    )
    assert scene.was_up
    assert scene.status == 200
    assert scene.peak_mb < MEMORY_MB
    assert scene.peak_fds <= max_fds - FILE_FDS
