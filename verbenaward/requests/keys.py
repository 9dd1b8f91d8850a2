"""What a holder remembers about the keys of its slots."""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from .records import Answer

MAXIMUM_KEYS = 100_000


class KeyStatus(StrEnum):
    """How far a key is."""

    RUNNING = "running"
    DONE = "done"
    DOUBT = "doubt"


@dataclass(slots=True)
class KeyRecord:
    """One key.

    Attributes:
      status: How far it is.
      fingerprint: Hash of the request that came with it.
      slot: Its slot.
      at: Time of the last change, monotonic.
      answer: The answer, once it is done.
      finished: Resolved when the status is no longer RUNNING.
    """

    status: KeyStatus
    fingerprint: bytes
    slot: int
    at: float
    answer: Answer | None = None
    finished: asyncio.Event = field(default_factory=asyncio.Event)


class KeyMemory:
    """Records by key, dropped when callers no longer resend.

    Attributes:
      records: Records by key, oldest first.
      horizon_seconds: Time for which callers may resend.
    """

    def __init__(self, horizon_seconds: float) -> None:
        self.records: dict[str, KeyRecord] = {}
        self.horizon_seconds = horizon_seconds

    def begin(self, key: str, fingerprint: bytes, slot: int, now: float) -> KeyRecord:
        """Note a key that is about to run."""
        record = KeyRecord(KeyStatus.RUNNING, fingerprint, slot, now)
        self.records[key] = record
        return record

    def finish(self, key: str, answer: Answer | None, now: float) -> None:
        """Note the answer of a key, or that it is in doubt."""
        record = self.records[key]
        record.status = KeyStatus.DONE if answer else KeyStatus.DOUBT
        record.answer = answer
        record.at = now
        record.finished.set()

    def cancel(self, key: str) -> None:
        """Forget a key that surely did not run."""
        record = self.records.pop(key, None)
        if record is not None:
            record.finished.set()

    def has_room(self, now: float) -> bool:
        """Return True where one more key can be remembered."""
        self.expire(now)
        return len(self.records) < MAXIMUM_KEYS

    def expire(self, now: float) -> None:
        """Drop records that nobody asks for any more."""
        expired = []
        for key, record in self.records.items():
            if now - record.at <= self.horizon_seconds:
                break
            if record.status is not KeyStatus.RUNNING:
                expired.append(key)
        for key in expired:
            del self.records[key]

    def busy_slots(self) -> set[int]:
        """Return the slots of all remembered keys."""
        return {record.slot for record in self.records.values()}
