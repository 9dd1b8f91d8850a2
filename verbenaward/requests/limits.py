"""Adaptive concurrency limit: grows while requests succeed, shrinks when endpoints are full."""

from dataclasses import dataclass

DECREASE_FACTOR = 0.98
"""Factor by which a rejection lowers the limit."""
INCREASE_PER_LIMIT = 1.0
"""Increase of the limit over as many successful requests as the limit allows at once."""
DECREASE_INTERVAL_SECONDS = 0.1
"""Shortest time between two decreases, so that a burst of rejections counts once."""


@dataclass(slots=True)
class AdaptiveLimit:
    """Concurrency limit with additive increase and multiplicative decrease (AIMD).

    Attributes:
      value: Number of requests that may run at once.
      minimum: Lower bound of the limit.
      maximum: Upper bound of the limit.
      decreased_at: Time of the last decrease, monotonic.
    """

    value: float
    minimum: float
    maximum: float
    decreased_at: float = 0.0

    def record_success(self, running: int) -> None:
        """Raise the limit after a successful request, if the limit was nearly reached."""
        if running >= self.value - 1:
            self.value = min(self.maximum, self.value + INCREASE_PER_LIMIT / self.value)

    def record_rejection(self, now: float) -> None:
        """Lower the limit after an endpoint rejected a request for lack of capacity.

        Args:
          now: Current time, monotonic, in seconds.
        """
        if now - self.decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self.decreased_at = now
        self.value = max(self.minimum, self.value * DECREASE_FACTOR)
