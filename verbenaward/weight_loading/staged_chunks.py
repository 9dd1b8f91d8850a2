"""The chunks of one model that are staged in the engine on this VM, as far as they are verified."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from returns.result import Success

from .. import clock, metrics
from ..logs import get_logger
from ..platform.weights import LocalEngine
from .check_ages import MAXIMUM_CHECK_AGE_SECONDS, NEVER, next_to_check
from .chunk_reads import ChunkRead, ChunkReads
from .download import VersionDigests

LOG = get_logger(__name__)
READ_ATTEMPTS = 3
"""Failed reads of a chunk in a row after which it is staged anew."""
CHECK_SECONDS = 5.0
"""Time after which a check that the engine is too slow for is interrupted, to see what is wanted
by then."""


class ReadOutcome(Enum):
    """What a read of a staged chunk has shown."""

    MATCHES = auto()
    DIFFERS = auto()
    FAILED = auto()


@dataclass(slots=True)
class RunningCheck:
    """A check of all staged chunks that is under way.

    Attributes:
      began: When it began, monotonic.
      reads: Reads that have ended.
      found_corrupt: Whether one of them has shown a corrupt chunk.
    """

    began: float
    reads: int = 0
    found_corrupt: bool = False


class StagedChunks:
    """Stages chunks in the engine, and records which of them are verified.

    Attributes:
      engine: Port to the engine.
      reads: Reads them back.
      digests: Digests of the chunks that were verified and staged, by index.
      checked_at: Beginning of the last read of each chunk that matched its digest, monotonic.
      failed_reads: Reads of each chunk that have failed since one succeeded.
      model: Their model.
      progressed_at: When a chunk was last staged, or other weights became the next ones, monotonic.
    """

    def __init__(self, engine: LocalEngine) -> None:
        self.engine = engine
        self.reads = ChunkReads(engine)
        self.digests: dict[int, bytes] = {}
        self.checked_at: dict[int, float] = {}
        self.failed_reads: Counter[int] = Counter()
        self.model = ""
        self.progressed_at = 0.0

    def use_model(self, model: str) -> None:
        """Forget the chunks of another model."""
        if self.model != model:
            for index in tuple(self.digests):
                self.forget(index)
            self.model = model

    def missing(self, wanted: VersionDigests) -> list[int]:
        """Return the chunks of a version that are not staged."""
        return wanted.missing(self.digests)

    def record(self, index: int, digest: bytes) -> None:
        """Record that a valid chunk is staged."""
        self.digests[index] = digest
        self.progressed_at = clock.now()

    def forget(self, index: int) -> None:
        """Forget a chunk: nothing is known of what is staged in its place."""
        self.digests.pop(index, None)
        self.checked_at.pop(index, None)
        self.failed_reads.pop(index, None)

    async def find_present(self, wanted: VersionDigests, missing: list[int]) -> list[int]:
        """Look for chunks that are staged from before a restart, and return the missing ones.

        A chunk that this process has staged, and that is of another version, is not read.
        """
        unread = [index for index in reversed(missing) if index not in self.digests]
        failures = 0

        def handle(read: ChunkRead) -> bool:
            nonlocal failures
            outcome = self.outcome(wanted, read)
            if outcome is ReadOutcome.MATCHES:
                self.record(read.index, wanted.digests[read.index])
            failures += outcome is ReadOutcome.FAILED
            return failures < READ_ATTEMPTS

        await self.reads.read_while(
            wanted.weights, len(wanted.digests), lambda _: unread.pop() if unread else None, handle
        )
        return self.missing(wanted)

    async def stage(self, wanted: VersionDigests, index: int, body: bytes) -> bool:
        """Stage one chunk; False, with a line in the log, if the engine did not take it."""
        self.forget(index)
        result = await self.engine.put_chunk(wanted.weights.model, index, body)
        if not isinstance(result, Success):
            LOG.warning("chunk.staging-failed", index=index, error=result.failure()[:150])
            return False
        self.record(index, wanted.digests[index])
        return True

    async def check(self, wanted: VersionDigests, is_wanted: Callable[[], bool]) -> bool:
        """Read staged chunks until an order to load them may be sent; False if that is not so.

        It may be sent while every check is young enough. Chunks whose check has become too old are
        read again, the oldest check first; the others are not. Corrupt chunks are forgotten.

        Args:
          wanted: The version.
          is_wanted: Returns False once the version is not to be loaded any more.
        """
        check = RunningCheck(clock.now())

        def next_index(running: set[int]) -> int | None:
            staged = (index for index in range(len(wanted.digests)) if index in self.digests)
            idle = [index for index in staged if index not in running]
            if check.found_corrupt:
                # The others are read once, so that all that are corrupt can be fetched together.
                idle = [index for index in idle if self.check_began(index) < check.began]
            return next_to_check(
                {index: self.check_began(index) for index in idle},
                self.reads.pace.read_seconds,
                clock.now(),
            )

        def handle(read: ChunkRead) -> bool:
            outcome = self.record_check(wanted, read)
            check.reads += 1
            check.found_corrupt |= outcome is ReadOutcome.DIFFERS
            is_late = clock.now() - check.began > CHECK_SECONDS
            is_over = outcome is ReadOutcome.FAILED or is_late or self.may_load(wanted)
            return not is_over and is_wanted()

        await self.reads.read_while(wanted.weights, len(wanted.digests), next_index, handle)
        may_load = self.may_load(wanted)
        self.report_check(wanted, check, may_load)
        return may_load

    def report_check(self, wanted: VersionDigests, check: RunningCheck, may_load: bool) -> None:
        """Record the time of a check that has ended, and log it if the engine was too slow."""
        seconds = clock.now() - check.began
        metrics.CHECK_SECONDS.set(seconds)
        if not may_load and seconds > MAXIMUM_CHECK_AGE_SECONDS:
            LOG.warning(
                "staged_chunks.check-late",
                version=wanted.weights.version,
                reads=check.reads,
                seconds=round(seconds, 3),
                parallel=self.reads.pace.parallel,
            )

    def may_load(self, wanted: VersionDigests) -> bool:
        """Return True if all chunks are staged and no check is too old to send an order."""
        return not self.missing(wanted) and self.check_age(wanted) <= MAXIMUM_CHECK_AGE_SECONDS

    def check_age(self, wanted: VersionDigests) -> float:
        """Return the age of the oldest check of a version's chunks, in seconds."""
        return clock.now() - min(map(self.check_began, range(len(wanted.digests))), default=0.0)

    def check_began(self, index: int) -> float:
        """Return when the last check of a chunk began, monotonic; `NEVER` if there was none."""
        return self.checked_at.get(index, NEVER)

    def record_check(self, wanted: VersionDigests, read: ChunkRead) -> ReadOutcome:
        """Record what a read of a chunk that counts as staged has shown."""
        outcome = self.outcome(wanted, read)
        if outcome is ReadOutcome.DIFFERS:
            LOG.warning("staged_chunk.corrupt", index=read.index, version=wanted.weights.version)
            self.forget(read.index)
        elif outcome is ReadOutcome.FAILED and self.failed_reads[read.index] >= READ_ATTEMPTS:
            self.forget(read.index)
        return outcome

    def outcome(self, wanted: VersionDigests, read: ChunkRead) -> ReadOutcome:
        """Return what a read has shown, and record when a chunk was checked."""
        if not isinstance(read.digest, Success):
            self.failed_reads[read.index] += 1
            error = read.digest.failure()[:150]
            LOG.warning("staged_chunk.read-failed", index=read.index, error=error)
            return ReadOutcome.FAILED
        self.failed_reads.pop(read.index, None)
        if read.digest.unwrap() != wanted.digests[read.index]:
            return ReadOutcome.DIFFERS
        self.checked_at[read.index] = read.started_at
        return ReadOutcome.MATCHES
