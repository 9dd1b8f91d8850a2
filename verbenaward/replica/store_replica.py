"""Replica of the key-value store, merged from snapshots and deltas of several sources.

Every entry carries the revision of its last change. An entry is applied only if its revision is
higher than the one held for its key, whatever its source, so a key never returns to an older value.
A deleted key leaves a tombstone: an entry with an empty value.
"""

import dataclasses
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..platform.key_value import KeyValueEntry

CHANGE_LOG_LENGTH = 4096
"""Recent changes that can be sent as a delta; a process that lacks older ones gets a snapshot."""

MAXIMUM_REPLACED_BYTES = 256
"""Size up to which a delta contains a value that a later one in it replaces."""

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
    """

    revision: int
    is_snapshot: bool
    entries: tuple[KeyValueEntry, ...]
    current_at: float = -math.inf


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

    @property
    def complete_until(self) -> float:
        """Time before which every acknowledged change is included here, monotonic."""
        return max(self.current_at, self.outage_until)

    def apply(self, changes: Changes, now: float) -> int:
        """Apply the entries that are newer than the ones held here.

        Args:
          changes: A snapshot, or a delta since this replica's revision or an earlier one.
          now: Present time, monotonic, in seconds.

        Returns:
          Number of entries that were applied.
        """
        applied = sum(self.apply_entry(entry, now) for entry in entries_of(changes))
        if changes.is_snapshot:
            applied += self.delete_missing(changes, now)
            if not self.revision:
                self.change_log_floor = changes.revision
        self.revision = max(self.revision, changes.revision)
        self.current_at = max(self.current_at, changes.current_at)
        self.updated_at = now
        return applied

    def apply_entry(self, entry: KeyValueEntry, now: float) -> bool:
        """Apply one entry and call the listeners; return False if it is not newer.

        A key without an entry did not exist at the replica's revision, so an entry for it that is
        not newer than that revision is stale. A change that the replica lacked was acknowledged
        after `complete_until`, whatever its source.
        """
        held = self.entries.get(entry.key)
        held_revision = self.revision if held is None else held.revision
        if held_revision >= entry.revision:
            return False
        acknowledged_after = max(entry.acknowledged_after, self.complete_until)
        entry = dataclasses.replace(entry, acknowledged_after=acknowledged_after)
        self.entries[entry.key] = entry
        self.record_change(entry)
        for listener in self.listeners:
            listener(entry, now)
        return True

    def delete_missing(self, changes: Changes, now: float) -> int:
        """Apply tombstones for the keys that a snapshot lacks, except keys changed after it."""
        present = {entry.key for entry in changes.entries}
        missing = [
            entry.key
            for entry in self.entries.values()
            if entry.value and entry.key not in present and entry.revision <= changes.revision
        ]
        return sum(
            self.apply_entry(KeyValueEntry(key, b"", changes.revision), now)
            for key in missing
            if self.entries[key].revision < changes.revision
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

    def changes_after(self, revision: int) -> Changes:
        """Return a delta since a revision, or a snapshot if the log does not reach back to it."""
        if revision < self.change_log_floor or not revision:
            entries = tuple(entry for entry in self.entries.values() if entry.value)
            return Changes(self.revision, True, entries, self.current_at)
        newer = [entry for entry in self.change_log if entry.revision > revision]
        last = {entry.key: entry.revision for entry in newer}
        entries = tuple(
            entry
            for entry in newer
            if entry.revision == last[entry.key] or len(entry.value) <= MAXIMUM_REPLACED_BYTES
        )
        return Changes(self.revision, False, entries, self.current_at)

    def entries_with_prefix(self, prefix: str) -> Iterable[KeyValueEntry]:
        """Return the entries of existing keys that start with a prefix."""
        return [
            entry for entry in self.entries.values() if entry.value and entry.key.startswith(prefix)
        ]
