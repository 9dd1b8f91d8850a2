"""The /run call of an endpoint process: checks, admission, run, verdict."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from blake3 import blake3
from returns.result import Failure, Result, Success

from ..data import Refusal, Verdict
from ..requests import headers
from ..requests.attempt import BACKEND_CRASHED, body_digest
from ..requests.events import CRASH_EVENT, DONE_EVENT, whole_events
from ..requests.once import OnceRunner
from ..requests.records import Answer, format_load
from ..requests.refusals import may_have_run, not_run, response_of
from .backend import Backend, Call, is_answer_to
from .gate import Gate

MILLISECONDS = 1000
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RunOrder:
    """What an entry process asks for."""

    call: Call
    workspace: str
    target_vm: str
    release: str
    stream: bool
    alone: bool
    once: bool
    no_wait: bool


class Runner:
    """Serves /run.

    Attributes:
      vm: Name of this VM.
      backend: The engine or plain service.
      gate: Admission.
      active_release: Says which release the engine serves, in hexadecimal.
      is_engine: True before an engine, False before a plain service.
      once: Runs non-idempotent requests; None before an engine.
      charge: Told the bytes of live answers.
      on_crash: Called when the backend broke while a request was running.
    """

    def __init__(
        self,
        vm: str,
        backend: Backend,
        gate: Gate,
        active_release: Callable[[], str],
        is_engine: bool,
        once: OnceRunner | None,
        charge: Callable[[int], None],
        on_crash: Callable[[], None],
    ) -> None:
        self.vm = vm
        self.backend = backend
        self.gate = gate
        self.active_release = active_release
        self.is_engine = is_engine
        self.once = once
        self.charge = charge
        self.on_crash = on_crash

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Serve one call."""
        body = await request.read()
        try:
            order = order_of(request, body, time.monotonic())
        except (ValueError, KeyError) as error:
            return response_of(not_run(400, "malformed", f"malformed call: {error}"))
        refusal = self.check(order)
        if refusal is not None:
            return self.refuse(refusal, order)
        if order.once and self.once is not None:
            return self.respond(await self.run_once(order, self.once), order)
        return await self.run_idempotent(order, request)

    def check(self, order: RunOrder) -> Refusal | None:
        """Return why a call is not for this VM, or None."""
        if order.target_vm != self.vm:
            return not_run(503, "wrong-vm", f"this is VM {self.vm}", RETRY_AFTER_SECONDS)
        if self.is_engine and (not order.release or order.release != self.active_release()):
            return not_run(503, "release", "the engine serves another release", 0.5)
        if order.once and self.once is None:
            return not_run(503, "no-keys", "this VM runs no non-idempotent requests")
        return None

    async def run_once(self, order: RunOrder, once: OnceRunner) -> Result[Answer, Refusal]:
        """Run a non-idempotent call, even when its caller hangs up meanwhile."""
        call = order.call
        fingerprint = blake3(f"{call.method} {call.path}\n".encode() + call.body).digest(length=16)

        async def work() -> Result[Answer, Refusal]:
            return await self.run_admitted(order)

        run = once.run(order.workspace, call.idempotency_key, fingerprint, call.deadline, work)
        return await asyncio.shield(asyncio.ensure_future(run))

    async def admit(self, order: RunOrder) -> Refusal | None:
        """Wait for a slot; the release is checked again after the wait."""
        seconds = order.call.deadline - time.monotonic()
        refusal = await self.gate.enter(max(0.0, seconds), order.alone, order.no_wait)
        if refusal is None:
            refusal = self.check(order) or await self.check_before_suspect(order)
            if refusal is not None:
                self.gate.leave(order.alone)
        return refusal

    async def check_before_suspect(self, order: RunOrder) -> Refusal | None:
        """Refuse a suspect where the backend is away already, which is not its fault."""
        if not order.alone or await self.backend.is_reachable():
            return None
        return not_run(503, "alone", "the backend is away", RETRY_AFTER_SECONDS)

    async def run_admitted(self, order: RunOrder) -> Result[Answer, Refusal]:
        """Wait for a slot and run a call."""
        refusal = await self.admit(order)
        if refusal is not None:
            return Failure(refusal)
        try:
            result = await self.backend.run(order.call, self.vm, order.release)
            self.note_crash(result)
            return result
        finally:
            self.gate.leave(order.alone)

    async def run_idempotent(self, order: RunOrder, request: web.Request) -> web.StreamResponse:
        """Run an idempotent call, as a stream where that is wanted."""
        if not order.stream:
            return self.respond(await self.run_admitted(order), order)
        refusal = await self.admit(order)
        if refusal is not None:
            return self.refuse(refusal, order)
        try:
            return await self.relay(order, request)
        finally:
            self.gate.leave(order.alone)

    async def relay(self, order: RunOrder, request: web.Request) -> web.StreamResponse:
        """Pass a stream on; a stream that breaks is cut off, never ended as if whole."""
        try:
            async with self.backend.open(order.call) as answer:
                if not is_answer_to(order.call, answer.headers):
                    refusal = may_have_run("crossed-answer", "the backend answered another")
                    return self.refuse(refusal, order)
                response = web.StreamResponse(
                    status=answer.status, headers=self.answer_headers(order)
                )
                content_type = answer.headers.get("Content-Type", "text/event-stream")
                response.headers["Content-Type"] = content_type
                return await self.relay_events(answer, response, request)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            refusal = await self.backend.explain(error)
            self.note_crash(Failure(refusal))
            return self.refuse(refusal, order)

    async def relay_events(
        self,
        answer: aiohttp.ClientResponse,
        response: web.StreamResponse,
        request: web.Request,
    ) -> web.StreamResponse:
        """Pass events on until the stream ends."""
        await response.prepare(request)
        last = b""
        try:
            async for events in whole_events(answer.content):
                self.charge(len(events))
                await response.write(events)
                last = events
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            last = b""
            await self.report_break(error, response)
        if DONE_EVENT in last:
            await response.write_eof()
        elif request.transport is not None:
            request.transport.close()
        return response

    async def report_break(self, error: Exception, response: web.StreamResponse) -> None:
        """Say in the stream where it ends because the backend crashed."""
        refusal = await self.backend.explain(error)
        self.note_crash(Failure(refusal))
        if refusal.reason == BACKEND_CRASHED:
            with contextlib.suppress(ConnectionError, aiohttp.ClientError):
                await response.write(CRASH_EVENT)

    def note_crash(self, result: Result[Answer, Refusal]) -> None:
        """Tell the role that the backend crashed, before anything else is sent to it."""
        if not isinstance(result, Success) and result.failure().reason == BACKEND_CRASHED:
            self.on_crash()

    def respond(self, result: Result[Answer, Refusal], order: RunOrder) -> web.Response:
        """Return the response of a whole answer or of a refusal."""
        if not isinstance(result, Success):
            return self.refuse(result.failure(), order)
        answer = result.unwrap()
        self.charge(len(answer.body))
        values = self.answer_headers(order)
        values["Content-Type"] = answer.content_type
        values[headers.BODY_DIGEST] = body_digest(answer.body)
        return web.Response(status=answer.status, body=answer.body, headers=values)

    def refuse(self, refusal: Refusal, order: RunOrder) -> web.Response:
        """Return the response of a refusal, with the load and the release served."""
        response = response_of(refusal, order.call.request_id)
        response.headers[headers.LOAD] = format_load(self.gate.load())
        response.headers[headers.RELEASE] = self.active_release()
        return response

    def answer_headers(self, order: RunOrder) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            headers.REQUEST_ID: order.call.request_id,
            headers.VERDICT: Verdict.RAN.value,
            headers.LOAD: format_load(self.gate.load()),
            headers.RELEASE: order.release,
        }


def order_of(request: web.Request, body: bytes, now: float) -> RunOrder:
    """Return what the headers of a call ask for.

    Raises:
      KeyError: A header is missing.
      ValueError: A header is malformed.
    """
    values = request.headers
    call = Call(
        request_id=values[headers.REQUEST_ID],
        method=values[headers.METHOD],
        path=values[headers.PATH],
        body=body,
        content_type=values.get("Content-Type", "application/octet-stream"),
        priority=int(values.get(headers.PRIORITY, "0")),
        idempotency_key=values.get(headers.IDEMPOTENCY_KEY, ""),
        resume_tokens=int(values.get(headers.RESUME_TOKENS, "0")),
        deadline=now + int(values[headers.DEADLINE_MS]) / MILLISECONDS,
    )
    return RunOrder(
        call=call,
        workspace=values.get(headers.WORKSPACE, ""),
        target_vm=values[headers.TARGET_VM],
        release=values.get(headers.RELEASE, ""),
        stream=values.get(headers.STREAM) == "1",
        alone=values.get(headers.ALONE) == "1",
        once=values.get(headers.NON_IDEMPOTENT) == "1",
        no_wait=values.get(headers.NO_WAIT) == "1",
    )
