"""Downloads all chunks of one chunk table, from peers and from the sources."""

import asyncio

import aiohttp
from returns.result import Success

from .. import clock, metrics
from ..bounded_reading import read_at_most
from ..logs import get_logger
from ..schema.messages import ChunksHeld, Member
from ..waiting import is_set_within
from ..wire.codec import MalformedMessageError, decode
from .chunk_table import Chunk, LoadedChunkTable, indexes_by_hash
from .context import WeightContext
from .peers import Peer, PeerTable
from .picker import Pick, RequestsInFlight, pick_from_peers
from .policies import NEVER, POLICIES, Swarm, choose_policy
from .ranks import RankCache
from .reports import AvailabilityReporter
from .store import StoreOutcome

LOG = get_logger(__name__)
PEER_WORKERS = 8
"""Chunks requested from peers at once."""
SOURCE_WORKERS = 1
"""Chunks read from the sources at once."""
NAIVE_SOURCE_WORKERS = 4
"""The same with the policy "naive", which fetches nothing from peers."""
MAXIMUM_PEERS = 24
"""Peers whose availability reports one transfer follows at once."""
STALL_STEP_SECONDS = 1.0
"""Time without progress after which one further rank may act."""
PEER_REFRESH_SECONDS = 0.2
IDLE_SECONDS = 0.03
"""Longest wait of a worker before it looks for work again; backoffs and stalls set no event."""
RECONNECT_SECONDS = 0.1
BUSY_BACKOFF_SECONDS = 0.04
"""Backoff of a peer that refused a request because its upload queue was full."""
PEER_TIMEOUT_SECONDS = 10.0
PEER_READ_TIMEOUT_SECONDS = 1.5
"""Longest pause between two reads of one chunk."""
UPLOADS_HEADER = "X-Uploads"


