"""Relay of weights: entry processes receive chunks, cache and pass them on.

Entry VMs have fast links and endpoint VMs slow ones. A few entry processes in the region of the
origin, the readers of a version, read it from the origin (`version_reader`). In every other region
one entry process fetches a chunk from a reader and serves the region. A version that engines in the
region hold is fetched from the endpoint processes beside them.

While the origin is away the others keep requesting chunks from the readers, so that each is passed
on as soon as it has arrived.
"""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..logs import get_logger
from ..placement.fleet import Fleet
from ..platform.key_value import KeyValueEntry, KeyValueService
from ..platform.names import DIGESTS_PREFIX
from ..platform.weights import fetch_chunk
from ..replica.chunk_digests import DIGEST_BYTES, newest_stored_version
from ..schema.settings import Settings
from .chunk_cache import ChunkCache
from .chunk_events import DIGESTS_INDEX, ChunkEvents, ChunkKey
from .chunk_runs import CHUNKS_PER_RUN
from .confirmation import changed_chunks, split_digests
from .origin_link import OriginLink
from .origin_manifests import OriginManifests
from .peer_calls import (
    ENDPOINT_PATH,
    ENTRY_PATH,
    READER_QUERY,
    CallFailure,
    PeerCalls,
)
from .process_map import EntryProcess, ProcessMap
from .readers import ORIGIN_READERS, readers_of_chunk
from .recent_failures import RecentFailures
from .uploads import Uploads
from .version_reader import VersionReader

LOG = get_logger(__name__)
ORIGIN_TIMEOUT_SECONDS = 6.0
"""Timeout of a chunk request to the origin."""
ORIGIN_SILENCE_SECONDS = 1.0
"""Longest time without a byte from the origin, after which the chunk is requested again."""
WAIT_SECONDS = 1.0
"""Longest wait for a chunk that is not available, after which a request is answered with 503. It is
shorter than the time after which a silent process counts as unreachable."""
FETCH_SECONDS = 20.0
"""Time for which a chunk is tried that no source has; later requests start again."""
UNKNOWN_VERSION = 0
"""Stands for the version of a model of which no version is known."""
DIGEST_ATTEMPTS = 5
"""Attempts to fetch the digests of a version."""
LOGGED_FAILURES = 10
"""One of so many failed attempts to fetch a chunk is logged: they go on while the origin is away.
"""
PARALLEL_TRANSFERS = 4
"""Chunks fetched from readers at the same time. More of them would share the readers' links, and
each would take longer."""
RETRY_DELAY_SECONDS = 0.05
LOST_DIGESTS_SECONDS = 2.0
"""Longest random delay before lost digests are written again. All processes hold them; the first
one to write them spares the others the call."""
READ_AHEAD_CHUNKS = CHUNKS_PER_RUN - 1
"""Chunks that are fetched in advance when one is served."""


