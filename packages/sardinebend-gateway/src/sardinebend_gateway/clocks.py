"""The clock that counts the time during which a host was suspended."""

import time


def now() -> float:
    """Returns seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
