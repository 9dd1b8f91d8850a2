"""HTTP interface for callers of an entry process."""

import asyncio
import dataclasses
import random

from aiohttp import web
from returns.result import Result, Success

from .. import clock, metrics
from ..data import Refusal, Verdict
from ..draining import FLUSH_SECONDS, DrainingRequests, has_begun
from ..membership.directory import Directory
from ..requests import headers
from ..requests.decoding import decoded, encoding_of
from ..requests.dispatch import Dispatcher
from ..requests.fair_queue import FairQueue
from ..requests.limits import AdaptiveLimit
from ..requests.parse import parse_model_request, parse_service_request, request_id_of
from ..requests.records import Answer, Request
from ..requests.refusals import may_have_run, not_run, response_of
from ..requests.streams import CallerGoneError, StreamRelay
from ..schema.messages import MemberKind
from ..schema.settings import Settings
from ..sockets import abort_connection
from ..targets import target_below, target_of
from ..waiting import wait_at_most
from .addresses import choose_addresses
from .state import EntryState
from .verdicts import add_verdicts

START_LIMIT = 64.0
"""Initial concurrency limit for each role of the manifest; it adapts from there."""
MINIMUM_LIMIT = 1.0
SERVICE_PREFIX_SEGMENTS = 3
"""Path segments before the path that a service receives: /v1/services/NAME."""
LEAVING_RETRY_SECONDS = 1.0
"""Retry delay of a refusal while the process stops; its headers name other processes."""


