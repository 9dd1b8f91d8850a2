"""News between entry processes: eager pushes, repaired by a slow exchange of summaries."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Success

from ..schema.messages import (
    Acknowledgement,
    Crash,
    DirectoryBuckets,
    DirectorySummary,
    Gossip,
    Member,
)
from ..wire.rpc import call
from .directory import Directory
from .own_record import OwnRecord

FANOUT = 3
URGENT_FANOUT = 16
BATCH_SECONDS = 0.03
SUMMARY_SECONDS = 5.0
MAXIMUM_MEMBERS_PER_PUSH = 1000


class Gossiper:
    """Spreads new records to other entry processes.

    Attributes:
      directory: What this process knows.
      own: Record of this process.
      on_revision: Called with the address and revision of a peer.
      on_crash: Called with each crash that a peer reports; True where it was new.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        directory: Directory,
        own: OwnRecord,
        on_revision: Callable[[str, int], Awaitable[None]],
        on_crash: Callable[[Crash, float], bool],
    ) -> None:
        self.session = session
        self.directory = directory
        self.own = own
        self.on_revision = on_revision
        self.on_crash = on_crash
        self.pending: dict[str, Member] = {}
        self.pending_crashes: dict[bytes, Crash] = {}
        self.announce_revision = False
        self.has_news = asyncio.Event()
        self.random = random.Random()
        directory.listeners.append(self.note)

    def note(self, member: Member) -> None:
        """Queue a changed record for the next push."""
        self.pending[member.vm] = member
        self.has_news.set()

    def note_revision(self) -> None:
        """Queue the revision in force for the next push."""
        self.announce_revision = True
        self.has_news.set()

    def note_crash(self, crash: Crash) -> None:
        """Queue a crash for the next push."""
        self.pending_crashes[crash.fingerprint] = crash
        self.has_news.set()

    async def run_pushes(self) -> None:
        """Push news whenever there are any, until cancelled."""
        while True:
            await self.has_news.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self.has_news.clear()
            await self.push(self.take_batch())

    def take_batch(self) -> Gossip:
        """Return the queued news as one message."""
        batch = list(self.pending.values())[:MAXIMUM_MEMBERS_PER_PUSH]
        for member in batch:
            del self.pending[member.vm]
        if self.pending:
            self.has_news.set()
        crashes = tuple(self.pending_crashes.values())
        self.pending_crashes.clear()
        return Gossip(
            members=tuple(batch),
            revision=self.own.member.revision,
            sender=self.own.member.address,
            suspects=crashes,
        )

    async def push(self, news: Gossip) -> None:
        """Send news to a few random entry processes."""
        peers = self.pick_peers(FANOUT)
        await asyncio.gather(
            *(call(self.session, peer.address, news, Acknowledgement) for peer in peers)
        )

    async def push_wide(self, news: Gossip) -> None:
        """Send urgent news to all other entry processes, or to many where there are many."""
        peers = self.pick_peers(URGENT_FANOUT)
        await asyncio.gather(
            *(call(self.session, peer.address, news, Acknowledgement) for peer in peers)
        )

    def pick_peers(self, count: int) -> list[Member]:
        """Return random other entry processes."""
        others = [item for item in self.directory.entries() if item.vm != self.own.member.vm]
        return self.random.sample(others, min(count, len(others)))

    async def handle_gossip(self, news: Gossip) -> Acknowledgement:
        """Take over news; whatever is new is pushed on."""
        now = time.monotonic()
        for member in news.members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)
        for crash in news.suspects:
            if self.on_crash(crash, now):
                self.note_crash(crash)
        await self.on_revision(news.sender, news.revision)
        return Acknowledgement(revision=self.own.member.revision)

    async def run_summaries(self) -> None:
        """Compare directories with a random peer from time to time, until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_SECONDS * self.random.uniform(0.7, 1.3))
            for peer in self.pick_peers(1):
                await self.compare(peer.address)

    async def compare(self, address: str) -> None:
        """Fetch the records of all buckets in which a peer differs."""
        summary = DirectorySummary(buckets=self.directory.summary())
        result = await call(self.session, address, summary, DirectoryBuckets)
        if not isinstance(result, Success):
            return
        now = time.monotonic()
        for member in result.unwrap().members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)

    async def handle_summary(self, summary: DirectorySummary) -> DirectoryBuckets:
        """Answer the records of the buckets that differ."""
        return DirectoryBuckets(members=self.directory.differing(summary.buckets))
