"""Keeps the replica of the key-value store up to date: by a watch, and from other processes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from returns.result import Result, Success

from .. import clock
from ..logs import get_logger
from ..platform.key_value import KeyValueError, KeyValueFailure, KeyValueService, KeyValueSnapshot
from .store_replica import Changes, StoreReplica

LOG = get_logger(__name__)
MAXIMUM_WATCH_SECONDS = 0.5
"""Longest watch. A watch can stall without an error, in all processes at once."""
UNREACHABLE_WATCH_SECONDS = 0.1
"""Longest watch while the last call to the store failed."""
STANDBY_POLL_SECONDS = 0.1
"""Interval at which a process that does not watch checks whether it has to."""
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.8
ALLOWED_LAG_SECONDS = 0.12
"""Time that a working watch may lag behind a peer before changes are fetched from the peer."""
PEER_RETRY_SECONDS = 0.1
"""Pause after a fetch that failed."""

FetchChanges = Callable[[int], Awaitable[Changes | None]]


class StoreFollower:
    """Updates the replica by a snapshot read and then by watches on the store.

    Attributes:
      store: The key-value store.
      prefix: Prefix of the keys that are replicated.
      replica: Local replica of the store.
      is_watcher: Returns True if this process has to watch the store itself, False if it gets
        the changes from processes that do.
      on_reachable_changed: Called when the store is lost and when it is found again.
      reachable: False from a failed call to the store until the next success.
      failures: Consecutive failed calls.
      needs_snapshot: True if the next step has to read everything.
      restart_watch: Set to end the current watch and begin one at the replica's revision.
    """

    def __init__(
        self,
        store: KeyValueService,
        prefix: str,
        replica: StoreReplica,
        is_watcher: Callable[[], bool] = lambda: True,
        on_reachable_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.replica = replica
        self.is_watcher = is_watcher
        self.on_reachable_changed = on_reachable_changed
        self.reachable = True
        self.failures = 0
        self.needs_snapshot = True
        self.rng = random.Random()
        self.restart_watch = asyncio.Event()

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        while True:
            if self.replica.revision and not self.is_watcher():
                await asyncio.sleep(STANDBY_POLL_SECONDS)
                continue
            result = await self.step()
            if result is None:
                continue
            if isinstance(result, Success):
                self.record_success()
                continue
            self.record_failure(result.failure())
            await asyncio.sleep(self.backoff_seconds())

    async def step(self) -> Result[Changes, KeyValueError] | None:
        """Read a snapshot or watch for the next changes, and apply what was received.

        Returns:
          What the store answered; None if the watch was restarted before that.
        """
        result = await (self.read_all() if self.needs_snapshot else self.watch())
        if isinstance(result, Success):
            self.replica.apply(result.unwrap(), clock.now())
            self.needs_snapshot = False
        return result

    async def read_all(self) -> Result[Changes, KeyValueError]:
        """Read a snapshot of all keys."""
        called_at = clock.now()
        result = await self.store.read_prefix(self.prefix)
        return result.map(lambda read: Changes(read.revision, True, read.entries, called_at))

    async def watch(self) -> Result[Changes, KeyValueError] | None:
        """Wait for changes; return None if `restart_watch` is set before the store answers."""
        self.restart_watch.clear()
        seconds = MAXIMUM_WATCH_SECONDS if self.reachable else UNREACHABLE_WATCH_SECONDS
        called_at = clock.now()
        watching = asyncio.ensure_future(
            self.store.watch(self.prefix, self.replica.revision, seconds)
        )
        restarted = asyncio.ensure_future(self.restart_watch.wait())
        try:
            await asyncio.wait({watching, restarted}, return_when=asyncio.FIRST_COMPLETED)
            if not watching.done():
                return None
            return watching.result().map(lambda read: changes_of_watch(read, called_at))
        finally:
            watching.cancel()
            restarted.cancel()

    def record_success(self) -> None:
        """Reset the failure state after a call that succeeded."""
        self.failures = 0
        if not self.reachable:
            LOG.info("store.found", revision=self.replica.revision)
            self.set_reachable(True)

    def record_failure(self, error: KeyValueError) -> None:
        """Count a failed call; if the store has compacted its history, read a snapshot next."""
        self.failures += 1
        if error.failure is KeyValueFailure.COMPACTED:
            self.needs_snapshot = True
        if self.reachable:
            LOG.warning("store.lost", error=error.message, revision=self.replica.revision)
            self.set_reachable(False)

    def set_reachable(self, reachable: bool) -> None:
        """Record whether the store answers."""
        self.reachable = reachable
        self.on_reachable_changed()

    def backoff_seconds(self) -> float:
        """Return the pause after a failed call: exponential backoff with jitter."""
        backoff = INITIAL_BACKOFF_SECONDS * float(2 ** min(self.failures - 1, 8))
        return min(MAXIMUM_BACKOFF_SECONDS, backoff) * self.rng.uniform(0.5, 1.0)


def changes_of_watch(read: KeyValueSnapshot, called_at: float) -> Changes:
    """Return the changes that a watch has delivered.

    They are complete up to the call only: a stalled watch ends without the changes made meanwhile.

    Args:
      read: What the watch returned.
      called_at: When the watch was begun, monotonic, in seconds.
    """
    return Changes(read.revision, False, read.entries, called_at)


class PeerFetcher:
    """Fetches changes from processes whose replicas are ahead of this one.

    Attributes:
      replica: Local replica of the store.
      follower: The watch on the store.
      fetch: Fetches the changes after a revision from a process that is ahead; None on failure.
      newest_revision: Highest revision that another process has reported.
      peer_ahead: Set when a process reports a higher revision than the replica's.
    """

    def __init__(self, replica: StoreReplica, follower: StoreFollower, fetch: FetchChanges) -> None:
        self.replica = replica
        self.follower = follower
        self.fetch = fetch
        self.newest_revision = 0
        self.peer_ahead = asyncio.Event()

    def observe_revision(self, revision: int) -> None:
        """Record the revision that another process reports."""
        if revision > self.newest_revision:
            self.newest_revision = revision
        if revision > self.replica.revision:
            self.peer_ahead.set()

    async def run(self) -> None:
        """Fetch changes from peers while they are ahead of the replica, until cancelled."""
        while True:
            await self.peer_ahead.wait()
            self.peer_ahead.clear()
            follower = self.follower
            if follower.reachable and self.replica.revision and follower.is_watcher():
                await asyncio.sleep(ALLOWED_LAG_SECONDS)
            if self.newest_revision <= self.replica.revision:
                continue
            changes = await self.fetch(self.replica.revision)
            if changes is None:
                await asyncio.sleep(PEER_RETRY_SECONDS)
                continue
            before = self.replica.revision
            applied = self.replica.apply(changes, clock.now())
            LOG.info("peer.told", after=before, revision=self.replica.revision, items=applied)
            self.follower.restart_watch.set()
