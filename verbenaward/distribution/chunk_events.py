"""Events that calls wait for, each about one chunk."""

import asyncio
from dataclasses import dataclass
from weakref import WeakValueDictionary

DIGESTS_INDEX = -1
"""Index under which the digests of a version are cached."""


@dataclass(frozen=True, slots=True)
class ChunkKey:
    """A chunk: its model, version and index. `DIGESTS_INDEX` stands for the version's digests."""

    model: str
    version: int
    index: int


class ChunkEvents:
    """Wakes the calls that wait for a chunk, and no others.

    Attributes:
      events: Event of each chunk that a call waits for; it is forgotten with the last of them.
    """

    def __init__(self) -> None:
        self.events: WeakValueDictionary[ChunkKey, asyncio.Event] = WeakValueDictionary()

    def next(self, key: ChunkKey) -> asyncio.Event:
        """Return what is set when the next event of a chunk happens."""
        event = self.events.get(key) or asyncio.Event()
        self.events[key] = event
        return event

    def happen(self, key: ChunkKey) -> None:
        """Wake the calls that wait for a chunk."""
        if event := self.events.pop(key, None):
            event.set()
