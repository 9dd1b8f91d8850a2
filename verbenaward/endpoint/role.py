"""The endpoint role: builds its components and runs its tasks."""

import asyncio
from typing import Any

from aiohttp import web

from .. import clock
from ..control import ControlPlane, client_session
from ..drain_times import DrainTimes
from ..logs import get_logger
from ..platform import engine as engines
from ..platform import sources as weight_sources
from ..requests.at_most_once import AtMostOnceRunner
from ..requests.claims import ClaimTimes
from ..requests.slot_manager import SlotManager
from ..schema.messages import MemberStatus
from ..schema.settings import EndpointSettings
from ..weights.context import WeightContext
from ..weights.deployer import ReleaseDeployer
from ..weights.orders import EngineOrders
from ..weights.pacing import LagThrottle, Pacer
from ..weights.server import WeightServer
from ..weights.sources import Sources
from ..weights.store import ChunkStore
from ..weights.table_finder import TableFinder
from .admission import AdmissionGate
from .backend import BackendClient
from .run_handler import RunHandler

LOG = get_logger(__name__)
DRAIN_POLL_SECONDS = 0.05
ANNOUNCE_SECONDS = 1.0
"""Time for the leaving status to reach the entry processes before the drain may end."""
ENGINE_CHECK_SECONDS = 1.0
"""Interval at which the engine is asked for its active release."""


