"""Reads staged chunks from the engine on this VM, several at a time if it is slow."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result, Success

from .. import clock
from ..data import HeldWeights
from ..platform.weights import LocalEngine
from .fetching import sha256
from .read_pace import ReadPace


@dataclass(frozen=True, slots=True)
class ChunkRead:
    """A read of a staged chunk that has ended.

    Attributes:
      index: Index of the chunk.
      started_at: When the read began, monotonic: the chunk may have changed since.
      digest: SHA-256 of the staged chunk, None if none is staged, or why it could not be read.
    """

    index: int
    started_at: float
    digest: Result[bytes | None, str]


class ChunkReads:
    """Reads staged chunks at the pace that suits the engine.

    Attributes:
      engine: Port to the engine.
      pace: How many reads may run at the same time.
    """

    def __init__(self, engine: LocalEngine) -> None:
        self.engine = engine
        self.pace = ReadPace()

    async def read_while(
        self,
        weights: HeldWeights,
        total: int,
        next_index: Callable[[set[int]], int | None],
        handle: Callable[[ChunkRead], bool],
    ) -> None:
        """Read chunks until none is left to read, or the handler of a read ends it.

        Args:
          weights: The weights.
          total: Number of their chunks.
          next_index: Returns the next chunk to read, given those that are being read; None for
            none.
          handle: Takes each read that has ended; False to end, which cancels the running ones.
        """
        running: dict[asyncio.Task[ChunkRead], int] = {}
        self.pace.start(clock.now())
        goes_on = True
        try:
            while goes_on:
                while len(running) < self.pace.parallel:
                    index = next_index({*running.values()})
                    if index is None:
                        break
                    running[asyncio.create_task(self.read(weights, total, index))] = index
                if not running:
                    return
                ended, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for task in ended:
                    del running[task]
                    goes_on = handle(task.result()) and goes_on
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def read(self, weights: HeldWeights, total: int, index: int) -> ChunkRead:
        """Read one chunk and adapt the pace."""
        started_at = clock.now()
        result = await self.engine.staged_chunk(weights.model, index)
        now = clock.now()
        if isinstance(result, Success):
            size = len(result.unwrap() or b"")
            self.pace.record_read(total, now - started_at, size, now)
        else:
            self.pace.record_failure(now)
        return ChunkRead(index, started_at, result.map(lambda body: body and sha256(body)))
