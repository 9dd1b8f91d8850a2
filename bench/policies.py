"""Benchmark `policies`: results of each placement policy for callers, in simulated time."""

import argparse
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from verbenaward.logs import configure_logs

from .placement_policies import POLICIES
from .placement_simulation import (
    NEAR_REPORT_SECONDS,
    PlacementSimulation,
    SimulationSettings,
    class_rows,
    inverted_windows,
    simulate,
)
from .registry import BENCHES
from .simulated_deployments import THREE_PRIORITIES

PRIORITY_LOADS = "0.8,1.0,1.3,1.6"
SEEDS = 3
"""Seeds over which the figures by class are summed, from the given one on."""
LARGE_NEAR_REPORT_SECONDS = 0.1
"""Interval of load reports within a peer group that the allowed rate leaves to 46 processes."""
LARGE_FAR_REPORT_SECONDS = 2.0
"""Interval of all other load reports that the allowed rate leaves to 46 processes."""


@BENCHES.register("policies")
async def run(arguments: Sequence[str]) -> dict[str, Any]:
    """Simulate all policies at several loads and return a row of figures for each."""
    parser = argparse.ArgumentParser(prog="python -m bench policies")
    parser.add_argument("--loads", default="0.5,0.8,1.0,1.3")
    parser.add_argument("--slow", type=float, default=1.0)
    parser.add_argument(
        "--swap", type=float, default=0.0, help="seconds in which each engine loads weights once"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--priorities", action="store_true", help="compare request classes of three priorities"
    )
    parser.add_argument(
        "--large", action="store_true", help="with --priorities: 46 entry processes, 23 engines"
    )
    options = parser.parse_args(arguments)
    configure_logs("critical")
    if options.priorities:
        loads = PRIORITY_LOADS if options.loads == parser.get_default("loads") else options.loads
        numbers = [float(load) for load in loads.split(",")]
        rows = [
            compare_priorities(load, has_levels, options.large, options.seed)
            for load in numbers
            for has_levels in (False, True)
        ]
        return {"rows": rows, "seed": options.seed}
    rows = []
    for load in options.loads.split(","):
        for name in POLICIES.items:
            for near in (NEAR_REPORT_SECONDS, 0.0):
                if not near and name != "placer":
                    continue
                settings = SimulationSettings(
                    name,
                    float(load),
                    near_report_seconds=near,
                    slowdown=options.slow,
                    loading_seconds=options.swap,
                    seed=options.seed,
                )
                rows.append(simulate(settings))
    return {"rows": rows, "seed": options.seed}


def compare_priorities(load: float, has_levels: bool, is_large: bool, seed: int) -> dict[str, Any]:
    """Simulate classes of three priorities and return their figures.

    Args:
      load: Request rate, as a share of the capacity of all engines.
      has_levels: False to ignore the priorities, as a deployment with one priority does.
      is_large: True for 46 entry processes and 23 engines.
      seed: First of the seeds.
    """
    simulations = []
    for number in range(seed, seed + SEEDS):
        settings = SimulationSettings(
            load=load, seed=number, deployment=THREE_PRIORITIES, has_levels=has_levels
        )
        if is_large:
            settings = replace(
                settings,
                entries=46,
                engines=23,
                near_report_seconds=LARGE_NEAR_REPORT_SECONDS,
                far_report_seconds=LARGE_FAR_REPORT_SECONDS,
            )
        simulation = PlacementSimulation(settings)
        simulation.run()
        simulations.append(simulation)
    inverted, windows = zip(*(inverted_windows(one) for one in simulations), strict=True)
    owed = sum(one.tally.owed for one in simulations)
    return {
        "load": load,
        "levels": has_levels,
        "worth": round(sum(one.tally.earned for one in simulations) / owed, 3),
        "inverted_windows": f"{sum(inverted)}/{sum(windows)}",
        "classes": class_rows(THREE_PRIORITIES, simulations),
    }
