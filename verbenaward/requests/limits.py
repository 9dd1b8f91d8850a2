"""Adaptive concurrency limit: grows while endpoints take work, falls when they refuse."""

from dataclasses import dataclass

DECREASE = 0.98
INCREASE = 1.0
DECREASE_INTERVAL_SECONDS = 0.1


@dataclass(slots=True)
class AdaptiveLimit:
    """Additive increase and multiplicative decrease.

    Attributes:
      value: Requests that may run at once.
      minimum: Lowest value.
      maximum: Highest value.
      decreased_at: Time of the last decrease, monotonic.
    """

    value: float
    minimum: float
    maximum: float
    decreased_at: float = 0.0

    def note_success(self, running: int) -> None:
        """Raise the limit after an answer, where it was in use."""
        if running >= self.value - 1:
            self.value = min(self.maximum, self.value + INCREASE / self.value)

    def note_refusal(self, now: float) -> None:
        """Lower the limit after an endpoint refused for lack of room.

        Args:
          now: Present time, monotonic, in seconds.
        """
        if now - self.decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self.decreased_at = now
        self.value = max(self.minimum, self.value * DECREASE)
