"""The entry role: wiring of its parts and tasks."""

import asyncio
import contextlib
import time
from collections import Counter
from typing import Any

from aiohttp import web

from .. import metrics
from ..control import ControlPlane
from ..data import Configuration
from ..logs import get_logger
from ..membership.gossip import Gossiper
from ..membership.registrar import SWEEP_SECONDS, Registrar
from ..requests.dispatch import Dispatcher
from ..requests.endpoints import EndpointViews
from ..requests.poison import PoisonList
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
WATCH_KEY = "configuration watch"
IMMEDIATE_REPORT_SECONDS = 0.3
DRAIN_POLL_SECONDS = 0.05
ANNOUNCE_SECONDS = 1.0


class EntryRole:
    """One entry process.

    Attributes:
      control: Parts that both roles share.
      registrar: Receives heartbeats.
      gossiper: Spreads news to other entry processes.
      front: Takes requests of callers.
    """

    def __init__(self, control: ControlPlane) -> None:
        self.control = control
        settings, directory, own = control.settings, control.directory, control.own
        self.poison = PoisonList()
        self.registrar = Registrar(
            directory, own, settings.membership, control.heartbeats.on_revision
        )
        self.gossiper = Gossiper(
            control.session, directory, own, control.heartbeats.on_revision, self.poison.note
        )
        self.state = EntryState(control.follower, own)
        self.dispatcher = Dispatcher(
            control.session,
            EndpointViews(directory),
            settings.entry.policy,
            settings.entry.retry_budget_ratio,
            self.poison,
            self.report_crash,
        )
        self.front = Front(settings, self.state, directory, self.dispatcher)
        control.server.handle(Heartbeat, self.registrar.handle_heartbeat)
        control.server.handle(ShortHeartbeat, self.registrar.handle_short_heartbeat)
        control.server.handle(Gossip, self.gossiper.handle_gossip)
        control.server.handle(DirectorySummary, self.gossiper.handle_summary)
        control.follower.listeners.append(self.spread_configuration)

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the role to an application."""
        self.front.add_routes(app)

    def start(self) -> None:
        """Start the tasks of the role."""
        own = self.control.own.member
        self.control.directory.merge(own, time.monotonic())
        self.control.start(self.control.heartbeats.run())
        self.control.start(self.gossiper.run_pushes())
        self.control.start(self.gossiper.run_summaries())
        self.control.start(self.run_sweeps())
        follower = self.control.follower
        self.control.start(follower.follow(self.control.key_values, self.is_watcher))

    async def run_sweeps(self) -> None:
        """Look for silent members until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.control.directory.merge(self.control.own.member, time.monotonic())
            self.registrar.sweep(time.monotonic())
            self.count_members()

    def count_members(self) -> None:
        """Set the gauge of known members."""
        members = self.control.directory.members.values()
        counts = Counter((item.kind, item.status) for item in members)
        for kind in MemberKind:
            for status in MemberStatus:
                gauge = metrics.MEMBERS.labels(kind.value, status.value)
                gauge.set(counts[kind, status])

    def is_watcher(self) -> bool:
        """Return True where this process is one of the few that watch the configuration."""
        watchers = self.control.directory.ring.successors(WATCH_KEY, WATCHERS)
        return self.control.own.member.vm in watchers

    def spread_configuration(self, configuration: Configuration) -> None:
        """Push a configuration that came into force to others."""
        self.gossiper.note_revision()
        offer = self.control.follower.own_offer()
        for member in list(self.control.directory.members.values()):
            is_endpoint = member.kind is MemberKind.ENDPOINT
            if is_endpoint and self.registrar.is_responsible(member.vm):
                self.control.start(self.push(member.address, offer))

    async def push(self, address: str, offer: ConfigurationOffer) -> None:
        """Offer a configuration to one process; where that fails its heartbeat asks for it."""
        await call(self.control.session, address, offer, Acknowledgement)

    async def report_crash(self, crash: Crash) -> None:
        """Tell other entry processes about a crash before the caller can resend."""
        news = Gossip(
            sender=self.control.own.member.address,
            revision=self.control.own.member.revision,
            suspects=(crash,),
        )
        self.gossiper.note_crash(crash)
        with contextlib.suppress(asyncio.TimeoutError):
            await wait_at_most(self.gossiper.push_wide(news), IMMEDIATE_REPORT_SECONDS)

    def status(self) -> dict[str, Any]:
        """Return what operators see besides the members."""
        return {"heard_revisions": self.registrar.revisions}

    def is_ready(self) -> bool:
        """Return True where this process can serve callers."""
        return self.control.follower.configuration.revision > 0 and not self.state.leaving

    async def drain(self) -> None:
        """Leave: out of the address answers at once, then serve until callers have gone."""
        self.state.leaving = True
        self.control.own.change(status=MemberStatus.LEAVING)
        self.control.directory.merge(self.control.own.member, time.monotonic())
        self.control.heartbeats.wake()
        LOG.info("drain.started", in_flight=self.front.in_flight)
        kept_until = time.monotonic() + self.control.settings.entry.address_ttl_seconds
        limit = time.monotonic() + self.control.settings.shutdown_seconds
        await asyncio.sleep(ANNOUNCE_SECONDS)
        while time.monotonic() < limit and (self.front.in_flight or time.monotonic() < kept_until):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        LOG.info("drain.ended", in_flight=self.front.in_flight)
