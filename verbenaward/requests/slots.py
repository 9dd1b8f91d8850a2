"""Slots of idempotency keys and who holds them: the pure decisions.

A key belongs to one of a fixed number of slots, and a slot has one holder, named in the
key-value service by VM and incarnation. Only the holder runs the keys of its slots, so a
second run of a key can only come from a change of holder. docs/design/at-most-once.md
gives the argument why a new holder never runs a key again.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ..membership.ring import hash64, rendezvous_order

SLOT_COUNT = 64


@dataclass(frozen=True, slots=True)
class SlotHolder:
    """The holder of one slot; an empty VM means that nobody ever held it.

    Attributes:
      vm: VM of the holder.
      incarnation: Incarnation of the holding process.
      released: True where the holder gave the slot up with all its claims written.
    """

    vm: str = ""
    incarnation: int = 0
    released: bool = False


@dataclass(frozen=True, slots=True)
class SlotTable:
    """Holders of all slots of one role."""

    holders: tuple[SlotHolder, ...] = (SlotHolder(),) * SLOT_COUNT


@dataclass(frozen=True, slots=True)
class OwnWrite:
    """A write of this process: the version it got and when it was sent, monotonic."""

    version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a former holder at the time of a take-over.

    Attributes:
      renewal_version: Version of its last renewal; 0 where there is none.
      seen_over_at: Time by which the process had ended, monotonic.
      own_writes: Writes of this process, oldest first.
    """

    renewal_version: int
    seen_over_at: float
    own_writes: tuple[OwnWrite, ...]


def slot_of(workspace: str, key: str) -> int:
    """Return the slot of a key."""
    return hash64(f"{workspace}\0{key}") % SLOT_COUNT


def renewed_after(evidence: Evidence) -> float | None:
    """Return a time after which the last renewal took effect, or None.

    The versions of the key-value service order all writes: a renewal with a higher
    version than an own write took effect after that write was sent.
    """
    earlier = [
        write.sent_at for write in evidence.own_writes if write.version < evidence.renewal_version
    ]
    return max(earlier, default=None)


def has_all_claims(evidence: Evidence, patience: float, write_delay: float) -> bool:
    """Return True where each run of a former holder surely has a claim.

    A holder runs without claims only when `patience` has passed since it sent its last
    renewal, and it renews only when all its claims are written. A renewal takes effect at
    most `write_delay` after it was sent.

    Args:
      evidence: What is known about the former holder.
      patience: Time without the service before a holder goes on without claims, seconds.
      write_delay: Longest time until a write takes effect, seconds.
    """
    renewed = renewed_after(evidence)
    if renewed is None:
        return False
    return evidence.seen_over_at < renewed + patience - write_delay


def may_run_without_claim(
    last_success: float, last_renewal_sent: float, patience: float, now: float
) -> bool:
    """Return True where the service was away for so long that keys run without claims.

    Args:
      last_success: Time of the last call that was answered, monotonic.
      last_renewal_sent: Time at which the last renewal was sent, monotonic.
      patience: Time to wait, seconds.
      now: Present time, monotonic, in seconds.
    """
    return now >= max(last_success, last_renewal_sent) + patience


def desired_holder(slot: int, alive: Sequence[str], former: str) -> str:
    """Return the VM that should hold a slot.

    A new process on the VM of the former holder is the last choice: the others know from
    their own writes when the former process renewed.

    Args:
      slot: The slot.
      alive: VMs with a living process of the role, at least one.
      former: VM of the former holder whose process ended; empty for none.
    """
    others = [vm for vm in alive if vm != former] or list(alive)
    return rendezvous_order(f"slot {slot}", others)[0]


def encode_table(table: SlotTable) -> bytes:
    """Return the stored form of a table."""
    return msgspec.json.encode(table)


def decode_table(payload: bytes) -> SlotTable:
    """Return the table of its stored form; a missing table has no holders.

    Raises:
      msgspec.DecodeError: The bytes are not a table.
    """
    return msgspec.json.decode(payload, type=SlotTable) if payload else SlotTable()
