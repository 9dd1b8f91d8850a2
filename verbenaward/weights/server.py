"""HTTP routes that serve tables, chunks and reports to peers, and files to the engine."""

import asyncio
import contextlib
from collections.abc import Iterator

from aiohttp import web

from .. import metrics
from .context import WeightContext
from .reports import AvailabilityReporter
from .tables import TableFinder
from .transfer import UPLOADS_HEADER

MAXIMUM_UPLOADS = 4


class WeightServer:
    """Serves what this process holds.

    Attributes:
      context: What all transfers of the process share.
      finder: Known tables.
      reporters: Reporter of each table, by digest.
      uploads: Number of uploads in the queue.
    """

    def __init__(self, context: WeightContext, finder: TableFinder) -> None:
        self.context = context
        self.finder = finder
        self.reporters: dict[bytes, AvailabilityReporter] = {}
        self.tasks: dict[bytes, asyncio.Task[None]] = {}
        self.uploads = 0

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/weights/tables/{digest}", self.serve_table)
        app.router.add_get("/weights/chunks/{digest}", self.serve_chunk)
        app.router.add_get("/weights/{digest}/held", self.serve_reports)
        app.router.add_get("/weights/{digest}/files/{path:.+}", self.serve_file)

    def reporter_of(self, digest: bytes) -> AvailabilityReporter:
        """Return the reporter of a table and start it where it is new."""
        if digest not in self.reporters:
            reporter = self.reporters[digest] = AvailabilityReporter(digest)
            self.tasks[digest] = asyncio.create_task(reporter.run())
        return self.reporters[digest]

    def keep_only(self, digests: set[bytes]) -> None:
        """Stop the reporters of all tables but the given ones."""
        for digest in set(self.reporters) - digests:
            del self.reporters[digest]
            self.tasks.pop(digest).cancel()

    async def serve_table(self, request: web.Request) -> web.Response:
        """Send a table."""
        table = await self.finder.wait_for(digest_in(request))
        if table is None:
            return web.Response(status=404)
        return web.Response(body=table.encoded)

    async def serve_reports(self, request: web.Request) -> web.StreamResponse:
        """Send reports of held chunks over a channel."""
        reporter = self.reporters.get(digest_in(request))
        if reporter is None:
            return web.Response(status=404)
        return await reporter.serve_subscriber(request)

    async def serve_chunk(self, request: web.Request) -> web.Response:
        """Send one chunk at the pace of the upload link."""
        payload = self.context.store.get(digest_in(request))
        if payload is None:
            return web.Response(status=404)
        if self.uploads >= MAXIMUM_UPLOADS:
            return web.Response(status=503, headers={UPLOADS_HEADER: str(self.uploads)})
        with self.counted_upload():
            await self.context.upload.acquire(len(payload))
        metrics.WEIGHT_BYTES.labels("sent").inc(len(payload))
        headers = {UPLOADS_HEADER: str(self.uploads)}
        return web.Response(body=payload, headers=headers)

    @contextlib.contextmanager
    def counted_upload(self) -> Iterator[None]:
        """Count an upload while it waits for its turn."""
        self.note_uploads(self.uploads + 1)
        try:
            yield
        finally:
            self.note_uploads(self.uploads - 1)

    def note_uploads(self, count: int) -> None:
        """Set the number of uploads that the reports carry."""
        self.uploads = count
        for reporter in self.reporters.values():
            reporter.uploads = count

    async def serve_file(self, request: web.Request) -> web.StreamResponse:
        """Send one whole file to the engine on this VM."""
        table = self.finder.tables.get(digest_in(request))
        chunks = table.chunks_of_file(request.match_info["path"]) if table else ()
        pieces = [self.context.store.get(chunk.hash) for chunk in chunks]
        if table is None or any(piece is None for piece in pieces):
            return web.Response(status=404)
        response = web.StreamResponse()
        response.content_length = sum(chunk.length for chunk in chunks)
        await response.prepare(request)
        for piece in pieces:
            await response.write(piece or b"")
        await response.write_eof()
        return response


def digest_in(request: web.Request) -> bytes:
    """Return the digest that the path of a request names.

    Raises:
      HTTPBadRequest: It is not a digest.
    """
    try:
        return bytes.fromhex(request.match_info["digest"])
    except ValueError as error:
        raise web.HTTPBadRequest(text="the path does not name a digest") from error
