"""Port to the platform's list of VMs, which lags behind the truth."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from returns.result import Failure, Result, Success

from ..registry import Registry

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the list."""

    vm: str
    leaving: bool


class VmList(Protocol):
    """Narrow interface to the list of VMs."""

    async def read(self) -> Result[tuple[ListedVm, ...], str]:
        """Return live and leaving VMs, or why they could not be read."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], VmList]] = Registry("VM list adapter")


@ADAPTERS.register("http")
class HttpVmList:
    """VM list behind an HTTP address.

    Attributes:
      session: HTTP client.
      url: Address of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def read(self) -> Result[tuple[ListedVm, ...], str]:
        """Return live and leaving VMs, or why they could not be read."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        try:
            async with self.session.get(self.url, timeout=timeout) as response:
                response.raise_for_status()
                body = await response.json()
                return Success(tuple(ListedVm(item["vm"], item["leaving"]) for item in body["vms"]))
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, KeyError) as error:
            return Failure(f"{type(error).__name__} {error}")
