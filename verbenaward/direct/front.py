"""HTTP interface of an entry process for callers."""

import asyncio
import contextlib
from collections.abc import Iterator

from aiohttp import web

from .. import clock, metrics
from ..data import Verdict
from ..draining import FLUSH_SECONDS, DrainingRequests, has_begun, has_ended, record_end
from ..placement.fleet import Fleet
from ..placement.levels import level_of, urgency_of
from ..placement.memory_budget import COPIES, MEMORY_REASON, HeldBytes, MemoryBudget, Purpose
from ..placement.placer import may_have_run_refusal
from ..placement.regions import allowed_regions
from ..placement.request_types import RefusedError, Request, UnsentError, WholeAnswer, labels_of
from ..placement.routes import RouteTable
from ..platform import names
from ..platform.request_headers import CallerHeaders, read_caller_headers
from ..requests.refusals import not_run, plain_response_of
from ..sockets import abort_connection
from ..targets import target_of
from .crash_tracker import fingerprint_of, part_keys_of
from .delivery import CallerGoneError
from .draining import check_accepted, limited
from .forwarding import Forwarder, is_stream
from .slow_readers import WRITE_BUFFER_BYTES, raise_refusal, write_whole_answer
from .streams import StreamCutError, StreamForwarder

DEFAULT_DEADLINE_SECONDS = 60.0
"""Deadline of a request whose caller names none."""
DEADLINE_MARGIN_SECONDS = 0.01
"""A request ends this much before its caller's deadline, so that the answer arrives in time."""
BODY_TIMEOUT_SECONDS = 10.0
"""Longest time to receive the body of a request."""
STARTING_RETRY_AFTER_SECONDS = 0.5
"""Retry delay of a refusal while the process has no configuration yet."""


