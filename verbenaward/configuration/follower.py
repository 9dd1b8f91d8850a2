"""Keeps the accepted configuration in force in one process.

The revision in force never falls. Offers come from the key-value service, where this
process watches it, and from other processes.
"""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import msgspec
from returns.result import Success

from .. import metrics
from ..data import EMPTY_CONFIGURATION, Configuration
from ..logs import get_logger
from ..platform.key_value import KeyValueFailure, KeyValueService
from ..schema.messages import Acknowledgement, ConfigurationOffer, ConfigurationQuery
from ..wire.rpc import call
from .store import HEAD_KEY, Head, decode_configuration, encode_configuration, read_head

LOG = get_logger(__name__)
WATCH_SECONDS = 25.0
IDLE_POLL_SECONDS = 30.0
RETRY_SECONDS = 0.5
MAXIMUM_RETRY_SECONDS = 5.0


class ConfigurationFollower:
    """Holds the configuration in force.

    Attributes:
      configuration: The configuration in force.
      adopted_at: Time at which it came into force here, monotonic.
      listeners: Called with each configuration that comes into force.
      service_head: Last revision that the key-value service was seen to hold.
      service_seen_at: Time of the last successful call, monotonic; 0 for never.
    """

    def __init__(self) -> None:
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.adopted_at = 0.0
        self.listeners: list[Callable[[Configuration], None]] = []
        self.service_head = 0
        self.service_seen_at = 0.0
        self.fetching = asyncio.Lock()

    def offer(self, configuration: Configuration, now: float, source: str) -> bool:
        """Put a configuration in force where it is newer.

        Args:
          configuration: What is offered.
          now: Present time, monotonic, in seconds.
          source: Where it came from, for the log.

        Returns:
          True where it came into force.
        """
        current = self.configuration
        if configuration.revision <= current.revision:
            self.refuse_difference(configuration, source)
            return False
        self.configuration = configuration
        self.adopted_at = now
        metrics.CONFIGURATION_REVISION.set(configuration.revision)
        LOG.info("configuration.in_force", revision=configuration.revision, source=source)
        for listener in self.listeners:
            listener(configuration)
        return True

    def refuse_difference(self, configuration: Configuration, source: str) -> None:
        """Report an offer that contradicts the configuration in force."""
        current = self.configuration
        is_same = configuration.revision == current.revision
        if not is_same or configuration.write_id == current.write_id:
            return
        metrics.CONFIGURATION_REFUSED.inc()
        LOG.error(
            "configuration.contradiction_refused",
            revision=current.revision,
            offered_write_id=configuration.write_id,
            source=source,
        )

    async def follow(self, service: KeyValueService, is_watcher: Callable[[], bool]) -> None:
        """Follow the key-value service until cancelled.

        Args:
          service: The service.
          is_watcher: Says whether this process is one of the few that hold a watch.
        """
        retry_seconds = RETRY_SECONDS
        while True:
            head_revision = await self.poll(service)
            if head_revision is None:
                await asyncio.sleep(retry_seconds)
                retry_seconds = min(2 * retry_seconds, MAXIMUM_RETRY_SECONDS)
                continue
            retry_seconds = RETRY_SECONDS
            if is_watcher():
                await self.watch(service, head_revision, is_watcher)
            else:
                await self.wait_for_turn(is_watcher)

    async def poll(self, service: KeyValueService) -> int | None:
        """Read the head once and return the version of its key, or None."""
        result = await read_head(service)
        outcome = "ok" if isinstance(result, Success) else "failed"
        metrics.KEY_VALUE_CALLS.labels("read", outcome).inc()
        if not isinstance(result, Success):
            return None
        head: Head = result.unwrap()
        self.take_head(head)
        return head.version

    def take_head(self, head: Head) -> None:
        """Use what the service holds."""
        now = time.monotonic()
        self.service_seen_at = now
        revision = head.configuration.revision
        if revision < self.configuration.revision and revision != self.service_head:
            metrics.CONFIGURATION_REFUSED.inc()
            LOG.error(
                "configuration.older_head_refused",
                in_force=self.configuration.revision,
                service_head=revision,
            )
        self.service_head = revision
        self.offer(head.configuration, now, "key-value service")

    async def watch(
        self, service: KeyValueService, after: int, is_watcher: Callable[[], bool]
    ) -> None:
        """Wait for changes of the head until the watch fails or breaks."""
        while is_watcher():
            result = await service.watch(HEAD_KEY, after, WATCH_SECONDS)
            outcome = "ok" if isinstance(result, Success) else "failed"
            metrics.KEY_VALUE_CALLS.labels("watch", outcome).inc()
            if not isinstance(result, Success):
                if result.failure().failure is not KeyValueFailure.COMPACTED:
                    await asyncio.sleep(RETRY_SECONDS)
                return
            self.service_seen_at = time.monotonic()
            snapshot = result.unwrap()
            if snapshot.entries:
                return
            after = max(after, snapshot.revision)

    async def wait_for_turn(self, is_watcher: Callable[[], bool]) -> None:
        """Wait until the next poll is due, or until this process becomes a watcher."""
        until = time.monotonic() + IDLE_POLL_SECONDS
        while time.monotonic() < until and not is_watcher():
            await asyncio.sleep(1.0)

    async def hear_revision(
        self, session: aiohttp.ClientSession, address: str, revision: int
    ) -> None:
        """Fetch the configuration of another process where it is newer."""
        if revision <= self.configuration.revision or not address:
            return
        async with self.fetching:
            if revision <= self.configuration.revision:
                return
            query = ConfigurationQuery(known_revision=self.configuration.revision)
            result = await call(session, address, query, ConfigurationOffer)
            if isinstance(result, Success):
                self.take_offer(result.unwrap(), address)

    def take_offer(self, offer: ConfigurationOffer, source: str) -> None:
        """Use a configuration that another process sent."""
        if not offer.document:
            return
        try:
            configuration = decode_configuration(offer.document)
        except msgspec.DecodeError as error:
            LOG.error("configuration.offer_malformed", source=source, error=str(error))
            return
        self.offer(configuration, time.monotonic(), source)

    async def handle_query(self, query: ConfigurationQuery) -> ConfigurationOffer:
        """Answer the configuration in force, without the document where it is known."""
        current = self.configuration
        if query.known_revision >= current.revision:
            return ConfigurationOffer(revision=current.revision)
        return self.own_offer()

    def own_offer(self) -> ConfigurationOffer:
        """Return the configuration in force as an offer."""
        current = self.configuration
        return ConfigurationOffer(
            revision=current.revision,
            digest=bytes.fromhex(current.digest),
            document=encode_configuration(current),
        )

    async def handle_offer(self, offer: ConfigurationOffer) -> Acknowledgement:
        """Take over an offer and answer the revision in force."""
        self.take_offer(offer, "peer")
        return Acknowledgement(revision=self.configuration.revision)
