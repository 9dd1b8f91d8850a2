"""Replica of the key-value store, merged from snapshots and deltas of several sources.

Every entry carries the revision of its last change. An entry is applied only if its revision is
higher than the one held for its key, whatever its source, so a key never returns to an older value.
A deleted key leaves a tombstone: an entry with an empty value.

A store that was restored from a copy begins a new era, in which its revisions start again from
those of the copy. What the copy lacks is kept until its writer has written it again (see
`succession`); a registration for at most `KEPT_REGISTRATION_SECONDS`, after which the store's own
word counts, as a backend that has left no longer renews what the copy holds of it. An evacuation
that the copy lacks is kept for at most `KEPT_EVACUATION_SECONDS`.
"""

import dataclasses
import math
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, Position
from ..platform.write_orders import is_kept_if_missing, kind_of, order_of
from .succession import supersedes

LOG = get_logger(__name__)
CHANGE_LOG_LENGTH = 4096
"""Recent changes that can be sent as a delta; a process that lacks older ones gets a snapshot."""

MAXIMUM_REPLACED_BYTES = 256
"""Size up to which a delta contains a value that a later one in it replaces."""

KEPT_REGISTRATION_SECONDS = 6.0
"""Time after a restore of the store for which a later registration, or its end, is kept against
what the store holds. The platform ends a registration after three heartbeats of silence, and
backends return within 2 s of an outage."""
KEPT_EVACUATION_SECONDS = 30.0
"""Time after a restore of the store for which an evacuation is in force that the store lacks. The
operator writes again what the store has lost; an evacuation that was to end while the store was
being restored cannot be told from one, so it ends by itself."""

Listener = Callable[[KeyValueEntry, float], None]


@dataclass(frozen=True, slots=True)
class Changes:
    """A snapshot of the store, or a delta since some revision.

    Attributes:
      revision: Every change up to this revision of the store is included.
      is_snapshot: True for a snapshot, in which a missing key does not exist.
      entries: Last change of each key; a delta also has small ones that it replaced, the oldest
        first. A tombstone has an empty value.
      current_at: Every change that the store acknowledged before this time is included, monotonic;
        minus infinity if unknown.
      era: Era of the store to which the revision belongs.
    """

    revision: int
    is_snapshot: bool
    entries: tuple[KeyValueEntry, ...]
    current_at: float = -math.inf
    era: int = 0


def entries_of(changes: Changes) -> tuple[KeyValueEntry, ...]:
    """Return the entries of changes with the times of the first changes that they may stand for.

    A snapshot lacks the changes that were replaced before it, so the time of its last change of a
    key says nothing about the one before.
    """
    if not changes.is_snapshot:
        return changes.entries
    return tuple(
        dataclasses.replace(entry, acknowledged_after=-math.inf) for entry in changes.entries
    )


def tombstone_after(tombstone: KeyValueEntry, held: KeyValueEntry) -> KeyValueEntry:
    """Return the tombstone of a key with what is known of its last value.

    Args:
      tombstone: The tombstone as it was received.
      held: Entry that it replaces, which may be a tombstone too.
    """
    held_revision = held.revision if held.value else held.last_revision
    return dataclasses.replace(
        tombstone,
        last_order=max(tombstone.last_order, order_of(held)),
        last_revision=max(tombstone.last_revision, held_revision),
    )


