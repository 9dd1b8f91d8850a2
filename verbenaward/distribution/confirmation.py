"""Decides when what the origin sent is believed: two equal answers to the same question.

The origin's answers may be corrupted. A chunk is verified by its digest. A manifest cannot be,
though all chunks are verified by it.
"""

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..replica.chunk_digests import DIGEST_BYTES

EQUAL_ANSWERS = 2
"""Equal answers of the origin to a question that are believed."""
KEPT_ANSWERS = 8
"""Last answers to a question that are compared."""
REPEAT_SECONDS = 2.0
"""Time before a doubted manifest that was confirmed is read again."""

Answer = TypeVar("Answer", bound=Hashable)


@dataclass(slots=True)
class Confirmation(Generic[Answer]):
    """Answers of the origin to one question, the oldest first."""

    answers: deque[Answer] = field(default_factory=lambda: deque(maxlen=KEPT_ANSWERS))

    def add(self, answer: Answer) -> bool:
        """Record an answer; True if it is confirmed."""
        self.answers.append(answer)
        return self.answers.count(answer) >= EQUAL_ANSWERS

    @property
    def wanted(self) -> int:
        """Number of further answers that confirm one if they are right."""
        return EQUAL_ANSWERS - 1 if self.answers else EQUAL_ANSWERS


@dataclass(slots=True)
class Doubts:
    """What the origin sent of a version that does not match the digests in use.

    Attributes:
      chunks: Digests of the bodies that it sent, by the index of the chunk.
      read_at: When the manifest was last read again, monotonic.
      is_reading: True while it is being read again.
    """

    chunks: dict[int, Confirmation[bytes]] = field(default_factory=dict)
    read_at: float = -math.inf
    is_reading: bool = False

    def record(self, index: int, digest: bytes, now: float) -> bool:
        """Record the digest of a body that does not match.

        Returns:
          True if the manifest is to be read again: the origin sent the same bytes twice.
        """
        is_confirmed = self.chunks.setdefault(index, Confirmation()).add(digest)
        return is_confirmed and self.starts_reading(now)

    def starts_reading(self, now: float) -> bool:
        """Return True if the manifest may be read again now, and record that it is."""
        if self.is_reading or now - self.read_at < REPEAT_SECONDS:
            return False
        self.is_reading = True
        return True

    def end_reading(self, now: float) -> None:
        """Record that the manifest was read again."""
        self.is_reading = False
        self.read_at = now


def split_digests(digests: bytes) -> list[bytes]:
    """Return the single digests of a version, in the order of its chunks."""
    return [digests[at : at + DIGEST_BYTES] for at in range(0, len(digests), DIGEST_BYTES)]


def changed_chunks(before: bytes, after: bytes) -> set[int]:
    """Return the chunks whose digests differ between two lists of the same version."""
    old, new = split_digests(before), split_digests(after)
    shorter, longer = sorted((len(old), len(new)))
    changed = {index for index in range(shorter) if old[index] != new[index]}
    return changed | {*range(shorter, longer)}
