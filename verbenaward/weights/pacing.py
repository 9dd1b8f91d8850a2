"""Rate limits for background transfers, which give way to request traffic."""

import asyncio
import time

from .. import clock

BURST_SECONDS = 0.03
"""Idle time, at most, whose unused bytes may be sent in one burst."""
LAG_PROBE_SECONDS = 0.05
"""Sleep time whose overrun is measured as the lag of the event loop."""
LAG_LIMIT_SECONDS = 0.02
MINIMUM_FACTOR = 0.1
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.15


class Pacer:
    """Delays background bytes so that a rate limit is kept.

    Bytes of requests are charged without waiting; background bytes get the remaining rate.

    Attributes:
      rate: Bytes per second; 0 for no limit.
      factor: Share of the rate that background bytes may use, from 0.1 to 1.
      free_at: Time at which the bytes accepted so far will have passed, monotonic.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.factor = 1.0
        self.free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Schedule background bytes.

        Args:
          size: Number of bytes.
          now: Present time, monotonic, in seconds.

        Returns:
          Seconds to wait until the bytes may be sent.
        """
        if not self.rate:
            return 0.0
        start = max(self.free_at, now - BURST_SECONDS)
        self.free_at = start + size / (self.rate * self.factor)
        return max(0.0, self.free_at - now)

    def charge(self, size: int, now: float) -> None:
        """Count bytes of requests, which are never delayed."""
        if self.rate:
            self.free_at = max(self.free_at, now - BURST_SECONDS) + size / self.rate

    async def acquire(self, size: int) -> None:
        """Wait until background bytes may be sent."""
        seconds = self.reserve(size, clock.now())
        if seconds > 0:
            await asyncio.sleep(seconds)


class LagThrottle:
    """Slows pacers down while requests run and the event loop lags.

    Attributes:
      pacers: The pacers to adjust.
      live_requests: Number of requests that run now.
      lag_seconds: Last measured delay of the event loop.
    """

    def __init__(self, pacers: tuple[Pacer, ...]) -> None:
        self.pacers = pacers
        self.live_requests = 0
        self.lag_seconds = 0.0

    async def run(self) -> None:
        """Measure the lag and adjust the pacers until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_PROBE_SECONDS)
            self.lag_seconds = time.monotonic() - before - LAG_PROBE_SECONDS
            self.adjust_pacers()

    def adjust_pacers(self) -> None:
        """Adjust the factor of all pacers to the last measured lag."""
        is_lagging = self.lag_seconds > LAG_LIMIT_SECONDS and self.live_requests > 0
        for pacer in self.pacers:
            if is_lagging:
                pacer.factor = max(MINIMUM_FACTOR, pacer.factor * DECREASE_FACTOR)
            else:
                pacer.factor = min(1.0, pacer.factor * INCREASE_FACTOR)
