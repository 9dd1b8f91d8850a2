"""The entry role: builds its components and runs its tasks."""

import asyncio
import contextlib
from collections import Counter
from typing import Any

from aiohttp import web

from .. import clock, metrics
from ..control import ControlPlane
from ..data import Configuration
from ..drain_times import DrainTimes
from ..logs import get_logger
from ..membership.gossip import Gossiper
from ..membership.registrar import SWEEP_SECONDS, Registrar
from ..requests.dispatch import Dispatcher
from ..requests.endpoints import EndpointViews
from ..requests.quarantine import CrashRegistry
from ..schema.messages import (
    Acknowledgement,
    ConfigurationOffer,
    Crash,
    DirectorySummary,
    Gossip,
    Heartbeat,
    MemberKind,
    MemberStatus,
    ShortHeartbeat,
)
from ..waiting import wait_at_most
from ..wire.rpc import call
from .front import Front
from .state import EntryState

LOG = get_logger(__name__)
WATCHERS = 5
"""Entry processes that watch the key-value service; the others get changes by gossip."""
WATCH_KEY = "configuration watch"
"""Key whose successors on the hash ring are the watchers."""
CRASH_REPORT_SECONDS = 0.3
"""Longest wait for other entry processes to get a crash report, before the caller is answered."""
ANNOUNCE_SECONDS = 1.0
"""Time for the leaving status to reach the other processes before the drain may end."""


class EntryRole:
    """Components and tasks of one entry process.

    Attributes:
      control: Components that both roles of the proxied mode share.
      crash_registry: Requests that crashed backends.
      registrar: Receives heartbeats and detects failed members.
      gossiper: Exchanges member records, revisions and crashes with other entry processes.
      state: Workspace weights and drain state.
      dispatcher: Sends requests to endpoints.
      front: Serves the HTTP requests of callers.
    """

    def __init__(self, control: ControlPlane) -> None:
        self.control = control
        settings, directory, own = control.settings, control.directory, control.own
        self.crash_registry = CrashRegistry()
        self.registrar = Registrar(
            directory, own, settings.membership, control.heartbeats.on_revision
        )
        self.gossiper = Gossiper(
            control.session,
            directory,
            own,
            control.heartbeats.on_revision,
            self.crash_registry.record,
        )
        self.state = EntryState(control.follower, own)
        self.dispatcher = Dispatcher(
            control.session,
            EndpointViews(directory),
            settings.entry.policy,
            settings.entry.retry_budget_ratio,
            self.crash_registry,
            self.report_crash,
        )
        self.front = Front(settings, self.state, directory, self.dispatcher)
        control.server.handle(Heartbeat, self.registrar.handle_heartbeat)
        control.server.handle(ShortHeartbeat, self.registrar.handle_short_heartbeat)
        control.server.handle(Gossip, self.gossiper.handle_gossip)
        control.server.handle(DirectorySummary, self.gossiper.handle_summary)
        control.follower.listeners.append(self.push_configuration)

    def add_routes(self, app: web.Application) -> None:
        """Add the HTTP routes of the role."""
        self.front.add_routes(app)

    def start(self) -> None:
        """Start the background tasks of the role."""
        own = self.control.own.member
        self.control.directory.merge(own, clock.now())
        self.control.start(self.control.heartbeats.run())
        self.control.start(self.gossiper.run_pushes())
        self.control.start(self.gossiper.run_anti_entropy())
        self.control.start(self.run_sweeps())
        follower = self.control.follower
        self.control.start(follower.follow(self.control.key_values, self.is_watcher))

    async def run_sweeps(self) -> None:
        """Mark members without recent heartbeats as suspect or gone until cancelled.

        Each sweep also updates this process's own record and the gauge of known members.
        """
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.control.directory.merge(self.control.own.member, clock.now())
            self.registrar.sweep(clock.now())
            self.count_members()

    def count_members(self) -> None:
        """Update the gauge of known members."""
        members = self.control.directory.members.values()
        counts = Counter((item.kind, item.status) for item in members)
        for kind in MemberKind:
            for status in MemberStatus:
                gauge = metrics.MEMBERS.labels(kind.value, status.value)
                gauge.set(counts[kind, status])

    def is_watcher(self) -> bool:
        """Return True if this process is one of the WATCHERS of the configuration."""
        watchers = self.control.directory.ring.successors(WATCH_KEY, WATCHERS)
        return self.control.own.member.vm in watchers

    def push_configuration(self, configuration: Configuration) -> None:
        """Announce a new configuration: by gossip to entry processes, directly to endpoints.

        Each entry process offers it to the endpoints that it is a registrar of.
        """
        self.gossiper.queue_revision()
        offer = self.control.follower.current_offer()
        for member in list(self.control.directory.members.values()):
            is_endpoint = member.kind is MemberKind.ENDPOINT
            if is_endpoint and self.registrar.is_responsible(member.vm):
                self.control.start(self.offer_configuration(member.address, offer))

    async def offer_configuration(self, address: str, offer: ConfigurationOffer) -> None:
        """Offer a configuration to one process.

        A failure is ignored: the reply to the next heartbeat makes the process ask for it.
        """
        await call(self.control.session, address, offer, Acknowledgement)

    async def report_crash(self, crash: Crash) -> None:
        """Report a crash to other entry processes before the caller can resend the request."""
        report = Gossip(
            sender=self.control.own.member.address,
            revision=self.control.own.member.revision,
            suspects=(crash,),
        )
        self.gossiper.queue_crash(crash)
        with contextlib.suppress(asyncio.TimeoutError):
            await wait_at_most(self.gossiper.push_urgent(report), CRASH_REPORT_SECONDS)

    def status(self) -> dict[str, Any]:
        """Return the role's own section of /admin/status."""
        return {"heard_revisions": self.registrar.revisions}

    def is_ready(self) -> bool:
        """Return True if a configuration is in force and this process is not draining."""
        return self.control.follower.configuration.revision > 0 and not self.state.leaving

    async def drain(self) -> None:
        """Announce that this process leaves, and serve on for a limited time.

        New requests are refused once the address TTL has passed. The drain ends when none is in
        flight; what is left shortly before shutdown_seconds is answered that it may have run.
        """
        settings, drain = self.control.settings, self.front.drain
        ttl_seconds = settings.entry.address_ttl_seconds
        times = DrainTimes.begun(clock.now(), settings.shutdown_seconds, ttl_seconds)
        drain.begin(times)
        self.state.leaving = True
        self.control.own.update(status=MemberStatus.LEAVING)
        self.control.directory.merge(self.control.own.member, clock.now())
        self.control.heartbeats.send_now()
        LOG.info("drain.started", in_flight=drain.count)
        await asyncio.sleep(max(ANNOUNCE_SECONDS, times.closes_at - clock.now()))
        await drain.wait_until_answered()
        LOG.info("drain.ended", in_flight=drain.count)
