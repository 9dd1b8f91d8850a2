"""Runs the sends of one request: a silent send is kept until a successor answers.

A backend may be silent for a moment and then continue. So a send that is silent for too long is not
cancelled: another backend gets the request beside it, if the route, the retry budget and a free
slot allow that. The first of them that continues supersedes the others.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Generic, Protocol, TypeVar

from .. import clock
from ..placement.placer import Choice
from ..placement.request_types import FailedAttempt, RefusedError, Request, UnsentError, WholeAnswer
from .request_log import RequestLog
from .sends import Progress, Send

SUCCESSOR_POLL_SECONDS = 0.05
"""Time from the first to the second look for a successor of silent sends; it doubles each time."""
MAXIMUM_SUCCESSOR_POLL_SECONDS = 0.4
LATE_WAKE_SECONDS = 0.3
"""A wait that ends so much later shows that this process was suspended, not that its backends were.
Silence counts again after the same time, in which what they sent meanwhile is read."""
SILENCE_POLL_SECONDS = 0.5
"""Longest time between two looks at the silence of the sends."""
SERVER_ERROR = 500
"""HTTP status from which an answer counts as a failure of its backend."""

Answer = TypeVar("Answer")


class RetryRules(Protocol):
    """What `Attempts` needs of the rules by which requests are sent and sent again.

    Attributes:
      log: Log lines about requests.
    """

    log: RequestLog

    async def next_choice(self, request: Request, progress: Progress) -> Choice:
        """Return the backend of the next send."""

    async def successor(
        self,
        request: Request,
        progress: Progress,
        busy: Collection[str],
        is_needed: Callable[[], bool],
    ) -> Choice | None:
        """Return a backend for a send beside silent ones; None if there is none now."""

    def record_start(self, progress: Progress, send: Send) -> None:
        """Record a send that begins now."""

    def record_failure(
        self, request: Request, progress: Progress, send: Send, failed: FailedAttempt
    ) -> None:
        """Record a failed send."""

    def after_failure(
        self, request: Request, progress: Progress, failed: FailedAttempt
    ) -> WholeAnswer | None:
        """Return None if another send may follow, else the last server error of a backend."""


class Attempts(Generic[Answer]):
    """Runs the sends of one request until one of them gives the answer.

    Attributes:
      rules: Rules by which requests are sent again, and log.
      request: The request.
      progress: Sends so far.
      execute: Sends the request and returns its answer, or the failure. It ends the reservation of
        the send first, keeps its `silent_at`, and forwards nothing that it may not `claim`.
      running: Sends in progress and their tasks; the last one is the newest.
      sends: All sends.
      cancelled: Tasks of superseded sends.
      next_look_at: Time before which no successor is looked for, monotonic.
      look_seconds: Time from the next look for a successor to the one after it.
      silence_counts_from: Time before which no silence counts, as this process was suspended.
    """

    def __init__(
        self,
        rules: RetryRules,
        request: Request,
        progress: Progress,
        execute: Callable[[Send], Coroutine[Any, Any, Answer | WholeAnswer | FailedAttempt]],
    ) -> None:
        self.rules = rules
        self.request = request
        self.progress = progress
        self.execute = execute
        self.running: dict[Send, asyncio.Task[Answer | WholeAnswer | FailedAttempt]] = {}
        self.sends: list[Send] = []
        self.cancelled: list[asyncio.Task[Answer | WholeAnswer | FailedAttempt]] = []
        self.next_look_at = 0.0
        self.look_seconds = SUCCESSOR_POLL_SECONDS
        self.silence_counts_from = 0.0

    async def run(self) -> Answer | WholeAnswer:
        """Send the request, again if that is needed and allowed, and return the answer.

        Raises:
          RefusedError: No backend answered it.
          UnsentError: The choice of a backend failed unexpectedly, and nothing was sent.
        """
        try:
            while True:
                if not self.running:
                    try:
                        choice = await self.rules.next_choice(self.request, self.progress)
                    except RefusedError:
                        if self.progress.answer is None:
                            raise
                        return self.progress.answer
                    except Exception as error:
                        if self.sends:
                            raise
                        raise UnsentError(error) from error
                    self.start(choice)
                await self.wait()
                answer = self.take_answer()
                if answer is not None:
                    return answer
                await self.start_successor()
        finally:
            await self.end()

    def start(self, choice: Choice) -> None:
        """Send the request to a backend."""
        send = Send(choice, clock.now())
        send.claim = lambda: self.supersede_others(send)
        send.reserve()
        self.rules.record_start(self.progress, send)
        self.sends.append(send)
        self.progress.in_flight += 1
        self.running[send] = asyncio.ensure_future(self.execute(send))

    async def wait(self) -> None:
        """Wait until a send ends, becomes silent or may get a successor."""
        now = clock.now()
        seconds = min(SILENCE_POLL_SECONDS, max(0.0, self.next_due_at() - now))
        await asyncio.wait(
            self.running.values(), timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        woke_at = clock.now()
        if woke_at > now + seconds + LATE_WAKE_SECONDS:
            self.silence_counts_from = woke_at + LATE_WAKE_SECONDS

    def next_due_at(self) -> float:
        """Return when a send becomes silent or a successor is looked for, monotonic."""
        if not self.may_have_successor():
            return math.inf
        times = [send.silent_at for send in self.running if not send.is_recorded_silent]
        times.append(max(self.next_look_at, self.all_silent_at()))
        return max(self.silence_counts_from, min(times))

    def all_silent_at(self) -> float:
        """Return the time from which all sends count as silent, monotonic."""
        return max((send.silent_at for send in self.running), default=math.inf)

    def may_have_successor(self) -> bool:
        """Return True if the route allows a run beside those in progress."""
        runs = self.progress.runs + len(self.running)
        may_run_again = self.request.route.is_retryable and self.progress.is_resumable
        return may_run_again and runs < self.request.route.attempts

    def needs_successor(self) -> bool:
        """Return True if all sends are silent, and none of them has ended."""
        now = clock.now()
        has_ended = any(task.done() for task in self.running.values())
        return bool(self.running) and self.all_silent_at() <= now and not has_ended

    async def start_successor(self) -> None:
        """Send the request to another backend if all sends are silent and that is possible now."""
        now = clock.now()
        if now < self.silence_counts_from or not self.may_have_successor():
            return
        for send in self.running:
            send.record_silence(now)
        if now < self.next_look_at or not self.needs_successor():
            return
        self.next_look_at = now + self.look_seconds
        self.look_seconds = min(MAXIMUM_SUCCESSOR_POLL_SECONDS, 2 * self.look_seconds)
        busy = {send.backend for send in self.running}
        choice = await self.rules.successor(self.request, self.progress, busy, self.needs_successor)
        if choice is not None:
            self.look_seconds = SUCCESSOR_POLL_SECONDS
            self.start(choice)

    def take_answer(self) -> Answer | WholeAnswer | None:
        """Record the sends that have ended; return the answer for the caller if there is one.

        Raises:
          RefusedError: The request may not be sent again, and no send is in progress.
        """
        for send, task in list(self.running.items()):
            if task.done() and send in self.running:
                del self.running[send]
                send.end_reservation()
                answer = self.outcome(send, task)
                if answer is not None:
                    return answer
        return None

    def outcome(
        self, send: Send, task: asyncio.Task[Answer | WholeAnswer | FailedAttempt]
    ) -> Answer | WholeAnswer | None:
        """Record the outcome of a send; return the answer for the caller if it is one.

        Raises:
          RefusedError: The request may not be sent again, and no send is in progress.
        """
        try:
            result = task.result()
        except RefusedError:
            if not self.running:
                raise
            self.progress.record_run(send.backend)
            return None
        if isinstance(result, FailedAttempt):
            self.rules.record_failure(self.request, self.progress, send, result)
            if self.running:
                return None
            return self.rules.after_failure(self.request, self.progress, result)
        if self.running and isinstance(result, WholeAnswer) and not self.is_useful(result):
            self.progress.answer = result
            self.progress.record_run(send.backend)
            return None
        self.supersede_others(send)
        send.record_answering(clock.now())
        return result

    def is_useful(self, answer: WholeAnswer) -> bool:
        """Return True if a whole answer is better for the caller than to wait for other sends."""
        return answer.status < SERVER_ERROR and not self.progress.is_delivering

    def supersede_others(self, send: Send) -> bool:
        """Cancel all other sends, as one continues; return False if that one was cancelled."""
        if send.is_superseded:
            return False
        for other, task in list(self.running.items()):
            if other is not send:
                del self.running[other]
                other.is_superseded = True
                self.cancelled.append(task)
                task.cancel()
                self.progress.record_run(other.backend)
                self.rules.log.superseded(self.request, other.choice.view, send.choice.view)
        return True

    async def end(self) -> None:
        """Cancel all sends and wait until their connections are closed."""
        tasks = [*self.running.values(), *self.cancelled]
        for task in self.running.values():
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for send in self.sends:
            send.end_reservation()
            # A reference to this object would keep the request until the garbage collection.
            send.claim = never
        self.running.clear()


def never() -> bool:
    """Return False: a send of a request that has ended forwards nothing."""
    return False
