"""Calls to the users' origin of weights and to the engine on an endpoint's own VM."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..data import HeldWeights
from .declarations import BAD_VALUE, weights_of
from .names import (
    MANIFEST_PATH,
    ORDER_PATH,
    PIECE_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)

LOCAL_SECONDS = 1.0
MANIFEST_SECONDS = 2.0
CONNECT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class WeightsManifest:
    """Digests of the chunks of one version.

    Attributes:
      model: Name of the model.
      version: Version of its weights.
      digests: SHA-256 of each chunk, in order.
    """

    model: str
    version: int
    digests: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
      weights: Whole weights that it holds.
      is_busy: True while an order is in progress.
      orders: Orders that it has accepted since its start.
      running: Requests that run.
      queued: Requests that wait.
      born_unix_ms: When it was started; 0 where it does not say.
    """

    weights: tuple[HeldWeights, ...]
    is_busy: bool
    orders: int
    running: int
    queued: int
    born_unix_ms: int


class OrderOutcome(StrEnum):
    """What became of an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    STALE_FENCE = "stale-fence"
    UNKNOWN = "unknown"


OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.BEGUN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.STALE_FENCE,
}


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_seconds: float,
    query: dict[str, str] | None = None,
    body: bytes | None = None,
) -> Result[tuple[int, bytes], str]:
    """Make one call and return its status and whole body."""
    timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_SECONDS)
    try:
        async with session.request(
            method, url, params=query, data=body, timeout=timeout
        ) as response:
            return Success((response.status, await response.read()))
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Failure(f"{method} {url}: {type(error).__name__} {error}")


def only_ok(answer: tuple[int, bytes]) -> Result[bytes, str]:
    """Return the body of a success."""
    status, body = answer
    return Success(body) if status == 200 else Failure(f"status {status}")


def manifest_of(body: bytes) -> Result[WeightsManifest, str]:
    """Return the manifest that a body holds."""
    try:
        value = msgspec.json.decode(body)
        digests = tuple(bytes.fromhex(item) for item in value["chunk_hashes"])
        return Success(WeightsManifest(str(value["model_name"]), int(value["version"]), digests))
    except BAD_VALUE as error:
        return Failure(f"the manifest cannot be read: {error}")


async def fetch_manifest(
    session: aiohttp.ClientSession, origin: str, model: str, version: int
) -> Result[WeightsManifest, str]:
    """Return the manifest of a version from the origin."""
    url = f"http://{origin}{MANIFEST_PATH}{model}"
    result = await call(session, "GET", url, MANIFEST_SECONDS, {"version": str(version)})
    return result.bind(only_ok).bind(manifest_of)


async def fetch_chunk(
    session: aiohttp.ClientSession,
    origin: str,
    model: str,
    version: int,
    index: int,
    timeout_seconds: float,
) -> Result[bytes, str]:
    """Return a chunk from the origin, unchecked."""
    url = f"http://{origin}{PIECE_PATH}{model}"
    query = {"sample_count": str(index), "version": str(version)}
    result = await call(session, "GET", url, timeout_seconds, query)
    return result.bind(only_ok)


class LocalEngine:
    """The engine on this VM and the staging area beside it.

    Attributes:
      session: HTTP client.
      address: Address of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    async def report(self) -> Result[EngineReport, str]:
        """Return what the engine says of itself."""
        result = await self.request("GET", REPORT_PATH)
        return result.bind(only_ok).bind(report_of)

    async def put_chunk(self, model: str, index: int, chunk: bytes) -> Result[bytes, str]:
        """Stage a chunk; it overwrites the one that was there."""
        query = {"sample_count": str(index)}
        result = await self.request("PUT", STAGE_PUT_PATH + model, query, chunk)
        return result.bind(accepted)

    async def staged_chunk(self, model: str, index: int) -> Result[bytes, str]:
        """Return a staged chunk as it is now."""
        result = await self.request("GET", STAGE_GET_PATH + model, {"sample_count": str(index)})
        return result.bind(only_ok)

    async def start(self, model: str, version: int, orders: int) -> Result[OrderOutcome, str]:
        """Order the engine to load what is staged, after what it runs.

        Args:
          model: Name of the model.
          version: Version of the staged weights.
          orders: Orders that it had accepted when the staged chunks were checked.
        """
        order: dict[str, Any] = {
            "operation": "start",
            "model_name": model,
            "version": version,
            "switch_mode": "wait",
            "precondition": orders,
        }
        result = await self.request("POST", ORDER_PATH, body=msgspec.json.encode(order))
        return result.map(lambda answer: OUTCOME_BY_STATUS.get(answer[0], OrderOutcome.UNKNOWN))

    async def request(
        self, method: str, path: str, query: dict[str, str] | None = None, body: bytes | None = None
    ) -> Result[tuple[int, bytes], str]:
        """Call the engine."""
        url = f"http://{self.address}{path}"
        return await call(self.session, method, url, LOCAL_SECONDS, query, body)


def accepted(answer: tuple[int, bytes]) -> Result[bytes, str]:
    """Return the body of any 2xx answer."""
    status, body = answer
    return Success(body) if 200 <= status < 300 else Failure(f"status {status}")


def report_of(body: bytes) -> Result[EngineReport, str]:
    """Return the report that a body holds."""
    try:
        value = msgspec.json.decode(body)
        return Success(
            EngineReport(
                weights=weights_of(value) or (),
                is_busy=bool(value.get("busy")),
                orders=int(value.get("sequence") or 0),
                running=int(value.get("active_requests") or 0),
                queued=int(value.get("queued_requests") or 0),
                born_unix_ms=int(value.get("born") or 0),
            )
        )
    except BAD_VALUE as error:
        return Failure(f"the report cannot be read: {error}")
