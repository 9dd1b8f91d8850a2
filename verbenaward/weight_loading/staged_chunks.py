"""The chunks of one model that are staged in the engine on this VM, as far as they are verified."""

from returns.result import Success

from .. import clock
from ..data import HeldWeights
from ..logs import get_logger
from ..platform.weights import LocalEngine
from .download import VersionDigests
from .fetching import sha256

LOG = get_logger(__name__)


class StagedChunks:
    """Stages chunks in the engine, and records which of them are verified.

    Attributes:
      engine: Port to the engine.
      digests: Digests of the chunks that were verified and staged, by index.
      model: Their model.
      progressed_at: When a chunk was last staged, or other weights became the next ones, monotonic.
    """

    def __init__(self, engine: LocalEngine) -> None:
        self.engine = engine
        self.digests: dict[int, bytes] = {}
        self.model = ""
        self.progressed_at = 0.0

    def use_model(self, model: str) -> None:
        """Forget the chunks of another model."""
        if self.model != model:
            self.digests, self.model = {}, model

    def missing(self, wanted: VersionDigests) -> list[int]:
        """Return the chunks of a version that are not staged."""
        return wanted.missing(self.digests)

    def record(self, index: int, digest: bytes) -> None:
        """Record that a valid chunk is staged."""
        self.digests[index] = digest
        self.progressed_at = clock.now()

    async def find_present(self, wanted: VersionDigests, missing: list[int]) -> list[int]:
        """Look for chunks that are staged from before a restart, and return the missing ones."""
        for index in missing:
            digest = wanted.digests[index]
            if await self.holds(wanted.weights, index, digest):
                self.record(index, digest)
        return self.missing(wanted)

    async def stage(self, wanted: VersionDigests, index: int, body: bytes) -> bool:
        """Stage one chunk; False, with a line in the log, if the engine did not take it."""
        self.digests.pop(index, None)
        result = await self.engine.put_chunk(wanted.weights.model, index, body)
        if not isinstance(result, Success):
            LOG.warning("chunk.staging-failed", index=index, error=result.failure()[:150])
            return False
        self.record(index, wanted.digests[index])
        return True

    async def verify(self, wanted: VersionDigests) -> bool:
        """Return True if all staged chunks match their digests; forget the others."""
        is_valid = True
        for index, digest in enumerate(wanted.digests):
            if not await self.holds(wanted.weights, index, digest):
                LOG.warning("staged_chunk.corrupt", index=index, version=wanted.weights.version)
                self.digests.pop(index, None)
                is_valid = False
        return is_valid

    async def holds(self, weights: HeldWeights, index: int, digest: bytes) -> bool:
        """Return True if the engine has a staged chunk with a digest."""
        present = await self.engine.staged_chunk(weights.model, index)
        return isinstance(present, Success) and sha256(present.unwrap()) == digest