class Front:
    """Accepts requests of callers and answers them.

    Attributes:
      fleet: Configuration and backends.
      forwarder: Runs requests that are not streams.
      streams: Runs streams.
      memory: Limits the bytes held for callers and backends.
      drain: The requests in progress, and the times of the graceful stop.
    """

    def __init__(
        self, fleet: Fleet, forwarder: Forwarder, memory: MemoryBudget | None = None
    ) -> None:
        self.fleet = fleet
        self.forwarder = forwarder
        self.streams = StreamForwarder(forwarder)
        self.memory = memory or MemoryBudget()
        fleet.version_listeners.append(lambda *_: self.streams.limit_waiting(clock.now()))
        self.drain = DrainingRequests()

    @property
    def leaving(self) -> bool:
        """Return True once the process was ordered to stop."""
        return self.drain.times is not None

    async def handle(self, caller: web.Request) -> web.StreamResponse:
        """Handle a request of a caller: answer, refuse, or abort its connection."""
        held = HeldBytes(self.memory)
        with self.drain.in_progress(), self.log_lost(caller):
            try:
                response = await self.answer_whole(caller, held)
            finally:
                held.release()
        self.forwarder.log.ended(caller.headers.get(names.REQUEST_ID, ""), response.status)
        return response

    async def answer_whole(self, caller: web.Request, held: HeldBytes) -> web.StreamResponse:
        """Answer a request; if its handling fails unexpectedly, with a refusal that says so.

        Raises:
          StreamCutError: Part of an answer was sent, and it could not be completed.
          CallerGoneError: The caller closed its connection or does not read.
        """
        try:
            response = await self.answer_in_time(caller, held)
            await self.finish(caller, response, held)
        except (StreamCutError, CallerGoneError):
            raise
        except Exception as error:
            response = self.failed(caller, error)
            await self.finish(caller, response, held)
        return response

    def failed(self, caller: web.Request, error: Exception) -> web.Response:
        """Log that the handling of a request failed unexpectedly, and return its refusal.

        Raises:
          StreamCutError: Part of an answer was sent.
        """
        message = "an unexpected error in this process"
        refusal, cause = may_have_run_refusal(502, "internal", message), error
        if isinstance(error, UnsentError):
            refusal, cause = not_run(502, "internal", message), error.error
        is_cut = caller.writer.output_size > 0
        request_id = caller.headers.get(names.REQUEST_ID, "")
        self.forwarder.log.unexpected(request_id, 0 if is_cut else refusal.status, cause)
        if is_cut:
            raise StreamCutError(message) from error
        response = plain_response_of(refusal)
        response.force_close()
        return response

    @contextlib.contextmanager
    def log_lost(self, caller: web.Request) -> Iterator[None]:
        """Log why a request ends without an answer; abort the connection of a partial one."""
        began_at, log = clock.now(), self.forwarder.log
        request_id = caller.headers.get(names.REQUEST_ID, "")
        try:
            yield
        except StreamCutError:
            abort_connection(caller)
            raise asyncio.CancelledError from None
        except CallerGoneError as error:
            log.cancelled(request_id, clock.now() - began_at, str(error))
            abort_connection(caller)
            raise asyncio.CancelledError from None
        except asyncio.CancelledError:
            if not has_ended(caller):
                log.cancelled(request_id, clock.now() - began_at, self.drain.cause_of_close())
            raise
        except Exception as error:
            log.unexpected(request_id, 0, error)
            raise

    async def answer_in_time(self, caller: web.Request, held: HeldBytes) -> web.StreamResponse:
        """Return the answer of a request or its refusal, before the process has to end.

        Raises:
          StreamCutError: Part of a stream was sent, and it could not be completed.
          CallerGoneError: The caller closed its connection.
        """
        request_id = read_caller_headers(caller.headers).request_id
        try:
            async with self.drain.limit() as limit:
                return await self.answer(caller, held)
        except RefusedError as error:
            return plain_response_of(error.refusal)
        except TimeoutError:
            if not limit.expired():
                raise
        refusal = may_have_run_refusal(502, "leaving", "this process had to end before the answer")
        is_cut = has_begun(caller)
        self.forwarder.log.stopped(request_id, 0 if is_cut else refusal.status)
        if is_cut:
            raise StreamCutError(refusal.message)
        return plain_response_of(refusal)

    async def finish(
        self, caller: web.Request, response: web.StreamResponse, held: HeldBytes
    ) -> None:
        """Write an answer while its request still counts as in progress and its bytes as held.

        Raises:
          CallerGoneError: The caller closed its connection or does not read.
        """
        # The head of a stream that began before the stop could not announce it.
        self.drain.close_after(response)
        if not isinstance(response, web.Response):
            return
        try:
            async with self.drain.limit(FLUSH_SECONDS):
                if self.memory.is_limited and (response.content_length or 0) > WRITE_BUFFER_BYTES:
                    held.drop(Purpose.REQUEST_BODY)
                    await write_whole_answer(caller, response)
                else:
                    await response.prepare(caller)
                    await response.write_eof()
                record_end(caller)
        except (ConnectionError, TimeoutError) as error:
            raise CallerGoneError(str(error)) from error

    async def answer(self, caller: web.Request, held: HeldBytes) -> web.StreamResponse:
        """Find the route of a request, run it and record its metrics.

        Raises:
          RefusedError: No backend answered it.
        """
        request = await self.accept(caller, held)
        labels = labels_of(request)
        started = clock.now()
        verdict = Verdict.RAN.value
        try:
            if is_stream(request):
                result = await self.streams.run(request, caller)
            else:
                result = await self.forwarder.run(request)
        except RefusedError as error:
            verdict = error.refusal.verdict.value
            if error.refusal.reason == MEMORY_REASON:
                self.forwarder.log.refused(request, error.refusal, None)
            raise
        finally:
            metrics.REQUESTS.labels(*labels, verdict).inc()
            metrics.ANSWER_SECONDS.labels(*labels).observe(clock.now() - started)
        if isinstance(result, WholeAnswer):
            return web.Response(status=result.status, headers=result.headers, body=result.body)
        return result

    async def accept(self, caller: web.Request, held: HeldBytes) -> Request:
        """Read a request and find its route and workspace.

        Raises:
          RefusedError: It is refused before a backend is chosen.
          UnsentError: That failed unexpectedly.
        """
        received_at = clock.now()
        try:
            body = await self.read_body(caller, held)
            check_accepted(self.drain, clock.now())
            request = self.build_request(caller, body, received_at, held)
            return limited(self.drain, request, clock.now())
        except RefusedError as error:
            request_id = read_caller_headers(caller.headers).request_id
            self.forwarder.log.refused_early(request_id, error.refusal)
            raise
        except Exception as error:
            raise UnsentError(error) from error

    async def read_body(self, caller: web.Request, held: HeldBytes) -> bytes:
        """Return the body of a request.

        Raises:
          RefusedError: The body is too large, does not fit into the memory of the process, arrives
            too slowly or is in a transfer coding other than chunked.
        """
        if not caller.body_exists:
            return b""
        coding = caller.headers.get("Transfer-Encoding", "chunked")
        if coding.strip().lower() != "chunked":
            message = f"the transfer coding is not chunked alone: {coding[:80]!r}"
            raise RefusedError(not_run(501, "transfer-coding", message))
        table = self.fleet.table
        # 4 MiB while no configuration is known.
        limit = table.configuration.limits.max_body_bytes if table else 4 * 1024 * 1024
        raise_refusal(self.memory.check_body(bounded_length(caller.content_length, limit)))
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                async for part in caller.content.iter_any():
                    raise_refusal(held.add(Purpose.REQUEST_BODY, COPIES * len(part)))
                    parts.append(part)
                    size += len(part)
                    if size > limit:
                        raise RefusedError(
                            not_run(413, "too-large", f"the body is larger than {limit} bytes")
                        )
        except TimeoutError:
            raise RefusedError(
                not_run(408, "slow-caller", f"the body took over {BODY_TIMEOUT_SECONDS:g} s")
            ) from None
        return b"".join(parts)

    def build_request(
        self, caller: web.Request, body: bytes, received_at: float, held: HeldBytes
    ) -> Request:
        """Return the request with its route and workspace.

        Raises:
          RefusedError: No configuration is known, no route matches or the key is unknown.
        """
        table = self.fleet.table
        if table is None:
            message = "no configuration has been received yet"
            raise RefusedError(not_run(503, "starting", message, STARTING_RETRY_AFTER_SECONDS))
        raw_path = target_of(caller)
        route = table.find(caller.headers.get("Host", ""), raw_path.partition("?")[0])
        if route is None:
            raise RefusedError(not_run(404, "no-route", "no route matches this host and path"))
        parsed_headers = read_caller_headers(caller.headers)
        workspace, priority = authenticate(table, parsed_headers, route.is_public)
        service = self.forwarder.placer.pick_service(route.shares)
        declared = table.services.get(service)
        urgency = urgency_of(route, priority)
        return Request(
            headers=caller.headers,
            parsed_headers=parsed_headers,
            method=caller.method,
            raw_path=raw_path,
            body=body,
            route=route,
            service=service,
            engine=declared.engine if declared else None,
            workspace=workspace,
            priority=urgency[0],
            received_at=received_at,
            deadline=received_at + remaining_seconds(parsed_headers, route.timeout_seconds),
            fingerprint=fingerprint_of(caller.method, raw_path, workspace, body),
            part_keys=part_keys_of(service, parsed_headers.prompt_parts),
            regions=allowed_regions(route, table.workspaces.get(parsed_headers.key)),
            held=held,
            level=level_of(table.urgencies.get(service, ()), urgency),
        )


def bounded_length(declared_bytes: int | None, limit: int) -> int | None:
    """Return the length that a request states, up to the limit on it; None if it states none."""
    return None if declared_bytes is None else min(declared_bytes, limit)


def authenticate(
    table: RouteTable, parsed_headers: CallerHeaders, is_public: bool
) -> tuple[str, int | None]:
    """Return the workspace of a request and its priority; an empty name and None for no workspace.

    Raises:
      RefusedError: The key belongs to no workspace, and the route is not public.
    """
    if not table.configuration.workspaces:
        return "", None
    found = table.workspaces.get(parsed_headers.key)
    if found is not None:
        return found.name, found.priority
    if is_public:
        return "", None
    raise RefusedError(not_run(401, "unknown-key", "the key belongs to no workspace"))


def remaining_seconds(parsed_headers: CallerHeaders, timeout_seconds: float) -> float:
    """Return how long a request may take, by its caller's deadline and its route's timeout."""
    left = parsed_headers.deadline_seconds
    if left is None:
        left = DEFAULT_DEADLINE_SECONDS
    if timeout_seconds:
        left = min(left, timeout_seconds)
    return max(0.0, left - DEADLINE_MARGIN_SECONDS)
