"""Processes that failed recently, which are passed over for a while."""

from collections.abc import Iterable

UNREACHABLE_SECONDS = 2.0
"""Time after a failed request for which a process is passed over."""


class RecentFailures:
    """Processes that have failed recently, each remembered for a limited time.

    Attributes:
      failed_at: When a process last failed, monotonic, by its control address.
    """

    def __init__(self) -> None:
        self.failed_at: dict[str, float] = {}

    def record_failure(self, control: str, now: float) -> None:
        """Record that a process has failed."""
        self.failed_at[control] = now

    def working(self, order: Iterable[str], now: float) -> list[str]:
        """Drop expired failures, and return the processes without one, in the same order."""
        self.failed_at = {
            control: at for control, at in self.failed_at.items() if now - at < UNREACHABLE_SECONDS
        }
        return [control for control in order if control not in self.failed_at]

    def first(self, order: list[str], now: float) -> str:
        """Return the first process without a recent failure, or else the first.

        Args:
          order: Processes in order of preference; at least one.
          now: Present time, monotonic, in seconds.
        """
        working = self.working(order, now)
        return working[0] if working else order[0]
