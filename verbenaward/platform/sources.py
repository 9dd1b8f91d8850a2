"""Port to the sources of weights: the origin and the rate-limited weight store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from returns.result import Failure, Result, Success

from ..registry import Registry


@dataclass(frozen=True, slots=True)
class SourceError:
    """A failed read; retry_after_seconds is the wait that the source asked for."""

    message: str
    retry_after_seconds: float = 0.0
    missing: bool = False


@dataclass(frozen=True, slots=True)
class ByteRange:
    """A range of one file: its path in the source, first byte and length."""

    path: str
    offset: int
    length: int


class WeightSource(Protocol):
    """Narrow interface for reads from a source of weights."""

    async def read(self, wanted: ByteRange, timeout_seconds: float) -> Result[bytes, SourceError]:
        """Return the bytes of a range; a length of 0 means the whole file."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], WeightSource]] = Registry(
    "weight source adapter"
)


@ADAPTERS.register("http")
class HttpWeightSource:
    """Source that answers GET with a Range header.

    Attributes:
      session: HTTP client.
      url: Base URL of the source.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def read(self, wanted: ByteRange, timeout_seconds: float) -> Result[bytes, SourceError]:
        """Return the bytes of a range; a length of 0 means the whole file."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        headers = {}
        if wanted.length:
            headers["Range"] = f"bytes={wanted.offset}-{wanted.offset + wanted.length - 1}"
        try:
            async with self.session.get(
                f"{self.url}/{wanted.path}", headers=headers, timeout=timeout
            ) as response:
                if response.status not in (200, 206):
                    return Failure(await error_of(response))
                return Success(await response.read())
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            return Failure(SourceError(f"{wanted.path}: {type(error).__name__} {error}"))


async def error_of(response: aiohttp.ClientResponse) -> SourceError:
    """Return the typed error of a response that is not a success."""
    retry_after = float(response.headers.get("Retry-After", "0"))
    missing = response.status == 404
    return SourceError(f"status {response.status}", retry_after, missing)
