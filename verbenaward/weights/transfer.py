"""Fetches all chunks of one table, from peers and from the sources."""

import asyncio
import time

import aiohttp
from returns.result import Success

from .. import metrics
from ..logs import get_logger
from ..schema.messages import ChunksHeld, Member
from ..waiting import is_set_within
from ..wire.codec import MalformedMessageError, decode
from .context import WeightContext
from .peers import Peer, PeerTable
from .picker import Flights, Pick, pick_from_peers
from .policies import NEVER, POLICIES, Carriers, choose_policy
from .reports import HeldReporter
from .store import StoreOutcome
from .table import Chunk, Table, twins_of
from .turns import Turns

LOG = get_logger(__name__)
DOWNLOAD_WORKERS = 8
DRAW_WORKERS = 1
NAIVE_DRAW_WORKERS = 4
MAXIMUM_NEIGHBOURS = 24
STAGNATION_STEP_SECONDS = 1.0
ADJUST_SECONDS = 0.2
IDLE_SECONDS = 0.03
RECONNECT_SECONDS = 0.1
BUSY_SECONDS = 0.04
PEER_TIMEOUT_SECONDS = 10.0
PEER_SILENCE_SECONDS = 1.5
UPLOADS_HEADER = "X-Uploads"


class Transfer:
    """One running transfer.

    Attributes:
      context: What all transfers of the process share.
      table: The table to fetch.
      reporter: Tells followers what is held.
      missing: Chunks that are not held, by index.
      flights: Running requests by chunk.
      peers: What is known about peers.
      policy_name: Name of the spread policy.
    """

    def __init__(self, context: WeightContext, table: Table, reporter: HeldReporter) -> None:
        now = time.monotonic()
        self.context = context
        self.table = table
        self.reporter = reporter
        self.missing: dict[int, Chunk] = {}
        self.twins = twins_of(table.chunks)
        self.flights = Flights()
        self.turns = Turns(table)
        self.peers = PeerTable(len(table.chunks), now)
        self.progress_at = now
        self.news = asyncio.Event()
        self.channels: dict[str, asyncio.Task[None]] = {}
        self.carriers = Carriers(context.own.member, ())
        self.adjust(now)
        regions = len({item.region for item in (*self.carriers.others, context.own.member)})
        self.policy_name = choose_policy(context.links, regions)
        self.policy = POLICIES.find(self.policy_name)()

    async def run(self) -> None:
        """Fetch until nothing is missing."""
        self.find_missing()
        draw_workers = NAIVE_DRAW_WORKERS if self.policy_name == "naive" else DRAW_WORKERS
        tasks = [asyncio.create_task(self.keep_adjusting())]
        tasks += [asyncio.create_task(self.download()) for _ in range(DOWNLOAD_WORKERS)]
        tasks += [asyncio.create_task(self.draw()) for _ in range(draw_workers)]
        try:
            while self.missing:
                await self.wait_for_news()
        finally:
            for task in (*tasks, *self.channels.values()):
                task.cancel()
            await asyncio.gather(*tasks, *self.channels.values(), return_exceptions=True)

    def find_missing(self) -> None:
        """Note which chunks are held already; equal chunks are fetched once."""
        for chunk in self.table.chunks:
            if chunk.hash in self.context.store.chunks:
                self.reporter.add(chunk.index)
            else:
                self.missing[chunk.index] = chunk

    def progress(self) -> float:
        """Return the share of chunks that are held."""
        total = len(self.table.chunks) or 1
        return 1 - len(self.missing) / total

    async def keep_adjusting(self) -> None:
        """Follow the membership until cancelled."""
        while True:
            self.adjust(time.monotonic())
            await asyncio.sleep(ADJUST_SECONDS)

    def adjust(self, now: float) -> None:
        """Bring peers and carriers in step with the directory.

        Args:
          now: Present time, monotonic, in seconds.
        """
        own = self.context.own.member
        members = [
            item for item in self.context.directory.endpoints_of(own.role) if item.vm != own.vm
        ]
        silent = self.peers.silent(now)
        others = tuple(item for item in members if item.vm not in silent)
        limited = bool(self.context.links.region_bytes_per_second)
        carriers = Carriers(own, others, limited, self.context.links.origin_region)
        if carriers != self.carriers:
            self.carriers = carriers
            self.turns.forget()
        share = len(self.carriers.neighbours) + 1
        self.context.region.rate = self.context.links.region_bytes_per_second / share
        chosen = {item.vm: item for item in self.choose_neighbours(members)}
        for vm in set(self.channels) - set(chosen):
            self.channels.pop(vm).cancel()
            self.peers.remove(vm)
        for vm, member in chosen.items():
            peer = self.peers.add(member)
            if vm not in self.channels:
                self.channels[vm] = asyncio.create_task(self.follow_peer(peer))

    def choose_neighbours(self, members: list[Member]) -> list[Member]:
        """Return the peers to follow: those followed already, then random ones."""
        kept = [item for item in members if item.vm in self.channels]
        fresh = [item for item in members if item.vm not in self.channels]
        self.context.rng.shuffle(fresh)
        return (kept + fresh)[:MAXIMUM_NEIGHBOURS]

    async def follow_peer(self, peer: Peer) -> None:
        """Read the reports of one peer until cancelled, connecting again where needed."""
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
        """Read reports from an open channel until it ends."""
        peer.connected = peer.was_connected = True
        peer.heard_at = time.monotonic()
        async for message in channel:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return
            report = decode(ChunksHeld, message.data)
            if self.peers.take_report(peer, report, time.monotonic()):
                self.tell_news()

    async def download(self) -> None:
        """Fetch from peers until nothing is missing: one of several workers."""
        while self.missing:
            pick = pick_from_peers(
                self.missing,
                self.flights,
                self.peers,
                self.context.own.member.zone,
                self.may_fetch,
                time.monotonic(),
                self.context.rng,
            )
            if pick is None:
                await self.wait_for_news()
            else:
                await self.fetch(pick)

    def may_fetch(self, index: int, peer: Peer) -> bool:
        """Return True where the policy lets this process fetch a chunk from a peer."""
        place = self.turns.fetch_place(self.policy, self.carriers, index, peer.member)
        return place == 0 or (place != NEVER and place <= self.stagnation_steps(time.monotonic()))

    async def fetch(self, pick: Pick) -> None:
        """Fetch one chunk from a peer."""
        chunk = self.table.chunks[pick.index]
        self.flights.begin(chunk.index, time.monotonic())
        pick.peer.outstanding += 1
        try:
            payload = await self.read_from_peer(chunk, pick.peer)
        finally:
            pick.peer.outstanding -= 1
            self.flights.end(chunk.index)
        if payload == b"":
            metrics.CHUNKS.labels("busy").inc()
            pick.peer.banned_until = time.monotonic() + BUSY_SECONDS
            return
        if payload is None:
            self.peers.ban(pick.peer, time.monotonic())
            return
        is_far = pick.peer.member.region != self.context.own.member.region
        self.take_payload(chunk, payload, "far-peer" if is_far else "peer", pick.peer)
        if is_far:
            await self.context.region.take(len(payload))
        await self.context.download.take(len(payload))

    async def read_from_peer(self, chunk: Chunk, peer: Peer) -> bytes | None:
        """Return the bytes that a peer sends for a chunk, or None."""
        url = f"http://{peer.member.address}/weights/chunks/{chunk.hash.hex()}"
        timeout = aiohttp.ClientTimeout(
            total=PEER_TIMEOUT_SECONDS, sock_connect=1.0, sock_read=PEER_SILENCE_SECONDS
        )
        try:
            async with self.context.session.get(url, timeout=timeout) as response:
                peer.uploads = int(response.headers.get(UPLOADS_HEADER, "0"))
                if response.status == 503:
                    return b""
                if response.status != 200:
                    return None
                return await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
            return None

    async def draw(self) -> None:
        """Read chunks from the sources until nothing is missing: one of few workers."""
        while self.missing:
            chunk = self.next_draw(time.monotonic())
            if chunk is None:
                await self.wait_for_news()
                continue
            self.flights.begin(chunk.index, time.monotonic())
            try:
                await self.draw_chunk(chunk)
            finally:
                self.flights.end(chunk.index)

    def next_draw(self, now: float) -> Chunk | None:
        """Return a chunk that this process has to draw, or None.

        Args:
          now: Present time, monotonic, in seconds.
        """
        steps = self.stagnation_steps(now)
        indexes = [
            index
            for index in self.missing
            if index not in self.flights.counts
            and self.turns.draw_place(self.policy, self.carriers, index) <= steps
        ]
        self.context.rng.shuffle(indexes)
        for index in indexes:
            if not self.is_obtainable(index, steps):
                return self.table.chunks[index]
        return None

    def is_obtainable(self, index: int, steps: int) -> bool:
        """Return True where some peer holds a chunk and the policy lets it be fetched."""
        if not self.peers.holders[index]:
            return False
        return any(
            self.turns.fetch_place(self.policy, self.carriers, index, peer.member) <= steps
            for peer in self.peers.peers.values()
            if index in peer.held
        )

    def stagnation_steps(self, now: float) -> int:
        """Return how far down the rendezvous orders those are that may act now.

        Args:
          now: Present time, monotonic, in seconds.
        """
        last = max(self.peers.last_news_at, self.progress_at)
        return int((now - last) / STAGNATION_STEP_SECONDS)

    async def draw_chunk(self, chunk: Chunk) -> None:
        """Read one chunk from the sources."""
        result = await self.context.sources.read(self.table.range_of(chunk))
        if isinstance(result, Success):
            payload = result.unwrap()
            self.take_payload(chunk, payload, "source", None)
            await self.context.download.take(len(payload))
            return
        metrics.CHUNKS.labels("source-failed").inc()
        await asyncio.sleep(max(IDLE_SECONDS, result.failure().retry_after_seconds))

    def take_payload(self, chunk: Chunk, payload: bytes, origin: str, peer: Peer | None) -> None:
        """Store a chunk where its bytes are right."""
        outcome = self.context.store.put(chunk.hash, payload)
        metrics.CHUNKS.labels(outcome.value).inc()
        if origin != "source":
            metrics.WEIGHT_BYTES.labels(origin).inc(len(payload))
        if outcome in (StoreOutcome.STORED, StoreOutcome.KNOWN):
            for index in self.twins[chunk.hash]:
                self.missing.pop(index, None)
                self.reporter.add(index)
            self.progress_at = time.monotonic()
            self.tell_news()
        elif outcome is StoreOutcome.CORRUPT and peer is not None:
            LOG.warning("chunk.corrupt", chunk=chunk.index, peer=peer.member.vm)
            self.peers.ban(peer, time.monotonic())

    def tell_news(self) -> None:
        """Wake all workers."""
        self.news.set()
        self.news = asyncio.Event()

    async def wait_for_news(self) -> None:
        """Wait until something changed, or a short while."""
        await is_set_within(self.news, IDLE_SECONDS)
