"""Fetches chunks and manifests from entry processes, at the rate of the own link."""

import asyncio
import hashlib
import time

import aiohttp

from ..direct.entry_peers import zone_of_record
from ..direct.pacing import RATE_QUERY
from ..direct.runs import holder_order
from ..knowledge.items import ItemView
from ..logs import get_logger
from ..platform.names import ENTRY_PREFIX
from ..schema.settings import DirectSettings, Settings

LOG = get_logger(__name__)
FETCHES = 3
"""Chunks on their way; each comes at its part of the link's rate."""
FETCH_SECONDS = 2.5
FETCH_ATTEMPTS = 5
PAUSE_SECONDS = 0.1
SLOW_RATIO = 1.3
"""Time for a body over the expected one, from which the link is held to be narrower."""
LEAST_SHARE = 0.1
EASING = 0.7
RECOVERY = 1.05
BITS = 8
MEGA = 1_000_000


class ChunkFetcher:
    """Asks entry processes, near ones first.

    Attributes:
      settings: Settings of the process.
      direct: Their section for backends at their own addresses.
      view: Items of the store, which name the entry processes.
      session: HTTP client.
      share: Part of the link's rate that is asked for: less where bodies come slower than they
        should, as what is asked for beyond the link's real rate queues up before requests.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        view: ItemView,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.view = view
        self.session = session
        self.share = 1.0

    async def fetch(self, path: str, digest: bytes, run: str) -> bytes | None:
        """Return a checked chunk from an entry process, or a manifest; None for none.

        Args:
          path: Path of the chunk at entry processes.
          digest: Its digest; empty for a manifest.
          run: Name of its run, which the same entry process hands to the whole region.
        """
        for attempt in range(FETCH_ATTEMPTS):
            holders = self.holders(run)
            if holders:
                holder = holders[attempt % len(holders)]
                body = await self.ask(f"http://{holder}{path}")
                if body is not None and (not digest or sha256(body) == digest):
                    return body
            await asyncio.sleep(PAUSE_SECONDS)
        return None

    def holders(self, key: str) -> list[str]:
        """Return the entry processes to ask, the best one first."""
        controls = {
            entry.key.removeprefix(ENTRY_PREFIX): zone_of_record(entry.value)
            for entry in self.view.under(ENTRY_PREFIX)
        }
        return holder_order(controls, self.settings.zone, self.direct.zones, key)

    def rate(self) -> float:
        """Return the bytes a second that weights may take of the link; 0 for no limit.

        Requests to the engine share the link. Weights come in slices, so that these pass between.
        """
        return self.direct.link_megabits_per_second * MEGA / BITS

    async def ask(self, url: str) -> bytes | None:
        """Return the body of an answer; None for none."""
        timeout = aiohttp.ClientTimeout(total=FETCH_SECONDS)
        share = self.share
        rate = share * self.rate() / FETCHES
        query = {RATE_QUERY: f"{rate:.0f}"} if rate else {}
        try:
            async with self.session.get(url, params=query, timeout=timeout) as response:
                began = time.monotonic()
                body = await response.read()
                if response.status != 200:
                    return None
                if rate:
                    self.note_body(len(body) / rate, time.monotonic() - began, share)
                return body
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            LOG.warning("weights.unfetched", url=url, error=f"{type(error).__name__} {error}"[:150])
            return None

    def note_body(self, expected_seconds: float, took_seconds: float, share: float) -> None:
        """Learn from a body how much of the link's rate is there.

        Args:
          expected_seconds: Time that it should have taken at the rate that was asked for.
          took_seconds: Time from its first byte to its last one.
          share: Part of the link's rate that was asked for.
        """
        if expected_seconds <= 0 or took_seconds < SLOW_RATIO * expected_seconds:
            self.share = min(1.0, self.share * RECOVERY)
            return
        real = EASING * share * expected_seconds / took_seconds
        self.share = max(LEAST_SHARE, min(self.share, real))


def sha256(body: bytes) -> bytes:
    """Return the digest of a chunk."""
    return hashlib.sha256(body).digest()
