"""The entry role of the direct mode: connects the modules of this package and runs their tasks."""

import asyncio
import contextlib
import time

from aiohttp import web
from aiohttp.helpers import DEFAULT_CHUNK_SIZE
from returns.result import Success

from .. import clock
from ..bounded_server import BoundedRunner, open_listener
from ..direct_shared import leasing_store, platform_session, serve_metrics
from ..distribution.relay import ChunkRelay
from ..distribution.relay_answers import RelayAnswers
from ..drain_times import DrainTimes
from ..draining import record_begin
from ..logs import get_logger
from ..metrics import RETRY_SHARE, WARMING_BACKENDS
from ..placement.connection_limits import Kind
from ..placement.fleet import Fleet
from ..placement.memory_budget import MemoryBudget, capacity_of
from ..placement.placer import Placer
from ..placement.regions import regions_of_host
from ..platform.key_value import Position
from ..platform.names import ALL_KEYS_PREFIX, DIRECTORY_PATH, ENTRY_PREFIX, READINESS_PATH
from ..replica.first_read import read_from_seeds, seed_controls
from ..replica.follower import PeerFetcher, StoreFollower
from ..replica.peer_transfer import (
    ERA_QUERY,
    FRESH_REPLICA_SECONDS,
    ITEMS_PATH,
    KEPT_PATH,
    WAIT_QUERY,
    changes_response,
    changes_to_message,
    fetch_changes,
    fetch_kept,
)
from ..replica.store_replica import Changes, StoreReplica
from ..schema.messages import Pulse
from ..schema.settings import DirectSettings, Settings
from .addresses import addresses_for
from .budget import SharedRetryBudget
from .budget_membership import BudgetMembership
from .connections import EntryConnections
from .crash_keeper import CrashKeeper
from .crash_tracker import CrashTracker
from .draining import drain_front
from .entry_peers import record_of
from .forwarding import Forwarder
from .front import Front
from .group_membership import GroupMembership
from .peer_table import STORE_DOWN_SECONDS
from .request_log import RequestLog
from .sending import backend_session
from .slow_readers import READ_BUFFER_BYTES
from .state_exchange import StateExchange
from .stored_crashes import StoredCrashes

LOG = get_logger(__name__)
LEASE_SECONDS = 6.0
"""Lease of this process's registration in the store."""
RENEWAL_SECONDS = 2.0
"""Interval at which the lease is renewed."""
LONG_POLL_STEP_SECONDS = 0.03
"""Interval at which a long poll looks for a newer revision."""
MAXIMUM_LONG_POLL_SECONDS = 10.0
REGISTRATION_RETRY_SECONDS = 0.5
"""Pause after a failed write of the registration."""
DERIVED_STATE_INTERVAL_SECONDS = 0.1
PEER_GROUP_INTERVAL_SECONDS = 0.5
"""Interval at which the peer group is recomputed."""


