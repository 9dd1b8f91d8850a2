"""Handler of /run, with which entry processes send requests to an endpoint process.

Every answer carries a verdict: whether the request ran, did not run or may have run.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from blake3 import blake3
from returns.result import Failure, Result, Success

from .. import clock
from ..data import Refusal, Verdict
from ..draining import DrainingRequests, has_begun
from ..requests import headers
from ..requests.at_most_once import AtMostOnceRunner
from ..requests.attempt import BACKEND_CRASHED, body_digest
from ..requests.event_stream import EventStreamParser
from ..requests.events import CRASH_EVENT, is_done, received_events
from ..requests.records import Answer, format_load
from ..requests.refusals import may_have_run, not_run, response_of
from ..targets import checked_target
from .admission import AdmissionGate
from .backend import BackendCall, BackendClient, is_answer_to

MILLISECONDS = 1000
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A parsed /run request of an entry process.

    Attributes:
      call: Call to the backend.
      workspace: Workspace of the caller.
      target_vm: VM that the request is meant for.
      release: Digest of the release that must serve the request, in hexadecimal; empty for a
        plain service.
      stream: True if the answer is a stream of events.
      exclusive: True if nothing else may run at the same time; used for a request that was
        running when a backend crashed.
      once: True for a non-idempotent request, which runs at most once for its key.
      no_wait: True to refuse the request instead of queueing it.
    """

    call: BackendCall
    workspace: str
    target_vm: str
    release: str
    stream: bool
    exclusive: bool
    once: bool
    no_wait: bool


