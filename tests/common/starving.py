"""Lets a process share one processor with processes that never wait.

What a process gets of its processor is measured, since other processes of the
machine may take more of it than those started here.
"""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import typing

import trio

# The busy processes end by themselves if those that started them were killed.
LIMIT_S: typing.Final = 60.0
BUSY: typing.Final = f"""
import time
end = time.monotonic() + {LIMIT_S}
while time.monotonic() < end:
    pass
"""
SAMPLE_INTERVAL_S: typing.Final = 0.1
# A process must have its share within any time of this length.
SHARE_WINDOW_S: typing.Final = 1.0
# Less than this part of the meant share is much less than meant.
MIN_PART_OF_SHARE: typing.Final = 0.5
RUNNABLE: typing.Final = 'R'


class Sample(typing.NamedTuple):
    """What a process has got of the processors until a time.

    `wait_s` is how long it has waited for one. A wait that goes on isn't
    counted yet; `is_runnable` tells that the process waits or runs.
    """

    at: float
    run_s: float
    wait_s: float
    is_runnable: bool


class Starved:
    """A process that is to have an equal share of a processor with others.

    Attributes:
        processor: The number of the processor.
        meant_share: The share of it that the process is to have.
        samples: What the process has got, from the begin on.
        is_over: Whether the processor is its own again.
    """

    def __init__(self, process, processor, count):
        self.processor = processor
        self.meant_share = 1 / (count + 1)
        self.samples = []
        self.is_over = False
        self._process = process

    async def keep_sampling(self):
        """Takes samples until the process has ended or isn't starved any more.

        Raises:
            FileNotFoundError: This machine doesn't account for the processors.
        """
        while not self.is_over and self._process.is_up:
            try:
                self.samples.append(_read_sample(self._process.pid))
            except (FileNotFoundError, ProcessLookupError):
                # The process has ended meanwhile.
                if self._process.is_up:
                    raise
            await trio.sleep(SAMPLE_INTERVAL_S)

    @property
    def lowest_share(self):
        return find_lowest_share(self.samples)

    @property
    def had_share(self):
        return self.lowest_share >= MIN_PART_OF_SHARE * self.meant_share

    def describe(self):
        """Returns what the process had of its processor."""
        return (
            f'had {self.lowest_share:.3f} of processor {self.processor} or more'
            f' in any {SHARE_WINDOW_S} s, meant {self.meant_share:.3f}'
        )


def _read_sample(pid):
    folder = pathlib.Path('/proc', str(pid))
    run_ns, wait_ns, _ = (folder / 'schedstat').read_text().split()
    # The name before the state may have spaces and brackets.
    state = (folder / 'stat').read_text().rpartition(')')[2].split()[0]
    return Sample(
        time.monotonic(),
        int(run_ns) / 1e9,
        int(wait_ns) / 1e9,
        state == RUNNABLE,
    )


def find_lowest_share(samples):
    """Returns the least share of a processor that a process could use.

    It is the share of the time, within any `SHARE_WINDOW_S`, in which it ran or
    had nothing to do. It is 0 if the samples cover no such time.
    """
    waits = [0.0]
    for before, after in zip(samples, samples[1:], strict=False):
        length_s = after.at - before.at
        run_s = after.run_s - before.run_s
        wait_s = after.wait_s - before.wait_s
        if before.is_runnable and not run_s:
            wait_s = length_s
        # A wait that ends may have been counted before.
        wait_s = min(wait_s, max(0.0, length_s - run_s))
        waits.append(waits[-1] + wait_s)
    shares = []
    first = 0
    for last, sample in enumerate(samples):
        # The shortest time up to a sample that is long enough.
        while (
            first < last and sample.at - samples[first + 1].at >= SHARE_WINDOW_S
        ):
            first += 1
        length_s = sample.at - samples[first].at
        if length_s >= SHARE_WINDOW_S:
            run_s = sample.run_s - samples[first].run_s
            free_s = length_s - (waits[last] - waits[first])
            shares.append(max(run_s, free_s) / length_s)
    return min(shares, default=0.0)


@contextlib.contextmanager
def starved(process, count, first_choice=None):
    """Binds a process and `count` busy ones to a processor for a while.

    Yields a `Starved`; what the process gets is known if the caller runs its
    `keep_sampling`.

    Args:
        process: Has `pid` and `is_up`.
        count: The number of the busy processes.
        first_choice: The number of the processor that is taken if no one else
            starves a process there.
    """
    before = os.sched_getaffinity(process.pid)
    with contextlib.ExitStack() as stack:
        processor = stack.enter_context(_reserved_processor(first_choice))
        for _ in range(count):
            busy = subprocess.Popen([sys.executable, '-c', BUSY])
            stack.callback(_end, busy)
            os.sched_setaffinity(busy.pid, {processor})
        os.sched_setaffinity(process.pid, {processor})
        result = Starved(process, processor, count)
        try:
            yield result
        finally:
            result.is_over = True
            # Another process may have the id of one that has ended.
            if process.is_up:
                with contextlib.suppress(ProcessLookupError):
                    os.sched_setaffinity(process.pid, before)


@contextlib.contextmanager
def _reserved_processor(first_choice):
    """Yields a processor that this module leaves to no other caller.

    If all are taken, it is one of those: what the process gets shows that.
    """
    numbers = sorted(os.sched_getaffinity(0))
    if first_choice in numbers:
        numbers.remove(first_choice)
        numbers.insert(0, first_choice)
    with socket.socket(socket.AF_UNIX) as sock:
        for number in numbers:
            try:
                # A name without a file, which ends with the process.
                sock.bind(f'\0sardinebend-processor-{number}')
            except OSError:
                continue
            break
        else:
            number = numbers[0]
        yield number


def _end(busy):
    """Kills a busy process.

    Its end may take long on a processor with many others, so that a caller
    that waited for it would stand still.
    """
    busy.kill()
    threading.Thread(target=busy.wait, daemon=True).start()
