"""Decides whether a request is admitted, by its forecast wait, its level and its cost.

If every backend would send the first event too late to be of use, the request is refused at
once, so that admitted requests still meet their target. A service without levels (levels.py)
admits each request by its own target alone.
"""

import math
from dataclasses import dataclass, field

from ..data import EngineProfile
from .levels import LAST_LEVEL
from .request_types import Request

LATE_REQUEST_TARGET_SHARE = 0.75
"""A late request is admitted only if its expected wait is at most this many times its target;
otherwise it would displace a request that can still be on time."""
WORK_WINDOW_SECONDS = 2.0
"""Time constant with which admitted work is forgotten."""
MAXIMUM_URGENT_SHARE = 0.75
"""Largest assumed share of more urgent levels in the work that a backend gets."""
GUARANTEED_REQUESTS = 10
"""One in this many requests of a level is admitted in any case."""
MAXIMUM_REFUSAL_SECONDS = 1.0
"""Time after which a level that was refused altogether is admitted again, if its target can be
met; multiplied by the number of processes that send to the same backends."""


SHORTAGE_TARGET_SHARE = 0.65
"""Share of its target from which the forecast of a request shows a shortage for its level. Load
reports are late, so a forecast close to the target is often exceeded."""
SHORTAGE_GRACE_SECONDS = 0.5
"""Time for which a shortage must last before less urgent levels are limited, so that a short burst
refuses nothing."""
SHORTAGE_GAP_SECONDS = 2.0
"""Time without such a forecast after which a shortage counts as a new one. With many entry
processes each of them sees an urgent request only every half second."""
LIMIT_FALL_PER_SECOND = 2.0
"""Fall of the limit of a less urgent level during a shortage, as a share of the urgent target."""
LIMIT_RISE_PER_SECOND = 0.2
"""Rise of that limit at other times, slower than its fall: queues drain for seconds after a
burst."""
MINIMUM_LIMIT_SHARE = 0.1
"""Lowest limit of a level; the least urgent level reaches it before the next one is limited."""
EXHAUSTED_LIMIT_SHARE = 0.12
"""Limit from which the next level is limited as well."""
MAXIMUM_STEP_SECONDS = 1.0
"""Longest time between two requests of a level for which the shortage is taken to have lasted."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What admission considers of a request.

    Attributes:
      level: Its level of urgency; None if its service has no levels.
      is_late: True if it can hardly meet its target.
      target_seconds: Target for the time to the first event.
      target_left_seconds: Part of the target that is left.
      deadline_left_seconds: Time until its caller gives up.
      excess_prefill_seconds: How much longer its prefill takes than that of a usual prompt.
      work_seconds: Time of an engine that it takes.
    """

    level: int | None
    is_late: bool
    target_seconds: float
    target_left_seconds: float
    deadline_left_seconds: float
    excess_prefill_seconds: float
    work_seconds: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected waits for the first event at the best backend.

    Attributes:
      seconds: With what is served before the request.
      urgent_seconds: With what would be served before it if it were of level 0.
      processes: Entry processes that send to the same backends, with this one.
    """

    seconds: float
    urgent_seconds: float
    processes: int = 1


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is admitted.

    Attributes:
      is_admitted: True if it should be sent.
      allowed_seconds: Longest expected wait with which it is admitted for its own sake.
      is_guaranteed: True if it is admitted as the guaranteed minimum of its level.
    """

    is_admitted: bool
    allowed_seconds: float
    is_guaranteed: bool = False


