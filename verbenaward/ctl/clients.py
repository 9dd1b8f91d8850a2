"""Calls of the command-line tool to the key-value service, entry and endpoint processes."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp
import msgspec
import uvloop

from ..answer_protocol import AnswerConnector
from ..bounded_reading import LARGEST_MESSAGE_BYTES, LARGEST_REPORT_BYTES, read_at_most
from ..data import Configuration
from ..http_client import send_writes_once
from ..platform.key_value import ADAPTERS, KeyValueService
from ..platform.stored_values import decode_value
from ..schema.messages import Acknowledgement, ConfigurationOffer
from ..wire.rpc import call

Value = TypeVar("Value")
CALL_TIMEOUT_SECONDS = 3.0
"""Time limit of one HTTP call to a process."""


@dataclass(frozen=True, slots=True)
class MemberStatusReport:
    """Record of a member, as /admin/status reports it."""

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
    """Progress of an endpoint process in deploying a release; times are Unix seconds."""

    release: str
    held_share: float
    started_unix: float
    held_unix: float
    active_unix: float


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """JSON body of GET /admin/status."""

    member: MemberStatusReport
    revision: int
    digest: str
    service_head: int
    members: tuple[MemberStatusReport, ...]
    ready: bool
    heard_revisions: dict[str, int] = field(default_factory=dict)
    progress: ProgressReport | None = None


def run_with_key_value(url: str, operation: Callable[[KeyValueService], Awaitable[Value]]) -> Value:
    """Run an async operation on the key-value service at a URL and return its result."""

    async def run() -> Value:
        async with aiohttp.ClientSession(
            connector=AnswerConnector(), middlewares=(send_writes_once,)
        ) as session:
            return await operation(ADAPTERS.find("http")(session, url))

    return uvloop.run(run())


async def read_status(session: aiohttp.ClientSession, address: str) -> ProcessStatus | None:
    """Return the status of a process; None if it does not answer or the answer is malformed."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with session.get(f"http://{address}/admin/status", timeout=timeout) as response:
            return decode_value(await read_at_most(response, LARGEST_MESSAGE_BYTES), ProcessStatus)
    except (aiohttp.ClientError, asyncio.TimeoutError, msgspec.DecodeError):
        return None


async def read_statuses(
    session: aiohttp.ClientSession, addresses: Sequence[str]
) -> dict[str, ProcessStatus]:
    """Return the status of every process that answers, by address."""
    answers = await asyncio.gather(*(read_status(session, address) for address in addresses))
    pairs = zip(addresses, answers, strict=True)
    return {address: answer for address, answer in pairs if answer is not None}


async def read_entry_statuses(
    session: aiohttp.ClientSession, seeds: Sequence[str]
) -> dict[str, ProcessStatus]:
    """Return the status of the given entry processes and of all that they list, by address."""
    first = await read_statuses(session, seeds)
    listed = {
        member.address
        for status in first.values()
        for member in status.members
        if member.kind == "entry" and member.status != "gone"
    }
    others = await read_statuses(session, sorted(listed - set(first)))
    return {**first, **others}


async def post(session: aiohttp.ClientSession, address: str, path: str) -> Any:
    """Send a POST without a body and return the JSON answer; None if there is no valid one."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with session.post(f"http://{address}{path}", timeout=timeout) as response:
            return msgspec.json.decode(await read_at_most(response, LARGEST_REPORT_BYTES))
    except (aiohttp.ClientError, asyncio.TimeoutError, ValueError, RecursionError):
        return None


async def send_offer(
    session: aiohttp.ClientSession, addresses: Sequence[str], offer: ConfigurationOffer
) -> None:
    """Send an accepted configuration to entry processes; the watch on its key finds it too."""
    await asyncio.gather(*(call(session, address, offer, Acknowledgement) for address in addresses))


def describe_revision(configuration: Configuration) -> str:
    """Return revision, author and commit of a configuration as one line of text."""
    commit = configuration.source_commit[:12] or "-"
    return f"revision {configuration.revision} by {configuration.author} (commit {commit})"
