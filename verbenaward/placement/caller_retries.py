"""Detects requests that are a caller's retry, from the time for which the caller still waits.

A caller states only its remaining time. Callers of one route start with different values, so a
request counts as a retry only if its remaining time is clearly below the longest that was seen
on the route lately.
"""

from dataclasses import dataclass

RETRY_REMAINING_SHARE = 0.85
"""A request with less than this share of the longest remaining time is taken for a retry."""
WINDOW_SECONDS = 30.0
"""Length of each of the two windows over which the longest remaining time is kept."""


@dataclass(slots=True)
class RollingMaximum:
    """The longest remaining time of the callers of one route, over two windows.

    Attributes:
      current: Longest in the current window, in seconds.
      previous: Longest in the window before, in seconds.
      window_started_at: When the current window began, monotonic.
    """

    current: float = 0.0
    previous: float = 0.0
    window_started_at: float = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Record the remaining time of a caller, and drop windows that have passed."""
        if now - self.window_started_at > WINDOW_SECONDS:
            self.previous = (
                self.current if now - self.window_started_at < 2 * WINDOW_SECONDS else 0.0
            )
            self.current = 0.0
            self.window_started_at = now
        self.current = max(self.current, seconds)

    @property
    def longest(self) -> float:
        """Return the longest remaining time in both windows, in seconds."""
        return max(self.current, self.previous)


class CallerRetryDetector:
    """Tells retries of callers from first attempts, route by route.

    Attributes:
      maximum_by_route: Longest remaining time of each route.
    """

    def __init__(self) -> None:
        self.maximum_by_route: dict[str, RollingMaximum] = {}

    def is_retry(self, route: str, remaining_seconds: float | None, now: float) -> bool:
        """Record a request's remaining time; return True if the request is taken for a retry.

        Args:
          route: Name of the route.
          remaining_seconds: For how long the caller still waits; None if it does not say.
          now: Present time, monotonic, in seconds.
        """
        if remaining_seconds is None:
            return False
        maximum = self.maximum_by_route.setdefault(route, RollingMaximum(window_started_at=now))
        maximum.record(remaining_seconds, now)
        return remaining_seconds < RETRY_REMAINING_SHARE * maximum.longest