@dataclass(slots=True)
class LevelRecord:
    """Recent decisions on the requests of one level.

    Attributes:
      refused_in_a_row: First attempts refused since the last one that was admitted.
      admitted_at: When a request was last admitted, or first seen, monotonic.
      work_seconds: Admitted work, which decays with `WORK_WINDOW_SECONDS`.
      decayed_at: Time up to which that was decayed, monotonic.
      target_seconds: Target of the last first attempt; 0 for none.
      seen_at: When that came, monotonic.
      shortage_began_at: When the present shortage began, monotonic.
      shortage_seen_at: When a forecast last showed it, monotonic.
      limit_share: Limit on the expected wait of the level, as a share of the targets of more urgent
        levels, at `limited_at`; 1 for no limit.
      limited_at: When that was set, monotonic.
    """

    refused_in_a_row: int = 0
    admitted_at: float = 0.0
    work_seconds: float = 0.0
    decayed_at: float = 0.0
    target_seconds: float = 0.0
    seen_at: float = 0.0
    shortage_began_at: float = -math.inf
    shortage_seen_at: float = -math.inf
    limit_share: float = 1.0
    limited_at: float = 0.0

    def work_at(self, now: float) -> float:
        """Return the admitted work of the last seconds."""
        return self.work_seconds * math.exp((self.decayed_at - now) / WORK_WINDOW_SECONDS)

    def limit_share_at(self, now: float) -> float:
        """Return the limit share, which rises with time."""
        return min(1.0, self.limit_share + LIMIT_RISE_PER_SECOND * (now - self.limited_at))

    def observe_forecast(self, demand: Demand, forecast_seconds: float, now: float) -> float:
        """Record the forecast of a first attempt.

        Args:
          demand: The request.
          forecast_seconds: Its expected wait.
          now: Present time, monotonic, in seconds.

        Returns:
          The time for which a lasting shortage went on since the last one, in seconds.
        """
        step = min(MAXIMUM_STEP_SECONDS, now - self.seen_at)
        self.target_seconds, self.seen_at = demand.target_seconds, now
        expected = forecast_seconds - demand.excess_prefill_seconds
        if expected <= SHORTAGE_TARGET_SHARE * demand.target_left_seconds:
            return 0.0
        if now - self.shortage_seen_at > SHORTAGE_GAP_SECONDS:
            self.shortage_began_at = now
        self.shortage_seen_at = now
        return step if now - self.shortage_began_at >= SHORTAGE_GRACE_SECONDS else 0.0


@dataclass(slots=True)
class AdmissionRecord:
    """Recent decisions on the requests of one service, by level."""

    levels: dict[int, LevelRecord] = field(default_factory=dict)

    def level(self, level: int, now: float) -> LevelRecord:
        """Return the record of a level."""
        return self.levels.setdefault(level, LevelRecord(admitted_at=now, decayed_at=now))

    def urgent_share(self, level: int | None, now: float) -> float:
        """Return the share of more urgent levels in the work admitted in the last seconds."""
        if not level:
            return 0.0
        work = {number: record.work_at(now) for number, record in self.levels.items()}
        total = sum(work.values())
        urgent = sum(seconds for number, seconds in work.items() if number < level)
        return min(MAXIMUM_URGENT_SHARE, urgent / total) if total else 0.0

    def limit_less_urgent(self, level: int, seconds: float, now: float) -> None:
        """Lower the limits of less urgent levels, the least urgent first.

        Args:
          level: Level that is short of capacity.
          seconds: Time for which it has been.
          now: Present time, monotonic, in seconds.
        """
        for number in range(LAST_LEVEL, level, -1):
            record = self.level(number, now)
            share = record.limit_share_at(now)
            # The share has risen since the last step, which is taken back here.
            fall = seconds * (LIMIT_FALL_PER_SECOND + LIMIT_RISE_PER_SECOND)
            record.limit_share = max(MINIMUM_LIMIT_SHARE, share - fall)
            record.limited_at = now
            if share > EXHAUSTED_LIMIT_SHARE:
                return

    def limit_seconds(self, level: int, now: float) -> float:
        """Return the longest expected wait that more urgent levels leave to a level."""
        known = self.levels.get(level)
        share = known.limit_share_at(now) if known else 1.0
        targets = [
            record.target_seconds
            for number, record in self.levels.items()
            if number < level and record.target_seconds
        ]
        return share * min(targets, default=math.inf) if share < 1.0 else math.inf

    def seconds_until_allowed(
        self, level: int | None, expected_seconds: float, now: float
    ) -> float:
        """Return the time until the limit of a level allows an expected wait, if it only rises."""
        limit = self.limit_seconds(level or 0, now)
        if expected_seconds <= limit or limit <= 0.0:
            return 0.0
        share = self.levels[level or 0].limit_share_at(now)
        needed = min(1.0, share * expected_seconds / limit)
        return (needed - share) / LIMIT_RISE_PER_SECOND

    def record(
        self, demand: Demand, forecast_seconds: float, is_admitted: bool, now: float
    ) -> None:
        """Record a decision.

        Args:
          demand: The request.
          forecast_seconds: Its expected wait.
          is_admitted: Whether it was admitted.
          now: Present time, monotonic, in seconds.
        """
        if demand.level is None:
            return
        record = self.level(demand.level, now)
        if is_admitted:
            record.work_seconds = record.work_at(now) + demand.work_seconds
            record.decayed_at = now
        if demand.is_late:
            return
        short_seconds = record.observe_forecast(demand, forecast_seconds, now)
        if short_seconds:
            self.limit_less_urgent(demand.level, short_seconds, now)
        record.refused_in_a_row = 0 if is_admitted else record.refused_in_a_row + 1
        if is_admitted:
            record.admitted_at = now


