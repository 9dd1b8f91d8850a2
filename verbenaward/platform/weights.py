"""Clients for the origin of weights and for the engine on this VM, in direct mode."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from ..bounded_reading import LARGEST_CHUNK_BYTES, LARGEST_REPORT_BYTES, read_at_most
from ..data import HeldWeights
from .declarations import DECODE_ERRORS, parse_held_weights
from .names import (
    MANIFEST_PATH,
    ORDER_PATH,
    PIECE_PATH,
    REPORT_PATH,
    STAGE_GET_PATH,
    STAGE_PUT_PATH,
)

ENGINE_TIMEOUT_SECONDS = 1.0
MANIFEST_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 0.5
HTTP_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class WeightsManifest:
    """Chunk digests of one version of a model.

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
    """State that an engine reports.

    Attributes:
      weights: Weights that it holds completely.
      is_busy: True while it executes an order.
      accepted_orders: Number of orders that it has accepted since its start.
      running: Number of running requests.
      queued: Number of queued requests.
      born_unix_ms: Start of the engine, in milliseconds since the epoch; 0 if unknown.
    """

    weights: tuple[HeldWeights, ...]
    is_busy: bool
    accepted_orders: int
    running: int
    queued: int
    born_unix_ms: int


class OrderOutcome(StrEnum):
    """Outcome of an order to the engine.

    STARTED: accepted and in progress. CONFLICT: the state of the engine does not allow it.
    STALE_FENCE: a newer sender has given orders. DONE: the order was carried out. UNKNOWN: the
    engine answered with another status.
    """

    STARTED = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    STALE_FENCE = "stale-fence"
    UNKNOWN = "unknown"


OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.STARTED,
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
    on_answer: Callable[[], None] = lambda: None,
    silence_seconds: float | None = None,
    limit: int = LARGEST_CHUNK_BYTES,
) -> Result[tuple[int, bytes], str]:
    """Send one request and return the status and body of its answer.

    Args:
      session: HTTP client.
      method: HTTP method.
      url: URL without its query.
      timeout_seconds: Longest time for the whole request.
      query: Parameters of the query.
      body: Body of the request.
      on_answer: Called when the answer begins.
      silence_seconds: Longest time without a byte; None for no limit.
      limit: Longest body of the answer, in bytes.
    """
    timeout = aiohttp.ClientTimeout(
        total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=silence_seconds
    )
    try:
        async with session.request(
            method, url, params=query, data=body, timeout=timeout
        ) as response:
            on_answer()
            return Success((response.status, await read_at_most(response, limit)))
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return Failure(f"{method} {url}: {type(error).__name__} {error}")


def body_if_ok(answer: tuple[int, bytes]) -> Result[bytes, str]:
    """Return the body of an answer with status 200, else a failure."""
    status, body = answer
    return Success(body) if status == 200 else Failure(f"status {status}")


def staged_body(answer: tuple[int, bytes]) -> Result[bytes | None, str]:
    """Return the body of an answer with status 200, None for a status 404, else a failure."""
    return Success(None) if answer[0] == HTTP_NOT_FOUND else body_if_ok(answer)


def parse_manifest(body: bytes) -> Result[WeightsManifest, str]:
    """Parse the manifest of a version."""
    try:
        value = msgspec.json.decode(body)
        digests = tuple(bytes.fromhex(item) for item in value["chunk_hashes"])
        return Success(WeightsManifest(str(value["model_name"]), int(value["version"]), digests))
    except DECODE_ERRORS as error:
        return Failure(f"malformed manifest: {error}")


async def fetch_manifest(
    session: aiohttp.ClientSession,
    origin: str,
    model: str,
    version: int | None,
    on_answer: Callable[[], None] = lambda: None,
) -> Result[WeightsManifest, str]:
    """Fetch the manifest of a version from the origin; `on_answer` as for `call`.

    Without a version the origin sends the manifest of the newest one that the operator has set.
    """
    url = f"http://{origin}{MANIFEST_PATH}{model}"
    query = {} if version is None else {"version": str(version)}
    result = await call(session, "GET", url, MANIFEST_TIMEOUT_SECONDS, query, on_answer=on_answer)
    return result.bind(body_if_ok).bind(parse_manifest)


