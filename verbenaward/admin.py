"""HTTP interface of every process towards operators."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import msgspec
from aiohttp import web

from .control import ControlPlane
from .membership.directory import member_json


class Role(Protocol):
    """What a role offers to the daemon."""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the role to an application."""
        ...

    def start(self) -> None:
        """Start the tasks of the role."""
        ...

    def status(self) -> dict[str, Any]:
        """Return what operators see besides the members."""
        ...

    def is_ready(self) -> bool:
        """Return True where the process can serve."""
        ...

    async def drain(self) -> None:
        """Take no new work and finish what runs."""
        ...


class AdminInterface:
    """Health, readiness, status and drain.

    Attributes:
      control: Parts that both roles share.
      role: The role of the process.
      drain: Drains the process.
    """

    def __init__(
        self, control: ControlPlane, role: Role, drain: Callable[[], Awaitable[None]]
    ) -> None:
        self.control = control
        self.role = role
        self.drain = drain
        self.draining: asyncio.Task[None] | None = None

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.ready)
        app.router.add_get("/admin/status", self.status)
        app.router.add_get("/admin/revision", self.revision)
        app.router.add_get("/admin/summary", self.summary)
        app.router.add_post("/admin/drain", self.start_drain)

    async def health(self, request: web.Request) -> web.Response:
        """Say that the process runs."""
        return web.json_response({"ok": True})

    async def ready(self, request: web.Request) -> web.Response:
        """Say whether the process can serve."""
        is_ready = self.role.is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def revision(self, request: web.Request) -> web.Response:
        """Return the revision in force."""
        return web.json_response({"revision": self.control.follower.configuration.revision})

    async def summary(self, request: web.Request) -> web.Response:
        """Return one hash for each bucket of the directory."""
        return web.json_response({"buckets": self.control.directory.summary()})

    async def start_drain(self, request: web.Request) -> web.Response:
        """Start to drain the process; it ends when it is told to."""
        if self.draining is None:
            self.draining = asyncio.create_task(run(self.drain()))
        return web.json_response({"draining": True})

    async def status(self, request: web.Request) -> web.Response:
        """Return what the process knows, for the command-line tool."""
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


async def run(work: Awaitable[None]) -> None:
    """Wait for some work."""
    await work
