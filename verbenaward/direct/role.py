"""The entry role where backends are reached at their own addresses: wiring and tasks."""

import asyncio
import time

from aiohttp import web
from returns.result import Success

from ..configuration.settings import host_of, port_of
from ..knowledge.follower import PeerFollower, StoreFollower
from ..knowledge.handing_on import ITEMS_PATH, WAIT_QUERY, ask_entry, message_of
from ..knowledge.items import Changes, ItemView
from ..logs import get_logger
from ..platform.names import DIRECTORY_PATH, ENTRY_PREFIX, EVERYTHING, READINESS_PATH
from ..schema.messages import Pulse
from ..schema.settings import DirectSettings, Settings
from ..shared_calls import answer_metrics, leasing_store, platform_session
from ..wire.codec import encode
from .addresses import addresses_for
from .budget import SharedRetryBudget
from .chunks import ChunkRelay
from .fleet import Fleet
from .forwarding import Forwarder
from .front import Front
from .placing import Placer
from .poison import CrashTracker
from .request_log import RequestLog
from .sending import backend_session
from .state_exchange import StateExchange

LOG = get_logger(__name__)
LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
WAIT_STEP_SECONDS = 0.03
LONGEST_WAIT_SECONDS = 10.0
FRESH_SECONDS = 3.5
"""Age of the store's last answer up to which others may rely on what a process knows."""
NOTICE_SECONDS = 3.0
"""Time after the order to stop in which requests are still taken: callers keep addresses."""
LAST_SECONDS = 0.5
"""Part of the grace that is left for ending the process."""
DRAIN_POLL_SECONDS = 0.02
KEEPALIVE_SECONDS = 75.0
BACKLOG = 512
HEADER_BYTES = 16 * 1024
STORE_SHARE_SECONDS = 0.5
CELL_SECONDS = 0.5


