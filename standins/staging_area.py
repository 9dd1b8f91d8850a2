"""Stand-in for the staging area of an engine, whose chunks may turn bad, with slow reads."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from aiohttp import web

MANY_READS = 1000
"""Reads at the same time that no test exceeds."""


class StagingAreaStandIn:
    """Staged chunks of one model.

    Attributes:
      chunks: Staged chunks by index.
      turned_bad_at: When chunks that were valid turned bad, by index, monotonic.
      read_seconds: Time for which the engine works on a read; the chunk is that of its beginning.
      workers: Held by each read that it works on; others wait.
      on_read: Called with the index of each chunk that was read, before it is returned.
      unreadable: Number of the next reads of a chunk that get status 503, by its index.
      failed: Chunks of which reads got it; those that are staged again can be read.
      reads: Indexes of all chunks that were read, in order.
      puts: Number of chunks that were staged over HTTP.
      waiting: Reads that run or wait.
      most_waiting: Greatest number of them.
    """

    def __init__(self) -> None:
        self.chunks: dict[int, bytes] = {}
        self.turned_bad_at: dict[int, float] = {}
        self.read_seconds = 0.0
        self.workers = asyncio.Semaphore(MANY_READS)
        self.on_read: Callable[[int], None] = lambda index: None
        self.unreadable: Counter[int] = Counter()
        self.failed: set[int] = set()
        self.reads: list[int] = []
        self.puts = 0
        self.waiting = 0
        self.most_waiting = 0

    async def put(self, request: web.Request) -> web.Response:
        """Store a staged chunk."""
        index = int(request.query["sample_count"])
        self.chunks[index] = await request.read()
        self.turned_bad_at.pop(index, None)
        if index in self.failed:
            self.unreadable.pop(index, None)
        self.puts += 1
        return web.Response()

    async def get(self, request: web.Request) -> web.Response:
        """Return a staged chunk, or 404, after the time that it takes."""
        index = int(request.query["sample_count"])
        self.waiting += 1
        self.most_waiting = max(self.most_waiting, self.waiting)
        try:
            async with self.workers:
                chunk = self.chunks.get(index)
                await asyncio.sleep(self.read_seconds)
        finally:
            self.waiting -= 1
        if chunk is not None and self.unreadable[index]:
            self.unreadable[index] -= 1
            self.failed.add(index)
            return web.Response(status=503)
        self.reads.append(index)
        self.on_read(index)
        return web.Response(status=404) if chunk is None else web.Response(body=chunk)

    def spoil(self, indexes: list[int]) -> None:
        """Turn chunks bad that were valid."""
        for index in indexes:
            body = self.chunks[index]
            self.chunks[index] = bytes([body[0] ^ 255]) + body[1:]
            self.turned_bad_at.setdefault(index, time.monotonic())

    def bad_seconds(self) -> dict[int, float]:
        """Return for how long chunks that have turned bad have been so, by index."""
        now = time.monotonic()
        return {index: now - since for index, since in self.turned_bad_at.items()}
