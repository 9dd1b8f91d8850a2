"""Receiving side of heartbeats on entry processes: replies and failure detection."""

import asyncio
from collections.abc import Awaitable, Callable

from .. import clock
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
"""Interval of the checks for members without heartbeats."""


class Registrar:
    """Answers heartbeats and marks members whose heartbeats stop.

    The registrars of a VM are the entry processes to which it sends its heartbeats, by consistent
    hashing.

    Attributes:
      directory: Records of all processes known here.
      own: Record of this process.
      settings: Times of the protocol.
      on_revision: Called with the address of a member and its configuration revision, if that is
        newer than the one in force here.
      fetch_tasks: Running calls of `on_revision`, at most one.
      responsible_since: When this process became a registrar of a VM, by VM; monotonic.
      suspect_since: When a VM was first seen as suspect, by VM; monotonic.
      revisions: Configuration revision in the last heartbeat of each VM.
      cached_ring: Ring for which `responsible_for` holds.
      responsible_for: Cache: whether this process is a registrar of a VM, by VM.
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
        self.fetch_tasks: set[asyncio.Task[None]] = set()
        self.responsible_since: dict[str, float] = {}
        self.suspect_since: dict[str, float] = {}
        self.revisions: dict[str, int] = {}
        self.last_sweep = 0.0
        self.cached_ring = directory.ring
        self.responsible_for: dict[str, bool] = {}

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Record a heartbeat with a full record and reply with the record known here."""
        member = heartbeat.member
        self.directory.record_heartbeat(member, clock.now())
        self.record_revision(member, member.revision)
        known = self.directory.members.get(member.vm, member)
        return self.reply_to(heartbeat, member, known)

    async def handle_short_heartbeat(self, heartbeat: ShortHeartbeat) -> HeartbeatReply:
        """Record a heartbeat without a record.

        If its version is not the one known here, or the VM is unknown (version 0 in the reply),
        the sender learns so from the reply and sends its full record next.
        """
        known = self.directory.members.get(heartbeat.vm)
        if known is None:
            return HeartbeatReply(
                incarnation=self.own.member.incarnation, revision=self.own.member.revision
            )
        if (known.incarnation, known.version) == (heartbeat.incarnation, heartbeat.version):
            self.directory.last_heartbeat_at[heartbeat.vm] = clock.now()
            self.record_revision(known, heartbeat.revision)
        return self.reply_to(heartbeat, known, known)

    def record_revision(self, member: Member, revision: int) -> None:
        """Record the configuration revision of a member; start a fetch if it is newer."""
        self.revisions[member.vm] = revision
        if revision > self.own.member.revision and not self.fetch_tasks:
            task = asyncio.ensure_future(self.on_revision(member.address, revision))
            self.fetch_tasks.add(task)
            task.add_done_callback(self.fetch_tasks.discard)

    def reply_to(
        self, heartbeat: Heartbeat | ShortHeartbeat, sender: Member, known: Member
    ) -> HeartbeatReply:
        """Return the reply: what is known of the sender, and changed members if it wants them."""
        members = self.changed_members_for(heartbeat, sender) if heartbeat.want_members else ()
        return HeartbeatReply(
            incarnation=self.own.member.incarnation,
            sequence=self.directory.sequence,
            revision=self.own.member.revision,
            known_version=known.version,
            known_status=known.status,
            known_incarnation=known.incarnation,
            members=members,
        )

    def changed_members_for(
        self, heartbeat: Heartbeat | ShortHeartbeat, sender: Member
    ) -> tuple[Member, ...]:
        """Return the members that changed since the sender's last heartbeat and that it needs.

        An entry process needs all, an endpoint process the entry processes and those of its own
        role. The sender's sequence number is valid only if this process has not restarted since.
        """
        not_restarted = heartbeat.registrar_incarnation == self.own.member.incarnation
        since = heartbeat.seen_sequence if not_restarted else 0

        def is_needed(member: Member) -> bool:
            if member.kind is MemberKind.ENTRY:
                return True
            return sender.kind is MemberKind.ENTRY or member.role == sender.role

        return self.directory.changed_since(since, is_needed)

    def sweep(self, now: float) -> None:
        """Mark members without heartbeats as suspect, and suspects as gone after `gone_seconds`.

        Args:
          now: Present time, monotonic, in seconds.
        """
        if now - self.last_sweep > 4 * SWEEP_SECONDS:
            # This process itself was paused and could not receive heartbeats, so the time since
            # the last one is no sign of a failure: every timeout starts again.
            self.responsible_since.clear()
            self.suspect_since.clear()
        self.last_sweep = now
        for vm, member in list(self.directory.members.items()):
            self.apply_timeouts(vm, member, now)
        self.directory.purge_tombstones(now)
        self.delete_removed_members()

    def delete_removed_members(self) -> None:
        """Delete what is kept about VMs that were removed from the directory."""
        tables = (self.responsible_since, self.suspect_since, self.revisions, self.responsible_for)
        for table in tables:
            for vm in [vm for vm in table if vm not in self.directory.members]:
                del table[vm]

    def apply_timeouts(self, vm: str, member: Member, now: float) -> None:
        """Mark one member as suspect or gone if its timeout has expired.

        Only registrars of a VM mark it as suspect; every entry process marks suspects as gone.
        """
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
        alive_at = max(since, self.directory.last_heartbeat_at.get(vm, 0.0))
        if now - alive_at > self.settings.suspect_seconds:
            self.directory.mark(vm, MemberStatus.SUSPECT, now)

    def is_responsible(self, vm: str) -> bool:
        """Return True if this process is a registrar of a VM on the current ring."""
        ring = self.directory.ring
        if ring is not self.cached_ring:
            self.cached_ring = ring
            self.responsible_for.clear()
        if vm not in self.responsible_for:
            registrars = self.directory.registrars_of(vm, self.settings.registrars)
            self.responsible_for[vm] = self.own.member.vm in registrars
        return self.responsible_for[vm]
