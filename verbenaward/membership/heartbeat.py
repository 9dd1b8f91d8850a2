"""Heartbeats of a process to its registrars, one task for each registrar."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from returns.result import Success

from ..schema.messages import Heartbeat, HeartbeatReply, ShortHeartbeat
from ..schema.settings import MembershipSettings
from ..waiting import is_set_within
from ..wire.rpc import call
from .directory import Directory
from .own_record import OwnRecord

FAST_RETRY_SECONDS = 0.2
SEED_PREFIX = "seed "


@dataclass(frozen=True, slots=True)
class Registrar:
    """One process that receives the heartbeats: its name and address."""

    name: str
    address: str


class HeartbeatSender:
    """Keeps one task for each registrar.

    Attributes:
      directory: What this process knows.
      own: Record of this process.
      confirmed: Incarnation and version of the own record that each registrar confirmed.
      on_revision: Called with the address and revision of a registrar that answered.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        directory: Directory,
        own: OwnRecord,
        seeds: list[str],
        settings: MembershipSettings,
        on_revision: Callable[[str, int], Awaitable[None]],
    ) -> None:
        self.session = session
        self.directory = directory
        self.own = own
        self.seeds = [seed for seed in seeds if seed != own.member.address]
        self.settings = settings
        self.on_revision = on_revision
        self.tasks: dict[Registrar, asyncio.Task[None]] = {}
        self.answered_at: dict[Registrar, float] = {}
        self.confirmed: dict[Registrar, tuple[int, int]] = {}
        self.wake_events: dict[Registrar, asyncio.Event] = {}

    async def run(self) -> None:
        """Keep the tasks in step with the registrars until cancelled."""
        try:
            while True:
                self.adjust()
                await asyncio.sleep(self.settings.heartbeat_seconds / 2)
        finally:
            for task in self.tasks.values():
                task.cancel()

    def adjust(self) -> None:
        """Start tasks of new registrars and cancel those of former ones."""
        wanted = self.registrars()
        for registrar in set(self.tasks) - set(wanted):
            self.tasks.pop(registrar).cancel()
            self.answered_at.pop(registrar, None)
            self.confirmed.pop(registrar, None)
            self.wake_events.pop(registrar, None)
        for registrar in wanted:
            if registrar not in self.tasks:
                self.wake_events[registrar] = asyncio.Event()
                self.tasks[registrar] = asyncio.create_task(self.serve_registrar(registrar))

    def registrars(self) -> list[Registrar]:
        """Return the registrars by the directory, or seeds while none is known."""
        names = self.directory.registrars_of(self.own.member.vm, self.settings.registrars)
        known = [Registrar(name, self.directory.members[name].address) for name in names]
        answering = any(registrar in self.answered_at for registrar in known)
        if answering or not self.seeds:
            return known
        seeds = [Registrar(SEED_PREFIX + seed, seed) for seed in self.seeds]
        return known + seeds[: self.settings.registrars]

    def wake(self) -> None:
        """Send the next heartbeat of every registrar now."""
        for event in self.wake_events.values():
            event.set()

    async def serve_registrar(self, registrar: Registrar) -> None:
        """Send heartbeats to one registrar."""
        incarnation, sequence = 0, 0
        while True:
            heartbeat = self.next_heartbeat(registrar, incarnation, sequence)
            result = await call(self.session, registrar.address, heartbeat, HeartbeatReply)
            if isinstance(result, Success):
                reply = result.unwrap()
                self.answered_at[registrar] = time.monotonic()
                self.confirmed[registrar] = (reply.known_incarnation, reply.known_version)
                await self.take_reply(registrar, reply)
                if heartbeat.want_members:
                    incarnation, sequence = reply.incarnation, reply.sequence
            elif self.is_silent(registrar):
                self.answered_at.pop(registrar, None)
                self.confirmed.pop(registrar, None)
            await self.pause(registrar, isinstance(result, Success))

    def next_heartbeat(
        self, registrar: Registrar, incarnation: int, sequence: int
    ) -> Heartbeat | ShortHeartbeat:
        """Return the next heartbeat: a short one where the registrar knows the record.

        Args:
          registrar: Who gets it.
          incarnation: Incarnation of the registrar that last sent members; 0 for none.
          sequence: Sequence number up to which its members were received.
        """
        member = self.own.member
        wants = self.is_first(registrar)
        if self.confirmed.get(registrar) != (member.incarnation, member.version):
            return Heartbeat(member, wants, incarnation, sequence)
        return ShortHeartbeat(
            member.vm,
            member.incarnation,
            member.version,
            member.revision,
            wants,
            incarnation,
            sequence,
        )

    async def take_reply(self, registrar: Registrar, reply: HeartbeatReply) -> None:
        """Use what a registrar answered."""
        now = time.monotonic()
        for member in reply.members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)
        before = self.own.member
        self.own.refute(reply)
        if self.own.member != before:
            self.wake()
        await self.on_revision(registrar.address, reply.revision)

    def is_first(self, registrar: Registrar) -> bool:
        """Return True for the one registrar that is asked for the members."""
        return registrar == next(iter(self.tasks), registrar)

    def is_silent(self, registrar: Registrar) -> bool:
        """Return True where a registrar has not answered for long."""
        last = self.answered_at.get(registrar, 0.0)
        return time.monotonic() - last > self.settings.suspect_seconds

    async def pause(self, registrar: Registrar, answered: bool) -> None:
        """Wait until the next heartbeat is due."""
        event = self.wake_events[registrar]
        seconds = self.settings.heartbeat_seconds if answered else FAST_RETRY_SECONDS
        await is_set_within(event, seconds)
        event.clear()
