"""Stand-in of the key-value service: compare-and-swap, leases, watches, limits."""

import asyncio
import base64
import contextlib
import time
from dataclasses import dataclass, field

from aiohttp import web

from .faults import Faults, add_fault_routes

KEPT_EVENTS = 10_000


@dataclass
class Stored:
    """One key's value, its version and when it lapses (0 for never)."""

    value: bytes
    version: int
    expires: float = 0.0


@dataclass
class KeyValueStandIn:
    """State of the service.

    Attributes:
      revision: Counter of all changes.
      stored: Values by key.
      events: Recent changes as (revision, key).
      calls: Number of calls by kind.
      writes_per_second: Limit on writes; 0 for none.
    """

    writes_per_second: float = 0.0
    revision: int = 0
    stored: dict[str, Stored] = field(default_factory=dict)
    events: list[tuple[int, str]] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    allowance: float = 0.0
    allowance_at: float = 0.0

    def __post_init__(self) -> None:
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        add_fault_routes(app, self.faults)
        app.router.add_get("/v1/kv", self.get)
        app.router.add_put("/v1/kv", self.put)
        app.router.add_delete("/v1/kv", self.remove)
        app.router.add_get("/v1/range", self.get_range)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_get("/ledger", self.ledger)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return the counts of calls."""
        return web.json_response({"calls": self.calls, "revision": self.revision})

    async def get(self, request: web.Request) -> web.Response:
        """Return one key."""
        self.count("read")
        await self.expire()
        key = request.query["key"]
        found = self.stored.get(key)
        return web.json_response({"entry": entry_json(key, found) if found else None})

    async def get_range(self, request: web.Request) -> web.Response:
        """Return all keys of a prefix."""
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
        """Write one key by compare-and-swap."""
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
        version = await self.change(key, value, time.monotonic() + ttl if ttl else 0.0)
        await self.maybe_lose(request)
        return web.json_response({"version": version})

    async def remove(self, request: web.Request) -> web.Response:
        """Delete one key by compare-and-swap."""
        self.count("write")
        key = request.query["key"]
        current = self.stored.get(key)
        if current is None or current.version != int(request.query["version"]):
            return web.json_response({"error": "version conflict"}, status=409)
        del self.stored[key]
        await self.announce(key)
        await self.maybe_lose(request)
        return web.json_response({"revision": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Wait for changes of a prefix after a revision."""
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
        """Wait until something changes or the time is over."""
        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), seconds)

    async def change(self, key: str, value: bytes, expires: float) -> int:
        """Store a value and return its version."""
        self.stored[key] = Stored(value, self.revision + 1, expires)
        await self.announce(key)
        return self.revision

    async def announce(self, key: str) -> None:
        """Count a change and wake the watches."""
        self.revision += 1
        self.events.append((self.revision, key))
        del self.events[:-KEPT_EVENTS]
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        """Remove the keys whose time to live is over."""
        now = time.monotonic()
        lapsed = [key for key, item in self.stored.items() if item.expires and item.expires < now]
        for key in lapsed:
            del self.stored[key]
            await self.announce(key)

    async def maybe_lose(self, request: web.Request) -> None:
        """Close the connection instead of answering in the set share of writes."""
        if self.faults.happens(self.faults.lose_answers) and request.transport:
            request.transport.close()
            raise ConnectionResetError("answer lost by the fault settings")

    def allow_write(self) -> bool:
        """Return False where the write limit is reached."""
        if not self.writes_per_second:
            return True
        now = time.monotonic()
        gained = (now - self.allowance_at) * self.writes_per_second
        self.allowance = min(self.writes_per_second, self.allowance + gained)
        self.allowance_at = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True

    def count(self, kind: str) -> None:
        """Count one call."""
        self.calls[kind] = self.calls.get(kind, 0) + 1


def entry_json(key: str, stored: Stored | None) -> dict[str, object]:
    """Return the JSON form of one key; a deleted key has no value and version 0."""
    if stored is None:
        return {"key": key, "value": "", "version": 0}
    return {
        "key": key,
        "value": base64.b64encode(stored.value).decode(),
        "version": stored.version,
    }
