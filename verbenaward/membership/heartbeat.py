"""Sends the heartbeats of a process to its registrars, in one task for each registrar."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import aiohttp
from returns.result import Success

from .. import clock
from ..schema.messages import Heartbeat, HeartbeatReply, ShortHeartbeat
from ..schema.settings import MembershipSettings
from ..waiting import is_set_within
from ..wire.rpc import call
from .directory import Directory
from .own_record import OwnRecord

FAST_RETRY_SECONDS = 0.2
"""Pause after a heartbeat without a reply."""
SEED_PREFIX = "seed "
"""Marks the name of a registrar of which only the address is known, from the settings."""


@dataclass(frozen=True, slots=True)
class HeartbeatTarget:
    """A registrar that heartbeats are sent to: its VM, or "seed " and address, and its address."""

    name: str
    address: str


class HeartbeatSender:
    """Runs one task for each registrar, which sends it heartbeats.

    Attributes:
      directory: Records of all processes known here.
      own: Record of this process.
      seeds: Addresses of entry processes from the settings, used until registrars answer.
      settings: Times of the protocol and the number of registrars.
      on_revision: Called with the address and the configuration revision of each registrar that
        replies.
      tasks: Running task of each registrar; the first one also asks for members.
      answered_at: When each registrar last replied, monotonic.
      confirmed: Incarnation and version of this process's record that each registrar confirmed.
      send_now_events: Set to end a registrar's wait for the next heartbeat.
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
        self.tasks: dict[HeartbeatTarget, asyncio.Task[None]] = {}
        self.answered_at: dict[HeartbeatTarget, float] = {}
        self.confirmed: dict[HeartbeatTarget, tuple[int, int]] = {}
        self.send_now_events: dict[HeartbeatTarget, asyncio.Event] = {}

    async def run(self) -> None:
        """Adjust the tasks to the current registrars until cancelled."""
        try:
            while True:
                self.adjust_tasks()
                await asyncio.sleep(self.settings.heartbeat_seconds / 2)
        finally:
            for task in self.tasks.values():
                task.cancel()

    def adjust_tasks(self) -> None:
        """Start tasks for new registrars and cancel those of former ones."""
        wanted = self.registrars()
        for registrar in set(self.tasks) - set(wanted):
            self.tasks.pop(registrar).cancel()
            self.answered_at.pop(registrar, None)
            self.confirmed.pop(registrar, None)
            self.send_now_events.pop(registrar, None)
        for registrar in wanted:
            if registrar not in self.tasks:
                self.send_now_events[registrar] = asyncio.Event()
                self.tasks[registrar] = asyncio.create_task(self.send_heartbeats(registrar))

    def registrars(self) -> list[HeartbeatTarget]:
        """Return the registrars from the directory; also seeds while none of them replies."""
        names = self.directory.registrars_of(self.own.member.vm, self.settings.registrars)
        known = [HeartbeatTarget(name, self.directory.members[name].address) for name in names]
        answering = any(registrar in self.answered_at for registrar in known)
        if answering or not self.seeds:
            return known
        seeds = [HeartbeatTarget(SEED_PREFIX + seed, seed) for seed in self.seeds]
        return known + seeds[: self.settings.registrars]

    def send_now(self) -> None:
        """Send the next heartbeat to every registrar now instead of after the interval."""
        for event in self.send_now_events.values():
            event.set()

    async def send_heartbeats(self, registrar: HeartbeatTarget) -> None:
        """Send heartbeats to one registrar until cancelled."""
        incarnation, sequence = 0, 0
        while True:
            heartbeat = self.next_heartbeat(registrar, incarnation, sequence)
            result = await call(self.session, registrar.address, heartbeat, HeartbeatReply)
            if isinstance(result, Success):
                reply = result.unwrap()
                self.answered_at[registrar] = clock.now()
                self.confirmed[registrar] = (reply.known_incarnation, reply.known_version)
                await self.handle_reply(registrar, reply)
                if heartbeat.want_members:
                    incarnation, sequence = reply.incarnation, reply.sequence
            elif self.is_unresponsive(registrar):
                self.answered_at.pop(registrar, None)
                self.confirmed.pop(registrar, None)
            await self.wait_for_next(registrar, isinstance(result, Success))

    def next_heartbeat(
        self, registrar: HeartbeatTarget, incarnation: int, sequence: int
    ) -> Heartbeat | ShortHeartbeat:
        """Return the next heartbeat, a short one if the registrar has confirmed this record.

        Args:
          registrar: The registrar to send it to.
          incarnation: Incarnation of the registrar when it last sent members; 0 for never.
          sequence: Sequence number up to which its members were received.
        """
        member = self.own.member
        want_members = self.is_first(registrar)
        if self.confirmed.get(registrar) != (member.incarnation, member.version):
            return Heartbeat(member, want_members, incarnation, sequence)
        return ShortHeartbeat(
            member.vm,
            member.incarnation,
            member.version,
            member.revision,
            want_members,
            incarnation,
            sequence,
        )

    async def handle_reply(self, registrar: HeartbeatTarget, reply: HeartbeatReply) -> None:
        """Merge the members of a reply, refute a false status and pass on the revision."""
        now = clock.now()
        for member in reply.members:
            if member.vm != self.own.member.vm:
                self.directory.merge(member, now)
        before = self.own.member
        self.own.refute(reply)
        if self.own.member != before:
            self.send_now()
        await self.on_revision(registrar.address, reply.revision)

    def is_first(self, registrar: HeartbeatTarget) -> bool:
        """Return True for the first registrar: only one is asked for members."""
        return registrar == next(iter(self.tasks), registrar)

    def is_unresponsive(self, registrar: HeartbeatTarget) -> bool:
        """Return True if a registrar has not replied for `suspect_seconds`."""
        last_answer_at = self.answered_at.get(registrar, 0.0)
        return clock.now() - last_answer_at > self.settings.suspect_seconds

    async def wait_for_next(self, registrar: HeartbeatTarget, answered: bool) -> None:
        """Wait until the next heartbeat is due or requested."""
        event = self.send_now_events[registrar]
        seconds = self.settings.heartbeat_seconds if answered else FAST_RETRY_SECONDS
        await is_set_within(event, seconds)
        event.clear()
