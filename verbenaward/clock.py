"""Clock of all times that docstrings call monotonic; it counts suspensions of the machine."""

import time


def now() -> float:
    """Return the time since the machine was booted, in seconds.

    Unlike `time.monotonic` it counts the time for which the machine is suspended, so a time limit
    that other machines also count does not end late.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