class RunHandler:
    """Serves /run requests.

    Attributes:
      vm: Name of this VM.
      backend: Client for the engine or plain service.
      gate: Admission control.
      active_release: Returns the digest of the release that the engine serves, in hexadecimal.
      is_engine: True if the backend is an engine, False if it is a plain service.
      drain: Requests in progress, and the times of the graceful stop.
      once: Runs non-idempotent requests at most once; None if the backend is an engine.
      on_answer_bytes: Called with the size of each piece of an answer sent to an entry process.
      on_crash: Called when the backend crashed while a request was running.
    """

    def __init__(
        self,
        vm: str,
        backend: BackendClient,
        gate: AdmissionGate,
        active_release: Callable[[], str],
        is_engine: bool,
        once: AtMostOnceRunner | None,
        on_answer_bytes: Callable[[int], None],
        on_crash: Callable[[], None],
    ) -> None:
        self.vm = vm
        self.backend = backend
        self.gate = gate
        self.active_release = active_release
        self.is_engine = is_engine
        self.drain = DrainingRequests()
        self.once = once
        self.on_answer_bytes = on_answer_bytes
        self.on_crash = on_crash

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Handle one /run request; it is answered before the process has to end.

        Raises:
          ConnectionResetError: A part of a stream was sent that can no longer be completed; the
            connection is aborted.
        """
        with self.drain.in_progress():
            try:
                async with self.drain.limit() as limit:
                    return await self.run(request)
            except TimeoutError:
                if not limit.expired():
                    raise
            message = "this process had to end before the answer"
            if has_begun(request):
                if request.transport is not None:
                    request.transport.abort()
                raise ConnectionResetError(message)
            request_id = request.headers.get(headers.REQUEST_ID, "")
            return response_of(may_have_run("leaving", message), request_id)

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run one /run request."""
        body = await request.read()
        try:
            run_request = parse_run_request(request, body, clock.now())
        except (ValueError, KeyError) as error:
            return response_of(
                not_run(400, "malformed", f"a header is missing or malformed: {error}")
            )
        refusal = self.check_target(run_request)
        if refusal is not None:
            return self.refuse(refusal, run_request)
        if run_request.once and self.once is not None:
            return self.respond(await self.run_once(run_request, self.once), run_request)
        return await self.run_idempotent(run_request, request)

    def check_target(self, run_request: RunRequest) -> Refusal | None:
        """Return a refusal if this VM cannot serve the request, else None."""
        if run_request.target_vm != self.vm:
            return not_run(503, "wrong-vm", f"this VM is {self.vm}", RETRY_AFTER_SECONDS)
        if self.is_engine and (
            not run_request.release or run_request.release != self.active_release()
        ):
            # Rounded up to 1 s in the Retry-After header.
            return not_run(503, "release", "the engine serves a different release", 0.5)
        if run_request.once and self.once is None:
            return not_run(
                503, "no-keys", "this VM serves an engine and runs only idempotent requests"
            )
        return None

    async def run_once(
        self, run_request: RunRequest, once: AtMostOnceRunner
    ) -> Result[Answer, Refusal]:
        """Run a non-idempotent request, to its end even if the entry process disconnects."""
        call = run_request.call
        fingerprint = blake3(f"{call.method} {call.path}\n".encode() + call.body).digest(length=16)

        async def work() -> Result[Answer, Refusal]:
            return await self.run_admitted(run_request)

        run = once.run(
            run_request.workspace, call.idempotency_key, fingerprint, call.deadline, work
        )
        return await asyncio.shield(asyncio.ensure_future(run))

    async def admit(self, run_request: RunRequest) -> Refusal | None:
        """Wait for a slot, then check the release again: it may have changed during the wait."""
        seconds = run_request.call.deadline - clock.now()
        refusal = await self.gate.enter(
            max(0.0, seconds), run_request.exclusive, run_request.no_wait
        )
        if refusal is None:
            refusal = self.check_target(run_request) or await self.check_backend_for_exclusive(
                run_request
            )
            if refusal is not None:
                self.gate.leave(run_request.exclusive)
        return refusal

    async def check_backend_for_exclusive(self, run_request: RunRequest) -> Refusal | None:
        """Refuse an exclusive request if the backend is already unreachable.

        Otherwise the request, suspected of crashing backends, would be blamed for this outage.
        """
        if not run_request.exclusive or await self.backend.is_reachable():
            return None
        return not_run(503, "alone", "the backend is unreachable", RETRY_AFTER_SECONDS)

    async def run_admitted(self, run_request: RunRequest) -> Result[Answer, Refusal]:
        """Wait for a slot, run the request and read the whole answer."""
        refusal = await self.admit(run_request)
        if refusal is not None:
            return Failure(refusal)
        try:
            result = await self.backend.run(run_request.call, self.vm, run_request.release)
            self.report_crash(result)
            return result
        finally:
            self.gate.leave(run_request.exclusive)

    async def run_idempotent(
        self, run_request: RunRequest, request: web.Request
    ) -> web.StreamResponse:
        """Run an idempotent request and stream its answer if the caller asked for a stream."""
        if not run_request.stream:
            return self.respond(await self.run_admitted(run_request), run_request)
        refusal = await self.admit(run_request)
        if refusal is not None:
            return self.refuse(refusal, run_request)
        try:
            return await self.relay(run_request, request)
        finally:
            self.gate.leave(run_request.exclusive)

    async def relay(self, run_request: RunRequest, request: web.Request) -> web.StreamResponse:
        """Forward a stream of events; a broken one is aborted, so that it never looks complete."""
        try:
            async with self.backend.open_call(run_request.call) as answer:
                if not is_answer_to(run_request.call, answer.headers):
                    refusal = may_have_run(
                        "crossed-answer", "the answer has the id of another request"
                    )
                    return self.refuse(refusal, run_request)
                response = web.StreamResponse(
                    status=answer.status, headers=self.answer_headers(run_request)
                )
                content_type = answer.headers.get("Content-Type", "text/event-stream")
                response.headers["Content-Type"] = content_type
                return await self.relay_events(answer, response, request)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            refusal = await self.backend.classify_failure(error)
            self.report_crash(Failure(refusal))
            return self.refuse(refusal, run_request)

    async def relay_events(
        self,
        answer: aiohttp.ClientResponse,
        response: web.StreamResponse,
        request: web.Request,
    ) -> web.StreamResponse:
        """Forward whole events until the stream of the backend ends."""
        await response.prepare(request)
        done = False
        try:
            async for received in received_events(answer.content, EventStreamParser()):
                self.on_answer_bytes(len(received.raw))
                await response.write(received.raw)
                done = done or any(is_done(event) for event in received.events)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            done = False
            await self.report_broken_stream(error, response)
        if done:
            await response.write_eof()
        elif request.transport is not None:
            request.transport.close()
        return response

    async def report_broken_stream(self, error: Exception, response: web.StreamResponse) -> None:
        """Send a crash event to the entry process if the backend crashed."""
        refusal = await self.backend.classify_failure(error)
        self.report_crash(Failure(refusal))
        if refusal.reason == BACKEND_CRASHED:
            with contextlib.suppress(ConnectionError, aiohttp.ClientError):
                await response.write(CRASH_EVENT)

    def report_crash(self, result: Result[Answer, Refusal]) -> None:
        """Call on_crash if a result says that the backend crashed.

        Callers do this before they release the slot, so before another request can use it.
        """
        if not isinstance(result, Success) and result.failure().reason == BACKEND_CRASHED:
            self.on_crash()

    def respond(self, result: Result[Answer, Refusal], run_request: RunRequest) -> web.Response:
        """Return the HTTP response for a whole answer or a refusal."""
        if not isinstance(result, Success):
            return self.refuse(result.failure(), run_request)
        answer = result.unwrap()
        self.on_answer_bytes(len(answer.body))
        values = {**self.answer_headers(run_request), **answer.body_headers()}
        values[headers.BODY_DIGEST] = body_digest(answer.body)
        return web.Response(status=answer.status, body=answer.body, headers=values)

    def refuse(self, refusal: Refusal, run_request: RunRequest) -> web.Response:
        """Return the HTTP response for a refusal, with the current load and active release."""
        response = response_of(refusal, run_request.call.request_id)
        response.headers[headers.LOAD] = format_load(self.gate.load())
        response.headers[headers.RELEASE] = self.active_release()
        return response

    def answer_headers(self, run_request: RunRequest) -> dict[str, str]:
        """Return the headers that are added to every answer of a backend."""
        return {
            headers.REQUEST_ID: run_request.call.request_id,
            headers.VERDICT: Verdict.RAN.value,
            headers.LOAD: format_load(self.gate.load()),
            headers.RELEASE: run_request.release,
        }


