"""In-memory store of verified chunks, addressed by hash and shared by all releases."""

from collections.abc import Iterable
from enum import StrEnum

from blake3 import blake3


class StoreOutcome(StrEnum):
    """Result of storing a chunk; also a metric label."""

    STORED = "stored"
    KNOWN = "known"
    CORRUPT = "corrupt"
    NO_MEMORY = "no-memory"


class MemoryPlan(StrEnum):
    """How a release gets memory for its chunks."""

    FITS = "fits"
    DROP_SERVED = "drop-served"
    TOO_LARGE = "too-large"


def plan_memory(limit_bytes: int, needed_bytes: int, served_bytes: int) -> MemoryPlan:
    """Decide how a release gets memory beside the chunks of the served one.

    The engine has its own copy of the served release, so its chunks are kept only for peers.

    Args:
      limit_bytes: Memory limit for chunks; 0 for no limit.
      needed_bytes: Size of all chunks of the release.
      served_bytes: Size of the chunks that only the served release contains.
    """
    if not limit_bytes or needed_bytes + served_bytes <= limit_bytes:
        return MemoryPlan.FITS
    return MemoryPlan.DROP_SERVED if needed_bytes <= limit_bytes else MemoryPlan.TOO_LARGE


class ChunkStore:
    """Chunks by hash; bytes that do not match their hash are rejected.

    Attributes:
      limit_bytes: Memory limit for chunks; 0 for no limit.
      used_bytes: Size of all stored chunks.
      chunks: Bytes by hash.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.chunks: dict[bytes, bytes] = {}

    def put(self, hash_bytes: bytes, payload: bytes) -> StoreOutcome:
        """Verify and store a chunk."""
        if hash_bytes in self.chunks:
            return StoreOutcome.KNOWN
        if blake3(payload).digest() != hash_bytes:
            return StoreOutcome.CORRUPT
        if self.limit_bytes and self.used_bytes + len(payload) > self.limit_bytes:
            return StoreOutcome.NO_MEMORY
        self.chunks[hash_bytes] = payload
        self.used_bytes += len(payload)
        return StoreOutcome.STORED

    def get(self, hash_bytes: bytes) -> bytes | None:
        """Return the bytes of a chunk, or None if it is not stored."""
        return self.chunks.get(hash_bytes)

    def keep_only(self, hashes: Iterable[bytes]) -> int:
        """Delete all chunks except the given ones and return the bytes freed."""
        kept = set(hashes)
        deleted = [hash_bytes for hash_bytes in self.chunks if hash_bytes not in kept]
        freed = sum(len(self.chunks.pop(hash_bytes)) for hash_bytes in deleted)
        self.used_bytes -= freed
        return freed
