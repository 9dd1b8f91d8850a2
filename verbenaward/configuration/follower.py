"""Puts accepted configurations in force in one process.

The revision in force never decreases. Newer configurations come from the key-value service and
from other processes. A few entry processes watch the service, the other entry processes poll it;
endpoint processes get configurations from entry processes only.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from returns.result import Success

from .. import clock, metrics
from ..data import EMPTY_CONFIGURATION, Configuration
from ..logs import get_logger
from ..platform.key_value import KeyValueFailure, KeyValueService
from ..schema.messages import Acknowledgement, ConfigurationOffer, ConfigurationQuery
from ..wire.rpc import call
from .store import HEAD_KEY, Head, decode_configuration, encode_configuration, read_head

LOG = get_logger(__name__)
WATCH_SECONDS = 25.0
"""Longest time for which the service may hold one watch open."""
IDLE_POLL_SECONDS = 8.0
"""Interval at which an entry process that does not watch reads the head."""
RETRY_SECONDS = 0.5
"""Pause after the first failed call; it doubles with each further one."""
MAXIMUM_RETRY_SECONDS = 5.0


class ConfigurationFollower:
    """Holds the configuration in force and replaces it by newer ones.

    Attributes:
      configuration: The configuration in force.
      in_force_since: When it came into force in this process, monotonic.
      listeners: Called with each configuration that comes into force.
      service_head: Revision of the head at the last read of the key-value service.
      store_answered_at: Time of the last successful call to the service, monotonic; 0 for never.
      fetch_lock: Allows one fetch from another process at a time.
    """

    def __init__(self) -> None:
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.in_force_since = 0.0
        self.listeners: list[Callable[[Configuration], None]] = []
        self.service_head = 0
        self.store_answered_at = 0.0
        self.fetch_lock = asyncio.Lock()

    def offer(self, configuration: Configuration, now: float, source: str) -> bool:
        """Put a configuration in force if its revision is higher.

        Args:
          configuration: The offered configuration.
          now: Present time, monotonic, in seconds.
          source: Where it came from, for the log.

        Returns:
          True if it came into force.
        """
        current = self.configuration
        if configuration.revision <= current.revision:
            self.report_contradiction(configuration, source)
            return False
        self.configuration = configuration
        self.in_force_since = now
        metrics.CONFIGURATION_REVISION.set(configuration.revision)
        LOG.info("configuration.in_force", revision=configuration.revision, source=source)
        for listener in self.listeners:
            listener(configuration)
        return True

    def report_contradiction(self, configuration: Configuration, source: str) -> None:
        """Log and count an offer with the revision in force but of another write."""
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
        """Read the head from the key-value service and follow its changes until cancelled.

        Args:
          service: The key-value service.
          is_watcher: Returns True while this process is one of the few that hold a watch.
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
                await self.wait_for_next_poll(is_watcher)

    async def poll(self, service: KeyValueService) -> int | None:
        """Read the head once; return the version of its key, or None if the call failed."""
        result = await read_head(service)
        outcome = "ok" if isinstance(result, Success) else "failed"
        metrics.KEY_VALUE_CALLS.labels("read", outcome).inc()
        if not isinstance(result, Success):
            return None
        head: Head = result.unwrap()
        self.apply_head(head)
        return head.version

    def apply_head(self, head: Head) -> None:
        """Offer the configuration of the service's head; log an older one, once per revision."""
        now = clock.now()
        self.store_answered_at = now
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
        """Return when the head has changed, the watch fails or another process is to watch."""
        while is_watcher():
            result = await service.watch(HEAD_KEY, after, WATCH_SECONDS)
            outcome = "ok" if isinstance(result, Success) else "failed"
            metrics.KEY_VALUE_CALLS.labels("watch", outcome).inc()
            if not isinstance(result, Success):
                if result.failure().failure is not KeyValueFailure.COMPACTED:
                    await asyncio.sleep(RETRY_SECONDS)
                return
            self.store_answered_at = clock.now()
            snapshot = result.unwrap()
            if snapshot.entries:
                return
            after = max(after, snapshot.revision)

    async def wait_for_next_poll(self, is_watcher: Callable[[], bool]) -> None:
        """Wait until the next poll is due, or until this process becomes a watcher."""
        until = clock.now() + IDLE_POLL_SECONDS
        while clock.now() < until and not is_watcher():
            await asyncio.sleep(1.0)

    async def fetch_if_newer(
        self, session: aiohttp.ClientSession, address: str, revision: int
    ) -> None:
        """Fetch the configuration of another process that reports a newer revision."""
        if revision <= self.configuration.revision or not address:
            return
        async with self.fetch_lock:
            if revision <= self.configuration.revision:
                return
            query = ConfigurationQuery(known_revision=self.configuration.revision)
            result = await call(session, address, query, ConfigurationOffer)
            if isinstance(result, Success):
                self.apply_offer(result.unwrap(), address)

    def apply_offer(self, offer: ConfigurationOffer, source: str) -> None:
        """Decode and offer a configuration that another process sent."""
        if not offer.document:
            return
        try:
            configuration = decode_configuration(offer.document)
        except msgspec.DecodeError as error:
            LOG.error("configuration.offer_malformed", source=source, error=str(error))
            return
        self.offer(configuration, clock.now(), source)

    async def handle_query(self, query: ConfigurationQuery) -> ConfigurationOffer:
        """Answer with the configuration in force; without the document if the sender has it."""
        current = self.configuration
        if query.known_revision >= current.revision:
            return ConfigurationOffer(revision=current.revision)
        return self.current_offer()

    def current_offer(self) -> ConfigurationOffer:
        """Return the configuration in force as a message to other processes."""
        current = self.configuration
        return ConfigurationOffer(
            revision=current.revision,
            digest=bytes.fromhex(current.digest),
            document=encode_configuration(current),
        )

    async def handle_offer(self, offer: ConfigurationOffer) -> Acknowledgement:
        """Put an offered configuration in force if it is newer; answer with the revision."""
        self.apply_offer(offer, "peer")
        return Acknowledgement(revision=self.configuration.revision)
