"""Reports the requests at the engine on this VM to the entry processes of the region.

With many entry processes each knows the load that the others put on an engine late or in part, and
sends requests to engines that are full. The engine itself knows all of its requests.
"""

import asyncio
from collections.abc import Callable

from returns.result import Success

from .. import clock
from ..direct.broadcast_socket import DATAGRAM_OVERHEAD_BYTES
from ..direct.engine_notices import requests_report
from ..platform.weights import LocalEngine
from ..schema.settings import DirectSettings
from ..wire.codec import encode
from .notices import send_datagrams

MINIMUM_INTERVAL_SECONDS = 0.1
"""Shortest time between two reports."""
UNCHANGED_INTERVAL_SECONDS = 0.5
"""Shortest time between two reports of an engine whose requests have not changed."""


class LoadReporter:
    """Sends reports, within the allowed rate of messages for senders and receivers.

    Attributes:
      engine: Port to the engine.
      direct: Section "direct" of the settings.
      entries: Returns the entry processes of the region, which receive the reports.
      engines: Returns the number of engines in the region, whose reports each of them receives.
      sent_requests: Requests in the last report; None before the first.
      sent_at: When it was sent, monotonic.
    """

    def __init__(
        self,
        engine: LocalEngine,
        direct: DirectSettings,
        entries: Callable[[], list[str]],
        engines: Callable[[], int],
    ) -> None:
        self.engine = engine
        self.direct = direct
        self.entries = entries
        self.engines = engines
        self.sent_requests: int | None = None
        self.sent_at = 0.0

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(await self.report_if_changed())

    async def report_if_changed(self) -> float:
        """Report the engine's requests if they changed, and return the time until the next try."""
        result = await self.engine.report()
        if not isinstance(result, Success):
            return UNCHANGED_INTERVAL_SECONDS
        report = result.unwrap()
        requests = report.running + report.queued
        now = clock.now()
        is_repeated = now - self.sent_at >= UNCHANGED_INTERVAL_SECONDS
        if requests == self.sent_requests and not is_repeated:
            return MINIMUM_INTERVAL_SECONDS
        self.sent_requests, self.sent_at = requests, now
        payload = encode(requests_report(self.direct.engine, requests))
        entries = self.entries()
        send_datagrams(payload, entries)
        return interval_seconds(
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
    return max(MINIMUM_INTERVAL_SECONDS, report_bytes * max(entries, engines) / bytes_per_second)
