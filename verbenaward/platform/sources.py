"""Port to the sources of weights in proxied mode: the origin and the rate-limited weight store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from returns.result import Failure, Result, Success

from ..bounded_reading import LARGEST_CHUNK_BYTES, read_at_most
from ..registry import Registry
from .names import RETRY_AFTER
from .request_headers import parse_number


@dataclass(frozen=True, slots=True)
class SourceError:
    """A failed read.

    Attributes:
      message: Cause, for logs.
      retry_after_seconds: Wait that the source asked for; 0 for none.
      missing: True if the source does not have the file.
    """

    message: str
    retry_after_seconds: float = 0.0
    missing: bool = False


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A range of bytes in one file.

    Attributes:
      path: Path of the file in the source.
      offset: Index of the first byte.
      length: Number of bytes; 0 for the whole file.
    """

    path: str
    offset: int
    length: int


class WeightSource(Protocol):
    """Port to a source of weights."""

    async def read(
        self, byte_range: ByteRange, timeout_seconds: float
    ) -> Result[bytes, SourceError]:
        """Return the bytes of a range."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], WeightSource]] = Registry(
    "weight source adapter"
)


@ADAPTERS.register("http")
class HttpWeightSource:
    """Source with an HTTP interface that supports Range headers.

    Attributes:
      session: HTTP client.
      url: Base URL of the source.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def read(
        self, byte_range: ByteRange, timeout_seconds: float
    ) -> Result[bytes, SourceError]:
        """Return the bytes of a range."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        headers = {}
        if byte_range.length:
            headers["Range"] = (
                f"bytes={byte_range.offset}-{byte_range.offset + byte_range.length - 1}"
            )
        try:
            async with self.session.get(
                f"{self.url}/{byte_range.path}", headers=headers, timeout=timeout
            ) as response:
                if response.status not in (200, 206):
                    return Failure(await parse_error(response))
                return Success(
                    await read_at_most(response, byte_range.length or LARGEST_CHUNK_BYTES)
                )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(SourceError(f"{byte_range.path}: {type(error).__name__} {error}"))


async def parse_error(response: aiohttp.ClientResponse) -> SourceError:
    """Return the typed error for a response that holds no data."""
    retry_after = parse_number(response.headers.get(RETRY_AFTER, "")) or 0.0
    missing = response.status == 404
    return SourceError(f"status {response.status}", retry_after, missing)
