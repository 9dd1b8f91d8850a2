"""Slots of idempotency keys and their holders: decisions without I/O.

Each key hashes to one of a fixed number of slots. The slot table in the key-value service
names one holder of each slot, by VM and incarnation. Only the holder runs the keys of its
slots, so a key can run twice only after a change of holder. docs/design/at-most-once.md
shows why a new holder never runs a key again.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ..membership.ring import hash64, rendezvous_order
from ..platform.stored_values import decode_value

SLOT_COUNT = 64
"""Slots of one role; part of the stored table, so it cannot change in a running cluster."""


@dataclass(frozen=True, slots=True)
class SlotHolder:
    """The holder of one slot.

    Attributes:
      vm: VM of the holder; empty if the slot never had one.
      incarnation: Incarnation of the holder's process.
      released: True if the holder released the slot after writing all its claims.
      uncertain: True while callers may resend keys that an earlier holder may have run without a
        claim.
    """

    vm: str = ""
    incarnation: int = 0
    released: bool = False
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class SlotTable:
    """Holders of all slots of one role, as stored in the key-value service."""

    holders: tuple[SlotHolder, ...] = (SlotHolder(),) * SLOT_COUNT


@dataclass(frozen=True, slots=True)
class StoredTable:
    """Stored form of a table; a value without holders is malformed, not a table without them."""

    holders: tuple[SlotHolder, ...]


@dataclass(frozen=True, slots=True)
class OwnWrite:
    """A successful write of this process: its version and the time it was sent, monotonic."""

    version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence about a former holder when another process takes over its slot.

    Attributes:
      renewal_version: Version of the former holder's last renewal; 0 if there is none.
      seen_ended_at: Time at which its process was known to have ended, monotonic.
      own_writes: Writes of the new holder, oldest first.
    """

    renewal_version: int
    seen_ended_at: float
    own_writes: tuple[OwnWrite, ...]


def slot_of(workspace: str, key: str) -> int:
    """Return the slot of an idempotency key of a workspace."""
    return hash64(f"{workspace}\0{key}") % SLOT_COUNT


def renewed_after(evidence: Evidence) -> float | None:
    """Return a lower bound of the time at which the last renewal took effect.

    The versions of the key-value service order all writes: a renewal with a higher version
    than one of this process's writes took effect after that write was sent.

    Returns:
      The latest such time, monotonic, or None if no write of this process is older.
    """
    earlier = [
        write.sent_at for write in evidence.own_writes if write.version < evidence.renewal_version
    ]
    return max(earlier, default=None)


def has_all_claims(evidence: Evidence, outage_grace: float, write_delay: float) -> bool:
    """Return True if a claim certainly exists for every key that a former holder ran.

    A holder runs keys without claims only after `outage_grace` has passed since it sent its
    last renewal, and it renews only when all its claims are written. A renewal takes effect
    at most `write_delay` after it was sent.

    Args:
      evidence: Evidence about the former holder.
      outage_grace: Length of an outage of the key-value service after which a holder runs
        keys without claims, in seconds.
      write_delay: Longest time until a write takes effect, in seconds.
    """
    renewed = renewed_after(evidence)
    if renewed is None:
        return False
    return evidence.seen_ended_at < renewed + outage_grace - write_delay


def may_run_without_claim(
    last_success: float, last_renewal_sent: float, outage_grace: float, now: float
) -> bool:
    """Return True if the key-value outage has lasted long enough to run keys without claims.

    Args:
      last_success: Time of the last successful call, monotonic.
      last_renewal_sent: Time at which the last renewal was sent, monotonic.
      outage_grace: Length of an outage after which keys run without claims, in seconds.
      now: Current time, monotonic, in seconds.
    """
    return now >= max(last_success, last_renewal_sent) + outage_grace


def desired_holder(slot: int, alive: Sequence[str], former: str) -> str:
    """Return the VM that should hold a slot.

    A new process on the VM of the former holder is the last choice: it has no earlier writes, by
    which other processes can bound the time of the last renewal.

    Args:
      slot: The slot.
      alive: VMs with a live process of the role, at least one.
      former: VM of the former holder if its process ended, else empty.
    """
    others = [vm for vm in alive if vm != former] or list(alive)
    return rendezvous_order(f"slot {slot}", others)[0]


def encode_table(table: SlotTable) -> bytes:
    """Encode a table as stored, in JSON."""
    return msgspec.json.encode(table)


def decode_table(payload: bytes) -> SlotTable:
    """Decode a stored table; empty bytes mean a table without holders.

    Raises:
      msgspec.DecodeError: The bytes are not a valid table.
    """
    if not payload:
        return SlotTable()
    holders = decode_value(payload, StoredTable).holders
    if len(holders) != SLOT_COUNT:
        raise msgspec.ValidationError(f"{len(holders)} holders, not {SLOT_COUNT}")
    return SlotTable(holders)
