"""Runs requests: chooses a backend, sends, tries again where that is allowed."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from returns.result import Success

from ..data import RouteKind
from ..platform.request_headers import SendOrder
from ..requests.poison import Suspicion
from ..requests.refusals import not_run
from .backends import BackendView
from .budget import SharedRetryBudget
from .placing import Choice, Placer, may_have_run, rank_of
from .poison import CrashTracker
from .records import FailedAttempt, Failure, RefusedError, Request, WholeAnswer
from .request_log import RequestLog
from .sending import send_whole

POLL_SECONDS = 0.02
PATIENCE_TARGETS = 0.125
"""Part of its target for which a request waits for a backend before it is refused."""
RESERVE_SECONDS = 0.02
FIRST_TRY_SHARE = 0.4
"""Part of the time left that the first of two tries of an idempotent request may take."""
SERVER_ERROR = 500
REFUSED_SENDS = 3
"""Sends of one request that may end with a proof that it did not run."""


@dataclass(slots=True)
class Progress:
    """What became of a request so far.

    Attributes:
      tried: Backends that failed it.
      runs: Sends that may have run.
      refused: Sends that did not run.
      answer: Answer of a backend that failed it, to be passed on if nothing better comes.
    """

    tried: set[str] = field(default_factory=set)
    runs: int = 0
    refused: int = 0
    answer: WholeAnswer | None = None

    @property
    def sends(self) -> int:
        """Return the sends so far."""
        return self.runs + self.refused


class Forwarder:
    """Runs requests that are not streams, and decides for streams as well.

    Attributes:
      session: Client for backends.
      placer: Chooses backends.
      budget: Repeats that may be sent.
      crashes: Requests that crash backends.
      log: Lines about decisions.
      load_changed: Called where the load of a backend has changed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        placer: Placer,
        budget: SharedRetryBudget,
        crashes: CrashTracker,
        log: RequestLog,
        load_changed: Callable[[], None],
    ) -> None:
        self.session = session
        self.placer = placer
        self.budget = budget
        self.crashes = crashes
        self.log = log
        self.load_changed = load_changed

    async def run(self, request: Request) -> WholeAnswer:
        """Return the answer of a backend.

        Raises:
          RefusedError: There is none.
        """
        progress = Progress()
        self.budget.note_request(request.service, time.monotonic())
        while True:
            try:
                choice = await self.next_choice(request, progress)
            except RefusedError:
                if progress.answer is None:
                    raise
                return progress.answer
            answer = await self.attempt(request, progress, choice)
            if answer is not None:
                return answer

    async def next_choice(self, request: Request, progress: Progress) -> Choice:
        """Return the backend of the next send.

        Raises:
          RefusedError: Nothing is sent any more.
        """
        now = time.monotonic()
        self.check_poison(request, progress, now)
        patience = min(request.deadline, request.received_at + self.patience_seconds(request))
        while True:
            choice = self.placer.choose(request, progress.tried, now)
            if choice is not None or now >= patience:
                break
            await asyncio.sleep(POLL_SECONDS)
            now = time.monotonic()
        refusal = None if progress.runs else self.placer.refusal(request, choice, now)
        if refusal is not None:
            allowed = self.placer.allowed_seconds(request, now) if choice else None
            self.log.refused(request, refusal, choice, allowed)
            raise RefusedError(refusal)
        if choice is None or now + RESERVE_SECONDS >= request.deadline:
            self.give_up(request, progress, "no backend is left to try")
        assert choice is not None
        if progress.sends and not self.budget.spend(request.service, now):
            self.give_up(request, progress, "the budget of repeats is used up")
        return choice

    def patience_seconds(self, request: Request) -> float:
        """Return how long a request may wait for a backend."""
        return PATIENCE_TARGETS * (request.route.target_seconds or 0.1)

    def check_poison(self, request: Request, progress: Progress, now: float) -> None:
        """Refuse a request that has crashed backends before."""
        if self.crashes.suspicion_of(request.fingerprint, now) is not Suspicion.POISON:
            return
        if progress.runs:
            self.give_up(request, progress, "it has crashed its backends")
        refusal = not_run(503, "poison", "it has crashed several backends", 1.0)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)

    def give_up(self, request: Request, progress: Progress, message: str) -> None:
        """End a request with what is known about it.

        Raises:
          RefusedError: Always.
        """
        if progress.runs:
            refusal = may_have_run(502, "backend-failed", message)
        else:
            refusal = self.placer.retry_later("no-room", message, 0.1)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)

    async def attempt(
        self, request: Request, progress: Progress, choice: Choice
    ) -> WholeAnswer | None:
        """Send once; None where another send may follow.

        Raises:
          RefusedError: The request ends here.
        """
        view = choice.view
        now = time.monotonic()
        self.log.sent(request, choice, progress.sends)
        view.note_started(0)
        self.load_changed()
        try:
            result = await send_whole(
                self.session,
                request,
                view,
                self.order_of(request, choice, now),
                self.wait_seconds(request, progress, now),
            )
        except asyncio.CancelledError:
            self.log.cancelled(request)
            raise
        finally:
            view.note_ended()
            self.load_changed()
        if isinstance(result, Success):
            return self.judge_answer(request, progress, view, result.unwrap())
        self.note_failure(request, progress, choice, result.failure())
        return self.after_failure(request, progress, result.failure())

    def order_of(self, request: Request, choice: Choice, now: float) -> SendOrder:
        """Return what a backend is told beside what the caller said."""
        return SendOrder(
            backend=choice.view.backend.identity,
            remaining_seconds=request.deadline - now,
            workspace=request.workspace,
            version=choice.version,
            priority=rank_of(request, self.placer.is_late(request, now)),
        )

    def wait_seconds(self, request: Request, progress: Progress, now: float) -> float:
        """Return how long one send may take."""
        left = request.deadline - now
        if not self.may_repeat(request, progress) or not self.has_budget(request, now):
            return left
        return max(FIRST_TRY_SHARE * left, min(left, request.route.target_seconds))

    def may_repeat(self, request: Request, progress: Progress) -> bool:
        """Return True where a request may run once more after this send."""
        return request.route.is_repeatable and progress.runs + 1 < request.route.attempts

    def has_budget(self, request: Request, now: float) -> bool:
        """Return True where a repeat may be sent."""
        return self.budget.remaining(request.service, now) >= 1.0

    def judge_answer(
        self, request: Request, progress: Progress, view: BackendView, answer: WholeAnswer
    ) -> WholeAnswer | None:
        """Return an answer that is passed on; None where the request is tried again."""
        if answer.status < SERVER_ERROR:
            view.note_success()
            self.crashes.record_success(request.fingerprint)
            self.log.answered(request, answer.status, progress.sends + 1)
            return answer
        view.note_failure()
        can_repeat = self.may_repeat(request, progress)
        if not can_repeat or not self.has_budget(request, time.monotonic()):
            self.log.answered(request, answer.status, progress.sends + 1)
            return answer
        progress.answer = answer
        progress.runs += 1
        progress.tried.add(view.backend.identity)
        return None

    def note_failure(
        self, request: Request, progress: Progress, choice: Choice, failed: FailedAttempt
    ) -> None:
        """Learn from a failed send."""
        view = choice.view
        now = time.monotonic()
        self.log.failed(request, view, failed)
        progress.tried.add(view.backend.identity)
        if failed.failure is Failure.FULL:
            view.note_full(now)
        elif failed.failure is Failure.NOT_RUN and not failed.may_have_run:
            if choice.version:
                view.note_weights_mismatch(now)
            else:
                view.note_misdirected(now)
        elif failed.failure in (Failure.UNREACHABLE, Failure.SILENT):
            view.note_unresponsive(now)
        else:
            view.note_failure()
        if failed.failure is Failure.BROKEN:
            self.crashes.record_crash(request.fingerprint, view.backend.identity, now)
        if failed.may_have_run:
            progress.runs += 1
        else:
            progress.refused += 1

    def after_failure(
        self, request: Request, progress: Progress, failed: FailedAttempt
    ) -> WholeAnswer | None:
        """Decide whether a request is sent again; return a kept answer where it is not.

        Raises:
          RefusedError: It is not, and there is no answer to pass on.
        """
        now = time.monotonic()
        if now + RESERVE_SECONDS >= request.deadline:
            return self.timed_out(request, progress)
        exhausted = progress.runs >= request.route.attempts or progress.refused >= REFUSED_SENDS
        forbidden = progress.runs > 0 and not request.route.is_repeatable
        if not exhausted and not forbidden:
            return None
        if progress.answer is not None:
            return progress.answer
        self.give_up(request, progress, failed.message)
        return None

    def timed_out(self, request: Request, progress: Progress) -> WholeAnswer:
        """Return a kept answer at the end of the time.

        Raises:
          RefusedError: There is none.
        """
        if progress.answer is not None:
            return progress.answer
        message = "no backend answered in time"
        if progress.runs:
            refusal = may_have_run(504, "timeout", message)
        else:
            refusal = not_run(503, "timeout", message, 0.1)
        self.log.refused(request, refusal, None)
        raise RefusedError(refusal)


def is_stream(request: Request) -> bool:
    """Return True where the answer is a stream of events."""
    return request.route.kind is RouteKind.STREAMING
