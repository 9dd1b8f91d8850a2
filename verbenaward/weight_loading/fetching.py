"""Fetches chunks and their digests from entry processes, at the rate of this VM's link."""

import asyncio
import hashlib

import aiohttp

from .. import clock
from ..bounded_reading import LARGEST_CHUNK_BYTES, read_at_most
from ..direct.entry_peers import zone_of_record
from ..distribution.chunk_runs import entry_order
from ..distribution.peer_calls import HOLDER_HEADER
from ..distribution.recent_failures import RecentFailures
from ..distribution.uploads import LACKING_QUERY, RATE_QUERY
from ..logs import get_logger
from ..platform.names import ENTRY_PREFIX
from ..replica.store_replica import StoreReplica
from ..schema.settings import DirectSettings, Settings
from .chunk_arrivals import REFUSALS_PER_ENTRY
from .link_shares import MAXIMUM_PARTS, LinkShares

LOG = get_logger(__name__)
FETCH_TIMEOUT_SECONDS = 2.5
"""Longest time without a byte."""
BODY_TIMEOUT_SECONDS = 20.0
"""Timeout of a whole request. At a tenth of a link of 3.65 Mbit/s a chunk of 49,152 bytes takes up
to 3.2 s, and one that is given up has to be sent again."""
FETCH_ATTEMPTS = 2
"""Attempts to fetch a chunk, at different entry processes; a failed one is fetched again after the
others."""
RETRY_SECONDS = 0.1
HTTP_OK = 200
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class ChunkFetcher:
    """Fetches from entry processes, near ones first.

    Attributes:
      settings: Settings of the process.
      direct: Section "direct" of the settings.
      replica: Local replica of the store, which lists the entry processes.
      session: HTTP client.
      lacking: Chunks of the version that is fetched which are not here yet.
      link_shares: Parts of the link that running fetches use.
      unreachable_entries: Entry processes that could not be reached lately.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        replica: StoreReplica,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.replica = replica
        self.session = session
        self.lacking = 0
        self.link_shares = LinkShares()
        self.unreachable_entries = RecentFailures()

    async def locate(self, path: str, run: str, failures: int) -> str | None:
        """Return the entry process that has a chunk available; None if that takes too long.

        The entry process answers once it has the chunk, or refuses after two seconds.

        Args:
          path: Path of the chunk at entry processes.
          run: Key of its run of chunks.
          failures: Number of earlier failures; after `REFUSALS_PER_ENTRY` the next entry process is
            asked.
        """
        entries = self.entries_for(run)
        if entries:
            skipped = failures // REFUSALS_PER_ENTRY % len(entries)
            preferred = [*entries[skipped:], *entries[:skipped]]
            entry = self.unreachable_entries.first(preferred, clock.now())
            timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_SECONDS)
            try:
                async with self.session.head(f"http://{entry}{path}", timeout=timeout) as response:
                    self.unreachable_entries.record_answer(entry, clock.now())
                    if response.status == HTTP_OK:
                        return response.headers.get(HOLDER_HEADER, entry)
            except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
                if isinstance(error, asyncio.TimeoutError):
                    self.unreachable_entries.record_late(entry, clock.now())
                else:
                    self.unreachable_entries.record_failure(entry, clock.now())
                LOG.warning("chunk.fetch-failed", url=path, error=f"{type(error).__name__} {error}")
        await asyncio.sleep(RETRY_SECONDS)
        return None

    async def fetch_at(self, entry: str, path: str, digest: bytes, is_alone: bool) -> bytes | None:
        """Return a verified chunk from an entry process that has it available; None on failure.

        Args:
          entry: Control address of the entry process.
          path: Path of the chunk.
          digest: Its SHA-256 digest.
          is_alone: True if no other chunk is available.
        """
        body = await self.get(f"http://{entry}{path}", MAXIMUM_PARTS if is_alone else 1)
        if body is not None:
            self.unreachable_entries.record_answer(entry, clock.now())
        return body if body is not None and sha256(body) == digest else None

    async def fetch(self, path: str, digest: bytes, run: str) -> bytes | None:
        """Return a verified chunk, or the digests of a version; None if all attempts failed.

        Args:
          path: Path of the chunk at entry processes.
          digest: Its SHA-256 digest; empty for the digests of a version, which are not verified.
          run: Key of its run of chunks. The endpoints of a region ask the same entry process for
            all chunks of a run.
        """
        for attempt in range(FETCH_ATTEMPTS):
            entries = self.entries_for(run)
            if entries:
                entry = entries[attempt % len(entries)]
                body = await self.get(f"http://{entry}{path}")
                if body is not None and (not digest or sha256(body) == digest):
                    return body
            await asyncio.sleep(RETRY_SECONDS)
        return None

    def entries_for(self, key: str) -> list[str]:
        """Return the addresses of entry processes for a key, the preferred one first."""
        controls = {
            entry.key.removeprefix(ENTRY_PREFIX): zone_of_record(entry.value)
            for entry in self.replica.entries_with_prefix(ENTRY_PREFIX)
        }
        return entry_order(controls, self.settings.zone, self.direct.zones, key)

    def entries_in_region(self) -> list[str]:
        """Return the addresses of the entry processes in the region of this process."""
        regions = self.direct.zones
        region = regions.get(self.settings.zone)
        return [
            entry.key.removeprefix(ENTRY_PREFIX)
            for entry in self.replica.entries_with_prefix(ENTRY_PREFIX)
            if regions.get(zone_of_record(entry.value)) == region
        ]

    def link_rate(self) -> float:
        """Return the configured rate of the link in bytes per second; 0 for no limit.

        Requests to the engine share the link. Entry processes send chunks in small slices at the
        requested rate, so that requests pass between them.
        """
        return self.direct.link_megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE

    async def get(self, url: str, parts: int = 1) -> bytes | None:
        """Return the body of a response over up to some parts of the link; None on failure."""
        async with self.link_shares.share(parts) as part:
            return await self.get_at_rate(url, part)

    async def get_at_rate(self, url: str, part: float) -> bytes | None:
        """Return the body of a response that takes a part of the link; None on failure."""
        timeout = aiohttp.ClientTimeout(
            total=BODY_TIMEOUT_SECONDS,
            sock_connect=FETCH_TIMEOUT_SECONDS,
            sock_read=FETCH_TIMEOUT_SECONDS,
        )
        rate = self.link_rate() * part
        query = {LACKING_QUERY: str(self.lacking), **({RATE_QUERY: f"{rate:.0f}"} if rate else {})}
        try:
            async with self.session.get(url, params=query, timeout=timeout) as response:
                body = await read_at_most(response, LARGEST_CHUNK_BYTES)
                return body if response.status == HTTP_OK else None
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            LOG.warning(
                "chunk.fetch-failed", url=url, error=f"{type(error).__name__} {error}"[:150]
            )
            return None


def sha256(body: bytes) -> bytes:
    """Return the SHA-256 digest of a chunk."""
    return hashlib.sha256(body).digest()
