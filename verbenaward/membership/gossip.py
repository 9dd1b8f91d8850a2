"""Gossip between entry processes: changes are pushed at once, and anti-entropy repairs losses."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Success

from .. import clock
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
"""Random peers that get each push."""
URGENT_FANOUT = 16
"""Random peers that get an urgent push."""
BATCH_SECONDS = 0.03
"""Delay of a push, in which further changes join it."""
ANTI_ENTROPY_SECONDS = 5.0
"""Mean interval of the comparisons with a random peer."""
MAXIMUM_MEMBERS_PER_PUSH = 1000
"""Further records wait for the next push."""


class Gossiper:
    """Spreads changed records, crashes and the configuration revision to other entry processes.

    Attributes:
      directory: Records of all processes known here.
      own: Record of this process.
      on_revision: Called with the address and the configuration revision of a peer.
      on_crash: Called with each crash that a peer reports; returns True if it was new.
      pending: Records that wait for the next push, by VM.
      pending_crashes: Crashes that wait for the next push, by fingerprint.
      announce_revision: True once the revision in force has changed. Not read: every push carries
        the revision.
      has_pending: Set while something waits for a push.
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
        self.has_pending = asyncio.Event()
        self.rng = random.Random()
        directory.listeners.append(self.queue_member)

    def queue_member(self, member: Member) -> None:
        """Queue a changed record for the next push."""
        self.pending[member.vm] = member
        self.has_pending.set()

    def queue_revision(self) -> None:
        """Request a push with the configuration revision in force."""
        self.announce_revision = True
        self.has_pending.set()

    def queue_crash(self, crash: Crash) -> None:
        """Queue a crash for the next push."""
        self.pending_crashes[crash.fingerprint] = crash
        self.has_pending.set()

    async def run_pushes(self) -> None:
        """Push queued changes, in batches, until cancelled."""
        while True:
            await self.has_pending.wait()
            await asyncio.sleep(BATCH_SECONDS)
            self.has_pending.clear()
            await self.push(self.next_batch())

    def next_batch(self) -> Gossip:
        """Remove the next batch from the queue and return it as one message."""
        batch = list(self.pending.values())[:MAXIMUM_MEMBERS_PER_PUSH]
        for member in batch:
            del self.pending[member.vm]
        if self.pending:
            self.has_pending.set()
        crashes = tuple(self.pending_crashes.values())
        self.pending_crashes.clear()
        return Gossip(
            members=tuple(batch),
            revision=self.own.member.revision,
            sender=self.own.member.address,
            # The field `suspects` carries crashes of requests, not suspect members.
            suspects=crashes,
        )

    async def push(self, message: Gossip) -> None:
        """Send a message to a few random entry processes."""
        peers = self.pick_peers(FANOUT)
        await asyncio.gather(
            *(call(self.session, peer.address, message, Acknowledgement) for peer in peers)
        )

    async def push_urgent(self, message: Gossip) -> None:
        """Send an urgent message to all other entry processes, at most URGENT_FANOUT of them."""
        peers = self.pick_peers(URGENT_FANOUT)
        await asyncio.gather(
            *(call(self.session, peer.address, message, Acknowledgement) for peer in peers)
        )

    def pick_peers(self, count: int) -> list[Member]:
        """Return up to `count` random other entry processes."""
        others = [item for item in self.directory.entries() if item.vm != self.own.member.vm]
        return self.rng.sample(others, min(count, len(others)))

    async def handle_gossip(self, message: Gossip) -> Acknowledgement:
        """Merge the gossip of a peer; what was new here is queued for the next push."""
        now = clock.now()
        for member in message.members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)
        for crash in message.suspects:
            if self.on_crash(crash, now):
                self.queue_crash(crash)
        await self.on_revision(message.sender, message.revision)
        return Acknowledgement(revision=self.own.member.revision)

    async def run_anti_entropy(self) -> None:
        """Run anti-entropy: fetch what differs from a random peer's directory, until cancelled."""
        while True:
            await asyncio.sleep(ANTI_ENTROPY_SECONDS * self.rng.uniform(0.7, 1.3))
            for peer in self.pick_peers(1):
                await self.reconcile(peer.address)

    async def reconcile(self, address: str) -> None:
        """Send the summary to a peer and merge its records of the buckets that differ."""
        summary = DirectorySummary(buckets=self.directory.summary())
        result = await call(self.session, address, summary, DirectoryBuckets)
        if not isinstance(result, Success):
            return
        now = clock.now()
        for member in result.unwrap().members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)

    async def handle_summary(self, summary: DirectorySummary) -> DirectoryBuckets:
        """Answer with the records of the buckets that differ from a peer's summary."""
        return DirectoryBuckets(members=self.directory.differing_records(summary.buckets))
