"""Reads manifests from the origin, and corrects digests that its chunks do not match."""

import asyncio
import hashlib
from collections import defaultdict
from collections.abc import Callable

import aiohttp
from returns.result import Failure, Result, Success

from .. import clock
from ..logs import get_logger
from ..platform.key_value import KeyValueService
from ..platform.weights import WeightsManifest, fetch_manifest
from ..replica.chunk_digests import DIGEST_BYTES, stored_digests, write_digests
from ..replica.store_replica import StoreReplica
from .confirmation import REPEAT_SECONDS, Confirmation, Doubts
from .process_map import ProcessMap

LOG = get_logger(__name__)
READ_ROUNDS = 3
"""Rounds of requests in one attempt to read a manifest; a round without an answer is the last."""
STORE_RETRY_SECONDS = 1.0
"""Pause between attempts to replace digests in the store."""

VersionName = tuple[str, int | None]
"""Model and version; None stands for the newest version of the origin."""


class OriginManifests:
    """Confirms manifests before anything is verified by them.

    Attributes:
      session: HTTP client.
      processes: Map of the processes; it has the origin's address.
      store: The key-value store.
      replica: Local replica of it.
      confirmations: Manifests that were received and are not confirmed yet.
      confirmed: Digests that this process has last confirmed, by model and version.
      doubts: Chunks of the origin that do not match the digests in use, by model and version.
      seen: The last digests that the store had, by model and version.
      disproved: Digests that others have replaced, by model and version; a stored copy of them is
        not used, as a restored store may have.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        processes: ProcessMap,
        store: KeyValueService,
        replica: StoreReplica,
    ) -> None:
        self.session = session
        self.processes = processes
        self.store = store
        self.replica = replica
        self.confirmations: dict[VersionName, Confirmation[WeightsManifest]] = {}
        self.confirmed: dict[VersionName, bytes] = {}
        self.doubts: defaultdict[VersionName, Doubts] = defaultdict(Doubts)
        self.seen: dict[VersionName, bytes] = {}
        self.disproved: defaultdict[VersionName, set[bytes]] = defaultdict(set)

    def stored(self, model: str, version: int) -> bytes:
        """Return the stored digests of a version; empty for none or disproved ones."""
        found = stored_digests(self.replica, model, version)
        return b"" if self.is_disproved(model, version, found) else found

    def is_disproved(self, model: str, version: int, digests: bytes) -> bool:
        """Return True if digests of a version were replaced by others."""
        return digests in self.disproved.get((model, version), ())

    async def read(self, model: str, version: int | None) -> Result[WeightsManifest, str]:
        """Read a manifest until two answers are equal.

        The first two requests are sent together, so that a rollout does not wait for a second one.
        Answers count in later calls too.

        Args:
          model: Name of the model.
          version: Version of its weights; None for the newest one that the origin has.
        """
        origin = self.processes.origin()
        if origin is None:
            return Failure("no origin is declared")
        confirmation = self.confirmations.setdefault((model, version), Confirmation())
        error = "no two answers are equal"
        for _ in range(READ_ROUNDS):
            requests = [
                fetch_manifest(self.session, origin.origin, model, version)
                for _ in range(confirmation.wanted)
            ]
            answers = [
                answer.bind(lambda found: checked(found, model, version))
                for answer in await asyncio.gather(*requests)
            ]
            for answer in answers:
                if isinstance(answer, Success) and confirmation.add(answer.unwrap()):
                    manifest = answer.unwrap()
                    self.confirmations.pop((model, version), None)
                    self.confirmed[model, manifest.version] = b"".join(manifest.digests)
                    return answer
            failures = [item.failure() for item in answers if not isinstance(item, Success)]
            if len(failures) == len(answers):
                return Failure(failures[0])
            if len({*confirmation.answers}) > 1:
                LOG.warning("manifest.differs", model=model, version=version)
        return Failure(error)

    def doubt(self, model: str, version: int, index: int, body: bytes, now: float) -> bool:
        """Record a chunk of the origin that does not match; True if `read_again` is due."""
        digest = hashlib.sha256(body).digest()
        return self.doubts[model, version].record(index, digest, now)

    def starts_reading(self, model: str, version: int, digests: bytes, now: float) -> bool:
        """Return True if `read_again` is due; not for digests that this process has confirmed."""
        if self.confirmed.get((model, version)) == digests:
            return False
        return self.doubts[model, version].starts_reading(now)

    async def read_again(
        self, model: str, version: int, is_needed: Callable[[], bool]
    ) -> bytes | None:
        """Return the digests that the origin confirms now, as soon as it does.

        Args:
          model: Name of the model.
          version: Version of its weights.
          is_needed: Returns False once the digests are no longer needed; None is returned then.
        """
        doubts = self.doubts[model, version]
        self.confirmations.pop((model, version), None)
        try:
            while is_needed():
                found = await self.read(model, version)
                if isinstance(found, Success):
                    return b"".join(found.unwrap().digests)
                await asyncio.sleep(REPEAT_SECONDS)
            return None
        finally:
            doubts.end_reading(clock.now())

    def follow(self, model: str, version: int, stored: bytes) -> bool:
        """Record the digests that the store has now; False if they are disproved."""
        if self.is_disproved(model, version, stored):
            return False
        before = self.seen.get((model, version), stored)
        if before != stored:
            self.replace(model, version, before, stored)
        self.seen[model, version] = stored
        return True

    def replace(self, model: str, version: int, held: bytes, digests: bytes) -> None:
        """Record that digests were replaced by others."""
        self.disproved[model, version].add(held)
        self.disproved[model, version].discard(digests)
        self.doubts[model, version].chunks.clear()

    async def write(self, model: str, version: int, digests: bytes) -> None:
        """Write digests to the store, again while it holds disproved ones."""
        disproved = self.disproved[model, version]
        await write_digests(self.store, self.replica, model, version, digests, disproved)
        while (
            stored_digests(self.replica, model, version) in disproved and digests not in disproved
        ):
            await asyncio.sleep(STORE_RETRY_SECONDS)
            await write_digests(self.store, self.replica, model, version, digests, disproved)


def checked(
    manifest: WeightsManifest, model: str, version: int | None
) -> Result[WeightsManifest, str]:
    """Return a manifest if it is well-formed and of the expected version.

    Args:
      manifest: The manifest.
      model: Expected model.
      version: Expected version; None for any.
    """
    if manifest.model != model or version not in (None, manifest.version):
        return Failure("the origin sent the manifest of another model or version")
    if not manifest.digests or any(len(item) != DIGEST_BYTES for item in manifest.digests):
        return Failure("the manifest has no digests or malformed ones")
    return Success(manifest)
