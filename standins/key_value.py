"""Stand-in for the key-value service: compare-and-swap, times to live, watches, a write limit."""

import asyncio
import base64
import contextlib
import time
from dataclasses import dataclass, field

from aiohttp import web

from .faults import Faults, install_faults

EVENT_LIMIT = 10_000
"""Changes kept for watches; a watch from an older revision gets status 410."""


@dataclass
class StoredValue:
    """Value of a key.

    Attributes:
      value: Raw bytes.
      version: Revision of the write.
      expires_at: Monotonic time at which the key expires; 0 for never.
    """

    value: bytes
    version: int
    expires_at: float = 0.0


@dataclass
class KeyValueStandIn:
    """HTTP key-value service with one global revision.

    Attributes:
      revision: Number of changes so far.
      stored: Values by key.
      events: Recent changes as (revision, key), oldest first.
      calls: Number of calls by kind: "read", "write" or "watch".
      writes_per_second: Limit on `PUT` requests; 0 for no limit.
      write_tokens: Tokens in the bucket of the write limit.
      refilled_at: Monotonic time at which the bucket was last refilled.
    """

    writes_per_second: float = 0.0
    revision: int = 0
    stored: dict[str, StoredValue] = field(default_factory=dict)
    events: list[tuple[int, str]] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    write_tokens: float = 0.0
    refilled_at: float = 0.0

    def __post_init__(self) -> None:
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        install_faults(app, self.faults)
        app.router.add_get("/v1/kv", self.get)
        app.router.add_put("/v1/kv", self.put)
        app.router.add_delete("/v1/kv", self.remove)
        app.router.add_get("/v1/range", self.get_range)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_get("/ledger", self.ledger)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return the counts of calls and the revision."""
        return web.json_response({"calls": self.calls, "revision": self.revision})

    async def get(self, request: web.Request) -> web.Response:
        """Return the entry of one key, or null."""
        self.count("read")
        await self.expire()
        key = request.query["key"]
        stored_value = self.stored.get(key)
        return web.json_response({"entry": entry_json(key, stored_value) if stored_value else None})

    async def get_range(self, request: web.Request) -> web.Response:
        """Return all entries whose key has a prefix."""
        self.count("read")
        await self.expire()
        prefix = request.query["prefix"]
        entries = [
            entry_json(key, value)
            for key, value in sorted(self.stored.items())
            if key.startswith(prefix)
        ]
        return web.json_response({"revision": self.revision, "entries": entries})

    async def put(self, request: web.Request) -> web.Response:
        """Write one key if its version is the expected one (0: it does not exist)."""
        self.count("write")
        if not self.allow_write():
            return web.json_response({"error": "rate"}, status=429, headers={"Retry-After": "0.2"})
        await self.expire()
        key = request.query["key"]
        value = await request.read()
        current = self.stored.get(key)
        if (current.version if current else 0) != int(request.query["version"]):
            return web.json_response({"error": "version conflict"}, status=409)
        ttl = float(request.query.get("ttl", "0"))
        version = await self.store_value(key, value, time.monotonic() + ttl if ttl else 0.0)
        await self.maybe_drop_response(request)
        return web.json_response({"version": version})

    async def remove(self, request: web.Request) -> web.Response:
        """Delete one key if its version is the expected one."""
        self.count("write")
        key = request.query["key"]
        current = self.stored.get(key)
        if current is None or current.version != int(request.query["version"]):
            return web.json_response({"error": "version conflict"}, status=409)
        del self.stored[key]
        await self.record_change(key)
        await self.maybe_drop_response(request)
        return web.json_response({"revision": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Return the entries of a prefix changed after a revision, waiting for the first change."""
        self.count("watch")
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline = time.monotonic() + float(request.query.get("timeout", "30"))
        if self.events and after < self.events[0][0] - 1:
            return web.json_response({"error": "compacted"}, status=410)
        while True:
            if self.faults.down:
                return web.json_response({"error": "unavailable"}, status=503)
            keys = {key for rev, key in self.events if rev > after and key.startswith(prefix)}
            remaining = deadline - time.monotonic()
            if keys or remaining <= 0:
                break
            await self.wait_for_change(min(remaining, 0.5))
        entries = [entry_json(key, self.stored.get(key)) for key in sorted(keys)]
        return web.json_response({"revision": self.revision, "entries": entries})

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for any change, at most the given time."""
        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), seconds)

    async def store_value(self, key: str, value: bytes, expires_at: float) -> int:
        """Store a value and return its version, the new revision."""
        self.stored[key] = StoredValue(value, self.revision + 1, expires_at)
        await self.record_change(key)
        return self.revision

    async def record_change(self, key: str) -> None:
        """Raise the revision, record the change and notify waiting watches."""
        self.revision += 1
        self.events.append((self.revision, key))
        del self.events[:-EVENT_LIMIT]
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        """Remove the keys whose time to live has passed."""
        now = time.monotonic()
        expired = [
            key for key, item in self.stored.items() if item.expires_at and item.expires_at < now
        ]
        for key in expired:
            del self.stored[key]
            await self.record_change(key)

    async def maybe_drop_response(self, request: web.Request) -> None:
        """Close the connection instead of responding, in the `lose_answers` share of writes.

        Raises:
          ConnectionResetError: The connection was closed.
        """
        if self.faults.happens(self.faults.lose_answers) and request.transport:
            request.transport.close()
            raise ConnectionResetError("response dropped by the lose_answers fault")

    def allow_write(self) -> bool:
        """Take a token from the bucket of the write limit; return False when it is empty."""
        if not self.writes_per_second:
            return True
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.writes_per_second
        self.write_tokens = min(self.writes_per_second, self.write_tokens + refill)
        self.refilled_at = now
        if self.write_tokens < 1:
            return False
        self.write_tokens -= 1
        return True

    def count(self, kind: str) -> None:
        """Count one call of a kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1


def entry_json(key: str, stored: StoredValue | None) -> dict[str, object]:
    """Encode the entry of a key; a deleted key has an empty value and version 0."""
    if stored is None:
        return {"key": key, "value": "", "version": 0}
    return {
        "key": key,
        "value": base64.b64encode(stored.value).decode(),
        "version": stored.version,
    }
