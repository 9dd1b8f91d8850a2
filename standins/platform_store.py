"""Stand-in for the key-value store of the users' platform, with watches and leases."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web

WATCH_POLL_SECONDS = 0.01
"""Interval at which a waiting watch looks for changes."""
PAGE_SIZE = 50
"""Items in one response to a range request."""


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the store's content, from which it can be restored.

    Attributes:
      revision: Revision of its last change.
      items: Items as in the store.
      history: Changes as in the store.
      leases: Leases as in the store.
      last_lease: Id of the lease granted last.
    """

    revision: int
    items: dict[str, tuple[bytes, int, int]]
    history: tuple[dict[str, Any], ...]
    leases: dict[int, tuple[float, float]]
    last_lease: int


class PlatformStoreStandIn:
    """HTTP key-value store whose mode and flags select faults.

    Attributes:
      revision: Revision of the last change.
      items: Value, revision of the last write and lease id (0 for none), by key.
      history: Changes after `compacted_revision`, oldest first.
      compacted_revision: A watch from before this revision gets status 410.
      leases: Monotonic time of the end and time to live in seconds, by lease id.
      last_lease: Id of the lease granted last; ids count up and are never reused.
      mode: "ok", "down" (503), "limited" (429), "reset" (the connection is aborted), "silent" (no
        response), "nonsense" (invalid JSON) or "trickling" (the end of a lease is answered byte by
        byte, a byte every 0.5 s).
      suppress_watch_events: Watches get no changes. One that waits while this is set responds only
        at its timeout, even if the flag is cleared before.
      drop_responses: POST requests take effect, then the connection is aborted without a response.
      calls: Number of requests so far.
      bytes_per_second: Rate at which range responses are sent; 0 for no limit.
      era: Number of the present era, which all responses tell; 0 for a store that tells none.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 1000
        self.mode = "ok"
        self.suppress_watch_events = False
        self.drop_responses = False
        self.calls = 0
        self.bytes_per_second = 0
        self.era = 1

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(middlewares=[self.apply_faults])
        app.router.add_get("/kv-key", self.get_item)
        app.router.add_get("/kv-range", self.get_range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.transaction)
        app.router.add_post("/kv-lease", self.grant_lease)
        app.router.add_post("/kv-keep/{id}", self.renew_lease)
        app.router.add_delete("/kv-lease-end/{id}", self.end_lease)
        app.on_response_prepare.append(self.add_era_header)
        return app

    async def add_era_header(self, _: web.Request, response: web.StreamResponse) -> None:
        """Tell the era in a response."""
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(
            self.revision,
            dict(self.items),
            tuple(self.history),
            dict(self.leases),
            self.last_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy. Its leases run anew; revisions and lease ids are given out again.

        The next watch from a later revision than the copy's gets status 410.
        """
        now = time.monotonic()
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.leases = {
            lease: (now + seconds, seconds) for lease, (_, seconds) in copy.leases.items()
        }
        self.last_lease = copy.last_lease

    @web.middleware
    async def apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Expire leases and apply the mode and `drop_responses` to a request."""
        self.calls += 1
        self.expire()
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset" and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        if self.mode in ("down", "limited"):
            return web.Response(status=503 if self.mode == "down" else 429)
        if self.mode == "trickling" and request.method == "DELETE":
            slow = web.StreamResponse()
            await slow.prepare(request)
            for _ in range(100):
                await slow.write(b" ")
                await asyncio.sleep(0.5)
        if self.mode == "nonsense":
            return web.Response(text='{"entries": 7, "at": "x"')
        response: web.StreamResponse = await handler(request)
        if self.drop_responses and request.method == "POST" and request.transport is not None:
            request.transport.abort()
            raise asyncio.CancelledError
        return response

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as an operator or a backend would; return the new revision."""
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.history.append(item_json(key, value, self.revision, lease))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self) -> None:
        """Compact the history up to the present revision."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire(self) -> None:
        """Drop the leases whose time to live has passed."""
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """Delete a lease and its keys."""
        del self.leases[lease]
        for key in [key for key, (_, _, item_lease) in self.items.items() if item_lease == lease]:
            self.remove(key)

    async def get_item(self, request: web.Request) -> web.Response:
        """Return one item, or 404."""
        found = self.items.get(request.query["key"])
        if found is None:
            return web.Response(status=404)
        return web.json_response({**item_json(request.query["key"], *found), "at": self.revision})

    async def get_range(self, request: web.Request) -> web.StreamResponse:
        """Return one page of the items of a prefix, from the first key after `after`."""
        prefix, after = request.query["path_prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        entries = [item_json(key, *self.items[key]) for key in keys[:PAGE_SIZE]]
        page = {"entries": entries, "has_more": len(keys) > PAGE_SIZE, "at": self.revision}
        if not self.bytes_per_second:
            return web.json_response(page)
        return await self.send_slowly(request, json.dumps(page).encode())

    async def send_slowly(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Send a body at `bytes_per_second`, in slices of a tenth of a second."""
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        slice_bytes = self.bytes_per_second // 10
        for start in range(0, len(body), slice_bytes):
            await response.write(body[start : start + slice_bytes])
            await asyncio.sleep(0.1)
        await response.write_eof()
        return response

    async def watch(self, request: web.Request) -> web.Response:
        """Return the changes of a prefix after a revision, waiting up to the timeout for one."""
        prefix, after = request.query["path_prefix"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait_timeout_ms"]) / 1000
        waits_for_timeout = False
        while True:
            waits_for_timeout = waits_for_timeout or self.suppress_watch_events
            if waits_for_timeout and time.monotonic() < deadline:
                await asyncio.sleep(WATCH_POLL_SECONDS)
                continue
            if after < self.compacted_revision or after > self.revision:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if (events and not self.suppress_watch_events) or time.monotonic() >= deadline:
                at = after if self.suppress_watch_events else self.revision
                body = {"events": [] if self.suppress_watch_events else events, "at": at}
                return web.json_response(body)
            await asyncio.sleep(WATCH_POLL_SECONDS)

    async def transaction(self, request: web.Request) -> web.Response:
        """Apply all writes and removals, or none.

        The status is 412 if a key does not have the expected revision, and 404 if a lease does not
        exist.
        """
        body = await request.json()
        for row in body["precondition"]:
            if self.items.get(row["key"], (b"", 0, 0))[1] != row["revision"]:
                return web.json_response({"entries": []}, status=412)
        if not {row.get("lease_id", 0) for row in body["write"]} <= {0, *self.leases}:
            return web.Response(status=404)
        for row in body["write"]:
            self.put(row["key"], base64.b64decode(row["data"]), row.get("lease_id", 0))
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Grant a lease with a time to live."""
        seconds = (await request.json())["ttl_ms"] / 1000
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"lease_id": self.last_lease, "ttl_ms": int(seconds * 1000)})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renew a lease by its time to live."""
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.Response(status=404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"ttl_ms": int(seconds * 1000)})

    async def end_lease(self, request: web.Request) -> web.Response:
        """Delete a lease and its keys on request."""
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.Response(status=404)
        self.drop_lease(lease)
        return web.json_response({})


def item_json(key: str, value: bytes, revision: int, lease: int) -> dict[str, Any]:
    """Encode an item in the form of the store's responses."""
    data = base64.b64encode(value).decode()
    return {
        "key": key,
        "data": data,
        "revision": revision,
        "creation_time": revision,
        "lease_id": lease,
    }
