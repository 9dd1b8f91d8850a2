"""Benchmark `ablate`: what each mechanism of placement and admission is worth to callers.

Each one is switched off alone, in simulated time, and compared with the whole over the same seeds.
"""

import argparse
from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace
from statistics import mean, stdev
from typing import Any
from unittest import mock

from verbenaward.logs import configure_logs
from verbenaward.placement import admission, backends, overflow, peer_groups, placer
from verbenaward.placement.caller_retries import CallerRetryDetector
from verbenaward.registry import Registry

from . import placement_simulation
from .placement_simulation import SimulationSettings, simulate
from .policies import LARGE_FAR_REPORT_SECONDS, LARGE_NEAR_REPORT_SECONDS
from .registry import BENCHES
from .simulated_deployments import THREE_PRIORITIES

ENGINE_REPORT_SECONDS = 0.15
"""Interval of the reports of an engine's requests in a region of 11 to 17 processes and engines."""

SMALL = SimulationSettings(load=0.95, seconds=8.0, engine_report_seconds=ENGINE_REPORT_SECONDS)
LARGE = replace(
    SMALL,
    entries=33,
    engines=27,
    near_report_seconds=LARGE_NEAR_REPORT_SECONDS,
    far_report_seconds=LARGE_FAR_REPORT_SECONDS,
)
CASES = {
    "small": SMALL,
    "large": LARGE,
    "overload": replace(SMALL, load=1.3),
    "rollout": replace(SMALL, load=0.7, loading_seconds=2.8),
    "slow engine": replace(SMALL, load=0.8, slowdown=3.0),
    "priorities": replace(SMALL, load=1.2, deployment=THREE_PRIORITIES, has_levels=True),
}
"""Simulations by name."""

Ablation = AbstractContextManager[Any]
ABLATIONS: Registry[Any] = Registry("ablation")
"""Functions that return a context in which one mechanism is off."""


def without(target: Any, name: str, value: Any) -> Ablation:
    """Return a context in which an attribute has another value."""
    return mock.patch.object(target, name, value)


@ABLATIONS.register("nothing")
def nothing() -> Ablation:
    """Leave everything on."""
    return nullcontext()


@ABLATIONS.register("engine reports")
def engine_reports() -> Ablation:
    """Ignore the requests that engines' VMs report."""
    return without(backends.BackendView, "record_reported_requests", lambda *_: None)


@ABLATIONS.register("detection of callers' retries")
def caller_retries() -> Ablation:
    """Take retries for first attempts."""
    return without(CallerRetryDetector, "is_retry", lambda *_: False)


@ABLATIONS.register("excess prefill")
def excess_prefill() -> Ablation:
    """Let long prompts wait no longer than usual ones."""
    return without(admission, "excess_prefill_seconds", lambda *_: 0.0)


@ABLATIONS.register("ranks at the engine")
def ranks() -> Ablation:
    """Queue all requests at an engine in the order of arrival."""
    return without(placement_simulation, "rank_of", lambda *_: None)


@ABLATIONS.register("peer groups")
def groups() -> Ablation:
    """Have one group in each region."""
    return without(peer_groups, "MAXIMUM_MEMBERS", 1000)


@ABLATIONS.register("penalty of other groups")
def group_penalty() -> Ablation:
    """Rank the engines of other groups like those of the own one."""
    return without(placer, "CROSS_GROUP_PENALTY_SECONDS", 0.0)


@ABLATIONS.register("penalty of other regions")
def region_penalty() -> Ablation:
    """Rank the engines of other regions like those of the own one."""
    return without(placer, "CROSS_REGION_PENALTY_SECONDS", 0.0)


@ABLATIONS.register("overflow")
def no_overflow() -> Ablation:
    """Choose the cheapest engine wherever it is."""
    return without(
        placer, "eligible", lambda candidates, _, tie: overflow.cheapest(candidates, tie)
    )


@ABLATIONS.register("share of the allowed wait for overflow")
def overflow_share() -> Ablation:
    """Let a far engine take the whole allowed wait."""
    return without(overflow, "FAR_WAIT_SHARE", 1.0)


@ABLATIONS.register("ties")
def ties() -> Ablation:
    """Choose the cheapest engine only."""
    return without(placer, "TIE_SECONDS", 0.0)


@ABLATIONS.register("overrun cost")
def overrun() -> Ablation:
    """Send to engines that are about to load as to others."""
    return without(placer, "OVERRUN_WEIGHT", 0.0)


@ABLATIONS.register("slowness")
def slowness() -> Ablation:
    """Learn nothing from late first events."""
    return without(backends.BackendView, "record_slowness", lambda *_: None)


@ABLATIONS.register("overdue first events")
def overdue() -> Ablation:
    """Learn nothing from first events that are overdue."""
    return without(backends.BackendView, "longest_first_event_wait", lambda *_: 0.0)


@ABLATIONS.register("delay of retries after an overload")
def retry_delay() -> Ablation:
    """Ask refused callers to return when the forecast falls below the allowed wait."""
    return without(placer, "OVERLOAD_RETRY_AFTER_SECONDS", 0.0)


@ABLATIONS.register("stricter admission of late requests")
def late_share() -> Ablation:
    """Admit late requests with the whole target."""
    return without(admission, "LATE_REQUEST_TARGET_SHARE", 1.0)


@ABLATIONS.register("guaranteed minimum of a level")
def guaranteed() -> Ablation:
    """Guarantee nothing to a level."""
    return without(admission, "is_guaranteed_request", lambda *_: False)


@ABLATIONS.register("limits of less urgent levels")
def limits() -> Ablation:
    """Limit no level during a shortage of a more urgent one."""
    return without(admission.AdmissionRecord, "limit_less_urgent", lambda *_: None)


@BENCHES.register("ablate")
async def run(arguments: Sequence[str]) -> dict[str, Any]:
    """Simulate each case with each mechanism off and return the change of the worth."""
    parser = argparse.ArgumentParser(prog="python -m bench ablate")
    parser.add_argument("--cases", default="small")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--only", default="", help="names of the ablations, separated by commas")
    options = parser.parse_args(arguments)
    configure_logs("critical")
    names = options.only.split(",") if options.only else [*ABLATIONS.items]
    rows = []
    for case in options.cases.split(","):
        whole = worths(CASES[case], "nothing", options.seeds)
        spread = stdev(whole) if len(whole) > 1 else 0.0
        rows.append({"case": case, "worth": round(mean(whole), 3), "spread": round(spread, 3)})
        for name in names:
            if name != "nothing":
                changes = [
                    other - own
                    for own, other in zip(
                        whole, worths(CASES[case], name, options.seeds), strict=True
                    )
                ]
                rows.append({"case": case, "without": name, "change": round(mean(changes), 3)})
    return {"rows": rows, "seeds": options.seeds}


def worths(settings: SimulationSettings, ablation: str, seeds: int) -> list[float]:
    """Return the worth that callers get with one mechanism off, for each seed."""
    with ABLATIONS.find(ablation)():
        return [
            float(simulate(replace(settings, seed=seed))["worth"]) for seed in range(1, seeds + 1)
        ]
