"""Port to the platform's key-value service."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, runtime_checkable

import aiohttp
from returns.result import Result

from ..registry import Registry


class KeyValueFailure(StrEnum):
    """Why a call to the key-value service gave no result."""

    CONFLICT = "conflict"
    COMPACTED = "compacted"
    RATE_LIMITED = "rate-limited"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyValueError:
    """A failed call.

    Attributes:
      failure: The kind. CONFLICT, COMPACTED and RATE_LIMITED prove that a write had no
        effect; after UNAVAILABLE and UNKNOWN it may have had one.
      message: Text for operators.
      retry_after_seconds: Wait that the service asked for.
    """

    failure: KeyValueFailure
    message: str
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """One key with its value and the revision of its last change; deleted where empty."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class KeyValueSnapshot:
    """Entries together with the revision of the whole service they were read at."""

    revision: int
    entries: tuple[KeyValueEntry, ...]


class KeyValueService(Protocol):
    """Narrow interface to the key-value service."""

    async def read(self, key: str) -> Result[KeyValueEntry | None, KeyValueError]:
        """Return the entry of a key, or None."""
        ...

    async def read_prefix(self, prefix: str) -> Result[KeyValueSnapshot, KeyValueError]:
        """Return all entries whose keys start with a prefix."""
        ...

    async def write(
        self, key: str, value: bytes, expected_version: int, ttl_seconds: float = 0.0
    ) -> Result[int, KeyValueError]:
        """Write a value by compare-and-swap.

        Args:
          key: The key.
          value: The new value.
          expected_version: Version the key must have; 0 where it must not exist.
          ttl_seconds: Time after which the key lapses; 0 for never.

        Returns:
          The new version.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> Result[int, KeyValueError]:
        """Delete a key by compare-and-swap and return the revision of the service."""
        ...

    async def watch(
        self, prefix: str, after: int, timeout_seconds: float
    ) -> Result[KeyValueSnapshot, KeyValueError]:
        """Wait for changes after a revision; an empty snapshot after the timeout."""
        ...


@runtime_checkable
class LeasingService(KeyValueService, Protocol):
    """A key-value service with leases that a process renews."""

    async def hold(self, key: str, value: bytes, ttl_seconds: float) -> Result[int, KeyValueError]:
        """Keep a key of this process alive; write it where its lease has ended."""
        ...

    async def release(self, key: str) -> Result[int, KeyValueError]:
        """Remove a key of this process."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], KeyValueService]] = Registry(
    "key-value adapter"
)
