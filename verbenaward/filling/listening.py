"""Hears from entry processes what the store says; the store is asked where none answers."""

import asyncio
import time

import aiohttp

from ..direct.entry_peers import zone_of_record
from ..direct.runs import holder_order
from ..knowledge.handing_on import ask_entry
from ..knowledge.items import ItemView
from ..platform.names import ENTRY_PREFIX
from ..schema.settings import DirectSettings, Settings

WAIT_SECONDS = 3.0
DEAF_SECONDS = 4.5
"""Time without an answer of an entry process after which the store itself is watched."""
PAUSE_SECONDS = 0.2


class EntryListener:
    """Waits at entry processes for changes, near ones first.

    Attributes:
      heard_at: When one last answered, monotonic; 0 for never.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        view: ItemView,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.view = view
        self.session = session
        self.heard_at = 0.0
        self.turn = 0

    def is_deaf(self) -> bool:
        """Return True where no entry process has answered lately."""
        return time.monotonic() - self.heard_at > DEAF_SECONDS

    async def run(self) -> None:
        """Listen until cancelled."""
        while True:
            entries = self.entries()
            if not self.view.revision or not entries:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            control = entries[self.turn % len(entries)]
            changes = await ask_entry(self.session, control, self.view.revision, WAIT_SECONDS)
            if changes is None:
                self.turn += 1
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            self.heard_at = time.monotonic()
            self.view.take(changes, self.heard_at)

    def entries(self) -> list[str]:
        """Return the entry processes to listen to, the best one first."""
        controls = {
            entry.key.removeprefix(ENTRY_PREFIX): zone_of_record(entry.value)
            for entry in self.view.under(ENTRY_PREFIX)
        }
        return holder_order(controls, self.settings.zone, self.direct.zones, self.settings.vm)
