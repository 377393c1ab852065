"""Faults that are injected from outside the processes of a soak."""

import contextlib
import os
import signal

import trio

from tests.common import starving
from tests.soak import callers
from tests.soak import faults
from tests.soak import fleet as fleet_lib

MEAN_INTERVAL_S = 1.2
MIN_HOSTS = 2
# Share of the soaks in which hosts stop and nothing unplanned disturbs them,
# which would excuse cut streams.
PLANNED_SHARE = 0.5
# How late the signal of a planned stop is handled. What is over a second can
# only be known to a host whose process was held up as a whole.
LATE_S = (*fleet_lib.LATE_S, 1.3, 1.8)
LONG_S = 1.0
# How many busy processes share a processor with a starved host.
BUSY = (3, 6)
# Share of the stops beside which SIGHUP is sent, and how often it is then.
HANGUP_SHARE = 0.3
HANGUPS = 0.05


async def run(fleet):
    """Starts one fault after another until cancelled."""
    kinds = fleet.rng.sample(KINDS, fleet.rng.randint(1, len(KINDS)))
    if fleet.rng.random() < PLANNED_SHARE:
        kinds = [k for k in kinds if k not in (host_killed, host_paused)]
        kinds.append(host_stopped)
        if faults.servers_silent in KINDS:
            fleet.nursery.start_soon(faults.keep_silencing, fleet)
    while True:
        await trio.sleep(fleet.rng.expovariate(1 / MEAN_INTERVAL_S))
        fleet.nursery.start_soon(fleet.rng.choice(kinds), fleet)


def _pick_host(fleet, min_left=MIN_HOSTS):
    # Readiness is polled, so a host that stops may still count as ready.
    candidates = [
        host for host in fleet.hosts if host.is_ready() and not host.is_stopping
    ]
    return fleet.rng.choice(candidates) if len(candidates) > min_left else None


def _pick_worker(fleet):
    """Returns a worker that has a running replica, or None."""
    worker = fleet.rng.choice(list(fleet.workers.values()))
    replicas = [
        w
        for w in fleet.workers.values()
        if (w.service, w.span) == (worker.service, worker.span)
        and w.process.is_up
        and not w.is_leaving
    ]
    return worker if worker in replicas and len(replicas) > 1 else None


async def host_killed(fleet):
    host = _pick_host(fleet)
    if host is None:
        return
    with fleet.disturbance(f'{host.name} killed'):
        await host.process.end()
        await trio.sleep(fleet.rng.uniform(0.2, 2))
        host.start()
        await trio.sleep(1.0)


async def host_stopped(fleet):
    await faults.stop_hosts(fleet, _pick_host, stop_host)


async def stop_host(fleet, host):
    """Stops a host as planned, and starts it again.

    A long stream has begun there when the signal is sent. The process may be
    suspended then, as it is on a machine that has no processor left for it, and
    get further signals meanwhile. The platform kills it at the end of its grace
    period.
    """
    # Other faults leave it alone from now on.
    host.is_stopping = True
    late_s = fleet.rng.choice(LATE_S)
    has_hangups = fleet.rng.random() < HANGUP_SHARE
    met = await callers.begin_long_stream(fleet, host)
    if fleet.is_ending:
        host.is_stopping = False
        return
    fleet.add_log(
        f'{host.name} stops as planned, {late_s} s late, {met} has begun'
    )
    is_gone = faults.start_stop(fleet, host)
    with trio.move_on_after(fleet_lib.GRACE_S):
        await _hold_up(fleet, host, late_s, signal.SIGTERM)
        while host.process.is_up:
            await trio.sleep(0.05)
            if has_hangups and fleet.rng.random() < HANGUPS:
                host.process.send(signal.SIGHUP)
    if host.process.is_up:
        fleet.add_log(f'{host.name} killed at the end of its grace period')
        await host.process.end()
    is_gone.set()
    host.is_stopping = False
    host.start()


async def _hold_up(fleet, host, late_s, *signals):
    """Suspends a host, which handles signals sent to it when it wakes."""
    with contextlib.ExitStack() as marks:
        if late_s:
            marks.enter_context(_delayed(host))
            host.process.send(signal.SIGSTOP)
        if late_s > LONG_S:
            # It hears later of changes, but streams count all the same.
            marks.enter_context(
                fleet.disturbance(f'{host.name} held up', only_store=True)
            )
        for number in signals:
            host.process.send(number)
        await trio.sleep(late_s)
        host.process.send(signal.SIGCONT)


@contextlib.contextmanager
def _delayed(host):
    """Marks the time in which a host's answers may be late."""
    pause = [trio.current_time(), float('inf')]
    host.pauses.append(pause)
    try:
        yield
    finally:
        pause[1] = trio.current_time()


