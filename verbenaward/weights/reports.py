"""Availability reports: which chunks of a table this VM holds, sent to subscribed peers."""

import asyncio

import aiohttp
from aiohttp import web

from ..schema.messages import ChunksHeld
from ..waiting import is_set_within, wait_at_most
from ..wire.codec import encode

REPORT_SECONDS = 0.04
"""Shortest time between two reports, without subscribers."""
REPORT_SECONDS_PER_SUBSCRIBER = 0.002
"""Added for each subscriber, which limits the rate of messages sent."""
KEEPALIVE_SECONDS = 0.5
"""Longest time without a report; an empty one is sent then."""
SEND_TIMEOUT_SECONDS = 2.0


class AvailabilityReporter:
    """Reports to the subscribers of one chunk table which chunks this VM holds.

    Attributes:
      digest: Digest of the table.
      held: Indexes of the chunks held.
      unreported: Indexes that no report has contained yet.
      subscribers: Open channels.
      uploads: Length of this process's upload queue, sent with each report.
      has_unreported: Set when a chunk was added.
    """

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.held: set[int] = set()
        self.unreported: list[int] = []
        self.subscribers: set[web.WebSocketResponse] = set()
        self.uploads = 0
        self.has_unreported = asyncio.Event()

    def add(self, index: int) -> None:
        """Add a chunk to the next report, unless it was added before."""
        if index not in self.held:
            self.held.add(index)
            self.unreported.append(index)
            self.has_unreported.set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await is_set_within(self.has_unreported, KEEPALIVE_SECONDS)
            self.has_unreported.clear()
            await self.send_report(tuple(self.unreported))
            await asyncio.sleep(
                REPORT_SECONDS + REPORT_SECONDS_PER_SUBSCRIBER * len(self.subscribers)
            )

    async def send_report(self, indexes: tuple[int, ...]) -> None:
        """Send the first unreported indexes to all subscribers."""
        self.unreported = self.unreported[len(indexes) :]
        if not self.subscribers:
            return
        payload = encode(ChunksHeld(table=self.digest, held=indexes, uploads=self.uploads))
        await asyncio.gather(*(self.send(channel, payload) for channel in list(self.subscribers)))

    async def send(self, channel: web.WebSocketResponse, payload: bytes) -> None:
        """Send one report; a subscriber that fails or is too slow is removed."""
        try:
            await wait_at_most(channel.send_bytes(payload), SEND_TIMEOUT_SECONDS)
        except (ConnectionError, asyncio.TimeoutError, RuntimeError, aiohttp.ClientError):
            self.subscribers.discard(channel)

    async def serve_subscriber(self, request: web.Request) -> web.WebSocketResponse:
        """Send a full report to a new subscriber and keep it subscribed until it disconnects."""
        channel = web.WebSocketResponse(compress=False, heartbeat=None)
        await channel.prepare(request)
        full_report = ChunksHeld(
            table=self.digest, held=tuple(sorted(self.held)), uploads=self.uploads
        )
        await channel.send_bytes(encode(full_report))
        self.subscribers.add(channel)
        try:
            async for _ in channel:
                pass
        finally:
            self.subscribers.discard(channel)
        return channel
