"""Benchmark `budget-designs`: designs of the retry budget, weighed by the rule's own count."""

import argparse
import math
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import pairwise
from typing import Any

from verbenaward.direct.budget import SharedRetryBudget

from .budget_simulation import (
    Design,
    Played,
    RetryBudget,
    burst_after_calm,
    draw_phases,
    move,
    play,
    standstills,
    steady,
)
from .registry import BENCHES
from .soak_counting import RetryLimit

COUNTS = (3, 9, 46, 370)
STALLS = {"moves": 0.0, "stalls": 2.5, "standstills": 9.0}
"""Longest time for which backends stand still, by the kind of drawn plays."""
NEW_SECONDS = 12.0
"""Age up to which the sliding design takes a process for new."""


class SlidingWindow:
    """The ratio of the requests of a window that ends now; a new process uses a part of it."""

    def __init__(self, limit: RetryLimit, count: int, started_at: float, margin: float) -> None:
        self.limit, self.count, self.started_at, self.margin = limit, count, started_at, margin
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        self.requests.append(now)

    def spend(self, service: str, now: float, read_at: float) -> bool:
        """Count a retry; False if none is left."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.limit.window_seconds:
                times.popleft()
        is_new = now - self.started_at < NEW_SECONDS
        part = 1.0 - self.margin if is_new else self.margin
        allowed = part * self.limit.ratio * len(self.requests)
        if not is_new:
            allowed += self.margin * self.limit.extra / self.count
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True


@dataclass(frozen=True, slots=True)
class Weights:
    """Parts of the ratio that a request adds to a span, by where it lies from the span's start.

    The rule takes the best of three windows, so any mean of them is below its bound: with weights
    a, b, c of the window before, the one half before and the window itself, which add up to 1, the
    parts below are a, a + b, b + c, c. A check at the times of retries alone is enough where no
    earlier start has less credit: b = 0 and a <= c. The others are here for comparison.

    Attributes:
      before: More than half a window before it.
      just_before: Up to half a window before it.
      early: Up to half a window after it.
      late: Later than that.
    """

    before: float
    just_before: float
    early: float
    late: float


class SinceEachRetry:
    """In every span from a retry up to now: a fixed share, and credit of requests around it."""

    def __init__(
        self, limit: RetryLimit, count: int, started_at: float, weights: Weights, margin: float
    ) -> None:
        self.limit, self.count, self.started_at, self.margin = limit, count, started_at, margin
        self.weights = weights
        self.requests: list[float] = []
        self.retries: deque[float] = deque()

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        self.requests.append(now)

    def spend(self, service: str, now: float, read_at: float) -> bool:
        """Count a retry; False if none is left."""
        while self.retries and self.retries[0] < now - self.limit.window_seconds:
            self.retries.popleft()
        is_new = now - self.started_at < NEW_SECONDS
        fixed = 0.0 if is_new else self.margin * self.limit.extra / self.count
        for position, start in enumerate([*self.retries, now]):
            credit = self.margin * self.limit.ratio * self.weighted(start)
            if len(self.retries) + 1 - position > fixed + credit:
                return False
        self.retries.append(now)
        return True

    def weighted(self, start: float) -> float:
        """Return the requests around the start of a span, by their weights."""
        window, weights = self.limit.window_seconds, self.weights
        offsets = (-window, -window / 2, 0.0, window / 2)
        edges = [bisect_left(self.requests, start + offset) for offset in offsets]
        counts = [b - a for a, b in pairwise((*edges, len(self.requests)))]
        parts = (weights.before, weights.just_before, weights.early, weights.late)
        return sum(part * count for part, count in zip(parts, counts, strict=True))


def sliding(margin: float) -> Design:
    """Return the design of one sliding window a process."""
    return lambda limit, count, at: SlidingWindow(limit, count, at, margin)


def spans(before: float, half_before: float, inside: float, margin: float = 0.85) -> Design:
    """Return the design that bounds every span up to now, by the weights of the rule's windows."""
    weights = Weights(before, before + half_before, half_before + inside, inside)
    return lambda limit, count, at: SinceEachRetry(limit, count, at, weights, margin)


class ProductBudget:
    """The budget of the product.

    Attributes:
      is_held: True if a retry counts until it was read, as in the product; else when it is sent.
      unread: When retries will have been read, the earliest first.
    """

    def __init__(
        self, limit: RetryLimit, count: int, started_at: float, is_held: bool = True
    ) -> None:
        self.budget = SharedRetryBudget(limit.ratio, limit.extra, limit.window_seconds, started_at)
        self.budget.update_entry_count(count)
        self.is_held = is_held
        self.unread: list[float] = []

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        self.budget.record_request(service, now)

    def spend(self, service: str, now: float, read_at: float) -> bool:
        """Count a retry; False if none is left."""
        while self.unread and self.unread[0] <= now:
            self.budget.record_read(service, heappop(self.unread))
        if not self.budget.spend(service, now):
            return False
        heappush(self.unread, read_at if self.is_held else now)
        return True


