"""Records of the idempotency keys that a slot holder has run."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from .records import Answer

MAXIMUM_KEYS = 100_000
"""Limit on the memory of the records; further keys are refused."""


class KeyStatus(StrEnum):
    """State of a key; UNKNOWN if it may have run but its answer is lost."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class KeyRecord:
    """State and outcome of one key.

    Attributes:
      status: State of the run.
      fingerprint: Hash of the request that first used the key.
      slot: Slot of the key.
      changed_at: Time of the last change of status, monotonic.
      answer: The answer if the status is DONE, else None.
      finished: Set when the run has ended or was cancelled.
    """

    status: KeyStatus
    fingerprint: bytes
    slot: int
    changed_at: float
    answer: Answer | None = None
    finished: asyncio.Event = field(default_factory=asyncio.Event)


class KeyRecords:
    """Records by key, kept for as long as callers may resend.

    Attributes:
      records: Records by key, in the order in which their runs began.
      resend_window_seconds: Time for which callers may resend a key.
    """

    def __init__(self, resend_window_seconds: float) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.resend_window_seconds = resend_window_seconds

    def begin(self, key: str, fingerprint: bytes, slot: int, now: float) -> KeyRecord:
        """Add the record of a key that is about to run."""
        record = KeyRecord(KeyStatus.RUNNING, fingerprint, slot, now)
        self.records[key] = record
        return record

    def finish(self, key: str, answer: Answer | None, now: float) -> None:
        """Store the answer of a key; without one, its outcome is unknown."""
        record = self.records[key]
        record.status = KeyStatus.DONE if answer else KeyStatus.UNKNOWN
        record.answer = answer
        record.changed_at = now
        record.finished.set()

    def cancel(self, key: str) -> None:
        """Remove the record of a key that certainly did not run."""
        record = self.records.pop(key, None)
        if record is not None:
            record.finished.set()

    def forget(self, key: str) -> None:
        """Remove the record of a key of which this process doesn't know whether it ran.

        Those who wait for the record see its outcome as unknown; a resend is decided anew.
        """
        record = self.records.pop(key, None)
        if record is not None:
            record.status = KeyStatus.UNKNOWN
            record.finished.set()

    def has_room(self, now: float) -> bool:
        """Return True if one more record fits, after dropping expired ones."""
        self.expire(now)
        return len(self.records) < MAXIMUM_KEYS

    def expire(self, now: float) -> None:
        """Drop the records of keys that callers may no longer resend."""
        expired = []
        for key, record in self.records.items():
            if now - record.changed_at <= self.resend_window_seconds:
                break
            if record.status is not KeyStatus.RUNNING:
                expired.append(key)
        for key in expired:
            del self.records[key]

    def busy_slots(self) -> set[int]:
        """Return the slots of all recorded keys."""
        return {record.slot for record in self.records.values()}
