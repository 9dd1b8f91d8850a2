"""Stand-in for a plain HTTP service whose requests must not run twice, such as reservations."""

import asyncio
import gzip
import hashlib
import json
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .faults import Faults, install_faults


@dataclass
class ServiceStandIn:
    """HTTP service that records every request that it runs.

    Attributes:
      work_seconds: Time that one request takes.
      runs: Every request that began to run, as (unix time, request id, idempotency key, SHA-256 of
        the body).
      running: Requests in progress.
    """

    work_seconds: float = 0.01
    runs: list[tuple[float, str, str, str]] = field(default_factory=list)
    running: int = 0
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        install_faults(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_get("/healthz", self.health)
        app.router.add_route("*", r"/{path:[\s\S]*}", self.serve)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return all runs and the number of requests in progress."""
        return web.json_response({"runs": self.runs, "running": self.running})

    async def health(self, request: web.Request) -> web.Response:
        """Answer the health check."""
        return web.json_response({"ok": True})

    async def serve(self, request: web.Request) -> web.Response:
        """Run one request; the response repeats the body's digest and the idempotency key.

        It is encoded if the path begins with /gzip.
        """
        body = await request.read()
        digest = hashlib.sha256(body).hexdigest()
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        self.runs.append((time.time(), request_id, key, digest))
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        answer: dict[str, Any] = {"confirmed": digest, "key": key, "path": request.raw_path}
        if "Content-Encoding" in request.headers:
            answer["encoding"] = request.headers["Content-Encoding"]
        headers = {"X-Request-Id": request_id}
        if self.faults.happens(self.faults.crossed):
            headers["X-Request-Id"] = "of-another-request"
            answer["confirmed"] = "of-another-request"
        if self.faults.happens(self.faults.truncate) and request.transport:
            request.transport.close()
        content = json.dumps(answer).encode()
        if request.path.startswith("/gzip"):
            headers["Content-Encoding"] = "gzip"
            content = gzip.compress(content)
        return web.Response(body=content, headers=headers, content_type="application/json")
