"""Benchmark `drawn`: a soak whose troubles and traffic are drawn from seeds, and its verdicts."""

import argparse
import asyncio
import json
import sys
import traceback
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from review.harness import BOUNDS

from .drawn_plan import BOOKINGS, LOOKS, STREAMS, DrawnPlan, draw_plan
from .drawn_troubles import declare_first, disturb
from .process_usage import peak_megabytes
from .registry import BENCHES, BROKEN
from .soak import (
    ENGINES_PER_ZONE,
    PLAIN_BACKENDS,
    SETTLING_SECONDS,
    ZONES,
    add_common_options,
    polling_lag,
    running,
)
from .soak_callers import Callers
from .soak_counting import (
    Outcome,
    RequestResult,
    classify,
    count_outcomes,
)
from .soak_deployment import SoakDaemon, SoakDeployment, SoakPlan
from .soak_figures import LIMIT, arrivals_of, deadly_history, deadly_paths, describe
from .soak_traffic import PlannedRequest
from .soak_verdicts import (
    History,
    Violation,
    excuse,
    judge,
    shortest_timeout,
    worst_windows,
)

KEPT_SEEDS = Path(__file__).with_name("kept_seeds.json")
NAMES = {STREAMS: "streams", LOOKS: "whole answers", BOOKINGS: "unsafe"}
SERVICES = {STREAMS: "assist", LOOKS: "beds or rooms", BOOKINGS: "beds or rooms"}
READ_SECONDS = 1.0
"""A request has the timeout that its route has when it is read, this long after its sending."""
LATEST_RUN_SECONDS = 1.0
"""Time after the last answer in which a run may still begin that an answer has denied."""
SHOWN = 5
"""Requests of a seed that are described."""
OUTCOMES = [item.value for item in Outcome]
FIGURES = ("starts", "limit", "lag ms", "violations")


@dataclass(frozen=True, slots=True)
class SeedResult:
    """What one seed gave.

    Attributes:
      seed: The seed.
      entries: Number of entry processes.
      outcomes: Numbers of requests by outcome.
      ends: Numbers of requests by load, outcome, and reason or excuse.
      starts: How often entry processes were started.
      limit_share: Used part of the limit on repeats in the worst window.
      lag_ms: Longest stall of this process.
      violations: What broke a verdict.
      details: What is needed to look the requests among them up.
    """

    seed: int
    entries: int
    outcomes: Mapping[str, int]
    ends: Mapping[str, int]
    starts: int
    limit_share: float
    lag_ms: int
    violations: tuple[Violation, ...]
    details: tuple[dict[str, Any], ...]


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(
        prog="python -m bench drawn",
        description=(
            "Run soaks whose troubles, loads and traffic are drawn from seeds, one after the"
            " other; exit status 1 if a verdict is broken. docs/design/soak.md describes both."
        ),
    )
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--seed", dest="seeds", type=one_seed, metavar="N", help="one seed")
    chosen.add_argument("--seeds", type=seed_range, metavar="A-B", help="all seeds from A to B")
    chosen.add_argument(
        "--kept", action="store_true", help="the seeds of bench/kept_seeds.json, which have failed"
    )
    add_common_options(parser)
    parser.set_defaults(entries=None)
    return parser.parse_args(arguments)


def one_seed(text: str) -> list[int]:
    """Read one seed."""
    return [int(text)]


