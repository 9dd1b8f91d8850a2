"""Stand-in of a model engine: slots, streams, prefix cache, orders with fencing."""

import asyncio
import hashlib
import json
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import blake3
from aiohttp import web

from .faults import Faults, install_faults

CACHE_BLOCK_CHARACTERS = 64
CRASH_MARK = "crash-the-engine"
KEPT_EVENTS = 1000


@dataclass
class EngineStandIn:
    """An engine that batches requests in slots and streams words.

    Attributes:
      slots: Requests that run at once.
      token_seconds: Time between two tokens.
      block_seconds: Time that one uncached block of the prompt takes.
      cache_blocks: Blocks that the prefix cache holds.
      checks_fence: Refuse orders with an old fencing number.
      load_lag_seconds: Age of the load that is reported.
      restart_seconds: Time that the engine is away after a crash.
      event_lag_seconds: Age at which a cache event is published.
      event_gap: Share of cache events that are never published.
    """

    slots: int = 8
    token_seconds: float = 0.005
    block_seconds: float = 0.001
    cache_blocks: int = 512
    checks_fence: bool = True
    load_lag_seconds: float = 0.5
    restart_seconds: float = 1.0
    event_lag_seconds: float = 0.5
    event_gap: float = 0.05
    cache_events: list[tuple[float, int, str, str]] = field(default_factory=list)
    event_number: int = 0
    active: str = ""
    serving_digest: str = ""
    fence: int = 0
    loaded: dict[str, str] = field(default_factory=dict)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_hits: int = 0
    cache_lookups: int = 0
    runs: list[tuple[float, str, str, bool]] = field(default_factory=list)
    orders: list[tuple[str, str, int]] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    exported: dict[str, str] = field(default_factory=dict)
    away_until: float = 0.0
    running: int = 0
    loads: list[tuple[float, int]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def __post_init__(self) -> None:
        self.waiting: asyncio.PriorityQueue[tuple[int, float, asyncio.Future[None]]] = (
            asyncio.PriorityQueue()
        )
        self.tasks: set[asyncio.Task[Any]] = set()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        install_faults(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_get("/state", self.state)
        app.router.add_get("/healthz", self.state)
        app.router.add_get("/load", self.load_report)
        app.router.add_post("/orders", self.take_order)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/cache-events", self.publish_cache_events)
        app.router.add_get("/kv/{prefix}", self.export_cache)
        app.router.add_put("/kv/{prefix}", self.import_cache)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return what ran, the orders taken, crashes and cache counts."""
        return web.json_response(
            {
                "runs": self.runs,
                "orders": self.orders,
                "crashes": self.crashes,
                "serving": self.serving_digest,
                "cache_hits": self.cache_hits,
                "cache_lookups": self.cache_lookups,
            }
        )

    async def state(self, request: web.Request) -> web.Response:
        """Return what is loaded and active."""
        if self.is_away():
            return self.hang_up(request)
        return self.state_response()

    def state_response(self) -> web.Response:
        """Return the answer that describes the state."""
        body = {"active": self.active, "loaded": sorted(self.loaded), "fence": self.fence}
        return web.json_response(body)

    async def load_report(self, request: web.Request) -> web.Response:
        """Return the load of a while ago."""
        until = time.monotonic() - self.load_lag_seconds
        seen = [running for at, running in self.loads if at <= until]
        return web.json_response({"running": seen[-1] if seen else 0})

    async def take_order(self, request: web.Request) -> web.Response:
        """Load or activate a release."""
        if self.is_away():
            return self.hang_up(request)
        order = await request.json()
        if self.checks_fence and order["fence"] < self.fence:
            return web.json_response({"error": "old fencing number"}, status=409)
        self.fence = max(self.fence, order["fence"])
        self.orders.append((order["kind"], order["release"], order["fence"]))
        if order["kind"] == "load":
            self.loaded[order["release"]] = await read_files(order["files"])
        elif order["release"] not in self.loaded:
            return web.json_response({"error": "not loaded"}, status=400)
        else:
            self.activate(order["release"])
        return self.state_response()

    def activate(self, release: str) -> None:
        """Serve a loaded release and drop the others."""
        self.active = release
        self.serving_digest = self.loaded[release]
        self.loaded = {release: self.serving_digest}
        self.cache.clear()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Run one completion."""
        if self.is_away():
            return self.hang_up(request)
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        prompt = prompt_of(body)
        if not self.active:
            return web.json_response({"error": "no model is active"}, status=503)
        await self.take_slot(int(request.headers.get("X-Priority", "1")))
        run = (time.time(), request_id, hashlib.sha256(prompt.encode()).hexdigest(), False)
        self.runs.append(run)
        try:
            if CRASH_MARK in prompt and not body.get("stream"):
                return self.crash(request, prompt)
            return await self.run(request, body, prompt, request_id)
        finally:
            self.free_slot()

    async def run(
        self, request: web.Request, body: dict[str, Any], prompt: str, request_id: str
    ) -> web.StreamResponse:
        """Generate the tokens of one completion."""
        serving = self.serving_digest
        await asyncio.sleep(self.uncached_blocks(prompt) * self.block_seconds)
        count = int(body.get("max_tokens", 16))
        first = int(body.get("resume_tokens", 0))
        if self.faults.happens(self.faults.crossed):
            request_id = "of-another-request"
        words = tokens_of(prompt, count)
        headers = {"X-Request-Id": request_id}
        if body.get("stream"):
            return await self.stream(request, prompt, words[first:], request_id, serving)
        await asyncio.sleep(len(words) * self.token_seconds)
        self.check_present(request)
        answer = completion_json(request_id, serving, "".join(words))
        if self.faults.happens(self.faults.truncate):
            return self.hang_up(request)
        return web.json_response(answer, headers=headers)

    async def stream(
        self,
        request: web.Request,
        prompt: str,
        words: list[str],
        request_id: str,
        serving: str,
    ) -> web.StreamResponse:
        """Send tokens as server-sent events."""
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Request-Id": request_id}
        )
        await response.prepare(request)
        stop_after = len(words) // 2 if self.faults.happens(self.faults.truncate) else None
        for index, word in enumerate(words):
            await asyncio.sleep(self.token_seconds)
            self.check_present(request)
            if index == stop_after and request.transport:
                request.transport.close()
            if CRASH_MARK in prompt:
                self.crash(request, prompt)
            event = json.dumps(chunk_json(request_id, serving, word))
            await response.write(f"data: {event}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def uncached_blocks(self, prompt: str) -> int:
        """Return how many blocks of a prompt are not cached, and cache them."""
        uncached = 0
        for end in range(CACHE_BLOCK_CHARACTERS, len(prompt) + 1, CACHE_BLOCK_CHARACTERS):
            name = hashlib.sha256(prompt[:end].encode()).hexdigest()
            self.cache_lookups += 1
            if name in self.cache:
                self.cache_hits += 1
                self.cache.move_to_end(name)
                continue
            uncached += 1
            self.cache[name] = None
            self.note_cache_event("stored", name)
            if len(self.cache) > self.cache_blocks:
                evicted, _ = self.cache.popitem(last=False)
                self.note_cache_event("evicted", evicted)
        return uncached

    def note_cache_event(self, kind: str, name: str) -> None:
        """Number a cache event; some are lost, which shows as a gap in the numbers."""
        self.event_number += 1
        if not self.faults.happens(self.event_gap):
            self.cache_events.append((time.monotonic(), self.event_number, kind, name))
            del self.cache_events[:-KEPT_EVENTS]

    async def publish_cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a number, as they were a while ago."""
        after = int(request.query.get("after", "0"))
        until = time.monotonic() - self.event_lag_seconds
        events = [
            {"number": number, "kind": kind, "block": name}
            for at, number, kind, name in self.cache_events
            if number > after and at <= until
        ]
        return web.json_response({"events": events})

    async def export_cache(self, request: web.Request) -> web.Response:
        """Return a cached block by its name."""
        name = request.match_info["prefix"]
        if name not in self.cache:
            return web.Response(status=404)
        return web.Response(body=name.encode())

    async def import_cache(self, request: web.Request) -> web.Response:
        """Put a block into the cache."""
        self.cache[request.match_info["prefix"]] = None
        return web.Response()

    async def take_slot(self, priority: int) -> None:
        """Wait for a free slot; lower numbers go first."""
        if self.running >= self.slots:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            await self.waiting.put((-priority, time.monotonic(), turn))
            await turn
        self.running += 1
        self.note_load()

    def free_slot(self) -> None:
        """Give the slot to the next one that waits."""
        self.running -= 1
        self.note_load()
        while not self.waiting.empty():
            _, _, turn = self.waiting.get_nowait()
            if not turn.done():
                turn.set_result(None)
                return

    def note_load(self) -> None:
        """Remember the load for the lagging report."""
        self.loads.append((time.monotonic(), self.running))
        del self.loads[:-1000]

    def crash(self, request: web.Request, prompt: str) -> web.Response:
        """Cut all connections and be away for a while."""
        self.crashes.append(prompt)
        self.away_until = time.monotonic() + self.restart_seconds
        return self.hang_up(request)

    def is_away(self) -> bool:
        """Return True while the engine restarts after a crash."""
        return time.monotonic() < self.away_until

    def check_present(self, request: web.Request) -> None:
        """Cut the running request off where the engine crashed meanwhile."""
        if self.is_away():
            self.hang_up(request)

    def hang_up(self, request: web.Request) -> web.Response:
        """Close the connection without an answer."""
        if request.transport:
            request.transport.close()
        raise ConnectionResetError("connection closed by the fault settings")


async def read_files(files: list[dict[str, Any]]) -> str:
    """Read all files of a release and return a digest over what was read."""
    digest = blake3.blake3()
    async with aiohttp.ClientSession() as session:
        for item in sorted(files, key=lambda item: (item["artifact"], item["path"])):
            digest.update(f"{item['artifact']}/{item['path']}\n".encode())
            async with session.get(item["url"]) as response:
                response.raise_for_status()
                async for piece in response.content.iter_chunked(256 * 1024):
                    digest.update(piece)
    return digest.hexdigest()


def prompt_of(body: dict[str, Any]) -> str:
    """Return the prompt of a completion request."""
    if "messages" in body:
        return "\n".join(str(message["content"]) for message in body["messages"])
    return str(body.get("prompt", ""))


def tokens_of(prompt: str, count: int) -> list[str]:
    """Return the words that the engine answers to a prompt: the same every time."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{digest[index % 60 : index % 60 + 4]}{index} " for index in range(count)]


def completion_json(request_id: str, serving: str, text: str) -> dict[str, Any]:
    """Return the body of a whole answer."""
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "text": text, "finish_reason": "stop"}
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion",
        "system_fingerprint": serving,
        "choices": [choice],
    }


def chunk_json(request_id: str, serving: str, word: str) -> dict[str, Any]:
    """Return the body of one event of a stream."""
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "system_fingerprint": serving,
        "choices": [{"index": 0, "delta": {"content": word}}],
    }
