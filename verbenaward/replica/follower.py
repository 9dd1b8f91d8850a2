"""Keeps the replica of the key-value store up to date: by a watch, and from other processes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from .. import clock
from ..logs import get_logger
from ..platform.key_value import (
    KeyValueError,
    KeyValueFailure,
    KeyValueService,
    KeyValueSnapshot,
    Position,
)
from .store_replica import Changes, StoreReplica

LOG = get_logger(__name__)
MAXIMUM_WATCH_SECONDS = 0.5
"""Longest watch. A watch can stall without an error, in all processes at once."""
UNREACHABLE_WATCH_SECONDS = 0.1
"""Longest watch while the last call to the store failed."""
STALLED_WATCH_SECONDS = 2.0
"""Time before a compaction of the store's history in which watches may have ended without the
changes made meanwhile."""
STANDBY_POLL_SECONDS = 0.1
"""Interval at which a process that does not watch checks whether it has to."""
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.8
ALLOWED_LAG_SECONDS = 0.12
"""Time that a working watch may lag behind a peer before changes are fetched from the peer."""
FIRST_READ_SECONDS = 1.0
"""Time that the first read of the store may take before it is fetched from a peer. After a restart
of all processes their links would be full of the same content otherwise."""
PEER_RETRY_SECONDS = 0.1
"""Pause after a fetch that failed."""
KEPT_FETCH_SECONDS = 0.3
"""Pause after a fetch of what a peer keeps: peers keep different things for a moment."""
MAXIMUM_MERGED_CHECKSUMS = 256

FetchChanges = Callable[[Position], Awaitable[Changes | None]]
ReadFirst = Callable[[], Awaitable[Changes | None]]
FetchKept = Callable[[int], Awaitable[Changes | None]]


class StoreFollower:
    """Updates the replica by a snapshot read and then by watches on the store.

    Attributes:
      store: The key-value store.
      prefix: Prefix of the keys that are replicated.
      replica: Local replica of the store.
      is_watcher: Returns True if this process has to watch the store itself, False if it gets
        the changes from processes that do.
      on_reachable_changed: Called when the store is lost and when it is found again.
      read_first: Returns the whole content of the store from another process; None to read the
        store itself.
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
        read_first: ReadFirst | None = None,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.replica = replica
        self.is_watcher = is_watcher
        self.on_reachable_changed = on_reachable_changed
        self.read_first = read_first
        self.reachable = True
        self.failures = 0
        self.needs_snapshot = True
        self.rng = random.Random()
        self.restart_watch = asyncio.Event()

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        await self.read_from_process()
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

    async def read_from_process(self) -> None:
        """Apply the content that another process has, so that a watch can follow it."""
        if self.read_first is None:
            return
        changes = await self.read_first()
        if changes is not None:
            self.replica.apply(changes, clock.now())
            self.needs_snapshot = False
            LOG.info("store.read-from-peer", revision=changes.revision)

    async def step(self) -> Result[Changes, KeyValueError] | None:
        """Read a snapshot or watch for the next changes, and apply what was received.

        Returns:
          What the store answered; None if the watch was restarted before that.
        """
        result = await (self.read_all() if self.needs_snapshot else self.watch())
        if not isinstance(result, Success):
            return result
        changes = result.unwrap()
        if changes.era < self.replica.era:
            message = f"the store answered from era {changes.era} after {self.replica.era}"
            return Failure(KeyValueError(KeyValueFailure.UNAVAILABLE, message))
        # Changes since a revision of another era do not tell what the store has lost.
        self.needs_snapshot = changes.era > self.replica.era and not changes.is_snapshot
        self.replica.apply(changes, clock.now())
        return result

    async def read_all(self) -> Result[Changes, KeyValueError]:
        """Read a snapshot of all keys."""
        called_at = clock.now()
        result = await self.store.read_prefix(self.prefix)
        return result.map(
            lambda read: Changes(read.revision, True, read.entries, called_at, read.era)
        )

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
            return watching.result().map(
                lambda read: changes_of_watch(read, called_at, seconds, clock.now())
            )
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
        """Count a failed call; if the store has compacted its history, read a snapshot next.

        The watches just before that may have ended without changes that were made meanwhile. A
        store that reports a compaction is reachable.
        """
        if error.failure is KeyValueFailure.COMPACTED:
            self.needs_snapshot = True
            self.replica.current_at -= STALLED_WATCH_SECONDS
            return
        self.failures += 1
        if self.reachable:
            LOG.warning("store.lost", error=error.message, revision=self.replica.revision)
            self.set_reachable(False)

    def set_reachable(self, reachable: bool) -> None:
        """Record whether the store answers."""
        self.reachable = reachable
        self.on_reachable_changed()

    def backoff_seconds(self) -> float:
        """Return the pause after a failed call: exponential backoff with jitter."""
        backoff = INITIAL_BACKOFF_SECONDS * float(2 ** min(max(self.failures - 1, 0), 8))
        return min(MAXIMUM_BACKOFF_SECONDS, backoff) * self.rng.uniform(0.5, 1.0)


