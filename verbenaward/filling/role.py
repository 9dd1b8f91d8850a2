"""The endpoint role that fills the engine beside it: wiring and tasks."""

import asyncio

from aiohttp import web

from ..configuration.settings import host_of, port_of
from ..data import HeldWeights
from ..direct.fleet import Fleet
from ..direct.pacing import send_slowly
from ..knowledge.follower import StoreFollower
from ..knowledge.items import ItemView
from ..platform.names import EVERYTHING
from ..schema.settings import DirectSettings, Settings
from ..shared_calls import answer_metrics, leasing_store, platform_session
from .filler import Filler
from .listening import EntryListener

UPLOAD_SHARE = 0.7
"""Part of the link that chunks for others may take; the engine's streams go over it too."""
STAGED_PATH = "/staged/{model}/{version}/{index}"


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
        self.uploads = asyncio.Semaphore(1)
        self.tasks: list[asyncio.Task[None]] = []
        self.runner = web.AppRunner(web.Application(), access_log=None)

    async def start(self) -> None:
        """Start all tasks."""
        self.runner.app.router.add_get("/metrics", answer_metrics)
        self.runner.app.router.add_get(STAGED_PATH, self.answer_staged)
        await self.runner.setup()
        listen = self.settings.listen
        await web.TCPSite(self.runner, host_of(listen), port_of(listen)).start()
        for work in (self.follower.run(), self.listener.run(), self.filler.run()):
            self.tasks.append(asyncio.create_task(work))

    async def answer_staged(self, request: web.Request) -> web.StreamResponse:
        """Hand a chunk on that lies beside the engine; whoever gets it checks it."""
        try:
            version, index = int(request.match_info["version"]), int(request.match_info["index"])
        except ValueError:
            return web.Response(status=400)
        weights = HeldWeights(request.match_info["model"], version)
        chunk = await self.filler.staged_chunk(weights, index)
        if chunk is None:
            return web.Response(status=404)
        rate = UPLOAD_SHARE * self.filler.fetcher.rate()
        if not rate:
            return web.Response(body=chunk)
        async with self.uploads:
            return await send_slowly(request, chunk, rate)

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Take settings that have changed; addresses stay until the next start."""
        self.settings = settings
        for part in (self.listener, self.filler, self.filler.fetcher):
            part.settings, part.direct = settings, direct

    async def drain(self) -> None:
        """Leave at once: no request waits for this process."""

    async def close(self) -> None:
        """End all tasks and connections."""
        for task in self.tasks:
            task.cancel()
        await self.runner.cleanup()
        await self.session.close()
