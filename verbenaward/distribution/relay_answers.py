"""HTTP handlers of an entry process for requests of chunks, digests and inventories."""

import asyncio
import math

from aiohttp import web

from .chunk_events import DIGESTS_INDEX, ChunkKey
from .inventory import encode_inventory
from .peer_calls import (
    CACHED_QUERY,
    ENTRY_PATH,
    HOLDER_HEADER,
    INVENTORY_NAME,
    READER_QUERY,
)
from .readers import Inventory
from .relay import WAIT_SECONDS, ChunkRelay
from .upload_order import Receiver
from .uploads import rate_of

INVENTORY_PATH = ENTRY_PATH + "/{model}/{version}/" + INVENTORY_NAME
CHUNK_PATH = ENTRY_PATH + "/{model}/{version}/{index}"
DIGESTS_PATH = ENTRY_PATH + "/{model}/{version}"
LOCATE_OWN_SECONDS = 0.05
"""Time for which a process that lacks a chunk waits for its own, before it names another reader."""
LOCATE_WAIT_SECONDS = 2.0
"""As `WAIT_SECONDS`, for a HEAD request, which endpoint processes send for all missing chunks."""


class RelayAnswers:
    """Serves what a relay gets.

    Attributes:
      relay: The relay of the process.
    """

    def __init__(self, relay: ChunkRelay) -> None:
        self.relay = relay

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of digests, inventories and chunks to an application."""
        app.router.add_get(DIGESTS_PATH, self.serve)
        app.router.add_get(INVENTORY_PATH, self.serve_inventory)
        app.router.add_get(CHUNK_PATH, self.serve)

    async def serve_inventory(self, request: web.Request) -> web.StreamResponse:
        """Answer which chunks of a version this process holds, and which it is receiving."""
        try:
            model, version = request.match_info["model"], int(request.match_info["version"])
        except ValueError:
            return web.Response(status=400)
        reader = self.relay.readers.get((model, version))
        held = self.relay.cache.indexes(model, version)
        receiving = reader.announced if reader else frozenset()
        return web.Response(body=encode_inventory(Inventory(held, receiving)))

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer a request for a chunk, or for a version's digests in the order of its chunks."""
        try:
            version = int(request.match_info["version"])
            index = int(request.match_info.get("index", DIGESTS_INDEX))
        except ValueError:
            return web.Response(status=400)
        model = request.match_info["model"]
        key = ChunkKey(model, version, index)
        if CACHED_QUERY in request.query:
            cached = self.relay.cache.get(key)
            if cached is None:
                return web.Response(status=404)
            return await self.relay.uploads.send(request, cached, math.inf, Receiver.READER)
        is_for_reader = READER_QUERY in request.query
        if request.method == "HEAD":
            return await self.answer_location(key, is_for_reader)
        body = await self.relay.get_in_time(key, WAIT_SECONDS, is_for_reader)
        if body is None:
            return web.Response(status=503)
        if not is_for_reader:
            self.relay.read_ahead(model, version, index)
        receiver = Receiver.REGION if is_for_reader else Receiver.ENGINE
        return await self.relay.uploads.send(request, body, rate_of(request), receiver)

    async def answer_location(self, key: ChunkKey, is_for_reader: bool) -> web.Response:
        """Answer a HEAD request once this process or another reader of the zone has a chunk.

        A caller gets what that reader has from there, so that it does not cross the link of this
        process first.
        """
        getting = asyncio.create_task(
            self.relay.get_in_time(key, LOCATE_WAIT_SECONDS, is_for_reader)
        )
        try:
            await asyncio.wait({getting}, timeout=LOCATE_OWN_SECONDS)
            holder = await self.find_elsewhere(key, getting)
            if holder is not None:
                return web.Response(headers={"Content-Length": "0", HOLDER_HEADER: holder})
            body = getting.result()
        finally:
            getting.cancel()
        # Without a length the client takes the connection to end with the answer.
        length = {"Content-Length": str(len(body or b""))}
        return web.Response(status=503 if body is None else 200, headers=length)

    async def find_elsewhere(
        self, key: ChunkKey, getting: "asyncio.Task[bytes | None]"
    ) -> str | None:
        """Return another reader of the zone once it has a chunk; None once the getting has ended.

        It sleeps in between: endpoint processes ask for all missing chunks at the same time, and
        this process needs its processor for the chunks.
        """
        while not getting.done():
            found = self.relay.found_elsewhere.next(key)
            holder = self.other_holder(key)
            if holder is not None:
                return holder
            waiting = asyncio.create_task(found.wait())
            try:
                await asyncio.wait({getting, waiting}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                waiting.cancel()
        return None

    def other_holder(self, key: ChunkKey) -> str | None:
        """Return another reader of the zone that has a chunk; None if none is known."""
        reader = self.relay.readers.get((key.model, key.version))
        holders = reader.readers_with(key.index) if reader else []
        return next((item for item in holders if self.relay.processes.is_in_own_zone(item)), None)
