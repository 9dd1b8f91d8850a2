"""Decides whether and when to retry after a failed attempt."""

from dataclasses import dataclass, field
from enum import StrEnum

from ..data import Refusal, Verdict
from .budget import RetryBudget
from .records import AttemptFailure, Request

MAXIMUM_REDIRECTS = 6
"""Redirects of one request that are followed without using the retry budget."""
MAXIMUM_UNKNOWN_OUTCOMES = 3
"""Attempts with unknown outcome after which a request may still be retried."""
INITIAL_PAUSE_SECONDS = 0.02
"""First pause of the exponential backoff between attempts."""
MAXIMUM_PAUSE_SECONDS = 0.5
"""Upper limit of the backoff."""
REDIRECT_REASONS = ("release", "not-holder", "wrong-vm")
"""The request went to the wrong endpoint; the retry costs no retry budget.

"release": the endpoint serves another release. "not-holder": another VM holds the slot of the key.
"wrong-vm": the request names another VM than the one that received it."""
CAPACITY_REASONS = ("queue-full", "alone")
"""The endpoint has no capacity now: its queue is full, or a request runs there alone."""


class NextStep(StrEnum):
    """Decision after a failed attempt.

    RETRY makes the next attempt at once, PAUSE after a pause, GIVE_UP makes none.
    """

    RETRY = "retry"
    PAUSE = "pause"
    GIVE_UP = "give-up"


@dataclass(slots=True)
class AttemptHistory:
    """Failed attempts of one request.

    Attributes:
      failures: Failed attempts, oldest first.
      redirects: Number of failures with one of REDIRECT_REASONS.
      pauses: Number of pauses so far.
      may_have_run: True once the request may have run in an attempt.
      holder: VM that the last refusal named as holder of the key's slot; empty if none.
      lender: Budget from which a retry was taken in advance; None if none is held.
    """

    failures: list[AttemptFailure] = field(default_factory=list)
    redirects: int = 0
    pauses: int = 0
    may_have_run: bool = False
    holder: str = ""
    lender: RetryBudget | None = None

    def take_in_advance(self, budget: RetryBudget) -> bool:
        """Take a retry that may follow from the budget; return False if it has none to spare."""
        if budget.take_in_advance():
            self.lender = budget
        return self.lender is not None

    def give_back(self) -> None:
        """Return the retry that was taken in advance, if it was not spent."""
        if self.lender is not None:
            self.lender.give_back()
            self.lender = None

    def spend(self, budget: RetryBudget) -> bool:
        """Spend the retry that was taken in advance, else one of the budget; False for none."""
        if self.lender is None:
            return budget.spend()
        self.lender = None
        return True

    def record_failure(self, failure: AttemptFailure) -> None:
        """Add a failed attempt."""
        self.failures.append(failure)
        if failure.refusal.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
        if failure.refusal.reason in REDIRECT_REASONS:
            self.redirects += 1
        self.holder = failure.refusal.holder

    def vms_to_avoid(self) -> set[str]:
        """Return the VMs to avoid in the next attempt.

        A redirect or a request running alone there is no reason to avoid a VM.
        """
        return {
            item.vm
            for item in self.failures
            if item.refusal.reason not in (*REDIRECT_REASONS, "alone")
        }

    def pause_seconds(self) -> float:
        """Return the pause before the next attempt, in seconds.

        It is short after a lack of capacity, which rarely lasts long.
        """
        if self.failures and self.failures[-1].refusal.reason in CAPACITY_REASONS:
            return INITIAL_PAUSE_SECONDS
        return min(MAXIMUM_PAUSE_SECONDS, INITIAL_PAUSE_SECONDS * float(2 ** min(self.pauses, 8)))

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Return a refusal with a verdict that covers all attempts."""
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
    """Decide whether to retry after the last failed attempt of a request.

    Args:
      request: The request.
      history: Its failed attempts, at least one.
      budget: Retry budget; an immediate retry that is no redirect spends a token.
      now: Current time, monotonic, in seconds.
    """
    last = history.failures[-1].refusal
    if now + history.pause_seconds() >= request.deadline:
        return NextStep.GIVE_UP
    if last.verdict is Verdict.RAN:
        return NextStep.GIVE_UP
    if last.verdict is Verdict.MAY_HAVE_RUN:
        return after_unknown_outcome(request, history, budget)
    if last.reason in REDIRECT_REASONS and history.redirects <= MAXIMUM_REDIRECTS:
        return NextStep.RETRY
    if last.reason in CAPACITY_REASONS and not history.spend(budget):
        return NextStep.PAUSE
    if last.status < 500 and last.reason not in CAPACITY_REASONS:
        return NextStep.GIVE_UP
    if last.reason in CAPACITY_REASONS or history.spend(budget):
        return NextStep.RETRY
    return NextStep.PAUSE


def after_unknown_outcome(
    request: Request, history: AttemptHistory, budget: RetryBudget
) -> NextStep:
    """Decide whether to retry after an attempt in which the request may have run.

    An idempotent request may run again. A request with an idempotency key may be resent: the
    holder of its slot returns the outcome and never runs it twice.
    """
    unknown_outcomes = sum(
        item.refusal.verdict is Verdict.MAY_HAVE_RUN for item in history.failures
    )
    if not request.idempotent:
        is_final = history.failures[-1].refusal.reason == "claimed"
        return (
            NextStep.GIVE_UP
            if is_final or unknown_outcomes > MAXIMUM_UNKNOWN_OUTCOMES
            else NextStep.PAUSE
        )
    if unknown_outcomes > MAXIMUM_UNKNOWN_OUTCOMES:
        return NextStep.GIVE_UP
    return NextStep.RETRY if history.spend(budget) else NextStep.PAUSE
