"""Chooses the backend of a request, and builds the refusal of one that is not sent.

`admission` decides whether a request is admitted.
"""

import dataclasses
import math
import random
from dataclasses import dataclass

from ..data import Refusal, ServiceShare, Verdict
from ..requests.refusals import not_run
from .admission import (
    AdmissionRecord,
    Forecast,
    allowed_seconds,
    decide,
    demand_of,
    expected_answer_tokens,
)
from .backends import BackendView, first_event_seconds, residence_seconds
from .caller_retries import CallerRetryDetector
from .engine_memory import fits, is_too_large
from .fleet import Fleet
from .levels import level_rank
from .overflow import Candidate, eligible
from .peer_groups import PeerGroup
from .regions import is_allowed, region_of
from .request_types import Request

START_SLACK_SECONDS = 0.5
START_FACTOR = 2.0
"""A request is assumed to start at the latest after this many times the expected time, plus
`START_SLACK_SECONDS`; the required weights version is taken at that time."""
TIE_SECONDS = 0.012
"""Backends whose costs differ by less count as equal; one of them is chosen at random."""
FAILURE_PENALTY_SECONDS = 0.5
"""Penalty of a backend that fails all requests over one that fails none."""
CROSS_REGION_PENALTY_SECONDS = 0.3
"""Penalty of a backend in another region: load reports from there arrive late, and the link
between the regions is narrow."""
CROSS_GROUP_PENALTY_SECONDS = 0.25
"""Penalty of an engine that another peer group prefers: load reports from that group arrive
late."""
OVERRUN_WEIGHT = 0.25
"""Weight, in the cost, of the time for which a stream delays an engine that is about to load
weights."""
LATE_RANK = 7
"""Queue rank of a late request at an engine; a lower rank is served first, and the default is 5."""
MINIMUM_RETRY_AFTER_SECONDS = 0.05
MAXIMUM_RETRY_AFTER_SECONDS = 2.0
RETRY_SPREAD = 0.5
"""Random extension of the retry delay, as a share of it, so that callers do not return at once."""
OVERLOAD_RETRY_AFTER_SECONDS = 1.2
"""Shortest retry delay after a refusal for overload: the retry will be late in any case, and
sooner it would displace a request that can still be on time."""
OVERLOAD_RETRY_SPREAD = 1.5
NO_BACKEND_IN_REGION = "no-backend-in-region"
"""Reason of a refusal because the allowed regions have no backend for the request."""


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend that may run a request, with its cost.

    Attributes:
      view: The backend.
      expected_seconds: Expected time to the answer or the first event.
      version: Version of the weights that it is believed to hold; 0 if any version will do.
      cost_seconds: Expected time plus the penalties by which backends are ranked.
      start_deadline: Time by which the request must start there, monotonic: from then on the
        backend's weights are too old. Infinite if they are the newest.
    """

    view: BackendView
    expected_seconds: float
    version: int
    cost_seconds: float
    start_deadline: float = math.inf


class Placer:
    """Chooses backends and decides on admission.

    Attributes:
      fleet: Known backends and weights versions.
      zone: Availability zone of this process.
      regions: Region of each zone.
      version_seconds: Time after a target version is set from which no request may start on older
        weights; 0 for no bound.
      peer_group: Peer group of this process: the peers whose load reports arrive at once, and the
        engines that the group prefers.
      admissions: Recent decisions on admission, by service.
    """

    def __init__(
        self, fleet: Fleet, zone: str, regions: dict[str, str], version_seconds: float
    ) -> None:
        self.fleet = fleet
        self.zone = zone
        self.regions = regions
        self.version_seconds = version_seconds
        self.rng = random.Random()
        self.caller_retries = CallerRetryDetector()
        self.peer_group = PeerGroup()
        self.admissions: dict[str, AdmissionRecord] = {}

    def choose(self, request: Request, tried: set[str], now: float) -> Choice | None:
        """Return a backend for a request, or None if no backend may run it.

        Of the cheapest ones it is chosen at random. A request with a target may also go to an idle
        engine outside the peer group or region (see `overflow`). Backends that failed the request
        and backends in backoff are used only if no other is left.

        Args:
          request: The request.
          tried: Identities of the backends that failed this request.
          now: Present time, monotonic, in seconds.
        """
        candidates = self.candidates(request, now)
        untried = [
            item for item in candidates if item.view.backend.identity not in tried
        ] or candidates
        preferred = [item for item in untried if item.view.backoff_until <= now] or untried
        if not preferred:
            return None
        if request.engine is not None and request.route.target_seconds:
            return self.rng.choice(self.overflow_choices(request, preferred, now))
        best = min(item.cost_seconds for item in preferred)
        tied = [item for item in preferred if item.cost_seconds <= best + TIE_SECONDS]
        return self.rng.choice(tied)

    def choose_successor(self, request: Request, avoided: set[str], now: float) -> Choice | None:
        """Return a backend with a free slot for a request whose backends are silent, or None.

        Args:
          request: The request.
          avoided: Identities of the backends where it runs or may have run.
          now: Present time, monotonic, in seconds.
        """
        choices = [
            item
            for item in self.candidates(request, now)
            if item.view.backend.identity not in avoided
            and self.is_free(item.view, request, now)
            and now + item.expected_seconds < request.deadline
        ]
        if not choices:
            return None
        best = min(item.cost_seconds for item in choices)
        return self.rng.choice([i for i in choices if i.cost_seconds <= best + TIE_SECONDS])

    def is_free(self, view: BackendView, request: Request, now: float) -> bool:
        """Return True if a backend may run a request now, in a slot that is free."""
        has_slot = view.all_running(now) < view.backend.slots
        return has_slot and view.backoff_until <= now and self.is_still_usable(view, request, now)

    def overflow_choices(self, request: Request, choices: list[Choice], now: float) -> list[Choice]:
        """Return the choices among which one is picked at random, as `overflow` decides."""
        assert request.engine is not None
        demand = demand_of(request, request.engine, self.is_late(request, now), now)
        region = self.regions.get(self.zone)
        by_view = {id(item.view): item for item in choices}
        candidates = [
            Candidate(
                item.view,
                item.expected_seconds - demand.excess_prefill_seconds,
                item.cost_seconds,
                self.is_near(item.view),
                self.regions.get(item.view.backend.zone) == region,
            )
            for item in choices
        ]
        allowed = allowed_seconds(demand, self.admission_record(request), now)
        found = eligible(candidates, allowed, TIE_SECONDS)
        return [by_view[id(item.view)] for item in found]

    def is_near(self, view: BackendView) -> bool:
        """Return True if the load of a backend is reported to this process at once."""
        return self.remote_penalty_seconds(view) == 0.0

    def candidates(self, request: Request, now: float) -> list[Choice]:
        """Return every backend that may run a request, with its cost."""
        choices = []
        urgent_share = self.admission_record(request).urgent_share(request.level, now)
        for view in self.fleet.usable(request.service, now):
            if not self.is_usable(view, request, now):
                continue
            seconds = self.expected_seconds(view, request, now, urgent_share)
            latest_start = now + START_SLACK_SECONDS + START_FACTOR * seconds
            version = self.required_version(request, latest_start)
            if holds_required_weights(view, request, version):
                held = view.held_version(request.parsed_headers.model) if version else 0
                overrun = overrun_seconds(view, request, seconds, now)
                cost = seconds + OVERRUN_WEIGHT * overrun + self.remote_penalty_seconds(view)
                choices.append(
                    Choice(view, seconds, held, cost, self.start_deadline(view, request))
                )
        return choices

    def is_usable(self, view: BackendView, request: Request, now: float) -> bool:
        """Return True if a backend may run a request now, whatever weights it holds."""
        return (
            not view.is_excluded(now) and self.may_use(view, request) and fits(view, request, now)
        )

    def is_still_usable(self, view: BackendView, request: Request, now: float) -> bool:
        """Return True if a backend that was chosen some time ago may run a request now."""
        is_in_use = self.fleet.is_in_use(view, request.service, now)
        return is_in_use and self.is_usable(view, request, now)

    def may_use(self, view: BackendView, request: Request) -> bool:
        """Return True if a request is allowed in a backend's region, and its zone not evacuated."""
        zone = view.backend.zone
        return not self.fleet.evacuations.is_evacuated(zone) and is_allowed(
            region_of(zone, self.regions), request.regions
        )

    def is_ruled_out(self, request: Request, now: float) -> bool:
        """Return True if its allowed regions, or evacuations, leave a request no usable backend.

        To wait for one would be of no use: the request is refused at once.
        """
        if request.regions is None and not self.fleet.evacuations.zones:
            return False
        return not any(
            self.may_use(view, request) for view in self.fleet.usable(request.service, now)
        )

    def seconds_until_available(self, request: Request, now: float) -> float:
        """Return the time until a pause or a limit lets a backend be used for a request."""
        return self.fleet.seconds_until_available(
            request.service, now, lambda view: self.may_use(view, request)
        )

    def required_version(self, request: Request, at: float) -> int:
        """Return the minimum weights version for a request; 0 for any.

        Args:
          request: The request.
          at: Time at which it may start to run, monotonic, in seconds.
        """
        if not request.parsed_headers.model or not self.version_seconds:
            return 0
        return self.fleet.required_version(request.parsed_headers.model, self.version_seconds, at)

    def start_deadline(
        self, view: BackendView, request: Request, held_when_sent: int | None = None
    ) -> float:
        """Return the time by which a request must start at a backend, monotonic.

        Args:
          view: The backend.
          request: The request.
          held_when_sent: Version that the backend held when the request was sent to it; None for
            the one that it holds now.
        """
        if (
            not request.parsed_headers.model
            or not self.version_seconds
            or view.backend.weights is None
        ):
            return math.inf
        held = held_when_sent
        if held is None:
            held = view.held_version(request.parsed_headers.model)
        return self.fleet.start_deadline(request.parsed_headers.model, held, self.version_seconds)

    def expected_seconds(
        self, view: BackendView, request: Request, now: float, urgent_share: float = 0.0
    ) -> float:
        """Return the expected time to the answer or the first event at a backend.

        Args:
          view: The backend.
          request: The request.
          now: Present time, monotonic, in seconds.
          urgent_share: Share of more urgent levels in the recent work of the service.
        """
        failure_penalty = FAILURE_PENALTY_SECONDS * view.present_failure_share(now)
        if request.engine is None:
            load = view.all_running(now) / max(1, view.backend.slots)
            # A plain service with all slots in use is assumed to answer 20 ms later.
            return failure_penalty + 0.02 * load
        prompt = request.parsed_headers.prompt_tokens
        seconds = first_event_seconds(
            view, request.engine, prompt, now, request.level, urgent_share
        )
        overdue = view.longest_first_event_wait(now, request.level)
        return failure_penalty + max(seconds, overdue)

    def remote_penalty_seconds(self, view: BackendView) -> float:
        """Return the penalty of a backend whose load reports reach this process late."""
        here, there = self.regions.get(self.zone), self.regions.get(view.backend.zone)
        if here != there:
            return CROSS_REGION_PENALTY_SECONDS
        preferred = self.peer_group.backends
        if not preferred or view.backend.weights is None or view.backend.address in preferred:
            return 0.0
        return CROSS_GROUP_PENALTY_SECONDS

    def refusal(self, request: Request, choice: Choice | None, now: float) -> Refusal | None:
        """Return the refusal of a request that should not be sent; None if it is admitted.

        Args:
          request: The request.
          choice: Its best backend; None if no backend may run it.
          now: Present time, monotonic, in seconds.
        """
        if choice is None:
            return self.unavailable(request, now)
        if request.engine is None or not request.route.target_seconds:
            return None
        demand = demand_of(request, request.engine, self.is_late(request, now), now)
        record = self.admission_record(request)
        decision = decide(demand, self.forecast(request, choice, now), record, now)
        record.record(demand, choice.expected_seconds, decision.is_admitted, now)
        if decision.is_admitted:
            return None
        expected = choice.expected_seconds - demand.excess_prefill_seconds
        free_in = record.seconds_until_allowed(request.level, expected, now)
        wait = max(OVERLOAD_RETRY_AFTER_SECONDS, expected - decision.allowed_seconds, free_in)
        message = "all backends are overloaded"
        return self.retry_later("overload", message, wait, OVERLOAD_RETRY_SPREAD)

    def unavailable(self, request: Request, now: float) -> Refusal:
        """Return the refusal of a request for whose service no backend is available.

        If pauses or limits keep it from all of them, it says when the first one may be used.
        """
        if is_too_large(request):
            message = "prompt and answer do not fit into the memory of an engine"
            return not_run(413, "too-large", message)
        pause = self.seconds_until_available(request, now)
        if pause and self.fleet.has_limited(
            request.service, now, lambda view: self.may_use(view, request)
        ):
            wait = max(OVERLOAD_RETRY_AFTER_SECONDS, pause)
            message = "all backends take fewer requests than come"
            return self.retry_later("limited", message, wait, OVERLOAD_RETRY_SPREAD)
        if pause:
            wait = pause * self.rng.uniform(1.0, 1.0 + RETRY_SPREAD)
            return not_run(503, "paused", "all backends have asked for a pause", wait)
        usable = self.fleet.usable(request.service, now)
        if usable and not any(fits(view, request, now) for view in usable):
            message = "the memory of all engines is in use"
            wait = OVERLOAD_RETRY_AFTER_SECONDS
            return self.retry_later("engine-memory", message, wait, OVERLOAD_RETRY_SPREAD)
        # 0.8 s before the random extension.
        if request.regions is not None:
            message = "no backend is available in the allowed regions"
            return self.retry_later(NO_BACKEND_IN_REGION, message, 0.8)
        return self.retry_later("no-backend", "no backend is available", 0.8)

    def admission_record(self, request: Request) -> AdmissionRecord:
        """Return the recent decisions on the service of a request."""
        return self.admissions.setdefault(request.service, AdmissionRecord())

    def forecast(self, request: Request, choice: Choice, now: float) -> Forecast:
        """Return the expected waits of a request at a backend."""
        if not request.level:
            return Forecast(choice.expected_seconds, choice.expected_seconds)
        as_urgent = dataclasses.replace(request, level=0)
        processes = 1 + len(choice.view.fresh_remote_loads(now))
        urgent_seconds = self.expected_seconds(choice.view, as_urgent, now)
        return Forecast(choice.expected_seconds, urgent_seconds, processes)

    def allowed_seconds(self, request: Request, now: float) -> float | None:
        """Return the longest expected wait with which a request is admitted; None for any."""
        if request.engine is None or not request.route.target_seconds:
            return None
        demand = demand_of(request, request.engine, self.is_late(request, now), now)
        return allowed_seconds(demand, self.admission_record(request), now)

    def is_late(self, request: Request, now: float) -> bool:
        """Return True if a request can hardly meet its target: half has passed, or it is a retry.

        Unless half the target has passed, the call also records the request's remaining time for
        the detection of callers' retries.
        """
        target = request.route.target_seconds
        if target and now - request.received_at > target / 2:
            return True
        remaining = request.parsed_headers.deadline_seconds
        return self.caller_retries.is_retry(request.route.name, remaining, now)

    def retry_later(
        self, reason: str, message: str, wait_seconds: float, spread: float = RETRY_SPREAD
    ) -> Refusal:
        """Return a refusal with a retry delay, randomised so that callers spread out."""
        wait = min(MAXIMUM_RETRY_AFTER_SECONDS, max(MINIMUM_RETRY_AFTER_SECONDS, wait_seconds))
        return not_run(503, reason, message, wait * self.rng.uniform(1.0, 1.0 + spread))

    def pick_service(self, shares: tuple[ServiceShare, ...]) -> str:
        """Return one service of a route, chosen at random by weight; empty if none has a weight."""
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.rng.choices(shares, weights)[0].service if any(weights) else ""


