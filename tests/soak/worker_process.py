"""A server of the soak as a process.

Usage: `python -m tests.soak.worker_process SETTINGS`, a JSON object.

It writes what it records to a line-buffered file, so that nothing is lost when
it is killed.
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
POLL_INTERVAL_S = 0.05
# A planned stop leaves this long for the requests that are running.
DRAIN_S = 3.0
FAULT_DURATION_S = 1.5


class RunRecorder(list):
    """A list of runs, each of which is also written to a file."""

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


class MachineClock(trio.abc.Clock):
    """The machine's monotonic clock, whose times the records hold.

    Replacing `trio.current_time` alone would end each sleep at once, as trio's
    own clock starts at another time.
    """

    def start_clock(self):
        """Does nothing: the clock runs."""

    def current_time(self):
        return time.monotonic()

    def deadline_to_sleep_time(self, deadline):
        return deadline - time.monotonic()


class FleetView:
    """The part of `fleet.Fleet` that a worker uses in its own process."""

    def __init__(self, cfg, nursery):
        self.rng = random.Random(cfg['seed'])
        self.nursery = nursery
        self.runs = RunRecorder('run', cfg['book'])
        self.fatal_runs = RunRecorder('fatal', cfg['book'])
        self.up = {}
        self._store = store_client.StoreClient(cfg['store'])
        self._sequence = 0

    def add_log(self, text):
        """Does nothing: the process of the soak logs the faults."""

    def find_worker(self, address):
        return None

    def is_up(self, address):
        return self.up.setdefault(address, True)

    async def write_listing(self, worker):
        self._sequence += 1
        entry = worker.entry(sequence=self._sequence)
        value = json.dumps(entry).encode()
        # After a failure, the next heartbeat writes it again.
        await self._store.write('servers', worker.name, None, value)

    async def poll_addresses(self):
        """Polls which of the known addresses accept connections."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            for address in list(self.up):
                self.up[address] = await is_listening(address)


async def is_listening(address):
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
    """A server of the soak in a process of its own."""

    # The others connect all the time to see whether it is up, also while it is
    # suspended.
    backlog = 1024

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
    async with trio.open_nursery() as nursery:
        fleet = FleetView(cfg, nursery)
        worker = Worker(fleet, cfg['name'], cfg['service'], cfg['zone'])
        worker.span = cfg['span'] and tuple(cfg['span'])
        worker.born = cfg['born']
        await worker.start(nursery, cfg['port'])
        nursery.start_soon(fleet.poll_addresses)
        nursery.start_soon(heartbeat, fleet, worker)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGUSR1, signal.SIGUSR2
        ) as signals:
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                nursery.start_soon(set_fault_temporarily, worker, number)
        worker.leaving_since = time.monotonic()
        await fleet.write_listing(worker)
        await trio.sleep(DRAIN_S)
        os._exit(0)


async def heartbeat(fleet, worker):
    while True:
        await fleet.write_listing(worker)
        await trio.sleep(HEARTBEAT_S)


async def set_fault_temporarily(worker, number):
    """Refuses with a Retry-After time, or answers without end, for a while."""
    name = 'backs_off' if number == signal.SIGUSR1 else 'is_endless'
    setattr(worker, name, True)
    await trio.sleep(FAULT_DURATION_S)
    setattr(worker, name, False)


if __name__ == '__main__':
    trio.run(run, json.loads(sys.argv[1]), clock=MachineClock())