class EndpointRole:
    """Components and tasks of one endpoint process.

    Attributes:
      control: Components that both roles of the proxied mode share.
      endpoint: Endpoint section of the settings.
      gate: Admission control of requests.
      unpooled_session: HTTP client that opens a new connection for each call.
      is_engine: True if the backend is an engine, False if it is a plain service.
      upload: Rate limit of weight uploads.
      download: Rate limit of weight downloads.
      lag_throttle: Slows weight transfers down while the event loop lags.
      deployer: Fetches releases and has the engine load them; None for a plain service.
      slot_manager: Slots of idempotency keys that this VM holds; None for an engine.
      weight_server: Serves chunks to peers; None for a plain service.
      run_handler: Serves /run.
    """

    def __init__(self, control: ControlPlane, endpoint: EndpointSettings) -> None:
        self.control = control
        self.endpoint = endpoint
        self.gate = AdmissionGate(endpoint.concurrency, endpoint.queue)
        self.unpooled_session = client_session(control.settings, force_close=True)
        self.is_engine = endpoint.kind == "engine"
        links = control.settings.links
        self.upload = Pacer(links.upload_bytes_per_second)
        self.download = Pacer(links.download_bytes_per_second)
        self.lag_throttle = LagThrottle((self.upload, self.download))
        self.deployer: ReleaseDeployer | None = None
        self.slot_manager: SlotManager | None = None
        self.weight_server: WeightServer | None = None
        if self.is_engine:
            self.build_deployer()
        else:
            self.build_slot_manager()
        self.run_handler = RunHandler(
            control.settings.vm,
            BackendClient(endpoint.backend, self.unpooled_session),
            self.gate,
            self.active_release,
            self.is_engine,
            AtMostOnceRunner(self.slot_manager) if self.slot_manager else None,
            self.count_answer_bytes,
            self.handle_crash,
        )

    def build_deployer(self) -> None:
        """Build the components that fetch, share and load model weights."""
        control = self.control
        platform = control.settings.platform
        urls = {"store": platform.weight_store, "origin": platform.origin}
        adapter = weight_sources.ADAPTERS.find("http")
        sources = {name: adapter(control.session, url) for name, url in urls.items() if url}
        context = WeightContext(
            session=control.session,
            directory=control.directory,
            own=control.own,
            store=ChunkStore(self.endpoint.memory_bytes),
            sources=Sources(sources),
            links=control.settings.links,
            upload=self.upload,
            download=self.download,
            region_link=Pacer(0.0),
        )
        finder = TableFinder(context)
        self.weight_server = WeightServer(context, finder)
        engine = engines.ADAPTERS.find(self.endpoint.engine_adapter)
        orders = EngineOrders(
            engine(control.session, self.endpoint.backend),
            self.endpoint.engine_checks_fence,
            self.endpoint.order_timeout_seconds,
            lambda: control.own.member.incarnation,
            clock.now(),
        )
        self.deployer = ReleaseDeployer(context, finder, self.weight_server, orders)
        control.follower.listeners.append(self.deployer.apply_configuration)

    def build_slot_manager(self) -> None:
        """Build the components that run non-idempotent requests at most once."""
        control = self.control
        once = self.endpoint.once
        times = ClaimTimes(
            once.patience_seconds,
            once.write_delay_seconds,
            once.renewal_seconds,
            once.resend_seconds,
        )
        self.slot_manager = SlotManager(
            control.key_values,
            control.vms,
            control.directory,
            control.own,
            times,
            clock.now(),
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP routes of the role."""
        app.router.add_post("/run", self.run_handler.serve)
        if self.weight_server is not None:
            self.weight_server.add_routes(app)

    def start(self) -> None:
        """Start the background tasks of the role."""
        self.control.start(self.control.heartbeats.run())
        self.control.start(self.lag_throttle.run())
        if self.deployer is not None:
            self.control.start(self.deployer.run())
            self.control.start(self.check_engine(self.deployer))
        if self.slot_manager is not None:
            self.control.start(self.slot_manager.follow_table())
            self.control.start(self.slot_manager.run_renewals())

    async def check_engine(self, deployer: ReleaseDeployer) -> None:
        """Poll the active release of the engine until cancelled."""
        while True:
            if not deployer.orders.lock.locked():
                before = self.control.own.member.release
                await deployer.orders.read_state()
                if self.control.own.member.release != before:
                    self.control.heartbeats.send_now()
                deployer.redeploy_if_lost()
            await asyncio.sleep(ENGINE_CHECK_SECONDS)

    def active_release(self) -> str:
        """Return the hexadecimal digest of the active release; empty for none."""
        return self.control.own.member.release.hex()

    def count_answer_bytes(self, size: int) -> None:
        """Charge the bytes of an answer to the upload rate limit, ahead of weight transfers.

        Also reports the number of running requests to the lag throttle.
        """
        self.upload.charge(size, clock.now())
        self.lag_throttle.live_requests = self.gate.running

    def handle_crash(self) -> None:
        """Forget the release of the crashed engine until the engine reports its state again."""
        if self.deployer is not None:
            self.deployer.orders.set_state(None)
            self.control.heartbeats.send_now()

    def status(self) -> dict[str, Any]:
        """Return the role's own section of /admin/status."""
        report: dict[str, Any] = {"load": self.gate.load()}
        if self.deployer is not None:
            report["progress"] = self.deployer.progress()
        return report

    def is_ready(self) -> bool:
        """Return True if this process accepts requests."""
        return not self.gate.closed and (not self.is_engine or bool(self.active_release()))

    async def drain(self) -> None:
        """Refuse new requests, wait for running ones and release the held slots."""
        self.gate.close()
        if self.slot_manager is not None:
            self.slot_manager.leaving = True
        self.control.own.update(status=MemberStatus.LEAVING)
        self.control.heartbeats.send_now()
        LOG.info("drain.started", in_flight=self.gate.running)
        times = DrainTimes.begun(clock.now(), self.control.settings.shutdown_seconds, 0.0)
        self.run_handler.drain.begin(times)
        await asyncio.sleep(ANNOUNCE_SECONDS)
        while clock.now() < times.answers_at and not self.gate.is_empty():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.run_handler.drain.wait_until_answered()
        if self.slot_manager is not None:
            await self.slot_manager.release(self.slot_manager.held_slots())
        await self.unpooled_session.close()
        LOG.info("drain.ended", in_flight=self.gate.running)
