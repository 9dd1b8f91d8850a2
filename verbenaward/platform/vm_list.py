"""Port to the platform's list of VMs, which shows changes with a delay."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..bounded_reading import LARGEST_MESSAGE_BYTES, read_at_most
from ..registry import Registry
from .declarations import DECODE_ERRORS

CALL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the list; leaving if the platform is about to stop it."""

    vm: str
    leaving: bool


class VmList(Protocol):
    """Port to the list of VMs."""

    async def read(self) -> Result[tuple[ListedVm, ...], str]:
        """Return the running and leaving VMs, or why the list could not be read."""
        ...


ADAPTERS: Registry[Callable[[aiohttp.ClientSession, str], VmList]] = Registry("VM list adapter")


@ADAPTERS.register("http")
class HttpVmList:
    """VM list with an HTTP interface.

    Attributes:
      session: HTTP client.
      url: URL of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def read(self) -> Result[tuple[ListedVm, ...], str]:
        """Return the running and leaving VMs, or why the list could not be read."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        try:
            async with self.session.get(self.url, timeout=timeout) as response:
                response.raise_for_status()
                body = msgspec.json.decode(await read_at_most(response, LARGEST_MESSAGE_BYTES))
                return Success(tuple(ListedVm(item["vm"], item["leaving"]) for item in body["vms"]))
        except (aiohttp.ClientError, asyncio.TimeoutError, *DECODE_ERRORS) as error:
            return Failure(f"{type(error).__name__} {error}")
