"""Receives the store's changes from entry processes by long polling."""

import asyncio

import aiohttp

from .. import clock
from ..direct.entry_peers import zone_of_record
from ..distribution.chunk_runs import entry_order
from ..platform.names import ENTRY_PREFIX
from ..replica.peer_transfer import fetch_changes
from ..replica.store_replica import StoreReplica
from ..schema.settings import DirectSettings, Settings

LONG_POLL_SECONDS = 3.0
ANSWER_TIMEOUT_SECONDS = 4.5
"""Time without an answer from an entry process after which this process watches the store."""
RETRY_SECONDS = 0.2


class EntryPoller:
    """Long-polls entry processes for changes of the store, near ones first.

    Attributes:
      last_answer_at: When an entry process last answered, monotonic; 0 for never.
      position: Position of the entry process that is polled; advances on failure.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        replica: StoreReplica,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.replica = replica
        self.session = session
        self.last_answer_at = 0.0
        self.position = 0

    def needs_store(self) -> bool:
        """Return True if no entry process answers, so that the store itself must be watched."""
        return clock.now() - self.last_answer_at > ANSWER_TIMEOUT_SECONDS

    async def run(self) -> None:
        """Apply changes from entry processes until cancelled."""
        while True:
            entries = self.entries()
            if not self.replica.revision or not entries:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            control = entries[self.position % len(entries)]
            changes = await fetch_changes(
                self.session, control, self.replica.position, LONG_POLL_SECONDS
            )
            if changes is None:
                self.position += 1
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.last_answer_at = clock.now()
            self.replica.apply(changes, self.last_answer_at)
            self.replica.drop_kept_evacuations(self.replica.current_at, self.last_answer_at)

    def entries(self) -> list[str]:
        """Return the addresses of entry processes, the preferred one first."""
        controls = {
            entry.key.removeprefix(ENTRY_PREFIX): zone_of_record(entry.value)
            for entry in self.replica.entries_with_prefix(ENTRY_PREFIX)
        }
        return entry_order(controls, self.settings.zone, self.direct.zones, self.settings.vm)
