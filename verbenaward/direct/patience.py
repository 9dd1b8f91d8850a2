"""Tells callers that come back from those that ask for the first time.

A caller says only how long it still waits. Callers of one route differ in that, so one counts
as come back only if it waits clearly less than the most patient ones that were seen lately.
"""

from dataclasses import dataclass

FIRST_SHARE = 0.85
"""Part of the longest time that callers wait which one that asks for the first time has left."""
MEMORY_SECONDS = 30.0


@dataclass(slots=True)
class LongestWait:
    """The longest time that callers of one route had left.

    Attributes:
      current: Longest in the present span.
      previous: Longest in the span before.
      began_at: When the present span began, monotonic.
    """

    current: float = 0.0
    previous: float = 0.0
    began_at: float = 0.0

    def note(self, seconds: float, now: float) -> None:
        """Note how long a caller still waits; what is old is forgotten."""
        if now - self.began_at > MEMORY_SECONDS:
            self.previous = self.current if now - self.began_at < 2 * MEMORY_SECONDS else 0.0
            self.current = 0.0
            self.began_at = now
        self.current = max(self.current, seconds)

    @property
    def longest(self) -> float:
        """Return the longest that is remembered."""
        return max(self.current, self.previous)


class Patience:
    """How long callers wait, by route.

    Attributes:
      routes: Longest wait of each route.
    """

    def __init__(self) -> None:
        self.routes: dict[str, LongestWait] = {}

    def has_come_back(self, route: str, left_seconds: float | None, now: float) -> bool:
        """Return True where a caller must have asked before.

        Args:
          route: Name of the route.
          left_seconds: How long the caller still waits; None where it does not say.
          now: Present time, monotonic, in seconds.
        """
        if left_seconds is None:
            return False
        waits = self.routes.setdefault(route, LongestWait(began_at=now))
        waits.note(left_seconds, now)
        return left_seconds < FIRST_SHARE * waits.longest
