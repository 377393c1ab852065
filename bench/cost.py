"""Measures the processor time and memory of one entry host's process.

A host and an engine run as processes of their own, with the platform's
stand-ins; callers run here. What the host used is read from the system's
accounts of its process, so the callers' and the engine's own cost don't count.
"""

import json
import os
import pathlib
import tempfile
import time
import typing

import defopt
import trio

from standins import caller as caller_lib
from standins import launcher

FILE: typing.Final = pathlib.Path('docs/reports/cost.json')
STREAMS: typing.Final = (1, 10, 100, 1000)
TOKENS: typing.Final = 60
SMALL_REQUESTS: typing.Final = 300
IDLE_S: typing.Final = 20.0
TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')

Numbers = dict[str, float]


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


async def measure_streams(
    host: launcher.Process, count: int, idle_core: float
) -> Numbers:
    """Measures drafts that stream at the same time."""
    caller = caller_lib.Caller(host.url, launcher.CUSTOMER_KEYS['vanua'])
    pid = host.popen.pid
    before_s, began_at = read_cpu_s(pid), time.monotonic()
    before_mb, peak_mb = read_memory_mb(pid), 0.0
    whole = 0

    async def run_one() -> None:
        nonlocal whole, peak_mb
        draft = await caller.draft('Measure', TOKENS)
        whole += draft.tokens == TOKENS
        peak_mb = max(peak_mb, read_memory_mb(pid))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_one)
            await trio.sleep(0.002)
    elapsed_s = time.monotonic() - began_at
    used_s = read_cpu_s(pid) - before_s - idle_core * elapsed_s
    return {
        'streams': count,
        'whole': whole,
        'seconds': elapsed_s,
        'cpu_us_per_token': used_s * 1e6 / (count * TOKENS),
        'cpu_ms_per_stream': used_s * 1e3 / count,
        'memory_kb_per_stream': (peak_mb - before_mb) * 1e3 / count,
    }


async def measure_requests(
    host: launcher.Process, operation: str, idle_core: float
) -> Numbers:
    """Measures small calls to a plain service, one after another."""
    caller = caller_lib.Caller(host.url, launcher.CUSTOMER_KEYS['vanua'])
    pid = host.popen.pid
    before_s, began_at = read_cpu_s(pid), time.monotonic()
    for number in range(SMALL_REQUESTS):
        await caller.operate(operation, {'n': number}, f'cost-{number}')
    elapsed_s = time.monotonic() - began_at
    used_s = read_cpu_s(pid) - before_s - idle_core * elapsed_s
    return {'cpu_ms_per_request': used_s * 1e3 / SMALL_REQUESTS}


def measure_idle(host: launcher.Process) -> Numbers:
    """Measures what a host spends on control while it has no request."""
    pid = host.popen.pid
    before_s = read_cpu_s(pid)
    time.sleep(IDLE_S)
    return {
        'core_share': (read_cpu_s(pid) - before_s) / IDLE_S,
        'memory_mb': read_memory_mb(pid),
    }


def measure_changes(
    host: launcher.Process, others: list[launcher.Process], count: int
) -> Numbers:
    """Measures changes of the settings, and how soon they are in force."""
    pids = [item.popen.pid for item in others]
    before_s = [read_cpu_s(pid) for pid in pids]
    began_at = time.monotonic()
    times = []
    for number in range(count):
        value = {'draft.max_attempts': 2 + number % 5}
        edit = {
            'node': 'values/fleet/customer:vanua',
            'expected_version': number,
            'value': value,
        }
        change = {'change_id': f'c{number}', 'why': 'w', 'edits': [edit]}
        start = time.monotonic()
        answer = launcher.fetch_json(
            f'{host.url}/admin/v1/settings/changes',
            'POST',
            change,
            launcher.OPERATOR_KEY,
        )
        if len(answer['in_force_at']) == len(others) + 1:
            times.append(time.monotonic() - start)
    elapsed_s = time.monotonic() - began_at
    used_s = sum(map(read_cpu_s, pids)) - sum(before_s)
    times.sort()
    return {
        'changes': count,
        'in_force_everywhere': len(times),
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(len(times) * 0.99)],
        'worst_s': times[-1],
        'cpu_ms_per_change_at_another_host': (
            used_s * 1e3 / count / len(others)
        ),
        'seconds': elapsed_s,
    }


async def measure_all(deployment: launcher.Deployment) -> dict:
    """Makes all measurements on a running deployment."""
    host, *others = deployment.hosts
    idle = measure_idle(host)
    idle_core = idle['core_share']
    results: dict[str, typing.Any] = {'hosts': len(deployment.hosts)}
    results['idle'] = idle
    results['streams'] = []
    for count in STREAMS:
        numbers = await measure_streams(host, count, idle_core)
        results['streams'].append(numbers)
        print(json.dumps(numbers), flush=True)
    for operation in ('lookup', 'confirm'):
        numbers = await measure_requests(host, operation, idle_core)
        results[operation] = numbers
        print(operation, json.dumps(numbers), flush=True)
    results['changes'] = measure_changes(host, others, 100)
    print(json.dumps(results['changes']), flush=True)
    results['memory_mb_at_end'] = read_memory_mb(host.popen.pid)
    return results


def main(*, hosts: int = 8) -> None:
    """Runs the measurement.

    Args:
        hosts: Number of entry hosts.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = launcher.Deployment(pathlib.Path(folder), 1, hosts)
        deployment.values['admission.headroom'] = 100.0
        deployment.values['admission.max_running'] = 2000
        deployment.values['admission.max_queued'] = 2000
        deployment.values['request.deadline_s'] = 300.0
        deployment.values['draft.stall_floor_s'] = 30.0
        deployment.values['draft.stall_ceiling_s'] = 60.0
        deployment.values['draft.first_token_s'] = 120.0
        with deployment:
            results = trio.run(measure_all, deployment)
    FILE.write_text(json.dumps(results, indent=1) + '\n')


if __name__ == '__main__':
    defopt.run(main)
