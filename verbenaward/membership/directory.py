"""One process's directory of all processes, merged from heartbeats and gossip."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec
from blake3 import blake3

from ..schema.messages import Member, MemberKind, MemberStatus
from .ring import HASH_BYTES, Ring, hash64

SUMMARY_BUCKETS = 64
"""Buckets of records; two processes exchange only those whose hashes differ."""
TOMBSTONE_SECONDS = 600.0
"""Time for which the record of a VM that is gone is kept, so that old gossip cannot revive it."""
STATUS_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.GONE: 2,
}
USABLE_STATUSES = (MemberStatus.ALIVE,)


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the key by which two records of one VM are ordered; the higher one is kept.

    At the same incarnation and version the worse status wins, so that a suspicion spreads until
    the member refutes it by a higher version.
    """
    return (member.incarnation, member.version, STATUS_RANKS[member.status])


class Directory:
    """Newest known record of each VM.

    Attributes:
      own_vm: Name of the VM of this process.
      members: Records by VM.
      change_sequences: Sequence number of the last change of each record, by VM.
      last_heartbeat_at: Time of the last heartbeat that this process received, by VM; monotonic.
      gone_at: Time at which a VM was marked as gone, by VM; monotonic.
      bucket_of: Bucket of each VM's record.
      bucket_hashes: XOR of the hashes of the records in each bucket.
      address_owner: VM that uses an address, by address.
      sequence: Number of changes so far.
      listeners: Called with each changed record.
      ring: The entry processes that are neither suspect nor gone.
    """

    def __init__(self, own_vm: str) -> None:
        self.own_vm = own_vm
        self.members: dict[str, Member] = {}
        self.change_sequences: dict[str, int] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self.bucket_of: dict[str, int] = {}
        self.bucket_hashes = [0] * SUMMARY_BUCKETS
        self.address_owner: dict[str, str] = {}
        self.sequence = 0
        self.listeners: list[Callable[[Member], None]] = []
        self.ring = Ring(())

    def merge(self, member: Member, now: float) -> bool:
        """Take over a record if it is newer than the known one.

        A record with status gone is ignored if the VM is unknown here.

        Args:
          member: The record.
          now: Present time, monotonic, in seconds.

        Returns:
          True if the record was taken over.
        """
        known = self.members.get(member.vm)
        if known is not None and precedence(known) >= precedence(member):
            return False
        if known is None and member.status is MemberStatus.GONE:
            return False
        self.replace_record(member, now)
        self.resolve_address_conflict(member, now)
        return True

    def replace_record(self, member: Member, now: float) -> None:
        """Replace the record of a VM, update the summary and the ring, and call the listeners."""
        self.sequence += 1
        self.bucket_of.setdefault(member.vm, hash64(member.vm) % SUMMARY_BUCKETS)
        self.toggle_in_bucket_hash(member.vm)
        self.members[member.vm] = member
        self.toggle_in_bucket_hash(member.vm)
        self.change_sequences[member.vm] = self.sequence
        if member.status is MemberStatus.GONE:
            self.gone_at[member.vm] = now
        else:
            self.gone_at.pop(member.vm, None)
        if member.kind is MemberKind.ENTRY:
            self.rebuild_ring()
        for listener in self.listeners:
            listener(member)

    def resolve_address_conflict(self, member: Member, now: float) -> None:
        """Mark the earlier of two VMs with the same address as gone, judged by incarnation."""
        if member.status is MemberStatus.GONE:
            return
        owner = self.members.get(self.address_owner.get(member.address, ""))
        if owner is None or owner.vm == member.vm or owner.address != member.address:
            self.address_owner[member.address] = member.vm
            return
        if owner.incarnation < member.incarnation:
            self.address_owner[member.address] = member.vm
            self.mark(owner.vm, MemberStatus.GONE, now)
        else:
            self.mark(member.vm, MemberStatus.GONE, now)

    def rebuild_ring(self) -> None:
        """Rebuild the ring if the set of entry processes has changed."""
        names = frozenset(item.vm for item in self.entries())
        if names != self.ring.nodes:
            self.ring = Ring(names)

    def record_heartbeat(self, member: Member, now: float) -> bool:
        """Record a heartbeat and merge its record; return True if that was taken over."""
        self.last_heartbeat_at[member.vm] = now
        return self.merge(member, now)

    def mark(self, vm: str, status: MemberStatus, now: float) -> bool:
        """Set a worse status at a VM's known version; return True if the record changed."""
        known = self.members.get(vm)
        if known is None:
            return False
        return self.merge(dataclasses.replace(known, status=status), now)

    def usable(self, kind: MemberKind) -> list[Member]:
        """Return the members of a kind that may get requests."""
        return [
            item
            for item in self.members.values()
            if item.kind is kind and item.status in USABLE_STATUSES
        ]

    def entries(self) -> list[Member]:
        """Return the entry processes to send control messages to; leaving ones still answer."""
        return [
            item
            for item in self.members.values()
            if item.kind is MemberKind.ENTRY
            and item.status is not MemberStatus.GONE
            and item.status is not MemberStatus.SUSPECT
        ]

    def endpoints_of(self, role: str) -> list[Member]:
        """Return the usable endpoint processes of a role."""
        return [item for item in self.usable(MemberKind.ENDPOINT) if item.role == role]

    def registrars_of(self, vm: str, count: int) -> tuple[str, ...]:
        """Return the VMs of the entry processes to which a VM sends its heartbeats."""
        names = self.ring.successors(vm, count + 1)
        return tuple(name for name in names if name != vm)[:count]

    def changed_since(self, sequence: int, accepts: Callable[[Member], bool]) -> tuple[Member, ...]:
        """Return the records that changed after a sequence number and that a filter accepts."""
        return tuple(
            item
            for vm, item in self.members.items()
            if self.change_sequences[vm] > sequence and accepts(item)
        )

    def summary(self) -> tuple[int, ...]:
        """Return the hash of each bucket; equal directories have equal summaries."""
        return tuple(self.bucket_hashes)

    def toggle_in_bucket_hash(self, vm: str) -> None:
        """Add the record of a VM to its bucket's hash, or remove it: XOR does both."""
        member = self.members.get(vm)
        if member is not None:
            self.bucket_hashes[self.bucket_of[vm]] ^= record_hash(member)

    def differing_records(self, summary: Iterable[int]) -> tuple[Member, ...]:
        """Return the records of all buckets whose hash differs from that in a peer's summary."""
        pairs = zip(self.summary(), summary, strict=True)
        buckets = {index for index, (own, other) in enumerate(pairs) if own != other}
        return tuple(item for vm, item in self.members.items() if self.bucket_of[vm] in buckets)

    def purge_tombstones(self, now: float) -> None:
        """Delete the records of VMs that have been gone for longer than TOMBSTONE_SECONDS."""
        expired = [vm for vm, at in self.gone_at.items() if now - at > TOMBSTONE_SECONDS]
        for vm in expired:
            self.toggle_in_bucket_hash(vm)
            member = self.members.pop(vm)
            for table in (
                self.change_sequences,
                self.gone_at,
                self.bucket_of,
                self.last_heartbeat_at,
            ):
                table.pop(vm, None)
            if self.address_owner.get(member.address) == vm:
                del self.address_owner[member.address]


def record_hash(member: Member) -> int:
    """Return a hash of what orders a record: its VM, incarnation, version and status."""
    text = f"{member.vm}\0{precedence(member)}"
    return int.from_bytes(blake3(text.encode()).digest(length=HASH_BYTES), "big")


def addresses_of(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the control addresses of members."""
    return tuple(item.address for item in members)


def member_json(member: Member) -> dict[str, object]:
    """Return a record as values that JSON can represent; the release digest in hexadecimal."""
    values = dataclasses.asdict(member)
    values["release"] = member.release.hex()
    result: dict[str, object] = msgspec.to_builtins(values)
    return result
