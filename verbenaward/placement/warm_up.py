"""Warm-up of cold backends: until when they are cold, and how many requests a second they take.

A cold backend that gets many more requests than its service declares crashes. Each process learns
from registrations, answers and ended evacuations which backends are cold, and reports only these
to the owner of the limit. Relaying received reports as well would extend the warm-up at each hop.
"""

import math
from dataclasses import dataclass

from ..logs import get_logger

LOG = get_logger(__name__)
LATE_SECONDS = 5.0
"""Greatest age of a registration for which its remaining cold time is taken as certain. Processes
that follow the store know a change within 2 s; one that starts or was cut off may read a
registration that has been there for hours."""


@dataclass(slots=True, eq=False)
class WarmUp:
    """Warm-up of one incarnation of a backend.

    Attributes:
      per_second: Requests a second from all processes together that its service declares for cold
        backends; infinite for no limit.
      until: Time until which this process counts it as cold, monotonic; 0 for never.
      certain_until: The same, from sources that are reported to the owner of the limit.
    """

    per_second: float = math.inf
    until: float = 0.0
    certain_until: float = 0.0

    def is_active(self, now: float) -> bool:
        """Return True if the backend is cold and its service declares a rate for that."""
        return now < self.limited_until

    @property
    def limited_until(self) -> float:
        """Time until which the rate applies, monotonic; 0 if the service declares none."""
        return self.until if self.per_second < math.inf else 0.0

    def limit_per_second(self, now: float) -> float:
        """Return how many requests a second it takes now; infinite for no limit."""
        return self.per_second if now < self.until else math.inf

    def record_cold(self, seconds: float, now: float) -> None:
        """Record that the backend is cold for some time from now; a longer time stays."""
        self.certain_until = max(self.certain_until, now + seconds if seconds else 0.0)
        self.until = max(self.until, self.certain_until)

    def record_registration(self, seconds: float, learned_after: float, now: float) -> None:
        """Record the cold time in a registration.

        It counts from now, as the time of writing is known as a lower bound only.

        Args:
          seconds: Remaining cold time when the registration was written; 0 for none.
          learned_after: Time, monotonic, that was not later than the acknowledgement of the
            registration; minus infinity if unknown.
          now: Present time, monotonic, in seconds.
        """
        if now - learned_after <= LATE_SECONDS:
            self.record_cold(seconds, now)
        elif seconds:
            self.until = max(self.until, now + seconds)

    def record_report(self, seconds: float, now: float) -> None:
        """Record for how long the backend is cold as another process has found; 0 for not known."""
        if seconds:
            self.until = max(self.until, now + seconds)

    def certain_seconds(self, now: float) -> float:
        """Return for how long it is cold, as the owner of the limit is told; 0 if it is not."""
        return max(0.0, self.certain_until - now)


def rate_while_cold(declared: float) -> float:
    """Return the limit on requests a second for a declared rate, of which 0 stands for no limit."""
    return declared or math.inf


class WarmUpLog:
    """Writes a log line when a warm-up begins or ends.

    Attributes:
      active: Identities of the backends that were warming up at the last call.
    """

    def __init__(self) -> None:
        self.active: frozenset[str] = frozenset()

    def update(self, warm_ups: dict[str, WarmUp], now: float) -> int:
        """Log what has changed, and return the number of backends that are warming up.

        Args:
          warm_ups: Warm-ups of all backends in use, by identity.
          now: Present time, monotonic, in seconds.
        """
        active = {identity for identity, item in warm_ups.items() if item.is_active(now)}
        for identity in sorted(active - self.active):
            item = warm_ups[identity]
            seconds = round(item.until - now, 3)
            LOG.info(
                "backend.warming-up", backend=identity, per_second=item.per_second, seconds=seconds
            )
        for identity in sorted(self.active - active):
            if identity in warm_ups:
                LOG.info("backend.warm", backend=identity)
        self.active = frozenset(active)
        return len(active)
