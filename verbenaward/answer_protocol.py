"""Reads HTTP answers from a connection: only sound heads and sound ends pass, no interim answers.

A body with a length or in chunks says itself where it ends. One without ends with its connection,
and is whole only if this shows that nothing went wrong: the request had been written, and then the
server closed the connection in order. Other ends are errors of the body, for all that read it.
aiohttp itself accepts any end of the connection for such a body, and drops the error of a reset
when the end of the body cancels the writing of the request.

Nothing that comes behind an answer is one: the next call gets a new connection.

No client of ours asks for an interim answer (status 1xx). They are dropped, and end a call if too
many come: aiohttp reads them as long as they come.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .answer_chunks import ChunkEnds
from .answer_heads import LINE_OVERHEAD_BYTES, HeadFault, HeadLimits, HeadReader

FIRST_INTERIM, FIRST_FINAL, SWITCHED_PROTOCOLS = 100, 200, 101
MOST_INTERIM_ANSWERS = 16


class TooManyInterimAnswersError(aiohttp.http.HttpProcessingError):
    """A server has sent more interim answers than a call may have."""

    def __init__(self) -> None:
        super().__init__(code=502, message=f"more than {MOST_INTERIM_ANSWERS} interim answers")


class UnsoundHeadError(aiohttp.http.HttpProcessingError):
    """What a server has sent does not begin as an answer does."""

    def __init__(self, fault: HeadFault) -> None:
        super().__init__(code=502, message=f"the head of the answer is not sound: {fault}")


class SwitchedProtocolsError(aiohttp.http.HttpProcessingError):
    """A server has switched to another protocol, for which the call has not asked."""

    def __init__(self) -> None:
        super().__init__(code=502, message="the server switched protocols")


class UnprovenEndError(aiohttp.ClientPayloadError):
    """The connection of a body without a length has ended otherwise than in order."""

    def __init__(self, cause: BaseException | None) -> None:
        reason = f"was lost: {cause!r}" if cause else "was closed before the request was written"
        super().__init__(f"the answer has no length, and its connection {reason}")


class ChunkEndError(aiohttp.ClientPayloadError):
    """The data of a chunk does not end where its size says."""

    def __init__(self) -> None:
        super().__init__("the data of a chunk does not end with a line end")


class AnswerProtocol(ResponseHandler):
    """Reads answers from a connection, without the interim ones before them.

    The parser gets a head once it is complete and sound, in one piece.

    Attributes:
      awaits_head: True from a call to the head of its answer.
      may_switch: Whether the call asks for a switch of protocols (status 101).
      limits: Limits on a head.
      head: Collects the next head.
      interim_answers: Interim answers since the call.
      is_request_written: Whether the request of the call has been given to the transport.
      ends_with_connection: Whether the body of the answer does.
      is_closed_in_order: Whether the server has closed its side after the whole request was sent.
      chunk_ends: Follows the chunks of the answer's body; None if it has none.
      chunked_body: The body that they make.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self.awaits_head = False
        self.may_switch = False
        self.limits = HeadLimits(0, 0)
        self.head = HeadReader(self.limits)
        self.interim_answers = 0
        self.is_request_written = False
        self.ends_with_connection = False
        self.is_closed_in_order = False
        self.chunk_ends: ChunkEnds | None = None
        self.chunked_body: Any = None

    def set_response_params(
        self,
        *,
        max_line_size: int = 8190,
        max_field_size: int = 8190,
        max_headers: int = 128,
        read_until_eof: bool = False,
        **options: Any,
    ) -> None:
        """Begin to read the answer to a call; the defaults are aiohttp's.

        Only for a WebSocket, which the call asks for, aiohttp does not read to the connection's
        end.
        """
        longest = max(max_line_size, max_field_size) + LINE_OVERHEAD_BYTES
        self.limits = HeadLimits(longest, max_headers + 1)
        self.head = HeadReader(self.limits)
        self.awaits_head = True
        self.may_switch = not read_until_eof
        self.interim_answers = 0
        self.is_request_written = self.ends_with_connection = self.is_closed_in_order = False
        self.chunk_ends = self.chunked_body = None
        super().set_response_params(
            max_line_size=max_line_size,
            max_field_size=max_field_size,
            max_headers=max_headers,
            read_until_eof=read_until_eof,
            **options,
        )

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, once it is known to follow a sound head."""
        if self.awaits_head:
            self.read_heads(data)
        elif data and self.is_answered():
            self.abort_connection()
        else:
            super().data_received(data)
            self.follow_chunks(data)

    def follow_chunks(self, data: bytes) -> None:
        """End the body with an error if the data of a chunk does not end where its size says.

        All that has come is parsed before anybody reads it.
        """
        if self.chunk_ends is None:
            return
        self.chunk_ends.feed(data)
        if not self.chunk_ends.is_sound:
            self.chunk_ends = None
            self.chunked_body.set_exception(ChunkEndError())
            self.abort_connection()

    def is_answered(self) -> bool:
        """Return True if the last call has its whole answer, and its connection no other use."""
        is_whole = self._payload is None or self._payload.is_eof()
        return self._parser is not None and is_whole and not self.upgraded

    def read_heads(self, data: bytes) -> None:
        """Judge and parse what comes until the head of the answer."""
        while self.awaits_head and self.exception() is None:
            self.head.feed(data)
            if self.head.fault is not None:
                self.end_call(UnsoundHeadError(self.head.fault))
            elif self.head.end:
                data = self.parse_head()
            else:
                # The parser, which renews the limit on silence, does not see these bytes yet.
                super().start_timeout()
                return
        if data and self.exception() is None:
            # Behind a switch of protocols comes the other protocol.
            super().data_received(data)

    def parse_head(self) -> bytes:
        """Parse a head that is complete and sound, and return what is still to be judged.

        What came behind the head of an answer is parsed with it, so that bytes that are too many
        for the body make the answer an error while it can still be one.
        """
        received, head = bytes(self.head.received), self.head
        self.head = HeadReader(self.limits)
        parsed = received[: head.end] if head.is_interim() else received
        super().data_received(parsed)
        self.follow_chunks(received[head.end : len(parsed)])
        return received[len(parsed) :]

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass the parsed answer on; interim ones are dropped, and there is no second one."""
        message, _ = data
        if not self.awaits_head:
            self.abort_connection()
        elif message.code == SWITCHED_PROTOCOLS and not self.may_switch:
            self.end_call(SwitchedProtocolsError())
        elif FIRST_INTERIM <= message.code < FIRST_FINAL and message.code != SWITCHED_PROTOCOLS:
            self.count_interim()
        else:
            self.awaits_head = False
            if message.chunked:
                self.chunk_ends, self.chunked_body = ChunkEnds(), data[1]
            is_framed = message.chunked or "Content-Length" in message.headers
            self.ends_with_connection = not is_framed and message.code != SWITCHED_PROTOCOLS
            super().feed_data(data, size)

    def start_timeout(self) -> None:
        """Begin to wait for the answer; aiohttp calls this once the request is written."""
        self.is_request_written = True
        super().start_timeout()

    def eof_received(self) -> None:
        """Note whether the whole request was sent when the server closed its side."""
        is_sent = self.transport is not None and not self.transport.get_write_buffer_size()
        self.is_closed_in_order = self.is_request_written and is_sent
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer; a body that ends with the connection is whole only by a sound end."""
        body = self._payload
        is_sound = exc is None and self.is_closed_in_order
        if body is not None and self.ends_with_connection and not (is_sound or body.is_eof()):
            body.set_exception(UnprovenEndError(exc))
        super().connection_lost(exc)

    def count_interim(self) -> None:
        """Count an interim answer; end the call if there are too many."""
        self.interim_answers += 1
        if self.interim_answers > MOST_INTERIM_ANSWERS:
            self.end_call(TooManyInterimAnswersError())

    def end_call(self, error: aiohttp.http.HttpProcessingError) -> None:
        """End a call without an answer, and its connection."""
        self.awaits_head = False
        self.set_exception(error)
        self.abort_connection()

    def abort_connection(self) -> None:
        """End the connection: what comes on it is not an answer to any call."""
        if self.transport is not None:
            self.transport.abort()


class AnswerConnector(aiohttp.TCPConnector):
    """Makes connections that are read by `AnswerProtocol`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no other way to say how a connection is read.
        self._factory: Any = functools.partial(AnswerProtocol, loop=self._loop)
