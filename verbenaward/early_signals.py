"""Holds SIGHUP from the first steps of a process until its role handles it.

Nothing slow is imported here, as the default action of the signal ends the process.
"""

import signal

RECEIVED: list[int] = []
"""Numbers of the signals that were received meanwhile."""


def hold_reloads() -> None:
    """Record each SIGHUP from now on instead of ending."""
    signal.signal(signal.SIGHUP, lambda number, _: RECEIVED.append(number))


def take_held_reload() -> bool:
    """Return True if a SIGHUP was held since the last call."""
    was_held = bool(RECEIVED)
    RECEIVED.clear()
    return was_held
