"""Stand-in for a worker in trouble: it answers each request with the bytes that it was given."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from enum import StrEnum

from .platform import free_address


class Ending(StrEnum):
    """What becomes of the connection behind an answer.

    STAY: it is read on and stays open until the requester closes it.
    """

    CLOSE = "close"
    RESET = "reset"
    STAY = "stay"


READ_BYTES = 65536
AFTERTHOUGHT_SECONDS = 0.01
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of a connection: what is not read soon waits at the sender."""

Cut = Callable[[bytes], Iterable[bytes]]
"""Cuts the bytes of an answer into the pieces in which they are written."""


def at_once(answer: bytes) -> Iterable[bytes]:
    """Return an answer as one piece."""
    return (answer,)


def byte_by_byte(answer: bytes) -> Iterable[bytes]:
    """Return the bytes of an answer as pieces."""
    return (answer[index : index + 1] for index in range(len(answer)))


def cut_at(place: int) -> Cut:
    """Return what cuts an answer in two."""
    return lambda answer: (answer[:place], answer[place:])


class RawAnswerStandIn:
    """Answers requests with bytes that need not be an answer.

    Attributes:
      address: Host and port at which it listens.
      answer: The bytes; ATTEMPT stands for the id of the attempt that is answered.
      cut: Cuts them into the pieces in which they are written.
      turns: Turns of the event loop after each piece, in which its reader gets it before what
        follows.
      afterthought: Bytes that follow on an open connection once the answer has been read.
      ending: What becomes of the connection behind the answer.
      reads_body: False to answer as soon as the head of a request has come.
      requests: Number of requests so far.
      server: The listening socket; None before `start`.
    """

    def __init__(self) -> None:
        self.address = ""
        self.answer = b""
        self.cut: Cut = at_once
        self.turns = 2
        self.ending = Ending.CLOSE
        self.afterthought = b""
        self.reads_body = True
        self.requests = 0
        self.server: asyncio.Server | None = None

    async def start(self, address: str = "") -> None:
        """Listen at an address, or at any free one."""
        self.address = address or free_address()
        host, _, port = self.address.rpartition(":")
        listener = socket.create_server((host, int(port)))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.server = await asyncio.start_server(self.serve, sock=listener)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one request and answer it."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        if self.reads_body:
            await reader.readexactly(int(field_of(head, b"content-length") or b"0"))
        answer = self.answer.replace(b"ATTEMPT", field_of(head, b"x-attempt-id"))
        for piece in self.cut(answer):
            if writer.transport.is_closing():
                return
            writer.write(piece)
            for _ in range(self.turns):
                await asyncio.sleep(0)
        if self.afterthought:
            await asyncio.sleep(AFTERTHOUGHT_SECONDS)
            writer.write(self.afterthought)
        if self.ending is Ending.STAY:
            while await reader.read(READ_BYTES):
                pass
        if self.ending is Ending.RESET:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()


def field_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a field of a request; empty if it has none."""
    fields = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return next((value.strip() for key, _, value in fields if key.lower() == name), b"")
