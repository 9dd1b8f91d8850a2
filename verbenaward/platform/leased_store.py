"""Adapter for the platform's key-value store with leases: keys, ranges, watches, transactions."""

import asyncio
import base64
import binascii
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..bounded_reading import LARGEST_STORE_BYTES, read_at_most
from . import names
from .declarations import DECODE_ERRORS
from .key_value import (
    ADAPTERS,
    KeyValueEntry,
    KeyValueError,
    KeyValueFailure,
    KeyValueSnapshot,
)

CALL_TIMEOUT_SECONDS = 1.0
"""Longest time without a byte of an answer."""
MAXIMUM_TRANSFER_SECONDS = 8.0
"""Longest time for an answer beyond that, while bytes arrive: a large configuration takes seconds
on a narrow link."""
WATCH_SLACK_SECONDS = 0.6
"""Time beyond the timeout of a watch before the call itself fails."""
FAILURE_BY_STATUS = {
    410: KeyValueFailure.COMPACTED,
    412: KeyValueFailure.CONFLICT,
    429: KeyValueFailure.RATE_LIMITED,
    404: KeyValueFailure.CONFLICT,
}
"""Failure by HTTP status.

Status 404 means that the key or lease does not exist. It counts as a conflict, on which read() and
keep_alive() rely.
"""
MILLISECONDS = 1000
SHARED_SHARE = 0.1
"""Part of its time for which further keys are written under a lease; they end that much sooner."""
EMPTY_EVACUATION = b" "
"""Stands for the value of an evacuation that was written without one; malformed as well."""


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """The decoded body of an answer, and the era of the store that has given it."""

    body: Any
    era: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, and the era of the store that has granted it.

    A restored store may give the id of a lease that it has lost to another process.
    """

    id: int
    era: int


@dataclass(frozen=True, slots=True)
class SharedLease:
    """A lease under which several keys are written that nobody renews.

    Attributes:
      lease: The lease.
      until: Time until which keys are written under it, monotonic.
    """

    lease: Lease
    until: float


@ADAPTERS.register("leased")
class LeasedStore:
    """The platform's key-value store with leases, reached over HTTP.

    Attributes:
      session: HTTP client.
      url: Base URL of the store.
      leases: Lease of each key that this process keeps alive, also while it is not known whether
        the key was written.
      written: Keys that were written under their lease.
      shared: Lease of keys that nobody renews, by their time to live in seconds.
      era: Era of the store in its last answer that has told one; 0 before that.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.leases: dict[str, Lease] = {}
        self.written: set[str] = set()
        self.shared: dict[float, SharedLease] = {}
        self.era = 0

    async def read(self, key: str) -> Result[KeyValueEntry | None, KeyValueError]:
        """Return the entry of a key, or None if the key does not exist."""
        result = await self.call("GET", "/kv-key", {"key": key})
        if isinstance(result, Failure) and result.failure().failure is KeyValueFailure.CONFLICT:
            return Success(None)
        return result.bind(safe_parser(lambda answer: parse_entry(answer.body, answer.era)))

    async def read_prefix(self, prefix: str) -> Result[KeyValueSnapshot, KeyValueError]:
        """Return all entries whose keys start with a prefix.

        Pages are read one after the other. The snapshot gets the revision of the first page, so
        that a watch from there also returns the changes made while later pages were read. If the
        store is restored meanwhile, the pages do not fit together and the read fails.
        """
        entries: list[KeyValueEntry] = []
        revision = era = 0
        after = ""
        while True:
            query = {"path_prefix": prefix, **({"after": after} if after else {})}
            result = await self.call("GET", "/kv-range", query)
            page = result.bind(safe_parser(parse_page))
            if not isinstance(page, Success):
                return page
            snapshot, has_more = page.unwrap()
            if revision and snapshot.era != era:
                message = "the store was restored while its pages were read"
                return Failure(KeyValueError(KeyValueFailure.COMPACTED, message))
            revision, era = revision or snapshot.revision, snapshot.era
            entries += snapshot.entries
            if not has_more or not snapshot.entries:
                return Success(KeyValueSnapshot(revision, tuple(entries), era))
            after = snapshot.entries[-1].key

    async def write(
        self, key: str, value: bytes, expected_version: int, ttl_seconds: float = 0.0
    ) -> Result[int, KeyValueError]:
        """Write a value by compare-and-swap and return the new version.

        A key with a time to live ends up to a tenth of it sooner, as keys share leases.
        """
        lease = 0
        if ttl_seconds:
            granted = await self.shared_lease(ttl_seconds)
            if not isinstance(granted, Success):
                return granted.map(lambda lease: lease.id)
            lease = granted.unwrap().id
        result = await self.commit(
            {
                "precondition": [{"key": key, "revision": expected_version}],
                "write": [write_row(key, value, lease)],
                "remove": [],
            }
        )
        if not isinstance(result, Success):
            # The store may have forgotten the lease.
            self.shared.pop(ttl_seconds, None)
        return result

    async def shared_lease(self, ttl_seconds: float) -> Result[Lease, KeyValueError]:
        """Return a lease of this time that was granted lately, or request one."""
        now = clock.now()
        shared = self.shared.get(ttl_seconds)
        if shared is not None and now < shared.until and shared.lease.era == self.era:
            return Success(shared.lease)
        granted = await self.grant_lease(ttl_seconds)
        if isinstance(granted, Success):
            until = now + SHARED_SHARE * ttl_seconds
            self.shared[ttl_seconds] = SharedLease(granted.unwrap(), until)
        return granted

    async def delete(self, key: str, expected_version: int) -> Result[int, KeyValueError]:
        """Delete a key by compare-and-swap and return the revision of the store."""
        condition = {"key": key, "revision": expected_version}
        return await self.commit({"precondition": [condition], "write": [], "remove": [key]})

    async def keep_alive(
        self, key: str, value: bytes, ttl_seconds: float
    ) -> Result[int, KeyValueError]:
        """Renew the lease of a key of this process, or write the key if the lease has expired.

        A write without an answer may be carried out seconds later, so the next try uses its lease.

        Args:
          key: The key; no other process may write it.
          value: Value; a renewal does not write it again.
          ttl_seconds: Time without a renewal after which the key expires, in seconds.

        Returns:
          The revision of the write; 0 if the lease was renewed.
        """
        lease = self.leases.get(key)
        if lease is not None:
            renewed = await self.call("POST", f"/kv-keep/{lease.id}")
            if isinstance(renewed, Success):
                if renewed.unwrap().era != lease.era:
                    lease = None
                elif key in self.written:
                    return Success(0)
            elif renewed.failure().failure is KeyValueFailure.CONFLICT:
                lease = None
            else:
                return renewed.map(lambda _: 0)
        if lease is None:
            granted = await self.grant_lease(ttl_seconds)
            if not isinstance(granted, Success):
                return granted.map(lambda lease: lease.id)
            lease = self.leases[key] = granted.unwrap()
            self.written.discard(key)
        result = await self.commit(
            {"precondition": [], "write": [write_row(key, value, lease.id)], "remove": []}
        )
        if isinstance(result, Success) and self.leases.get(key) == lease:
            self.written.add(key)
        return result

    async def end_lease(self, key: str) -> Result[int, KeyValueError]:
        """End the lease of a key of this process, which deletes the key."""
        lease = self.leases.pop(key, None)
        self.written.discard(key)
        if lease is None or lease.era != self.era:
            return Success(0)
        path = f"/kv-lease-end/{lease.id}"
        result = await self.call("DELETE", path)
        if isinstance(result, Failure) and result.failure().failure is KeyValueFailure.UNKNOWN:
            # To end a lease twice does no harm.
            result = await self.call("DELETE", path)
        return result.map(lambda _: 0)

    async def grant_lease(self, ttl_seconds: float) -> Result[Lease, KeyValueError]:
        """Request a new lease."""
        body = {"ttl_ms": int(ttl_seconds * MILLISECONDS)}
        result = await self.call("POST", "/kv-lease", body=body)
        return result.bind(
            safe_parser(lambda answer: Lease(int(answer.body["lease_id"]), answer.era))
        )

    async def commit(self, transaction: dict[str, Any]) -> Result[int, KeyValueError]:
        """Commit a transaction and return the new revision of the store."""
        result = await self.call("POST", "/kv-txn", body=transaction)
        return result.bind(safe_parser(lambda answer: int(answer.body["revision"])))

    async def watch(
        self, prefix: str, after: int, timeout_seconds: float
    ) -> Result[KeyValueSnapshot, KeyValueError]:
        """Wait for changes after a revision; returns an empty snapshot after the timeout."""
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_timeout_ms": str(int(timeout_seconds * MILLISECONDS)),
        }
        timeout = timeout_seconds + WATCH_SLACK_SECONDS
        result = await self.call("GET", "/kv-watch", query, timeout_seconds=timeout)
        return result.bind(safe_parser(parse_changes))

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[StoreAnswer, KeyValueError]:
        """Send one request and count its outcome in the metrics."""
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
    ) -> Result[StoreAnswer, KeyValueError]:
        """Send one request and map its failures to typed errors.

        Without an answer the error is UNKNOWN, because the store may have got the request. It is
        UNAVAILABLE if the connection attempt failed or the status has no entry in
        FAILURE_BY_STATUS.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds + MAXIMUM_TRANSFER_SECONDS,
            sock_connect=timeout_seconds,
            sock_read=timeout_seconds,
        )
        try:
            async with self.session.request(
                method, self.url + path, params=query, json=body, timeout=timeout
            ) as response:
                payload = await read_at_most(response, LARGEST_STORE_BYTES)
                era = self.observe_era(response.headers.get(names.STORE_ERA, ""))
                if response.status == 200:
                    return Success(StoreAnswer(msgspec.json.decode(payload), era))
                failure = FAILURE_BY_STATUS.get(response.status, KeyValueFailure.UNAVAILABLE)
                return Failure(KeyValueError(failure, f"{path}: status {response.status}"))
        except aiohttp.ClientConnectorError as error:
            return Failure(KeyValueError(KeyValueFailure.UNAVAILABLE, str(error)))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError, *DECODE_ERRORS) as error:
            message = f"{method} {path}: {type(error).__name__} {error}"
            return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))

    def observe_era(self, text: str) -> int:
        """Return the era that an answer tells; the last known one if it tells none."""
        if not text.isdecimal():
            return self.era
        self.era = max(self.era, int(text))
        return int(text)


def safe_parser(parse: Any) -> Any:
    """Wrap a parser so that a malformed answer becomes a typed error instead of an exception."""

    def parse_or_fail(body: Any) -> Result[Any, KeyValueError]:
        try:
            return Success(parse(body))
        except (*DECODE_ERRORS, binascii.Error) as error:
            message = f"malformed answer: {type(error).__name__} {error}"
            return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))

    return parse_or_fail


def write_row(key: str, value: bytes, lease: int) -> dict[str, Any]:
    """Return the write of one key in a transaction; lease 0 means none."""
    return {"key": key, "data": base64.b64encode(value).decode(), "lease_id": lease}


def parse_page(answer: StoreAnswer) -> tuple[KeyValueSnapshot, bool]:
    """Parse the entries of a page and whether more pages follow."""
    return parse_entries(answer, "entries"), bool(answer.body["has_more"])


def parse_changes(answer: StoreAnswer) -> KeyValueSnapshot:
    """Parse the changes that a watch returned."""
    return parse_entries(answer, "events")


def parse_entries(answer: StoreAnswer, field: str) -> KeyValueSnapshot:
    """Parse the entries in a field of an answer."""
    entries = tuple(parse_entry(item, answer.era) for item in answer.body[field])
    return KeyValueSnapshot(int(answer.body["at"]), entries, answer.era)


def parse_entry(item: Any, era: int) -> KeyValueEntry:
    """Parse one entry of a decoded answer; a deleted key has an empty value.

    An evacuation is in force whatever its value, so one that was written without a value must not
    be taken for a deleted one.
    """
    key, is_deleted = str(item["key"]), bool(item.get("deleted"))
    value = b"" if is_deleted else base64.b64decode(item["data"])
    if not value and not is_deleted and key.startswith(names.EVACUATION_PREFIX):
        value = EMPTY_EVACUATION
    return KeyValueEntry(key, value, int(item["revision"]), era=era)
