"""Reports of held chunks, sent to every VM that follows a table."""

import asyncio

import aiohttp
from aiohttp import web

from ..schema.messages import ChunksHeld
from ..waiting import is_set_within, wait_at_most
from ..wire.codec import encode

REPORT_SECONDS = 0.04
REPORT_SECONDS_PER_FOLLOWER = 0.002
KEEPALIVE_SECONDS = 0.5
SEND_TIMEOUT_SECONDS = 2.0


class HeldReporter:
    """Tells the followers of one table which chunks are held here.

    Attributes:
      digest: Digest of the table.
      held: Indexes that are held.
      fresh: Indexes that were not reported yet.
      followers: Open channels.
      uploads: Number of uploads in the queue of this process.
    """

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.held: set[int] = set()
        self.fresh: list[int] = []
        self.followers: set[web.WebSocketResponse] = set()
        self.uploads = 0
        self.wake = asyncio.Event()

    def add(self, index: int) -> None:
        """Note a chunk that is held now."""
        if index not in self.held:
            self.held.add(index)
            self.fresh.append(index)
            self.wake.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await is_set_within(self.wake, KEEPALIVE_SECONDS)
            self.wake.clear()
            await self.report(tuple(self.fresh))
            await asyncio.sleep(REPORT_SECONDS + REPORT_SECONDS_PER_FOLLOWER * len(self.followers))

    async def report(self, indexes: tuple[int, ...]) -> None:
        """Send indexes to all followers."""
        self.fresh = self.fresh[len(indexes) :]
        if not self.followers:
            return
        payload = encode(ChunksHeld(table=self.digest, held=indexes, uploads=self.uploads))
        await asyncio.gather(*(self.send(channel, payload) for channel in list(self.followers)))

    async def send(self, channel: web.WebSocketResponse, payload: bytes) -> None:
        """Send one report; a follower that does not take it is dropped."""
        try:
            await wait_at_most(channel.send_bytes(payload), SEND_TIMEOUT_SECONDS)
        except (ConnectionError, asyncio.TimeoutError, RuntimeError, aiohttp.ClientError):
            self.followers.discard(channel)

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Serve one follower until it leaves."""
        channel = web.WebSocketResponse(compress=False, heartbeat=None)
        await channel.prepare(request)
        everything = ChunksHeld(
            table=self.digest, held=tuple(sorted(self.held)), uploads=self.uploads
        )
        await channel.send_bytes(encode(everything))
        self.followers.add(channel)
        try:
            async for _ in channel:
                pass
        finally:
            self.followers.discard(channel)
        return channel
