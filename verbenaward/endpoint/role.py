"""The endpoint role: wiring of its parts and tasks."""

import asyncio
import time
from typing import Any

from aiohttp import web

from ..control import ControlPlane, client_session
from ..logs import get_logger
from ..platform import engine as engines
from ..platform import sources as weight_sources
from ..requests.claims import ClaimTimes
from ..requests.once import OnceRunner
from ..requests.slot_keeper import SlotKeeper
from ..schema.messages import MemberStatus
from ..schema.settings import EndpointSettings
from ..weights.carrier import ReleaseCarrier
from ..weights.context import WeightContext
from ..weights.draws import Sources
from ..weights.orders import OrderGiver
from ..weights.pacing import LoadWatch, Pacer
from ..weights.server import WeightServer
from ..weights.store import ChunkStore
from ..weights.tables import TableFinder
from .backend import Backend
from .gate import Gate
from .runner import Runner

LOG = get_logger(__name__)
DRAIN_POLL_SECONDS = 0.05
ANNOUNCE_SECONDS = 1.0
ENGINE_CHECK_SECONDS = 1.0


class EndpointRole:
    """One endpoint process.

    Attributes:
      control: Parts that both roles share.
      gate: Admission of requests.
      runner: Serves /run.
      carrier: Brings releases into the engine; None before a plain service.
      keeper: Slots of idempotency keys; None before an engine.
    """

    def __init__(self, control: ControlPlane, endpoint: EndpointSettings) -> None:
        self.control = control
        self.endpoint = endpoint
        self.gate = Gate(endpoint.concurrency, endpoint.queue)
        self.once_session = client_session(control.settings, force_close=True)
        self.is_engine = endpoint.kind == "engine"
        links = control.settings.links
        self.upload = Pacer(links.upload_bytes_per_second)
        self.download = Pacer(links.download_bytes_per_second)
        self.load_watch = LoadWatch((self.upload, self.download))
        self.carrier: ReleaseCarrier | None = None
        self.keeper: SlotKeeper | None = None
        self.weight_server: WeightServer | None = None
        if self.is_engine:
            self.build_carrier()
        else:
            self.build_keeper()
        self.runner = Runner(
            control.settings.vm,
            Backend(endpoint.backend, control.session, self.once_session),
            self.gate,
            self.active_release,
            self.is_engine,
            OnceRunner(self.keeper) if self.keeper else None,
            self.charge_live,
            self.note_crash,
        )

    def build_carrier(self) -> None:
        """Build the parts that carry weights."""
        control = self.control
        platform = control.settings.platform
        named = {"store": platform.weight_store, "origin": platform.origin}
        adapter = weight_sources.ADAPTERS.find("http")
        sources = {name: adapter(control.session, url) for name, url in named.items() if url}
        context = WeightContext(
            session=control.session,
            directory=control.directory,
            own=control.own,
            store=ChunkStore(self.endpoint.memory_bytes),
            sources=Sources(sources),
            links=control.settings.links,
            upload=self.upload,
            download=self.download,
            region=Pacer(0.0),
        )
        finder = TableFinder(context)
        self.weight_server = WeightServer(context, finder)
        engine = engines.ADAPTERS.find(self.endpoint.engine_adapter)
        orders = OrderGiver(
            engine(control.session, self.endpoint.backend),
            self.endpoint.engine_checks_fence,
            self.endpoint.order_timeout_seconds,
            lambda: control.own.member.incarnation,
            time.monotonic(),
        )
        self.carrier = ReleaseCarrier(context, finder, self.weight_server, orders)
        control.follower.listeners.append(self.carrier.take_configuration)

    def build_keeper(self) -> None:
        """Build the parts that run non-idempotent requests at most once."""
        control = self.control
        once = self.endpoint.once
        times = ClaimTimes(
            once.patience_seconds,
            once.write_delay_seconds,
            once.renewal_seconds,
            once.resend_seconds,
        )
        self.keeper = SlotKeeper(
            control.key_values,
            control.vms,
            control.directory,
            control.own,
            times,
            time.monotonic(),
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the role to an application."""
        app.router.add_post("/run", self.runner.serve)
        if self.weight_server is not None:
            self.weight_server.add_routes(app)

    def start(self) -> None:
        """Start the tasks of the role."""
        self.control.start(self.control.heartbeats.run())
        self.control.start(self.load_watch.run())
        if self.carrier is not None:
            self.control.start(self.carrier.run())
            self.control.start(self.check_engine(self.carrier))
        if self.keeper is not None:
            self.control.start(self.keeper.run())
            self.control.start(self.keeper.run_renewals())

    async def check_engine(self, carrier: ReleaseCarrier) -> None:
        """Ask the engine from time to time what it serves, until cancelled."""
        while True:
            if not carrier.orders.lock.locked():
                before = self.control.own.member.release
                await carrier.orders.read_state()
                if self.control.own.member.release != before:
                    self.control.heartbeats.wake()
                carrier.check_active()
            await asyncio.sleep(ENGINE_CHECK_SECONDS)

    def active_release(self) -> str:
        """Return the release that the engine serves, in hexadecimal; empty for none."""
        return self.control.own.member.release.hex()

    def charge_live(self, size: int) -> None:
        """Count bytes of live answers, which go before background transfers."""
        self.upload.charge(size, time.monotonic())
        self.load_watch.live_requests = self.gate.running

    def note_crash(self) -> None:
        """Take the engine for away until it says again what it serves."""
        if self.carrier is not None:
            self.carrier.orders.note_state(None)
            self.control.heartbeats.wake()

    def status(self) -> dict[str, Any]:
        """Return what operators see besides the members."""
        report: dict[str, Any] = {"load": self.gate.load()}
        if self.carrier is not None:
            report["progress"] = self.carrier.progress()
        return report

    def is_ready(self) -> bool:
        """Return True where this process takes requests."""
        return not self.gate.closed and (not self.is_engine or bool(self.active_release()))

    async def drain(self) -> None:
        """Leave: no new work from now on, finish what runs, give up the slots."""
        self.gate.close()
        if self.keeper is not None:
            self.keeper.leaving = True
        self.control.own.change(status=MemberStatus.LEAVING)
        self.control.heartbeats.wake()
        LOG.info("drain.started", running=self.gate.running)
        limit = time.monotonic() + self.control.settings.shutdown_seconds
        await asyncio.sleep(ANNOUNCE_SECONDS)
        while time.monotonic() < limit and not self.gate.is_empty():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        if self.keeper is not None:
            await self.keeper.release(self.keeper.held_slots())
        await self.once_session.close()
        LOG.info("drain.ended", running=self.gate.running)
