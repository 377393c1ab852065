"""Measures the processor time and memory of one entry host's process.

The hosts, the engines and the stand-ins of the platform run as processes of
their own; the callers run in this process. The cost of the host is read from
/proc, so the cost of callers and engines is not included.
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
STREAM_COUNTS: typing.Final = (1, 10, 100, 1000)
TOKENS_PER_STREAM: typing.Final = 60
SMALL_REQUESTS: typing.Final = 300
IDLE_S: typing.Final = 20.0
TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')

Numbers = dict[str, float]


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


async def measure_streams(
    host: launcher.Process, count: int, idle_core_share: float
) -> Numbers:
    """Measures concurrent streamed drafts."""
    caller = caller_lib.Caller(host.url, launcher.CUSTOMER_KEYS['vanua'])
    pid = host.popen.pid
    cpu_before_s, start = read_cpu_s(pid), time.monotonic()
    before_mb, peak_mb = read_memory_mb(pid), 0.0
    complete = 0

    async def run_one() -> None:
        nonlocal complete, peak_mb
        draft = await caller.draft('Measure', TOKENS_PER_STREAM)
        complete += draft.tokens == TOKENS_PER_STREAM
        peak_mb = max(peak_mb, read_memory_mb(pid))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_one)
            await trio.sleep(0.002)
    elapsed_s = time.monotonic() - start
    cpu_used_s = read_cpu_s(pid) - cpu_before_s - idle_core_share * elapsed_s
    return {
        'streams': count,
        'whole': complete,
        'seconds': elapsed_s,
        'cpu_us_per_token': cpu_used_s * 1e6 / (count * TOKENS_PER_STREAM),
        'cpu_ms_per_stream': cpu_used_s * 1e3 / count,
        'memory_kb_per_stream': (peak_mb - before_mb) * 1e3 / count,
    }


async def measure_requests(
    host: launcher.Process, operation: str, idle_core_share: float
) -> Numbers:
    """Measures small sequential calls to a plain service."""
    caller = caller_lib.Caller(host.url, launcher.CUSTOMER_KEYS['vanua'])
    pid = host.popen.pid
    cpu_before_s, start = read_cpu_s(pid), time.monotonic()
    for number in range(SMALL_REQUESTS):
        await caller.operate(operation, {'n': number}, f'cost-{number}')
    elapsed_s = time.monotonic() - start
    cpu_used_s = read_cpu_s(pid) - cpu_before_s - idle_core_share * elapsed_s
    return {'cpu_ms_per_request': cpu_used_s * 1e3 / SMALL_REQUESTS}


def measure_idle(host: launcher.Process) -> Numbers:
    """Measures the background cost of a host without requests."""
    pid = host.popen.pid
    cpu_before_s = read_cpu_s(pid)
    time.sleep(IDLE_S)
    return {
        'core_share': (read_cpu_s(pid) - cpu_before_s) / IDLE_S,
        'memory_mb': read_memory_mb(pid),
    }


def measure_changes(
    host: launcher.Process, other_hosts: list[launcher.Process], count: int
) -> Numbers:
    """Measures how soon settings changes are in force, and their cost."""
    pids = [item.popen.pid for item in other_hosts]
    cpu_before_s = [read_cpu_s(pid) for pid in pids]
    start = time.monotonic()
    in_force_s = []
    for number in range(count):
        value = {'draft.max_attempts': 2 + number % 5}
        edit = {
            'node': 'values/fleet/customer:vanua',
            'expected_version': number,
            'value': value,
        }
        change = {'change_id': f'c{number}', 'why': 'w', 'edits': [edit]}
        changed_at = time.monotonic()
        answer = launcher.fetch_json(
            f'{host.url}/admin/v1/settings/changes',
            'POST',
            change,
            launcher.OPERATOR_KEY,
        )
        if len(answer['in_force_at']) == len(other_hosts) + 1:
            in_force_s.append(time.monotonic() - changed_at)
    elapsed_s = time.monotonic() - start
    cpu_used_s = sum(map(read_cpu_s, pids)) - sum(cpu_before_s)
    in_force_s.sort()
    return {
        'changes': count,
        'in_force_everywhere': len(in_force_s),
        'p50_s': in_force_s[len(in_force_s) // 2],
        'p99_s': in_force_s[int(len(in_force_s) * 0.99)],
        'worst_s': in_force_s[-1],
        'cpu_ms_per_change_at_another_host': (
            cpu_used_s * 1e3 / count / len(other_hosts)
        ),
        'seconds': elapsed_s,
    }


async def measure_all(deployment: launcher.Deployment) -> dict:
    """Runs all measurements on a running deployment."""
    host, *other_hosts = deployment.hosts
    idle = measure_idle(host)
    idle_core_share = idle['core_share']
    results: dict[str, typing.Any] = {'hosts': len(deployment.hosts)}
    results['idle'] = idle
    results['streams'] = []
    for count in STREAM_COUNTS:
        numbers = await measure_streams(host, count, idle_core_share)
        results['streams'].append(numbers)
        print(json.dumps(numbers), flush=True)
    for operation in ('lookup', 'confirm'):
        numbers = await measure_requests(host, operation, idle_core_share)
        results[operation] = numbers
        print(operation, json.dumps(numbers), flush=True)
    results['changes'] = measure_changes(host, other_hosts, 100)
    print(json.dumps(results['changes']), flush=True)
    results['memory_mb_at_end'] = read_memory_mb(host.popen.pid)
    return results


def main(*, hosts: int = 8) -> None:
    """Runs the measurements and writes the report.

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
