"""How old the check of a staged chunk may be when the engine is ordered to load it."""

from collections.abc import Mapping

from ..platform.weights import ENGINE_TIMEOUT_SECONDS

EXCUSED_SECONDS = 3.0
"""A chunk that turned bad less than this before the engine accepted the order counts as sound, by
the platform's rule WHOLE."""
MAXIMUM_CHECK_AGE_SECONDS = EXCUSED_SECONDS - ENGINE_TIMEOUT_SECONDS
"""Greatest age of a check when an order is sent: the engine may accept it until the call ends. A
check is as old as the beginning of its read, as it is not known when the engine read the chunk."""
NEVER = float("-inf")
"""Beginning of a check that has not taken place, monotonic."""


def next_to_check(checked_at: Mapping[int, float], read_seconds: float, now: float) -> int | None:
    """Return the chunk whose check is the oldest; None if no check will be too old soon.

    Args:
      checked_at: Beginning of the last check of each chunk that may be read, monotonic.
      read_seconds: Time that a read takes: a check that becomes too old meanwhile is repeated too.
      now: Present time, monotonic, in seconds.
    """
    if not checked_at:
        return None
    oldest = min(checked_at, key=lambda index: (checked_at[index], index))
    age = now + read_seconds - checked_at[oldest]
    return oldest if age > MAXIMUM_CHECK_AGE_SECONDS else None