class Transfer:
    """The download of one chunk table.

    Attributes:
      context: Dependencies shared by all transfers of the process.
      table: The chunk table to download.
      reporter: Reports to subscribed peers which chunks this VM holds.
      missing: Chunks that this VM lacks, by index.
      indexes_by_hash: Chunks with the same bytes; they are fetched once.
      in_flight: Requests in flight by chunk.
      peers: The peers and the chunks that each of them holds.
      last_stored_at: Time at which a chunk was last stored, monotonic.
      changed: Set and replaced whenever workers should look for work again.
      report_tasks: Tasks that read the availability reports of peers, by VM.
      policy_name: Name of the distribution policy.
    """

    def __init__(
        self, context: WeightContext, table: LoadedChunkTable, reporter: AvailabilityReporter
    ) -> None:
        now = clock.now()
        self.context = context
        self.table = table
        self.reporter = reporter
        self.missing: dict[int, Chunk] = {}
        self.indexes_by_hash = indexes_by_hash(table.chunks)
        self.in_flight = RequestsInFlight()
        self.ranks = RankCache(table)
        self.peers = PeerTable(len(table.chunks), now)
        self.last_stored_at = now
        self.changed = asyncio.Event()
        self.report_tasks: dict[str, asyncio.Task[None]] = {}
        self.swarm = Swarm(context.own.member, ())
        self.refresh_peers(now)
        regions = len({item.region for item in (*self.swarm.others, context.own.member)})
        self.policy_name = choose_policy(context.links, regions)
        self.policy = POLICIES.find(self.policy_name)()

    async def run(self) -> None:
        """Download until no chunk is missing."""
        self.find_missing()
        source_workers = NAIVE_SOURCE_WORKERS if self.policy_name == "naive" else SOURCE_WORKERS
        tasks = [asyncio.create_task(self.keep_refreshing_peers())]
        tasks += [asyncio.create_task(self.fetch_from_peers()) for _ in range(PEER_WORKERS)]
        tasks += [asyncio.create_task(self.read_from_sources()) for _ in range(source_workers)]
        try:
            while self.missing:
                await self.wait_for_change()
        finally:
            for task in (*tasks, *self.report_tasks.values()):
                task.cancel()
            await asyncio.gather(*tasks, *self.report_tasks.values(), return_exceptions=True)

    def find_missing(self) -> None:
        """Report the chunks that are stored already and list the others as missing."""
        for chunk in self.table.chunks:
            if chunk.hash in self.context.store.chunks:
                self.reporter.add(chunk.index)
            else:
                self.missing[chunk.index] = chunk

    def progress(self) -> float:
        """Return the share of chunks that this VM holds, from 0 to 1."""
        total = len(self.table.chunks) or 1
        return 1 - len(self.missing) / total

    async def keep_refreshing_peers(self) -> None:
        """Refresh the peers from the membership directory until cancelled."""
        while True:
            self.refresh_peers(clock.now())
            await asyncio.sleep(PEER_REFRESH_SECONDS)

    def refresh_peers(self, now: float) -> None:
        """Update the swarm and the peers from the membership directory.

        Args:
          now: Present time, monotonic, in seconds.
        """
        own = self.context.own.member
        members = [
            item for item in self.context.directory.endpoints_of(own.role) if item.vm != own.vm
        ]
        unresponsive = self.peers.unresponsive(now)
        others = tuple(item for item in members if item.vm not in unresponsive)
        limited = bool(self.context.links.region_bytes_per_second)
        swarm = Swarm(own, others, limited, self.context.links.origin_region)
        if swarm != self.swarm:
            self.swarm = swarm
            self.ranks.clear()
        share = len(self.swarm.same_region) + 1
        self.context.region_link.rate = self.context.links.region_bytes_per_second / share
        chosen = {item.vm: item for item in self.choose_peers(members)}
        for vm in set(self.report_tasks) - set(chosen):
            self.report_tasks.pop(vm).cancel()
            self.peers.remove(vm)
        for vm, member in chosen.items():
            peer = self.peers.add(member)
            if vm not in self.report_tasks:
                self.report_tasks[vm] = asyncio.create_task(self.follow_peer(peer))

    def choose_peers(self, members: list[Member]) -> list[Member]:
        """Return the peers to connect to: present peers first, then random new ones."""
        current = [item for item in members if item.vm in self.report_tasks]
        new = [item for item in members if item.vm not in self.report_tasks]
        self.context.rng.shuffle(new)
        return (current + new)[:MAXIMUM_PEERS]

    async def follow_peer(self, peer: Peer) -> None:
        """Read the availability reports of one peer until cancelled, reconnecting on errors."""
        while True:
            url = f"http://{peer.member.address}/weights/{self.table.digest.hex()}/held"
            try:
                async with self.context.session.ws_connect(url, compress=0) as channel:
                    await self.read_reports(peer, channel)
            except (aiohttp.ClientError, asyncio.TimeoutError, MalformedMessageError, OSError):
                pass
            peer.connected = False
            self.peers.clear(peer)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def read_reports(self, peer: Peer, channel: aiohttp.ClientWebSocketResponse) -> None:
        """Read reports from an open channel until it closes."""
        peer.connected = peer.was_connected = True
        peer.last_report_at = clock.now()
        async for message in channel:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return
            report = decode(ChunksHeld, message.data)
            if self.peers.apply_report(peer, report, clock.now()):
                self.notify_workers()

    async def fetch_from_peers(self) -> None:
        """Worker: fetch chunks from peers until none is missing."""
        while self.missing:
            pick = pick_from_peers(
                self.missing,
                self.in_flight,
                self.peers,
                self.context.own.member.zone,
                self.may_fetch,
                clock.now(),
                self.context.rng,
            )
            if pick is None:
                await self.wait_for_change()
            else:
                await self.fetch_from_peer(pick)

    def may_fetch(self, index: int, peer: Peer) -> bool:
        """Return True if the policy allows this VM to fetch a chunk from a peer now."""
        rank = self.ranks.peer_rank(self.policy, self.swarm, index, peer.member)
        return rank == 0 or (rank != NEVER and rank <= self.allowed_rank(clock.now()))

    async def fetch_from_peer(self, pick: Pick) -> None:
        """Fetch one chunk from a peer; a peer that fails gets no requests for a while."""
        chunk = self.table.chunks[pick.index]
        self.in_flight.start(chunk.index, clock.now())
        pick.peer.outstanding += 1
        try:
            payload = await self.read_from_peer(chunk, pick.peer)
        finally:
            pick.peer.outstanding -= 1
            self.in_flight.finish(chunk.index)
        if payload == b"":
            metrics.CHUNKS.labels("busy").inc()
            pick.peer.backoff_until = clock.now() + BUSY_BACKOFF_SECONDS
            return
        if payload is None:
            self.peers.back_off(pick.peer, clock.now())
            return
        is_far = pick.peer.member.region != self.context.own.member.region
        self.store_payload(chunk, payload, "far-peer" if is_far else "peer", pick.peer)
        if is_far:
            await self.context.region_link.acquire(len(payload))
        await self.context.download.acquire(len(payload))

    async def read_from_peer(self, chunk: Chunk, peer: Peer) -> bytes | None:
        """Return the bytes that a peer sends for a chunk: empty if it is busy, None on failure."""
        url = f"http://{peer.member.address}/weights/chunks/{chunk.hash.hex()}"
        timeout = aiohttp.ClientTimeout(
            total=PEER_TIMEOUT_SECONDS, sock_connect=1.0, sock_read=PEER_READ_TIMEOUT_SECONDS
        )
        try:
            async with self.context.session.get(url, timeout=timeout) as response:
                peer.uploads = int(response.headers.get(UPLOADS_HEADER, "0"))
                if response.status == 503:
                    return b""
                if response.status != 200:
                    return None
                return await read_at_most(response, chunk.length)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return None

    async def read_from_sources(self) -> None:
        """Worker: read chunks from the sources until none is missing."""
        while self.missing:
            chunk = self.next_source_chunk(clock.now())
            if chunk is None:
                await self.wait_for_change()
                continue
            self.in_flight.start(chunk.index, clock.now())
            try:
                await self.read_chunk(chunk)
            finally:
                self.in_flight.finish(chunk.index)

    def next_source_chunk(self, now: float) -> Chunk | None:
        """Return a chunk that this VM should read from the sources now, or None.

        Args:
          now: Present time, monotonic, in seconds.
        """
        allowed_rank = self.allowed_rank(now)
        indexes = [
            index
            for index in self.missing
            if index not in self.in_flight.counts
            and self.ranks.source_rank(self.policy, self.swarm, index) <= allowed_rank
        ]
        self.context.rng.shuffle(indexes)
        for index in indexes:
            if not self.can_fetch_from_peer(index, allowed_rank):
                return self.table.chunks[index]
        return None

    def can_fetch_from_peer(self, index: int, allowed_rank: int) -> bool:
        """Return True if a peer holds a chunk and the policy allows fetching it from there."""
        if not self.peers.holder_counts[index]:
            return False
        return any(
            self.ranks.peer_rank(self.policy, self.swarm, index, peer.member) <= allowed_rank
            for peer in self.peers.peers.values()
            if index in peer.held
        )

    def allowed_rank(self, now: float) -> int:
        """Return the highest rank that may act now: one more for each STALL_STEP_SECONDS stalled.

        Args:
          now: Present time, monotonic, in seconds.
        """
        last_progress_at = max(self.peers.last_new_chunk_at, self.last_stored_at)
        return int((now - last_progress_at) / STALL_STEP_SECONDS)

    async def read_chunk(self, chunk: Chunk) -> None:
        """Read one chunk from the sources; after a failure, wait until a source may be retried."""
        result = await self.context.sources.read(self.table.range_of(chunk))
        if isinstance(result, Success):
            payload = result.unwrap()
            self.store_payload(chunk, payload, "source", None)
            await self.context.download.acquire(len(payload))
            return
        metrics.CHUNKS.labels("source-failed").inc()
        await asyncio.sleep(max(IDLE_SECONDS, result.failure().retry_after_seconds))

    def store_payload(
        self, chunk: Chunk, payload: bytes, received_from: str, peer: Peer | None
    ) -> None:
        """Verify and store a chunk; a peer that sent corrupt bytes is backed off from.

        Args:
          chunk: The chunk.
          payload: The bytes received.
          received_from: Kind of sender: "peer", "far-peer" (of another region) or "source".
          peer: The peer that sent the bytes; None for a source.
        """
        outcome = self.context.store.put(chunk.hash, payload)
        metrics.CHUNKS.labels(outcome.value).inc()
        if received_from != "source":
            metrics.WEIGHT_BYTES.labels(received_from).inc(len(payload))
        if outcome in (StoreOutcome.STORED, StoreOutcome.KNOWN):
            for index in self.indexes_by_hash[chunk.hash]:
                self.missing.pop(index, None)
                self.reporter.add(index)
            self.last_stored_at = clock.now()
            self.notify_workers()
        elif outcome is StoreOutcome.CORRUPT and peer is not None:
            LOG.warning("chunk.corrupt", chunk=chunk.index, peer=peer.member.vm)
            self.peers.back_off(peer, clock.now())

    def notify_workers(self) -> None:
        """Make all waiting workers look for work again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait for a change, at most IDLE_SECONDS."""
        await is_set_within(self.changed, IDLE_SECONDS)
