"""Derives from the content of the store to which fleet a process belongs, for its budget."""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Success

from .. import clock
from ..logs import get_logger
from ..platform.key_value import KeyValueEntry, KeyValueFailure, KeyValueService
from ..platform.names import ENTRY_PREFIX, OPENING_KEY
from ..replica.store_replica import StoreReplica
from .budget import SharedRetryBudget
from .budget_opening import Opening, Registrations, Starter, opening_due, opening_of, opening_share

LOG = get_logger(__name__)
START_SECONDS = 1.5
CHECK_SECONDS = 0.02
"""Interval of the updates while a process has run for less than `START_SECONDS`."""
LATER_CHECK_SECONDS = 0.5
FAILURE_PAUSE_SECONDS = 2.0
"""Pause after a write that the store has not confirmed."""
CONFLICT_PAUSE_SECONDS = 0.2
"""Pause after a write that came after one of another process, which the replica gets meanwhile."""


class BudgetMembership:
    """Keeps the retry budget's share up to date, and writes the opening when it is due.

    Attributes:
      budget: The retry budget.
      replica: Local replica of the key-value store.
      store: The store.
      control: Control address of this process.
      is_leaving: Returns True once this process was ordered to stop.
      written: Last opening that this process has written; the replica may not have it yet.
    """

    def __init__(
        self,
        budget: SharedRetryBudget,
        replica: StoreReplica,
        store: KeyValueService,
        control: str,
        is_leaving: Callable[[], bool],
    ) -> None:
        self.budget = budget
        self.replica = replica
        self.store = store
        self.control = control
        self.is_leaving = is_leaving
        self.written = KeyValueEntry(OPENING_KEY, b"", 0)

    async def run(self) -> None:
        """Update the budget until the process leaves."""
        while not self.is_leaving():
            due = self.update(clock.now())
            pause = await self.write(due) if due is not None else 0.0
            has_just_started = clock.now() - self.budget.started_at < START_SECONDS
            await asyncio.sleep(
                pause + (CHECK_SECONDS if has_just_started else LATER_CHECK_SECONDS)
            )

    def update(self, now: float) -> Opening | None:
        """Update the budget's share; return what is to be written to the store."""
        if not self.replica.revision:
            return None
        opening = opening_of(self.known_entry())
        registrations = registrations_of(self.replica)
        starter = Starter(self.control, self.budget.incarnation, now - self.budget.started_at)
        self.budget.is_opening_complete = opening is not None and opening.is_complete
        self.budget.opening_share = opening_share(opening, registrations, starter)
        return opening_due(opening, registrations, starter)

    def known_entry(self) -> KeyValueEntry:
        """Return the latest known entry of the opening; that of a missing key is empty."""
        held = self.replica.entries.get(OPENING_KEY)
        if held is None or (held.era, held.revision) < (self.written.era, self.written.revision):
            return self.written
        return held

    async def write(self, opening: Opening) -> float:
        """Write an opening in place of the known one; return the pause after it, in seconds."""
        known = self.known_entry()
        value = msgspec.json.encode(opening)
        result = await self.store.write(OPENING_KEY, value, known.revision if known.value else 0)
        if not isinstance(result, Success):
            failure = result.failure().failure
            if failure is KeyValueFailure.CONFLICT:
                return CONFLICT_PAUSE_SECONDS
            LOG.info("retry_opening.not_written", reason=failure.value)
            return FAILURE_PAUSE_SECONDS
        self.written = KeyValueEntry(OPENING_KEY, value, result.unwrap(), era=self.replica.era)
        LOG.info("retry_opening.written", members=opening.members, is_complete=opening.is_complete)
        self.update(clock.now())
        return 0.0


def registrations_of(replica: StoreReplica) -> Registrations:
    """Return the registrations of the entry processes in a replica."""
    records = {
        entry.key.removeprefix(ENTRY_PREFIX): entry
        for entry in replica.entries_with_prefix(ENTRY_PREFIX)
    }
    return Registrations(records, replica.revision, replica.era)
