"""Stand-in of the users' store: items, ranges, watches, transactions and leases."""

import asyncio
import base64
import time
from typing import Any

from aiohttp import web

WATCH_POLL_SECONDS = 0.01
PAGE = 50


class UsersStore:
    """The store, with faults that tests switch on.

    Attributes:
      revision: Counter that each change raises.
      items: Value, revision and lease by key.
      history: Changes in order; cut off by forget().
      floor: Changes up to it are forgotten.
      leases: End of each lease, monotonic, and its length.
      mode: "ok", "down" (503), "limited" (429), "reset", "silent" or "nonsense".
      deaf: Watches hear nothing, and those that wait stay silent until their time is over.
      lose_answers: Writes take effect and are not answered.
      calls: Calls so far.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.floor = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.mode = "ok"
        self.deaf = False
        self.lose_answers = False
        self.calls = 0

    def application(self) -> web.Application:
        """Return the application of the store."""
        app = web.Application(middlewares=[self.apply_faults])
        app.router.add_get("/kv-key", self.key)
        app.router.add_get("/kv-range", self.range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.transaction)
        app.router.add_post("/kv-lease", self.lease)
        app.router.add_post("/kv-keep/{id}", self.keep)
        app.router.add_delete("/kv-lease-end/{id}", self.end_lease)
        return app

    @web.middleware
    async def apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Answer as the mode says."""
        self.calls += 1
        self.expire()
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset" and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        if self.mode in ("down", "limited"):
            return web.Response(status=503 if self.mode == "down" else 429)
        if self.mode == "nonsense":
            return web.Response(text='{"entries": 7, "at": "x"')
        response: web.StreamResponse = await handler(request)
        if self.lose_answers and request.method == "POST" and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        return response

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as the operator and the backends do; return the revision."""
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.history.append(item_of(key, value, self.revision, lease))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def forget(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.floor = self.revision

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        del self.leases[lease]
        for key in [key for key, (_, _, held) in self.items.items() if held == lease]:
            self.remove(key)

    async def key(self, request: web.Request) -> web.Response:
        """Answer one item."""
        found = self.items.get(request.query["key"])
        if found is None:
            return web.Response(status=404)
        return web.json_response({**item_of(request.query["key"], *found), "at": self.revision})

    async def range(self, request: web.Request) -> web.Response:
        """Answer a page of items."""
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        entries = [item_of(key, *self.items[key]) for key in keys[:PAGE]]
        return web.json_response(
            {"entries": entries, "has_more": len(keys) > PAGE, "at": self.revision}
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Answer what changed after a revision, waiting for it."""
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["wait_timeout_ms"]) / 1000
        is_silent = False
        while True:
            is_silent = is_silent or self.deaf
            if is_silent and time.monotonic() < until:
                await asyncio.sleep(WATCH_POLL_SECONDS)
                continue
            if after < self.floor:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if (events and not self.deaf) or time.monotonic() >= until:
                at = after if self.deaf else self.revision
                body = {"events": [] if self.deaf else events, "at": at}
                return web.json_response(body)
            await asyncio.sleep(WATCH_POLL_SECONDS)

    async def transaction(self, request: web.Request) -> web.Response:
        """Make a change under conditions."""
        body = await request.json()
        for row in body["precondition"]:
            if self.items.get(row["key"], (b"", 0, 0))[1] != row["revision"]:
                return web.json_response({"entries": []}, status=412)
        for row in body["write"]:
            lease = row.get("lease_id", 0)
            if lease and lease not in self.leases:
                return web.Response(status=404)
            self.put(row["key"], base64.b64decode(row["data"]), lease)
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        seconds = (await request.json())["ttl_ms"] / 1000
        lease = len(self.leases) + 1000 + self.revision
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"lease_id": lease, "ttl_ms": int(seconds * 1000)})

    async def keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.Response(status=404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"ttl_ms": int(seconds * 1000)})

    async def end_lease(self, request: web.Request) -> web.Response:
        """End a lease."""
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.Response(status=404)
        self.drop_lease(lease)
        return web.json_response({})


def item_of(key: str, value: bytes, revision: int, lease: int) -> dict[str, Any]:
    """Return an item as the store writes it."""
    data = base64.b64encode(value).decode()
    return {
        "key": key,
        "data": data,
        "revision": revision,
        "creation_time": revision,
        "lease_id": lease,
    }
