"""Grants of sends to backends that name a limit or are cold, asked of the owner of the limit.

Questions, answers and state broadcasts carry what their sender knows of limits, with its age, and
for how long a limited backend is cold.
"""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from .. import clock
from ..logs import get_logger
from ..placement.backend_notices import IncarnationNotices, NoticeBook
from ..schema.messages import LimitReply, LimitRequest, Pulse, ReportedLimit
from .entry_peers import EntryPeer
from .limit_owners import Readiness, is_candidate, is_owner, may_still_own, owner_of
from .reach import HALF
from .send_limiter import SendLimiters
from .silent_owners import REPLY_SECONDS, SilentOwners

LOG = get_logger(__name__)
UNANSWERED_SECONDS = 1.0
"""Time after which an owner that has not answered is asked again."""
NOT_OWNER_SECONDS = 0.3
"""Time after which to ask again if no process owns the limit, or the one that was asked does not:
the views of the processes differ for a moment."""
HEALED_SECONDS = 1.2
"""Time after an even split for which one half is still granted: the other owner has sent
a broadcast by then."""
MAXIMUM_PROBED = 2
"""Better processes up to which this one finds out whether they are there, when it is asked in their
place. It is asked so only after others have found the better ones silent."""
PROBED_BACKEND = 0
"""Name in questions that only ask whether a process is there; no incarnation has it."""
MAXIMUM_REPORTS = 64
"""Limits in a full broadcast; the latest ones."""
MILLISECONDS = 1000
THOUSAND_SECONDS = 1000.0
MAXIMUM_PER_THOUSAND_SECONDS = 2**53
MAXIMUM_MILLISECONDS = 2**32 - 1


@dataclass(frozen=True, slots=True)
class Peers:
    """The other entry processes, as this one sees them.

    Attributes:
      own: Control address of this process.
      by_control: Peers by control address.
      is_sampled: Returns True if each broadcast reaches a sample of the peers only.
      send: Sends a message to the process with a control address.
      share: Returns the share of each shared amount that this process may grant, by the present
        time and the time from which on messages of peers count.
    """

    own: str
    by_control: dict[str, EntryPeer]
    is_sampled: Callable[[], bool]
    send: Callable[[Pulse, str], None]
    share: Callable[[float, float], float]


