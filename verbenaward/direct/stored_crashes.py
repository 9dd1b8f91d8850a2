"""Which evidence of crashes is kept in the store, so that it outlives all entry processes.

The peers have the evidence within a second, and are enough as long as one of them lives. A loss of
power, a new release or a stop of the site ends all of them; whoever starts then finds the evidence
in its first read of the store, before it accepts requests.

A key of the store holds the evidence on one request or part of a prompt. It is written at the first
crash and again with each further one, ends by its lease, and is deleted when a backend has answered
the request. The process that changed the evidence writes it. What is missing a second later is
written by the process that is appointed for the key: the first one may have ended, or the store may
have been restored.
"""

import math
from dataclasses import dataclass

from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueFailure
from ..platform.names import CRASHES_PREFIX
from ..replica.store_replica import StoreReplica
from ..requests.quarantine import QuarantineState
from ..schema.messages import CrashEvidence
from ..wire.codec import MalformedMessageError, decode, encode
from .crash_evidence import CrashRecord, rounds_of
from .crash_messages import message_of, newest_crashes
from .crash_tracker import CrashTracker
from .peer_table import PeerTable

LOG = get_logger(__name__)
WEAK_SECONDS = 60.0
"""Time for which evidence is stored that neither quarantines nor is poison. Most of it is about
requests that were merely in flight at a backend that ended."""
LASTING_SECONDS = 600.0
"""Time for which other evidence is stored; the store grants no longer lease."""
MAXIMUM_WEAK_KEYS = 64
"""Keys in the store from which no further weak evidence is written: each process reads them all."""
MAXIMUM_KEYS = 512
MINIMUM_WRITE_SECONDS = 0.05
"""Shortest time between two writes of a process."""
WRITE_SECONDS_PER_ENTRY = 0.02
"""The same for each entry process, so that all together make 50 writes a second at most."""
CONFLICT_SECONDS = 0.2
"""Pause after a write that came after one of another process, which the replica gets meanwhile."""
FAILURE_SECONDS = 1.0
SCAN_SECONDS = 0.5
"""Interval at which the store is compared with the evidence of this process."""
MAXIMUM_SCANNED_KEYS = 64
"""Keys that are found in one comparison; the next one goes on."""
OTHERS_WRITE_SECONDS = 1.0
"""Time after a crash in which the process that saw it has written it."""


@dataclass(frozen=True, slots=True)
class EvidenceWrite:
    """A write to the store that is due.

    Attributes:
      key: Key of the evidence.
      value: Encoded evidence; empty to delete it.
      backends: Backends whose crashes it holds.
      expected_revision: Revision that the store must hold; 0 if the key must not exist.
      ttl_seconds: Time after which it expires.
    """

    key: bytes
    value: bytes
    backends: frozenset[int]
    expected_revision: int
    ttl_seconds: float

    @property
    def name(self) -> str:
        """Return its key in the store."""
        return CRASHES_PREFIX + self.key.hex()


@dataclass(frozen=True, slots=True)
class StoredEvidence:
    """What the store holds under a key.

    Attributes:
      revision: Its revision.
      era: Era of the store to which that belongs.
      backends: Backends whose crashes it holds.
    """

    revision: int
    era: int
    backends: frozenset[int]