class DirectEntryRole:
    """An entry process.

    Attributes:
      settings: Settings of the process.
      replica: Local replica of the key-value store.
      fleet: Configuration, backends and weights versions derived from `replica`.
      exchange: State broadcasts to and from the other entry processes.
      membership: Keeps the peer group of this process up to date.
      memory: Limits the bytes held for callers and backends.
      front: Accepts requests of callers.
      registration_due: Set when the store was restored from a copy, which may lack the
        registration, and when this process leaves.
    """

    def __init__(self, settings: Settings, direct: DirectSettings) -> None:
        self.settings = settings
        self.direct = direct
        self.session = platform_session()
        self.memory = MemoryBudget(capacity_of(direct.memory_megabytes))
        self.backend_session = backend_session(self.memory.is_limited)
        self.store = leasing_store(settings, self.session)
        self.replica = StoreReplica()
        self.fleet = Fleet(self.replica, clock.now())
        self.fleet.use_zones(direct.zones)
        self.crashes = CrashTracker(
            lambda key, now: self.exchange.peers.is_appointed(key, now),
            lambda: self.announce_crashes(),
        )
        self.follower = StoreFollower(
            self.store,
            ALL_KEYS_PREFIX,
            self.replica,
            lambda: self.exchange.peers.is_watcher(clock.now()),
            lambda: self.exchange.request_full_broadcast(),
            lambda: read_from_seeds(self.session, seed_controls(settings.seeds, settings.listen)),
        )
        self.peer_fetcher = PeerFetcher(
            self.replica, self.follower, self.fetch_from_peers, self.fetch_kept_from_peers
        )
        self.budget = SharedRetryBudget(
            direct.retry_ratio,
            direct.retry_extra,
            direct.retry_window_seconds,
            clock.now(),
            time.time_ns(),
        )
        self.exchange = StateExchange(
            settings,
            self.replica,
            self.fleet,
            self.crashes,
            self.budget,
            self.is_ready,
            self.peer_fetcher.observe,
            lambda: not self.follower.reachable,
        )
        self.crash_keeper = CrashKeeper(
            StoredCrashes(self.crashes, self.replica, self.exchange.peers), self.store
        )
        self.membership = GroupMembership(settings, self.fleet, self.exchange.peers)
        self.budget_membership = BudgetMembership(
            self.budget,
            self.replica,
            self.store,
            settings.listen,
            lambda: self.front.leaving,
        )
        placer = Placer(self.fleet, settings.zone, direct.zones, direct.version_seconds)
        log = RequestLog()
        self.connections = EntryConnections(log, self.memory)
        self.front = Front(
            self.fleet,
            Forwarder(
                self.backend_session,
                placer,
                self.budget,
                self.crashes,
                log,
                self.exchange.signal_load_change,
                self.exchange.limits.admits,
            ),
            self.memory,
        )
        self.front.forwarder.descriptor_missing = self.connections.record_shortage
        self.relay = ChunkRelay(
            settings, self.fleet, self.exchange.peers.entries, self.session, self.store
        )
        self.registration_due = asyncio.Event()
        self.replica.era_listeners.append(lambda _: self.registration_due.set())
        self.runners: list[web.AppRunner] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open all listeners and start all tasks."""
        await self.exchange.open()
        read_buffer = READ_BUFFER_BYTES if self.memory.is_limited else DEFAULT_CHUNK_SIZE
        await self.listen(self.direct.front, self.front_application(), Kind.CALLER, read_buffer)
        await self.listen(self.direct.readiness, self.readiness_application(), Kind.READINESS)
        await self.listen(self.direct.directory, self.directory_application(), Kind.DIRECTORY)
        await self.listen(self.settings.listen, self.control_application(), Kind.CONTROL)
        for work in (
            self.follower.run(),
            self.peer_fetcher.run(),
            self.exchange.run(),
            self.maintain_registration(),
            self.budget_membership.run(),
            self.crash_keeper.run(),
            self.update_derived_state(),
            self.maintain_peer_group(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def listen(
        self,
        address: str,
        application: web.Application,
        kind: Kind,
        read_buffer: int = DEFAULT_CHUNK_SIZE,
    ) -> None:
        """Serve an application at an address, with a read buffer for each connection."""
        runner = BoundedRunner(
            application,
            self.connections,
            kind,
            access_log=None,
            read_bufsize=read_buffer,
            shutdown_timeout=0.1,
            auto_decompress=False,
        )
        await open_listener(runner, address)
        self.runners.append(runner)

    def front_application(self) -> web.Application:
        """Return the application for requests of callers."""
        application = web.Application()
        application.router.add_route("*", r"/{path:[\s\S]*}", self.front.handle)
        application.on_response_prepare.append(record_begin)
        application.on_response_prepare.append(self.front.drain.announce_close)
        return application

    def readiness_application(self) -> web.Application:
        """Return the application of the readiness check."""
        application = web.Application()
        application.router.add_get(READINESS_PATH, self.answer_readiness)
        return application

    def directory_application(self) -> web.Application:
        """Return the application of the directory, which lists entry addresses for callers."""
        application = web.Application()
        application.router.add_get(DIRECTORY_PATH, self.answer_addresses)
        return application

    def control_application(self) -> web.Application:
        """Return the application for other processes: store items, metrics and weights."""
        application = web.Application()
        application.router.add_get(ITEMS_PATH, self.answer_items)
        application.router.add_get(KEPT_PATH, self.answer_kept)
        application.router.add_get("/metrics", serve_metrics)
        RelayAnswers(self.relay).add_routes(application)
        return application

    def announce_crashes(self) -> None:
        """Have new evidence of crashes sent to the peers and to the store at once."""
        self.exchange.request_full_broadcast()
        self.crash_keeper.changed.set()

    def is_ready(self) -> bool:
        """Return True if this process can serve requests."""
        is_full = self.connections.is_full(clock.now())
        return self.fleet.can_serve() and not self.front.leaving and not is_full

    async def answer_readiness(self, request: web.Request) -> web.Response:
        """Answer the readiness check."""
        return web.Response(status=200 if self.is_ready() else 503)

    async def answer_addresses(self, request: web.Request) -> web.Response:
        """Answer with the addresses that a caller should use, and their time to live."""
        entries = self.exchange.peers.ready(clock.now())
        if self.is_ready():
            entries.append(self.own_state())
        zone = request.query.get("zone", "")
        allowed = regions_of_host(self.fleet.routes(), request.query.get("name", ""))
        addresses = addresses_for(entries, zone, self.direct.zones, allowed)
        if not addresses:
            return web.Response(status=503)
        ttl = self.direct.address_ttl_seconds
        return web.json_response({"addresses": list(addresses), "ttl_s": ttl})

    def own_state(self) -> Pulse:
        """Return this process as the directory lists it; other fields are not filled in."""
        return Pulse(
            vm=self.settings.vm, zone=self.settings.zone, front=self.direct.front, ready=True
        )

    async def answer_items(self, request: web.Request) -> web.Response:
        """Answer with the entries of the store that changed after a position.

        A process of an older version names no era; it is taken to be the present one. The requester
        may ask for a long poll. That is answered with 503 while the replica is stale, so that
        nobody follows it.
        """
        try:
            era = int(request.query.get(ERA_QUERY, self.replica.era))
            position = Position(era, int(request.match_info["revision"]))
            wait_seconds = float(request.query.get(WAIT_QUERY, "0"))
        except ValueError:
            return web.Response(status=400)
        received_at = clock.now()
        until = received_at + min(MAXIMUM_LONG_POLL_SECONDS, wait_seconds)
        while self.replica.position <= position and clock.now() < until:
            await asyncio.sleep(LONG_POLL_STEP_SECONDS)
        if wait_seconds and not self.is_replica_fresh(clock.now()):
            return web.Response(status=503)
        changes = self.replica.changes_after(position)
        return changes_response(changes_to_message(changes, received_at, clock.now()))

    async def answer_kept(self, request: web.Request) -> web.Response:
        """Answer with what this process keeps from before a restore of the store."""
        now = clock.now()
        return changes_response(changes_to_message(self.replica.kept_changes(), now, now))

    def is_replica_fresh(self, now: float) -> bool:
        """Return True if the replica was lately known to be complete."""
        return self.exchange.peers.replica_age(now) < FRESH_REPLICA_SECONDS

    async def fetch_from_peers(self, position: Position) -> Changes | None:
        """Return the changes after a position from a peer that is ahead; None if none answers."""
        for control in self.exchange.peers.peers_ahead_of(position, clock.now())[:3]:
            changes = await fetch_changes(self.session, control, position, 0.0)
            if changes is not None:
                return changes
        return None

    async def fetch_kept_from_peers(self, checksum: int) -> Changes | None:
        """Return what a peer keeps that has this checksum; None if no peer answers."""
        for control in self.exchange.peers.peers_that_keep(checksum, clock.now())[:3]:
            changes = await fetch_kept(self.session, control, self.replica.era)
            if changes is not None:
                return changes
        return None

    async def maintain_registration(self) -> None:
        """Keep this process registered in the store until it leaves, then end the registration.

        A restored store is written to at once.
        """
        key = ENTRY_PREFIX + self.settings.listen
        value = record_of(self.settings, self.budget.incarnation)
        while not self.front.leaving:
            result = await self.store.keep_alive(key, value, LEASE_SECONDS)
            pause = RENEWAL_SECONDS if isinstance(result, Success) else REGISTRATION_RETRY_SECONDS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self.registration_due.wait()
            self.registration_due.clear()
        await self.store.end_lease(key)

    async def update_derived_state(self) -> None:
        """Periodically update what is derived from the store and the peers.

        Records outages of the store, applies the start deadlines of waiting streams, ends what is
        kept after a restore of the store, tells the retry budget the number of entry processes,
        closes connections of callers whose time has ended and starts fetching missing digests.
        """
        while True:
            now = clock.now()
            if not self.follower.reachable and self.exchange.peers.is_watcher(now):
                self.fleet.store_failed_at = now
                if self.exchange.peers.is_store_down(now):
                    self.replica.outage_until = now - STORE_DOWN_SECONDS
            # Timers of the event loop stand still while the machine is suspended.
            self.front.streams.limit_waiting(now)
            table = self.fleet.table
            self.connections.sweep(table.configuration.limits if table else None, now)
            self.replica.drop_kept_registrations(now)
            complete_until = now - self.exchange.peers.replica_age(now)
            self.replica.drop_kept_evacuations(complete_until, now)
            WARMING_BACKENDS.set(self.fleet.log_warm_ups(now))
            if self.replica.revision:
                self.budget.update_entry_count(len(self.exchange.peers.entries(now)))
                RETRY_SHARE.set(self.budget.fixed_share(now))
            self.front.forwarder.unread.drop_expired(now)
            self.front.forwarder.survivors.update(complete_until, now)
            self.relay.fetch_held_digests()
            self.relay.check_stored_digests()
            self.relay.find_unknown_versions()
            await asyncio.sleep(DERIVED_STATE_INTERVAL_SECONDS)

    async def maintain_peer_group(self) -> None:
        """Periodically recompute the peer group and pass it to the placer."""
        while True:
            self.membership.update(clock.now())
            self.front.forwarder.placer.peer_group = self.membership.group
            await asyncio.sleep(PEER_GROUP_INTERVAL_SECONDS)

    def reload(self, settings: Settings, direct: DirectSettings) -> None:
        """Apply changed settings; listen addresses change at the next start only."""
        self.settings, self.direct = settings, direct
        self.exchange.settings = settings
        self.relay.settings = self.relay.processes.settings = settings
        self.membership.settings = self.exchange.peers.settings = settings
        placer = self.front.forwarder.placer
        placer.zone, placer.regions = settings.zone, direct.zones
        self.fleet.use_zones(direct.zones)
        placer.version_seconds = direct.version_seconds
        self.budget.ratio, self.budget.extra = direct.retry_ratio, direct.retry_extra
        self.budget.window_seconds = direct.retry_window_seconds

    async def drain(self) -> None:
        """Leave gracefully before the process stops.

        Peers and the store are notified first. Requests are accepted while callers may have the
        address cached; then the listener closes and the requests in flight may finish. What is left
        shortly before the end of the grace period is answered that it may have run.
        """
        if self.front.leaving:
            return
        drain = self.front.drain
        drain.begin(DrainTimes.begun(clock.now(), self.direct.grace_seconds))
        self.exchange.leaving = True
        self.exchange.request_full_broadcast()
        LOG.info("entry.leaving", in_flight=drain.count)
        # The store may be slow to answer; the stop does not wait for it.
        self.registration_due.set()
        await drain_front(self.runners[0], drain)
        LOG.info("entry.left", in_flight=drain.count)

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()
        # Handlers of the runners start fetches, and the fetches use the sessions.
        await self.relay.close()
        self.exchange.close()
        await self.backend_session.close()
        await self.session.close()
