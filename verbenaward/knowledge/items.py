"""Items of the store in the order of their revisions.

Every item carries the revision of its last change. An item is taken only with a higher
revision than the one known under its key, from whomever it comes, so nothing goes backwards.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..platform.key_value import KeyValueEntry

LOG_LENGTH = 4096
"""Changes that are kept to be handed on; older ones are handed on as the whole state."""

Listener = Callable[[KeyValueEntry, float], None]


@dataclass(frozen=True, slots=True)
class Changes:
    """Items that changed after a revision.

    Attributes:
      revision: Everything up to it is contained.
      complete: True where keys that are missing do not exist.
      entries: The items; a deleted one has an empty value.
    """

    revision: int
    complete: bool
    entries: tuple[KeyValueEntry, ...]


class ItemView:
    """Items of the store as far as this process knows them.

    Attributes:
      items: Last item of each key; a deleted one has an empty value.
      revision: Every change up to it is contained; 0 where nothing was read yet.
      heard_at: When the store or another process last said something new or confirmed.
      listeners: Called with each item that is taken and the present time.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyValueEntry] = {}
        self.revision = 0
        self.heard_at = 0.0
        self.listeners: list[Listener] = []
        self.log: deque[KeyValueEntry] = deque(maxlen=LOG_LENGTH)
        self.log_floor = 0

    def take(self, changes: Changes, now: float) -> int:
        """Take what is newer than what is known.

        Args:
          changes: What was heard, complete up to its revision.
          now: Present time, monotonic, in seconds.

        Returns:
          How many items were taken.
        """
        taken = sum(self.take_entry(entry, now) for entry in changes.entries)
        if changes.complete:
            taken += self.drop_missing(changes, now)
            if not self.revision:
                self.log_floor = changes.revision
        self.revision = max(self.revision, changes.revision)
        self.heard_at = now
        return taken

    def take_entry(self, entry: KeyValueEntry, now: float) -> bool:
        """Take one item; False where it is not newer.

        Everything up to the revision of the view is known, so an unknown key was deleted by then.
        """
        known = self.items.get(entry.key)
        newest = self.revision if known is None else known.version
        if newest >= entry.version:
            return False
        self.items[entry.key] = entry
        self.remember(entry)
        for listener in self.listeners:
            listener(entry, now)
        return True

    def drop_missing(self, changes: Changes, now: float) -> int:
        """Delete the keys that a complete reading no longer has."""
        present = {entry.key for entry in changes.entries}
        gone = [
            entry.key
            for entry in self.items.values()
            if entry.value and entry.key not in present and entry.version <= changes.revision
        ]
        return sum(
            self.take_entry(KeyValueEntry(key, b"", changes.revision), now)
            for key in gone
            if self.items[key].version < changes.revision
        )

    def remember(self, entry: KeyValueEntry) -> None:
        """Keep a change to be handed on."""
        if len(self.log) == LOG_LENGTH:
            oldest = self.log.popleft()
            self.log_floor = max(self.log_floor, oldest.version)
            if not oldest.value and self.items.get(oldest.key) is oldest:
                del self.items[oldest.key]
        self.log.append(entry)

    def changes_after(self, revision: int) -> Changes:
        """Return what another process lacks that knows everything up to a revision."""
        if revision < self.log_floor or not revision:
            entries = tuple(entry for entry in self.items.values() if entry.value)
            return Changes(self.revision, True, entries)
        newer = {entry.key: entry for entry in self.log if entry.version > revision}
        return Changes(self.revision, False, tuple(newer.values()))

    def under(self, prefix: str) -> Iterable[KeyValueEntry]:
        """Return the present items whose keys start with a prefix."""
        return [
            entry for entry in self.items.values() if entry.value and entry.key.startswith(prefix)
        ]
