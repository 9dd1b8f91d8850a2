"""Chunks and digests in the memory of an entry process."""

import asyncio
from collections import OrderedDict

from .chunk_events import DIGESTS_INDEX, ChunkEvents, ChunkKey

MAXIMUM_CACHE_BYTES = 12 * 1024 * 1024
"""Memory for cached chunks and digests."""


class ChunkCache:
    """Verified chunks, with least-recently-used eviction; calls can wait for one to be added.

    Attributes:
      bodies: Chunks and digests by key, the least recently used one first.
      size_bytes: Bytes cached now.
      arrivals: Wakes the calls that wait for a chunk to be added.
    """

    def __init__(self) -> None:
        self.bodies: OrderedDict[ChunkKey, bytes] = OrderedDict()
        self.size_bytes = 0
        self.arrivals = ChunkEvents()

    def __contains__(self, key: ChunkKey) -> bool:
        return key in self.bodies

    def get(self, key: ChunkKey) -> bytes | None:
        """Return a chunk and make it the most recently used one; None if it is not cached."""
        body = self.bodies.get(key)
        if body is not None:
            self.bodies.move_to_end(key)
        return body

    def add(self, key: ChunkKey, body: bytes) -> None:
        """Cache a chunk, and evict the least recently used ones over `MAXIMUM_CACHE_BYTES`."""
        self.size_bytes += len(body) - len(self.bodies.get(key, b""))
        self.bodies[key] = body
        self.bodies.move_to_end(key)
        self.arrivals.happen(key)
        while self.size_bytes > MAXIMUM_CACHE_BYTES:
            _, evicted = self.bodies.popitem(last=False)
            self.size_bytes -= len(evicted)

    def remove(self, key: ChunkKey) -> None:
        """Remove a chunk, if it is cached."""
        self.size_bytes -= len(self.bodies.pop(key, b""))

    def indexes(self, model: str, version: int) -> frozenset[int]:
        """Return the indexes of the cached chunks of a version."""
        return frozenset(
            key.index
            for key in self.bodies
            if key.model == model and key.version == version and key.index != DIGESTS_INDEX
        )

    async def wait(self, key: ChunkKey, seconds: float) -> bytes | None:
        """Return a chunk once it is added; None if that takes too long."""
        if key not in self.bodies:
            arrival = self.arrivals.next(key)
            try:
                async with asyncio.timeout(seconds):
                    await arrival.wait()
            except TimeoutError:
                return None
        return self.get(key)
