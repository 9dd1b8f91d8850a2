"""Receiving side of heartbeats, on entry processes."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from ..schema.messages import (
    Heartbeat,
    HeartbeatReply,
    Member,
    MemberKind,
    MemberStatus,
    ShortHeartbeat,
)
from ..schema.settings import MembershipSettings
from .directory import Directory
from .own_record import OwnRecord

SWEEP_SECONDS = 0.5


class Registrar:
    """Answers heartbeats and notices silence.

    Attributes:
      directory: What this process knows.
      own: Record of this process.
      settings: Times of the protocol.
      on_revision: Called with the address and revision of a member that is ahead.
      responsible_since: Since when this process has to hear from a VM.
      suspect_since: Since when a VM is suspect.
      revisions: Configuration revision in the last heartbeat of each VM.
      responsible_for: Whether this process is a registrar of a VM, for the present ring.
    """

    def __init__(
        self,
        directory: Directory,
        own: OwnRecord,
        settings: MembershipSettings,
        on_revision: Callable[[str, int], Awaitable[None]],
    ) -> None:
        self.directory = directory
        self.own = own
        self.settings = settings
        self.on_revision = on_revision
        self.fetches: set[asyncio.Task[None]] = set()
        self.responsible_since: dict[str, float] = {}
        self.suspect_since: dict[str, float] = {}
        self.revisions: dict[str, int] = {}
        self.last_sweep = 0.0
        self.judged_ring = directory.ring
        self.responsible_for: dict[str, bool] = {}

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Note a heartbeat and answer what this process knows."""
        member = heartbeat.member
        self.directory.heard(member, time.monotonic())
        self.note_revision(member, member.revision)
        known = self.directory.members.get(member.vm, member)
        return self.reply_to(heartbeat, member, known)

    async def handle_short_heartbeat(self, heartbeat: ShortHeartbeat) -> HeartbeatReply:
        """Note a heartbeat without a record; an unknown record is asked for by the reply."""
        known = self.directory.members.get(heartbeat.vm)
        if known is None:
            return HeartbeatReply(
                incarnation=self.own.member.incarnation, revision=self.own.member.revision
            )
        if (known.incarnation, known.version) == (heartbeat.incarnation, heartbeat.version):
            self.directory.heard_at[heartbeat.vm] = time.monotonic()
            self.note_revision(known, heartbeat.revision)
        return self.reply_to(heartbeat, known, known)

    def note_revision(self, member: Member, revision: int) -> None:
        """Note the revision in force at a member, and fetch it where it is newer."""
        self.revisions[member.vm] = revision
        if revision > self.own.member.revision and not self.fetches:
            task = asyncio.ensure_future(self.on_revision(member.address, revision))
            self.fetches.add(task)
            task.add_done_callback(self.fetches.discard)

    def reply_to(
        self, heartbeat: Heartbeat | ShortHeartbeat, sender: Member, known: Member
    ) -> HeartbeatReply:
        """Return the reply to a heartbeat."""
        news = self.news_for(heartbeat, sender) if heartbeat.want_members else ()
        return HeartbeatReply(
            incarnation=self.own.member.incarnation,
            sequence=self.directory.sequence,
            revision=self.own.member.revision,
            known_version=known.version,
            known_status=known.status,
            known_incarnation=known.incarnation,
            members=news,
        )

    def news_for(self, heartbeat: Heartbeat | ShortHeartbeat, sender: Member) -> tuple[Member, ...]:
        """Return the members that changed since the last heartbeat and concern the sender."""
        is_same = heartbeat.registrar_incarnation == self.own.member.incarnation
        since = heartbeat.seen_sequence if is_same else 0

        def concerns(member: Member) -> bool:
            if member.kind is MemberKind.ENTRY:
                return True
            return sender.kind is MemberKind.ENTRY or member.role == sender.role

        return self.directory.changed_since(since, concerns)

    def sweep(self, now: float) -> None:
        """Mark silent members as suspect, and suspects as gone after a while.

        Args:
          now: Present time, monotonic, in seconds.
        """
        if now - self.last_sweep > 4 * SWEEP_SECONDS:
            # This process was itself paused: its clocks of silence say nothing.
            self.responsible_since.clear()
            self.suspect_since.clear()
        self.last_sweep = now
        for vm, member in list(self.directory.members.items()):
            self.judge(vm, member, now)
        self.directory.forget_tombstones(now)
        self.forget_unknown()

    def forget_unknown(self) -> None:
        """Drop what is kept about VMs that the directory has forgotten."""
        kept = (self.responsible_since, self.suspect_since, self.revisions, self.responsible_for)
        for table in kept:
            for vm in [vm for vm in table if vm not in self.directory.members]:
                del table[vm]

    def judge(self, vm: str, member: Member, now: float) -> None:
        """Judge one member."""
        if vm == self.own.member.vm or member.status is MemberStatus.GONE:
            self.suspect_since.pop(vm, None)
            return
        if member.status is MemberStatus.SUSPECT:
            since = self.suspect_since.setdefault(vm, now)
            if now - since > self.settings.gone_seconds:
                self.directory.mark(vm, MemberStatus.GONE, now)
            return
        self.suspect_since.pop(vm, None)
        if not self.is_responsible(vm):
            self.responsible_since.pop(vm, None)
            return
        since = self.responsible_since.setdefault(vm, now)
        heard = max(since, self.directory.heard_at.get(vm, 0.0))
        if now - heard > self.settings.suspect_seconds:
            self.directory.mark(vm, MemberStatus.SUSPECT, now)

    def is_responsible(self, vm: str) -> bool:
        """Return True where this process is a registrar of a VM."""
        ring = self.directory.ring
        if ring is not self.judged_ring:
            self.judged_ring = ring
            self.responsible_for.clear()
        if vm not in self.responsible_for:
            registrars = self.directory.registrars_of(vm, self.settings.registrars)
            self.responsible_for[vm] = self.own.member.vm in registrars
        return self.responsible_for[vm]
