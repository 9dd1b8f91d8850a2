"""Port to the platform's key-value service."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, runtime_checkable

import aiohttp
from returns.result import Result

from ..registry import Registry


class KeyValueFailure(StrEnum):
    """Kinds of failed calls to the key-value service."""

    CONFLICT = "conflict"
    COMPACTED = "compacted"
    RATE_LIMITED = "rate-limited"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyValueError:
    """A failed call.

    Attributes:
      failure: Kind of the failure. CONFLICT, COMPACTED and RATE_LIMITED prove that a write
        had no effect; after UNAVAILABLE and UNKNOWN it may have had one.
      message: Cause, for logs.
      retry_after_seconds: Wait that the service asked for; 0 for none.
    """

    failure: KeyValueFailure
    message: str
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in the history of the service.

    Attributes:
      era: Number of times that the service was restored from a copy, which rises by one each time;
        0 if the service does not tell.
      revision: Revision of the service in that era; a restore sets it back.
    """

    era: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """One key with its value.

    Attributes:
      key: The key.
      value: Value; empty if the key was deleted.
      revision: Revision of the last change of the key, for compare-and-swap.
      acknowledged_after: Time, monotonic, that was not later than the acknowledgement of that
        change; minus infinity if unknown.
      era: Era of the service in which it was read.
      last_order: Of a deleted key, the write order of its last value (see `write_orders`); empty if
        unknown.
      last_revision: Of a deleted key, the revision of its last known value; 0 if unknown.
    """

    key: str
    value: bytes
    revision: int
    acknowledged_after: float = -math.inf
    era: int = 0
    last_order: tuple[int, ...] = ()
    last_revision: int = 0


@dataclass(frozen=True, slots=True)
class KeyValueSnapshot:
    """Entries together with the revision and the era of the service at which they were read."""

    revision: int
    entries: tuple[KeyValueEntry, ...]
    era: int = 0


class KeyValueService(Protocol):
    """Port to the key-value service."""

    async def read(self, key: str) -> Result[KeyValueEntry | None, KeyValueError]:
        """Return the entry of a key, or None if the key does not exist."""
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
          expected_version: Version that the key must have; 0 if it must not exist.
          ttl_seconds: Time after which the key expires, in seconds; 0 for never.

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
        """Wait for changes after a revision; returns an empty snapshot after the timeout."""
        ...


@runtime_checkable
class LeasingService(KeyValueService, Protocol):
    """Port to a key-value service with leases."""

    async def keep_alive(
        self, key: str, value: bytes, ttl_seconds: float
    ) -> Result[int, KeyValueError]:
        """Renew the lease of a key of this process, or write the key if the lease has expired."""
        ...

    async def end_lease(self, key: str) -> Result[int, KeyValueError]:
        """End the lease of a key of this process, which deletes the key."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], KeyValueService]] = Registry(
    "key-value adapter"
)
