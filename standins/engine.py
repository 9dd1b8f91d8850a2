"""Stand-in for a model engine: slots, streams, a prefix cache, fenced deployment orders."""

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
"""Characters of the prompt in one block of the prefix cache."""
CRASH_PROMPT = "crash-the-engine"
"""A prompt that contains this text crashes the engine."""
CACHE_EVENT_LIMIT = 1000
"""Cache events kept for publishing; older ones are dropped."""


@dataclass
class EngineStandIn:
    """HTTP model engine that runs requests in slots and generates tokens at a fixed rate.

    Attributes:
      slots: Requests that run concurrently; more wait, the highest X-Priority first.
      token_seconds: Time between two tokens.
      block_seconds: Prefill time of one uncached block of the prompt.
      cache_blocks: Capacity of the prefix cache, in blocks; the least recently used is evicted.
      checks_fence: Refuse orders whose fencing number is below the highest seen.
      load_lag_seconds: Age of the load in load reports.
      restart_seconds: Time after a crash for which requests get no response.
      event_lag_seconds: Delay until a cache event is published.
      event_gap: Share of cache events that are never published.
      cache_events: Recent cache events as (monotonic time, number, kind, block id).
      active_release: Release that answers requests; empty for none.
      active_digest: Digest over the files of the active release.
      fence: Highest fencing number seen.
      loaded: Digest over the files, by loaded release.
      cache: Ids of the cached blocks, least recently used first.
      runs: Every request that began to run, as (unix time, request id, SHA-256 of the prompt,
        False); readers use only the first three.
      orders: Accepted orders as (kind, release, fencing number).
      crashes: Prompts that crashed the engine.
      restarting_until: Monotonic time at which the restart after a crash ends.
      running: Requests that hold a slot.
      load_samples: Recent loads as (monotonic time, running requests).
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
    active_release: str = ""
    active_digest: str = ""
    fence: int = 0
    loaded: dict[str, str] = field(default_factory=dict)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_hits: int = 0
    cache_lookups: int = 0
    runs: list[tuple[float, str, str, bool]] = field(default_factory=list)
    orders: list[tuple[str, str, int]] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    exported: dict[str, str] = field(default_factory=dict)
    restarting_until: float = 0.0
    running: int = 0
    load_samples: list[tuple[float, int]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)

    def __post_init__(self) -> None:
        self.waiting: asyncio.PriorityQueue[tuple[int, float, asyncio.Future[None]]] = (
            asyncio.PriorityQueue()
        )
        self.tasks: set[asyncio.Task[Any]] = set()

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        install_faults(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_get("/state", self.state)
        app.router.add_get("/healthz", self.state)
        app.router.add_get("/load", self.load_report)
        app.router.add_post("/orders", self.handle_order)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/cache-events", self.publish_cache_events)
        app.router.add_get("/kv/{prefix}", self.export_cache)
        app.router.add_put("/kv/{prefix}", self.import_cache)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return the runs, accepted orders, crashes, active digest and cache counts."""
        return web.json_response(
            {
                "runs": self.runs,
                "orders": self.orders,
                "crashes": self.crashes,
                "serving": self.active_digest,
                "cache_hits": self.cache_hits,
                "cache_lookups": self.cache_lookups,
            }
        )

    async def state(self, request: web.Request) -> web.Response:
        """Return the loaded and active releases and the fencing number."""
        if self.is_restarting():
            return self.close_connection(request)
        return self.state_response()

    def state_response(self) -> web.Response:
        """Build the response with the releases and the fencing number."""
        body = {"active": self.active_release, "loaded": sorted(self.loaded), "fence": self.fence}
        return web.json_response(body)

    async def load_report(self, request: web.Request) -> web.Response:
        """Return the number of running requests as of `load_lag_seconds` ago."""
        visible_until = time.monotonic() - self.load_lag_seconds
        visible = [running for at, running in self.load_samples if at <= visible_until]
        return web.json_response({"running": visible[-1] if visible else 0})

    async def handle_order(self, request: web.Request) -> web.Response:
        """Load or activate a release, as the order asks."""
        if self.is_restarting():
            return self.close_connection(request)
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
        """Switch to a loaded release; unload all others and clear the prefix cache."""
        self.active_release = release
        self.active_digest = self.loaded[release]
        self.loaded = {release: self.active_digest}
        self.cache.clear()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Wait for a slot and run one completion."""
        if self.is_restarting():
            return self.close_connection(request)
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        prompt = prompt_from_body(body)
        if not self.active_release:
            return web.json_response({"error": "no model is active"}, status=503)
        await self.acquire_slot(int(request.headers.get("X-Priority", "1")))
        run = (time.time(), request_id, hashlib.sha256(prompt.encode()).hexdigest(), False)
        self.runs.append(run)
        try:
            if CRASH_PROMPT in prompt and not body.get("stream"):
                return self.crash(request, prompt)
            return await self.run(request, body, prompt, request_id)
        finally:
            self.release_slot()

    async def run(
        self, request: web.Request, body: dict[str, Any], prompt: str, request_id: str
    ) -> web.StreamResponse:
        """Run the prefill and generate the tokens of one completion."""
        fingerprint = self.active_digest
        await asyncio.sleep(self.uncached_blocks(prompt) * self.block_seconds)
        count = int(body.get("max_tokens", 16))
        resume_at = int(body.get("resume_tokens", 0))
        if self.faults.happens(self.faults.crossed):
            request_id = "of-another-request"
        tokens = generated_tokens(prompt, count)
        headers = {"X-Request-Id": request_id}
        if body.get("stream"):
            return await self.stream(request, prompt, tokens[resume_at:], request_id, fingerprint)
        await asyncio.sleep(len(tokens) * self.token_seconds)
        self.close_if_restarting(request)
        answer = completion_json(request_id, fingerprint, "".join(tokens))
        if self.faults.happens(self.faults.truncate):
            return self.close_connection(request)
        return web.json_response(answer, headers=headers)

    async def stream(
        self,
        request: web.Request,
        prompt: str,
        tokens: list[str],
        request_id: str,
        fingerprint: str,
    ) -> web.StreamResponse:
        """Send tokens as server-sent events."""
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Request-Id": request_id}
        )
        await response.prepare(request)
        truncate_at = len(tokens) // 2 if self.faults.happens(self.faults.truncate) else None
        for index, token in enumerate(tokens):
            await asyncio.sleep(self.token_seconds)
            self.close_if_restarting(request)
            if index == truncate_at and request.transport:
                request.transport.close()
            if CRASH_PROMPT in prompt:
                self.crash(request, prompt)
            event = json.dumps(stream_event_json(request_id, fingerprint, token))
            await response.write(f"data: {event}\n\n".encode())
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def uncached_blocks(self, prompt: str) -> int:
        """Look up the blocks of a prompt and cache the missing ones.

        Returns:
          How many blocks were missing.
        """
        uncached = 0
        for end in range(CACHE_BLOCK_CHARACTERS, len(prompt) + 1, CACHE_BLOCK_CHARACTERS):
            block_id = hashlib.sha256(prompt[:end].encode()).hexdigest()
            self.cache_lookups += 1
            if block_id in self.cache:
                self.cache_hits += 1
                self.cache.move_to_end(block_id)
                continue
            uncached += 1
            self.cache[block_id] = None
            self.record_cache_event("stored", block_id)
            if len(self.cache) > self.cache_blocks:
                evicted, _ = self.cache.popitem(last=False)
                self.record_cache_event("evicted", evicted)
        return uncached

    def record_cache_event(self, kind: str, block_id: str) -> None:
        """Number and record a cache event; lost ones leave a gap in the numbers."""
        self.event_number += 1
        if not self.faults.happens(self.event_gap):
            self.cache_events.append((time.monotonic(), self.event_number, kind, block_id))
            del self.cache_events[:-CACHE_EVENT_LIMIT]

    async def publish_cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a number that are at least `event_lag_seconds` old."""
        after = int(request.query.get("after", "0"))
        visible_until = time.monotonic() - self.event_lag_seconds
        events = [
            {"number": number, "kind": kind, "block": block_id}
            for at, number, kind, block_id in self.cache_events
            if number > after and at <= visible_until
        ]
        return web.json_response({"events": events})

    async def export_cache(self, request: web.Request) -> web.Response:
        """Return a cached block; its content is its id."""
        block_id = request.match_info["prefix"]
        if block_id not in self.cache:
            return web.Response(status=404)
        return web.Response(body=block_id.encode())

    async def import_cache(self, request: web.Request) -> web.Response:
        """Put a block into the cache."""
        self.cache[request.match_info["prefix"]] = None
        return web.Response()

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a free slot; the highest priority first, then the longest wait."""
        if self.running >= self.slots:
            slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            await self.waiting.put((-priority, time.monotonic(), slot_granted))
            await slot_granted
        self.running += 1
        self.record_load()

    def release_slot(self) -> None:
        """Release a slot and wake the next waiting request that was not cancelled."""
        self.running -= 1
        self.record_load()
        while not self.waiting.empty():
            _, _, slot_granted = self.waiting.get_nowait()
            if not slot_granted.done():
                slot_granted.set_result(None)
                return

    def record_load(self) -> None:
        """Record the number of running requests for delayed load reports."""
        self.load_samples.append((time.monotonic(), self.running))
        del self.load_samples[:-1000]

    def crash(self, request: web.Request, prompt: str) -> web.Response:
        """Record a crash and close the connection, which raises ConnectionResetError.

        Until the restart ends, new requests are closed at once, running streams at their next
        token, and other running requests when their answer is complete.
        """
        self.crashes.append(prompt)
        self.restarting_until = time.monotonic() + self.restart_seconds
        return self.close_connection(request)

    def is_restarting(self) -> bool:
        """Return whether the engine is restarting after a crash."""
        return time.monotonic() < self.restarting_until

    def close_if_restarting(self, request: web.Request) -> None:
        """Close the connection of a running request if the engine is restarting."""
        if self.is_restarting():
            self.close_connection(request)

    def close_connection(self, request: web.Request) -> web.Response:
        """Close the connection of a request.

        Raises:
          ConnectionResetError: Always, to end the handler.
        """
        if request.transport:
            request.transport.close()
        raise ConnectionResetError("connection closed by a simulated crash or fault")


async def read_files(files: list[dict[str, Any]]) -> str:
    """Download all files of a release and return one digest over their names and contents."""
    digest = blake3.blake3()
    async with aiohttp.ClientSession() as session:
        for file in sorted(files, key=lambda file: (file["artifact"], file["path"])):
            digest.update(f"{file['artifact']}/{file['path']}\n".encode())
            async with session.get(file["url"]) as response:
                response.raise_for_status()
                async for block in response.content.iter_chunked(256 * 1024):
                    digest.update(block)
    return digest.hexdigest()


def prompt_from_body(body: dict[str, Any]) -> str:
    """Return the prompt text of a chat or text completion request."""
    if "messages" in body:
        return "\n".join(str(message["content"]) for message in body["messages"])
    return str(body.get("prompt", ""))


def generated_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens generated for a prompt; they depend on the prompt only."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{digest[index % 60 : index % 60 + 4]}{index} " for index in range(count)]


def completion_json(request_id: str, fingerprint: str, text: str) -> dict[str, Any]:
    """Build the body of a response that is not streamed."""
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "text": text, "finish_reason": "stop"}
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion",
        "system_fingerprint": fingerprint,
        "choices": [choice],
    }


def stream_event_json(request_id: str, fingerprint: str, token: str) -> dict[str, Any]:
    """Build the data of one event of a streamed response."""
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "system_fingerprint": fingerprint,
        "choices": [{"index": 0, "delta": {"content": token}}],
    }
