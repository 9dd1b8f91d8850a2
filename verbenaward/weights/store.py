"""Verified chunks in memory, shared by all versions that contain them."""

from collections.abc import Iterable
from enum import StrEnum

from blake3 import blake3


class StoreOutcome(StrEnum):
    """What became of a chunk that was offered."""

    STORED = "stored"
    KNOWN = "known"
    CORRUPT = "corrupt"
    NO_MEMORY = "no-memory"


class MemoryPlan(StrEnum):
    """How a release gets room."""

    FITS = "fits"
    DROP_SERVED = "drop-served"
    TOO_LARGE = "too-large"


def plan_memory(limit_bytes: int, needed_bytes: int, served_bytes: int) -> MemoryPlan:
    """Decide how a release gets room beside the chunks of the one that is served.

    The engine has its own copy of what it serves; its chunks are kept only for peers.

    Args:
      limit_bytes: Memory for chunks; 0 for no limit.
      needed_bytes: Size of all chunks of the release.
      served_bytes: Size of the chunks that only the served release contains.
    """
    if not limit_bytes or needed_bytes + served_bytes <= limit_bytes:
        return MemoryPlan.FITS
    return MemoryPlan.DROP_SERVED if needed_bytes <= limit_bytes else MemoryPlan.TOO_LARGE


class ChunkStore:
    """Chunks by hash; only bytes that match their hash get in.

    Attributes:
      limit_bytes: Memory for chunks; 0 for no limit.
      used_bytes: Memory in use.
      chunks: Bytes by hash.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.chunks: dict[bytes, bytes] = {}

    def put(self, hash_bytes: bytes, payload: bytes) -> StoreOutcome:
        """Store a chunk where its bytes match its hash."""
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
        """Return the bytes of a chunk, or None."""
        return self.chunks.get(hash_bytes)

    def keep_only(self, hashes: Iterable[bytes]) -> int:
        """Drop all chunks but the given ones and return the bytes freed."""
        wanted = set(hashes)
        dropped = [hash_bytes for hash_bytes in self.chunks if hash_bytes not in wanted]
        freed = sum(len(self.chunks.pop(hash_bytes)) for hash_bytes in dropped)
        self.used_bytes -= freed
        return freed
