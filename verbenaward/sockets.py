"""Sockets with TCP keepalive, which detect an unreachable peer within seconds; unsent bytes."""

import fcntl
import socket
import struct
import termios
from typing import Any

from aiohttp import HttpVersion11, web

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


def abort_connection(caller: web.BaseRequest) -> None:
    """Abort the connection of a caller, so that a partial answer does not look complete.

    An answer to an HTTP/1.0 caller has no chunks and ends with its connection, so that is reset.
    """
    transport = caller.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if caller.version < HttpVersion11 and connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def buffered_bytes(caller: web.BaseRequest) -> int:
    """Return the bytes written to a caller that this process still holds."""
    return 0 if caller.transport is None else caller.transport.get_write_buffer_size()


def unsent_bytes(caller: web.BaseRequest) -> int:
    """Return the bytes written to a caller that it has not acknowledged yet."""
    transport = caller.transport
    if transport is None or transport.is_closing():
        return 0
    connection = transport.get_extra_info("socket")
    queued = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
    (in_kernel,) = struct.unpack("i", queued)
    return buffered_bytes(caller) + int(in_kernel)