class StoreReplica:
    """Local replica of the key-value store.

    Attributes:
      entries: Last known entry of each key, tombstones included.
      revision: Every change up to this revision is included; 0 before the first read.
      current_at: Every change that the store acknowledged before this time is included, monotonic;
        minus infinity before the first read.
      outage_until: Time up to which the store is known to have answered no process in its last
        outage, monotonic; minus infinity for none. It acknowledges nothing in an outage.
      updated_at: When changes, possibly none, were last received; monotonic, 0 for never.
      listeners: Called with each entry that is applied and the present time.
      change_log: Recent changes in the order in which they were applied.
      change_log_floor: Deltas can be built for this revision and later ones only.
      era: Era of the store to which `revision` and `change_log` belong.
      kept: Keys whose entries are from an earlier era, as the store has not caught up with them.
      deferred: What the store holds for keys with kept registrations.
      restored_at: When the present era began here, monotonic; minus infinity for the first one.
      era_known_at: When this replica first read the store in the present era, monotonic.
      era_listeners: Called with the present time after a restored store was read.
    """

    def __init__(self) -> None:
        self.entries: dict[str, KeyValueEntry] = {}
        self.revision = 0
        self.current_at = -math.inf
        self.outage_until = -math.inf
        self.updated_at = 0.0
        self.listeners: list[Listener] = []
        self.change_log: deque[KeyValueEntry] = deque(maxlen=CHANGE_LOG_LENGTH)
        self.change_log_floor = 0
        self.era = 0
        self.kept: set[str] = set()
        self.deferred: dict[str, KeyValueEntry] = {}
        self.restored_at = -math.inf
        self.era_known_at = -math.inf
        self.era_listeners: list[Callable[[float], None]] = []

    @property
    def position(self) -> Position:
        """Position in the store's history up to which every change is included."""
        return Position(self.era, self.revision)

    @property
    def complete_until(self) -> float:
        """Time before which every acknowledged change is included here, monotonic."""
        return max(self.current_at, self.outage_until)

    def apply(self, changes: Changes, now: float) -> int:
        """Apply the entries that are newer than the ones held here.

        Changes of an earlier era are ignored, and so is a delta of a later one, as it does not
        tell what the store has lost.

        Args:
          changes: A snapshot, or a delta since this replica's revision or an earlier one.
          now: Present time, monotonic, in seconds.

        Returns:
          Number of entries that were applied.
        """
        begins_era = changes.era > self.era
        if changes.era < self.era or (begins_era and not changes.is_snapshot):
            return 0
        is_restored = begins_era and self.revision > 0
        if begins_era:
            self.begin_era(changes.era)
            self.era_known_at = now
        if is_restored:
            self.restored_at = now
        applied = sum(self.apply_entry(entry, now) for entry in entries_of(changes))
        if changes.is_snapshot:
            applied += self.delete_missing(changes, now)
            if not self.revision:
                self.change_log_floor = changes.revision
        self.revision = max(self.revision, changes.revision)
        self.current_at = max(self.current_at, changes.current_at)
        self.updated_at = now
        if is_restored:
            self.finish_restore(now)
        return applied

    def begin_era(self, era: int) -> None:
        """Begin an era of the store, in which no revision is known yet."""
        self.era = era
        self.revision = 0
        self.change_log.clear()
        self.deferred.clear()

    def finish_restore(self, now: float) -> None:
        """Find out what is kept after a restored store was read, and call the era listeners.

        Tombstones of the earlier era are dropped, unless the store still has the key.
        """
        earlier = [entry for entry in self.entries.values() if entry.era < self.era]
        for entry in earlier:
            if not entry.value and entry.key not in self.deferred:
                del self.entries[entry.key]
        self.kept = {entry.key for entry in earlier if entry.key in self.entries}
        LOG.warning(
            "store.restored", era=self.era, revision=self.revision, kept=sorted(self.kept)[:8]
        )
        for listener in self.era_listeners:
            listener(now)

    def merge_kept(self, changes: Changes, now: float) -> int:
        """Apply what another process keeps from an earlier era; return the number applied."""
        if changes.era != self.era:
            return 0
        return sum(self.apply_entry(entry, now) for entry in changes.entries)

    def drop_kept_registrations(self, now: float) -> None:
        """Apply what the store holds in place of kept registrations, once their time has passed."""
        if not self.deferred or now - self.restored_at < KEPT_REGISTRATION_SECONDS:
            return
        deferred, self.deferred = self.deferred, {}
        for entry in deferred.values():
            if entry.key in self.kept:
                self.put(entry, now)

    def drop_kept_evacuations(self, complete_until: float, now: float) -> None:
        """End the evacuations that the store has lost, once their time has passed.

        Args:
          complete_until: Time before which every change that the store acknowledged is known. What
            the operator has written again counts, also if it arrives late.
          now: Present time, monotonic, in seconds.
        """
        if not self.kept or self.keeps_evacuations(complete_until):
            return
        for key in [key for key in self.kept if is_kept_if_missing(key)]:
            self.put(KeyValueEntry(key, b"", self.revision, era=self.era), now)

    def keeps_evacuations(self, at: float) -> bool:
        """Return True for a time at which evacuations that the store has lost are in force."""
        return at - self.era_known_at < KEPT_EVACUATION_SECONDS

    def apply_entry(self, entry: KeyValueEntry, now: float) -> bool:
        """Apply one entry and call the listeners; return False if it is not newer.

        A key without an entry did not exist at the replica's position, so an entry for it that is
        not newer than that is stale, unless the store was restored and its writer never deletes
        it. A change that the replica lacked was acknowledged after `complete_until`, whatever its
        source, but for one that the store has lost.
        """
        held = self.entries.get(entry.key)
        if held is None and not self.is_newer_without_entry(entry, now):
            return False
        if held is not None and not supersedes(entry, held):
            if self.is_deferred(entry, held):
                self.defer(entry, now)
            return False
        if entry.era == self.era:
            acknowledged_after = max(entry.acknowledged_after, self.complete_until)
            entry = dataclasses.replace(entry, acknowledged_after=acknowledged_after)
        if held is not None and self.is_deferred(held, entry):
            self.defer(held, now)
        if held is not None and not entry.value:
            entry = tombstone_after(entry, held)
        self.put(entry, now)
        return True

    def is_newer_without_entry(self, entry: KeyValueEntry, now: float) -> bool:
        """Return True if an entry is news for a replica that holds none for its key."""
        if entry.era == self.era:
            return entry.revision > self.revision
        if is_kept_if_missing(entry.key):
            return bool(entry.value) and self.keeps_evacuations(now)
        kind = kind_of(entry.key)
        return bool(entry.value) and kind is not None and kind.is_permanent

    def is_deferred(self, stored: KeyValueEntry, kept: KeyValueEntry) -> bool:
        """Return True if what the store holds is applied later, as a newer entry is kept."""
        kind = kind_of(stored.key)
        is_kept = kept.era < self.era == stored.era
        return is_kept and bool(stored.value) and kind is not None and not kind.is_permanent

    def defer(self, entry: KeyValueEntry, now: float) -> None:
        """Keep what the store holds for later.

        A process that started after the restore learns of it by what others keep.
        """
        self.deferred[entry.key] = entry
        if self.restored_at == -math.inf:
            self.restored_at = now

    def put(self, entry: KeyValueEntry, now: float) -> None:
        """Hold an entry in place of the present one and call the listeners."""
        self.entries[entry.key] = entry
        if entry.era == self.era:
            self.kept.discard(entry.key)
            self.deferred.pop(entry.key, None)
            self.record_change(entry)
        else:
            self.kept.add(entry.key)
        for listener in self.listeners:
            listener(entry, now)

    def delete_missing(self, changes: Changes, now: float) -> int:
        """Apply tombstones for the keys that a snapshot lacks, except keys changed after it.

        An evacuation of an earlier era is kept.
        """
        present = {entry.key for entry in changes.entries}
        missing = [
            entry.key
            for entry in self.entries.values()
            if entry.value
            and entry.key not in present
            and Position(entry.era, entry.revision) < Position(changes.era, changes.revision)
            and not (entry.era < changes.era and is_kept_if_missing(entry.key))
        ]
        return sum(
            self.apply_entry(KeyValueEntry(key, b"", changes.revision, era=changes.era), now)
            for key in missing
        )

    def record_change(self, entry: KeyValueEntry) -> None:
        """Append a change to the log. If the log is full, drop its oldest change.

        If that is a tombstone still in the replica, it is dropped there too.
        """
        if len(self.change_log) == CHANGE_LOG_LENGTH:
            oldest = self.change_log.popleft()
            self.change_log_floor = max(self.change_log_floor, oldest.revision)
            if not oldest.value and self.entries.get(oldest.key) is oldest:
                del self.entries[oldest.key]
        self.change_log.append(entry)

    def changes_after(self, position: Position) -> Changes:
        """Return a delta since a position, or a snapshot if the log does not reach back to it."""
        revision = position.revision
        if position.era != self.era or revision < self.change_log_floor or not revision:
            held = self.entries.values()
            entries = (
                *self.deferred.values(),
                *(entry for entry in held if entry.value or self.tells_absence(entry.key)),
            )
            return Changes(self.revision, True, entries, self.current_at, self.era)
        newer = [entry for entry in self.change_log if entry.revision > revision]
        last = {entry.key: entry.revision for entry in newer}
        entries = tuple(
            entry
            for entry in newer
            if entry.revision == last[entry.key] or len(entry.value) <= MAXIMUM_REPLACED_BYTES
        )
        return Changes(self.revision, False, entries, self.current_at, self.era)

    def tells_absence(self, key: str) -> bool:
        """Return True if a snapshot has the tombstone of a key, as its absence says too little."""
        return key in self.kept or is_kept_if_missing(key)

    def kept_changes(self) -> Changes:
        """Return the entries that are kept from an earlier era, after what the store holds."""
        kept = (self.entries[key] for key in sorted(self.kept))
        entries = (*self.deferred.values(), *kept)
        return Changes(self.revision, False, entries, -math.inf, self.era)

    def kept_checksum(self) -> int:
        """Return a checksum over the entries that are kept from an earlier era; 0 for none."""
        checksum = 0
        for entry in (self.entries[key] for key in sorted(self.kept)):
            text = f"{entry.key} {entry.last_order} ".encode()
            checksum = zlib.crc32(text + entry.value, checksum)
        return checksum

    def entries_with_prefix(self, prefix: str) -> Iterable[KeyValueEntry]:
        """Return the entries of existing keys that start with a prefix."""
        return [
            entry for entry in self.entries.values() if entry.value and entry.key.startswith(prefix)
        ]
