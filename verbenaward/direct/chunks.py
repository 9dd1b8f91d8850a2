"""Relay of weights: entry processes fetch chunks from the origin, cache and serve them.

Entry VMs have fast links and endpoint VMs slow ones. A version that engines in the region hold is
fetched from the endpoint processes beside them. Otherwise each chunk has one owner, by rendezvous
hashing over the entry processes in the region of the origin, and only the owner fetches it from the
origin. In every other region one entry process fetches it from the owner and serves the region.

While the origin is away the owner keeps trying, and the others keep asking the owner, so that a
chunk is passed on as soon as it has arrived. No other process reads from the origin, whose link
would carry several copies of a chunk.
"""

import asyncio
import hashlib
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Coroutine
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
from ..platform.names import ENTRY_PREFIX
from ..platform.weights import WeightsManifest, fetch_chunk, fetch_manifest
from ..replica.chunk_digests import DIGEST_BYTES, stored_digests, write_digests
from ..schema.settings import Settings
from .chunk_owners import WITHOUT_ORIGIN_SECONDS, RecentFailures, owner_order, relays_of
from .chunk_runs import CHUNKS_PER_RUN
from .entry_peers import zone_of_record
from .origin_queue import OriginQueue
from .pacing import rate_of, send_paced
from .state_exchange import StateExchange