class ChunkRelay:
    """Gets chunks and digests; concurrent requests for one share a fetch.

    Attributes:
      processes: The processes that read, relay or hold chunks.
      cache: Chunks and digests.
      found_elsewhere: Wakes the calls that wait for a chunk once a reader is found to have it.
      fetching: Running fetches by key.
      readers: Versions that this process reads from the origin, by model and version.
      manifests: Manifests of the origin.
      link: The link to the origin.
      calls: Calls to other processes.
      uploads: Bodies that this process sends.
      transfers: Limits the chunks that are fetched from readers at the same time.
      missing_digests: Digests that could not be had lately; the origin may have dropped a version
        that some backends still hold.
      background_tasks: References to running tasks, so that they are not garbage-collected.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        entries: Callable[[float], list[EntryProcess]],
        session: aiohttp.ClientSession,
        store: KeyValueService,
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.processes = ProcessMap(settings, fleet, entries)
        self.session = session
        self.cache = ChunkCache()
        self.found_elsewhere = ChunkEvents()
        self.fetching: dict[ChunkKey, asyncio.Task[bytes | None]] = {}
        self.readers: dict[tuple[str, int], VersionReader] = {}
        self.manifests = OriginManifests(session, self.processes, store, fleet.replica)
        self.rng = random.Random()
        self.link = OriginLink()
        self.calls = PeerCalls(session)
        self.uploads = Uploads()
        self.transfers = asyncio.Semaphore(PARALLEL_TRANSFERS)
        self.missing_digests = RecentFailures()
        self.background_tasks: set[asyncio.Task[None]] = set()
        fleet.version_listeners.append(self.start_reading)
        fleet.replica.listeners.append(self.apply_stored_digests)
        fleet.replica.era_listeners.append(lambda _: self.write_lost_digests())

    def start_reading(self, model: str, version: int) -> None:
        """Start to read a target version, if this process is one of its readers."""
        if self.processes.is_reader(model, version):
            self.run_in_background(self.read_version(model, version))

    async def read_version(self, model: str, version: int) -> None:
        """Read a version from the origin until this process has its chunks."""
        digests = await self.get(ChunkKey(model, version, DIGESTS_INDEX))
        if digests:
            self.reading(model, version, digests)

    def reading(self, model: str, version: int, digests: bytes) -> VersionReader:
        """Return the running reader of a version; start one if there is none."""
        reader = self.readers.get((model, version))
        if reader is None:
            reader = self.readers[model, version] = VersionReader(
                model,
                version,
                split_digests(digests),
                self.settings.listen,
                lambda: self.processes.neighbours(model, version),
                lambda: self.fleet.newest_version(model) <= version,
                self.cache,
                self.link,
                partial(self.read_from_origin, model, version),
                partial(self.doubt_digests, model, version),
                partial(self.tell_of_holder, model, version),
                self.calls,
            )
            metrics.READERS.set(len(self.readers))
            self.run_in_background(self.run_reader(reader))
        return reader

    def tell_of_holder(self, model: str, version: int, indexes: frozenset[int]) -> None:
        """Wake the calls that wait for chunks which another process now holds."""
        for index in indexes:
            self.found_elsewhere.happen(ChunkKey(model, version, index))

    def doubt_digests(self, model: str, version: int, index: int, body: bytes) -> None:
        """Read a manifest again if the origin repeats a chunk that does not match it."""
        if self.manifests.doubt(model, version, index, body, clock.now()):
            self.run_in_background(self.read_digests_again(model, version))

    def check_stored_digests(self) -> None:
        """Read manifests again whose stored digests are fewer or more than the declared chunks."""
        now = clock.now()
        services = self.fleet.table.configuration.services if self.fleet.table else ()
        for engine in (item.engine for item in services if item.engine):
            for model in engine.models:
                version = newest_stored_version(self.fleet.replica, model)
                digests = self.manifests.stored(model, version)
                if not digests or not self.processes.is_reader(model, version):
                    continue
                number = len(digests) // DIGEST_BYTES
                is_doubted = engine.chunk_count and number != engine.chunk_count
                if is_doubted and self.manifests.starts_reading(model, version, digests, now):
                    self.run_in_background(self.read_digests_again(model, version))

    async def read_digests_again(self, model: str, version: int) -> None:
        """Read doubted digests from the origin again, and replace them if it confirms others."""
        self.known_digests(ChunkKey(model, version, DIGESTS_INDEX))
        digests = await self.manifests.read_again(
            model, version, lambda: self.fleet.newest_version(model) <= version
        )
        held = self.use_digests(model, version, digests) if digests else None
        if digests and held:
            self.manifests.replace(model, version, held, digests)
            await self.manifests.write(model, version, digests)

    def apply_stored_digests(self, entry: KeyValueEntry, now: float) -> None:
        """Use the digests that another process has stored in place of other ones."""
        if not entry.key.startswith(DIGESTS_PREFIX) or not entry.value:
            return
        model, _, number = entry.key.removeprefix(DIGESTS_PREFIX).rpartition("/")
        if number.isdecimal() and self.manifests.follow(model, int(number), entry.value):
            self.use_digests(model, int(number), entry.value)

    def use_digests(self, model: str, version: int, digests: bytes) -> bytes | None:
        """Use digests of a version in place of other ones, and drop what these have verified.

        Returns:
          The digests that were used before; None if no other ones were.
        """
        key = ChunkKey(model, version, DIGESTS_INDEX)
        reader = self.readers.get((model, version))
        held = self.cache.bodies.get(key) or (b"".join(reader.digests) if reader else b"")
        if held in (b"", digests):
            return None
        changed = changed_chunks(held, digests)
        self.cache.add(key, digests)
        for index in changed:
            self.cache.remove(ChunkKey(model, version, index))
        if reader is not None:
            reader.replace_digests(split_digests(digests), changed)
        if self.fleet.newest_version(model) == version:
            self.start_reading(model, version)
        return held

    async def run_reader(self, reader: VersionReader) -> None:
        """Run a reader to its end, and forget it."""
        try:
            await reader.run()
        finally:
            del self.readers[reader.model, reader.version]
            metrics.READERS.set(len(self.readers))

    async def read_from_origin(
        self, model: str, version: int, index: int, on_answer: Callable[[], None]
    ) -> Result[bytes, str]:
        """Request a chunk from the origin."""
        origin = self.processes.origin()
        if origin is None:
            return Failure("no origin is declared")
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

    def fetch_held_digests(self) -> None:
        """Start fetching the digests of versions that backends hold and that are not cached yet."""
        now = clock.now()
        held = {
            (item.model, item.version)
            for view in self.fleet.backends.values()
            for item in view.backend.weights or ()
        }
        for model, version in held:
            key = ChunkKey(model, version, DIGESTS_INDEX)
            if self.known_digests(key) is None and self.missing_digests.working([str(key)], now):
                self.start_fetch(key)

    def find_unknown_versions(self) -> None:
        """Query the origin for the version of each model of which no version is known.

        All engines may have lost their weights before the digests of any version were stored.
        """
        now = clock.now()
        for model in self.models_without_version():
            key = ChunkKey(model, UNKNOWN_VERSION, DIGESTS_INDEX)
            is_due = key not in self.fetching and self.missing_digests.working([str(key)], now)
            if is_due and self.processes.is_reader(model, UNKNOWN_VERSION):
                self.run_fetch(key, self.find_version(key))

    def models_without_version(self) -> list[str]:
        """Return the models without a target version that no engine holds and nobody has stored."""
        table = self.fleet.table
        declared = table.configuration.services if table else ()
        models = {model for item in declared if item.engine for model in item.engine.models}
        held = {
            weights.model
            for view in self.fleet.backends.values()
            for weights in view.backend.weights or ()
        }
        return [
            model
            for model in sorted(models - held)
            if not self.fleet.newest_version(model)
            and not newest_stored_version(self.fleet.replica, model)
        ]

    async def find_version(self, key: ChunkKey) -> bytes | None:
        """Fetch the manifest of the origin's newest version of a model, and store its digests."""
        self.missing_digests.record_failure(str(key), clock.now())
        found = await self.fetch_digests_from_origin(key.model, None)
        if not isinstance(found, Success):
            LOG.warning("version.not-found", model=key.model, error=found.failure()[:150])
        return None

    def write_lost_digests(self) -> None:
        """Write the digests again that a restored store may have lost."""
        for key in tuple(self.cache.bodies):
            if key.index == DIGESTS_INDEX:
                self.run_in_background(self.write_lost(key.model, key.version))

    async def write_lost(self, model: str, version: int) -> None:
        """Write the digests of a version after a random delay, unless another process has."""
        await asyncio.sleep(self.rng.uniform(0.0, LOST_DIGESTS_SECONDS))
        digests = self.cache.get(ChunkKey(model, version, DIGESTS_INDEX))
        if digests:
            await self.manifests.write(model, version, digests)

    async def get_in_time(self, key: ChunkKey, seconds: float, is_for_reader: bool) -> bytes | None:
        """Return a chunk, or None after a time; the fetch then goes on.

        Args:
          key: The chunk.
          seconds: Longest time.
          is_for_reader: True if the caller takes this process for a reader of the version.
        """
        try:
            async with asyncio.timeout(seconds):
                if is_for_reader and key.index != DIGESTS_INDEX:
                    return await self.read_chunk(key, seconds)
                return await self.get(key)
        except TimeoutError:
            return None

    async def read_chunk(self, key: ChunkKey, seconds: float) -> bytes | None:
        """Return a chunk that this process reads as a reader; None if that takes too long."""
        cached = self.cache.get(key)
        if cached is not None:
            return cached
        digests = await self.get(replace(key, index=DIGESTS_INDEX))
        if digests is None or not 0 <= key.index < len(digests) // DIGEST_BYTES:
            return None
        self.reading(key.model, key.version, digests).request(key.index)
        return await self.cache.wait(key, seconds)

    def read_ahead(self, model: str, version: int, index: int) -> None:
        """Start fetching the next chunks of the run: endpoints request them in order."""
        digests = self.cache.get(ChunkKey(model, version, DIGESTS_INDEX))
        count = len(digests) // DIGEST_BYTES if digests else 0
        end_of_run = (index // CHUNKS_PER_RUN + 1) * CHUNKS_PER_RUN
        for following in range(index + 1, min(index + 1 + READ_AHEAD_CHUNKS, end_of_run, count)):
            key = ChunkKey(model, version, following)
            if key not in self.cache:
                self.start_fetch(key)

    async def get(self, key: ChunkKey) -> bytes | None:
        """Return a verified chunk, or the digests of a version; None if every source failed."""
        is_digests = key.index == DIGESTS_INDEX
        cached = self.known_digests(key) if is_digests else self.cache.get(key)
        if cached is not None:
            return cached
        body: bytes | None = await asyncio.shield(self.start_fetch(key))
        return body

    def known_digests(self, key: ChunkKey) -> bytes | None:
        """Return the cached or stored digests of a version; None if there are none."""
        if key not in self.cache and (stored := self.manifests.stored(key.model, key.version)):
            self.cache.add(key, stored)
        return self.cache.get(key)

    def start_fetch(self, key: ChunkKey) -> asyncio.Task[bytes | None]:
        """Return the running task that fetches a chunk; start one if there is none."""
        return self.fetching.get(key) or self.run_fetch(key, self.fetch(key))

    def run_fetch(
        self, key: ChunkKey, work: Coroutine[Any, Any, bytes | None]
    ) -> asyncio.Task[bytes | None]:
        """Run a fetch as a task that further requests for the chunk wait for."""
        task = self.fetching[key] = asyncio.create_task(work)
        task.add_done_callback(lambda _: self.fetching.pop(key, None))
        return task

    async def fetch(self, key: ChunkKey) -> bytes | None:
        """Fetch a chunk from one source after another, verify and cache it."""
        ends_at = clock.now() + FETCH_SECONDS
        for attempt in itertools.count():
            # Digests may be replaced meanwhile.
            digest = await self.digest_of(key)
            if digest is None:
                return None
            is_last = attempt >= DIGEST_ATTEMPTS if not digest else clock.now() > ends_at
            if is_last:
                break
            result = await self.fetch_once(key, attempt)
            if isinstance(result, Success):
                body: bytes = result.unwrap()
                if not digest:
                    # All processes use the stored ones, unless chunks have disproved them.
                    body = self.known_digests(key) or body
                if not digest or hashlib.sha256(body).digest() == digest:
                    self.cache.add(key, body)
                    return body
                metrics.CHUNKS.labels("corrupt").inc()
                LOG.warning("chunk.corrupt", model=key.model, version=key.version, index=key.index)
            elif attempt % LOGGED_FAILURES == 0:
                LOG.warning("chunk.failed", index=key.index, error=result.failure()[:150])
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        if key.index == DIGESTS_INDEX:
            self.missing_digests.record_failure(str(key), clock.now())
        return None

    async def digest_of(self, key: ChunkKey) -> bytes | None:
        """Return the digest of a chunk; empty for the digests themselves, None if there is none."""
        if key.index == DIGESTS_INDEX:
            return b""
        digests = await self.get(replace(key, index=DIGESTS_INDEX))
        if digests is None or not 0 <= key.index < len(digests) // DIGEST_BYTES:
            return None
        return digests[key.index * DIGEST_BYTES : (key.index + 1) * DIGEST_BYTES]

    async def fetch_once(self, key: ChunkKey, attempt: int) -> Result[bytes, str]:
        """Fetch from the source of one attempt.

        The sources are, in order: an endpoint process of the region, a reader, a second endpoint
        process of the region, one of another region, and from then on the readers in turn. A
        reader reads the chunk itself.
        """
        if self.processes.origin() is None:
            return Failure("no origin is declared")
        order = self.processes.reader_order(key.model, key.version)
        if self.settings.listen in order[:ORIGIN_READERS]:
            return await self.fetch_as_reader(key)
        readers = readers_of_chunk(order, max(0, key.index))
        working = self.calls.failures.working(readers, clock.now()) or readers
        reader = working[attempt % min(ORIGIN_READERS, len(working))]
        near, far = self.processes.endpoints_with(key)
        endpoints = [*near[:1], "", *near[1:2], *far[:1]]
        name = f"/{key.model}/{key.version}"
        if key.index != DIGESTS_INDEX:
            name += f"/{key.index}"
        if attempt < len(endpoints) and endpoints[attempt]:
            fetched = await self.calls.fetch(endpoints[attempt], ENDPOINT_PATH + name)
        else:
            fetched = await self.fetch_from_reader(reader, ENTRY_PATH + name)
        return fetched.alt(lambda failure: failure.message)

    async def fetch_from_reader(self, reader: str, path: str) -> Result[bytes, CallFailure]:
        """Fetch a chunk once a reader has it: of the links, only transfers take a part."""
        located = await self.calls.locate(reader, path, READER_QUERY)
        if not isinstance(located, Success):
            return located
        async with self.transfers:
            return await self.calls.fetch(reader, path, READER_QUERY)

    async def fetch_as_reader(self, key: ChunkKey) -> Result[bytes, str]:
        """Fetch digests from the origin, or wait for a chunk that is read from there."""
        if key.index == DIGESTS_INDEX:
            return await self.fetch_digests_from_origin(key.model, key.version)
        body = await self.read_chunk(key, WAIT_SECONDS)
        return Failure("not read yet") if body is None else Success(body)

    async def fetch_digests_from_origin(
        self, model: str, version: int | None
    ) -> Result[bytes, str]:
        """Fetch a confirmed manifest from the origin and write its digests to the store.

        Processes that start later can then verify chunks without the origin.

        Args:
          model: Name of the model.
          version: Version of its weights; None for the newest one that the origin has.
        """
        found = await self.manifests.read(model, version)
        if not isinstance(found, Success):
            return found.map(lambda _: b"")
        manifest = found.unwrap()
        digests = b"".join(manifest.digests)
        self.run_in_background(self.manifests.write(model, manifest.version, digests))
        return Success(digests)

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that nothing awaits."""
        task = asyncio.create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def close(self) -> None:
        """Cancel all fetches and background tasks."""
        self.uploads.close()
        running = [*self.fetching.values(), *self.background_tasks, *self.link.overdue]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
