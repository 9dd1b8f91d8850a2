"""Pacing of background transfers, which yield to live requests."""

import asyncio
import time

BURST_SECONDS = 0.03
LAG_PROBE_SECONDS = 0.05
LAG_LIMIT_SECONDS = 0.02
SLOWEST_FACTOR = 0.1
SLOW_DOWN = 0.7
SPEED_UP = 1.15


class Pacer:
    """Spaces bytes in time so that a rate is kept.

    Live bytes are charged without waiting, so that background bytes get what is left.

    Attributes:
      rate: Bytes a second; 0 for no limit.
      factor: Share of the rate that background bytes may use, from 0.1 to 1.
      free_at: Time at which the bytes taken so far are through, monotonic.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.factor = 1.0
        self.free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Take room for background bytes.

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
        """Count live bytes, which go first."""
        if self.rate:
            self.free_at = max(self.free_at, now - BURST_SECONDS) + size / self.rate

    async def acquire(self, size: int) -> None:
        """Wait until background bytes may be sent."""
        seconds = self.reserve(size, time.monotonic())
        if seconds > 0:
            await asyncio.sleep(seconds)


class LoadWatch:
    """Slows pacers down while this process is late in serving its own events.

    Attributes:
      pacers: The pacers to steer.
      live_requests: Number of live requests that run now.
      lag_seconds: Last measured delay of the event loop.
    """

    def __init__(self, pacers: tuple[Pacer, ...]) -> None:
        self.pacers = pacers
        self.live_requests = 0
        self.lag_seconds = 0.0

    async def run(self) -> None:
        """Measure and steer until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_PROBE_SECONDS)
            self.lag_seconds = time.monotonic() - before - LAG_PROBE_SECONDS
            self.steer()

    def steer(self) -> None:
        """Adjust the factor of all pacers to the last measurement."""
        is_late = self.lag_seconds > LAG_LIMIT_SECONDS and self.live_requests > 0
        for pacer in self.pacers:
            if is_late:
                pacer.factor = max(SLOWEST_FACTOR, pacer.factor * SLOW_DOWN)
            else:
                pacer.factor = min(1.0, pacer.factor * SPEED_UP)
