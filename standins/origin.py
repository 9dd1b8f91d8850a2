"""Stand-in for the origin and the weight store: serves files over HTTP at a limited rate."""

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from .faults import Faults, install_faults

WRITE_BYTES = 32 * 1024
"""Size of one write; the rate limit and stalls apply between writes."""


@dataclass
class OriginStandIn:
    """HTTP server of the files in a folder, with byte ranges.

    Attributes:
      folder: Root folder of the files.
      bytes_per_second: Rate of the link that all responses share; 0 for no limit.
      requests_per_second: Requests above this rate get status 429; 0 for no limit.
      bytes_sent: Bytes of bodies sent since the start or the last reset.
      requests: Requests for existing files since the start or the last reset.
      link_free_at: Monotonic time at which the link has sent all scheduled bytes.
    """

    folder: Path
    bytes_per_second: float = 0.0
    requests_per_second: float = 0.0
    bytes_sent: int = 0
    requests: int = 0
    link_free_at: float = 0.0
    window_start: float = 0.0
    window_count: int = 0
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        install_faults(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_post("/ledger/reset", self.reset)
        app.router.add_get("/{path:.+}", self.get)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return the counts of bytes and requests."""
        return web.json_response({"bytes": self.bytes_sent, "requests": self.requests})

    async def reset(self, request: web.Request) -> web.Response:
        """Set the counts of bytes and requests to zero."""
        self.bytes_sent = 0
        self.requests = 0
        return web.json_response({"ok": True})

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Send a file or a byte range of it."""
        if not self.allow_request():
            return web.Response(status=429, headers={"Retry-After": "0.5"})
        path = (self.folder / request.match_info["path"]).resolve()
        if not path.is_relative_to(self.folder.resolve()) or not path.is_file():
            return web.Response(status=404)
        self.requests += 1
        byte_range = request.http_range
        start = byte_range.start or 0
        stop = min(byte_range.stop or path.stat().st_size, path.stat().st_size)
        with path.open("rb") as stream:
            stream.seek(start)
            body = bytearray(stream.read(max(0, stop - start)))
        if body and self.faults.happens(self.faults.corrupt):
            body[len(body) // 2] ^= 0xFF
        return await self.send(request, bytes(body))

    async def send(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Send a body at the rate of the link."""
        response = web.StreamResponse(status=206)
        response.content_length = len(body)
        await response.prepare(request)
        for start in range(0, len(body), WRITE_BYTES):
            block = body[start : start + WRITE_BYTES]
            await self.wait_for_link(len(block))
            while self.faults.stalled:
                await asyncio.sleep(0.02)
            await response.write(block)
            self.bytes_sent += len(block)
        await response.write_eof()
        return response

    async def wait_for_link(self, size: int) -> None:
        """Reserve time on the link for the bytes and wait until it ends."""
        if not self.bytes_per_second:
            return
        now = time.monotonic()
        start = max(self.link_free_at, now)
        self.link_free_at = start + size / self.bytes_per_second
        if self.link_free_at > now:
            await asyncio.sleep(self.link_free_at - now)

    def allow_request(self) -> bool:
        """Count a request; return False when the limit of this second is exceeded."""
        if not self.requests_per_second:
            return True
        now = time.monotonic()
        if now - self.window_start >= 1.0:
            self.window_start = now
            self.window_count = 0
        self.window_count += 1
        return self.window_count <= self.requests_per_second
