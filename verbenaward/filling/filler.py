"""Fills the engine on this VM: fetches, checks, stages and orders."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp
from returns.result import Success

from .. import metrics
from ..configuration.settings import host_of, port_of
from ..data import HeldWeights
from ..direct.chunks import DIGEST_BYTES
from ..direct.fleet import Fleet
from ..direct.runs import run_name
from ..knowledge.items import ItemView
from ..logs import get_logger
from ..platform.weights import EngineReport, LocalEngine, OrderOutcome
from ..schema.messages import Pulse
from ..schema.settings import DirectSettings, Settings
from ..wire.codec import encode
from .fetching import FETCHES, ChunkFetcher, sha256
from .plan import (
    STAGING_SHARE,
    Overtaken,
    goes_on,
    load_delay_seconds,
    loading_window_seconds,
    wanted_version,
)

LOG = get_logger(__name__)
POLL_SECONDS = 0.1
STAGING_OVERHEAD = 1.15
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
        await self.wait_for_turn(target, report)
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
        serving = self.serving()
        overtaken = Overtaken(
            done / len(digests),
            heard.heard_at,
            staging,
            self.direct.version_seconds,
            sorted({*serving, self.direct.engine}).index(self.direct.engine),
        )
        return goes_on(overtaken, time.monotonic())

    def staging_seconds(self) -> float:
        """Return the time to stage a whole version; 0 where it is unknown."""
        declared = self.fleet.table.services.get(self.direct.service) if self.fleet.table else None
        engine = declared.engine if declared else None
        if engine is None or not self.fetcher.rate():
            return 0.0
        return STAGING_OVERHEAD * engine.chunk_bytes * engine.chunk_count / self.fetcher.rate()

    def serving(self) -> list[str]:
        """Return the addresses of the engines of the service that serve."""
        return [
            view.backend.address
            for view in self.fleet.by_service.get(self.direct.service, ())
            if view.backend.weights
        ]

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
        queue = iter(missing)
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
        path = f"/weights/{target.model}/{target.version}"
        body = await self.fetcher.fetch(path, b"", run_name(target.model, target.version, 0))
        if body is None or not body or len(body) % DIGEST_BYTES:
            return None
        parts = tuple(
            body[start : start + DIGEST_BYTES] for start in range(0, len(body), DIGEST_BYTES)
        )
        self.digests = Digests(target, parts)
        return self.digests

    async def wait_for_turn(self, target: HeldWeights, report: EngineReport) -> None:
        """Wait until it is this engine's turn to stop serving older weights."""
        held = max((item.version for item in report.weights), default=0)
        heard = self.fleet.first_above(target.model, held)
        if heard is None or not report.weights:
            return
        bound = self.direct.version_seconds
        newer = self.fleet.first_above(target.model, target.version)
        window = loading_window_seconds(
            heard.heard_at, newer.heard_at if newer else None, self.staging_seconds(), bound
        )
        delay = load_delay_seconds(self.direct.engine, self.serving(), window)
        turn = heard.heard_at + STAGING_SHARE * bound + delay
        while time.monotonic() < turn and self.target() == target:
            await asyncio.sleep(min(POLL_SECONDS, max(0.0, turn - time.monotonic())))

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
            self.tell_loading(target)

    def tell_loading(self, target: HeldWeights) -> None:
        """Tell the entry processes that the engine takes nothing until it holds the weights."""
        notice = encode(Pulse(vm=self.settings.vm, loading=self.direct.engine))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
            made.setblocking(False)
            for control in self.fetcher.holders(target.model):
                with contextlib.suppress(OSError):
                    made.sendto(notice, (host_of(control), port_of(control)))

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
