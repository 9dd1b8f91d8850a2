"""Notifies entry processes when the engine on this VM will accept no requests."""

import contextlib
import socket
from collections.abc import Sequence

from ..configuration.settings import host_of, port_of
from ..direct.broadcast_socket import DATAGRAM_OVERHEAD_BYTES
from ..direct.engine_notices import loading_notice
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
MINIMUM_NOTICE_SECONDS = 0.001
"""Shortest time in an advance notice; 0 means that the engine loads now."""


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
        self.send(loading_notice(self.vm, self.engine, max(MINIMUM_NOTICE_SECONDS, load_at - now)))

    def announce_loading(self) -> None:
        """Announce that the engine accepts no requests until it has loaded other weights."""
        self.send(loading_notice(self.vm, self.engine, 0.0))

    def send(self, notice: Pulse) -> None:
        """Send one notice to the entry processes."""
        send_datagrams(encode(notice), self.fetcher.entries_for(self.engine)[:MAXIMUM_ENTRIES])


def send_datagrams(payload: bytes, controls: Sequence[str]) -> int:
    """Send a datagram to each address and return the bytes used on the network."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.setblocking(False)
        for control in controls:
            with contextlib.suppress(OSError):
                sender.sendto(payload, (host_of(control), port_of(control)))
    return len(controls) * (len(payload) + DATAGRAM_OVERHEAD_BYTES)
