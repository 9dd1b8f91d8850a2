"""Runs admitted requests: chooses endpoints, retries, and reports requests that crash them."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Failure, Result, Success

from .. import clock, metrics
from ..data import Refusal
from ..membership.ring import Ring, rendezvous_order
from ..schema.messages import Crash
from .attempt import BACKEND_CRASHED, run_attempt
from .budget import RetryBudget
from .endpoints import EndpointView, EndpointViews
from .fair_queue import FairQueue
from .quarantine import CrashRegistry, QuarantineState, clearance_of, crash_of
from .records import Answer, AttemptFailure, Request
from .refusals import not_run
from .retries import CAPACITY_REASONS, AttemptHistory, NextStep, next_step
from .routing import POLICIES, Candidates, least_load
from .slots import slot_of

ENDPOINT_WAIT_SECONDS = 2.0
"""Longest wait for a usable endpoint before an attempt."""
RETRY_AFTER_SECONDS = 1.0
"""Retry-After value when no endpoint is usable."""
PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of the health check that follows a broken connection."""
HTTP_OK = 200
UNREACHABLE_REASONS = ("unreachable", "connection-lost", "leaving")
"""Reasons after which the endpoint gets no requests for a backoff time."""


class Dispatcher:
    """Sends requests to endpoints.

    Attributes:
      session: HTTP client.
      views: Load and state of the endpoints, as this process sees them.
      policy: Routing policy for first attempts of idempotent requests.
      budget: Retry budget.
      crash_registry: Crashes by request fingerprint.
      slot_holders: VM that holds a slot, by (role, slot), as last named in a refusal.
      report_crash: Sends a crash or a clearance to the other entry processes.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        views: EndpointViews,
        policy_name: str,
        retry_ratio: float,
        crash_registry: CrashRegistry,
        report_crash: Callable[[Crash], Awaitable[None]],
    ) -> None:
        self.session = session
        self.views = views
        self.policy = POLICIES.find(policy_name)
        self.budget = RetryBudget(retry_ratio)
        self.crash_registry = crash_registry
        self.report_crash = report_crash
        self.slot_holders: dict[tuple[str, int], str] = {}
        self.rng = random.Random()
        self.round_robin_counter = itertools.count()

    async def run(self, request: Request, queue: FairQueue) -> Result[Answer, Refusal]:
        """Run an admitted request, with retries.

        Args:
          request: The request.
          queue: Queue of its role; its concurrency limit adapts to the outcomes.

        Returns:
          The complete answer, or the final refusal, whose verdict covers all attempts.
        """
        history = AttemptHistory()
        self.budget.earn()
        try:
            return await self.run_attempts(request, queue, history)
        finally:
            history.give_back()

    async def run_attempts(
        self, request: Request, queue: FairQueue, history: AttemptHistory
    ) -> Result[Answer, Refusal]:
        """Make attempts until one of them is answered or none may follow."""
        while True:
            chosen = await self.wait_for_endpoint(request, history)
            if not isinstance(chosen, Success):
                return Failure(history.final_refusal(chosen.failure()))
            view = chosen.unwrap()
            result = await self.attempt(request, view, self.take_no_wait(request, history))
            if isinstance(result, Success):
                queue.limit.record_success(queue.running)
                return result
            failure = result.failure()
            self.apply_failure(request, view, failure, queue)
            history.record_failure(failure)
            step = next_step(request, history, self.budget, clock.now())
            if step is NextStep.GIVE_UP:
                return Failure(history.final_refusal(failure.refusal))
            if step is NextStep.PAUSE:
                await asyncio.sleep(history.pause_seconds() * self.rng.uniform(0.5, 1.0))
                history.pauses += 1

    def take_no_wait(self, request: Request, history: AttemptHistory) -> bool:
        """Return True if the endpoint may refuse instead of queueing the request.

        This holds for the first attempt of an idempotent request, if the retry budget can spare
        the retry that a refusal costs. It is taken now: later others might have spent it, and the
        request would have left its queue for nothing.
        """
        is_first = request.idempotent and not history.failures
        return is_first and history.take_in_advance(self.budget)

    async def attempt(
        self, request: Request, view: EndpointView, no_wait: bool
    ) -> Result[Answer, AttemptFailure]:
        """Make one attempt, and report a crash or clear a quarantined request."""
        alone = self.is_quarantined(request)
        view.outstanding += 1
        try:
            result = await run_attempt(self.session, request, view, alone, no_wait)
        finally:
            view.outstanding -= 1
        outcome = "answered" if isinstance(result, Success) else result.failure().refusal.reason
        metrics.ATTEMPTS.labels(outcome).inc()
        await self.report_crash_or_clearance(request, view, alone, result)
        return result

    async def report_crash_or_clearance(
        self,
        request: Request,
        view: EndpointView,
        alone: bool,
        result: Result[object, AttemptFailure],
    ) -> None:
        """Report a crash, or clear a quarantined request that ran alone and was answered."""
        now = clock.now()
        if not isinstance(result, Success) and result.failure().crashed:
            if await self.endpoint_survived(view, result.failure()):
                return
            member = view.member
            crash = crash_of(request.fingerprint, member.vm, member.incarnation, time.time())
            self.crash_registry.record(crash, now)
            await self.report_crash(crash)
        elif alone and isinstance(result, Success):
            clearance = clearance_of(request.fingerprint, time.time())
            self.crash_registry.record(clearance, now)
            await self.report_crash(clearance)

    async def endpoint_survived(self, view: EndpointView, failure: AttemptFailure) -> bool:
        """Return True if only the connection broke: the endpoint still passes its health check."""
        if failure.refusal.reason == BACKEND_CRASHED:
            return False
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with self.session.get(
                f"http://{view.member.address}/healthz", timeout=timeout
            ) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def is_quarantined(self, request: Request) -> bool:
        """Return True if the request crashed an endpoint and must therefore run alone."""
        return (
            self.crash_registry.state_of(request.fingerprint, clock.now())
            is QuarantineState.QUARANTINED
        )

    def apply_failure(
        self, request: Request, view: EndpointView, failure: AttemptFailure, queue: FairQueue
    ) -> None:
        """Update endpoint state, concurrency limit and slot holders from a failed attempt."""
        now = clock.now()
        reason = failure.refusal.reason
        if reason in UNREACHABLE_REASONS:
            view.record_failure(now)
        if reason == "release":
            view.record_release(failure.release)
        if reason in CAPACITY_REASONS:
            queue.limit.record_rejection(now)
        if failure.refusal.holder:
            slot = slot_of(request.workspace, request.idempotency_key)
            self.slot_holders[request.role, slot] = failure.refusal.holder

    async def wait_for_endpoint(
        self, request: Request, history: AttemptHistory
    ) -> Result[EndpointView, Refusal]:
        """Return the endpoint of the next attempt, waiting up to ENDPOINT_WAIT_SECONDS for one."""
        now = clock.now()
        until = min(request.deadline, now + ENDPOINT_WAIT_SECONDS)
        while True:
            if self.crash_registry.state_of(request.fingerprint, now) is QuarantineState.POISON:
                return Failure(not_run(422, "poison", "the request crashed two endpoints"))
            view = self.choose(request, history, now)
            if view is not None:
                return Success(view)
            if now >= until:
                message = "no endpoint can run the request now"
                return Failure(not_run(503, "no-endpoint", message, RETRY_AFTER_SECONDS))
            await asyncio.sleep(0.05)
            now = clock.now()

    def choose(self, request: Request, history: AttemptHistory, now: float) -> EndpointView | None:
        """Return the endpoint of the next attempt, or None if none is usable.

        Args:
          request: The request.
          history: Its attempts so far.
          now: Current time, monotonic, in seconds.
        """
        if not request.idempotent:
            return self.choose_slot_holder(request, history)
        usable = self.views.usable(request.role, now)
        if request.is_model:
            usable = [view for view in usable if view.active_release()]
        if not usable:
            return None
        if self.is_quarantined(request):
            return self.quarantine_endpoint(request, usable)
        avoided = history.vms_to_avoid()
        preferred = [view for view in usable if view.member.vm not in avoided]
        if history.failures:
            return least_load(
                request,
                Candidates(preferred or usable, Ring(()), self.rng, self.round_robin_counter),
                now,
            )
        ring = self.views.ring_of(request.role)
        candidates = Candidates(preferred or usable, ring, self.rng, self.round_robin_counter)
        return self.policy(request, candidates, now)

    def quarantine_endpoint(self, request: Request, usable: list[EndpointView]) -> EndpointView:
        """Return the endpoint for a quarantined request, the same one in all entry processes."""
        by_vm = {view.member.vm: view for view in usable}
        return by_vm[rendezvous_order(request.fingerprint.hex(), by_vm)[0]]

    def choose_slot_holder(self, request: Request, history: AttemptHistory) -> EndpointView | None:
        """Return the endpoint believed to hold the slot of the request's idempotency key.

        An endpoint that does not hold the slot refuses and names the holder.
        """
        views = {view.member.vm: view for view in self.views.by_role.get(request.role, ())}
        slot = slot_of(request.workspace, request.idempotency_key)
        holder = history.holder or self.slot_holders.get((request.role, slot), "")
        if holder in views:
            return views[holder]
        order = rendezvous_order(f"slot {slot}", views)
        return views[order[0]] if order else None
