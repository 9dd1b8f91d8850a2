"""Reads the chunks of one version from the origin, together with the version's other readers."""

import asyncio
import hashlib
import math
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from returns.result import Result, Success

from .. import clock, metrics
from ..logs import get_logger
from ..membership.ring import rendezvous_order
from .chunk_cache import ChunkCache
from .chunk_events import ChunkKey
from .origin_link import OriginLink
from .peer_calls import CACHED_QUERY, ENDPOINT_PATH, ENTRY_PATH, PeerCalls
from .readers import (
    ORIGIN_READERS,
    Inventory,
    holders_of,
    next_to_read,
    position_of,
    readers_of_chunk,
)

LOG = get_logger(__name__)
IDLE_SECONDS = 0.1
"""Pause while all missing chunks are held or being received elsewhere."""
ASSIST_DELAY_SECONDS = 0.03
"""Time for which a reader waits before it reads a chunk of another one's share, multiplied by its
position among the readers of that chunk; longer than a query of their inventories takes."""
RETRY_PAUSE_SECONDS = 0.1
"""Pause after a failed request; an origin that refuses gets 10 requests a second from each reader.
"""
STALLED_SECONDS = 20.0
"""Time without a new chunk after which a version is given up until a chunk is requested again."""
SEARCH_INTERVAL_SECONDS = 1.0
"""Interval at which processes that are not readers are searched for chunks."""
QUERY_INTERVAL_SECONDS = 0.5
"""Longest time between two queries of the other readers."""
SLOW_QUERY_SECONDS = 0.1
"""Time of a query from which the link counts as narrow."""
UNQUERIED_CHUNKS = 4
"""Chunks left of the own share from which they are queried before each chunk: another reader may
be about to read the same one."""
FIRST_SEARCH_SECONDS = 0.1
"""Longest wait for the first search, before which nothing is read from the origin."""
SEARCHED_PROCESSES = 8
"""Processes of each kind that are searched. Any that serves a region holds some of its chunks."""
SILENT_SECONDS = 1.5
"""Time without an answer after which what a process had is read or copied from elsewhere."""
COPIED_AT_ONCE = 4
"""Chunks that are copied from other processes at the same time; one over a narrow link, of which
the origin's chunks need the rest."""


OnHeld = Callable[[frozenset[int]], None]
"""Receives the indexes of the chunks that another process is newly known to hold."""
Doubt = Callable[[int, bytes], None]
"""Receives a chunk of the origin that does not match its digest, by its index and body."""
ReadChunk = Callable[[int, Callable[[], None]], Awaitable[Result[bytes, str]]]
"""Requests a chunk from the origin by its index; calls its second argument when the answer begins.
"""


@dataclass(frozen=True, slots=True)
class Neighbours:
    """Processes that may hold chunks of a version.

    Attributes:
      order: Entry processes of the origin's region in the order in which they become readers.
      leaving: Entry processes of that region that are leaving; they may have been readers.
      entries: The other entry processes of that region.
      remote_entries: Entry processes of other regions.
      endpoints: Endpoint processes in the region of this process.
    """

    order: list[str]
    leaving: list[str]
    entries: list[str]
    remote_entries: list[str]
    endpoints: list[str]


