"""Adapter to the users' store: items, ranges, watches, transactions and leases."""

import asyncio
import base64
import binascii
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from .. import metrics
from .key_value import (
    ADAPTERS,
    KeyValueEntry,
    KeyValueError,
    KeyValueFailure,
    KeyValueSnapshot,
)

CALL_TIMEOUT_SECONDS = 1.0
WATCH_SLACK_SECONDS = 0.6
FAILURE_BY_STATUS = {
    410: KeyValueFailure.COMPACTED,
    412: KeyValueFailure.CONFLICT,
    429: KeyValueFailure.RATE_LIMITED,
    404: KeyValueFailure.CONFLICT,
}
MILLISECONDS = 1000


@ADAPTERS.register("leased")
class LeasedStore:
    """The users' store behind an HTTP address.

    Attributes:
      session: HTTP client.
      url: Base URL of the store.
      leases: Lease of each key that this process holds.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.leases: dict[str, int] = {}

    async def read(self, key: str) -> Result[KeyValueEntry | None, KeyValueError]:
        """Return the entry of a key, or None."""
        result = await self.call("GET", "/kv-key", {"key": key})
        if isinstance(result, Failure) and result.failure().failure is KeyValueFailure.CONFLICT:
            return Success(None)
        return result.bind(checked(entry_of))

    async def read_prefix(self, prefix: str) -> Result[KeyValueSnapshot, KeyValueError]:
        """Return all entries whose keys start with a prefix.

        Pages are read one after the other. The revision is that of the first page, so that a
        watch from there tells what changed while the others were read.
        """
        entries: list[KeyValueEntry] = []
        revision = 0
        after = ""
        while True:
            query = {"path_prefix": prefix, **({"after": after} if after else {})}
            result = await self.call("GET", "/kv-range", query)
            page = result.bind(checked(page_of))
            if not isinstance(page, Success):
                return page
            snapshot, has_more = page.unwrap()
            revision = revision or snapshot.revision
            entries += snapshot.entries
            if not has_more or not snapshot.entries:
                return Success(KeyValueSnapshot(revision, tuple(entries)))
            after = snapshot.entries[-1].key

    async def write(
        self, key: str, value: bytes, expected_version: int, ttl_seconds: float = 0.0
    ) -> Result[int, KeyValueError]:
        """Write a value by compare-and-swap and return the new version."""
        lease = 0
        if ttl_seconds:
            granted = await self.grant(ttl_seconds)
            if not isinstance(granted, Success):
                return granted
            lease = granted.unwrap()
        return await self.commit(
            {
                "precondition": [{"key": key, "revision": expected_version}],
                "write": [written(key, value, lease)],
                "remove": [],
            }
        )

    async def delete(self, key: str, expected_version: int) -> Result[int, KeyValueError]:
        """Delete a key by compare-and-swap and return the revision of the store."""
        condition = {"key": key, "revision": expected_version}
        return await self.commit({"precondition": [condition], "write": [], "remove": [key]})

    async def hold(self, key: str, value: bytes, ttl_seconds: float) -> Result[int, KeyValueError]:
        """Keep a key of this process alive; write it where its lease has ended.

        Args:
          key: The key, which no other process writes.
          value: Its value; it is not written again while the lease lives.
          ttl_seconds: Time after which the key lapses.

        Returns:
          The revision of the write; 0 where the lease was renewed.
        """
        lease = self.leases.get(key, 0)
        if lease:
            renewed = await self.call("POST", f"/kv-keep/{lease}")
            if isinstance(renewed, Success):
                return Success(0)
            if renewed.failure().failure is not KeyValueFailure.CONFLICT:
                return renewed
            del self.leases[key]
        granted = await self.grant(ttl_seconds)
        if not isinstance(granted, Success):
            return granted
        lease = granted.unwrap()
        result = await self.commit(
            {"precondition": [], "write": [written(key, value, lease)], "remove": []}
        )
        if isinstance(result, Success):
            self.leases[key] = lease
        return result

    async def release(self, key: str) -> Result[int, KeyValueError]:
        """End the lease of a key of this process, which removes the key."""
        lease = self.leases.pop(key, 0)
        if not lease:
            return Success(0)
        result = await self.call("DELETE", f"/kv-lease-end/{lease}")
        return result.map(lambda _: 0)

    async def grant(self, ttl_seconds: float) -> Result[int, KeyValueError]:
        """Return a new lease."""
        body = {"ttl_ms": int(ttl_seconds * MILLISECONDS)}
        result = await self.call("POST", "/kv-lease", body=body)
        return result.bind(checked(lambda value: int(value["lease_id"])))

    async def commit(self, transaction: dict[str, Any]) -> Result[int, KeyValueError]:
        """Make a change under conditions and return the revision of the store."""
        result = await self.call("POST", "/kv-txn", body=transaction)
        return result.bind(checked(lambda value: int(value["revision"])))

    async def watch(
        self, prefix: str, after: int, timeout_seconds: float
    ) -> Result[KeyValueSnapshot, KeyValueError]:
        """Wait for changes after a revision; an empty snapshot after the timeout."""
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_timeout_ms": str(int(timeout_seconds * MILLISECONDS)),
        }
        timeout = timeout_seconds + WATCH_SLACK_SECONDS
        result = await self.call("GET", "/kv-watch", query, timeout_seconds=timeout)
        return result.bind(checked(changes_of))

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Any, KeyValueError]:
        """Make one call and count it."""
        result = await self.send(method, path, query, body, timeout_seconds)
        outcome = "answered" if isinstance(result, Success) else result.failure().failure.value
        metrics.KEY_VALUE_CALLS.labels(path.split("/")[1], outcome).inc()
        return result

    async def send(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: Any,
        timeout_seconds: float,
    ) -> Result[Any, KeyValueError]:
        """Send one call and map its failures."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self.session.request(
                method, self.url + path, params=query, json=body, timeout=timeout
            ) as response:
                payload = await response.read()
                if response.status == 200:
                    return Success(msgspec.json.decode(payload))
                failure = FAILURE_BY_STATUS.get(response.status, KeyValueFailure.UNAVAILABLE)
                return Failure(KeyValueError(failure, f"{path}: status {response.status}"))
        except aiohttp.ClientConnectorError as error:
            return Failure(KeyValueError(KeyValueFailure.UNAVAILABLE, str(error)))
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, OSError) as error:
            message = f"{method} {path}: {type(error).__name__} {error}"
            return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))