def parse_run_request(request: web.Request, body: bytes, now: float) -> RunRequest:
    """Parse the headers and body of a /run request.

    Raises:
      KeyError: A header is missing.
      ValueError: A header is malformed.
    """
    values = request.headers
    call = BackendCall(
        request_id=values[headers.REQUEST_ID],
        method=values[headers.METHOD],
        path=checked_target(values[headers.PATH]),
        body=body,
        content_type=values.get("Content-Type", "application/octet-stream"),
        priority=int(values.get(headers.PRIORITY, "0")),
        idempotency_key=values.get(headers.IDEMPOTENCY_KEY, ""),
        resume_tokens=int(values.get(headers.RESUME_TOKENS, "0")),
        deadline=now + int(values[headers.DEADLINE_MS]) / MILLISECONDS,
        content_encoding=values.get("Content-Encoding", ""),
    )
    return RunRequest(
        call=call,
        workspace=values.get(headers.WORKSPACE, ""),
        target_vm=values[headers.TARGET_VM],
        release=values.get(headers.RELEASE, ""),
        stream=values.get(headers.STREAM) == "1",
        exclusive=values.get(headers.ALONE) == "1",
        once=values.get(headers.NON_IDEMPOTENT) == "1",
        no_wait=values.get(headers.NO_WAIT) == "1",
    )
