"""A clock that also advances while the host is suspended."""

import time


def now() -> float:
    """Returns seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