async def fetch_chunk(
    session: aiohttp.ClientSession,
    origin: str,
    model: str,
    version: int,
    index: int,
    timeout_seconds: float,
    silence_seconds: float | None = None,
    on_answer: Callable[[], None] = lambda: None,
) -> Result[bytes, str]:
    """Fetch one chunk from the origin; its digest is not verified here.

    Args:
      session: HTTP client.
      origin: Host and port of the origin.
      model: Name of the model.
      version: Version of its weights.
      index: Index of the chunk.
      timeout_seconds: Longest time for the whole chunk.
      silence_seconds: Longest time without a byte; None for no limit.
      on_answer: Called when the answer begins.
    """
    url = f"http://{origin}{PIECE_PATH}{model}"
    # The platform names the index of a chunk "sample_count".
    query = {"sample_count": str(index), "version": str(version)}
    result = await call(
        session,
        "GET",
        url,
        timeout_seconds,
        query,
        on_answer=on_answer,
        silence_seconds=silence_seconds,
    )
    return result.bind(body_if_ok)


class LocalEngine:
    """Client for the engine on this VM and its staging area for weights.

    Attributes:
      session: HTTP client.
      address: Address of the engine.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    async def report(self) -> Result[EngineReport, str]:
        """Query the state of the engine."""
        result = await self.request("GET", REPORT_PATH, limit=LARGEST_REPORT_BYTES)
        return result.bind(body_if_ok).bind(parse_report)

    async def put_chunk(self, model: str, index: int, chunk: bytes) -> Result[bytes, str]:
        """Write a chunk to the staging area, over any earlier one with the same index."""
        query = {"sample_count": str(index)}
        path = STAGE_PUT_PATH + model
        result = await self.request("PUT", path, query, chunk, LARGEST_REPORT_BYTES)
        return result.bind(body_if_success)

    async def staged_chunk(self, model: str, index: int) -> Result[bytes | None, str]:
        """Read a chunk back from the staging area; None if none is staged."""
        query = {"sample_count": str(index)}
        result = await self.request("GET", STAGE_GET_PATH + model, query)
        return result.bind(staged_body)

    async def order_load(
        self, model: str, version: int, accepted_orders: int
    ) -> Result[OrderOutcome, str]:
        """Order the engine to load the staged weights once its running requests have ended.

        Args:
          model: Name of the model.
          version: Version of the staged weights.
          accepted_orders: Number of orders that it had accepted when the staged chunks were
            verified; the engine refuses the order if that has changed.
        """
        order: dict[str, Any] = {
            "operation": "start",
            "model_name": model,
            "version": version,
            "switch_mode": "wait",
            "precondition": accepted_orders,
        }
        body = msgspec.json.encode(order)
        result = await self.request("POST", ORDER_PATH, body=body, limit=LARGEST_REPORT_BYTES)
        return result.map(lambda answer: OUTCOME_BY_STATUS.get(answer[0], OrderOutcome.UNKNOWN))

    async def request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        limit: int = LARGEST_CHUNK_BYTES,
    ) -> Result[tuple[int, bytes], str]:
        """Send one request to the engine and read an answer of at most `limit` bytes."""
        url = f"http://{self.address}{path}"
        return await call(
            self.session, method, url, ENGINE_TIMEOUT_SECONDS, query, body, limit=limit
        )


def body_if_success(answer: tuple[int, bytes]) -> Result[bytes, str]:
    """Return the body of an answer with any 2xx status, else a failure."""
    status, body = answer
    return Success(body) if 200 <= status < 300 else Failure(f"status {status}")


def parse_report(body: bytes) -> Result[EngineReport, str]:
    """Parse the report of an engine."""
    try:
        value = msgspec.json.decode(body)
        return Success(
            EngineReport(
                weights=parse_held_weights(value) or (),
                is_busy=bool(value.get("busy")),
                accepted_orders=int(value.get("sequence") or 0),
                running=int(value.get("active_requests") or 0),
                queued=int(value.get("queued_requests") or 0),
                born_unix_ms=int(value.get("born") or 0),
            )
        )
    except DECODE_ERRORS as error:
        return Failure(f"malformed report: {error}")
