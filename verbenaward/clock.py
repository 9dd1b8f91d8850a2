"""Clock of the times that the package calls monotonic."""

import time


def now() -> float:
    """Return the time since the machine was booted, in seconds.

    Unlike the monotonic clock it goes on while the machine is suspended, so a time limit that
    others count too does not end late.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
