"""Fills the engine on this VM: fetches, checks, stages and orders."""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp
from returns.result import Success

from .. import metrics
from ..data import HeldWeights
from ..direct.fleet import Fleet
from ..direct.runs import chunk_order, run_name
from ..knowledge.digests import DIGEST_BYTES, known_digests
from ..knowledge.items import ItemView
from ..logs import get_logger
from ..platform.weights import EngineReport, LocalEngine, OrderOutcome
from ..schema.settings import DirectSettings, Settings
from .fetching import FETCHES, ChunkFetcher, sha256
from .notices import LoadingNotices
from .plan import Overtaken, Swap, goes_on, load_delay_seconds, turn_order, wanted_version

LOG = get_logger(__name__)
POLL_SECONDS = 0.1
STAGING_OVERHEAD = 1.09
"""Time to stage a version, over the time that its bytes take on the link."""
BUSY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Digests:
    """Digests of the chunks of one version, in order."""

    weights: HeldWeights
    digests: tuple[bytes, ...]


class Filler:
    """Keeps one engine at the version that is wanted.

    Attributes:
      engine: The engine.
      goal: Weights that are staged and loaded next.
      overtaken_by: Newest version for which it was decided whether the goal is given up.
      notices: Tells the entry processes when the engine will take nothing.
      held: Weights that the engine holds, as it last said.
      staged: Chunks that were staged and checked, by index, with their digests.
    """

    def __init__(
        self,
        settings: Settings,
        direct: DirectSettings,
        view: ItemView,
        fleet: Fleet,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.direct = direct
        self.view = view
        self.fleet = fleet
        self.session = session
        self.engine = LocalEngine(session, direct.engine)
        self.fetcher = ChunkFetcher(settings, direct, view, session)
        self.notices = LoadingNotices(settings.vm, direct.engine, self.fetcher)
        self.digests: Digests | None = None
        self.staged: dict[int, bytes] = {}
        self.staged_model = ""
        self.goal: HeldWeights | None = None
        self.overtaken_by: HeldWeights | None = None
        self.held: tuple[HeldWeights, ...] = ()

    async def run(self) -> None:
        """Fill the engine until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(POLL_SECONDS)

    async def step(self) -> None:
        """Bring the engine one version further where it lacks one."""
        result = await self.engine.report()
        if not isinstance(result, Success):
            return
        report = result.unwrap()
        self.held = report.weights
        target = self.target()
        if target is None:
            return
        if holds(report, target):
            self.goal = None
            return
        if not await self.stage(target):
            return
        await self.wait_for_turn(target)
        if self.target() == target:
            await self.load(target)

    def target(self) -> HeldWeights | None:
        """Return the weights that the engine should hold next."""
        newest = self.newest()
        goal = self.goal
        if newest is None or goal is None or goal.model != newest.model:
            self.goal = newest
        elif goal.version < newest.version and self.overtaken_by != newest:
            self.overtaken_by = newest
            if not self.goes_on(goal, newest):
                self.goal = newest
            LOG.info("version.overtaken", goal=self.goal, newest=newest.version)
        return self.goal

    def goes_on(self, goal: HeldWeights, newest: HeldWeights) -> bool:
        """Return True where the goal is still taken though a newer version was named."""
        heard = self.fleet.first_above(newest.model, newest.version - 1)
        if heard is None or self.digests is None or self.digests.weights != goal:
            return False
        digests = self.digests.digests
        done = sum(self.staged.get(index) == digest for index, digest in enumerate(digests))
        staging = self.staging_seconds()
        if not staging:
            return False
        overtaken = Overtaken(
            done / len(digests),
            heard.heard_at,
            staging,
            self.direct.version_seconds,
            turn_order(self.serving()).index(self.direct.engine),
        )
        return goes_on(overtaken, time.monotonic())

    def staging_seconds(self) -> float:
        """Return the time to stage a whole version; 0 where it is unknown."""
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        engine = declared.engine if declared else None
        if engine is None or not self.fetcher.rate():
            return 0.0
        return STAGING_OVERHEAD * engine.chunk_bytes * engine.chunk_count / self.fetcher.rate()

    def serving(self) -> dict[str, str]:
        """Return the zones of the engines of the service that serve, by address, and of this."""
        found = {
            view.backend.address: view.backend.zone
            for view in self.fleet.by_service.get(self.direct.service, ())
            if view.backend.weights
        }
        return {**found, self.direct.engine: self.settings.zone}

    def newest(self) -> HeldWeights | None:
        """Return the newest weights that are named, or that the others hold."""
        table = self.fleet.table
        declared = table.services.get(self.direct.service) if table else None
        if declared is None or declared.engine is None:
            return None
        named = {model: self.fleet.newest_version(model) for model in self.fleet.versions}
        others = [view.backend for view in self.fleet.by_service.get(self.direct.service, ())]
        for model in declared.engine.models:
            version = wanted_version(named, model, others)
            if version:
                return HeldWeights(model, version)
        return None

    async def stage(self, target: HeldWeights) -> bool:
        """Fetch and stage the chunks that are missing; False where that did not end well."""
        digests = await self.digests_of(target)
        if digests is None:
            return False
        if self.staged_model != target.model:
            self.staged, self.staged_model = {}, target.model
        missing = [
            index for index, digest in enumerate(digests.digests)
            if self.staged.get(index) != digest
        ]  # fmt: skip
        if not missing:
            return True
        started = time.monotonic()
        queue = iter(chunk_order(missing, self.settings.vm))
        done = await asyncio.gather(
            *(self.stage_from(queue, target, digests) for _ in range(FETCHES))
        )
        if all(done):
            took = round(time.monotonic() - started, 3)
            LOG.info("weights.staged", version=target.version, chunks=len(missing), seconds=took)
        return all(done)

    async def stage_from(self, queue: Iterator[int], target: HeldWeights, digests: Digests) -> bool:
        """Stage chunks of a queue until it is empty or a newer version is wanted."""
        for index in queue:
            if self.target() != target:
                return False
            if not await self.stage_chunk(target, index, digests.digests[index]):
                return False
            self.tell_turn(target, digests)
        return True

    async def stage_chunk(self, target: HeldWeights, index: int, digest: bytes) -> bool:
        """Stage one chunk: the one that lies there already, or one that is fetched."""
        lying = await self.engine.staged_chunk(target.model, index)
        if isinstance(lying, Success) and sha256(lying.unwrap()) == digest:
            self.staged[index] = digest
            return True
        path = f"/weights/{target.model}/{target.version}/{index}"
        chunk = await self.fetcher.fetch(
            path, digest, run_name(target.model, target.version, index)
        )
        if chunk is None:
            return False
        self.staged.pop(index, None)
        result = await self.engine.put_chunk(target.model, index, chunk)
        if not isinstance(result, Success):
            LOG.warning("weights.unstaged", index=index, error=result.failure()[:150])
            return False
        self.staged[index] = digest
        return True

    async def digests_of(self, target: HeldWeights) -> Digests | None:
        """Return the digests of a version."""
        if self.digests is not None and self.digests.weights == target:
            return self.digests
        body: bytes | None = known_digests(self.view, target.model, target.version)
        if not body:
            path = f"/weights/{target.model}/{target.version}"
            body = await self.fetcher.fetch(path, b"", run_name(target.model, target.version, 0))
        if not body or len(body) % DIGEST_BYTES:
            return None
        parts = tuple(
            body[start : start + DIGEST_BYTES] for start in range(0, len(body), DIGEST_BYTES)
        )
        self.digests = Digests(target, parts)
        return self.digests

    def turn_at(self, target: HeldWeights) -> float | None:
        """Return when it is this engine's turn to load newer weights; None for at once."""
        held = max((item.version for item in self.held), default=0)
        heard = self.fleet.first_above(target.model, held)
        if heard is None or not self.held:
            return None
        newer = self.fleet.first_above(target.model, target.version)
        swap = Swap(
            heard.heard_at,
            newer.heard_at if newer else None,
            self.staging_seconds(),
            self.direct.version_seconds,
        )
        delay = load_delay_seconds(self.direct.engine, self.serving(), swap.window_seconds)
        return swap.first_turn_at + delay

    def tell_turn(self, target: HeldWeights, digests: Digests) -> None:
        """Tell the entry processes when the engine will stop to take work, once that is near."""
        turn = self.turn_at(target)
        if turn is None:
            return
        now = time.monotonic()
        missing = sum(
            self.staged.get(index) != digest for index, digest in enumerate(digests.digests)
        )
        staged_at = now + self.staging_seconds() * missing / len(digests.digests)
        self.notices.tell_ahead(max(turn, staged_at), now)

    async def wait_for_turn(self, target: HeldWeights) -> None:
        """Wait until it is this engine's turn to stop serving older weights."""
        turn = self.turn_at(target)
        if turn is None:
            return
        while (now := time.monotonic()) < turn and self.target() == target:
            self.notices.tell_ahead(turn, now)
            await asyncio.sleep(min(POLL_SECONDS, turn - now))

    async def load(self, target: HeldWeights) -> None:
        """Check what is staged once more and order the engine to load it.

        The engine takes what lies there when it accepts the order; chunks may have rotted.
        """
        before = await self.engine.report()
        if not isinstance(before, Success):
            return
        report = before.unwrap()
        if report.is_busy or holds(report, target):
            await asyncio.sleep(BUSY_SECONDS)
            return
        assert self.digests is not None
        if not await self.is_whole(target, self.digests):
            return
        if self.target() != target:
            return
        result = await self.engine.start(target.model, target.version, report.orders)
        outcome = result.value_or(OrderOutcome.UNKNOWN)
        metrics.ORDERS.labels("start", outcome.value).inc()
        LOG.info(
            "engine.ordered",
            version=target.version,
            orders=report.orders,
            outcome=outcome.value,
            running=report.running,
        )
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE):
            self.goal = None
            self.notices.tell_loading()

    async def staged_chunk(self, weights: HeldWeights, index: int) -> bytes | None:
        """Return a chunk of the version that the engine holds, while no other one is staged."""
        if weights not in self.held or self.goal not in (None, weights):
            return None
        result = await self.engine.staged_chunk(weights.model, index)
        return result.value_or(None)

    async def is_whole(self, target: HeldWeights, digests: Digests) -> bool:
        """Return True where every staged chunk is the one it should be, just now."""
        whole = True
        for index, digest in enumerate(digests.digests):
            lying = await self.engine.staged_chunk(target.model, index)
            if not isinstance(lying, Success) or sha256(lying.unwrap()) != digest:
                LOG.warning("weights.spoilt", index=index, version=target.version)
                self.staged.pop(index, None)
                whole = False
        return whole


def holds(report: EngineReport, target: HeldWeights) -> bool:
    """Return True where an engine holds the wanted weights or newer ones."""
    return any(
        item.model == target.model and item.version >= target.version for item in report.weights
    )