class LimitGrants:
    """Asks for sends to backends that name a limit, and grants them where this process owns it.

    Attributes:
      notices: What backends have said of themselves.
      peers: The other entry processes.
      readiness: Since when this process may own limits.
      limiters: Sends that this process has granted.
      silent: Processes that were asked and have not answered or sent anything since.
      partial_at: When this process last found that it may not grant whole limits, monotonic.
      logged_share: Share of the limits that it may grant by the last log line.
      pending: Called with the time to wait, by the number of the question.
    """

    def __init__(self, notices: NoticeBook, peers: Peers) -> None:
        self.notices = notices
        self.peers = peers
        self.readiness = Readiness()
        self.limiters = SendLimiters()
        self.silent = SilentOwners()
        self.partial_at = -math.inf
        self.logged_share = 1.0
        self.pending: dict[int, Callable[[float], None]] = {}
        # An answer to an earlier incarnation of this process must not match a question of this one.
        self.number = random.randrange(2**30)

    def observe(self, is_ready: bool, now: float) -> None:
        """Record whether this process is ready; called with each full broadcast.

        One that was cut off must settle again, as its view of the peers is old. With sampled
        broadcasts all would continue to ask it meanwhile, so it grants at once after a cut.
        """
        share = self.peers.share(now, -math.inf)
        if share != self.logged_share:
            LOG.info("limits.share", share=share)
            self.logged_share = share
        is_connected = self.peers.is_sampled() or share > 0
        self.readiness.observe(is_ready and is_connected, now)

    async def admits(self, notices: IncarnationNotices) -> bool:
        """Return True if a request may be sent to a backend now.

        Otherwise the backend is passed over until it is time to ask again.
        """
        if not notices.is_limited(clock.now()):
            return True
        notices.awaits_grant = True
        try:
            wait = await self.reply_to(notices)
        finally:
            notices.awaits_grant = False
        now = clock.now()
        notices.limited_until = now + wait
        return wait == 0 or not notices.is_limited(now)

    async def reply_to(self, notices: IncarnationNotices) -> float:
        """Ask the owner of a limit and return its reply, as `ask` passes it on."""
        reply: asyncio.Future[float] = asyncio.get_running_loop().create_future()

        def on_reply(wait: float) -> None:
            if not reply.done():
                reply.set_result(wait)

        number = self.ask(notices, clock.now(), on_reply)
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                return await reply
        except TimeoutError:
            return self.unanswered_seconds()
        finally:
            self.pending.pop(number, None)

    def unanswered_seconds(self) -> float:
        """Return the time after which to ask again if the owner has not answered.

        With sampled broadcasts the next question goes to another process.
        """
        return NOT_OWNER_SECONDS if self.peers.is_sampled() else UNANSWERED_SECONDS

    def ask(
        self, notices: IncarnationNotices, now: float, on_reply: Callable[[float], None]
    ) -> int:
        """Ask the owner of a limit whether a request may be sent.

        Args:
          notices: Notices of the backend.
          now: Present time, monotonic, in seconds.
          on_reply: Called, possibly at once, with 0 if it may be sent, or with the time after
            which to ask again, in seconds.

        Returns:
          The number of the question.
        """
        self.number = (self.number + 1) % 2**31
        owner = self.owner(notices.name, now)
        if owner is None:
            on_reply(NOT_OWNER_SECONDS)
        elif owner == self.peers.own:
            on_reply(self.grant(notices, self.peers.own, now))
        else:
            question = LimitRequest(self.number, notices.name)
            known = (report_of(notices, now),)
            message = Pulse(partial=True, limits=known, limit_requests=(question,))
            self.peers.send(message, owner)
            self.silent.record_asked(owner, now)
            self.pending[self.number] = on_reply
        return self.number

    def owner(self, name: int, now: float) -> str | None:
        """Return the control address of the process that owns a limit; None if none may.

        With sampled broadcasts, one that has just not answered is passed over.
        """
        is_sampled = self.peers.is_sampled()
        candidates = [
            peer.control
            for peer in self.peers.by_control.values()
            if is_candidate(peer, is_sampled, now)
            and not (is_sampled and self.silent.is_passed_over(peer, now))
        ]
        if self.readiness.is_settled(now):
            candidates.append(self.peers.own)
        return owner_of(name, candidates)

    def grant(self, notices: IncarnationNotices, asker: str, now: float) -> float:
        """Grant a send if this process owns the limit and there is one now.

        Returns:
          0 if the process that asks may send now, else the time after which to ask again.
        """
        if not notices.is_limited(now):
            return 0.0
        if not self.readiness.is_settled(now) or self.has_rival(notices.name, now):
            return NOT_OWNER_SECONDS
        share = self.share(now)
        if not share:
            return NOT_OWNER_SECONDS
        per_second = share * notices.limit_per_second(now)
        return self.limiters.acquire(notices.name, per_second, asker, now)

    def share(self, now: float) -> float:
        """Return the share of limits that this process may grant.

        Messages of peers from before it announced itself do not show that they know of it.
        """
        if self.peers.is_sampled():
            return self.peers.share(now, -math.inf)
        share = self.peers.share(now, self.readiness.announced_at)
        if share < 1.0:
            self.partial_at = now
        elif now - self.partial_at < HEALED_SECONDS:
            return HALF
        return share

    def has_rival(self, name: int, now: float) -> bool:
        """Return True if a better process than this one may own a limit.

        A worse one is a rival too until it is known to have received that this process owns it.
        With sampled broadcasts, this process replaces better ones that have not answered it for
        long, and goes on asking whether they are there.
        """
        is_sampled = self.peers.is_sampled()
        better = [
            peer
            for peer in self.peers.by_control.values()
            if may_still_own(peer, is_sampled, now)
            and not (self.is_known_to(peer) and is_owner(name, self.peers.own, [peer.control]))
        ]
        if not better or not is_sampled:
            return bool(better)
        present = [peer for peer in better if not self.silent.is_replaced(peer, now)]
        if len(present) <= MAXIMUM_PROBED:
            self.probe([peer for peer in better if self.silent.is_probe_due(peer, now)], now)
        return bool(present)

    def is_known_to(self, peer: EntryPeer) -> bool:
        """Return True if a peer has been in contact since this process announced itself.

        With sampled broadcasts the registrations decide, so that no announcement is needed.
        """
        return self.peers.is_sampled() or peer.received_at > self.readiness.announced_at

    def probe(self, peers: list[EntryPeer], now: float) -> None:
        """Ask peers whether they are there."""
        question = LimitRequest(0, PROBED_BACKEND)
        for peer in peers:
            self.peers.send(Pulse(partial=True, limit_requests=(question,)), peer.control)
            self.silent.record_asked(peer.control, now)

    def receive(self, message: Pulse, source: str, now: float) -> None:
        """Apply a question or an answer of another process.

        Args:
          message: The message.
          source: Control address of its sender.
          now: Present time, monotonic, in seconds.
        """
        self.silent.record_heard(source)
        self.record_reports(message.limits, now)
        for question in message.limit_requests:
            self.answer(question, source, now)
        for reply in message.limit_replies:
            on_reply = self.pending.pop(reply.number, None)
            if on_reply is not None:
                on_reply(reply.wait_ms / MILLISECONDS)

    def answer(self, question: LimitRequest, source: str, now: float) -> None:
        """Answer a question of another process."""
        notices = self.notices.named(question.backend)
        wait = NOT_OWNER_SECONDS if notices is None else self.grant(notices, source, now)
        known = () if notices is None else (report_of(notices, now),)
        reply = LimitReply(question.number, math.ceil(wait * MILLISECONDS))
        self.peers.send(Pulse(partial=True, limits=known, limit_replies=(reply,)), source)

    def record_reports(self, reports: tuple[ReportedLimit, ...], now: float) -> None:
        """Record the limits that another process knows."""
        for report in reports:
            notices = self.notices.named(report.backend)
            if notices is None:
                continue
            per_second = report.per_thousand_seconds / THOUSAND_SECONDS
            notices.limit.record_report(
                per_second if report.limited else math.inf, now - report.age_ms / MILLISECONDS
            )
            notices.warm_up.record_report(report.cold_ms / MILLISECONDS, now)

    def reports(self, now: float) -> tuple[ReportedLimit, ...]:
        """Return the limits of which the peers are told."""
        known = [
            item for item in self.notices.by_incarnation.values() if item.limit.is_announced(now)
        ]
        known.sort(key=lambda item: -item.limit.known_at)
        return tuple(report_of(item, now) for item in known[:MAXIMUM_REPORTS])


def report_of(notices: IncarnationNotices, now: float) -> ReportedLimit:
    """Return the report on a limit, with its age, and on the warm-up.

    A process without a limit reports the maximum age: monotonic clocks differ between machines, so
    its time 0 could look newer than an observation of another process.
    """
    limit = notices.limit
    age_ms = MAXIMUM_MILLISECONDS
    if limit.known_at:
        age_ms = math.ceil((now - limit.known_at) * MILLISECONDS)
    cold_ms = round(notices.warm_up.certain_seconds(now) * MILLISECONDS)
    per_thousand = limit.per_second * THOUSAND_SECONDS if limit.is_limited else 0.0
    return ReportedLimit(
        notices.name,
        limit.is_limited,
        round(min(MAXIMUM_PER_THOUSAND_SECONDS, per_thousand)),
        min(MAXIMUM_MILLISECONDS, age_ms),
        min(MAXIMUM_MILLISECONDS, cold_ms),
    )
