"""The endpoint role that fills the engine beside it: wiring and tasks."""

import asyncio

from aiohttp import web

from ..configuration.settings import host_of, port_of
from ..direct.fleet import Fleet
from ..direct.role import answer_metrics, leasing_store, platform_session
from ..knowledge.follower import StoreFollower
from ..knowledge.items import ItemView
from ..platform.names import EVERYTHING
from ..schema.settings import DirectSettings, Settings
from .filler import Filler
from .listening import EntryListener


class FillingRole:
    """An endpoint process that takes no requests.

    Attributes:
      settings: Settings of the process.
      filler: Fills the engine.
    """

    def __init__(self, settings: Settings, direct: DirectSettings) -> None:
        self.settings = settings
        self.session = platform_session()
        view = ItemView()
        store = leasing_store(settings, self.session)
        self.listener = EntryListener(settings, direct, view, self.session)
        self.follower = StoreFollower(store, EVERYTHING, view, self.listener.is_deaf)
        self.filler = Filler(settings, direct, view, Fleet(view), self.session)
        self.tasks: list[asyncio.Task[None]] = []
        self.runner = web.AppRunner(web.Application(), access_log=None)

    async def start(self) -> None:
        """Start all tasks."""
        self.runner.app.router.add_get("/metrics", answer_metrics)
        await self.runner.setup()
        listen = self.settings.listen
        await web.TCPSite(self.runner, host_of(listen), port_of(listen)).start()
        for work in (self.follower.run(), self.listener.run(), self.filler.run()):
            self.tasks.append(asyncio.create_task(work))

    async def drain(self) -> None:
        """Leave at once: no request waits for this process."""

    async def close(self) -> None:
        """End all tasks and connections."""
        for task in self.tasks:
            task.cancel()
        await self.runner.cleanup()
        await self.session.close()
