"""Simulated callers that move, burst and fail, against retry budgets of many processes; no network.

Requests come one after the other. While backends fail each asks its process for one retry at once.
The verdict is the count of the rule (`soak_counting.worst_window`), not that of the budgets.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from .soak_counting import RetryLimit, WindowCount, worst_window

SERVICE = "s"
LIMIT = RetryLimit(ratio=0.2, extra=106, window_seconds=10.0)
ESTABLISHED_AT = -100.0
"""Start of a process that has run for longer than any window."""


class RetryBudget(Protocol):
    """What the simulation uses of a budget."""

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""

    def spend(self, service: str, now: float, read_at: float) -> bool:
        """Count a retry; False if none is left.

        Args:
          service: Service that it is sent to.
          now: Present time, in seconds.
          read_at: When all sends of its request will have been read, which shows only then.
        """


Design = Callable[[RetryLimit, int, float], RetryBudget]
"""Returns the budget of a process: limit, number of processes, start time."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A time in which callers do not change.

    Attributes:
      until: Its end, in seconds.
      rate: Requests a second.
      used: Indices of the processes that the callers use, evenly.
      failing_share: Share of the first sends that fail.
      stalled_share: Share of all sends whose backend stands still until the end of the phase.
      killed: Indices of the processes that are killed, and start again, at its beginning.
    """

    until: float
    rate: float
    used: Sequence[int]
    failing_share: float = 0.0
    stalled_share: float = 0.0
    killed: Sequence[int] = ()


@dataclass(slots=True)
class Played:
    """What happened.

    Attributes:
      sent: When requests were sent.
      arrivals: When sends arrived at backends, with the number of their request.
      asked: When requests asked for a retry.
      retried: When retries were sent.
    """

    sent: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    asked: list[float] = field(default_factory=list)
    retried: list[float] = field(default_factory=list)

    def repeats(self) -> list[float]:
        """Return when arrivals beyond the first of their request arrived."""
        found: set[int] = set()
        times = []
        for at, number in sorted(self.arrivals):
            if number in found:
                times.append(at)
            found.add(number)
        return times

    def worst(self, limit: RetryLimit = LIMIT) -> WindowCount | None:
        """Return the window whose repeats use most of their bound, as the rule counts."""
        return worst_window(self.sent, self.repeats(), limit)


def play(
    design: Design, count: int, phases: Sequence[Phase], seed: int, limit: RetryLimit = LIMIT
) -> Played:
    """Play phases with established processes that have a budget each."""
    rng = random.Random(f"{seed} play")
    budgets = [design(limit, count, ESTABLISHED_AT) for _ in range(count)]
    played = Played()
    now, number = 0.0, 0
    for phase in phases:
        for index in phase.killed:
            budgets[index] = design(limit, count, now)
        while phase.rate and now + 1.0 / phase.rate <= phase.until:
            now += 1.0 / phase.rate
            number += 1
            budget = budgets[rng.choice(phase.used)]
            budget.record_request(SERVICE, now)
            played.sent.append(now)
            first_at = arrival(phase, now, rng)
            played.arrivals.append((first_at, number))
            if rng.random() < phase.failing_share:
                played.asked.append(now)
                retry_at = arrival(phase, now, rng)
                if budget.spend(SERVICE, now, max(first_at, retry_at)):
                    played.retried.append(now)
                    played.arrivals.append((retry_at, number))
        now = phase.until
    return played


def arrival(phase: Phase, now: float, rng: random.Random) -> float:
    """Return when a send arrives at its backend."""
    return phase.until if rng.random() < phase.stalled_share else now


def draw_phases(count: int, seed: int, longest_stall: float = 0.0) -> tuple[Phase, ...]:
    """Draw phases: callers that move, bursts, pauses, failures, kills, and backends that stall.

    Args:
      count: Number of processes.
      seed: Seed of what is drawn.
      longest_stall: Longest time for which backends stand still, so that sends arrive late.
    """
    rng = random.Random(f"{seed} phases")
    rate = rng.choice([20.0, 60.0, 190.0, 600.0])
    phases, now, used, failing = [], 0.0, list(range(count)), 0.0
    while now < 45.0:
        length = rng.choice([0.5, 1.0, 2.0, 2.5, 4.0, 5.0, 7.5, 10.0])
        is_stalled = 0 < length <= longest_stall and rng.random() < 0.3
        if rng.random() < 0.5:
            used = rng.sample(range(count), rng.choice([1, min(2, count), max(1, count // 2)]))
        if rng.random() < 0.6:
            failing = rng.choice([0.0, 0.3, 0.9, 1.0])
        is_killing = rng.random() < 0.3
        now += length
        phases.append(
            Phase(
                until=now,
                rate=rate * rng.choice([0.0, 0.1, 1.0, 1.0, 1.0, 4.0]),
                used=tuple(used),
                failing_share=failing,
                stalled_share=rng.choice([1 / 6, 1 / 3, 5 / 9]) if is_stalled else 0.0,
                killed=tuple(rng.sample(range(count), rng.randint(1, count))) if is_killing else (),
            )
        )
    return tuple(phases)


def burst_after_calm(rate: float, count: int = 3) -> tuple[Phase, ...]:
    """Return a burst of 10 s after a calm; nine answers in ten fail from its 2.5 s on."""
    everywhere = tuple(range(count))
    return (
        Phase(20.0, 0.0, everywhere),
        Phase(22.5, rate, everywhere),
        Phase(30.0, rate, everywhere, failing_share=0.9),
        Phase(40.0, 0.0, everywhere),
    )


def move(rate: float, after: float = 2.0) -> tuple[Phase, ...]:
    """Return callers of one process that move to another one after failures have begun."""
    return (
        Phase(20.0, rate, (0,)),
        Phase(20.0 + after, rate, (0,), failing_share=0.9),
        Phase(40.0, rate, (1,), failing_share=0.9),
    )


def steady(rate: float, count: int, calm: float = 20.0) -> tuple[Phase, ...]:
    """Return callers of all processes; nine answers in ten fail after a calm."""
    everywhere = tuple(range(count))
    return (
        Phase(calm, rate, everywhere),
        Phase(calm + 30.0, rate, everywhere, failing_share=0.9),
    )


def standstills(rate: float, count: int = 9) -> tuple[Phase, ...]:
    """Return steady failures in which backends stand still for up to 9 s, again and again."""
    everywhere = tuple(range(count))
    phases = [Phase(20.0, rate, everywhere)]
    for seconds, share in ((9.0, 5 / 9), (1.0, 0.0), (7.0, 1 / 3), (3.0, 5 / 9), (2.0, 0.0)) * 2:
        until = phases[-1].until + seconds
        phases.append(Phase(until, rate, everywhere, failing_share=0.9, stalled_share=share))
    return tuple(phases)