class StoredCrashes:
    """Compares the evidence of this process with the store.

    Attributes:
      tracker: Evidence of this process.
      replica: Local replica of the store.
      peers: The other entry processes.
      stored: What the store is known to hold, by key of the evidence.
      next_write_at: Time before which nothing is written, monotonic.
      next_scan_at: When all evidence is compared again, monotonic.
    """

    def __init__(self, tracker: CrashTracker, replica: StoreReplica, peers: PeerTable) -> None:
        self.tracker = tracker
        self.replica = replica
        self.peers = peers
        self.stored: dict[bytes, StoredEvidence] = {}
        self.next_write_at = -math.inf
        self.next_scan_at = -math.inf
        replica.listeners.append(self.apply_item)

    def apply_item(self, entry: KeyValueEntry, now: float) -> None:
        """Take over evidence that was written to the store; a deletion changes no evidence."""
        if not entry.key.startswith(CRASHES_PREFIX):
            return
        try:
            key = bytes.fromhex(entry.key.removeprefix(CRASHES_PREFIX))
        except ValueError:
            LOG.warning("crashes.unreadable", key=entry.key, error="the key is not hexadecimal")
            return
        self.stored.pop(key, None)
        if not entry.value:
            return
        try:
            evidence = decode(CrashEvidence, entry.value)
        except MalformedMessageError as error:
            LOG.warning("crashes.unreadable", key=entry.key, error=str(error)[:100])
            evidence = CrashEvidence(key)
        backends = frozenset(crash.backend for crash in evidence.crashes)
        self.stored[key] = StoredEvidence(entry.revision, entry.era, backends)
        if evidence.crashes:
            self.tracker.merge_stored(evidence, now)

    def next_write(self, now: float) -> EvidenceWrite | None:
        """Return the most urgent write that is due; None for none now."""
        if now < self.next_write_at:
            return None
        if now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_SECONDS
            self.tracker.changed |= self.neglected(now)
        for key in sorted(self.tracker.changed, key=self.urgency, reverse=True):
            write = self.write_of(key, now)
            if write is not None:
                return write
            self.tracker.changed.discard(key)
        return None

    def urgency(self, key: bytes) -> tuple[int, int, float]:
        """Return what compares higher for evidence that is stored first."""
        record = self.tracker.records.get(key)
        if record is None:
            return (0, 0, 0.0)
        crashes = record.crashes.values()
        return (rounds_of(crashes), len(crashes), record.last_crash_at)

    def neglected(self, now: float) -> set[bytes]:
        """Return keys whose evidence the store lacks, and that this process is appointed for."""
        found: set[bytes] = set()
        for key, record in self.tracker.records.items():
            age = now - record.last_crash_at
            # Most records are about requests that were in flight at one backend that ended.
            has_ended = age > WEAK_SECONDS and len(record.crashes) == 1
            if has_ended or age <= OTHERS_WRITE_SECONDS or not self.is_due(key, record, now):
                continue
            if self.peers.is_appointed(key, now):
                found.add(key)
            if len(found) >= MAXIMUM_SCANNED_KEYS:
                break
        return found

    def is_due(self, key: bytes, record: CrashRecord, now: float) -> bool:
        """Return True if the store should be brought up to date with the evidence on a key."""
        held = self.stored.get(key)
        if not record.crashes:
            return held is not None
        if held is not None and backends_of(record) <= held.backends:
            return False
        return self.ttl_seconds(key, record, now) > 0

    def write_of(self, key: bytes, now: float) -> EvidenceWrite | None:
        """Return the write that brings the store up to date; None if it is."""
        record, held = self.tracker.records.get(key), self.stored.get(key)
        if record is None or not self.is_due(key, record, now):
            return None
        revision = held.revision if held else 0
        if not record.crashes:
            return EvidenceWrite(key, b"", frozenset(), revision, 0.0)
        value = encode(message_of(key, record, now))
        ttl_seconds = self.ttl_seconds(key, record, now)
        return EvidenceWrite(key, value, backends_of(record), revision, ttl_seconds)

    def ttl_seconds(self, key: bytes, record: CrashRecord, now: float) -> float:
        """Return for how long the evidence on a key should be stored; 0 for not at all."""
        is_new = key not in self.stored
        if self.tracker.state_of(key, now) is not QuarantineState.NONE:
            return 0.0 if is_new and len(self.stored) >= MAXIMUM_KEYS else LASTING_SECONDS
        is_old = now - record.last_crash_at > WEAK_SECONDS
        return 0.0 if is_old or (is_new and len(self.stored) >= MAXIMUM_WEAK_KEYS) else WEAK_SECONDS

    def record_written(self, write: EvidenceWrite, revision: int, now: float) -> None:
        """Record that the store has carried out a write.

        Args:
          write: The write.
          revision: Revision of the store after it.
          now: Present time, monotonic, in seconds.
        """
        self.next_write_at = now + self.write_seconds()
        if write.value:
            stored = StoredEvidence(revision, self.replica.era, write.backends)
            self.stored[write.key] = stored
        else:
            self.stored.pop(write.key, None)

    def record_not_written(self, failure: KeyValueFailure, now: float) -> None:
        """Record that a write has failed; it is tried again while it is due."""
        is_conflict = failure is KeyValueFailure.CONFLICT
        self.next_write_at = now + (CONFLICT_SECONDS if is_conflict else FAILURE_SECONDS)

    def write_seconds(self) -> float:
        """Return the time from one write of this process to the next."""
        entries = len(self.peers.by_control) + 1
        return max(MINIMUM_WRITE_SECONDS, WRITE_SECONDS_PER_ENTRY * entries)


def backends_of(record: CrashRecord) -> frozenset[int]:
    """Return the backends whose crashes a message on a record holds."""
    return frozenset(crash.backend for crash in newest_crashes(record))
