"""Lets a process share one processor with processes that never wait."""

import contextlib
import os
import subprocess
import sys
import threading

# The busy processes end by themselves if those that started them were killed.
LIMIT_S = 60.0
BUSY = f"""
import time
end = time.monotonic() + {LIMIT_S}
while time.monotonic() < end:
    pass
"""


@contextlib.contextmanager
def starved(process, processor, count):
    """Binds a process and `count` busy ones to a processor for a while.

    Args:
        process: Has `pid` and `is_up`.
        processor: The number of the processor.
        count: The number of busy processes.
    """
    before = os.sched_getaffinity(process.pid)
    with contextlib.ExitStack() as busy_processes:
        for _ in range(count):
            busy = subprocess.Popen([sys.executable, '-c', BUSY])
            busy_processes.callback(_end, busy)
            os.sched_setaffinity(busy.pid, {processor})
        os.sched_setaffinity(process.pid, {processor})
        try:
            yield
        finally:
            # Another process may have the id of one that has ended.
            if process.is_up:
                with contextlib.suppress(ProcessLookupError):
                    os.sched_setaffinity(process.pid, before)


def _end(busy):
    """Kills a busy process.

    Its end may take long on a processor with many others, so that a caller
    that waited for it would stand still.
    """
    busy.kill()
    threading.Thread(target=busy.wait, daemon=True).start()
