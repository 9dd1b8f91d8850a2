"""Connections of the command-line tool to the platform and to entry processes."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp
import msgspec
import uvloop

from ..data import Configuration
from ..platform.key_value import ADAPTERS, KeyValueService
from ..schema.messages import Acknowledgement, ConfigurationOffer
from ..wire.rpc import call

Value = TypeVar("Value")
CALL_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class MemberStatusReport:
    """One member as an entry process reports it."""

    vm: str
    kind: str
    role: str
    region: str
    zone: str
    address: str
    status: str
    incarnation: int
    version: int
    revision: int
    release: str


@dataclass(frozen=True, slots=True)
class ProgressReport:
    """How far an endpoint process is with its release."""

    release: str
    held_share: float
    started_unix: float
    held_unix: float
    active_unix: float


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Answer of /admin/status."""

    member: MemberStatusReport
    revision: int
    digest: str
    service_head: int
    members: tuple[MemberStatusReport, ...]
    ready: bool
    heard_revisions: dict[str, int] = field(default_factory=dict)
    progress: ProgressReport | None = None


def with_key_values(url: str, work: Callable[[KeyValueService], Awaitable[Value]]) -> Value:
    """Run some work with a connection to the key-value service."""

    async def run() -> Value:
        async with aiohttp.ClientSession() as session:
            return await work(ADAPTERS.find("http")(session, url))

    return uvloop.run(run())


async def read_status(session: aiohttp.ClientSession, address: str) -> ProcessStatus | None:
    """Return the status of a process, or None where it does not answer."""
    timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
    try:
        async with session.get(f"http://{address}/admin/status", timeout=timeout) as response:
            return msgspec.json.decode(await response.read(), type=ProcessStatus)
    except (aiohttp.ClientError, asyncio.TimeoutError, msgspec.DecodeError):
        return None


async def read_all(
    session: aiohttp.ClientSession, addresses: Sequence[str]
) -> dict[str, ProcessStatus]:
    """Return the status of every process that answers, by address."""
    answers = await asyncio.gather(*(read_status(session, address) for address in addresses))
    pairs = zip(addresses, answers, strict=True)
    return {address: answer for address, answer in pairs if answer is not None}


async def read_fleet(
    session: aiohttp.ClientSession, seeds: Sequence[str]
) -> dict[str, ProcessStatus]:
    """Return the status of all entry processes that the given ones know."""
    first = await read_all(session, seeds)
    known = {
        member.address
        for status in first.values()
        for member in status.members
        if member.kind == "entry" and member.status != "gone"
    }
    others = await read_all(session, sorted(known - set(first)))
    return {**first, **others}


async def post(session: aiohttp.ClientSession, address: str, path: str) -> Any:
    """Send an empty POST; None where the process does not answer."""
    timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
    try:
        async with session.post(f"http://{address}{path}", timeout=timeout) as response:
            return await response.json()
    except (aiohttp.ClientError, asyncio.TimeoutError, ValueError):
        return None


async def announce(
    session: aiohttp.ClientSession, addresses: Sequence[str], offer: ConfigurationOffer
) -> None:
    """Offer an accepted configuration to entry processes; it spreads without this too."""
    await asyncio.gather(*(call(session, address, offer, Acknowledgement) for address in addresses))


def describe(configuration: Configuration) -> str:
    """Return one line about a configuration."""
    commit = configuration.source_commit[:12] or "-"
    return f"revision {configuration.revision} by {configuration.author} (commit {commit})"
