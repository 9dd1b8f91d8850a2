"""Limits the sends of all entry processes to one backend, at the process that owns its limit."""

import random
from collections import OrderedDict

IDLE_CREDIT_SECONDS = 0.25
"""Idle time that sends may make up for; it covers the time until the next request comes."""
MINIMUM_PER_SECOND = 0.2
"""Sends a second to a backend that names a lower limit: only an answer shows that it has ended."""
ASKER_SECONDS = 5.0
"""Time for which a process counts as one that wants to send to the backend."""
ASKS_PER_GRANT = 2.0
ASKS_PER_SECOND = 10.0
"""Refused processes return at intervals that make about `ASKS_PER_GRANT` times the limit, and
`ASKS_PER_SECOND`, in a second, however many they are."""
MAXIMUM_SPREAD_SECONDS = 10.0
"""Longest random extension of the time after which a refused process asks again."""
KEPT_LIMITERS = 1024
"""Backends whose last sends are remembered; the ones that were used first are dropped first."""


class SendLimiter:
    """Spaces the sends to one backend evenly.

    Attributes:
      next_at: Time of the next send if it was not preceded by idle time, monotonic.
      asked_at: When each process last asked, by its control address, monotonic.
    """

    def __init__(self, now: float) -> None:
        self.next_at = now
        self.asked_at: dict[str, float] = {}

    def acquire(self, per_second: float, asker: str, now: float, spread_share: float) -> float:
        """Take a send if there is one now.

        Args:
          per_second: Limit of the backend.
          asker: Control address of the process that would send.
          now: Present time, monotonic, in seconds.
          spread_share: Random number from 0 to 1 that spreads the processes that ask again.

        Returns:
          0 if the process may send now, else the time after which it should ask again, in seconds.
        """
        rate = max(MINIMUM_PER_SECOND, per_second)
        interval = 1.0 / rate
        # After the limit has risen, the interval of the old one does not count any more.
        self.next_at = min(self.next_at, now + IDLE_CREDIT_SECONDS + interval)
        wait = self.next_at - IDLE_CREDIT_SECONDS - now
        self.asked_at[asker] = now
        if wait > 0:
            return wait + spread_share * self.spread_seconds(rate, now)
        self.next_at = max(self.next_at, now) + interval
        return 0.0

    def spread_seconds(self, rate: float, now: float) -> float:
        """Return the time over which the processes that are refused now ask again."""
        for asker, at in list(self.asked_at.items()):
            if now - at > ASKER_SECONDS + MAXIMUM_SPREAD_SECONDS:
                del self.asked_at[asker]
        spread = len(self.asked_at) / (ASKS_PER_GRANT * rate + ASKS_PER_SECOND)
        return min(MAXIMUM_SPREAD_SECONDS, spread)


class SendLimiters:
    """The limiters of all backends whose limits this process owns or has owned.

    Attributes:
      by_name: Limiters by the name of the incarnation in broadcasts.
      rng: Spreads the processes that ask again.
    """

    def __init__(self) -> None:
        self.by_name: OrderedDict[int, SendLimiter] = OrderedDict()
        self.rng = random.Random()

    def acquire(self, name: int, per_second: float, asker: str, now: float) -> float:
        """Take a send to an incarnation of a backend, as `SendLimiter.acquire`."""
        limiter = self.by_name.get(name)
        if limiter is None:
            limiter = self.by_name[name] = SendLimiter(now)
            while len(self.by_name) > KEPT_LIMITERS:
                self.by_name.popitem(last=False)
        return limiter.acquire(per_second, asker, now, self.rng.random())
