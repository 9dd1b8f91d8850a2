"""Interim answers (status 1xx) of HTTP servers: they are dropped, and end a call if too many come.

No client of ours asks for one. aiohttp reads them as long as they come, and parses what has arrived
at once, which stops all other work of the event loop.
"""

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

FIRST_INTERIM, FIRST_FINAL, SWITCHED_PROTOCOLS = 100, 200, 101
MOST_INTERIM_ANSWERS = 16
SLICE_BYTES = 4096
"""What is parsed at once before the head of the answer: some hundred interim answers at most."""


class TooManyInterimAnswersError(aiohttp.http.HttpProcessingError):
    """A server has sent more interim answers than a call may have."""

    def __init__(self) -> None:
        super().__init__(code=502, message=f"more than {MOST_INTERIM_ANSWERS} interim answers")


class AnswerProtocol(ResponseHandler):
    """Reads answers from a connection, without the interim ones before them.

    Attributes:
      awaits_head: True from a call to the head of its answer.
      interim_answers: Interim answers in this time.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self.awaits_head = True
        self.interim_answers = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a call."""
        self.awaits_head = True
        self.interim_answers = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived: in slices before the head, so that the rest can be dropped."""
        while self.awaits_head and len(data) > SLICE_BYTES:
            super().data_received(data[:SLICE_BYTES])
            data = data[SLICE_BYTES:]
            if self.interim_answers > MOST_INTERIM_ANSWERS:
                return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass a parsed answer on unless it is an interim one."""
        code = data[0].code
        if FIRST_INTERIM <= code < FIRST_FINAL and code != SWITCHED_PROTOCOLS:
            self.count_interim()
            return
        self.awaits_head = False
        super().feed_data(data, size)

    def count_interim(self) -> None:
        """Count an interim answer; end the call if there are too many."""
        self.interim_answers += 1
        if self.interim_answers == MOST_INTERIM_ANSWERS + 1:
            self.set_exception(TooManyInterimAnswersError())
            if self.transport is not None:
                self.transport.abort()


class AnswerConnector(aiohttp.TCPConnector):
    """Makes connections that are read by `AnswerProtocol`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no other way to say how a connection is read.
        self._factory: Any = functools.partial(AnswerProtocol, loop=self._loop)
