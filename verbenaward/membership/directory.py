"""What one process knows about all processes."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec
from blake3 import blake3

from ..schema.messages import Member, MemberKind, MemberStatus
from .ring import HASH_BYTES, Ring, hash64

BUCKETS = 64
TOMBSTONE_SECONDS = 600.0
RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.GONE: 2,
}
USABLE = (MemberStatus.ALIVE,)


def precedence(member: Member) -> tuple[int, int, int]:
    """Return the sort key that says which of two records of one VM is newer."""
    return (member.incarnation, member.version, RANKS[member.status])


class Directory:
    """Newest known record of each VM.

    Attributes:
      own_vm: Name of the VM of this process.
      members: Records by VM.
      changed_at: Sequence number of the last change of each record.
      heard_at: Time of the last heartbeat that this process received, by VM.
      sequence: Number of changes so far.
      listeners: Called with each changed record.
    """

    def __init__(self, own_vm: str) -> None:
        self.own_vm = own_vm
        self.members: dict[str, Member] = {}
        self.changed_at: dict[str, int] = {}
        self.heard_at: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self.bucket_of: dict[str, int] = {}
        self.bucket_hashes = [0] * BUCKETS
        self.address_owner: dict[str, str] = {}
        self.sequence = 0
        self.listeners: list[Callable[[Member], None]] = []
        self.ring = Ring(())

    def merge(self, member: Member, now: float) -> bool:
        """Take over a record where it is newer than the known one.

        Args:
          member: The record.
          now: Present time, monotonic, in seconds.

        Returns:
          True where the record was new.
        """
        known = self.members.get(member.vm)
        if known is not None and precedence(known) >= precedence(member):
            return False
        if known is None and member.status is MemberStatus.GONE:
            return False
        self.store(member, now)
        self.retire_address(member, now)
        return True

    def store(self, member: Member, now: float) -> None:
        """Store a record and tell the listeners."""
        self.sequence += 1
        self.bucket_of.setdefault(member.vm, hash64(member.vm) % BUCKETS)
        self.toggle_in_summary(member.vm)
        self.members[member.vm] = member
        self.toggle_in_summary(member.vm)
        self.changed_at[member.vm] = self.sequence
        if member.status is MemberStatus.GONE:
            self.gone_at[member.vm] = now
        else:
            self.gone_at.pop(member.vm, None)
        if member.kind is MemberKind.ENTRY:
            self.rebuild_ring()
        for listener in self.listeners:
            listener(member)

    def retire_address(self, member: Member, now: float) -> None:
        """Mark an earlier VM as gone where a newer one uses its address."""
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
        """Place the entry processes on the ring again where the set has changed."""
        names = frozenset(item.vm for item in self.entries())
        if names != self.ring.nodes:
            self.ring = Ring(names)

    def heard(self, member: Member, now: float) -> bool:
        """Note a heartbeat; returns True where the record was new."""
        self.heard_at[member.vm] = now
        return self.merge(member, now)

    def mark(self, vm: str, status: MemberStatus, now: float) -> bool:
        """Give a VM a worse status at its known version; True where that was new."""
        known = self.members.get(vm)
        if known is None:
            return False
        return self.merge(dataclasses.replace(known, status=status), now)

    def usable(self, kind: MemberKind) -> list[Member]:
        """Return the members of a kind that may get work."""
        return [
            item for item in self.members.values() if item.kind is kind and item.status in USABLE
        ]

    def entries(self) -> list[Member]:
        """Return the entry processes that take control messages."""
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
        """Return the VMs whose entry processes receive the heartbeats of a VM."""
        names = self.ring.successors(vm, count + 1)
        return tuple(name for name in names if name != vm)[:count]

    def changed_since(self, sequence: int, wanted: Callable[[Member], bool]) -> tuple[Member, ...]:
        """Return records that changed after a sequence number and are wanted."""
        return tuple(
            item
            for vm, item in self.members.items()
            if self.changed_at[vm] > sequence and wanted(item)
        )

    def summary(self) -> tuple[int, ...]:
        """Return one hash for each bucket of records."""
        return tuple(self.bucket_hashes)

    def toggle_in_summary(self, vm: str) -> None:
        """Add the record of a VM to its bucket's hash, or take it out again."""
        member = self.members.get(vm)
        if member is not None:
            self.bucket_hashes[self.bucket_of[vm]] ^= record_hash(member)

    def differing(self, summary: Iterable[int]) -> tuple[Member, ...]:
        """Return the records of all buckets whose hash differs from a summary."""
        pairs = zip(self.summary(), summary, strict=True)
        buckets = {index for index, (own, other) in enumerate(pairs) if own != other}
        return tuple(item for vm, item in self.members.items() if self.bucket_of[vm] in buckets)

    def forget_tombstones(self, now: float) -> None:
        """Drop records of VMs that are gone for long."""
        old = [vm for vm, at in self.gone_at.items() if now - at > TOMBSTONE_SECONDS]
        for vm in old:
            self.toggle_in_summary(vm)
            member = self.members.pop(vm)
            for table in (self.changed_at, self.gone_at, self.bucket_of, self.heard_at):
                table.pop(vm, None)
            if self.address_owner.get(member.address) == vm:
                del self.address_owner[member.address]


def record_hash(member: Member) -> int:
    """Return a hash of the order of a record."""
    text = f"{member.vm}\0{precedence(member)}"
    return int.from_bytes(blake3(text.encode()).digest(length=HASH_BYTES), "big")


def addresses_of(members: Iterable[Member]) -> tuple[str, ...]:
    """Return the addresses of members."""
    return tuple(item.address for item in members)


def member_json(member: Member) -> dict[str, object]:
    """Return a record in a form that JSON can carry."""
    values = dataclasses.asdict(member)
    values["release"] = member.release.hex()
    result: dict[str, object] = msgspec.to_builtins(values)
    return result
