"""Requests that were running when an endpoint crashed.

A fingerprint with one crash is suspect and runs alone on one endpoint. A second crash
makes it poison: it is refused everywhere. A suspect that ends well is cleared.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..schema.messages import Crash

SUSPECT_SECONDS = 600.0
POISON_CRASHES = 2
MAXIMUM_FINGERPRINTS = 10_000
MILLISECONDS = 1000


class Suspicion(StrEnum):
    """What is thought of a fingerprint."""

    NONE = "none"
    SUSPECT = "suspect"
    POISON = "poison"


@dataclass(slots=True)
class Record:
    """Crashes of one fingerprint, as (VM, incarnation, time)."""

    crashes: set[tuple[str, int, int]] = field(default_factory=set)
    cleared_unix_ms: int = 0
    noted_at: float = 0.0


class PoisonList:
    """Crashes by fingerprint.

    Attributes:
      records: Records by fingerprint.
    """

    def __init__(self) -> None:
        self.records: dict[bytes, Record] = {}

    def judge(self, fingerprint: bytes, now: float) -> Suspicion:
        """Return what is thought of a fingerprint.

        Args:
          fingerprint: Hash of the request.
          now: Present time, monotonic, in seconds.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.crashes:
            return Suspicion.NONE
        if now - record.noted_at > SUSPECT_SECONDS:
            del self.records[fingerprint]
            return Suspicion.NONE
        is_poison = len(record.crashes) >= POISON_CRASHES
        return Suspicion.POISON if is_poison else Suspicion.SUSPECT

    def note(self, crash: Crash, now: float) -> bool:
        """Note a crash or a clearance; True where it was new."""
        record = self.records.get(crash.fingerprint)
        if record is None:
            self.make_room()
            record = self.records[crash.fingerprint] = Record(noted_at=now)
        if crash.cleared:
            return self.clear(record, crash)
        identity = (crash.vm, crash.incarnation, crash.at_unix_ms)
        if crash.at_unix_ms <= record.cleared_unix_ms or identity in record.crashes:
            return False
        record.crashes.add(identity)
        record.noted_at = now
        return True

    def clear(self, record: Record, crash: Crash) -> bool:
        """Forget the crashes that a clearance covers; a poison stays one."""
        if crash.at_unix_ms <= record.cleared_unix_ms or len(record.crashes) >= POISON_CRASHES:
            return False
        record.cleared_unix_ms = crash.at_unix_ms
        record.crashes = {item for item in record.crashes if item[2] > crash.at_unix_ms}
        return True

    def make_room(self) -> None:
        """Drop the oldest record where there are too many."""
        if len(self.records) >= MAXIMUM_FINGERPRINTS:
            oldest = min(self.records, key=lambda item: self.records[item].noted_at)
            del self.records[oldest]


def crash_of(fingerprint: bytes, vm: str, incarnation: int, now_unix: float) -> Crash:
    """Return the message that reports a crash."""
    return Crash(fingerprint, vm, incarnation, int(now_unix * MILLISECONDS), False)


def clearance_of(fingerprint: bytes, now_unix: float) -> Crash:
    """Return the message that clears a suspect."""
    return Crash(fingerprint, "", 0, int(now_unix * MILLISECONDS), True)
