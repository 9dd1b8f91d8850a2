"""Reports to entry processes what the engine on this VM holds and how many requests it has.

With many entry processes each knows the load that the others put on an engine late or in part, and
sends requests to engines that are full; the engine itself knows all of its requests. And its
registration in the store shows weights that it has loaded a second or two late.
"""

import asyncio
import math
from collections.abc import Callable

from returns.result import Success

from .. import clock
from ..data import HeldWeights
from ..direct.broadcast_socket import DATAGRAM_OVERHEAD_BYTES
from ..direct.engine_notices import loaded_notice, requests_report
from ..platform.weights import EngineReport, LocalEngine
from ..schema.settings import DirectSettings
from ..wire.codec import encode
from .fetching import ChunkFetcher
from .notices import MAXIMUM_ENTRIES, send_datagrams

POLL_SECONDS = 0.1
"""Interval at which the engine is asked, and shortest time between two reports of its requests."""
UNCHANGED_SECONDS = 0.5
"""Shortest time between two reports of requests that have not changed."""
LOADED_NOTICES = 3
"""How often loaded weights are announced, as datagrams may be lost."""
LOADED_INTERVAL_SECONDS = 0.3
"""Time between two announcements of the same weights."""


class EngineReporter:
    """Sends reports, those of requests within the allowed rate of messages.

    Attributes:
      engine: Port to the engine.
      fetcher: Lists the entry processes.
      direct: Section "direct" of the settings.
      engines: Returns the number of engines in the region. Each entry process of the region
        receives the reports of all of them.
      sent_requests: Requests in the last report; None before the first.
      sent_at: When it was sent, monotonic.
      next_report_at: When the allowed rate permits the next one, monotonic.
      announced: Weights that were last announced.
      announcements: How often they were announced.
      announced_at: When they last were, monotonic.
    """

    def __init__(
        self,
        engine: LocalEngine,
        fetcher: ChunkFetcher,
        direct: DirectSettings,
        engines: Callable[[], int],
    ) -> None:
        self.engine = engine
        self.fetcher = fetcher
        self.direct = direct
        self.engines = engines
        self.sent_requests: int | None = None
        self.sent_at = -math.inf
        self.next_report_at = -math.inf
        self.announced: tuple[HeldWeights, ...] = ()
        self.announcements = 0
        self.announced_at = -math.inf

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            result = await self.engine.report()
            if isinstance(result, Success):
                report, now = result.unwrap(), clock.now()
                self.announce_loaded(report, now)
                self.report_requests(report.running + report.queued, now)
            await asyncio.sleep(POLL_SECONDS)

    def announce_loaded(self, report: EngineReport, now: float) -> None:
        """Announce weights that the engine has loaded to the entry processes, near ones first."""
        if report.is_busy:
            return
        if report.weights != self.announced:
            self.announced, self.announcements = report.weights, 0
        elif now - self.announced_at < LOADED_INTERVAL_SECONDS:
            return
        if self.announcements >= LOADED_NOTICES:
            return
        self.announcements += 1
        self.announced_at = now
        entries = self.fetcher.entries_for(self.direct.engine)[:MAXIMUM_ENTRIES]
        for weights in self.announced:
            notice = loaded_notice(self.direct.engine, weights, report.born_unix_ms)
            send_datagrams(encode(notice), entries)

    def report_requests(self, requests: int, now: float) -> None:
        """Report the requests at the engine to the entry processes of the region."""
        is_repeated = now - self.sent_at >= UNCHANGED_SECONDS
        if now < self.next_report_at or (requests == self.sent_requests and not is_repeated):
            return
        self.sent_requests, self.sent_at = requests, now
        payload = encode(requests_report(self.direct.engine, requests))
        entries = self.fetcher.entries_in_region()
        send_datagrams(payload, entries)
        self.next_report_at = now + interval_seconds(
            len(payload) + DATAGRAM_OVERHEAD_BYTES,
            len(entries),
            self.engines(),
            self.direct.pulse_bytes_per_second,
        )


def interval_seconds(
    report_bytes: int, entries: int, engines: int, bytes_per_second: float
) -> float:
    """Return the time between two reports of an engine.

    Neither this process, which sends to all these entry processes, nor one of them, which receives
    from all these engines, exceeds the allowed rate.
    """
    return max(POLL_SECONDS, report_bytes * max(entries, engines) / bytes_per_second)
