"""A server of the soak as a process: `SETTINGS`, a JSON object.

It writes what it saw to a file, a line at once, so that nothing is lost when it
is killed.
"""

import json
import os
import random
import signal
import sys
import time

import trio

from sardinebend_adapter import store_client
from tests.soak import fleet as fleet_lib

HEARTBEAT_S = 1.2
LOOK_S = 0.05
# A planned end waits this long for what it has.
DRAIN_S = 3.0
BACKOFF_S = 1.5


class Book(list):
    """Runs, each also written to a file."""

    def __init__(self, kind, path):
        super().__init__()
        self._kind = kind
        self._file = open(path, 'a', buffering=1)  # noqa: SIM115

    def append(self, run):
        super().append(run)
        self.write(run, self._kind)

    def write(self, run, kind):
        data = vars(run) if hasattr(run, '__dict__') else run._asdict()
        values = {
            k: v.decode() if isinstance(v, bytes) else v
            for k, v in data.items()
        }
        self._file.write(json.dumps({'kind': kind, **values}) + '\n')


class Surroundings:
    """What a worker knows of the fleet around it."""

    def __init__(self, cfg, nursery):
        self.rng = random.Random(cfg['seed'])
        self.nursery = nursery
        self.runs = Book('run', cfg['book'])
        self.fatal_runs = Book('fatal', cfg['book'])
        self.up = {}
        self._store = store_client.StoreClient(cfg['store'])
        self._sequence = 0

    def note(self, text):
        """The soak's own log tells of what it does."""

    def find_worker(self, address):
        return None

    def is_up(self, address):
        return self.up.setdefault(address, True)

    async def list_worker(self, worker):
        self._sequence += 1
        entry = worker.entry(sequence=self._sequence)
        value = json.dumps(entry).encode()
        # A store that is away is tried again at the next heartbeat.
        await self._store.write('servers', worker.name, None, value)

    async def look(self):
        """Keeps up who listens, of those that paths lead through."""
        while True:
            await trio.sleep(LOOK_S)
            for address in list(self.up):
                self.up[address] = await listens(address)


async def listens(address):
    ip, _, port = address.partition(':')
    with trio.move_on_after(0.3):
        try:
            stream = await trio.open_tcp_stream(ip, int(port))
        except OSError:
            return False
        await stream.aclose()
        return True
    return False


class Worker(fleet_lib.Worker):
    """The soak's server, in a process of its own."""

    async def crash(self):
        os.kill(os.getpid(), signal.SIGKILL)

    async def _run(self, headers, stream):
        run_count = len(self.fleet.runs)
        try:
            return await super()._run(headers, stream)
        finally:
            for run in self.fleet.runs[run_count:]:
                if run.request_id == headers['request-id']:
                    self.fleet.runs.write(run, 'end')


async def run(cfg):
    # Times in the book are those of the machine's steady clock.
    trio.current_time = time.monotonic
    async with trio.open_nursery() as nursery:
        around = Surroundings(cfg, nursery)
        worker = Worker(around, cfg['name'], cfg['service'], cfg['zone'])
        worker.span = cfg['span'] and tuple(cfg['span'])
        worker.born = cfg['born']
        await worker.start(nursery, cfg['port'])
        nursery.start_soon(around.look)
        nursery.start_soon(heartbeat, around, worker)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGUSR1, signal.SIGUSR2
        ) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                nursery.start_soon(misbehave, worker, number)
        worker.left_at = time.monotonic()
        await around.list_worker(worker)
        await trio.sleep(DRAIN_S)
        os._exit(0)


async def heartbeat(around, worker):
    while True:
        await around.list_worker(worker)
        await trio.sleep(HEARTBEAT_S)


async def misbehave(worker, number):
    """Names a time, or answers without end, for a while."""
    name = 'backs_off' if number == signal.SIGUSR1 else 'is_endless'
    setattr(worker, name, True)
    await trio.sleep(BACKOFF_S)
    setattr(worker, name, False)


if __name__ == '__main__':
    trio.run(run, json.loads(sys.argv[1]))
