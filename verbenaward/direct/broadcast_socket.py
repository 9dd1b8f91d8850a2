"""The UDP socket of the state broadcasts."""

import asyncio
import socket
from collections.abc import Callable

from .. import clock
from ..configuration.settings import host_of, port_of

DATAGRAM_OVERHEAD_BYTES = 28
"""IP and UDP headers, which count towards the allowed rate."""

Receiver = Callable[[bytes, tuple[str, int], float], None]
"""Called with a datagram, its source and the time of its arrival."""


class BroadcastProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams on."""

    def __init__(self, receive: Receiver) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram."""
        self.receive(data, addr, clock.now())

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram: the peer is down or restarting."""


async def open_broadcast_socket(listen: str, receive: Receiver) -> asyncio.DatagramTransport:
    """Open the socket at the control address of a process and return its transport."""
    opened_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened_socket.setblocking(False)
    opened_socket.bind((host_of(listen), port_of(listen)))
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: BroadcastProtocol(receive), sock=opened_socket
    )
    return transport


def send_to_all(
    transport: asyncio.DatagramTransport | None, payload: bytes, targets: list[str]
) -> int:
    """Send a datagram to each address and return the bytes used on the network."""
    if transport is None:
        return 0
    for control in targets:
        transport.sendto(payload, (host_of(control), port_of(control)))
    return len(targets) * (len(payload) + DATAGRAM_OVERHEAD_BYTES)
