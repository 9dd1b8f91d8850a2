"""HTTP routes: chunk tables, chunks and availability reports for peers, files for the engine."""

import asyncio
import contextlib
from collections.abc import Iterator

from aiohttp import web

from .. import metrics
from .context import WeightContext
from .reports import AvailabilityReporter
from .table_finder import TableFinder
from .transfer import UPLOADS_HEADER

MAXIMUM_UPLOADS = 4
"""Uploads in the queue from which further chunk requests are refused with status 503."""


class WeightServer:
    """Serves the tables and chunks that this process holds.

    Attributes:
      context: Dependencies shared by all transfers of the process.
      finder: Holds the known chunk tables.
      reporters: Availability reporter of each table, by digest.
      tasks: Task of each reporter, by digest.
      uploads: Number of chunk uploads that wait for bandwidth.
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

    def reporter_for(self, digest: bytes) -> AvailabilityReporter:
        """Return the availability reporter of a table; create and start it if needed."""
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
        """Send an encoded chunk table, waiting a short time for one that is still being fetched."""
        table = await self.finder.wait_for(digest_from_path(request))
        if table is None:
            return web.Response(status=404)
        return web.Response(body=table.encoded)

    async def serve_reports(self, request: web.Request) -> web.StreamResponse:
        """Send availability reports over a WebSocket until the subscriber disconnects."""
        reporter = self.reporters.get(digest_from_path(request))
        if reporter is None:
            return web.Response(status=404)
        return await reporter.serve_subscriber(request)

    async def serve_chunk(self, request: web.Request) -> web.Response:
        """Send one chunk once the upload rate limit allows it.

        Refuses it with 503 if `MAXIMUM_UPLOADS` are waiting.
        """
        payload = self.context.store.get(digest_from_path(request))
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
        """Count an upload while it waits for bandwidth."""
        self.set_uploads(self.uploads + 1)
        try:
            yield
        finally:
            self.set_uploads(self.uploads - 1)

    def set_uploads(self, count: int) -> None:
        """Set the upload count here and in all availability reports."""
        self.uploads = count
        for reporter in self.reporters.values():
            reporter.uploads = count

    async def serve_file(self, request: web.Request) -> web.StreamResponse:
        """Send one whole file to the engine on this VM."""
        table = self.finder.tables.get(digest_from_path(request))
        chunks = table.chunks_of_file(request.match_info["path"]) if table else ()
        payloads = [self.context.store.get(chunk.hash) for chunk in chunks]
        if table is None or any(payload is None for payload in payloads):
            return web.Response(status=404)
        response = web.StreamResponse()
        response.content_length = sum(chunk.length for chunk in chunks)
        await response.prepare(request)
        for payload in payloads:
            await response.write(payload or b"")
        await response.write_eof()
        return response


def digest_from_path(request: web.Request) -> bytes:
    """Return the digest in the path of a request.

    Raises:
      HTTPBadRequest: It is not hexadecimal.
    """
    try:
        return bytes.fromhex(request.match_info["digest"])
    except ValueError as error:
        raise web.HTTPBadRequest(text="the digest in the path is not hexadecimal") from error
