"""Processes that failed recently, which are passed over for a while."""

import math
from collections.abc import Iterable

UNREACHABLE_SECONDS = 2.0
"""Time after a failed request for which a process is passed over."""
SILENT_SECONDS = 1.5
"""Time without any answer after which a process that is late with one counts as failed. The same
holds for the sources of copies."""


class RecentFailures:
    """Processes that have failed recently, each remembered for a limited time.

    Attributes:
      failed_at: When a process last failed, monotonic, by its control address.
      answered_at: When a process last answered, monotonic, by its control address.
    """

    def __init__(self) -> None:
        self.failed_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}

    def record_failure(self, control: str, now: float) -> None:
        """Record that a process has failed."""
        self.failed_at[control] = now

    def record_answer(self, control: str, now: float) -> None:
        """Record that a process has answered."""
        self.answered_at[control] = now

    def record_late(self, control: str, now: float) -> None:
        """Record that an answer did not come in time; a failure if no other one came lately.

        A process that answers others is only busy, for example as all processes have started at
        the same time on a slow VM. The next one would have to get the same, over a longer way.
        """
        if now - self.answered_at.get(control, -math.inf) > SILENT_SECONDS:
            self.record_failure(control, now)

    def working(self, order: Iterable[str], now: float) -> list[str]:
        """Drop what has expired, and return the processes without a failure, in the same order."""
        self.failed_at = {
            control: at for control, at in self.failed_at.items() if now - at < UNREACHABLE_SECONDS
        }
        self.answered_at = {
            control: at for control, at in self.answered_at.items() if now - at <= SILENT_SECONDS
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