def changes_of_watch(
    read: KeyValueSnapshot, called_at: float, seconds: float, now: float
) -> Changes:
    """Return the changes that a watch has delivered.

    The store answers a watch without changes after its whole duration, else at an unknown time
    after the call.

    Args:
      read: What the watch returned.
      called_at: When the watch was begun, monotonic, in seconds.
      seconds: Duration after which the store ends it.
      now: Present time, monotonic, in seconds.
    """
    ended_at = called_at + seconds
    current_at = ended_at if not read.entries and now >= ended_at else called_at
    return Changes(read.revision, False, read.entries, current_at, read.era)


class PeerFetcher:
    """Fetches changes from processes whose replicas are ahead of this one.

    After a restore of the store, it also fetches what other processes keep from before.

    Attributes:
      replica: Local replica of the store.
      follower: The watch on the store.
      fetch: Fetches the changes after a position from a process that is ahead; None on failure.
      fetch_kept: Fetches what a process keeps whose checksum of that is given; None on failure.
      newest: Latest position that another process has reported.
      kept_elsewhere: Checksum of what another process keeps and this one may lack; 0 for none.
      merged_checksums: Such checksums that were dealt with.
      has_news: Set when there is something to fetch.
    """

    def __init__(
        self,
        replica: StoreReplica,
        follower: StoreFollower,
        fetch: FetchChanges,
        fetch_kept: FetchKept,
    ) -> None:
        self.replica = replica
        self.follower = follower
        self.fetch = fetch
        self.fetch_kept = fetch_kept
        self.newest = Position()
        self.kept_elsewhere = 0
        self.merged_checksums: set[int] = set()
        self.has_news = asyncio.Event()

    def observe(self, position: Position, kept_checksum: int) -> None:
        """Record the position that another process reports, and the checksum of what it keeps."""
        self.newest = max(self.newest, position)
        if position > self.replica.position:
            self.has_news.set()
        if (
            kept_checksum
            and position.era == self.replica.era
            and kept_checksum not in self.merged_checksums
            and kept_checksum != self.replica.kept_checksum()
        ):
            self.kept_elsewhere = kept_checksum
            self.has_news.set()

    async def run(self) -> None:
        """Fetch from peers what the replica lacks, until cancelled."""
        while True:
            await self.has_news.wait()
            self.has_news.clear()
            await self.wait_for_store()
            if self.newest > self.replica.position:
                await self.fetch_newer()
            if self.kept_elsewhere:
                await self.merge_kept()

    async def wait_for_store(self) -> None:
        """Give the store the time to tell this process itself, if it reads or watches it."""
        follower = self.follower
        if self.replica.revision:
            if follower.reachable and follower.is_watcher():
                await asyncio.sleep(ALLOWED_LAG_SECONDS)
            return
        until = clock.now() + FIRST_READ_SECONDS
        while follower.reachable and not self.replica.revision and clock.now() < until:
            await asyncio.sleep(PEER_RETRY_SECONDS)

    async def fetch_newer(self) -> None:
        """Fetch the changes after the replica's position and apply them."""
        before = self.replica.position
        changes = await self.fetch(before)
        if changes is None:
            await asyncio.sleep(PEER_RETRY_SECONDS)
            return
        applied = self.replica.apply(changes, clock.now())
        LOG.info(
            "change.received", after=before.revision, revision=self.replica.revision, items=applied
        )
        self.follower.restart_watch.set()

    async def merge_kept(self) -> None:
        """Fetch what a peer keeps from before a restore of the store, and apply it."""
        checksum, self.kept_elsewhere = self.kept_elsewhere, 0
        changes = await self.fetch_kept(checksum)
        if changes is not None:
            if len(self.merged_checksums) >= MAXIMUM_MERGED_CHECKSUMS:
                self.merged_checksums.clear()
            self.merged_checksums.add(checksum)
            applied = self.replica.merge_kept(changes, clock.now())
            LOG.info("kept_items.received", era=self.replica.era, items=applied)
        await asyncio.sleep(KEPT_FETCH_SECONDS)
