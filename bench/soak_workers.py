"""Backends of a soak: they fall silent, stand still, fail, and crash by some requests."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from enum import StrEnum

import aiohttp
from aiohttp import web

from review.harness import HEARTBEAT_SECONDS, Deployment, Worker

from .soak_traffic import AT_END, DEADLY, WITHIN
from .soak_verdicts import Arrival

FIRST_EVENT_SECONDS = 0.06
EVENT_GAP_SECONDS = 0.12
EVENTS = 10
STREAM_SECONDS = FIRST_EVENT_SECONDS + (EVENTS - 1) * EVENT_GAP_SECONDS
OWN_PATHS = ("/report", "/order", "/stage-get", "/stage-put")
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
"""Silence after which the platform removes a registration."""
CRASH_SECONDS = 0.03
"""Time from the start of a deadly run to the crash."""
RETURN_SECONDS = (1.0, 4.5)
"""Shortest and longest time from a crash to the next start."""


class Failure(StrEnum):
    """How a run fails that is drawn to fail."""

    ERROR = "500"
    REFUSAL = "503"
    """With the proof that it did not run."""
    RESET = "reset"
    HEAD_RESET = "head-reset"
    """The head of the answer, then a reset."""


class SoakWorker(Worker):
    """A backend with troubles.

    While it is silent it keeps its connections, runs what comes, and sends no byte. While it stands
    still, as a suspended process, it reads nothing; what has come by then it reads when it goes on,
    also if its sender has left.

    Attributes:
      received: When requests arrived, with their attempt ids, also those that it rejects.
      arrivals_seen: The same requests with what was handed on with them.
      reading: Set unless it stands still.
      unread: Requests that have come while it stands still.
      is_frozen: True while it stands still and answers no reports either.
      crash_times: When requests crashed it, with their paths.
      ended: Its incarnations that have crashed.
      run_log: Attempts that began to run, with the incarnation that ran them.
      running: Attempts that run now.
      broken_off: Attempts whose answer it has broken off itself.
      speaking: Set unless it is silent.
      silences: Number of silences that overlap at present.
      place: Place of the latest silence in an answer.
      rng: Draws which of its answers are errors.
      error_share: Share of its runs that fail.
      failure: How they fail.
      fails_streams: True if that holds for streams too.
    """

    def __init__(self, deployment: Deployment, identity: str, service: str, zone: str):
        super().__init__(deployment, identity, service, zone)
        self.received: list[tuple[float, str]] = []
        self.arrivals_seen: list[Arrival] = []
        self.reading = asyncio.Event()
        self.reading.set()
        self.unread: list[web.Request] = []
        self.is_frozen = False
        self.crash_times: list[tuple[float, str]] = []
        self.ended: set[str] = set()
        self.run_log: list[tuple[str, str]] = []
        self.running: set[str] = set()
        self.broken_off: set[str] = set()
        self.speaking = asyncio.Event()
        self.speaking.set()
        self.silences = 0
        self.place = ""
        self.rng = random.Random(f"{deployment.plan.seed} {identity}")
        self.error_share = deployment.plan.error_share
        self.failure = Failure.ERROR
        self.fails_streams = False
        self.first_identity = identity

    async def fall_silent(self, seconds: float, place: str = "") -> None:
        """Be silent for some seconds, then go on unless another silence is under way.

        Args:
          seconds: How long.
          place: WITHIN, AT_END, or empty for between two events and before the head.
        """
        self.record.write("silent", worker=self.identity, seconds=f"{seconds:.2f}", place=place)
        self.silences += 1
        self.place = place
        self.speaking.clear()
        try:
            await asyncio.sleep(seconds)
        finally:
            self.silences -= 1
            if not self.silences:
                self.speaking.set()
                self.record.write("speaks", worker=self.identity)

    async def stand_still(self, seconds: float, answers_reports: bool) -> None:
        """Read no requests for some seconds, nor anything else unless it answers reports."""
        if not self.reading.is_set():
            return
        self.record.write("still", worker=self.identity, seconds=f"{seconds:.2f}")
        self.reading.clear()
        self.is_frozen = not answers_reports
        lapse = asyncio.create_task(self.lapse()) if self.is_frozen else None
        try:
            await asyncio.sleep(seconds)
        finally:
            if lapse is not None:
                lapse.cancel()
            self.go_on()

    def go_on(self) -> None:
        """Read what has come while it stood still."""
        unread, self.unread = self.unread, []
        for request in unread:
            self.record_arrival(request, is_late=True)
        was_frozen, self.is_frozen = self.is_frozen, False
        self.reading.set()
        self.record.write("goes-on", worker=self.identity, unread=len(unread))
        if was_frozen and not self.is_gone:
            self.registered = b""
            self.register()

    async def lapse(self) -> None:
        """Let the platform remove the registration of a backend that sends no heartbeats."""
        await asyncio.sleep(LAPSE_SECONDS)
        self.deployment.store.remove(f"servers/{self.identity}")

    def record_arrival(self, request: web.Request, is_late: bool = False) -> None:
        """Record that a request was read."""
        attempt = request.headers.get("X-Attempt-Id", "")
        now = self.record.now()
        self.received.append((now, attempt))
        left = request.headers.get("X-Deadline-Ms", "")
        deadline = float(left) / 1000 if left else None
        self.arrivals_seen.append(Arrival(now, attempt, self.identity, deadline, is_late))

    async def crash(self, path: str) -> None:
        """End as a crashed process does, and start again after some seconds under a new id.

        It holds its weights then, unlike the platform's, so that the next crash may follow soon.
        """
        if self.runner is None or self.is_gone:
            return
        runner, self.runner = self.runner, None
        self.crash_times.append((self.record.now(), path))
        self.record.write("crash", worker=self.identity, path=path)
        self.is_gone = True
        self.ended.add(self.identity)
        self.broken_off |= self.running
        self.deployment.background(self.remove_later(self.identity))
        self.deployment.background(self.start_again())
        for site in list(runner.sites):
            await site.stop()
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.deployment.background(runner.cleanup())

    async def remove_later(self, identity: str) -> None:
        """Let the platform remove the registration of a crashed backend."""
        await asyncio.sleep(LAPSE_SECONDS)
        if identity != self.identity or self.is_gone:
            self.deployment.store.remove(f"servers/{identity}")

    async def start_again(self) -> None:
        """Start as a new incarnation."""
        await asyncio.sleep(self.rng.uniform(*RETURN_SECONDS))
        self.identity = f"{self.first_identity}-{len(self.crash_times)}"
        self.born = int(time.time() * 1000)
        self.active.clear()
        self.unread.clear()
        self.runner = await self.deployment.listen(self.application(), self.address)
        self.return_to_store()
        self.record.write("back", worker=self.identity)

    def return_to_store(self) -> None:
        """Register again after `deregister`."""
        self.is_gone, self.registered, self.state = False, b"", "ready"
        self.register()

    def application(self) -> web.Application:
        """Build the HTTP application."""

        @web.middleware
        async def hold(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path.startswith(OWN_PATHS):
                if self.is_frozen:
                    await self.reading.wait()
            elif self.reading.is_set():
                self.record_arrival(request)
            else:
                self.unread.append(request)
                await self.reading.wait()
            await self.speaking.wait()
            try:
                return await handler(request)
            except aiohttp.ClientConnectionResetError:
                # The caller has left; nobody reads this answer.
                return web.Response(status=499)

        app = super().application()
        app.middlewares.append(hold)
        return app

    async def whole(self, request: web.Request, attempt: str) -> web.StreamResponse:  # type: ignore[override]
        """Answer as a plain backend, or fail."""
        with self.recorded_run(attempt):
            return await self.run_whole(request, attempt)

    @contextlib.contextmanager
    def recorded_run(self, attempt: str) -> Iterator[None]:
        """Record a run while the context lasts."""
        self.run_log.append((attempt, self.identity))
        self.running.add(attempt)
        try:
            yield
        finally:
            self.running.discard(attempt)

    async def run_whole(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Run a request of a plain backend."""
        if request.path.endswith(DEADLY):
            await self.crash_by(request)
        answer = await super().whole(request, attempt)
        body = answer.body
        assert isinstance(body, bytes)
        if not self.speaking.is_set() and self.place == WITHIN:
            response = web.StreamResponse(headers=self.headers(attempt))
            response.content_length = len(body)
            await response.prepare(request)
            await self.write(response, body)
            return response
        await self.speaking.wait()
        if self.rng.random() < self.error_share:
            return await self.fail(request, attempt)
        return answer

    async def crash_by(self, request: web.Request) -> None:
        """Crash by a deadly request, a moment after its run began."""
        await asyncio.sleep(CRASH_SECONDS)
        await self.crash(request.path)
        await asyncio.sleep(LAPSE_SECONDS)

    async def fail(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Fail as it is told to."""
        if self.failure is Failure.ERROR:
            return web.Response(status=500, headers=self.headers(attempt))
        if self.failure is Failure.REFUSAL:
            self.runs[attempt] -= 1
            self.run_log.remove((attempt, self.identity))
            return web.Response(
                status=503, headers={"X-Not-Executed": "1", "X-Attempt-Id": attempt}
            )
        self.broken_off.add(attempt)
        response = web.StreamResponse(headers=self.headers(attempt))
        if self.failure is Failure.HEAD_RESET:
            if self.is_model:
                response.headers["Content-Type"] = "text/event-stream"
                response.headers["X-Weight-Versions"] = str(self.version)
            else:
                response.content_length = 100
            await response.prepare(request)
            await asyncio.sleep(0.01)
        if request.transport is not None:
            request.transport.abort()
        return response

    async def write(self, response: web.StreamResponse, data: bytes) -> None:
        """Write an event or a body: none or half of it while the backend is silent."""
        half = len(data) // 2 if self.place == WITHIN and not self.speaking.is_set() else 0
        if half:
            await response.write(data[:half])
        await self.speaking.wait()
        await response.write(data[half:])

    async def stream(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Answer with a stream of events, or fail."""
        with self.recorded_run(attempt):
            return await self.run_stream(request, attempt)

    async def run_stream(self, request: web.Request, attempt: str) -> web.StreamResponse:
        """Send a stream of events, which stops while the backend is silent."""
        if request.path.endswith(DEADLY):
            await self.crash_by(request)
        if self.fails_streams and self.rng.random() < self.error_share:
            return await self.fail(request, attempt)
        headers = {"Content-Type": "text/event-stream", "X-Weight-Versions": str(self.version)}
        response = web.StreamResponse(headers={**headers, **self.headers(attempt)})
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        if self.place != WITHIN:
            await self.speaking.wait()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for index in range(first, EVENTS + 1):
            if index > first:
                await asyncio.sleep(EVENT_GAP_SECONDS)
            event = f"id: {index}\ndata: {attempt} {index}\n\n".encode()
            if self.place == AT_END:
                await response.write(event)
            else:
                await self.write(response, event)
        await self.speaking.wait()
        await response.write_eof()
        return response
