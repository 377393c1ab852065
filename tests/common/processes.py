"""Helpers for tests that run separate processes."""

import contextlib
import os
import pathlib
import sys
import time

import trio

from standins import caller as caller_lib
from standins import launcher
from standins import records

TIMEOUT_S = 30.0


@contextlib.contextmanager
def run_deployment(folder: pathlib.Path, replicas=2, **values):
    """Yields a running deployment; `values` are settings of all hosts."""
    deployment = launcher.Deployment(folder, replicas)
    deployment.values.update(values)
    with deployment:
        yield deployment


def make_callers(deployment, customer='vanua'):
    key = launcher.CUSTOMER_KEYS[customer]
    return [caller_lib.Caller(host.url, key) for host in deployment.hosts]


def fetch_runs(deployment):
    """Returns the runs that the live engines recorded."""
    runs = []
    for engine in deployment.engines.values():
        if engine.popen.poll() is None:
            answer = launcher.fetch_json(f'{engine.url}/records')
            runs += [tuple(run) for run in answer['runs']]
    return runs


def count_running(deployment):
    return sum(
        launcher.fetch_json(f'{engine.url}/records')['running']
        for engine in deployment.engines.values()
        if engine.popen.poll() is None
    )


def fetch_executions(deployment):
    return [
        run
        for service in deployment.services.values()
        for run in launcher.fetch_json(f'{service.url}/records')
    ]


def assert_no_repeated_bookings(deployment):
    assert records.check_once(fetch_executions(deployment)) == []


async def wait_until(condition):
    """Waits until a condition holds; the time limit only ends broken tests."""
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(0.05)


def set_faults(process, **faults):
    launcher.fetch_json(f'{process.url}/faults', 'POST', faults)


def lose_rows(table, prefix):
    """Has the table come back from a copy that lacks some rows."""
    launcher.fetch_json(f'{table.url}/lose', 'POST', {'prefix': prefix})


def set_run_faults(process, **faults):
    launcher.fetch_json(f'{process.url}/run-faults', 'POST', faults)


def wait_exit(process):
    deadline = time.monotonic() + TIMEOUT_S
    while process.popen.poll() is None:
        assert time.monotonic() < deadline, f'{process.name} did not exit'
        time.sleep(0.05)
    return process.popen.returncode


def find_busy_engine(deployment, stage):
    """Returns the engine of a stage (1 to 3) that is running a request."""
    for name, engine in deployment.engines.items():
        if name.startswith(f'e{stage}'):
            answer = launcher.fetch_json(f'{engine.url}/records')
            if answer['running']:
                return engine
    return None


def find_command(name):
    """Returns the path of an installed command."""
    return os.path.join(os.path.dirname(sys.executable), name)
