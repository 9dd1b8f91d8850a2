"""Stand-in of the origin and of the weight store: files over HTTP at a limited rate."""

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from .faults import Faults, add_fault_routes

PIECE_BYTES = 32 * 1024


@dataclass
class OriginStandIn:
    """Serves the files of a folder.

    Attributes:
      folder: Folder with the files.
      bytes_per_second: Rate of the link; 0 for no limit.
      requests_per_second: Limit on requests, answered with 429; 0 for none.
      served: Bytes sent so far.
    """

    folder: Path
    bytes_per_second: float = 0.0
    requests_per_second: float = 0.0
    served: int = 0
    requests: int = 0
    free_at: float = 0.0
    window_start: float = 0.0
    window_count: int = 0
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        add_fault_routes(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_post("/ledger/reset", self.reset)
        app.router.add_get("/{path:.+}", self.get)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return the bytes sent and the requests answered."""
        return web.json_response({"bytes": self.served, "requests": self.requests})

    async def reset(self, request: web.Request) -> web.Response:
        """Set the counts to zero."""
        self.served = 0
        self.requests = 0
        return web.json_response({"ok": True})

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Send a file or a range of it."""
        if not self.allow_request():
            return web.Response(status=429, headers={"Retry-After": "0.5"})
        path = (self.folder / request.match_info["path"]).resolve()
        if not path.is_relative_to(self.folder.resolve()) or not path.is_file():
            return web.Response(status=404)
        self.requests += 1
        wanted = request.http_range
        start = wanted.start or 0
        stop = min(wanted.stop or path.stat().st_size, path.stat().st_size)
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
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            await self.pace(len(piece))
            while self.faults.stalled:
                await asyncio.sleep(0.02)
            await response.write(piece)
            self.served += len(piece)
        await response.write_eof()
        return response

    async def pace(self, size: int) -> None:
        """Wait until the link has room for the bytes."""
        if not self.bytes_per_second:
            return
        now = time.monotonic()
        start = max(self.free_at, now)
        self.free_at = start + size / self.bytes_per_second
        if self.free_at > now:
            await asyncio.sleep(self.free_at - now)

    def allow_request(self) -> bool:
        """Return False where the limit on requests is reached."""
        if not self.requests_per_second:
            return True
        now = time.monotonic()
        if now - self.window_start >= 1.0:
            self.window_start = now
            self.window_count = 0
        self.window_count += 1
        return self.window_count <= self.requests_per_second