def seed_range(text: str) -> list[int]:
    """Read a range of seeds, both ends included."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last) + 1))


def chosen_runs(options: argparse.Namespace) -> list[argparse.Namespace]:
    """Return the options of each run; a kept seed has its own duration, rate and size."""
    if not options.kept:
        return [argparse.Namespace(**{**vars(options), "seed": seed}) for seed in options.seeds]
    kept = json.loads(KEPT_SEEDS.read_text())
    return [argparse.Namespace(**{**vars(options), **item}) for item in kept]


@BENCHES.register("drawn")
async def bench_drawn(arguments: Sequence[str]) -> dict[str, Any]:
    """Run the seeds named in the arguments; an interrupt ends them with the table so far."""
    options = parse(arguments)
    results = []
    not_run = []
    try:
        for run in chosen_runs(options):
            try:
                results.append(await run_seed(run))
                lines = (table_line(results[-1]), *broken_lines(results[-1]))
                print("\n".join(lines), file=sys.stderr, flush=True)
            except Exception as error:
                # One seed must not take the table of all others with it; the status will be 1.
                traceback.print_exc()
                not_run.append(f"seed {run.seed}: {type(error).__name__} {error}")
    except asyncio.CancelledError:
        not_run.append("the rest: interrupted")
    return report(results, not_run)


def report(results: Sequence[SeedResult], not_run: Sequence[str]) -> dict[str, Any]:
    """Return the table of all seeds, what callers got in total and what broke a verdict."""
    ends: Counter[str] = Counter()
    for result in results:
        ends.update(result.ends)
    bad = sum(bool(result.violations) for result in results)
    broken = [line for result in results for line in broken_lines(result)]
    head = " ".join(f"{name:>13}" for name in ("seed", "entries", "requests", *OUTCOMES, *FIGURES))
    details = [
        f"seed {result.seed}: {item}" for result in results for item in result.details[:SHOWN]
    ]
    return {
        "seeds": [head, *(table_line(result) for result in results)],
        "requests": ends.total(),
        "outcomes": {name: sum(result.outcomes[name] for result in results) for name in OUTCOMES},
        "ends": dict(sorted(ends.items())),
        "details": details,
        "verdicts": f"{bad} of {len(results)} seeds broke one, {len(not_run)} more were not run",
        BROKEN: [*broken, *(f"not run: {text}" for text in not_run)],
    }


def broken_lines(result: SeedResult) -> list[str]:
    """Return a line for each broken verdict of a seed, with what broke it first."""
    counts = Counter(item.verdict for item in result.violations)
    firsts = {item.verdict: item for item in reversed(result.violations)}
    return [
        f"seed {result.seed}: {name}: {count} times, first {firsts[name].subject}:"
        f" {firsts[name].detail}"
        for name, count in counts.items()
    ]


def table_line(result: SeedResult) -> str:
    """Return the line of one seed."""
    outcomes = [result.outcomes[name] for name in OUTCOMES]
    figures = [result.starts, f"{result.limit_share:.2f}", result.lag_ms, len(result.violations)]
    cells = (result.seed, result.entries, sum(outcomes), *outcomes, *figures)
    return " ".join(f"{cell:>13}" for cell in cells)


async def run_seed(options: argparse.Namespace) -> SeedResult:
    """Run one seed and judge what happened.

    Raises:
      CouldNotRunError: The processes do not become ready.
    """
    drawn = draw_plan(options.seed, options.seconds, options.entries, options.rate)
    plan = SoakPlan(
        daemons=options.daemons,
        entries_per_zone=drawn.entries // ZONES,
        models_per_zone=options.engines_per_zone or ENGINES_PER_ZONE,
        plain=PLAIN_BACKENDS,
        services=("beds", "rooms"),
        error_share=drawn.error_share,
        seed=options.seed,
        has_links=drawn.has_links,
        idle_routes=options.idle_routes,
    )
    kept = options.keep_logs and options.keep_logs / f"drawn-{options.seed}"
    lags: list[float] = []
    async with running(plan, kept) as deployment:
        declare_first(deployment)
        await asyncio.sleep(SETTLING_SECONDS)
        callers = Callers(deployment, options.seed)
        try:
            async with polling_lag(lags):
                await callers.run(drawn.requests, lambda: start_troubles(deployment, drawn))
                await asyncio.sleep(LATEST_RUN_SECONDS)
        finally:
            await callers.close()
        result = judge_seed(options.seed, deployment, callers, drawn)
    return replace(result, lag_ms=round(1000 * max(lags)))


def start_troubles(deployment: SoakDeployment, drawn: DrawnPlan) -> None:
    """Begin the troubles of a plan now."""
    deployment.background(disturb(deployment, drawn, deployment.record.now()))


def judge_seed(
    seed: int, deployment: SoakDeployment, callers: Callers, drawn: DrawnPlan
) -> SeedResult:
    """Return the result of a seed."""
    history = history_of(deployment, callers, drawn.requests)
    violations = judge(history)
    sound = [item for item in callers.results if item.attempt not in history.deadly.paths]
    by_attempt = {item.attempt: item for item in callers.results}
    found = [by_attempt[item.subject] for item in violations if item.subject in by_attempt]
    loads = {item.attempt: item.load for item in drawn.requests}
    return SeedResult(
        seed=seed,
        entries=drawn.entries,
        outcomes=count_outcomes(sound),
        ends=Counter(f"{NAMES[loads[item.attempt]]}: {end_of(history, item)}" for item in sound),
        starts=sum(entry.starts for entry in deployment.entries),
        limit_share=max((worst.share for _, worst in worst_windows(history)), default=0.0),
        lag_ms=0,
        violations=tuple(violations),
        details=tuple(asdict(describe(deployment, callers, item)) for item in found),
    )


def end_of(history: History, result: RequestResult) -> str:
    """Return what a caller got, with the reason of a failure, or what excuses it."""
    outcome = classify(result)
    if outcome in (Outcome.CUT, Outcome.CLOSED):
        return f"{outcome.value} {excuse(history, result)}"
    return f"{outcome.value} {result.status or ''} {result.reason}"


def history_of(
    deployment: SoakDeployment, callers: Callers, requests: Sequence[PlannedRequest]
) -> History:
    """Return what happened, for the verdicts."""
    began_at = callers.began_at

    def times_of(read: Callable[[SoakDaemon], list[float]]) -> dict[str, list[float]]:
        return {entry.name: [at - began_at for at in read(entry)] for entry in deployment.entries}

    planned = {item.attempt: item for item in requests}
    timeouts = [(at - began_at, by_prefix) for at, by_prefix in deployment.timeouts]
    runs: Counter[str] = Counter()
    for worker in deployment.workers.values():
        runs.update(worker.runs)
    allowed = {}
    for result in callers.results:
        load = planned[result.attempt].load
        read_by = result.sent_at + READ_SECONDS
        timeout = shortest_timeout(timeouts, load.prefix, result.sent_at, read_by)
        allowed[result.attempt] = min(timeout, load.deadline_ms / 1000)
    return History(
        results=callers.results,
        allowed_seconds=allowed,
        services={item.attempt: SERVICES[item.load] for item in requests},
        unsafe=frozenset(item.attempt for item in requests if item.load == BOOKINGS),
        runs=runs,
        arrivals=arrivals_of(deployment, callers),
        kills=times_of(lambda entry: entry.kill_times),
        stops=times_of(lambda entry: entry.stop_times),
        resumptions=times_of(lambda entry: entry.resume_times),
        grace_seconds=BOUNDS["grace_period_s"],
        ends=[end for item in (*deployment.entries, *deployment.endpoints) for end in item.ends],
        limit=LIMIT,
        read=[
            replace(item, at=item.at - began_at)
            for worker in deployment.workers.values()
            for item in worker.arrivals_seen
        ],
        own_seconds={
            item.attempt: item.load.deadline_ms / 1000
            for item in requests
            if not item.load.is_stream
        },
        most_backends={
            item.attempt: deployment.most_attempts[item.load.prefix] for item in requests
        },
        runs_at=[item for worker in deployment.workers.values() for item in worker.run_log],
        ended_backends=frozenset().union(*(item.ended for item in deployment.workers.values())),
        broken_off=frozenset().union(*(item.broken_off for item in deployment.workers.values())),
        deadly=deadly_history(deployment, callers, deadly_paths(requests)),
        peaks={
            entry.name: peak_megabytes(entry.process.pid)
            for entry in deployment.entries
            if entry.process is not None
        },
        memory_megabytes=deployment.entries[0].settings()["limits"]["memory_mb"],
    )
