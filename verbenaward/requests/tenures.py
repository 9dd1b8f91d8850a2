"""Slots that this process holds, and the claims that former holders left: decisions without I/O.

A claim that exists keeps its key from being claimed again. A holder that runs keys without
claims, in an outage, doesn't meet the claims in the key-value service, so it must have read
those of the former holders before.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Tenure:
    """The time for which this process holds one slot.

    Attributes:
      since: Time at which this process learned that it holds the slot, monotonic.
      former_claims: Keys, as named in their claims, that former holders claimed; None until the
        claims are read.
    """

    since: float
    former_claims: frozenset[str] | None = None


class Tenures:
    """The tenures of the slots that this process holds.

    Attributes:
      by_slot: Tenure by slot.
      resend_window: Time for which callers may resend a key, in seconds.
    """

    def __init__(self, resend_window: float) -> None:
        self.by_slot: dict[int, Tenure] = {}
        self.resend_window = resend_window

    def update(self, held: Iterable[int], now: float) -> None:
        """Begin the tenures of newly held slots and drop those of slots no longer held."""
        self.by_slot = {slot: self.by_slot.get(slot) or Tenure(now) for slot in held}

    def is_past_resends(self, slot: int, now: float) -> bool:
        """Return True if callers no longer resend the keys that a former holder may have run."""
        tenure = self.by_slot.get(slot)
        return tenure is not None and now >= tenure.since + self.resend_window

    def knows_former_claims(self, slot: int, now: float) -> bool:
        """Return True if every key that a former holder claimed is known or no longer resent."""
        tenure = self.by_slot.get(slot)
        if tenure is None:
            return False
        return tenure.former_claims is not None or self.is_past_resends(slot, now)

    def has_former_claim(self, slot: int, name: str) -> bool:
        """Return True if a former holder is known to have claimed a key.

        Args:
          slot: Slot of the key.
          name: The key, as named in its claim.
        """
        tenure = self.by_slot.get(slot)
        return tenure is not None and name in (tenure.former_claims or ())

    def without_claims(self, now: float) -> list[tuple[int, Tenure]]:
        """Return the slots whose former claims are still to be read, with their tenures."""
        return [
            (slot, tenure)
            for slot, tenure in self.by_slot.items()
            if not self.knows_former_claims(slot, now)
        ]

    def drop_old_claims(self, now: float) -> None:
        """Free the memory of claims whose keys callers no longer resend."""
        for slot, tenure in self.by_slot.items():
            if tenure.former_claims and self.is_past_resends(slot, now):
                tenure.former_claims = frozenset()
