"""Runs a role of the proxied mode as an aiomisc service.

In proxied mode an endpoint process in front of each backend receives all its requests.
"""

import asyncio

import aiomisc
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .admin import AdminInterface, ProxiedRole
from .bounded_server import BoundedRunner, open_listener
from .connections import Connections
from .control import ControlPlane, build_control
from .draining import record_begin, wait_until_sent
from .endpoint.role import EndpointRole
from .entry.role import EntryRole
from .garbage import begin_collection
from .logs import get_logger
from .placement.connection_limits import Kind
from .placement.memory_budget import connection_budget
from .schema.settings import Settings
from .service_loop import run_service

LOG = get_logger(__name__)
BACKLOG = 1024
CONTROL_PREFIX = "/control/"


class DaemonService(aiomisc.Service):
    """Runs one role until a signal stops the process."""

    settings: Settings

    async def start(self) -> None:
        """Open the listening socket and start the tasks of the role."""
        begin_collection()
        self.drained = False
        self.control = build_control(self.settings)
        self.role = build_role(self.control)
        self.connections = Connections(connection_budget(self.settings.connection_megabytes))
        self.sweeping = asyncio.create_task(self.connections.run())
        self.runner = BoundedRunner(
            self.build_application(),
            self.connections,
            Kind.CONTROL,
            access_log=None,
            shutdown_timeout=1.0,
            auto_decompress=False,
        )
        await open_listener(self.runner, self.settings.listen, BACKLOG)
        self.role.start()
        LOG.info("daemon.started", listen=self.settings.listen)

    def build_application(self) -> web.Application:
        """Build the HTTP application of the process."""
        app = web.Application(client_max_size=self.settings.entry.max_body_bytes)
        self.control.server.add_routes(app)
        self.role.add_routes(app)
        AdminInterface(self.control, self.role, self.drain_once).add_routes(app)
        app.router.add_get("/metrics", serve_metrics)
        app.on_response_prepare.append(drop_unneeded_headers)
        app.on_response_prepare.append(record_begin)
        return app

    async def drain_once(self) -> None:
        """Drain the role; later calls return at once."""
        if not self.drained:
            self.drained = True
            await self.role.drain()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain, then stop."""
        await self.drain_once()
        await wait_until_sent(self.runner)
        self.sweeping.cancel()
        await self.runner.cleanup()
        await self.control.close()
        LOG.info("daemon.stopped")


def build_role(control: ControlPlane) -> ProxiedRole:
    """Build the role that the settings name."""
    if control.settings.role == "entry":
        return EntryRole(control)
    if control.settings.endpoint is None:
        raise ValueError("the endpoint role needs endpoint settings")
    return EndpointRole(control, control.settings.endpoint)


async def drop_unneeded_headers(request: web.Request, response: web.StreamResponse) -> None:
    """Remove response headers that control messages do not need, to save bandwidth."""
    if request.path.startswith(CONTROL_PREFIX):
        for name in ("Date", "Server", "Content-Type"):
            response.headers.popall(name, None)


async def serve_metrics(request: web.Request) -> web.Response:
    """Answer with the metrics of the process in the Prometheus text format."""
    return web.Response(body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST})


def run(settings: Settings) -> None:
    """Run a daemon until a signal stops it.

    Args:
      settings: Validated settings.
    """
    # The drain takes at most shutdown_seconds; the rest is for closing connections.
    stop_seconds = settings.shutdown_seconds + settings.entry.address_ttl_seconds
    run_service(DaemonService(settings=settings), stop_seconds)
