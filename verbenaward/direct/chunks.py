"""Relay of weights: entry processes fetch chunks from the origin, cache and serve them.

Entry VMs have fast links and endpoint VMs slow ones. A version that engines in the region hold is
fetched from the endpoint processes beside them. Otherwise each chunk has one owner, by rendezvous
hashing over the entry processes in the region of the origin, and only the owner fetches it from the
origin. In every other region one entry process fetches it from the owner and serves the region.
"""

import asyncio
import hashlib
import random
from collections import OrderedDict
from collections.abc import Coroutine
from typing import Any

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..configuration.settings import host_of, port_of
from ..data import ServiceDeclaration
from ..logs import get_logger
from ..membership.ring import rendezvous_order
from ..placement.fleet import Fleet
from ..platform.key_value import KeyValueService
from ..platform.weights import WeightsManifest, fetch_chunk, fetch_manifest
from ..replica.chunk_digests import DIGEST_BYTES, stored_digests, write_digests
from ..schema.settings import Settings
from .chunk_runs import CHUNKS_PER_RUN
from .pacing import rate_of, send_paced
from .state_exchange import StateExchange

LOG = get_logger(__name__)
CHUNK_PATH = "/weights/{model}/{version}/{index}"
DIGESTS_PATH = "/weights/{model}/{version}"
ORIGIN_TIMEOUT_SECONDS = 3.0
"""Timeout of a chunk request to the origin."""
PEER_TIMEOUT_SECONDS = 1.5
"""Timeout of a request to another entry process or an endpoint process."""
CONCURRENT_ORIGIN_FETCHES = 1
"""Fetches from the origin at a time, so that the first chunks are complete before the last ones."""
ATTEMPTS = 5
"""Attempts to fetch one chunk, each from the next source."""
RETRY_DELAY_SECONDS = 0.05
MAXIMUM_CACHE_BYTES = 12 * 1024 * 1024
"""Memory for cached chunks and digests."""
LOST_DIGESTS_SECONDS = 2.0
"""Longest random delay before lost digests are written again. All processes hold them; the first
one to write them spares the others the call."""
READ_AHEAD_CHUNKS = CHUNKS_PER_RUN - 1
"""Chunks that are fetched in advance when one is served."""

ChunkKey = tuple[str, int, int]
"""Model, version and index of a chunk."""
DIGESTS_INDEX = -1
"""Index under which the digests of a version are cached."""


