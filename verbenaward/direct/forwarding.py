"""Runs requests: chooses a backend, sends, and retries if that is allowed."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection

import aiohttp
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..data import RouteKind
from ..placement.backend_notices import IncarnationNotices
from ..placement.backends import BackendView
from ..placement.connection_limits import SHORTAGE_REASON
from ..placement.engine_memory import counted_tokens
from ..placement.placer import Choice, Placer, may_have_run_refusal, rank_of
from ..placement.request_types import FailedAttempt, FailureKind, RefusedError, Request, WholeAnswer
from ..platform.request_headers import BackendHeaders, BackendNotice
from ..requests.refusals import not_run
from .attempts import SERVER_ERROR, Attempts
from .budget import SharedRetryBudget
from .crash_tracker import CrashTracker
from .request_log import RequestLog
from .sending import send_and_read
from .sends import Progress, Send
from .survivors import Survivors
from .unread_sends import RequestCharges, UnreadSends

POLL_SECONDS = 0.02
"""Time between two looks for a backend while none is available."""
BACKEND_WAIT_TARGET_SHARE = 0.125
"""Share of its target for which a request waits for an available backend before it is refused."""
RESUME_WAIT_SECONDS = 2.0
"""Time for which a stream that broke off waits for a backend and a retry: its caller abandons it
after a longer gap, and without them it is cut."""
SEND_RESERVE_SECONDS = 0.02
"""Time before its deadline from which a request is not sent any more."""
MINIMUM_ATTEMPT_SHARE = 0.4
"""Share of the remaining time that an attempt may take before another one is made beside it."""
DESCRIPTOR_RETRY_SECONDS = (0.1, 0.5)
"""Retry delay of a request for which there was no descriptor; idle connections are closed then."""
MAXIMUM_NOT_RUN_SENDS = 3
"""Sends of one request that may end with proof that it did not run."""


class Forwarder:
    """Runs requests that are not streams, and holds the retry rules that streams share.

    Attributes:
      session: HTTP client for backends.
      placer: Chooses backends and decides on admission.
      budget: Limits retries.
      unread: Sends that backends may not have read yet.
      crashes: Finds poison requests.
      survivors: Finds backends that were taken for crashed and live on.
      log: Writes log lines about requests.
      load_changed: Called when the load that this process puts on a backend has changed.
      is_send_granted: Returns True if the limit of a backend allows a request now.
      descriptor_missing: Called when a send got no descriptor.
    """

    descriptor_missing: Callable[[], None] = staticmethod(lambda: None)

    def __init__(
        self,
        session: aiohttp.ClientSession,
        placer: Placer,
        budget: SharedRetryBudget,
        crashes: CrashTracker,
        log: RequestLog,
        load_changed: Callable[[], None],
        is_send_granted: Callable[[IncarnationNotices], Awaitable[bool]],
    ) -> None:
        self.session = session
        self.placer = placer
        self.budget = budget
        self.unread = UnreadSends(budget)
        self.crashes = crashes
        self.survivors = Survivors(crashes, placer.fleet)
        self.log = log
        self.load_changed = load_changed
        self.is_send_granted = is_send_granted

    async def run(self, request: Request) -> WholeAnswer:
        """Run a request and return the answer of a backend.

        Raises:
          RefusedError: No backend answered it.
        """
        self.budget.record_request(request.service, clock.now())
        progress = Progress(charges=RequestCharges(request.service))
        attempts = Attempts[WholeAnswer](
            self, request, progress, lambda send: self.attempt(request, progress, send)
        )
        return await attempts.run()

    async def next_choice(self, request: Request, progress: Progress) -> Choice:
        """Return the backend of the next send, and count a retry against the budget.

        Everything that is sent to a backend passes here, so that the limit of the backend holds.

        Raises:
          RefusedError: The request may not be sent, or not again.
        """
        until = min(request.deadline, self.latest_choice(request, progress, clock.now()))
        while True:
            choice = await self.available_choice(request, progress, until)
            notices = choice.view.notices
            is_granted = await self.is_send_granted(notices)
            now = clock.now()
            # While the grant was asked for, the backend may have left, asked for a pause or become
            # full, or its zone may have been evacuated.
            if not is_granted or not self.placer.is_still_usable(choice.view, request, now):
                continue
            if not progress.sends or self.unread.spend(progress.charges, now):
                return choice
            if not progress.is_delivering or now >= until:
                self.give_up(request, progress, "the retry budget is used up")

    async def available_choice(self, request: Request, progress: Progress, until: float) -> Choice:
        """Return the backend to which a request should be sent, if its limit allows it.

        If no backend is available, it waits until a time, monotonic; the rest of a stream waits
        for a retry too.

        Raises:
          RefusedError: The request may not be sent, or not again.
        """
        now = clock.now()
        choice = None
        while True:
            self.refuse_poison(request, progress, now)
            if not progress.is_delivering or self.has_retry_budget(request, now):
                choice = self.placer.choose(request, progress.tried, now)
            if choice is not None or now >= until:
                break
            if not progress.is_delivering and self.is_wait_useless(request, now, until):
                break
            await asyncio.sleep(POLL_SECONDS)
            now = clock.now()
        refusal = None if progress.runs else self.placer.refusal(request, choice, now)
        if refusal is not None:
            if choice is None:
                metrics.REFUSALS_WITHOUT_BACKEND.labels(refusal.reason).inc()
            allowed = self.placer.allowed_seconds(request, now) if choice else None
            self.log.refused(request, refusal, choice, allowed)
            raise RefusedError(refusal)
        if choice is None or now + SEND_RESERVE_SECONDS >= request.deadline:
            self.give_up(request, progress, "no backend is available in the time left")
        assert choice is not None
        if progress.sends and not self.has_retry_budget(request, now):
            self.give_up(request, progress, "the retry budget is used up")
        return choice

    def latest_choice(self, request: Request, progress: Progress, now: float) -> float:
        """Return the time until which a request may wait for a backend, monotonic."""
        if progress.is_delivering:
            return now + RESUME_WAIT_SECONDS
        return request.received_at + self.backend_wait_seconds(request)

    def is_wait_useless(self, request: Request, now: float, until: float) -> bool:
        """Return True if no backend can become available to a request before a time."""
        return (
            self.placer.is_ruled_out(request, now)
            or now + self.placer.seconds_until_available(request, now) >= until
        )

    def backend_wait_seconds(self, request: Request) -> float:
        """Return how long a request may wait for an available backend."""
        return BACKEND_WAIT_TARGET_SHARE * (request.route.target_seconds or 0.1)

    def refuse_poison(self, request: Request, progress: Progress, now: float) -> None:
        """Refuse a request that is poison, or quarantined and not to be tried here and now.

        Raises:
          RefusedError: The request, or a part of its prompt, has crashed several backends.
        """
        if self.crashes.admits(request.crash_keys, now):
            return
        if progress.runs:
            self.give_up(request, progress, "it, or a part of its prompt, crashes backends")
        message = "requests like this one have crashed several backends"
        refusal = not_run(503, "poison", message, 1.0)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)

    def give_up(self, request: Request, progress: Progress, message: str) -> None:
        """End a request with a refusal that says whether it may have run.

        Raises:
          RefusedError: Always.
        """
        now = clock.now()
        if progress.runs:
            refusal = may_have_run_refusal(502, "backend-failed", message)
        elif self.placer.seconds_until_available(request, now):
            refusal = self.placer.unavailable(request, now)
        else:
            # 0.1 s before the random extension.
            refusal = self.placer.retry_later("no-room", message, 0.1)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)

    async def successor(
        self,
        request: Request,
        progress: Progress,
        busy: Collection[str],
        is_needed: Callable[[], bool],
    ) -> Choice | None:
        """Return a backend for a send beside silent ones, and count a retry against the budget.

        Args:
          request: The request.
          progress: Its sends so far.
          busy: Identities of the backends of the silent sends.
          is_needed: Returns False once one of these sends has gone on or ended.

        Returns:
          None if no other backend has a free slot, or no retry is left, at present.
        """
        now = clock.now()
        if not self.may_send_again(request, progress, now):
            return None
        avoided = progress.may_have_run_at.union(busy)
        choice = self.placer.choose_successor(request, avoided, now)
        if choice is None or not await self.is_send_granted(choice.view.notices):
            return None
        now = clock.now()
        if not is_needed() or not self.placer.is_free(choice.view, request, now):
            return None
        return choice if self.unread.spend(progress.charges, now) else None

    def may_send_again(self, request: Request, progress: Progress, now: float) -> bool:
        """Return True if time, budget and quarantine allow one more send of a request now."""
        return (
            progress.not_run < MAXIMUM_NOT_RUN_SENDS
            and now + SEND_RESERVE_SECONDS < request.deadline
            and self.has_retry_budget(request, now)
            and self.crashes.admits(request.crash_keys, now)
        )

    async def attempt(
        self, request: Request, progress: Progress, send: Send
    ) -> WholeAnswer | FailedAttempt:
        """Send a request once and return the answer, or the failure."""
        view, now = send.choice.view, send.sent_at
        send.end_reservation()
        view.record_started(0)
        send.silent_at = now + self.silence_seconds(request, progress, now)
        self.log_sent(request, send, progress)
        self.load_changed()
        try:
            with self.crashes.counted_run(*request.crash_keys), counted_tokens(view, request):
                result = await send_and_read(
                    self.session,
                    request,
                    view,
                    self.backend_headers_for(request, send.choice, now),
                    request.deadline - now,
                    self.record_notice,
                )
        finally:
            view.record_ended()
            self.load_changed()
        handled = result.bind(lambda answer: self.handle_answer(request, progress, send, answer))
        return handled.unwrap() if isinstance(handled, Success) else handled.failure()

    def log_sent(self, request: Request, send: Send, progress: Progress) -> None:
        """Log that a request was sent to a backend."""
        allowed = self.placer.allowed_seconds(request, send.sent_at)
        self.log.sent(request, send.choice, progress.sends - 1, allowed)

    def record_notice(self, view: BackendView, notice: BackendNotice, sent_at: float) -> None:
        """Record what a backend says of itself in an answer to a request sent at `sent_at`."""
        now = clock.now()
        self.unread.record_life(view.notices.name, sent_at, now)
        self.survivors.record_answer(view.notices.name, sent_at, now)
        self.placer.fleet.record_notice(view, notice, sent_at, now, self.placer.rng.random())

    def backend_headers_for(self, request: Request, choice: Choice, now: float) -> BackendHeaders:
        """Return the values of the headers that this process sets on an attempt."""
        return BackendHeaders(
            backend=choice.view.backend.identity,
            remaining_seconds=request.deadline - now,
            workspace=request.workspace,
            version=choice.version,
            priority=rank_of(request, self.placer.is_late(request, now)),
        )

    def silence_seconds(self, request: Request, progress: Progress, now: float) -> float:
        """Return how long one send may take before another backend is tried beside it."""
        if not self.may_retry(request, progress):
            return math.inf
        left = request.deadline - now
        return max(MINIMUM_ATTEMPT_SHARE * left, min(left, request.route.target_seconds))

    def may_retry(self, request: Request, progress: Progress) -> bool:
        """Return True if the route allows another run after the present attempt."""
        return request.route.is_retryable and progress.runs + 1 < request.route.attempts

    def has_retry_budget(self, request: Request, now: float) -> bool:
        """Return True if the budget allows a retry now; none is counted."""
        return self.budget.remaining(request.service, now) >= 1.0

    def handle_answer(
        self, request: Request, progress: Progress, send: Send, answer: WholeAnswer
    ) -> Result[WholeAnswer, FailedAttempt]:
        """Return the answer for the caller, or a failed attempt if a server error is retried."""
        view = send.choice.view
        if answer.status < SERVER_ERROR:
            view.record_success(clock.now())
            self.record_answered(request, send, clock.now())
            self.log.answered(request, answer.status, progress.sends)
            return Success(answer)
        can_retry = self.may_retry(request, progress)
        if not can_retry or not self.has_retry_budget(request, clock.now()):
            view.record_failure(clock.now())
            self.log.answered(request, answer.status, progress.sends)
            return Success(answer)
        progress.answer = answer
        message = f"status {answer.status}"
        return Failure(FailedAttempt(FailureKind.SERVER_ERROR, True, message))

    def record_start(self, progress: Progress, send: Send) -> None:
        """Record a send that begins now."""
        backend = send.choice.view.notices.name
        send.unread = self.unread.record_sent(progress.charges, backend, send.sent_at)

    def record_failure(
        self, request: Request, progress: Progress, send: Send, failed: FailedAttempt
    ) -> None:
        """Record a failed send: at the backend, for the crash tracker and for the request."""
        view = send.choice.view
        now = clock.now()
        if send.unread is not None and failed.failure is not FailureKind.SILENT:
            self.unread.record_read(send.unread, now)
        self.log.failed(request, view, failed)
        if failed.failure is FailureKind.NO_DESCRIPTOR:
            # Nothing was sent, so this says nothing of the backend.
            progress.record_unsent(send.backend)
            self.descriptor_missing()
            return
        if failed.failure is FailureKind.FULL:
            view.record_full(now)
        elif failed.failure is FailureKind.UNREAD:
            pass  # The caller read too slowly; the backend is not to blame.
        elif failed.failure is FailureKind.NOT_RUN:
            if send.choice.version:
                view.record_weights_mismatch(now)
            else:
                view.record_misdirected(now)
        elif failed.failure in (FailureKind.UNREACHABLE, FailureKind.SILENT):
            view.record_unresponsive(now)
        else:
            view.record_failure(clock.now())
        if failed.failure is FailureKind.BROKEN:
            self.record_crash(request, send, now)
        if failed.may_have_run:
            progress.record_run(send.backend)
        else:
            progress.record_not_run(send.backend)

    def record_crash(self, request: Request, send: Send, now: float) -> None:
        """Record that a backend may have crashed by a request or by a part of its prompt.

        A part is suspected only if the answer had just begun: requests that wait in the backend,
        or whose answers have gone on for some time, are not the cause.
        """
        backend, sent_at = send.choice.view.notices.name, send.sent_at
        self.crashes.record_crash(request.fingerprint, backend, sent_at, now)
        if send.answer_began_at and not send.has_outlived_start(now):
            self.crashes.record_part_crash(request.part_keys, backend, sent_at, now)

    def record_answered(self, request: Request, send: Send, now: float) -> None:
        """Record that a backend has answered a request: neither it nor its parts are to blame."""
        began_at = send.answer_began_at or send.sent_at
        self.crashes.record_answered(request.fingerprint, now, now)
        self.crashes.record_parts_answered(request.part_keys, began_at, now)

    def after_failure(
        self, request: Request, progress: Progress, failed: FailedAttempt
    ) -> WholeAnswer | None:
        """Return None if a retry may follow, else the last server error of a backend.

        Raises:
          RefusedError: No retry may follow, and there is no such answer.
        """
        now = clock.now()
        if now + SEND_RESERVE_SECONDS >= request.deadline:
            return self.finish_timed_out(request, progress)
        exhausted = (
            progress.runs >= request.route.attempts or progress.not_run >= MAXIMUM_NOT_RUN_SENDS
        )
        may_run_again = request.route.is_retryable and progress.is_resumable
        forbidden = progress.runs > 0 and not may_run_again
        lacks_descriptor = failed.failure is FailureKind.NO_DESCRIPTOR
        if not exhausted and not forbidden and not lacks_descriptor:
            return None
        if progress.answer is not None:
            return progress.answer
        if lacks_descriptor and not progress.runs:
            wait = self.placer.rng.uniform(*DESCRIPTOR_RETRY_SECONDS)
            refusal = not_run(503, SHORTAGE_REASON, failed.message, wait)
            self.log.refused(request, refusal, None)
            raise RefusedError(refusal)
        self.give_up(request, progress, failed.message)
        return None

    def finish_timed_out(self, request: Request, progress: Progress) -> WholeAnswer:
        """Return the last server error of a backend after the deadline of a request.

        Raises:
          RefusedError: There is no such answer.
        """
        if progress.answer is not None:
            return progress.answer
        message = "no backend answered in time"
        if progress.runs or progress.in_flight:
            refusal = may_have_run_refusal(504, "timeout", message)
        else:
            refusal = not_run(503, "timeout", message, 0.1)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)


def is_stream(request: Request) -> bool:
    """Return True if the answer of the request's route is a stream of events."""
    return request.route.kind is RouteKind.STREAMING
