"""Chunks of weights that entry processes draw from the origin and hand on.

Entry VMs have wide links and endpoint VMs thin ones. A version that engines near by hold comes
from the endpoint processes beside them. Otherwise each chunk has one home, by rendezvous
hashing over the entry processes in the region of the origin; it alone draws from the origin.
In every other region one entry process fetches from the home and serves the region.
"""

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import Coroutine
from typing import Any

import aiohttp
from aiohttp import web
from returns.result import Failure, Result, Success

from .. import metrics
from ..configuration.settings import host_of, port_of
from ..data import ServiceDeclaration
from ..knowledge.digests import DIGEST_BYTES, keep_digests, known_digests
from ..logs import get_logger
from ..membership.ring import rendezvous_order
from ..platform.key_value import KeyValueService
from ..platform.weights import WeightsManifest, fetch_chunk, fetch_manifest
from ..schema.settings import Settings
from .fleet import Fleet
from .pacing import rate_of, send_slowly
from .runs import CHUNKS_PER_RUN
from .state_exchange import StateExchange

LOG = get_logger(__name__)
CHUNK_PATH = "/weights/{model}/{version}/{index}"
MANIFEST_PATH = "/weights/{model}/{version}"
ORIGIN_SECONDS = 3.0
PEER_SECONDS = 1.5
ORIGIN_DRAWS = 1
"""Draws of one process at a time: the first chunks should be there before the last ones."""
ATTEMPTS = 5
PAUSE_SECONDS = 0.05
MEMORY_BYTES = 12 * 1024 * 1024
AHEAD = CHUNKS_PER_RUN - 1

Key = tuple[str, int, int]
MANIFEST_INDEX = -1


