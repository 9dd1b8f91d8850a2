"""Loads weights into the engine on this VM: stages verified chunks, then orders the load."""

import asyncio
from functools import partial

import aiohttp
from returns.result import Success

from .. import clock, metrics
from ..data import Backend, HeldWeights
from ..distribution.chunk_runs import chunk_order, chunk_run_name
from ..distribution.readers import Inventory
from ..logs import get_logger
from ..placement.fleet import Fleet
from ..platform.weights import EngineReport, LocalEngine, OrderOutcome
from ..replica.chunk_digests import DIGEST_BYTES, newest_stored_version, stored_digests
from ..replica.store_replica import StoreReplica
from ..schema.settings import DirectSettings, Settings
from .download import Sink, VersionDigests, download
from .fetching import ChunkFetcher, sha256
from .notices import LoadingNotices
from .plan import (
    LoadSchedule,
    StalledVersion,
    SupersededVersion,
    continues_staging,
    fetches_early,
    load_delay_seconds,
    load_order,
    returns_to_older,
    wanted_version,
)
from .staged_chunks import StagedChunks

LOG = get_logger(__name__)
POLL_SECONDS = 0.1
STAGING_OVERHEAD = 1.09
"""Time to stage a version, relative to the time that its bytes take on the link."""
BUSY_RETRY_SECONDS = 0.05
ROUND_SECONDS = 5.0
"""Time without a staged chunk after which the engine's state is looked at again."""
MAXIMUM_EARLY_BYTES = 8 * 1024 * 1024
"""Memory for chunks that are fetched before the engine has started."""


