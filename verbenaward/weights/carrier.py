"""Brings the release of the own role onto this VM and into its engine."""

import asyncio
import time
from dataclasses import dataclass

from ..configuration.manifest import artifacts_of, release_digest, release_of_role
from ..data import Configuration
from ..logs import get_logger
from ..platform.engine import EngineFile, EngineState
from ..schema.manifest import Artifact, Release
from .context import WeightContext
from .orders import OrderGiver
from .server import WeightServer
from .store import MemoryPlan, plan_memory
from .table import Table
from .tables import TableFinder
from .transfer import Transfer

LOG = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Progress:
    """How far this VM is with a release.

    Attributes:
      release: Digest of the release, in hexadecimal; empty where none is wanted.
      held_share: Share of its chunks that are held.
      started_unix: Time at which the work on it began; 0 before.
      held_unix: Time at which all chunks were held; 0 before.
      active_unix: Time at which the engine served it; 0 before.
    """

    release: str = ""
    held_share: float = 0.0
    started_unix: float = 0.0
    held_unix: float = 0.0
    active_unix: float = 0.0


class ReleaseCarrier:
    """Follows the configuration: fetches, verifies and activates what it names.

    Attributes:
      context: What all transfers of the process share.
      finder: Finds chunk tables.
      server: Serves what is held.
      orders: Gives orders to the engine.
      release: Release that is wanted; None for none.
    """

    def __init__(
        self,
        context: WeightContext,
        finder: TableFinder,
        server: WeightServer,
        orders: OrderGiver,
    ) -> None:
        self.context = context
        self.finder = finder
        self.server = server
        self.orders = orders
        self.release: Release | None = None
        self.wanted = ""
        self.started_unix = 0.0
        self.held_unix = 0.0
        self.active_unix = 0.0
        self.transfers: list[Transfer] = []
        self.tables_in_engine: set[bytes] = set()
        self.changed = asyncio.Event()
        orders.on_state = self.publish

    def publish(self, state: EngineState | None) -> None:
        """Publish which release the engine serves; unknown means none."""
        active = bytes.fromhex(state.active) if state else b""
        self.context.own.change(release=active)

    def take_configuration(self, configuration: Configuration) -> None:
        """Note the release that a configuration names for the own role."""
        release = release_of_role(configuration.manifest, self.context.own.member.role)
        wanted = release_digest(release) if release else ""
        if wanted == self.wanted:
            return
        self.release = release
        self.wanted = wanted
        self.started_unix = time.time()
        self.held_unix = self.active_unix = 0.0
        LOG.info("release.wanted", release=wanted)
        self.changed.set()

    async def run(self) -> None:
        """Work on the wanted release until cancelled, starting again when it changes."""
        while True:
            self.changed.clear()
            work = asyncio.create_task(self.carry(self.release, self.wanted))
            change = asyncio.create_task(self.changed.wait())
            try:
                await asyncio.wait((work, change), return_when=asyncio.FIRST_COMPLETED)
                if work.done():
                    self.report_failure(work)
                    await change
            finally:
                work.cancel()
                change.cancel()
                await asyncio.gather(work, change, return_exceptions=True)

    def check_active(self) -> None:
        """Start the work again where the engine lost a release that was active."""
        state = self.orders.state
        if self.active_unix and state is not None and state.active != self.wanted:
            LOG.warning("release.lost", release=self.wanted)
            self.active_unix = 0.0
            self.changed.set()

    def report_failure(self, work: asyncio.Task[None]) -> None:
        """Log an unexpected end of the work and start it again."""
        if not work.cancelled() and work.exception() is not None:
            LOG.error("release.failed", release=self.wanted, error=repr(work.exception()))
            asyncio.get_running_loop().call_later(1.0, self.changed.set)

    async def carry(self, release: Release | None, digest: str) -> None:
        """Fetch, verify and activate one release."""
        if release is None:
            return
        state = await self.orders.read_state()
        if state is not None and state.active == digest:
            self.held_unix = self.active_unix = time.time()
            return
        artifacts = artifacts_of(release)
        tables = await asyncio.gather(*(self.find_table(item) for item in artifacts))
        if not self.make_room(tables):
            return
        self.drop_unwanted({table.digest for table in tables})
        self.transfers = [
            Transfer(self.context, table, self.server.reporter_of(table.digest)) for table in tables
        ]
        await asyncio.gather(*(transfer.run() for transfer in self.transfers))
        self.held_unix = time.time()
        LOG.info("release.held", release=digest, seconds=self.held_unix - self.started_unix)
        await self.orders.activate(digest, self.engine_files(artifacts, tables))
        self.active_unix = time.time()
        LOG.info("release.active", release=digest)
        self.tables_in_engine = {table.digest for table in tables}
        self.drop_unwanted(self.tables_in_engine)

    def make_room(self, tables: list[Table]) -> bool:
        """Drop the served chunks where the release needs their memory; False if it is too large."""
        wanted = {chunk.hash: chunk.length for table in tables for chunk in table.chunks}
        served = {
            chunk.hash: chunk.length
            for digest in self.tables_in_engine
            if digest in self.finder.tables
            for chunk in self.finder.tables[digest].chunks
            if chunk.hash not in wanted
        }
        limit = self.context.store.limit_bytes
        plan = plan_memory(limit, sum(wanted.values()), sum(served.values()))
        if plan is MemoryPlan.DROP_SERVED:
            self.tables_in_engine = set()
        if plan is MemoryPlan.TOO_LARGE:
            LOG.error("release.too_large", needed=sum(wanted.values()), limit=limit)
        return plan is not MemoryPlan.TOO_LARGE

    async def find_table(self, artifact: Artifact) -> Table:
        """Return the table of an artifact."""
        return await self.finder.find(bytes.fromhex(artifact.table))

    def drop_unwanted(self, wanted: set[bytes]) -> None:
        """Drop chunks that neither the wanted nor the active release contains."""
        kept = wanted | self.tables_in_engine
        self.finder.keep_only(kept)
        self.server.keep_only(kept)
        hashes = [chunk.hash for table in self.finder.tables.values() for chunk in table.chunks]
        self.context.store.keep_only(hashes)

    def engine_files(
        self, artifacts: tuple[Artifact, ...], tables: list[Table]
    ) -> tuple[EngineFile, ...]:
        """Return where the engine reads the files of a release."""
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
        """Return how far this VM is."""
        total = sum(len(item.table.chunks) for item in self.transfers)
        missing = sum(len(item.missing) for item in self.transfers)
        share = 1 - missing / total if total else float(bool(self.held_unix))
        return Progress(self.wanted, share, self.started_unix, self.held_unix, self.active_unix)
