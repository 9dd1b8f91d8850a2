"""Writes the heads of HTTP messages byte by byte as they were received.

aiohttp's parser keeps bytes of a head that are not UTF-8 as lone surrogates (PEP 383), and its
writer leaves these out. It takes control characters in an answer, which RFC 9110 (section 5.5)
lets a recipient retain, and its writer refuses them. Other ASCII heads, which are nearly all, are
still written by aiohttp.
"""

import contextlib
import re

import aiohttp
from aiohttp import ClientRequest, ClientResponse
from aiohttp.abc import AbstractStreamWriter
from aiohttp.base_protocol import BaseProtocol
from aiohttp.connector import Connection
from aiohttp.http import StreamWriter
from multidict import CIMultiDict

LINE_END = re.compile(r"[\0\r\n]")
"""Characters that may end a line or a text; what follows would be taken for another header."""


def is_ascii(first_line: str, headers: CIMultiDict[str]) -> bool:
    """Return True if a head consists of ASCII characters; names of headers always do."""
    return first_line.isascii() and "".join(headers.values()).isascii()


def encode_head(first_line: str, headers: CIMultiDict[str]) -> bytes:
    """Return the bytes of a head.

    Raises:
      ValueError: It has a line end or NUL in a line, or a character that stands for no byte.
    """
    parts = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    for part in parts:
        if LINE_END.search(part):
            raise ValueError(f"a line end or NUL in a line of a message's head: {part[:80]!r}")
    return "\r\n".join((*parts, "", "")).encode("utf-8", "surrogateescape")


class HeadWriter(StreamWriter):
    """Writes a message, with the bytes of its head as they were received."""

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Write the head of a message.

        Raises:
          ValueError: It has a line end or NUL in a line.
          ClientConnectionResetError: The connection is closed.
        """
        if is_ascii(status_line, headers):
            # It raises ValueError for any control character; `encode_head` refuses only some.
            with contextlib.suppress(ValueError):
                await super().write_headers(status_line, headers)
                return
        head = encode_head(status_line, headers)
        transport = self.transport
        if transport is None or transport.is_closing():
            raise aiohttp.ClientConnectionResetError("Cannot write to closing transport")
        self.buffer_size += len(head)
        self.output_size += len(head)
        transport.write(head)


def head_writer(writer: AbstractStreamWriter, protocol: BaseProtocol) -> HeadWriter:
    """Return a writer to use in place of one of aiohttp's that has written nothing yet."""
    assert isinstance(writer, StreamWriter)
    result = HeadWriter(protocol, writer.loop)
    result.length = writer.length
    result.chunked = writer.chunked
    return result


class HeadRequest(ClientRequest):
    """A request of the HTTP client, with the bytes of its head as the caller sent them.

    aiohttp's writer buffers the head until the body is written, so another one can take its place.
    """

    @property
    def first_line(self) -> str:
        """Return the request line; the session has no proxy, so the target is path and query."""
        major, minor = self.version
        return f"{self.method} {self.url.raw_path_qs} HTTP/{major}.{minor}"

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request; one without a body gets an empty one if its head is not ASCII."""
        if not self.body and not is_ascii(self.first_line, self.headers):
            length = self.headers.get("Content-Length")
            await self.update_body(b"")
            if length is None:
                self.headers.popall("Content-Length", None)
        return await super().send(conn)

    async def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> None:
        """Write the body, after the head if that is not ASCII.

        Raises:
          ValueError: The head has a line end or NUL in a line.
        """
        if not is_ascii(self.first_line, self.headers):
            assert conn.protocol is not None
            writer = head_writer(writer, conn.protocol)
            await writer.write_headers(self.first_line, self.headers)
        await super().write_bytes(writer, conn, content_length)
