"""Benchmark `policies`: results of each placement policy for callers, in simulated time."""

import argparse
from collections.abc import Sequence
from typing import Any

from verbenaward.logs import configure_logs

from .placement_policies import POLICIES
from .placement_simulation import NEAR_REPORT_SECONDS, SimulationSettings, simulate
from .registry import BENCHES


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
    options = parser.parse_args(arguments)
    configure_logs("critical")
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
