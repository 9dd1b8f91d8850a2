"""Deploys the release of the own role to this VM: downloads it and activates it in the engine."""

import asyncio
import time
from dataclasses import dataclass

from ..configuration.manifest import artifacts_of, release_digest, release_of_role
from ..data import Configuration
from ..logs import get_logger
from ..platform.engine import EngineFile, EngineState
from ..schema.manifest import Artifact, Release
from .chunk_table import LoadedChunkTable
from .context import WeightContext
from .orders import EngineOrders
from .server import WeightServer
from .store import MemoryPlan, plan_memory
from .table_finder import TableFinder
from .transfer import Transfer

LOG = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress of this VM with the deployment of a release.

    Attributes:
      release: Digest of the release, in hexadecimal; empty for none.
      held_share: Share of its chunks that this VM holds, from 0 to 1.
      started_unix: Time at which its deployment began; 0 before.
      held_unix: Time at which all chunks were held; 0 before.
      active_unix: Time at which the engine began to serve it; 0 before.
    """

    release: str = ""
    held_share: float = 0.0
    started_unix: float = 0.0
    held_unix: float = 0.0
    active_unix: float = 0.0


class ReleaseDeployer:
    """Downloads, verifies and activates the release that the configuration names.

    Attributes:
      context: Dependencies shared by all transfers of the process.
      finder: Finds chunk tables by digest.
      server: Serves tables and chunks to peers and files to the engine.
      orders: Sends orders to the engine.
      release: Release of the own role; None for none.
      digest: Digest of that release, in hexadecimal; empty for none.
      transfers: Downloads of its chunk tables.
      active_tables: Digests of the chunk tables of the served release, whose chunks are kept for
        peers.
      changed: Set to start the deployment again.
    """

    def __init__(
        self,
        context: WeightContext,
        finder: TableFinder,
        server: WeightServer,
        orders: EngineOrders,
    ) -> None:
        self.context = context
        self.finder = finder
        self.server = server
        self.orders = orders
        self.release: Release | None = None
        self.digest = ""
        self.started_unix = 0.0
        self.held_unix = 0.0
        self.active_unix = 0.0
        self.transfers: list[Transfer] = []
        self.active_tables: set[bytes] = set()
        self.changed = asyncio.Event()
        orders.on_state = self.publish_active

    def publish_active(self, state: EngineState | None) -> None:
        """Publish in the own member record which release the engine serves; unknown means none."""
        active = bytes.fromhex(state.active) if state else b""
        self.context.own.update(release=active)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Start the deployment of the release that a configuration names for the own role."""
        release = release_of_role(configuration.manifest, self.context.own.member.role)
        wanted = release_digest(release) if release else ""
        if wanted == self.digest:
            return
        self.release = release
        self.digest = wanted
        self.started_unix = time.time()
        self.held_unix = self.active_unix = 0.0
        LOG.info("release.wanted", release=wanted)
        self.changed.set()

    async def run(self) -> None:
        """Deploy the release until cancelled; starts again when it changes."""
        while True:
            self.changed.clear()
            deployment = asyncio.create_task(self.deploy(self.release, self.digest))
            change = asyncio.create_task(self.changed.wait())
            try:
                await asyncio.wait((deployment, change), return_when=asyncio.FIRST_COMPLETED)
                if deployment.done():
                    self.retry_after_failure(deployment)
                    await change
            finally:
                deployment.cancel()
                change.cancel()
                await asyncio.gather(deployment, change, return_exceptions=True)

    def redeploy_if_lost(self) -> None:
        """Deploy the release again if the engine no longer serves it."""
        state = self.orders.state
        if self.active_unix and state is not None and state.active != self.digest:
            LOG.warning("release.lost", release=self.digest)
            self.active_unix = 0.0
            self.changed.set()

    def retry_after_failure(self, deployment: asyncio.Task[None]) -> None:
        """Log an exception of the deployment and start it again after a second."""
        if not deployment.cancelled() and deployment.exception() is not None:
            LOG.error("release.failed", release=self.digest, error=repr(deployment.exception()))
            asyncio.get_running_loop().call_later(1.0, self.changed.set)

    async def deploy(self, release: Release | None, digest: str) -> None:
        """Download, verify and activate one release."""
        if release is None:
            return
        state = await self.orders.read_state()
        if state is not None and state.active == digest:
            self.held_unix = self.active_unix = time.time()
            return
        artifacts = artifacts_of(release)
        tables = await asyncio.gather(*(self.find_table(item) for item in artifacts))
        if not self.reserve_memory(tables):
            return
        self.delete_unused({table.digest for table in tables})
        self.transfers = [
            Transfer(self.context, table, self.server.reporter_for(table.digest))
            for table in tables
        ]
        await asyncio.gather(*(transfer.run() for transfer in self.transfers))
        self.held_unix = time.time()
        LOG.info("release.held", release=digest, seconds=self.held_unix - self.started_unix)
        await self.orders.activate(digest, self.engine_files(artifacts, tables))
        self.active_unix = time.time()
        LOG.info("release.active", release=digest)
        self.active_tables = {table.digest for table in tables}
        self.delete_unused(self.active_tables)

    def reserve_memory(self, tables: list[LoadedChunkTable]) -> bool:
        """Stop keeping the chunks of the served release if the new one needs their memory.

        Returns False if the new release exceeds the limit by itself.
        """
        wanted = {chunk.hash: chunk.length for table in tables for chunk in table.chunks}
        served = {
            chunk.hash: chunk.length
            for digest in self.active_tables
            if digest in self.finder.tables
            for chunk in self.finder.tables[digest].chunks
            if chunk.hash not in wanted
        }
        limit = self.context.store.limit_bytes
        plan = plan_memory(limit, sum(wanted.values()), sum(served.values()))
        if plan is MemoryPlan.DROP_SERVED:
            self.active_tables = set()
        if plan is MemoryPlan.TOO_LARGE:
            LOG.error("release.too_large", needed=sum(wanted.values()), limit=limit)
        return plan is not MemoryPlan.TOO_LARGE

    async def find_table(self, artifact: Artifact) -> LoadedChunkTable:
        """Return the chunk table of an artifact, retrying until it is found."""
        return await self.finder.find(bytes.fromhex(artifact.table))

    def delete_unused(self, digests: set[bytes]) -> None:
        """Delete tables and chunks of neither the given tables nor the active release."""
        kept = digests | self.active_tables
        self.finder.keep_only(kept)
        self.server.keep_only(kept)
        hashes = [chunk.hash for table in self.finder.tables.values() for chunk in table.chunks]
        self.context.store.keep_only(hashes)

    def engine_files(
        self, artifacts: tuple[Artifact, ...], tables: list[LoadedChunkTable]
    ) -> tuple[EngineFile, ...]:
        """Return the URLs from which the engine reads the files of a release."""
        address = self.context.own.member.address
        return tuple(
            EngineFile(
                artifact.name,
                item.path,
                item.size,
                f"http://{address}/weights/{table.digest.hex()}/files/{item.path}",
            )
            for artifact, table in zip(artifacts, tables, strict=True)
            for item in table.message.files
        )

    def progress(self) -> Progress:
        """Return the progress of this VM for status reports."""
        total = sum(len(item.table.chunks) for item in self.transfers)
        missing = sum(len(item.missing) for item in self.transfers)
        share = 1 - missing / total if total else float(bool(self.held_unix))
        return Progress(self.digest, share, self.started_unix, self.held_unix, self.active_unix)
