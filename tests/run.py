"""Run the features and print a summary line with the counts.

Scenarios listed in KNOWN-RED.txt are run and printed, but their failure does not fail the run.
"""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "scenario: "


def known_red_names() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists as failing."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def print_errors(scenario: Scenario) -> None:
    """Print the errors of the failed steps of a scenario."""
    for step in scenario.all_steps:
        if step.error_message:
            print(f"  {step.keyword} {step.name}\n{step.error_message}")


def main() -> int:
    """Run the features and return the exit status."""
    arguments = sys.argv[1:] or [str(ROOT / "tests")]
    options = ["--no-capture", "--format", "progress", "--no-summary", "--no-timings"]
    runner = Runner(Configuration([*options, *arguments]))
    broken = runner.run() and runner.aborted
    known = known_red_names()
    passed = failed = red = 0
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
            elif scenario.name in known:
                red += 1
                print(f"known red: {scenario.name}")
            else:
                failed += 1
                print(f"failed: {feature.filename}: {scenario.name}")
                print_errors(scenario)
    hook_failures = sum(feature.hook_failed for feature in runner.features)
    print(f"{passed} passed, {failed + hook_failures} failed, {red} skipped")
    return 1 if failed or hook_failures or broken or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