class DirectEntryRole:
    """An entry process.

    Attributes:
      settings: Settings of the process.
      view: Items of the store.
      fleet: What they mean.
      entries: The other entry processes.
      front: Takes requests.
    """

    def __init__(self, settings: Settings, direct: DirectSettings) -> None:
        self.settings = settings
        self.direct = direct
        self.session = platform_session()
        self.backends = backend_session()
        self.store = leasing_store(settings, self.session)
        self.view = ItemView()
        self.fleet = Fleet(self.view)
        self.crashes = CrashTracker()
        self.follower = StoreFollower(
            self.store, EVERYTHING, self.view, lambda: self.exchange.is_watcher(time.monotonic())
        )
        self.peer_follower = PeerFollower(self.view, self.follower, self.ask_peers)
        self.exchange = StateExchange(
            settings,
            self.view,
            self.fleet,
            self.crashes,
            self.is_ready,
            self.peer_follower.note_revision,
            lambda: self.follower.checked_at,
        )
        self.budget = SharedRetryBudget(
            direct.retry_ratio, direct.retry_extra, direct.retry_window_seconds
        )
        placer = Placer(self.fleet, settings.zone, direct.zones, direct.version_seconds)
        self.front = Front(
            self.fleet,
            Forwarder(
                self.backends,
                placer,
                self.budget,
                self.crashes,
                RequestLog(),
                self.exchange.note_load_change,
            ),
        )
        self.relay = ChunkRelay(settings, self.fleet, self.exchange, self.session, self.store)
        self.runners: list[web.AppRunner] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen and start all tasks."""
        await self.exchange.open()
        await self.listen(self.direct.front, self.front_application())
        await self.listen(self.direct.readiness, self.readiness_application())
        await self.listen(self.direct.directory, self.directory_application())
        await self.listen(self.settings.listen, self.control_application())
        for work in (
            self.follower.run(),
            self.peer_follower.run(),
            self.exchange.run(),
            self.keep_registered(),
            self.watch_health(),
            self.keep_cell(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def listen(self, address: str, application: web.Application) -> None:
        """Serve an application at an address."""
        runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        site = web.TCPSite(
            runner, host_of(address), port_of(address), backlog=BACKLOG, reuse_address=True
        )
        await site.start()
        self.runners.append(runner)

    def front_application(self) -> web.Application:
        """Return the application that callers use."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.front.handle)
        return application

    def readiness_application(self) -> web.Application:
        """Return the application of the readiness check."""
        application = web.Application()
        application.router.add_get(READINESS_PATH, self.answer_readiness)
        return application

    def directory_application(self) -> web.Application:
        """Return the application that names entry addresses."""
        application = web.Application()
        application.router.add_get(DIRECTORY_PATH, self.answer_addresses)
        return application

    def control_application(self) -> web.Application:
        """Return the application that other processes use."""
        application = web.Application()
        application.router.add_get(ITEMS_PATH, self.answer_items)
        application.router.add_get("/metrics", answer_metrics)
        self.relay.add_routes(application)
        return application

    def is_ready(self) -> bool:
        """Return True where this process can serve requests."""
        return self.fleet.can_serve() and not self.front.leaving

    async def answer_readiness(self, request: web.Request) -> web.Response:
        """Answer the readiness check."""
        return web.Response(status=200 if self.is_ready() else 503)

    async def answer_addresses(self, request: web.Request) -> web.Response:
        """Answer which addresses a caller should use, and for how long."""
        pulses = self.exchange.ready_peers(time.monotonic())
        if self.is_ready():
            pulses.append(self.own_pulse())
        zone = request.query.get("zone", "")
        addresses = addresses_for(pulses, zone, self.direct.zones)
        if not addresses:
            return web.Response(status=503)
        ttl = self.direct.address_ttl_seconds
        return web.json_response({"addresses": list(addresses), "ttl_s": ttl})

    def own_pulse(self) -> Pulse:
        """Return what the directory needs to know of this process."""
        return Pulse(
            vm=self.settings.vm, zone=self.settings.zone, front=self.direct.front, ready=True
        )

    async def answer_items(self, request: web.Request) -> web.Response:
        """Hand on what this process knows of the store after a revision.

        The caller may name how long it waits for something new. An answer is given only while
        this process or another one hears from the store.
        """
        try:
            revision = int(request.match_info["revision"])
            wait_seconds = float(request.query.get(WAIT_QUERY, "0"))
        except ValueError:
            return web.Response(status=400)
        until = time.monotonic() + min(LONGEST_WAIT_SECONDS, wait_seconds)
        while self.view.revision <= revision and time.monotonic() < until:
            await asyncio.sleep(WAIT_STEP_SECONDS)
        if wait_seconds and not self.hears_from_store(time.monotonic()):
            return web.Response(status=503)
        return web.Response(body=encode(message_of(self.view.changes_after(revision))))

    def hears_from_store(self, now: float) -> bool:
        """Return True where what this process knows is fresh."""
        own = now - self.follower.checked_at
        return min(own, self.exchange.seconds_since_peer_check(now)) < FRESH_SECONDS

    async def ask_peers(self, revision: int) -> Changes | None:
        """Return what another entry process knows after a revision; None where nobody answers."""
        for control in self.exchange.peers_ahead_of(revision, time.monotonic())[:3]:
            changes = await ask_entry(self.session, control, revision, 0.0)
            if changes is not None:
                return changes
        return None

    async def keep_registered(self) -> None:
        """Keep the record of this process in the store until it leaves."""
        key = ENTRY_PREFIX + self.settings.listen
        value = self.exchange.own_record()
        while not self.front.leaving:
            result = await self.store.hold(key, value, LEASE_SECONDS)
            pause = RENEW_SECONDS if isinstance(result, Success) else STORE_SHARE_SECONDS
            await asyncio.sleep(pause)

    async def watch_health(self) -> None:
        """Keep the derived figures up to date."""
        while True:
            now = time.monotonic()
            if not self.follower.reachable:
                self.fleet.store_failed_at = now
            alive = sum(peer.is_alive(now) for peer in self.exchange.peers.values())
            self.budget.update_entry_count(alive + 1)
            self.relay.know_held()
            await asyncio.sleep(0.1)

    async def keep_cell(self) -> None:
        """Keep the cell of this process up to date."""
        while True:
            self.exchange.update_peer_group(time.monotonic())
            self.front.forwarder.placer.cell = self.exchange.peer_group
            await asyncio.sleep(CELL_SECONDS)

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Take settings that have changed; addresses stay until the next start."""
        self.settings, self.direct = settings, direct
        self.exchange.settings = self.relay.settings = settings
        placer = self.front.forwarder.placer
        placer.zone, placer.regions = settings.zone, direct.zones
        placer.version_seconds = direct.version_seconds
        self.budget.ratio, self.budget.extra = direct.retry_ratio, direct.retry_extra
        self.budget.window_seconds = direct.retry_window_seconds

    async def drain(self) -> None:
        """Leave: take requests for as long as callers keep addresses, then end the running ones."""
        if self.front.leaving:
            return
        started = time.monotonic()
        self.front.leaving = True
        self.exchange.leaving = True
        self.exchange.request_full_broadcast()
        LOG.info("entry.leaving", in_flight=self.front.in_flight)
        await self.store.release(ENTRY_PREFIX + self.settings.listen)
        await asyncio.sleep(max(0.0, started + NOTICE_SECONDS - time.monotonic()))
        self.front.closed = True
        for site in list(self.runners[0].sites):
            await site.stop()
        last = started + self.direct.grace_seconds - LAST_SECONDS
        while self.front.in_flight and time.monotonic() < last:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        LOG.info("entry.left", in_flight=self.front.in_flight)

    async def close(self) -> None:
        """End all tasks and connections."""
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        self.exchange.close()
        await self.backends.close()
        await self.session.close()