class VersionReader:
    """Reads what is missing of one version.

    Attributes:
      model: Name of the model.
      version: Version of its weights.
      digests: SHA-256 digests of its chunks, in order.
      listen: Control address of this process.
      neighbours: Returns the processes that may hold chunks.
      is_target: Returns True while no newer version is set.
      cache: Receives the chunks.
      link: The link to the origin.
      read_chunk: Requests a chunk from the origin.
      doubt: Receives the chunks of the origin that do not match their digests.
      on_held: Receives the chunks that another entry process of the region is found to hold.
      calls: Calls to other processes.
      requested: Chunks that other processes requested from this one as a reader.
      done: Chunks that this process has received, though they may be evicted by now.
      receiving: Chunks that it is receiving from the origin.
      claimed: Chunk that it requests next unless another reader has it or claims it too; None for
        none.
      rejections: How often the origin answered a request for a chunk without its valid bytes.
      inventories: What other processes have, by control address.
      endpoints: Those of them that are endpoint processes.
      remote_entries: Those of them that are entry processes of other regions.
      queried: Processes that the last query of the other readers went to.
      silent: Processes that did not answer the last query.
      answered_at: When a process last answered a query, monotonic, by its control address.
      copies: Running copies of chunks from other processes, by index.
      corrupt_copies: Chunks that a process sent with wrong bytes, with its control address.
      searching: The running search among processes that are not readers; None for none.
      progressed_at: When a chunk last arrived, monotonic.
      queried_at: When the inventories of the other readers were last queried, monotonic.
      query_seconds: Time that this took.
    """

    def __init__(
        self,
        model: str,
        version: int,
        digests: list[bytes],
        listen: str,
        neighbours: Callable[[], Neighbours],
        is_target: Callable[[], bool],
        cache: ChunkCache,
        link: OriginLink,
        read_chunk: ReadChunk,
        doubt: Doubt,
        on_held: OnHeld,
        calls: PeerCalls,
    ) -> None:
        self.model = model
        self.version = version
        self.digests = digests
        self.listen = listen
        self.neighbours = neighbours
        self.is_target = is_target
        self.cache = cache
        self.link = link
        self.read_chunk = read_chunk
        self.doubt = doubt
        self.on_held = on_held
        self.calls = calls
        self.requested: set[int] = set()
        self.done: set[int] = set()
        self.receiving: set[int] = set()
        self.claimed: int | None = None
        self.rejections: Counter[int] = Counter()
        self.inventories: dict[str, Inventory] = {}
        self.endpoints: set[str] = set()
        self.remote_entries: set[str] = set()
        self.queried: set[str] = set()
        self.silent: set[str] = set()
        self.answered_at: dict[str, float] = {}
        self.copies: dict[int, asyncio.Task[None]] = {}
        self.corrupt_copies: set[tuple[str, int]] = set()
        self.searching: asyncio.Task[None] | None = None
        self.progressed_at = clock.now()
        self.queried_at = -math.inf
        self.query_seconds = 0.0

    @property
    def announced(self) -> frozenset[int]:
        """Chunks that other readers leave to this one: it receives them or is about to."""
        claimed = () if self.claimed is None else (self.claimed,)
        return frozenset((*self.receiving, *claimed))

    @property
    def path(self) -> str:
        """Path of the version below that of entry or endpoint processes."""
        return f"/{self.model}/{self.version}"

    def key(self, index: int) -> ChunkKey:
        """Return the key of a chunk."""
        return ChunkKey(self.model, self.version, index)

    def request(self, index: int) -> None:
        """Read a chunk that was evicted or that this process is not responsible for."""
        self.requested.add(index)
        self.done.discard(index)

    def replace_digests(self, digests: list[bytes], changed: set[int]) -> None:
        """Read on with other digests; the chunks whose digests changed are missing again."""
        self.digests = digests
        self.done -= changed
        self.requested &= set(range(len(digests)))
        for index in changed:
            del self.rejections[index]
        self.corrupt_copies = {copy for copy in self.corrupt_copies if copy[1] not in changed}
        self.progressed_at = clock.now()

    def missing(self, order: list[str]) -> list[int]:
        """Return the chunks that this process should still read or copy.

        A reader gets all chunks of the target version, so that none is lost with one process,
        except those that processes behind a narrow link hold: others lack these chunks only if
        they are requested. Of a superseded version it gets what is requested.
        """
        wanted = set(self.requested)
        if self.listen in order[:ORIGIN_READERS] and self.is_target():
            wanted.update(set(range(len(self.digests))) - self.held_remotely())
        return sorted(wanted - self.done)

    @property
    def remote(self) -> set[str]:
        """Known processes behind a narrow link."""
        return self.endpoints | self.remote_entries

    def held_remotely(self) -> set[int]:
        """Return the chunks that endpoint processes or entry processes of other regions hold."""
        held: set[int] = set()
        for control in self.remote & self.inventories.keys():
            held |= self.inventories[control].held
        return held

    async def run(self) -> None:
        """Read until nothing is missing, or no chunk has arrived for `STALLED_SECONDS`."""
        searched_at = -math.inf
        try:
            while clock.now() - self.progressed_at < STALLED_SECONDS:
                neighbours = self.neighbours()
                if clock.now() - searched_at > SEARCH_INTERVAL_SECONDS:
                    searched_at = clock.now()
                    await self.start_search(neighbours)
                missing = self.missing(neighbours.order)
                if not missing:
                    return
                if not await self.read_next(neighbours, missing):
                    await asyncio.sleep(IDLE_SECONDS)
        finally:
            await self.stop_tasks()

    async def start_search(self, neighbours: Neighbours) -> None:
        """Search for chunks in the background, and wait a little for the first results."""
        is_first = self.searching is None
        self.searching = asyncio.create_task(self.search(neighbours))
        if is_first:
            await asyncio.wait({self.searching}, timeout=FIRST_SEARCH_SECONDS)

    async def stop_tasks(self) -> None:
        """Cancel the running copies and the search."""
        running = [*self.copies.values(), *([self.searching] if self.searching else [])]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def read_next(self, neighbours: Neighbours, missing: list[int]) -> bool:
        """Request the next chunk from the origin.

        Returns:
          False if none can be had now, True if the next one may be tried at once.
        """
        async with self.link.turn:
            index = self.chosen(neighbours, missing)
            if index is None or self.position(neighbours, index):
                index = await self.choose(neighbours, missing)
            if index is None:
                return False
            # Readers that chose the same chunk of a lost one at this moment take turns.
            await asyncio.sleep(self.position(neighbours, index) * ASSIST_DELAY_SECONDS)
            try:
                return await self.claim_and_read(neighbours, missing, index)
            finally:
                self.claimed = None

    async def claim_and_read(self, neighbours: Neighbours, missing: list[int], index: int) -> bool:
        """Request a chunk, unless another reader has it, receives it or claims it too.

        The claim comes before the query: of two readers that claim a chunk, the one whose query is
        answered later sees the claim of the other one.

        Returns:
          False if the request failed, True if the next one may be tried at once.
        """
        self.claimed = index
        if await self.choose(neighbours, missing) != index:
            return True
        await self.link.request(lambda on_answer: self.read(index, on_answer))
        # An overdue request keeps no other reader from the chunk.
        self.receiving.discard(index)
        return index in self.done

    def position(self, neighbours: Neighbours, index: int) -> int:
        """Return the position of this process among the readers of a chunk."""
        return position_of(self.listen, readers_of_chunk(neighbours.order, index))

    async def choose(self, neighbours: Neighbours, missing: list[int]) -> int | None:
        """Return the chunk to request next, and start to copy what others hold."""
        if not self.has_own_share_left(neighbours.order, missing):
            await self.query_readers(neighbours)
        self.start_copies(missing)
        return self.chosen(neighbours, missing)

    def chosen(self, neighbours: Neighbours, missing: list[int]) -> int | None:
        """Return the chunk to request next by the inventories known.

        The origin is used at the same time as narrow links: a missing chunk that only processes
        behind one hold was requested, and is read unless it is being copied.
        """
        lacking = [index for index in missing if not self.has(index)]
        near = {
            control: inventory
            for control, inventory in self.inventories.items()
            if control not in self.remote
        }
        return next_to_read(lacking, neighbours.order, self.listen, near, self.rejections)

    @property
    def is_link_narrow(self) -> bool:
        """True if the last query of the other readers took as long as over a narrow link."""
        return self.query_seconds >= SLOW_QUERY_SECONDS

    def has_own_share_left(self, order: list[str], missing: list[int]) -> bool:
        """Return True if this reader goes on reading its own share without a new query.

        Over a narrow link a query takes as long as a chunk. Others read chunks of this share only
        after their own, from its other end.
        """
        is_recent = clock.now() - self.queried_at < QUERY_INTERVAL_SECONDS
        if not is_recent or not self.is_link_narrow:
            return False
        own = [index for index in missing if readers_of_chunk(order, index)[:1] == [self.listen]]
        return sum(not self.has(index) for index in own) >= UNQUERIED_CHUNKS

    def has(self, index: int) -> bool:
        """Return True if a chunk is here or on its way."""
        return index in self.done or index in self.receiving or index in self.copies

    async def read(self, index: int, on_answer: Callable[[], None]) -> None:
        """Read a chunk from the origin."""
        answered = False

        def begin() -> None:
            nonlocal answered
            answered = True
            self.receiving.add(index)
            on_answer()

        self.receiving.add(index)
        self.claimed = None
        began = clock.now()
        try:
            result = await self.read_chunk(index, begin)
        finally:
            self.receiving.discard(index)
        if isinstance(result, Success):
            metrics.WEIGHT_BYTES.labels("origin").inc(len(result.unwrap()))
            if self.accept(index, result.unwrap()):
                took = round(clock.now() - began, 3)
                LOG.info("chunk.read", version=self.version, index=index, seconds=took)
                return
            self.doubt(index, result.unwrap())
        if answered:
            self.rejections[index] += 1
        await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def accept(self, index: int, body: bytes) -> bool:
        """Cache a chunk if it is valid; False if not."""
        expected = self.digests[index] if index < len(self.digests) else b""
        if hashlib.sha256(body).digest() != expected:
            metrics.CHUNKS.labels("corrupt").inc()
            LOG.warning("chunk.corrupt", model=self.model, version=self.version, index=index)
            return False
        self.cache.add(self.key(index), body)
        self.done.add(index)
        self.progressed_at = clock.now()
        return True

    async def query_readers(self, neighbours: Neighbours) -> None:
        """Update the inventories of the other readers, and of processes in place of lost ones.

        One whose inventory still counts may only be busy, or have been replaced as a reader by a
        process that has just started.
        """
        began = clock.now()
        working = self.calls.failures.working(neighbours.order, began)
        former = self.queried & self.inventories.keys()
        readers = {*working[:ORIGIN_READERS], *neighbours.leaving, *former}
        self.queried = readers - {self.listen}
        await self.query(sorted(self.queried), ENTRY_PATH)
        self.queried_at = clock.now()
        self.query_seconds = self.queried_at - began

    async def search(self, neighbours: Neighbours) -> None:
        """Update the inventories of some processes that are not readers."""

        def some(controls: list[str]) -> list[str]:
            return rendezvous_order(self.path + self.listen, controls)[:SEARCHED_PROCESSES]

        entries, remote_entries = some(neighbours.entries), some(neighbours.remote_entries)
        endpoints = some(neighbours.endpoints)
        self.endpoints, self.remote_entries = set(endpoints), set(remote_entries)
        known = {*entries, *remote_entries, *endpoints, *neighbours.order, *neighbours.leaving}
        self.inventories = {
            control: item for control, item in self.inventories.items() if control in known
        }
        await asyncio.gather(
            self.query([*entries, *remote_entries], ENTRY_PATH),
            self.query(endpoints, ENDPOINT_PATH),
        )

    async def query(self, controls: list[str], base: str) -> None:
        """Update the inventories of some processes.

        The last one of a process counts until it has not answered twice: it may only be busy. If no
        answer comes in time, as over a narrow link, it counts for `SILENT_SECONDS`.
        """
        found = await asyncio.gather(
            *(self.calls.inventory(control, base + self.path) for control in controls)
        )
        for control, result in zip(controls, found, strict=True):
            now = clock.now()
            if not isinstance(result, Success):
                silent_seconds = now - self.answered_at.get(control, -math.inf)
                is_slow = result.failure().is_late and silent_seconds < SILENT_SECONDS
                if control in self.silent and not is_slow:
                    self.inventories.pop(control, None)
                self.silent.add(control)
                continue
            inventory = result.unwrap()
            self.silent.discard(control)
            self.answered_at[control] = now
            corrupt = {index for holder, index in self.corrupt_copies if holder == control}
            before = self.inventories.get(control, Inventory()).held
            self.inventories[control] = replace(inventory, held=inventory.held - corrupt)
            if control not in self.remote:
                self.on_held(self.inventories[control].held - before)

    def readers_with(self, index: int) -> list[str]:
        """Return the other entry processes of the origin's region that have a chunk."""
        return [item for item in holders_of(index, self.inventories) if item not in self.remote]

    def start_copies(self, missing: list[int]) -> None:
        """Copy missing chunks from the processes that hold them."""
        most = 1 if self.is_link_narrow else COPIED_AT_ONCE
        for index in missing:
            if len(self.copies) >= most:
                return
            if self.has(index):
                continue
            holders = holders_of(index, self.inventories)
            if holders:
                self.copies[index] = asyncio.create_task(self.copy(index, holders))

    async def copy(self, index: int, holders: list[str]) -> None:
        """Copy a chunk from another process, preferably one with a fast link to this one."""
        near = [control for control in holders if control not in self.remote_entries]
        fast = [control for control in near if control not in self.endpoints]
        holder = rendezvous_order(f"{index}{self.listen}", fast or near or holders)[0]
        base = ENDPOINT_PATH if holder in self.endpoints else ENTRY_PATH
        try:
            result = await self.calls.fetch(holder, f"{base}{self.path}/{index}", CACHED_QUERY)
            if isinstance(result, Success):
                if not self.accept(index, result.unwrap()):
                    self.corrupt_copies.add((holder, index))
            else:
                # A holder that has ended does not answer queries of its inventory.
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
        finally:
            del self.copies[index]
