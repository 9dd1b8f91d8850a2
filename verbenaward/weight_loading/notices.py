"""Notifies entry processes when the engine on this VM will accept no requests."""

import contextlib
import socket

from ..configuration.settings import host_of, port_of
from ..schema.messages import Pulse
from ..wire.codec import encode
from .fetching import ChunkFetcher

ADVANCE_NOTICE_SECONDS = 4.0
"""Time before an engine loads from which entry processes are notified: long streams that begin
then would still run when it loads."""
REPEAT_SECONDS = 0.5
MAXIMUM_ENTRIES = 64
"""Entry processes that are notified, near ones first; the others notice when the engine refuses
a request."""
MILLISECONDS_PER_SECOND = 1000


class LoadingNotices:
    """Sends datagrams about one engine; a lost one costs at most a refused request.

    Attributes:
      vm: Name of this VM.
      engine: Address of the engine.
      fetcher: Lists the entry processes.
      last_notice_at: When the last advance notice was sent, monotonic.
    """

    def __init__(self, vm: str, engine: str, fetcher: ChunkFetcher) -> None:
        self.vm = vm
        self.engine = engine
        self.fetcher = fetcher
        self.last_notice_at = 0.0

    def announce_planned_load(self, load_at: float, now: float) -> None:
        """Announce when the engine will begin to load, if that is soon and not just announced.

        Args:
          load_at: When it will begin, monotonic, in seconds.
          now: Present time, monotonic, in seconds.
        """
        if load_at - now > ADVANCE_NOTICE_SECONDS or now - self.last_notice_at < REPEAT_SECONDS:
            return
        self.last_notice_at = now
        self.send(max(1, round((load_at - now) * MILLISECONDS_PER_SECOND)))

    def announce_loading(self) -> None:
        """Announce that the engine accepts no requests until it has loaded other weights."""
        self.send(0)

    def send(self, loading_in_ms: int) -> None:
        """Send one notice to the entry processes; 0 milliseconds for an engine that loads now."""
        notice = encode(Pulse(vm=self.vm, loading=self.engine, loading_in_ms=loading_in_ms))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.setblocking(False)
            for control in self.fetcher.entries_for(self.engine)[:MAXIMUM_ENTRIES]:
                with contextlib.suppress(OSError):
                    sender.sendto(notice, (host_of(control), port_of(control)))
