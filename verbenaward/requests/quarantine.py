"""Detects poison requests, which crash the endpoint that runs them.

Requests are identified by fingerprint. After one crash a request is quarantined: it runs
alone on one endpoint. If it is answered there, it is cleared. After a second crash it is a
poison request and is refused by all entry processes.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..schema.messages import Crash

RECORD_LIFETIME_SECONDS = 600.0
"""Time after the last recorded crash for which a fingerprint stays quarantined or poison."""
POISON_CRASHES = 2
"""Crashes that make a request poison."""
MAXIMUM_FINGERPRINTS = 10_000
"""Limit on the memory of the registry; the oldest record is evicted."""
MILLISECONDS_PER_SECOND = 1000


class QuarantineState(StrEnum):
    """State of a fingerprint: no crash, quarantined after one, poison after more."""

    NONE = "none"
    QUARANTINED = "quarantined"
    POISON = "poison"


@dataclass(slots=True)
class CrashRecord:
    """Crashes of one fingerprint.

    Attributes:
      crashes: Crashes as (VM, incarnation, Unix time in milliseconds).
      cleared_unix_ms: Unix time of the last clearance, in milliseconds; 0 if there was none.
      updated_at: Time at which the record was created or last got a crash, monotonic.
    """

    crashes: set[tuple[str, int, int]] = field(default_factory=set)
    cleared_unix_ms: int = 0
    updated_at: float = 0.0


class CrashRegistry:
    """Crashes by request fingerprint, of this process and of the others.

    Attributes:
      records: Records by fingerprint.
    """

    def __init__(self) -> None:
        self.records: dict[bytes, CrashRecord] = {}

    def state_of(self, fingerprint: bytes, now: float) -> QuarantineState:
        """Return the state of a fingerprint, after dropping an expired record.

        Args:
          fingerprint: Hash of the request.
          now: Current time, monotonic, in seconds.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.crashes:
            return QuarantineState.NONE
        if now - record.updated_at > RECORD_LIFETIME_SECONDS:
            del self.records[fingerprint]
            return QuarantineState.NONE
        is_poison = len(record.crashes) >= POISON_CRASHES
        return QuarantineState.POISON if is_poison else QuarantineState.QUARANTINED

    def record(self, crash: Crash, now: float) -> bool:
        """Record a crash or a clearance; return True if it was new."""
        record = self.records.get(crash.fingerprint)
        if record is None:
            self.evict_oldest()
            record = self.records[crash.fingerprint] = CrashRecord(updated_at=now)
        if crash.cleared:
            return self.apply_clearance(record, crash)
        identity = (crash.vm, crash.incarnation, crash.at_unix_ms)
        if crash.at_unix_ms <= record.cleared_unix_ms or identity in record.crashes:
            return False
        record.crashes.add(identity)
        record.updated_at = now
        return True

    def apply_clearance(self, record: CrashRecord, crash: Crash) -> bool:
        """Drop the crashes up to the time of a clearance; a poison request stays poison."""
        if crash.at_unix_ms <= record.cleared_unix_ms or len(record.crashes) >= POISON_CRASHES:
            return False
        record.cleared_unix_ms = crash.at_unix_ms
        record.crashes = {item for item in record.crashes if item[2] > crash.at_unix_ms}
        return True

    def evict_oldest(self) -> None:
        """Drop the oldest record if the registry is full."""
        if len(self.records) >= MAXIMUM_FINGERPRINTS:
            oldest = min(self.records, key=lambda item: self.records[item].updated_at)
            del self.records[oldest]


def crash_of(fingerprint: bytes, vm: str, incarnation: int, now_unix: float) -> Crash:
    """Return the message that reports a crash."""
    return Crash(fingerprint, vm, incarnation, int(now_unix * MILLISECONDS_PER_SECOND), False)


def clearance_of(fingerprint: bytes, now_unix: float) -> Crash:
    """Return the message that clears a quarantined fingerprint."""
    return Crash(fingerprint, "", 0, int(now_unix * MILLISECONDS_PER_SECOND), True)
