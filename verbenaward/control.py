"""Components that both roles of the proxied mode share.

These are the HTTP client, the membership and the configuration.
"""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from .answer_protocol import AnswerConnector
from .configuration.follower import ConfigurationFollower
from .configuration.settings import host_of
from .http_client import send_writes_once
from .logs import get_logger
from .membership.directory import Directory
from .membership.heartbeat import HeartbeatSender
from .membership.own_record import OwnRecord
from .platform import key_value, vm_list
from .schema.messages import ConfigurationOffer, ConfigurationQuery
from .schema.settings import Settings
from .wire.rpc import ControlServer

LOG = get_logger(__name__)
CONNECTIONS = 2000
"""Limit on open connections of the HTTP client."""
CONNECTIONS_PER_HOST = 256
"""Limit on open connections to one host and port."""
KEEPALIVE_SECONDS = 20.0
"""Time for which the HTTP client keeps an idle connection open."""


@dataclass(slots=True)
class ControlPlane:
    """Components of every process in proxied mode.

    Attributes:
      settings: Settings of the process.
      session: HTTP client with a connection pool.
      key_values: The platform's key-value service.
      vms: The platform's list of VMs; None if the platform has none.
      directory: Member records of all known processes.
      own: Member record of this process.
      follower: Follows the configuration in force.
      server: Dispatches control messages to their handlers.
      heartbeats: Sends heartbeats to the registrars of this process.
      tasks: Running background tasks.
    """

    settings: Settings
    session: aiohttp.ClientSession
    key_values: key_value.KeyValueService
    vms: vm_list.VmList | None
    directory: Directory
    own: OwnRecord
    follower: ConfigurationFollower
    server: ControlServer
    heartbeats: HeartbeatSender
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task; an exception in it is logged."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(log_failure)

    async def close(self) -> None:
        """Cancel all background tasks and close the connections."""
        running = list(self.tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        await self.session.close()


def build_control(settings: Settings) -> ControlPlane:
    """Build the components that both roles of the proxied mode share.

    Args:
      settings: Settings of the process.

    Returns:
      The components; no task has been started.
    """
    own = OwnRecord(settings, time.time())
    directory = Directory(settings.vm)
    follower = ConfigurationFollower()
    session = client_session(settings)
    server = ControlServer()

    async def on_revision(address: str, revision: int) -> None:
        await follower.fetch_if_newer(session, address, revision)

    heartbeats = HeartbeatSender(
        session, directory, own, settings.seeds, settings.membership, on_revision
    )
    server.handle(ConfigurationQuery, follower.handle_query)
    server.handle(ConfigurationOffer, follower.handle_offer)
    follower.listeners.append(lambda configuration: own.set_revision(configuration.revision))
    adapter = key_value.ADAPTERS.find(settings.platform.key_value_adapter)
    return ControlPlane(
        settings,
        session,
        adapter(session, settings.platform.key_value),
        build_vm_list(settings, session),
        directory,
        own,
        follower,
        server,
        heartbeats,
    )


def client_session(settings: Settings, force_close: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP client that connects from the process's own IP address.

    Args:
      settings: Settings of the process.
      force_close: True to open a new connection for each request.
    """
    options: dict[str, Any] = {"force_close": True}
    if not force_close:
        options = {"keepalive_timeout": KEEPALIVE_SECONDS}
    connector = AnswerConnector(
        limit=CONNECTIONS,
        limit_per_host=CONNECTIONS_PER_HOST,
        local_addr=(host_of(settings.listen), 0),
        **options,
    )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(send_writes_once,),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )


def build_vm_list(settings: Settings, session: aiohttp.ClientSession) -> vm_list.VmList | None:
    """Return the adapter for the list of VMs; None if the settings name none."""
    url = settings.platform.vm_list
    return vm_list.ADAPTERS.find("http")(session, url) if url else None


def log_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a background task that failed."""
    if not task.cancelled() and task.exception() is not None:
        LOG.error("task.failed", error=repr(task.exception()))