def checked(decode: Any) -> Any:
    """Return a function that decodes an answer and turns nonsense into a typed error."""

    def decode_or_fail(body: Any) -> Result[Any, KeyValueError]:
        try:
            return Success(decode(body))
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            message = f"an answer cannot be read: {type(error).__name__} {error}"
            return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))

    return decode_or_fail


def written(key: str, value: bytes, lease: int) -> dict[str, Any]:
    """Return the row of a written key."""
    return {"key": key, "data": base64.b64encode(value).decode(), "lease_id": lease}


def page_of(body: Any) -> tuple[KeyValueSnapshot, bool]:
    """Return the entries of a page and whether more follow."""
    entries = tuple(entry_of(item) for item in body["entries"])
    return KeyValueSnapshot(int(body["at"]), entries), bool(body["has_more"])


def changes_of(body: Any) -> KeyValueSnapshot:
    """Return the changes that a watch reports."""
    return KeyValueSnapshot(int(body["at"]), tuple(entry_of(item) for item in body["events"]))


def entry_of(item: Any) -> KeyValueEntry:
    """Return the entry of a decoded item; a deleted key has an empty value."""
    value = b"" if item.get("deleted") else base64.b64decode(item["data"])
    return KeyValueEntry(str(item["key"]), value, int(item["revision"]))
