"""Chunks that an endpoint process still needs, and which of them entry processes have available.

Only chunks that are available take part of the link's rate: a chunk that waits for the origin keeps
no other from being fetched.
"""

import asyncio
import heapq
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

MAXIMUM_WAITS = 48
"""Chunks that entry processes are asked for at the same time, without their bytes."""
REFUSALS_PER_ENTRY = 4
"""Refusals after which the next entry process is asked, as the first may not reach the owner. They
take 8 s, as each further entry process that is asked waits at the owners too."""

Locate = Callable[[int, int], Awaitable[str | None]]
"""Returns the entry process that has a chunk available, or None if that takes too long. Its
arguments are the index of the chunk and the number of earlier failures."""


@dataclass(frozen=True, slots=True, order=True)
class ArrivedChunk:
    """A chunk that an entry process has available.

    Attributes:
      position: Position in the order in which the chunks are fetched.
      index: Index of the chunk.
      entry: Control address of the entry process.
      failures: Failed attempts to get it.
    """

    position: int
    index: int
    entry: str
    failures: int


class ChunkArrivals:
    """Waits for the missing chunks of a version at their entry processes.

    Attributes:
      locate: Finds the entry process that has a chunk available.
      wanted: Heap of the chunks that are not available, as rounds of attempts, position and index.
      arrived: Heap of the chunks that are available and not fetched yet.
      unfinished: Number of chunks that are not done.
      changed: Notified of each change.
      waits: Running tasks.
    """

    def __init__(self, indexes: Sequence[int], locate: Locate) -> None:
        """Set what is wanted.

        Args:
          indexes: Missing chunks in the order in which they are fetched.
          locate: Finds the entry process that has a chunk available.
        """
        self.locate = locate
        self.wanted = [(0, position, index) for position, index in enumerate(indexes)]
        self.arrived: list[ArrivedChunk] = []
        self.unfinished = len(indexes)
        self.changed = asyncio.Condition()
        self.waits: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to wait for chunks."""
        count = min(MAXIMUM_WAITS, len(self.wanted))
        self.waits = [asyncio.create_task(self.wait()) for _ in range(count)]

    def close(self) -> None:
        """Stop waiting."""
        for task in self.waits:
            task.cancel()

    async def wait(self) -> None:
        """Wait for one wanted chunk after another until all are done."""
        while True:
            async with self.changed:
                await self.changed.wait_for(lambda: self.wanted or not self.unfinished)
                if not self.unfinished:
                    return
                failures, position, index = heapq.heappop(self.wanted)
            entry = await self.locate(index, failures)
            async with self.changed:
                if entry is None:
                    heapq.heappush(self.wanted, (failures + 1, position, index))
                else:
                    heapq.heappush(self.arrived, ArrivedChunk(position, index, entry, failures))
                self.changed.notify_all()

    async def next(self) -> ArrivedChunk | None:
        """Return the next chunk that is available; None once all are done."""
        async with self.changed:
            await self.changed.wait_for(lambda: self.arrived or not self.unfinished)
            return heapq.heappop(self.arrived) if self.arrived else None

    async def finish(self, chunk: ArrivedChunk, is_staged: bool) -> None:
        """Record that a chunk is done, or return it to the wanted ones."""
        async with self.changed:
            if is_staged:
                self.unfinished -= 1
            else:
                heapq.heappush(self.wanted, (chunk.failures + 1, chunk.position, chunk.index))
            self.changed.notify_all()
