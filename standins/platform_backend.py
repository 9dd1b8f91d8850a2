"""Stand-ins for backends of the users' platform: plain service, engine, and origin of weights."""

import asyncio
import contextlib
import gzip
import hashlib
import json
import random
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from .staging_area import StagingAreaStandIn

STREAM_EVENTS = 12
"""Events of a complete stream."""
WORK_SECONDS = 0.005
"""Time until a response or to the next event, unless the mode is "slow"."""
LINK_SLICE_BYTES = 4096
LINK_LATE_SECONDS = 0.02
"""Time by which a slice may be late without lowering the rate of the origin's link."""
SEND_BUFFER_BYTES = 64 * 1024
"""Send buffer of a connection whose events are padded."""
ENDLESS_BLOCK_BYTES = 64 * 1024
"""Bytes that a backend without end to its answer sends at a time."""
RESUMED_WRONGLY = (
    "resumes-anew",
    "resumes-encoded",
    "resumes-with-text",
    "resumes-with-error",
    "resumes-cut-head",
)
"""Modes in which a stream breaks off in its middle, and what resumes it is not its rest."""
ENDLESS = {
    "endless-body": ("HTTP/1.1 200 OK\r\nSIGNATURE\r\n", "x"),
    "endless-chunks": (
        "HTTP/1.1 200 OK\r\nSIGNATURETransfer-Encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n",
    ),
    "endless-failure": ("HTTP/1.1 500 Failed\r\nSIGNATURE\r\n", "x"),
    "endless-headers": ("HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"),
    "endless-header": ("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
    "endless-hints": ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    "endless-noise": ("", "\x00noise"),
}
"""What backends send whose answers don't end, by mode: the beginning, and what they repeat."""


@dataclass(frozen=True, slots=True)
class Silence:
    """A silence in the middle of an answer.

    Attributes:
      framing: "length", "chunked", or "unframed" for a body that ends with its connection.
      share: Share of the bytes of the answer, with its head, that are sent before the silence.
      seconds: Length of the silence.
    """

    framing: str
    share: float
    seconds: float


class PlatformBackendStandIn:
    """HTTP backend, a plain service or an engine, whose mode selects a fault.

    Attributes:
      identity: Its name in the store.
      service: Name of its service; an engine's is "engines".
      zone: Its availability zone.
      address: Host and port at which it listens.
      mode: "ok", "full" (503, not executed), "hang" (no response), "reset" (the connection is
        reset), "truncated-event" (a stream is reset within an event), "trickling" (half of a
        stream, then a byte every 0.1 s), "wrong-attempt" (the response has the id of another
        attempt), "truncated" (half of the body, then a reset), "unframed-reset" (as "truncated",
        without a Content-Length), "failing" (500), "unsigned" (no X-Server-Signature), "slow",
        "pausing" (as "full", with a Retry-After of `pause_seconds`), "pausing-late" (the same
        once the deadline of the request has passed in the queue), "crashing" (a request that
        begins to run ends the process, see `crash`), "cut-head-closed" or "cut-head-reset" (the
        head of the response ends after `head_bytes`, and the connection with it) or one of ENDLESS.
      head_bytes: Length of a head that is cut, in bytes.
      endless_bytes: Bytes sent in such a mode so far.
      padding: Text that lengthens each answer to a look-up and each event of a stream.
      stream_events: Events of a complete stream.
      stream_mark: Byte order mark, or other bytes, with which a stream begins.
      line_end: Line end of the events.
      splits_line_ends: True to send the last byte of an event a little later.
      last_event_ids: Event ids after which streams were to go on; empty for whole ones.
      sent_events: Events of streams sent so far.
      silent_until: Time until which it sends nothing, and then goes on, monotonic.
      silences: Silences of the next runs of an attempt, by attempt id; they may be shared.
      unread_seconds: Time after which it cuts off a stream that is not read; None for never.
      crashing_part: Part of a prompt that crashes an engine as it begins to answer; empty for none.
      restart_seconds: Time after which it is back after a crash, in seconds.
      crashes: Number of crashes so far.
      active: Requests that run now.
      site: Its listening socket; None while it has crashed.
      open_site: Opens the listening socket and registers the backend; set by the platform.
      restarting: Opens it again after the last crash.
      pause_seconds: Time for which it asks for no requests in mode "pausing", in seconds.
      says_leaving: Whether all its responses say that it leaves.
      reset_after_turns: Turns of the event loop after which a truncated answer is reset; None for
        20 ms.
      limit: Limit that all its responses name; empty for none.
      heartbeats: Number of registrations so far.
      born_unix_ms: Start time that it registers, in milliseconds since the epoch.
      arrivals: Times at which requests arrived, monotonic, whether they ran or not.
      arrival_ids: Their attempt ids.
      named_limits: Times at which responses began that name a limit, with their attempt ids.
      run_counts: Number of runs that began, by attempt id.
      cancelled: Ids of attempts that ended early, because the caller left or by a reset.
      last_headers: Headers of the last request.
      bodies: Bodies of all requests that began to run.
      version: Version of the loaded weights; 0 for none.
      model: Name of the model that it serves.
      staging: Staged chunks.
      loaded_chunks: Chunks of the last accepted order, by index; set by the first such order.
      loaded_bad_seconds: For how long chunks of that order had been bad, by index.
      unanswered_orders: Number of the next orders that are neither accepted nor answered.
      accepted_orders: Number of accepted orders to load weights.
      loaded_versions: Versions of these orders.
      busy: Whether the engine reports that it is busy and refuses orders.
    """

    def __init__(self, identity: str, service: str, zone: str, version: int = 1) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.address = ""
        self.mode = "ok"
        self.run_counts: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.last_headers: dict[str, str] = {}
        self.bodies: list[bytes] = []
        self.version = version
        self.model = "model"
        self.staging = StagingAreaStandIn()
        self.loaded_bad_seconds: dict[int, float] = {}
        self.unanswered_orders = 0
        self.accepted_orders = 0
        self.loaded_versions: list[int] = []
        self.busy = False
        self.pause_seconds = 1.0
        self.says_leaving = False
        self.limit = ""
        self.reset_after_turns: int | None = None
        self.heartbeats = 1
        self.born_unix_ms = 1
        self.arrivals: list[float] = []
        self.arrival_ids: list[str] = []
        self.named_limits: list[tuple[float, str]] = []
        self.padding = ""
        self.stream_events = STREAM_EVENTS
        self.stream_mark = b""
        self.line_end = b"\n"
        self.splits_line_ends = False
        self.last_event_ids: list[str] = []
        self.sent_events = 0
        self.silent_until = 0.0
        self.silences: dict[str, list[Silence]] = {}
        self.unread_seconds: float | None = None
        self.crashing_part = ""
        self.endless_bytes = 0
        self.head_bytes = 0
        self.restart_seconds = 0.1
        self.crashes = 0
        self.active: list[web.Request] = []
        self.site: web.TCPSite | None = None
        self.open_site: Callable[[], Awaitable[web.TCPSite]] | None = None
        self.restarting: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_get("/report", self.report)
        app.router.add_post("/order", self.order)
        app.router.add_put("/stage-put/{model}", self.staging.put)
        app.router.add_get("/stage-get/{model}", self.staging.get)
        app.router.add_route("*", "/{path:.*}", self.serve)
        app.on_response_prepare.append(self.add_notices)
        return app

    async def add_notices(self, request: web.Request, response: web.StreamResponse) -> None:
        """Say in a response that the backend leaves, and name its limit, if it has one."""
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"
        if self.limit:
            response.headers["Server-Limit"] = self.limit
            attempt = request.headers.get("X-Attempt-Id", "")
            self.named_limits.append((time.monotonic(), attempt))

    def registration(self, state: str = "ready") -> bytes:
        """Encode the registration that the backend writes to the store."""
        body: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.heartbeats,
            "born": self.born_unix_ms,
        }
        self.heartbeats += 1
        if self.service == "engines":
            body["model_list"] = self.models()
        return json.dumps(body).encode()

    def models(self) -> list[dict[str, Any]]:
        """Return the loaded weights in the form of the registration."""
        if not self.version:
            return []
        return [{"name": self.model, "version": self.version, "lora_adapters": []}]

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Check the expected instance and version, then run the request as the mode says."""
        attempt = request.headers.get("X-Attempt-Id", "")
        self.last_headers = dict(request.headers)
        self.arrivals.append(time.monotonic())
        self.arrival_ids.append(attempt)
        expected = request.headers.get("X-Expect-Instance", self.identity)
        version = request.headers.get("X-Expect-Version", str(self.version))
        if expected != self.identity or version != str(self.version):
            return web.Response(status=421)
        if self.mode == "full":
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        if self.mode == "pausing-late":
            await asyncio.sleep(float(request.headers["X-Deadline-Ms"]) / 1000)
        if self.mode in ("pausing", "pausing-late"):
            headers = {"X-Not-Executed": "1", "Retry-After": f"{self.pause_seconds:g}"}
            return web.Response(status=503, headers=headers)
        self.bodies.append(await request.read())
        self.run_counts[attempt] += 1
        self.active.append(request)
        try:
            return await self.run(request, attempt)
        except asyncio.CancelledError:
            self.cancelled.append(attempt)
            raise
        finally:
            self.active = [item for item in self.active if item is not request]

    async def end_of_silence(self) -> None:
        """Wait until it may send again."""
        await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))

    async def crash(self) -> None:
        """End as a process does: stop listening, reset all connections, and come back later.

        Raises:
          CancelledError: Always, to end the handler.
        """
        self.crashes += 1
        site, self.site = self.site, None
        if site is not None:
            await site.stop()
            self.restarting = asyncio.create_task(self.restart())
        for request in self.active:
            with contextlib.suppress(asyncio.CancelledError):
                reset_connection(request)
        raise asyncio.CancelledError

    async def restart(self) -> None:
        """Start again after a crash, as a new incarnation under the same id."""
        await asyncio.sleep(self.restart_seconds)
        self.born_unix_ms += 1
        assert self.open_site is not None
        self.site = await self.open_site()

    async def run(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Run a request and respond as the mode says."""
        if self.mode == "hang":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            reset_connection(request)
        if self.mode == "crashing":
            await self.crash()
        if self.mode in ENDLESS:
            await self.send_without_end(request, attempt)
        if self.mode.startswith("cut-head"):
            await self.cut_head(request, attempt)
        await asyncio.sleep(0.4 if self.mode == "slow" else WORK_SECONDS)
        await self.end_of_silence()
        answered_attempt = "another" if self.mode == "wrong-attempt" else attempt
        headers = {
            "X-Attempt-Id": answered_attempt,
            "X-Server-Signature": f"{self.identity}.{attempt}",
        }
        if self.mode == "unsigned":
            del headers["X-Server-Signature"]
        if self.mode == "failing":
            return web.Response(status=500, headers=headers, text="failed")
        body = f"{self.identity} ran {attempt}".encode() * 40
        if self.silences.get(attempt):
            await self.send_with_silence(request, headers, body, self.silences[attempt].pop(0))
        if request.path.startswith("/stream"):
            return await self.stream(request, headers)
        if request.path.startswith("/look"):
            body += self.padding.encode()
        if self.mode in ("truncated", "unframed-reset"):
            return await self.broken_body(request, headers, body)
        return web.Response(headers=headers, body=body)

    async def cut_head(self, request: web.Request, attempt: str) -> None:
        """Send the beginning of the head of a response, then close or reset the connection.

        Raises:
          CancelledError: Always, to end the handler.
        """
        assert request.transport is not None
        head = cut_head_of(attempt)[: self.head_bytes]
        request.transport.write(head)  # type: ignore[attr-defined]
        await asyncio.sleep(0.01)
        if self.mode == "cut-head-reset":
            reset_connection(request)
        request.transport.close()
        raise asyncio.CancelledError

    async def send_without_end(self, request: web.Request, attempt: str) -> None:
        """Send the beginning and then the repeated bytes of a mode until the caller closes.

        Raises:
          CancelledError: Always, to end the handler.
        """
        assert request.transport is not None
        beginning, repeated = ENDLESS[self.mode]
        signature = f"X-Attempt-Id: {attempt}\r\nX-Server-Signature: s\r\n"
        request.transport.write(beginning.replace("SIGNATURE", signature).encode())  # type: ignore[attr-defined]
        block = repeated.encode() * (ENDLESS_BLOCK_BYTES // len(repeated))
        while not request.transport.is_closing():
            if request.transport.get_write_buffer_size() < len(block):  # type: ignore[attr-defined]
                request.transport.write(block)  # type: ignore[attr-defined]
                self.endless_bytes += len(block)
            await asyncio.sleep(0)
        raise asyncio.CancelledError

    async def broken_body(
        self, request: web.Request, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        """Send the head and half of the body, then reset the connection."""
        assert request.transport is not None
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        length = f"Content-Length: {len(body)}\r\n" if self.mode == "truncated" else ""
        head = f"HTTP/1.1 200 OK\r\n{lines}{length}Connection: close\r\n\r\n"
        request.transport.write(head.encode() + body[: len(body) // 2])  # type: ignore[attr-defined]
        if self.reset_after_turns is None:
            await asyncio.sleep(0.02)
        for _ in range(self.reset_after_turns or 0):
            await asyncio.sleep(0)
        reset_connection(request)
        raise AssertionError

    async def send_with_silence(
        self, request: web.Request, headers: dict[str, str], body: bytes, silence: Silence
    ) -> None:
        """Send an answer that is silent once, and close the connection.

        Raises:
          CancelledError: Always, to end the handler.
        """
        assert request.transport is not None
        pieces = [body[:100], body[100:]]
        if request.path.startswith("/stream"):
            headers = {**headers, "Content-Type": "text/event-stream", "X-Weight-Versions": "1"}
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            pieces = [
                f"id: {index}\ndata: piece {index}\n\n".encode()
                for index in range(first, self.stream_events + 1)
            ]
        answer = framed(headers, pieces, silence.framing)
        sent = round(silence.share * len(answer))
        request.transport.write(answer[:sent])  # type: ignore[attr-defined]
        await asyncio.sleep(silence.seconds)
        request.transport.write(answer[sent:])  # type: ignore[attr-defined]
        request.transport.close()
        raise asyncio.CancelledError

    async def stream(self, request: web.Request, headers: dict[str, str]) -> web.StreamResponse:
        """Send the events after the caller's Last-Event-Id."""
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream", "X-Weight-Versions": "1"}
        )
        if self.mode in RESUMED_WRONGLY and "Last-Event-Id" in request.headers:
            return await self.resume_wrongly(request, headers)
        await response.prepare(request)
        if self.crashing_part and self.crashing_part in parts_of(request):
            await asyncio.sleep(WORK_SECONDS)
            await self.crash()
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        self.last_event_ids.append(request.headers.get("Last-Event-Id", ""))
        mark = self.stream_mark
        if self.padding:
            limit_send_buffer(request)
        for index in range(first, self.stream_events + 1):
            event = f"id: {index}\ndata: piece {index}{self.padding}\n\n".encode()
            event, mark = mark + event.replace(b"\n", self.line_end), b""
            breaks = self.mode == "truncated-event" or self.mode in RESUMED_WRONGLY
            if breaks and index == STREAM_EVENTS // 2:
                await response.write(event[:6])
                await asyncio.sleep(0.01)
                reset_connection(request)
            if self.mode == "trickling" and index == STREAM_EVENTS // 2:
                await trickle(response, b"data: " + b"x" * 600)
            try:
                async with asyncio.timeout(self.unread_seconds):
                    if self.splits_line_ends:
                        await response.write(event[:-1])
                        await asyncio.sleep(WORK_SECONDS)
                        event = event[-1:]
                    await response.write(event)
            except TimeoutError:
                reset_connection(request)
            self.sent_events += 1
            await self.end_of_silence()
            await asyncio.sleep(0.15 if self.mode == "slow" else WORK_SECONDS)
        await response.write_eof()
        return response

    async def resume_wrongly(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Answer a request to go on with a stream as the mode says."""
        if self.mode == "resumes-cut-head":
            attempt = request.headers["X-Attempt-Id"]
            self.head_bytes = len(cut_head_of(attempt)) - 1
            await self.cut_head(request, attempt)
        first_event = b"id: 1\ndata: piece 1\n\n"
        if self.mode == "resumes-anew":
            kind = {"Content-Type": "text/event-stream"}
            return web.Response(headers={**headers, **kind}, body=first_event)
        if self.mode == "resumes-encoded":
            kind = {"Content-Type": "text/event-stream", "Content-Encoding": "gzip"}
            return web.Response(headers={**headers, **kind}, body=gzip.compress(first_event))
        text = b'{"error": "no"}\n\nHTTP/1.1 503 no\r\n\r\n'
        status = 200 if self.mode == "resumes-with-text" else 500
        return web.Response(status=status, headers=headers, body=text)

    async def report(self, request: web.Request) -> web.Response:
        """Return the state and load of the engine."""
        return web.json_response(
            {
                "model_list": self.models(),
                "busy": self.busy,
                "sequence": self.accepted_orders,
                "born": self.born_unix_ms,
                "active_requests": 0,
                "queued_requests": 0,
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """Load the staged chunks as the ordered version, unless busy or the precondition fails."""
        body = await request.json()
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            await asyncio.sleep(3600)
        if body.get("precondition", self.accepted_orders) != self.accepted_orders or self.busy:
            return web.Response(status=409)
        self.accepted_orders += 1
        self.loaded_chunks = dict(self.staging.chunks)
        self.loaded_bad_seconds = self.staging.bad_seconds()
        self.version = body["version"]
        self.loaded_versions.append(self.version)
        return web.Response(status=202)


class PlatformOriginStandIn:
    """HTTP origin of weights: manifests and chunks.

    Attributes:
      versions: Chunks by version.
      corrupt_once: Indexes of chunks whose next response is corrupted, as zeros.
      spoil_manifest: Returns a manifest's body as it is sent.
      sent_counts: Number of responses by version and index of the chunk.
      refused_indexes: Indexes of chunks that get status 503, in all versions.
      refused_versions: Versions whose chunks get status 503; their manifests are still served.
      refuses_chunks: Whether requests for chunks get status 503; manifests are still served.
      is_silent: Whether requests for manifests and chunks get no response.
      megabits_per_second: Rate of its link, which chunks share; 0 for no limit. While it is silent
        it sends nothing, and transfers that have begun never end.
      complete: Number of whole chunks that have left it over such a link, by version and index.
      sent_bytes: Bytes of chunks that have left it.
      link: Held while a slice is on its link.
      link_free_at: When the last slice has left the link, monotonic.
    """

    def __init__(self) -> None:
        self.megabits_per_second = 0.0
        self.sent_bytes = 0
        self.complete: Counter[tuple[int, int]] = Counter()
        self.link = asyncio.Lock()
        self.link_free_at = 0.0
        self.versions: dict[int, list[bytes]] = {}
        self.corrupt_once: set[int] = set()
        self.spoil_manifest: Callable[[bytes], bytes] = lambda body: body
        self.sent_counts: Counter[tuple[int, int]] = Counter()
        self.address = ""
        self.refused_indexes: set[int] = set()
        self.refused_versions: set[int] = set()
        self.refuses_chunks = False
        self.is_silent = False

    def add_version(self, version: int, chunks: int, size: int) -> None:
        """Add a version of pseudo-random chunks; size is the bytes of one chunk."""
        rng = random.Random(version)
        self.versions[version] = [rng.randbytes(size) for _ in range(chunks)]

    def application(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application()
        app.router.add_get("/manifest/{model}", self.manifest)
        app.router.add_get("/piece/{model}", self.piece)
        return app

    async def manifest(self, request: web.Request) -> web.Response:
        """Return the manifest of a version with the SHA-256 digest of each chunk."""
        if self.is_silent:
            await asyncio.sleep(3600)
        version = int(request.query.get("version", max(self.versions)))
        if version not in self.versions:
            return web.Response(status=410)
        digests = [hashlib.sha256(chunk).hexdigest() for chunk in self.versions[version]]
        manifest = {
            "model_name": request.match_info["model"],
            "version": version,
            "chunk_size_bytes": len(self.versions[version][0]),
            "layers": 16,
            "chunk_hashes": digests,
        }
        body = self.spoil_manifest(json.dumps(manifest).encode())
        return web.Response(body=body, content_type="application/json")

    async def piece(self, request: web.Request) -> web.StreamResponse:
        """Return a chunk, corrupted if its index is in `corrupt_once`, which it then leaves."""
        version, index = int(request.query["version"]), int(request.query["sample_count"])
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.refuses_chunks or version in self.refused_versions or index in self.refused_indexes:
            return web.Response(status=503)
        self.sent_counts[version, index] += 1
        chunk = self.versions[version][index]
        if index in self.corrupt_once:
            self.corrupt_once.discard(index)
            chunk = bytes(len(chunk))
        if self.megabits_per_second:
            response = await self.send_over_link(request, chunk)
            self.complete[version, index] += 1
            return response
        self.sent_bytes += len(chunk)
        return web.Response(body=chunk)

    async def send_over_link(self, request: web.Request, chunk: bytes) -> web.StreamResponse:
        """Send a chunk in slices that share the link with those of other chunks."""
        response = web.StreamResponse(headers={"Content-Length": str(len(chunk))})
        await response.prepare(request)
        for start in range(0, len(chunk), LINK_SLICE_BYTES):
            part = chunk[start : start + LINK_SLICE_BYTES]
            was_busy = self.link.locked()
            async with self.link:
                # Times are absolute, so that a late event loop does not lower the rate.
                if not was_busy:
                    earliest = time.monotonic() - LINK_LATE_SECONDS
                    self.link_free_at = max(self.link_free_at, earliest)
                self.link_free_at += len(part) * 8 / (self.megabits_per_second * 1e6)
                await asyncio.sleep(max(0.0, self.link_free_at - time.monotonic()))
            if self.is_silent:
                await asyncio.sleep(3600)
            self.sent_bytes += len(part)
            await response.write(part)
        await response.write_eof()
        return response


def cut_head_of(attempt: str) -> bytes:
    """Return the whole head of a response whose head is to be cut."""
    lines = (
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"X-Attempt-Id: {attempt}",
        f"X-Server-Signature: s.{attempt}",
        "Content-Length: 400",
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def framed(headers: dict[str, str], pieces: Iterable[bytes], framing: str) -> bytes:
    """Return the bytes of an answer with a body in one of the framings of `Silence`."""
    body = b"".join(pieces)
    ends = {"length": {"Content-Length": str(len(body))}, "chunked": {"Transfer-Encoding": framing}}
    lines = {**headers, **ends.get(framing, {"Connection": "close"})}
    head = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {lines[name]}\r\n" for name in lines)
    if framing == "chunked":
        body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    return head.encode() + b"\r\n" + body


def parts_of(request: web.Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, without the last, which is its own."""
    entries = request.headers.get("X-Prompt-Prefix-Hash", "").split(",")
    return [entry.partition(":")[0].strip() for entry in entries[:-1]]


async def trickle(response: web.StreamResponse, data: bytes) -> None:
    """Send data byte by byte, ten a second."""
    for byte in data:
        await response.write(bytes([byte]))
        await asyncio.sleep(0.1)


def reset_connection(request: web.Request) -> None:
    """Reset the TCP connection of a request: without linger, abort sends RST instead of FIN.

    Raises:
      CancelledError: Always, to end the handler.
    """
    if request.transport is not None:
        connection_socket = request.transport.get_extra_info("socket")
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.transport.abort()
    raise asyncio.CancelledError


def limit_send_buffer(request: web.Request) -> None:
    """Keep the send buffer of a connection small, so that an unread stream soon stops."""
    assert request.transport is not None
    connection_socket = request.transport.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
