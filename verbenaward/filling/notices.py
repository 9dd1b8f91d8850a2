"""Tells entry processes when the engine on this VM will take nothing."""

import contextlib
import socket

from ..configuration.settings import host_of, port_of
from ..schema.messages import Pulse
from ..wire.codec import encode
from .fetching import ChunkFetcher

AHEAD_SECONDS = 4.0
"""Time before an engine loads at which the entry processes begin to hear of it: long streams
that begin now would still run then."""
REPEAT_SECONDS = 0.5
MOST_ENTRIES = 64
"""Entry processes that are told, near ones first; the others find out by a refusal."""
MILLISECONDS = 1000


class LoadingNotices:
    """Sends datagrams about one engine; a lost one costs a refused send at most.

    Attributes:
      vm: Name of this VM.
      engine: Address of the engine.
      fetcher: Knows the entry processes.
      told_at: When they were last told of a turn, monotonic.
    """

    def __init__(self, vm: str, engine: str, fetcher: ChunkFetcher) -> None:
        self.vm = vm
        self.engine = engine
        self.fetcher = fetcher
        self.told_at = 0.0

    def tell_ahead(self, turn_at: float, now: float) -> None:
        """Tell when the engine will stop to take work, where that is near.

        Args:
          turn_at: When it will, monotonic.
          now: Present time, monotonic, in seconds.
        """
        if turn_at - now > AHEAD_SECONDS or now - self.told_at < REPEAT_SECONDS:
            return
        self.told_at = now
        self.send(max(1, round((turn_at - now) * MILLISECONDS)))

    def tell_loading(self) -> None:
        """Tell that the engine takes nothing until it holds other weights."""
        self.send(0)

    def send(self, in_ms: int) -> None:
        """Send one notice to the entry processes."""
        notice = encode(Pulse(vm=self.vm, loading=self.engine, loading_in_ms=in_ms))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as made:
            made.setblocking(False)
            for control in self.fetcher.holders(self.engine)[:MOST_ENTRIES]:
                with contextlib.suppress(OSError):
                    made.sendto(notice, (host_of(control), port_of(control)))
