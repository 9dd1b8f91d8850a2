"""Sockets with TCP keepalive, which detect an unreachable peer within seconds."""

import socket
from typing import Any

IDLE_SECONDS = 1
"""Idle time of a connection before the first keepalive probe."""
PROBE_SECONDS = 1
"""Interval of keepalive probes."""
PROBES = 2
"""Unanswered probes after which the connection is closed."""
UNACKNOWLEDGED_MILLISECONDS = 2000
"""Time without acknowledgement of sent data after which the connection is closed."""


def keepalive_socket(address_info: tuple[Any, ...]) -> socket.socket:
    """Create a socket with keepalive; a socket factory for aiohttp's connector."""
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family=family, type=kind, proto=protocol)
    connection.setblocking(False)
    enable_keepalive(connection)
    return connection


def enable_keepalive(connection: socket.socket) -> None:
    """Make the kernel close the connection if the peer no longer responds."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)