LOG = get_logger(__name__)
CHUNK_PATH = "/weights/{model}/{version}/{index}"
DIGESTS_PATH = "/weights/{model}/{version}"
ORIGIN_TIMEOUT_SECONDS = 6.0
"""Timeout of a chunk request to the origin."""
ORIGIN_SILENCE_SECONDS = 1.0
"""Longest time without a byte from the origin, after which the chunk is requested again."""
PEER_TIMEOUT_SECONDS = 6.0
"""Timeout of a request to another entry process or an endpoint process."""
PEER_SILENCE_SECONDS = 1.5
"""Longest time without a byte from such a process."""
WAIT_SECONDS = 1.0
"""Longest wait for a chunk that is not available, after which the request is answered with 503. It
is shorter than `PEER_SILENCE_SECONDS`, so that a waiting owner is not taken for a lost one."""
LOCATE_WAIT_SECONDS = 2.0
"""The same for a HEAD request, which endpoint processes send for all missing chunks."""
CONNECT_SECONDS = 0.5
HTTP_OK = 200
FETCH_SECONDS = 20.0
"""Time for which a chunk is tried that no source has; later requests start again."""
DIGEST_ATTEMPTS = 5
"""Attempts to fetch the digests of a version."""
LOGGED_FAILURES = 10
"""One of so many failed attempts to fetch a chunk is logged: they go on while the origin is away.
"""
RETRY_DELAY_SECONDS = 0.05
MAXIMUM_CACHE_BYTES = 12 * 1024 * 1024
"""Memory for cached chunks and digests."""
LOST_DIGESTS_SECONDS = 2.0
"""Longest random delay before lost digests are written again. All processes hold them; the first
one to write them spares the others the call."""
READ_AHEAD_CHUNKS = CHUNKS_PER_RUN - 1
"""Chunks that are fetched in advance when one is served."""
OWNER_QUERY = "owner"
"""Query parameter of a request to the owner of a chunk: it fetches it from the origin, whichever
process is the owner as far as it knows. Its value is `AS_OWNER` or `AS_BACKUP_OWNER`."""
AS_OWNER = "1"
AS_BACKUP_OWNER = "2"
"""The request goes to the second in the order of owners, as the owner has lost the origin."""
ORIGIN_LOST_HEADER = "X-Origin-Lost"
"""Header of an owner's refusal, if the origin does not answer it."""
PROBE_INTERVAL_SECONDS = 0.5
PROBED_SECONDS = 4.0
"""Time for which a backup owner probes the origin after it was last asked."""
ASKED_HOLDERS = 3
"""Processes that an owner asks for a chunk after each failure of the origin."""
NEW_VERSION_SECONDS = 0.5
"""Time after a process learns of a version in which its owners read from the origin at once."""
CACHED_QUERY = "cached"
"""Query parameter of a request that is only answered from the cache."""

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
      origin_queue: Order of this process's requests to the origin.
      appointed: Chunks that other processes requested from this one as their owner, while they are
        fetched.
      unreachable_peers: Owners that could not be reached lately.
      owners_without_origin: Owners that said lately that they have lost the origin.
      probed_until: Until when this process probes the origin as a backup owner, monotonic.
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
        self.origin_queue = OriginQueue()
        self.appointed: set[ChunkKey] = set()
        self.unreachable_peers = RecentFailures()
        self.owners_without_origin = RecentFailures(WITHOUT_ORIGIN_SECONDS)
        self.probed_until = 0.0
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
            if self.owners_of(key, origin)[0] == self.settings.listen and key not in self.cache:
                self.start_fetch(key)

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
        key = (model, version, index)
        if CACHED_QUERY in request.query:
            cached = self.cache.get(key)
            return web.Response(status=404) if cached is None else web.Response(body=cached)
        if (asked_as := request.query.get(OWNER_QUERY)) and key not in self.cache:
            if asked_as == AS_BACKUP_OWNER and not self.check_origin_or_probe(model, version):
                return web.Response(status=503, headers={ORIGIN_LOST_HEADER: "1"})
            self.appointed.add(key)
        is_head = request.method == "HEAD"
        body = await self.get_in_time(key, LOCATE_WAIT_SECONDS if is_head else WAIT_SECONDS)
        if is_head:
            # Without a length the client takes the connection to end with the answer.
            length = {"Content-Length": str(len(body or b""))}
            return web.Response(status=503 if body is None else 200, headers=length)
        if body is None:
            is_lost = asked_as and self.origin_queue.reachability.is_lost(clock.now())
            return web.Response(status=503, headers={ORIGIN_LOST_HEADER: "1"} if is_lost else None)
        self.read_ahead(model, version, index)
        rate = rate_of(request)
        if not rate:
            return web.Response(body=body)
        return await send_paced(request, body, rate)

    def may_read(self, owners: list[str], model: str, version: int) -> bool:
        """Return True if this process owns a chunk, or may read in place of its owner."""
        return owners[0] == self.settings.listen or self.check_origin_or_probe(model, version)

    def check_origin_or_probe(self, model: str, version: int) -> bool:
        """Return True if the origin answers this process; probe it for the next time if not."""
        now = clock.now()
        if self.origin_queue.reachability.is_steady(now):
            return True
        is_probing, self.probed_until = now < self.probed_until, now + PROBED_SECONDS
        if not is_probing:
            self.run_in_background(self.probe_origin(model, version))
        return False

    async def probe_origin(self, model: str, version: int) -> None:
        """Request a manifest again and again, which shows whether the origin answers."""
        while clock.now() < self.probed_until and (origin := self.origin()) is not None:
            await self.fetch_from_origin((model, version, DIGESTS_INDEX), origin, 0)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def get_in_time(self, key: ChunkKey, seconds: float) -> bytes | None:
        """Return what `get` does, or None after a time; the fetch then goes on."""
        try:
            async with asyncio.timeout(seconds):
                return await self.get(key)
        except TimeoutError:
            return None

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
            task.add_done_callback(lambda _: self.end_fetch(key))
        return task

    def end_fetch(self, key: ChunkKey) -> None:
        """Forget a fetch that has ended."""
        self.fetching.pop(key, None)
        self.appointed.discard(key)

    async def fetch(self, key: ChunkKey) -> bytes | None:
        """Fetch a chunk from one source after another, verify and cache it."""
        digest = await self.digest_of(key)
        if digest is None:
            return None
        ends_at = clock.now() + FETCH_SECONDS
        for attempt in itertools.count():
            is_last = attempt >= DIGEST_ATTEMPTS if not digest else clock.now() > ends_at
            if is_last:
                break
            result = await self.fetch_once(key, attempt)
            if isinstance(result, Success):
                body: bytes = result.unwrap()
                if not digest or hashlib.sha256(body).digest() == digest:
                    self.add_to_cache(key, body)
                    return body
                metrics.CHUNKS.labels("corrupt").inc()
                LOG.warning("chunk.corrupt", model=key[0], version=key[1], index=key[2])
            elif attempt % LOGGED_FAILURES == 0:
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
        process of the region, one of another region, and from then on the owner. If this process
        is the owner, it fetches from the origin instead.
        """
        origin = self.origin()
        if origin is None:
            return Failure("no origin is declared")
        model, version, index = key
        near, far = self.holders_of(key)
        owners = self.owners_of(key, origin)
        owner = self.owners_without_origin.first(owners, clock.now())
        if key in self.appointed:
            owner = self.settings.listen
        elif owner == self.settings.listen and not self.may_read(owners, model, version):
            owner = owners[0]
        sources = [*near[:1], owner, *near[1:2], *far[:1]]
        source = sources[attempt] if attempt < len(sources) else owner
        if source == self.settings.listen:
            return await self.fetch_as_owner(key, origin, attempt)
        name = f"{model}/{version}" + ("" if index == DIGESTS_INDEX else f"/{index}")
        # Entry processes serve /weights, endpoint processes /staged.
        if source != owner:
            return await self.fetch_from_peer(f"http://{source}/staged/{name}")
        asked_as = AS_OWNER if owner == owners[0] else AS_BACKUP_OWNER
        url = f"http://{owner}/weights/{name}?{OWNER_QUERY}={asked_as}"
        return await self.fetch_from_peer(url, owner)

    async def fetch_as_owner(
        self, key: ChunkKey, origin: ServiceDeclaration, attempt: int
    ) -> Result[bytes, str]:
        """Fetch from the origin, unless another process holds the chunk.

        Others hold a chunk that this process does not if its owner was another one before, or if
        a backup owner has fetched it. A few of them are asked first, as owners change with each
        restart, and a few others after each failure.
        """
        # The first attempt may have been at an endpoint process.
        if attempt <= 1 and key[2] != DIGESTS_INDEX and self.may_be_held(key, clock.now()):
            held = await self.fetch_from_any(self.possible_holders(key, origin)[:ASKED_HOLDERS])
            if held is not None:
                return Success(held)
        result = await self.fetch_from_origin(key, origin, attempt)
        now = clock.now()
        if self.origin_queue.reachability.is_lost(now):
            self.owners_without_origin.record_failure(self.settings.listen, now)
        if isinstance(result, Success) or key[2] == DIGESTS_INDEX:
            return result
        urls = self.possible_holders(key, origin)
        start = attempt * ASKED_HOLDERS
        positions = range(start, start + min(ASKED_HOLDERS, len(urls)))
        held = await self.fetch_from_any([urls[position % len(urls)] for position in positions])
        return result if held is None else Success(held)

    def may_be_held(self, key: ChunkKey, now: float) -> bool:
        """Return True unless the version was set so recently that no process can have a chunk."""
        learned = self.fleet.versions.get(key[0], ())
        return not any(
            item.target.version == key[1] and now - item.learned_at < NEW_VERSION_SECONDS
            for item in learned
        )

    async def fetch_from_any(self, urls: list[str]) -> bytes | None:
        """Return a chunk from the first of some processes that has it; None if none has."""
        for url in urls:
            found = await self.fetch_from_peer(url)
            if isinstance(found, Success):
                body: bytes = found.unwrap()
                return body
        return None

    def possible_holders(self, key: ChunkKey, origin: ServiceDeclaration) -> list[str]:
        """Return the URLs of a chunk at the other processes that may hold it.

        First the entry processes that pass it on or that own it, then the endpoint processes.
        """
        model, version, index = key
        entries = dict.fromkeys([*self.relays_of(key), *self.owners_of(key, origin)])
        entries.pop(self.settings.listen, None)
        port = port_of(self.settings.listen)
        endpoints = [
            f"{host_of(view.backend.address)}:{port}"
            for view in self.fleet.backends.values()
            if view.backend.weights is not None
        ]
        name = f"{model}/{version}/{index}"
        return [
            *(f"http://{control}/weights/{name}?{CACHED_QUERY}=1" for control in entries),
            *(f"http://{item}/staged/{name}" for item in rendezvous_order(name, endpoints)),
        ]

    def relays_of(self, key: ChunkKey) -> list[str]:
        """Return the entry processes that endpoints ask for a chunk."""
        direct = self.settings.direct
        assert direct is not None
        model, version, index = key
        controls = {
            entry.key.removeprefix(ENTRY_PREFIX): zone_of_record(entry.value)
            for entry in self.fleet.replica.entries_with_prefix(ENTRY_PREFIX)
        }
        return relays_of(model, version, index, controls, direct.zones)

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

    def owners_of(self, key: ChunkKey, origin: ServiceDeclaration) -> list[str]:
        """Return the control addresses of the owner of a chunk and of its backup owner, if any."""
        direct = self.settings.direct
        assert direct is not None
        region = direct.zones.get(origin.zone, "")
        now = clock.now()
        eligible = [
            peer.control
            for peer in self.exchange.peers.by_control.values()
            if peer.last_broadcast is not None
            and self.exchange.peers.is_present(peer, now)
            and peer.last_broadcast.ready
            and direct.zones.get(peer.last_broadcast.zone) == region
        ]
        if direct.zones.get(self.settings.zone) == region:
            eligible.append(self.settings.listen)
        if not eligible:
            return [self.settings.listen]
        order = owner_order(*key, eligible)
        owner = self.unreachable_peers.first(order, now)
        others = [control for control in order if control != owner]
        return [owner, self.unreachable_peers.first(others, now)] if others else [owner]

    async def fetch_from_origin(
        self, key: ChunkKey, origin: ServiceDeclaration, attempt: int
    ) -> Result[bytes, str]:
        """Fetch a chunk, or the digests of a version, from the origin.

        Chunks that were not tried yet come first, so that one that cannot be had does not keep
        back the others, and then those of low index, so that versions share the origin.
        """
        model, version, index = key

        async def send(on_answer: Callable[[], None]) -> Result[bytes, str]:
            if index == DIGESTS_INDEX:
                return await self.fetch_manifest_from_origin(origin, model, version, on_answer)
            return await fetch_chunk(
                self.session,
                origin.origin,
                model,
                version,
                index,
                ORIGIN_TIMEOUT_SECONDS,
                ORIGIN_SILENCE_SECONDS,
                on_answer,
            )

        result = await self.origin_queue.fetch((attempt, index), send)
        if index == DIGESTS_INDEX:
            return result
        if isinstance(result, Success):
            metrics.WEIGHT_BYTES.labels("origin").inc(len(result.unwrap()))
        return result

    async def fetch_manifest_from_origin(
        self,
        origin: ServiceDeclaration,
        model: str,
        version: int,
        on_answer: Callable[[], None],
    ) -> Result[bytes, str]:
        """Fetch a manifest from the origin and write its digests to the store.

        Processes that start later can then verify chunks without the origin.
        """
        manifest = await fetch_manifest(self.session, origin.origin, model, version, on_answer)
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

    async def fetch_from_peer(self, url: str, owner: str = "") -> Result[bytes, str]:
        """Fetch from another entry process or an endpoint process.

        Args:
          url: URL of the chunk or the digests.
          owner: Control address of the process if it is asked as the owner; passed over for a while
            if it does not answer.
        """
        timeout = aiohttp.ClientTimeout(
            total=PEER_TIMEOUT_SECONDS,
            sock_connect=CONNECT_SECONDS,
            sock_read=PEER_SILENCE_SECONDS,
        )
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != HTTP_OK:
                    if owner and ORIGIN_LOST_HEADER in response.headers:
                        self.owners_without_origin.record_failure(owner, clock.now())
                    return Failure(f"{url}: status {response.status}")
                metrics.WEIGHT_BYTES.labels("entry").inc(len(body))
                return Success(body)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            if owner:
                self.unreachable_peers.record_failure(owner, clock.now())
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
