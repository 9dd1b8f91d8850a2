"""Stand-in for the narrow link of a VM: relays connections and sends their answers at its rate."""

import asyncio
import contextlib
import socket
import time

SLICE_BYTES = 4096
"""Bytes that are sent at a time; all connections take turns."""
LATE_SECONDS = 0.02
"""Time by which a slice may be late without lowering the rate."""


class NarrowLinkStandIn:
    """TCP relay before a process; the answers of all its connections share one rate.

    Little is read ahead, so that the process notices how slowly its bytes leave.

    Attributes:
      target: Host and port of the process.
      bytes_per_second: Rate of the link.
      turn: Held while a slice is on the link.
      free_at: When the link has sent all slices so far, monotonic.
      server: Listens at the address of the VM.
      tasks: Running relays of connections.
    """

    def __init__(self, target: str, megabits_per_second: float) -> None:
        self.target = target
        self.bytes_per_second = megabits_per_second * 1e6 / 8
        self.turn = asyncio.Lock()
        self.free_at = 0.0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def close(self) -> None:
        """Stop listening and end all connections."""
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay a connection until one side ends it."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with contextlib.closing(writer), contextlib.suppress(OSError):
            process_reader, process_writer = await self.connect()
            with contextlib.closing(process_writer):
                requests = asyncio.create_task(copy(reader, process_writer))
                answers = asyncio.create_task(self.send(process_reader, writer))
                try:
                    await asyncio.wait({requests, answers}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    requests.cancel()
                    answers.cancel()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the process with a small receive buffer."""
        host, _, port = self.target.rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLICE_BYTES)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        return await asyncio.open_connection(sock=connection, limit=SLICE_BYTES)

    async def send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the answers of a connection over the link."""
        while data := await reader.read(SLICE_BYTES):
            async with self.turn:
                # A late event loop does not lower the rate.
                self.free_at = max(self.free_at, time.monotonic() - LATE_SECONDS)
                self.free_at += len(data) / self.bytes_per_second
                await asyncio.sleep(max(0.0, self.free_at - time.monotonic()))
            writer.write(data)
            await writer.drain()


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy what is read until its end."""
    while data := await reader.read(SLICE_BYTES):
        writer.write(data)
        await writer.drain()
