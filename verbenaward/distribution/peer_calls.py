"""Calls to other processes of this deployment for chunks and inventories."""

import asyncio
from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..bounded_reading import LARGEST_CHUNK_BYTES, read_at_most
from .inventory import decode_inventory
from .readers import Inventory
from .recent_failures import RecentFailures

PEER_TIMEOUT_SECONDS = 6.0
"""Timeout of a request for a chunk."""
PEER_SILENCE_SECONDS = 1.5
"""Longest time without a byte of it."""
CONNECT_SECONDS = 0.5
LOCATE_SECONDS = 2.5
"""Timeout of the question whether a process has a chunk, which it answers within two seconds."""
INVENTORY_SECONDS = 0.3
"""Timeout of a request for an inventory, for which the next request to the origin waits."""
HTTP_OK = 200
ENTRY_PATH = "/weights"
"""Path at entry processes."""
ENDPOINT_PATH = "/staged"
"""Path at endpoint processes."""
INVENTORY_NAME = "inventory"
READER_QUERY = "owner"
"""Query parameter of a request to a reader: it gets the chunk from the origin, whichever processes
are readers as far as it knows."""
HOLDER_HEADER = "Chunk-Holder"
"""Header of an answer to HEAD: control address of the reader that has the chunk, if it is another
one than the process that answers."""
CACHED_QUERY = "cached"
"""Query parameter of a request that is only answered from the cache."""


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Why a call brought no body.

    Attributes:
      message: The error.
      is_late: True if the process may only be busy, or its link.
    """

    message: str
    is_late: bool = False


class PeerCalls:
    """Sends calls to other processes, and remembers which ones failed lately.

    Attributes:
      session: HTTP client.
      failures: Processes that could not be reached lately.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.failures = RecentFailures()

    async def fetch(self, control: str, path: str, query: str = "") -> Result[bytes, CallFailure]:
        """Fetch a chunk or digests.

        Args:
          control: Control address of the process.
          path: Path of the chunk.
          query: Name of a query parameter, which is set to 1; empty for none.
        """
        timeout = aiohttp.ClientTimeout(
            total=PEER_TIMEOUT_SECONDS, sock_connect=CONNECT_SECONDS, sock_read=PEER_SILENCE_SECONDS
        )
        result = await self.call("GET", control, path, query, timeout)
        if isinstance(result, Success):
            metrics.WEIGHT_BYTES.labels("entry").inc(len(result.unwrap()))
        return result

    async def locate(self, control: str, path: str, query: str) -> Result[bytes, CallFailure]:
        """Wait until a process has a chunk available; a failure if that takes too long."""
        timeout = aiohttp.ClientTimeout(total=LOCATE_SECONDS, sock_connect=CONNECT_SECONDS)
        return await self.call("HEAD", control, path, query, timeout, is_question=True)

    async def inventory(self, control: str, path: str) -> Result[Inventory, CallFailure]:
        """Return the inventory of a version at a process."""
        timeout = aiohttp.ClientTimeout(total=INVENTORY_SECONDS)
        result = await self.call("GET", control, f"{path}/{INVENTORY_NAME}", "", timeout)
        return result.bind(lambda body: decode_inventory(body).alt(CallFailure))

    async def call(
        self,
        method: str,
        control: str,
        path: str,
        query: str,
        timeout: aiohttp.ClientTimeout,
        is_question: bool = False,
    ) -> Result[bytes, CallFailure]:
        """Return the body of an answer; a process that cannot be reached is remembered.

        Args:
          method: HTTP method.
          control: Control address of the process.
          path: Path of the URL.
          query: Name of a query parameter, which is set to 1; empty for none.
          timeout: Timeout of the call.
          is_question: True if the process waits before it answers: one that is late may be busy.
        """
        url = f"http://{control}{path}"
        parameters = {query: "1"} if query else {}
        try:
            async with self.session.request(
                method, url, params=parameters, timeout=timeout
            ) as response:
                body = await read_at_most(response, LARGEST_CHUNK_BYTES)
                self.failures.record_answer(control, clock.now())
                if response.status == HTTP_OK:
                    return Success(body)
                return Failure(CallFailure(f"{url}: status {response.status}"))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            is_late = isinstance(error, asyncio.TimeoutError)
            if is_late and is_question:
                self.failures.record_late(control, clock.now())
            else:
                self.failures.record_failure(control, clock.now())
            message = f"{url}: {type(error).__name__} {error}"
            return Failure(CallFailure(message, is_late))