def product(limit: RetryLimit, count: int, started_at: float) -> RetryBudget:
    """Return the budget of the product."""
    return ProductBudget(limit, count, started_at)


def at_sending(limit: RetryLimit, count: int, started_at: float) -> RetryBudget:
    """Return the same, but each retry counts when it is sent only."""
    return ProductBudget(limit, count, started_at, is_held=False)


DESIGNS: dict[str, Design] = {
    "product": product,
    "at sending": at_sending,
    "sliding 0.85": sliding(0.85),
    "sliding 0.55": sliding(0.55),
    "spans, window itself": spans(0.0, 0.0, 1.0),
    "spans, half a window before": spans(0.0, 1.0, 0.0),
    "spans, window before and itself": spans(0.5, 0.0, 0.5),
    "spans, 1/4 before, 3/4 itself": spans(0.25, 0.0, 0.75),
    "spans, 3/4 half before, 1/4 itself": spans(0.0, 0.75, 0.25),
    "spans, 1/4, 1/2, 1/4": spans(0.25, 0.5, 0.25),
}


def worst_share(played: Played) -> float:
    """Return the largest part of the bound that a window has used."""
    worst = played.worst()
    return round(worst.share, 3) if worst is not None else 0.0


def answered(played: Played, start: float, seconds: float) -> float:
    """Return the share of the requests for a retry in a time that were granted."""
    asked, retried = (
        sum(start <= at < start + seconds for at in times)
        for times in (played.asked, played.retried)
    )
    return round(retried / asked, 3) if asked else math.nan


def weigh(design: Design, seeds: range) -> dict[str, Any]:
    """Return the figures of a design: shares of the bound, and shares of the retries granted."""
    drawn = {
        f"{kind}, {count} processes": max(
            worst_share(play(design, count, draw_phases(count, seed, STALLS[kind]), seed))
            for seed in seeds
        )
        for kind in STALLS
        for count in COUNTS
    }
    calm = play(design, 3, steady(60.0, 3), 1)
    started = play(design, 3, steady(60.0, 3, calm=1.0), 1)
    moved = play(design, 3, move(60.0), 1)
    return {
        "worst share, burst of 150": worst_share(play(design, 3, burst_after_calm(150.0), 1)),
        "worst share, move at 190": worst_share(play(design, 3, move(190.0), 1)),
        "worst share, standstills at 85": worst_share(play(design, 9, standstills(85.0), 1)),
        "granted in standstills": answered(play(design, 9, standstills(85.0), 1), 20.0, 44.0),
        "worst share drawn": drawn,
        "granted in the first 1 s of failures": answered(calm, 20.0, 1.0),
        "granted in the first 3 s": answered(calm, 20.0, 3.0),
        "granted in the first 10 s": answered(calm, 20.0, 10.0),
        "granted in steady failures": answered(calm, 30.0, 20.0),
        "granted in the first 10 s after a calm of 1 s": answered(started, 1.0, 10.0),
        "granted in 10 s after a move": answered(moved, 22.0, 10.0),
        "granted in steady failures, 370 processes, 600 a second": answered(
            play(design, 370, steady(600.0, 370), 1), 30.0, 20.0
        ),
        "granted in 10 s, new processes": answered(fresh(design), 20.0, 10.0),
    }


def fresh(design: Design) -> Played:
    """Play processes that are all killed as failures begin."""
    calm, failing = steady(60.0, 3)
    killed = type(failing)(failing.until, failing.rate, failing.used, 0.9, 0.0, (0, 1, 2))
    return play(design, 3, (calm, killed), 1)


@BENCHES.register("budget-designs")
async def bench_budget_designs(arguments: Sequence[str]) -> dict[str, Any]:
    """Weigh all designs, or those named."""
    parser = argparse.ArgumentParser(prog="python -m bench budget-designs")
    parser.add_argument("designs", nargs="*", default=list(DESIGNS), metavar="DESIGN")
    parser.add_argument("--seeds", type=int, default=20, help="drawn plays a size (default 20)")
    parser.add_argument("--json", action="store_true", help="print one line of JSON")
    options = parser.parse_args(arguments)
    return {name: weigh(DESIGNS[name], range(options.seeds)) for name in options.designs}