class ChunkRelay:
    """Serves chunks and digests; concurrent requests for one share a fetch.

    Attributes:
      cache: Chunks and digests by key, with least-recently-used eviction.
      cache_bytes: Bytes cached now.
      fetching: Running fetches by key.
      origin_slots: Limits the concurrent fetches from the origin.
      background_tasks: References to running tasks, so that they are not garbage-collected.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        exchange: StateExchange,
        session: aiohttp.ClientSession,
        store: KeyValueService,
    ) -> None:
        self.settings = settings
        self.store = store
        self.fleet = fleet
        self.exchange = exchange
        self.session = session
        self.cache: OrderedDict[ChunkKey, bytes] = OrderedDict()
        self.cache_bytes = 0
        self.fetching: dict[ChunkKey, asyncio.Task[bytes | None]] = {}
        self.rng = random.Random()
        self.origin_slots = asyncio.Semaphore(CONCURRENT_ORIGIN_FETCHES)
        self.background_tasks: set[asyncio.Task[None]] = set()
        fleet.version_listeners.append(self.prefetch_version)
        fleet.replica.era_listeners.append(lambda _: self.write_lost_digests())

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of digests and chunks to an application."""
        app.router.add_get(DIGESTS_PATH, self.serve)
        app.router.add_get(CHUNK_PATH, self.serve)

    def prefetch_version(self, model: str, version: int) -> None:
        """Start fetching the chunks of a target version that this process owns."""
        self.run_in_background(self.prefetch_owned(model, version))

    def fetch_held_digests(self) -> None:
        """Start fetching the digests of versions that backends hold and that are not cached yet."""
        held = {
            (item.model, item.version)
            for view in self.fleet.backends.values()
            for item in view.backend.weights or ()
        }
        for model, version in held:
            if (model, version, DIGESTS_INDEX) not in self.cache:
                self.start_fetch((model, version, DIGESTS_INDEX))

    def write_lost_digests(self) -> None:
        """Write the digests again that a restored store may have lost."""
        for model, version, index in tuple(self.cache):
            if index == DIGESTS_INDEX:
                self.run_in_background(self.write_lost(model, version))

    async def write_lost(self, model: str, version: int) -> None:
        """Write the digests of a version after a random delay, unless another process has."""
        await asyncio.sleep(self.rng.uniform(0.0, LOST_DIGESTS_SECONDS))
        digests = self.cache.get((model, version, DIGESTS_INDEX))
        if digests:
            await write_digests(self.store, self.fleet.replica, model, version, digests)

    async def prefetch_owned(self, model: str, version: int) -> None:
        """Fetch the chunks of a version that this process owns."""
        origin = self.origin()
        if origin is None or not self.is_in_region(origin):
            return
        digests = await self.get((model, version, DIGESTS_INDEX))
        for index in range(len(digests or b"") // DIGEST_BYTES):
            key = (model, version, index)
            if self.owner_of(key, origin) == self.settings.listen:
                await self.get(key)

    def is_in_region(self, origin: ServiceDeclaration) -> bool:
        """Return True if this process is in the region of the origin."""
        direct = self.settings.direct
        assert direct is not None
        return direct.zones.get(self.settings.zone) == direct.zones.get(origin.zone)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer a request for a chunk, or for a version's digests in the order of its chunks."""
        try:
            version = int(request.match_info["version"])
            index = int(request.match_info.get("index", DIGESTS_INDEX))
        except ValueError:
            return web.Response(status=400)
        model = request.match_info["model"]
        body = await self.get((model, version, index))
        if body is None:
            return web.Response(status=503)
        self.read_ahead(model, version, index)
        rate = rate_of(request)
        if not rate:
            return web.Response(body=body)
        return await send_paced(request, body, rate)

    def read_ahead(self, model: str, version: int, index: int) -> None:
        """Start fetching the next chunks of the run: endpoints request them in order."""
        digests = self.cache.get((model, version, DIGESTS_INDEX))
        count = len(digests) // DIGEST_BYTES if digests else 0
        end_of_run = (index // CHUNKS_PER_RUN + 1) * CHUNKS_PER_RUN
        for following in range(index + 1, min(index + 1 + READ_AHEAD_CHUNKS, end_of_run, count)):
            key = (model, version, following)
            if key not in self.cache:
                self.start_fetch(key)

    async def get(self, key: ChunkKey) -> bytes | None:
        """Return a verified chunk, or the digests of a version; None if every source failed."""
        cached = self.cache.get(key)
        if cached is not None:
            self.cache.move_to_end(key)
            return cached
        model, version, index = key
        if index == DIGESTS_INDEX and (
            stored := stored_digests(self.fleet.replica, model, version)
        ):
            self.add_to_cache(key, stored)
            return stored
        body: bytes | None = await asyncio.shield(self.start_fetch(key))
        return body

    def start_fetch(self, key: ChunkKey) -> asyncio.Task[bytes | None]:
        """Return the running task that fetches a chunk; start one if there is none."""
        task = self.fetching.get(key)
        if task is None:
            task = self.fetching[key] = asyncio.create_task(self.fetch(key))
            task.add_done_callback(lambda _: self.fetching.pop(key, None))
        return task

    async def fetch(self, key: ChunkKey) -> bytes | None:
        """Fetch a chunk from one source after another, verify and cache it."""
        digest = await self.digest_of(key)
        if digest is None:
            return None
        for attempt in range(ATTEMPTS):
            result = await self.fetch_once(key, attempt)
            if isinstance(result, Success):
                body: bytes = result.unwrap()
                if not digest or hashlib.sha256(body).digest() == digest:
                    self.add_to_cache(key, body)
                    return body
                metrics.CHUNKS.labels("corrupt").inc()
                LOG.warning("chunk.corrupt", model=key[0], version=key[1], index=key[2])
            else:
                LOG.warning("chunk.failed", index=key[2], error=result.failure()[:150])
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return None

    async def digest_of(self, key: ChunkKey) -> bytes | None:
        """Return the digest of a chunk; empty for the digests themselves, None if there is none."""
        model, version, index = key
        if index == DIGESTS_INDEX:
            return b""
        digests = await self.get((model, version, DIGESTS_INDEX))
        if digests is None or not 0 <= index < len(digests) // DIGEST_BYTES:
            return None
        return digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]

    async def fetch_once(self, key: ChunkKey, attempt: int) -> Result[bytes, str]:
        """Fetch from the source of one attempt.

        The sources are, in order: an endpoint process of the region, the owner, a second endpoint
        process of the region, one of another region, the origin. If this process is the owner, it
        fetches from the origin instead.
        """
        origin = self.origin()
        if origin is None:
            return Failure("no origin is declared")
        near, far = self.holders_of(key)
        owner = self.owner_of(key, origin)
        sources = [*near[:1], owner, *near[1:2], *far[:1]]
        source = sources[attempt] if attempt < len(sources) else self.settings.listen
        if source == self.settings.listen:
            return await self.fetch_from_origin(key, origin)
        model, version, index = key
        # Entry processes serve /weights, endpoint processes /staged.
        folder = "weights" if source == owner else "staged"
        path = f"/{folder}/{model}/{version}" + ("" if index == DIGESTS_INDEX else f"/{index}")
        return await self.fetch_from_peer(f"http://{source}{path}")

    def holders_of(self, key: ChunkKey) -> tuple[list[str], list[str]]:
        """Return the endpoint processes whose engines hold a version, in the region and outside."""
        model, version, index = key
        if index == DIGESTS_INDEX:
            return [], []
        direct = self.settings.direct
        assert direct is not None
        region = direct.zones.get(self.settings.zone)
        # All processes of a deployment use the same control port.
        port = port_of(self.settings.listen)
        near: list[str] = []
        far: list[str] = []
        for view in self.fleet.backends.values():
            if view.held_version(model) == version and not view.backend.is_leaving:
                control = f"{host_of(view.backend.address)}:{port}"
                is_in_region = direct.zones.get(view.backend.zone) == region
                (near if is_in_region else far).append(control)
        name = f"{model}/{version}/{index}"
        return rendezvous_order(name, near), rendezvous_order(name, far)

    def origin(self) -> ServiceDeclaration | None:
        """Return the service that is the origin of weights; None if none is declared."""
        table = self.fleet.table
        if table is None:
            return None
        return next((item for item in table.configuration.services if item.origin), None)

    def owner_of(self, key: ChunkKey, origin: ServiceDeclaration) -> str:
        """Return the control address of the entry process that fetches a chunk from the origin."""
        direct = self.settings.direct
        assert direct is not None
        region = direct.zones.get(origin.zone, "")
        now = clock.now()
        eligible = [
            peer.control
            for peer in self.exchange.peers.by_control.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and peer.last_broadcast.ready
            and direct.zones.get(peer.last_broadcast.zone) == region
        ]
        if direct.zones.get(self.settings.zone) == region:
            eligible.append(self.settings.listen)
        if not eligible:
            return self.settings.listen
        order = rendezvous_order(f"{key[0]}/{key[1]}/{key[2]}", eligible)
        return order[0]

    async def fetch_from_origin(
        self, key: ChunkKey, origin: ServiceDeclaration
    ) -> Result[bytes, str]:
        """Fetch a chunk, or the digests of a version, from the origin."""
        model, version, index = key
        async with self.origin_slots:
            if index == DIGESTS_INDEX:
                return await self.fetch_manifest_from_origin(origin, model, version)
            result = await fetch_chunk(
                self.session, origin.origin, model, version, index, ORIGIN_TIMEOUT_SECONDS
            )
        if isinstance(result, Success):
            metrics.WEIGHT_BYTES.labels("origin").inc(len(result.unwrap()))
        return result

    async def fetch_manifest_from_origin(
        self, origin: ServiceDeclaration, model: str, version: int
    ) -> Result[bytes, str]:
        """Fetch a manifest from the origin and write its digests to the store.

        Processes that start later can then verify chunks without the origin.
        """
        manifest = await fetch_manifest(self.session, origin.origin, model, version)
        digests = manifest.bind(lambda found: digests_of(found, model, version))
        if isinstance(digests, Success):
            work = write_digests(self.store, self.fleet.replica, model, version, digests.unwrap())
            self.run_in_background(work)
        return digests

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that nothing awaits."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def close(self) -> None:
        """Cancel all fetches and background tasks."""
        running = [*self.fetching.values(), *self.background_tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def fetch_from_peer(self, url: str) -> Result[bytes, str]:
        """Fetch from another entry process or an endpoint process."""
        timeout = aiohttp.ClientTimeout(total=PEER_TIMEOUT_SECONDS)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    return Failure(f"{url}: status {response.status}")
                metrics.WEIGHT_BYTES.labels("entry").inc(len(body))
                return Success(body)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(f"{url}: {type(error).__name__} {error}")

    def add_to_cache(self, key: ChunkKey, body: bytes) -> None:
        """Cache a chunk, and evict the least recently used ones over `MAXIMUM_CACHE_BYTES`."""
        self.cache[key] = body
        self.cache_bytes += len(body)
        while self.cache_bytes > MAXIMUM_CACHE_BYTES:
            _, dropped = self.cache.popitem(last=False)
            self.cache_bytes -= len(dropped)


def digests_of(manifest: WeightsManifest, model: str, version: int) -> Result[bytes, str]:
    """Return the digests of a manifest, joined in the order of its chunks."""
    if (manifest.model, manifest.version) != (model, version):
        return Failure("the origin sent the manifest of another model or version")
    if not manifest.digests or any(len(item) != DIGEST_BYTES for item in manifest.digests):
        return Failure("the manifest has no digests or malformed ones")
    return Success(b"".join(manifest.digests))