class ChunkRelay:
    """Hands chunks and manifests on; each is fetched once, however many ask.

    Attributes:
      memory: Chunks by model, version and index; the least used go first.
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
        self.memory: OrderedDict[Key, bytes] = OrderedDict()
        self.size = 0
        self.fetching: dict[Key, asyncio.Task[bytes | None]] = {}
        self.draws = asyncio.Semaphore(ORIGIN_DRAWS)
        self.aside: set[asyncio.Task[None]] = set()
        fleet.version_listeners.append(self.note_version)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get(MANIFEST_PATH, self.serve)
        app.router.add_get(CHUNK_PATH, self.serve)

    def note_version(self, model: str, version: int) -> None:
        """Draw the chunks of a named version whose home this process is, before anyone asks."""
        self.run_aside(self.draw_own(model, version))

    def know_held(self) -> None:
        """Fetch the manifests of the versions that backends hold, while they can be had."""
        held = {
            (item.model, item.version)
            for view in self.fleet.backends.values()
            for item in view.backend.weights or ()
        }
        for model, version in held:
            if (model, version, MANIFEST_INDEX) not in self.memory:
                self.start((model, version, MANIFEST_INDEX))

    async def draw_own(self, model: str, version: int) -> None:
        """Draw the chunks of a version whose home this process is."""
        origin = self.origin()
        if origin is None or not self.is_near(origin):
            return
        digests = await self.get((model, version, MANIFEST_INDEX))
        for index in range(len(digests or b"") // DIGEST_BYTES):
            key = (model, version, index)
            if self.home_of(key, origin) == self.settings.listen:
                await self.get(key)

    def is_near(self, origin: ServiceDeclaration) -> bool:
        """Return True where this process is in the region of the origin."""
        direct = self.settings.direct
        assert direct is not None
        return direct.zones.get(self.settings.zone) == direct.zones.get(origin.zone)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer a chunk or a manifest, as the digests in order."""
        try:
            version = int(request.match_info["version"])
            index = int(request.match_info.get("index", MANIFEST_INDEX))
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
        return await send_slowly(request, body, rate)

    def read_ahead(self, model: str, version: int, index: int) -> None:
        """Fetch the next chunks: endpoints ask for them in order."""
        digests = self.memory.get((model, version, MANIFEST_INDEX))
        count = len(digests) // DIGEST_BYTES if digests else 0
        end_of_run = (index // CHUNKS_PER_RUN + 1) * CHUNKS_PER_RUN
        for following in range(index + 1, min(index + 1 + AHEAD, end_of_run, count)):
            key = (model, version, following)
            if key not in self.memory:
                self.start(key)

    async def get(self, key: Key) -> bytes | None:
        """Return a checked chunk, or the digests of a version; None where it is not to be had."""
        known = self.memory.get(key)
        if known is not None:
            self.memory.move_to_end(key)
            return known
        model, version, index = key
        if index == MANIFEST_INDEX and (kept := known_digests(self.fleet.view, model, version)):
            self.keep(key, kept)
            return kept
        body: bytes | None = await asyncio.shield(self.start(key))
        return body

    def start(self, key: Key) -> asyncio.Task[bytes | None]:
        """Return the task that fetches a chunk."""
        task = self.fetching.get(key)
        if task is None:
            task = self.fetching[key] = asyncio.create_task(self.fetch(key))
            task.add_done_callback(lambda _: self.fetching.pop(key, None))
        return task

    async def fetch(self, key: Key) -> bytes | None:
        """Fetch a chunk and keep it."""
        digest = await self.digest_of(key)
        if digest is None:
            return None
        for attempt in range(ATTEMPTS):
            result = await self.fetch_once(key, attempt)
            if isinstance(result, Success):
                body: bytes = result.unwrap()
                if not digest or hashlib.sha256(body).digest() == digest:
                    self.keep(key, body)
                    return body
                metrics.CHUNKS.labels("corrupt").inc()
                LOG.warning("chunk.corrupt", model=key[0], version=key[1], index=key[2])
            else:
                LOG.warning("chunk.failed", index=key[2], error=result.failure()[:150])
            await asyncio.sleep(PAUSE_SECONDS)
        return None

    async def digest_of(self, key: Key) -> bytes | None:
        """Return the digest of a chunk; empty for a manifest, None where it is unknown."""
        model, version, index = key
        if index == MANIFEST_INDEX:
            return b""
        digests = await self.get((model, version, MANIFEST_INDEX))
        if digests is None or not 0 <= index < len(digests) // DIGEST_BYTES:
            return None
        return digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]

    async def fetch_once(self, key: Key, attempt: int) -> Result[bytes, str]:
        """Ask the source of one attempt: near engines, the home, far engines, the origin."""
        origin = self.origin()
        if origin is None:
            return Failure("no origin is declared")
        near, far = self.holders_of(key)
        home = self.home_of(key, origin)
        sources = [*near[:1], home, *near[1:2], *far[:1]]
        source = sources[attempt] if attempt < len(sources) else self.settings.listen
        if source == self.settings.listen:
            return await self.draw(key, origin)
        model, version, index = key
        folder = "weights" if source == home else "staged"
        path = f"/{folder}/{model}/{version}" + ("" if index == MANIFEST_INDEX else f"/{index}")
        return await self.ask(f"http://{source}{path}")

    def holders_of(self, key: Key) -> tuple[list[str], list[str]]:
        """Return endpoint processes, near and far ones, whose engines hold a version whole."""
        model, version, index = key
        if index == MANIFEST_INDEX:
            return [], []
        direct = self.settings.direct
        assert direct is not None
        region = direct.zones.get(self.settings.zone)
        port = port_of(self.settings.listen)
        near: list[str] = []
        far: list[str] = []
        for view in self.fleet.backends.values():
            if view.held_version(model) == version and not view.backend.is_leaving:
                control = f"{host_of(view.backend.address)}:{port}"
                is_near = direct.zones.get(view.backend.zone) == region
                (near if is_near else far).append(control)
        name = f"{model}/{version}/{index}"
        return rendezvous_order(name, near), rendezvous_order(name, far)

    def origin(self) -> ServiceDeclaration | None:
        """Return the service that is the origin of weights."""
        table = self.fleet.table
        if table is None:
            return None
        return next((item for item in table.configuration.services if item.origin), None)

    def home_of(self, key: Key, origin: ServiceDeclaration) -> str:
        """Return the control address of the entry process that draws a chunk."""
        direct = self.settings.direct
        assert direct is not None
        region = direct.zones.get(origin.zone, "")
        now = time.monotonic()
        homes = [
            peer.control
            for peer in self.exchange.peers.values()
            if peer.last_broadcast is not None
            and peer.is_alive(now)
            and peer.last_broadcast.ready
            and direct.zones.get(peer.last_broadcast.zone) == region
        ]
        if direct.zones.get(self.settings.zone) == region:
            homes.append(self.settings.listen)
        if not homes:
            return self.settings.listen
        order = rendezvous_order(f"{key[0]}/{key[1]}/{key[2]}", homes)
        return order[0]

    async def draw(self, key: Key, origin: ServiceDeclaration) -> Result[bytes, str]:
        """Draw a chunk or a manifest from the origin."""
        model, version, index = key
        async with self.draws:
            if index == MANIFEST_INDEX:
                return await self.draw_manifest(origin, model, version)
            result = await fetch_chunk(
                self.session, origin.origin, model, version, index, ORIGIN_SECONDS
            )
        if isinstance(result, Success):
            metrics.WEIGHT_BYTES.labels("origin").inc(len(result.unwrap()))
        return result

    async def draw_manifest(
        self, origin: ServiceDeclaration, model: str, version: int
    ) -> Result[bytes, str]:
        """Draw a manifest from the origin, and keep its digests for those that start later."""
        manifest = await fetch_manifest(self.session, origin.origin, model, version)
        digests = manifest.bind(lambda found: digests_of(found, model, version))
        if isinstance(digests, Success):
            work = keep_digests(self.store, self.fleet.view, model, version, digests.unwrap())
            self.run_aside(work)
        return digests

    def run_aside(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that nobody waits for."""
        task = asyncio.create_task(work)
        self.aside.add(task)
        task.add_done_callback(self.aside.discard)

    async def ask(self, url: str) -> Result[bytes, str]:
        """Ask another entry process."""
        timeout = aiohttp.ClientTimeout(total=PEER_SECONDS)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                body = await response.read()
                if response.status != 200:
                    return Failure(f"{url}: status {response.status}")
                metrics.WEIGHT_BYTES.labels("entry").inc(len(body))
                return Success(body)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            return Failure(f"{url}: {type(error).__name__} {error}")

    def keep(self, key: Key, body: bytes) -> None:
        """Keep a chunk within the bound of memory."""
        self.memory[key] = body
        self.size += len(body)
        while self.size > MEMORY_BYTES:
            _, dropped = self.memory.popitem(last=False)
            self.size -= len(dropped)


def digests_of(manifest: WeightsManifest, model: str, version: int) -> Result[bytes, str]:
    """Return the digests of the manifest that was asked for, in order."""
    if (manifest.model, manifest.version) != (model, version):
        return Failure("the origin sent another manifest")
    if not manifest.digests or any(len(item) != DIGEST_BYTES for item in manifest.digests):
        return Failure("the manifest has no digests")
    return Success(b"".join(manifest.digests))
