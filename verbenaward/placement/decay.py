"""Moving averages that return to their resting value while no sample is recorded."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DecayingAverage:
    """Rules of a moving average; its value and the time of that are kept by its user.

    Without the decay, a value that keeps samples away would stay for good.

    Attributes:
      resting: Value without any sample.
      weight: Weight of a new sample.
      half_life_seconds: Time in which the difference from the resting value halves.
    """

    resting: float
    weight: float
    half_life_seconds: float

    def decayed(self, value: float, recorded_at: float, now: float) -> float:
        """Return a value that was recorded at a time, as it counts now.

        Args:
          value: Value at that time.
          recorded_at: The time, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        half_lives = max(0.0, now - recorded_at) / self.half_life_seconds
        return self.resting + (value - self.resting) * float(0.5**half_lives)

    def updated(self, value: float, sample: float) -> float:
        """Return a value after one more sample."""
        return value + self.weight * (sample - value)
