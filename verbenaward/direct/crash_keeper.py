"""Writes evidence of crashes to the store."""

import asyncio
import contextlib

from returns.result import Success

from .. import clock
from ..logs import get_logger
from ..platform.key_value import KeyValueService
from .stored_crashes import SCAN_SECONDS, EvidenceWrite, StoredCrashes

LOG = get_logger(__name__)
BUSY_SECONDS = 0.02
"""Interval at which a write is looked for while others may follow it."""


class CrashKeeper:
    """Carries out the writes that are due.

    Attributes:
      stored: Decides what is written.
      store: The store.
      changed: Set when this process has new evidence.
    """

    def __init__(self, stored: StoredCrashes, store: KeyValueService) -> None:
        self.stored = stored
        self.store = store
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            write = self.stored.next_write(clock.now())
            if write is not None:
                await self.carry_out(write)
            is_busy = bool(self.stored.tracker.changed)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BUSY_SECONDS if is_busy else SCAN_SECONDS):
                    await self.changed.wait()
            self.changed.clear()

    async def carry_out(self, write: EvidenceWrite) -> None:
        """Write or delete one key; a write that another process was ahead of is decided anew."""
        revision = write.expected_revision
        if write.value:
            result = await self.store.write(write.name, write.value, revision, write.ttl_seconds)
        else:
            result = await self.store.delete(write.name, revision)
        now = clock.now()
        if isinstance(result, Success):
            self.stored.record_written(write, result.unwrap(), now)
            return
        failure = result.failure().failure
        LOG.info("crashes.not_written", key=write.key.hex(), reason=failure.value)
        self.stored.record_not_written(failure, now)