class EngineLoader:
    """Keeps one engine at the wanted version of its weights.

    Attributes:
      engine: Port to the engine.
      fetcher: Fetches chunks from entry processes.
      notices: Notifies entry processes when the engine will accept no requests.
      digests: Digests of the version that was staged last; None before.
      staged: Chunks that were verified and staged.
      next_weights: Weights that are staged and loaded next, sometimes older than the target
        version; None if there are none.
      superseded_by: Newest version for which it was decided whether to continue staging.
      given_up: Digests of the version that was given up for a newer one; None for none.
      held: Weights that the engine holds, as it last reported.
      has_answered: True once the engine has answered this process.
      fetches_early: True if it fetches chunks before the engine has answered; None until the store
        has been read.
      early: Chunks that were fetched before, by index.
      late: Weights whose load was last logged as late; None for none.
      short: Weights with fewer digests than declared chunks, as last logged; None for none.
      is_idle_logged: True if it was logged that no version is known to load.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        replica: StoreReplica,
        fleet: Fleet,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.replica = replica
        self.fleet = fleet
        self.session = session
        self.engine = LocalEngine(session, direct.engine)
        self.fetcher = ChunkFetcher(settings, direct, replica, session)
        self.notices = LoadingNotices(settings.vm, direct.engine, self.fetcher)
        self.digests: VersionDigests | None = None
        self.staged = StagedChunks(self.engine)
        self.next_weights: HeldWeights | None = None
        self.superseded_by: HeldWeights | None = None
        self.given_up: VersionDigests | None = None
        self.held: tuple[HeldWeights, ...] = ()
        self.has_answered = False
        self.fetches_early: bool | None = None
        self.early: dict[int, bytes] = {}
        self.late: HeldWeights | None = None
        self.short: HeldWeights | None = None
        self.is_idle_logged = False

    async def run(self) -> None:
        """Keep the engine's weights current until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(POLL_SECONDS)

    async def step(self) -> None:
        """Stage and load the next weights, unless the engine holds them."""
        result = await self.engine.report()
        if not isinstance(result, Success):
            if not self.has_answered:
                await self.fetch_early()
            return
        self.has_answered = True
        report = result.unwrap()
        self.held = report.weights
        wanted = self.update_next_weights()
        self.log_if_idle(wanted)
        if wanted is None:
            return
        if holds_weights(report, wanted):
            self.next_weights = None
            return
        if not await self.stage(wanted):
            return
        await self.wait_until_scheduled(wanted)
        if self.update_next_weights() == wanted:
            await self.load(wanted)

    def log_if_idle(self, wanted: HeldWeights | None) -> None:
        """Log once that an empty engine stays empty, as no version is known for it."""
        is_idle = wanted is None and not self.held and self.fleet.table is not None
        if is_idle and not self.is_idle_logged:
            LOG.warning("version.unknown", service=self.direct.service)
        self.is_idle_logged = is_idle

    def update_next_weights(self) -> HeldWeights | None:
        """Update and return the next weights; decide once whether a newer version replaces them."""
        newest = self.newest()
        current = self.next_weights
        if newest is None or current is None or current.model != newest.model:
            self.next_weights = newest
        elif current.version < newest.version and self.superseded_by != newest:
            self.superseded_by = newest
            if not self.should_finish_staging(current, newest):
                self.give_up(current, newest)
            LOG.info("version.superseded", goal=self.next_weights, newest=newest.version)
        elif self.given_up is not None and self.should_return(self.given_up, newest):
            self.next_weights, self.given_up = self.given_up.weights, None
            LOG.info("version.resumed", version=self.next_weights.version, newest=newest.version)
        return self.next_weights

    def give_up(self, current: HeldWeights, newest: HeldWeights) -> None:
        """Stage the newest weights next, and remember the present ones."""
        self.next_weights = newest
        self.staged.progressed_at = clock.now()
        known = self.digests
        self.given_up = known if known is not None and known.weights == current else None

    def should_return(self, given_up: VersionDigests, newest: HeldWeights) -> bool:
        """Return True if the version that was given up is loaded, as the newest does not arrive."""
        held = max((item.version for item in self.held), default=0)
        if self.next_weights != newest or held >= given_up.weights.version:
            return False
        if self.is_staged(newest):
            return False
        now = clock.now()
        share = len(self.staged.missing(given_up)) / len(given_up.digests)
        stalled = StalledVersion(
            now - self.staged.progressed_at,
            share * self.staging_seconds(),
            self.fleet.start_deadline(
                newest.model, given_up.weights.version, self.direct.version_seconds
            ),
        )
        return returns_to_older(stalled, now)

    def is_staged(self, weights: HeldWeights) -> bool:
        """Return True if all chunks of weights are staged."""
        known = self.digests
        return known is not None and known.weights == weights and not self.staged.missing(known)

    def should_finish_staging(self, current: HeldWeights, newest: HeldWeights) -> bool:
        """Return True if the current weights are loaded although a newer target version was set."""
        newer = self.fleet.first_newer_version(newest.model, newest.version - 1)
        if newer is None or self.digests is None or self.digests.weights != current:
            return False
        missing = len(self.staged.missing(self.digests))
        staging = self.staging_seconds()
        if not staging:
            return False
        superseded = SupersededVersion(
            1.0 - missing / len(self.digests.digests),
            newer.set_after,
            staging,
            self.direct.version_seconds,
            load_order(self.zones_of_serving()).index(self.direct.engine),
        )
        return continues_staging(superseded, clock.now())

    def staging_seconds(self) -> float:
        """Return the time to stage a whole version; 0 if it is unknown."""
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        engine = declared.engine if declared else None
        if engine is None or not self.fetcher.link_rate():
            return 0.0
        return STAGING_OVERHEAD * engine.chunk_bytes * engine.chunk_count / self.fetcher.link_rate()

    def zones_of_serving(self) -> dict[str, str]:
        """Return the zones of the service's serving engines and of this engine, by address."""
        serving = {
            view.backend.address: view.backend.zone
            for view in self.fleet.by_service.get(self.direct.service, ())
            if view.backend.weights
        }
        return {**serving, self.direct.engine: self.settings.zone}

    def engines_of_region(self) -> list[str]:
        """Return the sorted addresses of the service's engines in the region, own one included."""
        regions = self.direct.zones
        own_region = regions.get(self.settings.zone)
        found = {
            view.backend.address
            for view in self.fleet.by_service.get(self.direct.service, ())
            if regions.get(view.backend.zone) == own_region
        }
        return sorted({*found, self.direct.engine})

    def newest(self) -> HeldWeights | None:
        """Return the weights of the target version, or else those last in use."""
        targets = {model: self.fleet.newest_version(model) for model in self.fleet.versions}
        for model, stored in self.stored_versions().items():
            version = wanted_version(targets, model, self.backends(), stored)
            if version:
                return HeldWeights(model, version)
        return None

    def stored_versions(self) -> dict[str, int]:
        """Return the newest version whose digests the store has, 0 for none, by model."""
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        models = declared.engine.models if declared and declared.engine else ()
        return {model: newest_stored_version(self.replica, model) for model in models}

    def backends(self) -> list[Backend]:
        """Return the registered backends of the service, that of this VM included."""
        return [view.backend for view in self.fleet.by_service.get(self.direct.service, ())]

    async def stage(self, wanted: HeldWeights) -> bool:
        """Fetch and stage the missing chunks; False on failure or when other weights are wanted."""
        digests = await self.digests_of(wanted)
        if digests is None:
            return False
        self.staged.use_model(wanted.model)
        missing = self.staged.missing(digests)
        if not missing:
            return True
        started = clock.now()
        missing = await self.staged.find_present(digests, missing)
        missing = await self.stage_early(wanted, digests, missing)
        is_complete = await self.download_while_wanted(wanted, digests, missing)
        if is_complete:
            took = round(clock.now() - started, 3)
            LOG.info("weights.staged", version=wanted.version, chunks=len(missing), seconds=took)
        return is_complete

    async def fetch_early(self) -> None:
        """Fetch chunks into memory until the engine answers.

        The engine of a VM that has just been added takes longer to start than this process, and
        the link would be idle meanwhile.
        """
        if not self.fetches_early and self.replica.revision:
            is_first = self.fetches_early is None
            self.fetches_early = fetches_early(self.backends(), self.stored_versions(), is_first)
        wanted = self.newest() if self.fetches_early else None
        digests = await self.digests_of(wanted) if wanted else None
        if digests is None:
            return

        async def keep(index: int, body: bytes) -> bool:
            self.early[index] = body
            return True

        order = self.fetch_order([*range(len(digests.digests))])
        fetching = asyncio.create_task(
            download(self.fetcher, digests, order[: self.early_chunks()], keep)
        )
        try:
            while not isinstance(await self.engine.report(), Success):
                await asyncio.sleep(POLL_SECONDS)
        finally:
            fetching.cancel()

    def early_chunks(self) -> int:
        """Return how many chunks may be kept in memory until the engine answers."""
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        engine = declared.engine if declared else None
        return MAXIMUM_EARLY_BYTES // engine.chunk_bytes if engine and engine.chunk_bytes else 0

    async def stage_early(
        self, wanted: HeldWeights, digests: VersionDigests, missing: list[int]
    ) -> list[int]:
        """Stage the chunks that were fetched early, and return those that are still missing."""
        early, self.early = self.early, {}
        for index in missing:
            body = early.get(index, b"")
            if sha256(body) == digests.digests[index]:
                await self.stage_chunk(wanted, digests, index, body)
        return self.staged.missing(digests)

    def fetch_order(self, missing: list[int]) -> list[int]:
        """Return missing chunks in the order in which this engine fetches them."""
        neighbours = self.engines_of_region()
        return chunk_order(missing, neighbours.index(self.direct.engine), len(neighbours))

    async def download_while_wanted(
        self, wanted: HeldWeights, digests: VersionDigests, missing: list[int]
    ) -> bool:
        """Download and stage missing chunks; False if that ends without all of them.

        It ends when other weights are wanted, when the digests were replaced, or when no chunk has
        arrived for `ROUND_SECONDS`, as the engine may have restarted without its staged chunks.
        """
        sink: Sink = partial(self.stage_chunk, wanted, digests)
        began = clock.now()
        running = asyncio.create_task(
            download(self.fetcher, digests, self.fetch_order(missing), sink)
        )
        try:
            while not running.done():
                await asyncio.wait({running}, timeout=POLL_SECONDS)
                if self.update_next_weights() != wanted or self.is_replaced(digests):
                    return False
                if clock.now() - max(began, self.staged.progressed_at) > ROUND_SECONDS:
                    return False
            await running
            return True
        finally:
            running.cancel()

    async def stage_chunk(
        self, wanted: HeldWeights, digests: VersionDigests, index: int, body: bytes
    ) -> bool:
        """Stage one chunk and announce the load that is planned; False if staging failed."""
        if not await self.staged.stage(digests, index, body):
            return False
        self.announce_load(wanted, digests)
        return True

    async def digests_of(self, wanted: HeldWeights) -> VersionDigests | None:
        """Return a version's digests, from the store or an entry process; None on failure."""
        known = self.digests
        if known is not None and known.weights == wanted and not self.is_replaced(known):
            return known
        body: bytes | None = stored_digests(self.replica, wanted.model, wanted.version)
        if not body:
            path = f"/weights/{wanted.model}/{wanted.version}"
            body = await self.fetcher.fetch(
                path, b"", chunk_run_name(wanted.model, wanted.version, 0)
            )
        if not body or len(body) % DIGEST_BYTES:
            return None
        digests = tuple(
            body[start : start + DIGEST_BYTES] for start in range(0, len(body), DIGEST_BYTES)
        )
        if self.lacks_chunks(wanted, len(digests)):
            return None
        self.digests = VersionDigests(wanted, digests)
        return self.digests

    def lacks_chunks(self, wanted: HeldWeights, count: int) -> bool:
        """Return True, and log it once, if a version has fewer digests than declared chunks.

        The engine would load the other chunks as they are, perhaps those of another version.
        """
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        expected = declared.engine.chunk_count if declared and declared.engine else 0
        if count < expected and self.short != wanted:
            LOG.warning("digests.too-few", version=wanted.version, digests=count, chunks=expected)
        self.short = wanted if count < expected else None
        return count < expected

    def is_replaced(self, known: VersionDigests) -> bool:
        """Return True if the store holds other digests of a version: the origin's were wrong."""
        stored = stored_digests(self.replica, known.weights.model, known.weights.version)
        return bool(stored) and stored != b"".join(known.digests)

    def scheduled_at(self, wanted: HeldWeights) -> float | None:
        """Return when this engine should load newer weights, monotonic; None for at once."""
        held = max((item.version for item in self.held), default=0)
        learned = self.fleet.first_newer_version(wanted.model, held)
        if learned is None or not self.held:
            return None
        newer = self.fleet.first_newer_version(wanted.model, wanted.version)
        schedule = LoadSchedule(
            learned.learned_at,
            learned.set_after,
            newer.set_after if newer else None,
            self.staging_seconds(),
            self.direct.version_seconds,
        )
        delay = load_delay_seconds(
            self.direct.engine, self.zones_of_serving(), schedule.window_seconds
        )
        return schedule.first_load_at + delay

    def announce_load(self, wanted: HeldWeights, digests: VersionDigests) -> None:
        """Announce the planned load to entry processes, allowing for chunks still to be staged."""
        scheduled_at = self.scheduled_at(wanted)
        if scheduled_at is None:
            return
        now = clock.now()
        missing = len(self.staged.missing(digests))
        metrics.MISSING_CHUNKS.set(missing)
        staged_at = now + self.staging_seconds() * missing / len(digests.digests)
        load_at = max(scheduled_at, staged_at)
        self.notices.announce_planned_load(load_at, now)
        self.warn_if_late(wanted, load_at, now)

    def warn_if_late(self, wanted: HeldWeights, load_at: float, now: float) -> None:
        """Log once for each version if the engine will hold it after its bound."""
        held = max((item.version for item in self.held), default=0)
        bound = self.fleet.start_deadline(wanted.model, held, self.direct.version_seconds)
        if load_at <= bound or self.late == wanted:
            return
        self.late = wanted
        LOG.warning(
            "version.late",
            version=wanted.version,
            expected_seconds=round(load_at - now, 1),
            bound_seconds=round(bound - now, 1),
        )

    async def wait_until_scheduled(self, wanted: HeldWeights) -> None:
        """Wait until this engine should stop serving older weights, or other weights are wanted."""
        scheduled_at = self.scheduled_at(wanted)
        if scheduled_at is None:
            return
        while (now := clock.now()) < scheduled_at and self.update_next_weights() == wanted:
            self.notices.announce_planned_load(scheduled_at, now)
            await asyncio.sleep(min(POLL_SECONDS, scheduled_at - now))

    async def load(self, wanted: HeldWeights) -> None:
        """Check the staged chunks and order the engine to load them while the checks are young.

        The engine loads whatever is staged when it accepts the order, and chunks may have been
        corrupted since they were staged, also while others were checked.
        """
        before = await self.engine.report()
        if not isinstance(before, Success):
            return
        report = before.unwrap()
        if report.is_busy or holds_weights(report, wanted):
            await asyncio.sleep(BUSY_RETRY_SECONDS)
            return
        digests = self.digests
        assert digests is not None
        if not await self.staged.check(digests, lambda: self.update_next_weights() == wanted):
            return
        if self.update_next_weights() != wanted:
            return
        check_age = self.staged.check_age(digests)
        result = await self.engine.order_load(wanted.model, wanted.version, report.accepted_orders)
        outcome = result.value_or(OrderOutcome.UNKNOWN)
        metrics.ORDERS.labels("start", outcome.value).inc()
        LOG.info(
            "engine.ordered",
            version=wanted.version,
            orders=report.accepted_orders,
            outcome=outcome.value,
            running=report.running,
            check_age_seconds=round(check_age, 3),
        )
        if outcome in (OrderOutcome.STARTED, OrderOutcome.DONE):
            self.next_weights = self.given_up = None
            self.notices.announce_loading()

    def inventory(self, weights: HeldWeights) -> Inventory:
        """Return the chunks that are staged for weights.

        All chunks of weights that the engine holds are staged until others are.
        """
        known = self.digests
        if weights in self.held and self.next_weights in (None, weights):
            stored = stored_digests(self.replica, weights.model, weights.version)
            return Inventory(frozenset(range(len(stored) // DIGEST_BYTES)))
        if known is None or known.weights != weights:
            return Inventory()
        return Inventory(frozenset(range(len(known.digests))) - {*self.staged.missing(known)})

    async def staged_chunk(self, weights: HeldWeights, index: int) -> bytes | None:
        """Return a chunk that is staged for weights; None if there is none."""
        if index not in self.inventory(weights).held:
            return None
        result = await self.engine.staged_chunk(weights.model, index)
        return result.value_or(None)


def holds_weights(report: EngineReport, wanted: HeldWeights) -> bool:
    """Return True if an engine holds the wanted weights or newer ones."""
    return any(
        item.model == wanted.model and item.version >= wanted.version for item in report.weights
    )
