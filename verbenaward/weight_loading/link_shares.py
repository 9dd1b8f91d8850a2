"""Parts of this VM's link that fetches of chunks use at the same time."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

PARALLEL_FETCHES = 3
"""Chunks fetched at the same time."""
PARTS = 3
"""Parts of the link's rate, of which a fetch gets one or more."""
MAXIMUM_PARTS = 2
"""Most parts of one fetch. While no other chunk is available, as after the return of the origin,
each is fetched faster; the last part is left for a second fetch, so that the link is not idle
between two. Otherwise each gets one part."""


class LinkShares:
    """Divides the link among running fetches; their sum never exceeds its rate.

    Attributes:
      free: Parts that no fetch uses.
      changed: Notified when a fetch ends.
    """

    def __init__(self) -> None:
        self.free = PARTS
        self.changed = asyncio.Condition()

    @asynccontextmanager
    async def share(self, wanted: int) -> AsyncIterator[float]:
        """Wait for a free part, and hold up to the wanted ones; yields the share of the link."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.free)
            parts = min(self.free, wanted)
            self.free -= parts
        try:
            yield parts / PARTS
        finally:
            self.free += parts
            async with self.changed:
                self.changed.notify_all()
