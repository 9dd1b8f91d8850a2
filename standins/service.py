"""Stand-in of a plain service: reservations that must not be made twice."""

import asyncio
import hashlib
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .faults import Faults, add_fault_routes


@dataclass
class ServiceStandIn:
    """A service that records every run in its ledger.

    Attributes:
      work_seconds: Time that one call takes.
      runs: Every call that ran, as (unix time, request id, idempotency key, body digest).
    """

    work_seconds: float = 0.01
    runs: list[tuple[float, str, str, str]] = field(default_factory=list)
    running: int = 0
    faults: Faults = field(default_factory=Faults)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        add_fault_routes(app, self.faults)
        app.router.add_get("/ledger", self.ledger)
        app.router.add_get("/healthz", self.health)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    async def ledger(self, request: web.Request) -> web.Response:
        """Return all runs."""
        return web.json_response({"runs": self.runs, "running": self.running})

    async def health(self, request: web.Request) -> web.Response:
        """Say that the service is up."""
        return web.json_response({"ok": True})

    async def serve(self, request: web.Request) -> web.Response:
        """Run one call."""
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
        answer: dict[str, Any] = {"confirmed": digest, "key": key, "path": request.path}
        headers = {"X-Request-Id": request_id}
        if self.faults.happens(self.faults.crossed):
            headers["X-Request-Id"] = "of-another-request"
            answer["confirmed"] = "of-another-request"
        if self.faults.happens(self.faults.truncate) and request.transport:
            request.transport.close()
        return web.json_response(answer, headers=headers)
