"""Keeps the view of the store up to date: a watch on the store, and other processes."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from ..logs import get_logger
from ..platform.key_value import KeyValueError, KeyValueFailure, KeyValueService, KeyValueSnapshot
from .items import Changes, ItemView

LOG = get_logger(__name__)
WATCH_SECONDS = 1.0
"""Longest watch. A watch may fall silent without a sign, on all processes at once."""
LOST_WATCH_SECONDS = 0.1
"""Longest watch while the store does not answer."""
IDLE_SECONDS = 0.1
FIRST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.8
LAG_SECONDS = 0.12
"""Time that the own watch may be behind another process before that one is asked."""
ASK_PAUSE_SECONDS = 0.1

AskPeer = Callable[[int], Awaitable[Changes | None]]


class StoreFollower:
    """Follows the store by a watch.

    Attributes:
      store: The store.
      prefix: Keys that are followed.
      view: What is known.
      is_watcher: Tells whether this process watches the store, or hears from those that do.
      reachable: False while the last call to the store failed.
      checked_at: When the store last answered, monotonic; 0 for never.
      failures: Failed calls in a row.
    """

    def __init__(
        self,
        store: KeyValueService,
        prefix: str,
        view: ItemView,
        is_watcher: Callable[[], bool] = lambda: True,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.view = view
        self.is_watcher = is_watcher
        self.reachable = True
        self.checked_at = 0.0
        self.failures = 0
        self.must_read = True
        self.rng = random.Random()
        self.restart = asyncio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if self.view.revision and not self.is_watcher():
                await asyncio.sleep(IDLE_SECONDS)
                continue
            result = await self.step()
            if isinstance(result, Success):
                self.note_success()
                continue
            self.note_failure(result.failure())
            await asyncio.sleep(self.pause_seconds())

    async def step(self) -> Result[KeyValueSnapshot, KeyValueError]:
        """Read everything, or wait for the next changes."""
        if self.must_read:
            result = await self.store.read_prefix(self.prefix)
            complete = True
        else:
            result = await self.watch()
            complete = False
        if isinstance(result, Success):
            snapshot = result.unwrap()
            self.view.take(Changes(snapshot.revision, complete, snapshot.entries), time.monotonic())
            self.must_read = False
        return result

    async def watch(self) -> Result[KeyValueSnapshot, KeyValueError]:
        """Wait for changes; end early where the watch turned out to be silent."""
        self.restart.clear()
        seconds = WATCH_SECONDS if self.reachable else LOST_WATCH_SECONDS
        watching = asyncio.ensure_future(self.store.watch(self.prefix, self.view.revision, seconds))
        silent = asyncio.ensure_future(self.restart.wait())
        try:
            await asyncio.wait({watching, silent}, return_when=asyncio.FIRST_COMPLETED)
            if watching.done():
                return watching.result()
            return Success(KeyValueSnapshot(self.view.revision, ()))
        finally:
            watching.cancel()
            silent.cancel()

    def note_success(self) -> None:
        """Note a call that was answered."""
        if not self.reachable:
            LOG.info("store.found", revision=self.view.revision)
        self.reachable = True
        self.failures = 0
        self.checked_at = time.monotonic()

    def note_failure(self, error: KeyValueError) -> None:
        """Note a failed call; a history that was dropped is read anew."""
        self.failures += 1
        if error.failure is KeyValueFailure.COMPACTED:
            self.must_read = True
        if self.reachable:
            LOG.warning("store.lost", error=error.message, revision=self.view.revision)
        self.reachable = False

    def pause_seconds(self) -> float:
        """Return how long to wait after a failed call."""
        pause = FIRST_PAUSE_SECONDS * float(2 ** min(self.failures - 1, 8))
        return min(LONGEST_PAUSE_SECONDS, pause) * self.rng.uniform(0.5, 1.0)


class PeerFollower:
    """Catches up with other processes that know more than the own watch has told.

    Attributes:
      view: What is known.
      ask: Asks a process that knows more for what changed after a revision.
      newest: Highest revision that another process has named.
    """

    def __init__(self, view: ItemView, follower: StoreFollower, ask: AskPeer) -> None:
        self.view = view
        self.follower = follower
        self.ask = ask
        self.newest = 0
        self.heard = asyncio.Event()

    def note_revision(self, revision: int) -> None:
        """Note what another process knows."""
        if revision > self.newest:
            self.newest = revision
        if revision > self.view.revision:
            self.heard.set()

    async def run(self) -> None:
        """Ask others whenever they have been ahead for a while."""
        while True:
            await self.heard.wait()
            self.heard.clear()
            follower = self.follower
            if follower.reachable and self.view.revision and follower.is_watcher():
                await asyncio.sleep(LAG_SECONDS)
            if self.newest <= self.view.revision:
                continue
            changes = await self.ask(self.view.revision)
            if changes is None:
                await asyncio.sleep(ASK_PAUSE_SECONDS)
                continue
            behind = self.view.revision
            taken = self.view.take(changes, time.monotonic())
            LOG.info("peer.told", after=behind, revision=self.view.revision, items=taken)
            self.follower.restart.set()
