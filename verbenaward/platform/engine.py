"""Port to a model engine, and the adapter to engines that speak HTTP."""

import asyncio
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Protocol

import aiohttp
from returns.result import Failure, Result, Success

from ..registry import Registry


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    ACTIVATE = "activate"


@dataclass(frozen=True, slots=True)
class EngineFile:
    """One file of a release and where the engine reads it."""

    artifact: str
    path: str
    size_bytes: int
    url: str


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
      kind: What to do.
      release: Digest of the release, in hexadecimal.
      fence: Fencing number; an engine that checks refuses a lower one than it has seen.
      files: All files of the release; only for LOAD.
    """

    kind: OrderKind
    release: str
    fence: int
    files: tuple[EngineFile, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says that it holds."""

    active: str
    loaded: tuple[str, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class EngineError:
    """A failed order or query; stale_fence says that a newer writer exists."""

    message: str
    stale_fence: bool = False


class Engine(Protocol):
    """Narrow interface for orders to an engine."""

    async def state(self) -> Result[EngineState, EngineError]:
        """Return what the engine holds."""
        ...

    async def order(self, order: Order, timeout_seconds: float) -> Result[EngineState, EngineError]:
        """Give an order and return the state after it."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], Engine]] = Registry("engine adapter")

QUERY_TIMEOUT_SECONDS = 2.0


@ADAPTERS.register("openai-http")
class HttpEngine:
    """Engine behind an HTTP address.

    Attributes:
      session: HTTP client.
      url: Base URL of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def state(self) -> Result[EngineState, EngineError]:
        """Return what the engine holds."""
        return await self.call("GET", "/state", None, QUERY_TIMEOUT_SECONDS)

    async def order(self, order: Order, timeout_seconds: float) -> Result[EngineState, EngineError]:
        """Give an order and return the state after it."""
        return await self.call("POST", "/orders", asdict(order), timeout_seconds)

    async def call(
        self, method: str, path: str, body: object, timeout_seconds: float
    ) -> Result[EngineState, EngineError]:
        """Make one call and map its failures."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        try:
            async with self.session.request(
                method, self.url + path, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    text = (await response.text())[:200]
                    return Failure(EngineError(text, stale_fence=response.status == 409))
                state = await response.json()
                return Success(EngineState(state["active"], tuple(state["loaded"]), state["fence"]))
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, KeyError) as error:
            return Failure(EngineError(f"{method} {path}: {type(error).__name__} {error}"))
