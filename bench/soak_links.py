"""Links between the entry processes of a soak: lost, late and doubled datagrams, and cuts."""

import asyncio
import random

from review.harness import Link

LATEST_SECONDS = 0.4
"""Longest delay of a datagram on a bad link."""


class SoakLink(Link):
    """The link of one entry process, which can be bad or cut.

    Attributes:
      rng: Draws what becomes of a datagram.
      bad_share: Share of the datagrams that are lost; as many are late, and as many doubled.
      is_cut: True while nothing passes: datagrams are lost and connections end.
    """

    def __init__(self, own: str, shown: str, links: dict[str, Link], seed: int) -> None:
        super().__init__(own, shown, links)
        self.rng = random.Random(f"{seed} {own}")
        self.bad_share = 0.0
        self.is_cut = False

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Pass a datagram on, or drop, delay or double it."""
        sender = self.links.get(f"{source[0]}:{source[1]}")
        if self.is_cut or (isinstance(sender, SoakLink) and sender.is_cut):
            return
        drawn = self.rng.random()
        if drawn < self.bad_share:
            return
        if drawn < 2 * self.bad_share:
            delay = self.rng.uniform(0.0, LATEST_SECONDS)
            asyncio.get_running_loop().call_later(delay, super().datagram_received, data, source)
            return
        super().datagram_received(data, source)
        if drawn < 3 * self.bad_share:
            super().datagram_received(data, source)

    async def connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass a connection on to the process until the link is cut."""
        if self.is_cut:
            writer.transport.abort()
            return
        passing = asyncio.create_task(super().connect(reader, writer))
        while not passing.done() and not self.is_cut:
            await asyncio.wait((passing,), timeout=0.05)
        if not passing.done():
            passing.cancel()
            writer.transport.abort()