class Front:
    """Serves the HTTP requests of callers.

    Attributes:
      settings: Settings of the process.
      state: Workspace weights and drain state.
      directory: Records of all known processes.
      dispatcher: Sends requests to endpoints.
      relay: Forwards streams of endpoints to callers.
      queues: Admission queue for each role of the manifest (release or service).
      drain: Requests that are queued or running, and the times of the graceful stop.
      rng: Random generator for the order of addresses.
    """

    def __init__(
        self,
        settings: Settings,
        state: EntryState,
        directory: Directory,
        dispatcher: Dispatcher,
    ) -> None:
        self.settings = settings
        self.state = state
        self.directory = directory
        self.dispatcher = dispatcher
        self.relay = StreamRelay(dispatcher)
        self.queues: dict[str, FairQueue] = {}
        self.drain = DrainingRequests()
        self.rng = random.Random()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers and the middleware that adds verdicts."""
        app.middlewares.append(add_verdicts)
        app.router.add_get("/v1/addresses", self.addresses)
        app.router.add_post("/v1/chat/completions", self.serve_model)
        app.router.add_post("/v1/completions", self.serve_model)
        app.router.add_route("*", "/v1/services/{service}", self.serve_service)
        app.router.add_route("*", r"/v1/services/{service}/{path:[\s\S]*}", self.serve_service)

    async def addresses(self, request: web.Request) -> web.Response:
        """Answer with the entry addresses to use and for how long they may be cached."""
        entries = self.directory.usable(MemberKind.ENTRY)
        if self.state.leaving:
            entries = [item for item in entries if item.vm != self.settings.vm]
        region = request.query.get("region", "")
        chosen = choose_addresses(entries, self.state.own.member, region, self.rng)
        ttl = self.settings.entry.address_ttl_seconds
        return web.json_response({"addresses": chosen, "ttl_seconds": ttl})

    async def serve_model(self, request: web.Request) -> web.StreamResponse:
        """Serve a request to a model."""
        body = await self.read_body(request)
        if isinstance(body, Refusal):
            return response_of(body, request_id_of(request.headers))
        plain = decoded(body, encoding_of(request.headers), self.settings.entry.max_body_bytes)
        if not isinstance(plain, Success):
            return response_of(plain.failure(), request_id_of(request.headers))
        parsed = parse_model_request(
            target_of(request),
            request.headers,
            plain.unwrap(),
            self.state.follower.configuration,
            self.settings.entry.default_deadline_seconds,
            clock.now(),
        )
        return await self.serve(parsed, request)

    async def serve_service(self, request: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        body = await self.read_body(request)
        if isinstance(body, Refusal):
            return response_of(body, request_id_of(request.headers))
        parsed = parse_service_request(
            request.method,
            request.match_info["service"],
            target_below(target_of(request), SERVICE_PREFIX_SEGMENTS),
            request.headers,
            body,
            self.state.follower.configuration,
            self.settings.entry.default_deadline_seconds,
            clock.now(),
        )
        encoding = encoding_of(request.headers)
        parsed = parsed.map(lambda item: dataclasses.replace(item, content_encoding=encoding))
        return await self.serve(parsed, request)

    async def read_body(self, request: web.Request) -> bytes | Refusal:
        """Return the body of a request, or a refusal if it is too large or too slow."""
        try:
            return await wait_at_most(request.read(), self.settings.entry.read_seconds)
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.entry.max_body_bytes
            return not_run(413, "too-large", f"the body has more than {limit} bytes")
        except asyncio.TimeoutError:
            return not_run(
                408,
                "slow-caller",
                f"the body did not arrive within {self.settings.entry.read_seconds:g} s",
            )

    async def serve(
        self, parsed: Result[Request, Refusal], caller: web.Request
    ) -> web.StreamResponse:
        """Serve a parsed request; it counts as in flight until it is answered."""
        if not isinstance(parsed, Success):
            return response_of(parsed.failure(), request_id_of(caller.headers))
        request = parsed.unwrap()
        refusal = self.drain.refusal(clock.now(), 0.0, LEAVING_RETRY_SECONDS)
        if refusal is not None:
            return self.with_addresses(response_of(refusal, request.request_id))
        request = dataclasses.replace(request, deadline=self.drain.deadline(request.deadline))
        with self.drain.in_progress():
            response = await self.run_in_time(request, caller)
            if isinstance(response, web.Response):
                async with self.drain.limit(FLUSH_SECONDS):
                    await response.prepare(caller)
                    await response.write_eof()
        return response

    async def run_in_time(self, request: Request, caller: web.Request) -> web.StreamResponse:
        """Return the answer of a request, before the process has to end.

        Raises:
          CallerGoneError: The caller closed its connection, or a part of a stream was sent that can
            no longer be completed; the connection is aborted then.
        """
        try:
            async with self.drain.limit() as limit:
                return await self.admit_and_run(request, caller)
        except TimeoutError:
            if not limit.expired():
                raise
        message = "this process had to end before the answer"
        if has_begun(caller):
            abort_connection(caller)
            raise CallerGoneError(message)
        return self.with_addresses(
            response_of(may_have_run("leaving", message), request.request_id)
        )

    async def admit_and_run(self, request: Request, caller: web.Request) -> web.StreamResponse:
        """Queue a request for admission, run it and record its metrics."""
        queue = self.queue_of(request.role)
        workspace = metrics.WORKSPACES.bounded(request.workspace)
        labels = (workspace, request.request_class)
        refusal = await queue.enter(request, clock.now())
        metrics.QUEUE_SECONDS.labels(*labels).observe(clock.now() - request.received_at)
        if refusal is not None:
            metrics.REQUESTS.labels(*labels, refusal.verdict.value).inc()
            return self.with_addresses(response_of(refusal, request.request_id))
        started = clock.now()
        ran_seconds = None
        try:
            if request.stream:
                response = await self.relay.run(request, caller, queue)
            else:
                response = self.answer(request, await self.dispatcher.run(request, queue))
            if response.headers.get(headers.VERDICT) == Verdict.RAN.value:
                ran_seconds = clock.now() - started
        except CallerGoneError:
            metrics.REQUESTS.labels(*labels, "caller-gone").inc()
            raise
        finally:
            queue.leave(clock.now(), ran_seconds)
        metrics.ANSWER_SECONDS.labels(*labels).observe(clock.now() - request.received_at)
        verdict = response.headers.get(headers.VERDICT, Verdict.MAY_HAVE_RUN.value)
        metrics.REQUESTS.labels(*labels, verdict).inc()
        return response

    def answer(self, request: Request, result: Result[Answer, Refusal]) -> web.Response:
        """Return the HTTP response for a whole answer or a refusal."""
        if not isinstance(result, Success):
            return self.with_addresses(response_of(result.failure(), request.request_id))
        answer = result.unwrap()
        values = {
            headers.REQUEST_ID: request.request_id,
            headers.VERDICT: Verdict.RAN.value,
            **answer.body_headers(),
        }
        if answer.release:
            values[headers.RELEASE] = answer.release
        response = web.Response(status=answer.status, body=answer.body, headers=values)
        return self.with_addresses(response)

    def with_addresses(self, response: web.Response) -> web.Response:
        """Add the addresses of other entry processes to a response while this process drains."""
        if self.state.leaving:
            others = [
                item
                for item in self.directory.usable(MemberKind.ENTRY)
                if item.vm != self.settings.vm
            ]
            chosen = choose_addresses(others, self.state.own.member, "", self.rng)
            response.headers[headers.ADDRESSES] = ",".join(chosen)
        return response

    def queue_of(self, role: str) -> FairQueue:
        """Return the admission queue for a role of the manifest; the first request creates it."""
        if role not in self.queues:
            entry = self.settings.entry
            maximum = float(entry.concurrency)
            limit = AdaptiveLimit(min(START_LIMIT, maximum), MINIMUM_LIMIT, maximum)
            self.queues[role] = FairQueue(limit, entry.queue, self.state.weight_of)
        return self.queues[role]
