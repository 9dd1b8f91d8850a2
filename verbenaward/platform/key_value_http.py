"""Adapter for a key-value service with an HTTP interface."""

import asyncio
import base64
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..bounded_reading import LARGEST_REPORT_BYTES, LARGEST_STORE_BYTES, read_at_most
from .declarations import DECODE_ERRORS
from .key_value import (
    ADAPTERS,
    KeyValueEntry,
    KeyValueError,
    KeyValueFailure,
    KeyValueSnapshot,
)
from .names import RETRY_AFTER
from .request_headers import parse_number

CALL_TIMEOUT_SECONDS = 2.0
WATCH_SLACK_SECONDS = 2.0
"""Time beyond the timeout of a watch before the call itself fails."""
FAILURE_BY_STATUS = {
    409: KeyValueFailure.CONFLICT,
    410: KeyValueFailure.COMPACTED,
    429: KeyValueFailure.RATE_LIMITED,
}


@ADAPTERS.register("http")
class HttpKeyValueService:
    """Key-value service with an HTTP interface.

    Attributes:
      session: HTTP client.
      url: Base URL of the service.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def read(self, key: str) -> Result[KeyValueEntry | None, KeyValueError]:
        """Return the entry of a key, or None if the key does not exist."""
        result = await self.call("GET", "/v1/kv", {"key": key})
        return result.map(lambda body: parse_entry(body["entry"]) if body["entry"] else None)

    async def read_prefix(self, prefix: str) -> Result[KeyValueSnapshot, KeyValueError]:
        """Return all entries whose keys start with a prefix."""
        result = await self.call("GET", "/v1/range", {"prefix": prefix})
        return result.map(parse_snapshot)

    async def write(
        self, key: str, value: bytes, expected_version: int, ttl_seconds: float = 0.0
    ) -> Result[int, KeyValueError]:
        """Write a value by compare-and-swap and return the new version."""
        query = {"key": key, "version": str(expected_version), "ttl": str(ttl_seconds)}
        result = await self.call("PUT", "/v1/kv", query, value)
        return result.map(lambda body: int(body["version"]))

    async def delete(self, key: str, expected_version: int) -> Result[int, KeyValueError]:
        """Delete a key by compare-and-swap and return the revision of the service."""
        query = {"key": key, "version": str(expected_version)}
        result = await self.call("DELETE", "/v1/kv", query)
        return result.map(lambda body: int(body["revision"]))

    async def watch(
        self, prefix: str, after: int, timeout_seconds: float
    ) -> Result[KeyValueSnapshot, KeyValueError]:
        """Wait for changes after a revision; returns an empty snapshot after the timeout."""
        query = {"prefix": prefix, "after": str(after), "timeout": str(timeout_seconds)}
        timeout = timeout_seconds + WATCH_SLACK_SECONDS
        result = await self.call("GET", "/v1/watch", query, timeout_seconds=timeout)
        return result.map(parse_snapshot)

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Any, KeyValueError]:
        """Send one request and map its failures to typed errors.

        Without an answer the error is UNKNOWN, because the service may have got the request. It is
        UNAVAILABLE if the connection attempt failed or the status has no entry in
        FAILURE_BY_STATUS.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self.session.request(
                method, self.url + path, params=query, data=body, timeout=timeout
            ) as response:
                if response.status == 200:
                    payload = await read_at_most(response, LARGEST_STORE_BYTES)
                    return Success(msgspec.json.decode(payload))
                return Failure(await parse_error(response))
        except aiohttp.ClientConnectorError as error:
            return Failure(KeyValueError(KeyValueFailure.UNAVAILABLE, str(error)))
        except (aiohttp.ClientError, asyncio.TimeoutError, *DECODE_ERRORS) as error:
            message = f"{method} {path}: {type(error).__name__} {error}"
            return Failure(KeyValueError(KeyValueFailure.UNKNOWN, message))


async def parse_error(response: aiohttp.ClientResponse) -> KeyValueError:
    """Return the typed error for a response with another status than 200."""
    failure = FAILURE_BY_STATUS.get(response.status, KeyValueFailure.UNAVAILABLE)
    retry_after = parse_number(response.headers.get(RETRY_AFTER, "")) or 0.0
    text = (await read_at_most(response, LARGEST_REPORT_BYTES)).decode(errors="replace")
    return KeyValueError(failure, text[:200], retry_after)


def parse_snapshot(body: Any) -> KeyValueSnapshot:
    """Parse the snapshot in a decoded answer."""
    entries = tuple(parse_entry(item) for item in body["entries"])
    return KeyValueSnapshot(int(body["revision"]), entries)


def parse_entry(item: Any) -> KeyValueEntry:
    """Parse one entry of a decoded answer; a deleted key has an empty value."""
    return KeyValueEntry(item["key"], base64.b64decode(item["value"]), int(item["version"]))