async def host_starved(fleet):
    """Leaves a host little of a processor, and stops it meanwhile or not.

    That is no disturbance of hosts: a loaded machine doesn't excuse cut
    streams.
    """
    host = _pick_host(fleet)
    if host is None:
        return
    text = f'{host.name} starved'
    processor = fleet.rng.choice(sorted(os.sched_getaffinity(0)))
    count = fleet.rng.randint(*BUSY)
    with (
        fleet.disturbance(text, only_store=True),
        _delayed(host),
        starving.starved(host.process, count, processor) as starved,
    ):
        fleet.nursery.start_soon(starved.keep_sampling)
        await trio.sleep(fleet.rng.uniform(1, 4))
        if host.is_ready() and not host.is_stopping and not fleet.is_ending:
            await stop_host(fleet, host)
    fleet.add_log(f'{host.name} {starved.describe()}')


async def host_paused(fleet):
    host = _pick_host(fleet)
    if host is None:
        return
    with fleet.disturbance(f'{host.name} paused'):
        await _hold_up(fleet, host, fleet.rng.uniform(0.3, 3))


async def host_reloads(fleet):
    host = _pick_host(fleet)
    if host is not None:
        fleet.add_log(f'{host.name} reloads its settings')
        host.process.send(signal.SIGHUP)


async def store_link_bad(fleet):
    host = fleet.rng.choice(fleet.hosts)
    if host.proxy.mode != 'open':
        return
    mode = fleet.rng.choice(('slow', 'silent', 'reset'))
    text = f'{host.name}: connection to the store {mode}'
    with fleet.disturbance(text, only_store=True):
        host.proxy.set_mode(mode)
        await trio.sleep(fleet.rng.uniform(0.5, 6))
        host.proxy.set_mode('open')


async def store_paused(fleet):
    with fleet.disturbance('store paused', only_store=True):
        fleet.store.send(signal.SIGSTOP)
        await trio.sleep(fleet.rng.uniform(0.3, 4))
        fleet.store.send(signal.SIGCONT)


async def store_returns(fleet):
    """Brings the store back from an older copy after a short outage."""
    text = 'store returns from an older copy'
    with fleet.disturbance(text, only_store=True):
        fleet.store.send(signal.SIGSTOP)
        await trio.sleep(fleet.rng.uniform(0.05, 1))
        fleet.store.send(signal.SIGUSR1)
        fleet.store.send(signal.SIGCONT)
        await trio.sleep(fleet.rng.uniform(0.05, 1.5))
        # The servers write their listings every second anyway.
        while not await fleet.put_config():
            await trio.sleep(0.1)


async def worker_killed(fleet):
    worker = _pick_worker(fleet)
    if worker is None:
        return
    fleet.add_log(f'{worker.name} killed')
    with fleet.server_failure(worker):
        await worker.kill()
        await trio.sleep(fleet.rng.uniform(1, 5))
        worker.start()


async def worker_paused(fleet):
    worker = _pick_worker(fleet)
    if worker is None or not fleet.can_fall_silent(worker):
        return
    duration_s = fleet.rng.uniform(0.3, 3)
    if duration_s <= fleet_lib.SILENCES_S[1]:
        await faults.fall_silent(fleet, worker, duration_s)
        return
    fleet.add_log(f'{worker.name} paused')
    with fleet.server_failure(worker):
        pause = [trio.current_time(), float('inf')]
        worker.pauses.append(pause)
        await worker.keep_silent(duration_s)
        pause[1] = trio.current_time()


async def worker_leaves(fleet):
    worker = _pick_worker(fleet)
    if worker is None:
        return
    fleet.add_log(f'{worker.name} leaves')
    worker.is_leaving = True
    fleet.departures.append(
        fleet_lib.Departure(worker.name, worker.born, trio.current_time())
    )
    worker.process.send(signal.SIGTERM)
    while worker.process.is_up:
        await trio.sleep(0.1)
    with fleet.server_absence(worker):
        worker.record_process_end()
        worker.start()


async def worker_misbehaves(fleet):
    worker = fleet.rng.choice(list(fleet.workers.values()))
    number = fleet.rng.choice((signal.SIGUSR1, signal.SIGUSR2))
    fleet.add_log(f'{worker.name} gets signal {number.name}')
    worker.process.send(number)


async def restart_crashed_workers(fleet):
    """Restarts workers that a request has crashed, for the whole soak."""
    while True:
        await trio.sleep(1.0)
        for worker in fleet.workers.values():
            if not worker.process.is_up and not worker.is_leaving:
                await trio.sleep(fleet.rng.uniform(0.5, 2))
                if not worker.process.is_up:
                    worker.start()


KINDS = (
    host_killed,
    host_stopped,
    host_paused,
    host_starved,
    host_reloads,
    store_link_bad,
    store_paused,
    store_returns,
    worker_killed,
    worker_paused,
    worker_leaves,
    worker_misbehaves,
    faults.fatal_request,
    faults.fatal_part,
    faults.add_route,
    faults.servers_silent,
)
