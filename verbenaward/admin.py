"""HTTP interface for operators, in the processes of the proxied mode."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec
from aiohttp import web

from .control import ControlPlane
from .membership.directory import member_json


class ProxiedRole(Protocol):
    """Interface of a role in proxied mode: entry or endpoint."""

    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP routes of the role."""
        ...

    def start(self) -> None:
        """Start the background tasks of the role."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the role's own section of /admin/status."""
        ...

    def is_ready(self) -> bool:
        """Return True if the process accepts requests."""
        ...

    async def drain(self) -> None:
        """Refuse new requests and wait for running ones."""
        ...


class AdminInterface:
    """Routes for health, readiness, status and drain.

    Attributes:
      control: Components that both roles share.
      role: The role of the process.
      drain: Drains the process; safe to call twice.
      draining: Task of a drain that an operator started; None before.
    """

    def __init__(
        self, control: ControlPlane, role: ProxiedRole, drain: Callable[[], Awaitable[None]]
    ) -> None:
        self.control = control
        self.role = role
        self.drain = drain
        self.draining: asyncio.Task[None] | None = None

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for operators."""
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.ready)
        app.router.add_get("/admin/status", self.status)
        app.router.add_get("/admin/revision", self.revision)
        app.router.add_get("/admin/summary", self.summary)
        app.router.add_post("/admin/drain", self.start_drain)

    async def health(self, request: web.Request) -> web.Response:
        """Answer the liveness check."""
        return web.json_response({"ok": True})

    async def ready(self, request: web.Request) -> web.Response:
        """Answer the readiness check: 200 if the process accepts requests, else 503."""
        is_ready = self.role.is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def revision(self, request: web.Request) -> web.Response:
        """Answer with the configuration revision in force."""
        return web.json_response({"revision": self.control.follower.configuration.revision})

    async def summary(self, request: web.Request) -> web.Response:
        """Answer with one hash for each bucket of the member directory."""
        return web.json_response({"buckets": self.control.directory.summary()})

    async def start_drain(self, request: web.Request) -> web.Response:
        """Start to drain the process; it keeps running until it gets a signal to stop."""
        if self.draining is None:
            self.draining = asyncio.create_task(as_coroutine(self.drain()))
        return web.json_response({"draining": True})

    async def status(self, request: web.Request) -> web.Response:
        """Answer with the configuration and the members as this process sees them."""
        follower = self.control.follower
        body: dict[str, Any] = {
            "member": member_json(self.control.own.member),
            "revision": follower.configuration.revision,
            "digest": follower.configuration.digest,
            "service_head": follower.service_head,
            "members": [member_json(item) for item in self.control.directory.members.values()],
            "ready": self.role.is_ready(),
            **self.role.status(),
        }
        return web.Response(body=msgspec.json.encode(body), content_type="application/json")


async def as_coroutine(work: Awaitable[None]) -> None:
    """Wrap an awaitable, because create_task() accepts only coroutines."""
    await work
