"""Sockets whose silent connections end by themselves."""

import socket
from typing import Any

IDLE_SECONDS = 1
PROBE_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 2000


def careful_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Return a socket for one address, as aiohttp's connector wants it."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setblocking(False)
    watch_for_silence(made)
    return made


def watch_for_silence(made: socket.socket) -> None:
    """Have the kernel end a connection whose other side fell silent."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