def useful_seconds(demand: Demand) -> float:
    """Return the longest expected wait for the first event that is of use to the caller.

    With levels, late requests wait behind all others at the backend, so they are admitted like
    first attempts; a second refusal costs their callers most.
    """
    if not demand.is_late:
        return demand.target_left_seconds
    if demand.level is None:
        return demand.target_seconds * LATE_REQUEST_TARGET_SHARE
    return min(demand.target_seconds, demand.deadline_left_seconds)


def allowed_seconds(demand: Demand, record: AdmissionRecord, now: float) -> float:
    """Return the longest expected wait with which a request is admitted.

    Args:
      demand: The request.
      record: Recent decisions on the service.
      now: Present time, monotonic, in seconds.
    """
    useful = useful_seconds(demand)
    return min(useful, record.limit_seconds(demand.level, now)) if demand.level else useful


def decide(demand: Demand, forecast: Forecast, record: AdmissionRecord, now: float) -> Decision:
    """Return whether a request is admitted.

    Args:
      demand: The request.
      forecast: Expected waits at its best backend.
      record: Recent decisions on the service.
      now: Present time, monotonic, in seconds.
    """
    allowed = allowed_seconds(demand, record, now)
    if forecast.seconds - demand.excess_prefill_seconds <= allowed:
        return Decision(True, allowed)
    is_guaranteed = is_guaranteed_request(demand, forecast, record, now)
    return Decision(is_guaranteed, allowed, is_guaranteed)


def is_guaranteed_request(
    demand: Demand, forecast: Forecast, record: AdmissionRecord, now: float
) -> bool:
    """Return True if a request belongs to the guaranteed minimum of its level."""
    if demand.level is None or demand.is_late:
        return False
    level = record.level(demand.level, now)
    if level.refused_in_a_row + 1 >= GUARANTEED_REQUESTS:
        return True
    can_be_met = forecast.urgent_seconds - demand.excess_prefill_seconds <= useful_seconds(demand)
    return can_be_met and now - level.admitted_at > MAXIMUM_REFUSAL_SECONDS * forecast.processes


def demand_of(request: Request, engine: EngineProfile, is_late: bool, now: float) -> Demand:
    """Return what admission considers of a request.

    Args:
      request: The request.
      engine: Performance profile of the engines of its service.
      is_late: True if it can hardly meet its target.
      now: Present time, monotonic, in seconds.
    """
    target = request.route.target_seconds
    return Demand(
        level=request.level,
        is_late=is_late,
        target_seconds=target,
        target_left_seconds=target - (now - request.received_at),
        deadline_left_seconds=request.deadline - now,
        excess_prefill_seconds=excess_prefill_seconds(request, engine),
        work_seconds=work_seconds(request, engine),
    )


def excess_prefill_seconds(request: Request, engine: EngineProfile) -> float:
    """Return how much longer the prefill of a request takes than that of a usual prompt.

    Negative for a shorter prompt. Admission subtracts it, or long prompts would be refused first
    and short ones last.
    """
    beyond = request.parsed_headers.prompt_tokens - engine.usual_prompt_tokens
    return beyond / engine.read_tokens_per_second


def work_seconds(request: Request, engine: EngineProfile) -> float:
    """Return the time of an engine that a request takes: its prefill and its part of the steps."""
    prefill = request.parsed_headers.prompt_tokens / engine.read_tokens_per_second
    step = engine.step_seconds + engine.sequence_seconds * engine.slots
    return prefill + expected_answer_tokens(request) * step / engine.slots


def expected_answer_tokens(request: Request) -> float:
    """Return the expected length of the answer to a request, in tokens."""
    parsed_headers = request.parsed_headers
    declared = [
        float(count)
        for count in (parsed_headers.hinted_tokens, parsed_headers.answer_tokens)
        if count
    ]
    if declared:
        return min(declared)
    return request.engine.usual_answer_tokens if request.engine else 0.0
