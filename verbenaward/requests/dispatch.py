"""Runs admitted requests: chooses endpoints, retries, keeps the books on poison."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp
from returns.result import Failure, Result, Success

from .. import metrics
from ..data import Refusal
from ..membership.ring import Ring, rendezvous_order
from ..schema.messages import Crash
from .attempt import BACKEND_CRASHED, run_attempt
from .budget import RetryBudget
from .endpoints import EndpointView, EndpointViews
from .fair_queue import FairQueue
from .poison import PoisonList, Suspicion, clearance_of, crash_of
from .records import Answer, AttemptFailure, Request
from .refusals import not_run
from .retries import ROOM_REASONS, AttemptHistory, NextStep, next_step
from .routing import POLICIES, Candidates, least_load
from .slots import slot_of

NO_ENDPOINT_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
PROBE_SECONDS = 0.5
HTTP_OK = 200
UNREACHABLE_REASONS = ("unreachable", "connection-lost", "leaving")


class Dispatcher:
    """Sends requests to endpoints.

    Attributes:
      session: HTTP client.
      views: What is known about endpoints.
      budget: Budget of retries.
      poison: Crashes by fingerprint.
      holders: Holder of each slot, by (role, slot), as far as it was told.
      report_crash: Tells the other entry processes about a crash or a clearance.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        views: EndpointViews,
        policy_name: str,
        retry_ratio: float,
        poison: PoisonList,
        report_crash: Callable[[Crash], Awaitable[None]],
    ) -> None:
        self.session = session
        self.views = views
        self.policy = POLICIES.find(policy_name)
        self.budget = RetryBudget(retry_ratio)
        self.poison = poison
        self.report_crash = report_crash
        self.holders: dict[tuple[str, int], str] = {}
        self.rng = random.Random()
        self.turns = itertools.count()

    async def run(self, request: Request, queue: FairQueue) -> Result[Answer, Refusal]:
        """Have an admitted request run, with retries.

        Args:
          request: The request.
          queue: Queue of its role; its limit learns from what the endpoints say.

        Returns:
          The whole answer, or the final refusal with a verdict over all attempts.
        """
        history = AttemptHistory()
        self.budget.earn()
        while True:
            chosen = await self.choose_or_wait(request, history)
            if not isinstance(chosen, Success):
                return Failure(history.final(chosen.failure()))
            view = chosen.unwrap()
            result = await self.attempt(request, view, self.may_refuse_to_wait(request, history))
            if isinstance(result, Success):
                queue.limit.record_success(queue.running)
                return result
            failure = result.failure()
            self.learn(request, view, failure, queue)
            history.note(failure)
            step = next_step(request, history, self.budget, time.monotonic())
            if step is NextStep.GIVE_UP:
                return Failure(history.final(failure.refusal))
            if step is NextStep.PAUSE:
                await asyncio.sleep(history.pause_seconds() * self.rng.uniform(0.5, 1.0))
                history.pauses += 1

    def may_refuse_to_wait(self, request: Request, history: AttemptHistory) -> bool:
        """Return True for a first attempt where the budget has room for a second one."""
        return request.idempotent and not history.failures and self.budget.has_room()

    async def attempt(
        self, request: Request, view: EndpointView, no_wait: bool
    ) -> Result[Answer, AttemptFailure]:
        """Make one attempt and clear or report a suspect."""
        alone = self.is_suspect(request)
        view.outstanding += 1
        try:
            result = await run_attempt(self.session, request, view, alone, no_wait)
        finally:
            view.outstanding -= 1
        outcome = "answered" if isinstance(result, Success) else result.failure().refusal.reason
        metrics.ATTEMPTS.labels(outcome).inc()
        await self.settle(request, view, alone, result)
        return result

    async def settle(
        self,
        request: Request,
        view: EndpointView,
        alone: bool,
        result: Result[object, AttemptFailure],
    ) -> None:
        """Report a crash, or clear a suspect that has run alone and well."""
        now = time.monotonic()
        if not isinstance(result, Success) and result.failure().crashed:
            if await self.survived(view, result.failure()):
                return
            member = view.member
            crash = crash_of(request.fingerprint, member.vm, member.incarnation, time.time())
            self.poison.note(crash, now)
            await self.report_crash(crash)
        elif alone and isinstance(result, Success):
            clearance = clearance_of(request.fingerprint, time.time())
            self.poison.note(clearance, now)
            await self.report_crash(clearance)

    async def survived(self, view: EndpointView, failure: AttemptFailure) -> bool:
        """Return True where only a connection broke and the endpoint still answers."""
        if failure.refusal.reason == BACKEND_CRASHED:
            return False
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        try:
            async with self.session.get(
                f"http://{view.member.address}/healthz", timeout=timeout
            ) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def is_suspect(self, request: Request) -> bool:
        """Return True where a request must run alone."""
        return self.poison.judge(request.fingerprint, time.monotonic()) is Suspicion.SUSPECT

    def learn(
        self, request: Request, view: EndpointView, failure: AttemptFailure, queue: FairQueue
    ) -> None:
        """Use what a failed attempt says about endpoints, slots and room."""
        now = time.monotonic()
        reason = failure.refusal.reason
        if reason in UNREACHABLE_REASONS:
            view.note_failure(now)
        if reason == "release":
            view.note_release(failure.release)
        if reason in ROOM_REASONS:
            queue.limit.record_rejection(now)
        if failure.refusal.holder:
            slot = slot_of(request.workspace, request.idempotency_key)
            self.holders[request.role, slot] = failure.refusal.holder

    async def choose_or_wait(
        self, request: Request, history: AttemptHistory
    ) -> Result[EndpointView, Refusal]:
        """Return the endpoint of the next attempt, waiting a little where there is none."""
        now = time.monotonic()
        until = min(request.deadline, now + NO_ENDPOINT_SECONDS)
        while True:
            if self.poison.judge(request.fingerprint, now) is Suspicion.POISON:
                return Failure(not_run(422, "poison", "it crashed two endpoints"))
            view = self.choose(request, history, now)
            if view is not None:
                return Success(view)
            if now >= until:
                message = "no endpoint can run the request now"
                return Failure(not_run(503, "no-endpoint", message, RETRY_AFTER_SECONDS))
            await asyncio.sleep(0.05)
            now = time.monotonic()

    def choose(self, request: Request, history: AttemptHistory, now: float) -> EndpointView | None:
        """Return the endpoint of the next attempt, or None.

        Args:
          request: The request.
          history: Its attempts so far.
          now: Present time, monotonic, in seconds.
        """
        if not request.idempotent:
            return self.choose_holder(request, history)
        usable = self.views.usable(request.role, now)
        if request.is_model:
            usable = [view for view in usable if view.active_release()]
        if not usable:
            return None
        if self.is_suspect(request):
            return self.quarantine_of(request, usable)
        tried = history.tried()
        fresh = [view for view in usable if view.member.vm not in tried]
        if history.failures:
            return least_load(
                request, Candidates(fresh or usable, Ring(()), self.rng, self.turns), now
            )
        ring = self.views.ring_of(request.role)
        candidates = Candidates(fresh or usable, ring, self.rng, self.turns)
        return self.policy(request, candidates, now)

    def quarantine_of(self, request: Request, usable: list[EndpointView]) -> EndpointView:
        """Return the one endpoint that may run a suspect."""
        by_vm = {view.member.vm: view for view in usable}
        return by_vm[rendezvous_order(request.fingerprint.hex(), by_vm)[0]]

    def choose_holder(self, request: Request, history: AttemptHistory) -> EndpointView | None:
        """Return the endpoint that holds the slot of a request's key, as far as is known."""
        views = {view.member.vm: view for view in self.views.by_role.get(request.role, ())}
        slot = slot_of(request.workspace, request.idempotency_key)
        named = history.holder or self.holders.get((request.role, slot), "")
        if named in views:
            return views[named]
        order = rendezvous_order(f"slot {slot}", views)
        return views[order[0]] if order else None
