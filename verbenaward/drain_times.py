"""Times of a graceful stop: until when requests are accepted and answered."""

from dataclasses import dataclass

LINGER_SECONDS = 3.0
"""Time after the order to stop in which requests are still accepted: callers cache addresses."""
EXIT_RESERVE_SECONDS = 0.5
"""Part of the grace period that is kept for stopping the process."""
DEADLINE_MARGIN_SECONDS = 0.1
"""A request ends this much before the time at which all that is left is answered."""


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Times of one graceful stop, monotonic, in seconds.

    Attributes:
      closes_at: From then on every request is refused.
      answers_at: When every request that still runs is answered that it may have run.
    """

    closes_at: float
    answers_at: float

    @classmethod
    def begun(
        cls, now: float, grace_seconds: float, linger_seconds: float = LINGER_SECONDS
    ) -> "DrainTimes":
        """Return the times of a stop that begins now.

        Args:
          now: Present time.
          grace_seconds: Time from now until the process is killed.
          linger_seconds: Longest time for which requests are still accepted.
        """
        seconds = grace_seconds - min(EXIT_RESERVE_SECONDS, grace_seconds / 4)
        return cls(now + min(linger_seconds, seconds / 2), now + seconds)

    def accepts(self, now: float, needed_seconds: float = 0.0) -> bool:
        """Return True if a request may still be accepted.

        Args:
          now: Present time.
          needed_seconds: Time that such a request usually takes.
        """
        return now < self.closes_at and now + needed_seconds <= self.deadline(self.answers_at)

    def deadline(self, deadline: float) -> float:
        """Return the deadline of a request that is accepted during the stop."""
        return min(deadline, self.answers_at - DEADLINE_MARGIN_SECONDS)