def rank_of(request: Request, is_late: bool) -> int | None:
    """Return the rank of a request in the queue of an engine; None for the default rank.

    Late requests are served last, and levels of urgency in their order.
    """
    if request.engine is None:
        return None
    if request.level is not None:
        return level_rank(request.level, is_late)
    return LATE_RANK if is_late else None


def overrun_seconds(
    view: BackendView, request: Request, expected_seconds: float, now: float
) -> float:
    """Return for how long a request would delay its backend in loading other weights.

    From `loading_starts_at` a backend accepts no requests; it loads once its last one has ended.

    Args:
      view: The backend.
      request: The request.
      expected_seconds: Expected time to its first event.
      now: Present time, monotonic, in seconds.
    """
    if request.engine is None or view.loading_starts_at <= now:
        return 0.0
    running = min(view.all_running(now), view.backend.slots)
    residence = residence_seconds(request.engine, running, expected_answer_tokens(request))
    return max(0.0, now + expected_seconds + residence - view.loading_starts_at)


def holds_required_weights(view: BackendView, request: Request, version: int) -> bool:
    """Return True if a backend holds the request's model at this version or a newer one."""
    if not request.parsed_headers.model or view.backend.weights is None:
        return True
    held = view.held_version(request.parsed_headers.model)
    return held > 0 and held >= version


def may_have_run_refusal(status: int, reason: str, message: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, status, reason, message)
