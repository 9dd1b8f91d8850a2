"""Endpoint role that loads weights into the engine on its VM: wiring and tasks."""

import asyncio
import math

from aiohttp import web

from .. import clock
from ..bounded_server import BoundedRunner, open_listener
from ..connections import Connections
from ..data import HeldWeights
from ..direct_shared import leasing_store, platform_session, serve_metrics
from ..distribution.inventory import encode_inventory
from ..distribution.peer_calls import ENDPOINT_PATH, INVENTORY_NAME
from ..distribution.upload_order import Receiver
from ..distribution.uploads import Uploads
from ..placement.connection_limits import Kind
from ..placement.fleet import Fleet
from ..placement.memory_budget import connection_budget
from ..platform.names import ALL_KEYS_PREFIX
from ..replica.first_read import read_from_seeds, seed_controls
from ..replica.follower import StoreFollower
from ..replica.store_replica import StoreReplica
from ..schema.settings import DirectSettings, Settings
from .engine_loader import EngineLoader
from .engine_reporter import EngineReporter
from .entry_poller import EntryPoller

UPLOAD_SHARE = 0.7
"""Share of the link's rate for chunks sent to other VMs; the engine's streams get the rest."""
CONNECTION_SHARE = 1 / 32
"""Share of the memory limit for connections: only other processes call this one, with short heads,
and most of the memory is the process itself and its chunks."""
STAGED_PATH = ENDPOINT_PATH + "/{model}/{version}/{index}"
STAGED_INVENTORY_PATH = ENDPOINT_PATH + "/{model}/{version}/" + INVENTORY_NAME


class WeightLoadingRole:
    """An endpoint process that keeps an engine's weights current and handles no requests.

    Attributes:
      settings: Settings of the process.
      entry_poller: Receives the store's changes from entry processes.
      follower: Watches the store while no entry process answers.
      engine_loader: Loads weights into the engine.
      engine_reporter: Reports what the engine holds and how many requests it has.
      turn: Allows one chunk at a time to be sent.
      uploads: The chunks that are sent.
      connections: The connections to this process.
    """

    def __init__(self, settings: Settings, direct: DirectSettings) -> None:
        self.settings = settings
        self.session = platform_session()
        replica = StoreReplica()
        store = leasing_store(settings, self.session)
        self.entry_poller = EntryPoller(settings, direct, replica, self.session)
        self.follower = StoreFollower(
            store,
            ALL_KEYS_PREFIX,
            replica,
            self.entry_poller.needs_store,
            read_first=lambda: read_from_seeds(
                self.session, seed_controls(settings.seeds, settings.listen)
            ),
        )
        fleet = Fleet(replica, clock.now())
        fleet.use_zones(direct.zones)
        self.engine_loader = EngineLoader(settings, direct, replica, fleet, self.session)
        loader = self.engine_loader
        self.engine_reporter = EngineReporter(
            loader.engine, loader.fetcher, direct, lambda: len(loader.engines_of_region())
        )
        self.turn = asyncio.Semaphore(1)
        self.uploads = Uploads()
        self.tasks: list[asyncio.Task[None]] = []
        megabytes = CONNECTION_SHARE * direct.memory_megabytes or settings.connection_megabytes
        self.connections = Connections(connection_budget(megabytes))
        self.runner = BoundedRunner(
            web.Application(), self.connections, Kind.CONTROL, access_log=None
        )

    async def start(self) -> None:
        """Start all tasks."""
        self.runner.app.router.add_get("/metrics", serve_metrics)
        self.runner.app.router.add_get(STAGED_INVENTORY_PATH, self.answer_inventory)
        self.runner.app.router.add_get(STAGED_PATH, self.answer_staged)
        await open_listener(self.runner, self.settings.listen)
        for work in (
            self.follower.run(),
            self.entry_poller.run(),
            self.engine_loader.run(),
            self.engine_reporter.run(),
            self.connections.run(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def answer_inventory(self, request: web.Request) -> web.StreamResponse:
        """Answer which chunks of a version are staged."""
        try:
            weights = HeldWeights(request.match_info["model"], int(request.match_info["version"]))
        except ValueError:
            return web.Response(status=400)
        return web.Response(body=encode_inventory(self.engine_loader.inventory(weights)))

    async def answer_staged(self, request: web.Request) -> web.StreamResponse:
        """Send a staged chunk; the receiver verifies it."""
        try:
            version, index = int(request.match_info["version"]), int(request.match_info["index"])
        except ValueError:
            return web.Response(status=400)
        weights = HeldWeights(request.match_info["model"], version)
        chunk = await self.engine_loader.staged_chunk(weights, index)
        if chunk is None:
            return web.Response(status=404)
        rate = UPLOAD_SHARE * self.engine_loader.fetcher.link_rate() or math.inf
        async with self.turn:
            return await self.uploads.send(request, chunk, rate, Receiver.ENGINE)

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Apply changed settings; addresses stay the same until the next start."""
        self.settings = settings
        self.engine_loader.fleet.use_zones(direct.zones)
        for component in (self.entry_poller, self.engine_loader, self.engine_loader.fetcher):
            component.settings, component.direct = settings, direct
        self.engine_reporter.direct = direct

    async def drain(self) -> None:
        """Return at once: this process has no requests to finish."""

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        self.uploads.close()
        await self.runner.cleanup()
        await self.session.close()
