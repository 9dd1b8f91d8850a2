"""Port to a model engine, and the adapter for engines with an HTTP interface, in proxied mode."""

import asyncio
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Protocol

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..bounded_reading import LARGEST_REPORT_BYTES, read_at_most
from ..registry import Registry
from .declarations import DECODE_ERRORS


class OrderKind(StrEnum):
    """Kinds of orders to an engine."""

    LOAD = "load"
    ACTIVATE = "activate"


@dataclass(frozen=True, slots=True)
class EngineFile:
    """One file of a release and the URL from which the engine reads it.

    Attributes:
      artifact: Name of the model or adapter.
      path: Path of the file inside the artifact.
      size_bytes: Size of the file, in bytes.
      url: URL from which the engine reads it.
    """

    artifact: str
    path: str
    size_bytes: int
    url: str


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
      kind: Kind of the order.
      release: Digest of the release, in hexadecimal.
      fence: Fencing token; an engine that checks it refuses a lower one than it has seen.
      files: All files of the release; only for LOAD.
    """

    kind: OrderKind
    release: str
    fence: int
    files: tuple[EngineFile, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    Attributes:
      active: Digest of the release that it serves, in hexadecimal; empty for none.
      loaded: Digests of the releases in its memory.
      fence: Highest fencing token that it has seen.
    """

    active: str
    loaded: tuple[str, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class EngineError:
    """A failed order or query.

    Attributes:
      message: Cause, for logs.
      stale_fence: True if the engine has seen a higher fencing token, so a newer sender exists.
    """

    message: str
    stale_fence: bool = False


class Engine(Protocol):
    """Port to an engine."""

    async def state(self) -> Result[EngineState, EngineError]:
        """Query the state of the engine."""
        ...

    async def order(self, order: Order, timeout_seconds: float) -> Result[EngineState, EngineError]:
        """Send an order and return the state after it."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], Engine]] = Registry("engine adapter")

QUERY_TIMEOUT_SECONDS = 2.0


@ADAPTERS.register("openai-http")
class HttpEngine:
    """Engine with an HTTP interface.

    Attributes:
      session: HTTP client.
      url: Base URL of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def state(self) -> Result[EngineState, EngineError]:
        """Query the state of the engine."""
        return await self.call("GET", "/state", None, QUERY_TIMEOUT_SECONDS)

    async def order(self, order: Order, timeout_seconds: float) -> Result[EngineState, EngineError]:
        """Send an order and return the state after it."""
        return await self.call("POST", "/orders", asdict(order), timeout_seconds)

    async def call(
        self, method: str, path: str, order: object, timeout_seconds: float
    ) -> Result[EngineState, EngineError]:
        """Send one request and parse the state in its answer; status 409 means a stale fence."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self.session.request(
                method, self.url + path, json=order, timeout=timeout
            ) as response:
                body = await read_at_most(response, LARGEST_REPORT_BYTES)
                if response.status != 200:
                    text = body.decode(errors="replace")[:200]
                    return Failure(EngineError(text, stale_fence=response.status == 409))
                state = msgspec.json.decode(body)
                return Success(EngineState(state["active"], tuple(state["loaded"]), state["fence"]))
        except (aiohttp.ClientError, asyncio.TimeoutError, *DECODE_ERRORS) as error:
            return Failure(EngineError(f"{method} {path}: {type(error).__name__} {error}"))
