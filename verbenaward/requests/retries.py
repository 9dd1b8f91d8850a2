"""The decision that follows a failed attempt."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..data import Refusal, Verdict
from .budget import RetryBudget
from .records import AttemptFailure, Request

REDIRECTS = 6
ASK_AGAIN = 3
PAUSE_SECONDS = 0.02
MAXIMUM_PAUSE_SECONDS = 0.5
FREE_REASONS = ("release", "not-holder", "wrong-vm")
ROOM_REASONS = ("queue-full", "alone")


class NextStep(StrEnum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    PAUSE = "pause"
    GIVE_UP = "give-up"


@dataclass(slots=True)
class AttemptHistory:
    """What happened to one request so far.

    Attributes:
      failures: Failed attempts, oldest first.
      redirects: Refusals that named another target.
      pauses: Waits so far.
      may_have_run: True once an attempt may have run it.
      holder: VM that must run it, where one was named.
    """

    failures: list[AttemptFailure] = field(default_factory=list)
    redirects: int = 0
    pauses: int = 0
    may_have_run: bool = False
    holder: str = ""

    def note(self, failure: AttemptFailure) -> None:
        """Note a failed attempt."""
        self.failures.append(failure)
        if failure.refusal.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
        if failure.refusal.reason in FREE_REASONS:
            self.redirects += 1
        self.holder = failure.refusal.holder

    def tried(self) -> set[str]:
        """Return the VMs whose last failure speaks against asking them again."""
        return {
            item.vm for item in self.failures if item.refusal.reason not in (*FREE_REASONS, "alone")
        }

    def pause_seconds(self) -> float:
        """Return how long to wait before the next attempt; room comes back quickly."""
        if self.failures and self.failures[-1].refusal.reason in ROOM_REASONS:
            return PAUSE_SECONDS
        return min(MAXIMUM_PAUSE_SECONDS, PAUSE_SECONDS * float(2 ** min(self.pauses, 8)))

    def final(self, refusal: Refusal) -> Refusal:
        """Return a refusal whose verdict covers all attempts."""
        if not self.may_have_run or refusal.verdict is not Verdict.NOT_RUN:
            return refusal
        return Refusal(
            Verdict.MAY_HAVE_RUN,
            504,
            refusal.reason,
            f"{refusal.message}; an earlier attempt may have run",
            refusal.retry_after_seconds,
        )


def next_step(
    request: Request, history: AttemptHistory, budget: RetryBudget, now: float
) -> NextStep:
    """Decide what follows the last failed attempt of a request.

    Args:
      request: The request.
      history: Its attempts; the last one has just failed.
      budget: Budget of retries.
      now: Present time, monotonic, in seconds.
    """
    last = history.failures[-1].refusal
    if now + history.pause_seconds() >= request.deadline:
        return NextStep.GIVE_UP
    if last.verdict is Verdict.RAN:
        return NextStep.GIVE_UP
    if last.verdict is Verdict.MAY_HAVE_RUN:
        return after_doubt(request, history, budget)
    if last.reason in FREE_REASONS and history.redirects <= REDIRECTS:
        return NextStep.RETRY
    if last.reason in ROOM_REASONS and not budget.spend():
        return NextStep.PAUSE
    if last.status < 500 and last.reason not in ROOM_REASONS:
        return NextStep.GIVE_UP
    if last.reason in ROOM_REASONS or budget.spend():
        return NextStep.RETRY
    return NextStep.PAUSE


def after_doubt(request: Request, history: AttemptHistory, budget: RetryBudget) -> NextStep:
    """Decide after an attempt that may have run the request.

    An idempotent request may run again. A request with a key may be asked for again: its
    slot's holder answers what became of it and never runs it twice.
    """
    doubts = sum(item.refusal.verdict is Verdict.MAY_HAVE_RUN for item in history.failures)
    if not request.idempotent:
        is_final = history.failures[-1].refusal.reason == "claimed"
        return NextStep.GIVE_UP if is_final or doubts > ASK_AGAIN else NextStep.PAUSE
    if doubts > ASK_AGAIN:
        return NextStep.GIVE_UP
    return NextStep.RETRY if budget.spend() else NextStep.PAUSE
