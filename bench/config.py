"""Benchmark `config`: time until changes are in force everywhere, concurrent ones too."""

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from verbenaward.configuration.store import ApplyOutcome, ApplyResult
from verbenaward.schema.manifest import Manifest, Workspace

from .cluster import Cluster, ClusterPlan, quantile, running_cluster
from .models import make_version, manifest_of
from .operations import apply_manifest, apply_or_fail
from .registry import BENCHES

ENTRY_SHARE = 0.4
"""Share of the daemons that are entry processes."""
POLL_SECONDS = 0.05
PROPAGATION_TIMEOUT_SECONDS = 20.0
CHANGE_INTERVAL_SECONDS = 0.6
STEADY_SECONDS = 26.0
"""Time without changes, in which key-value calls are counted."""


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench config")
    parser.add_argument("--daemons", type=int, default=40)
    parser.add_argument("--changes", type=int, default=12)
    parser.add_argument("--outage", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


@BENCHES.register("config")
async def bench_config(arguments: Sequence[str]) -> dict[str, Any]:
    """Apply changes and monitor the revision in force on every daemon."""
    options = parse(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 65536, options.seed)
        entries = round(options.daemons * ENTRY_SHARE)
        plan = ClusterPlan(
            entries=entries,
            engines=options.daemons - entries,
            origin_folder=origin,
            log_level="warning",
        )
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(version))
            await asyncio.sleep(3.0)
            return await measure(options, cluster, manifest_of(version))


class RevisionMonitor:
    """Polls all daemons and records when each revision is in force on each.

    Attributes:
      first_seen: Monotonic time at which a VM first had at least a revision, by VM and revision.
      highest: Highest revision that each VM has reported.
      reverted: Number of polls in which a VM reported a lower revision than before.
    """

    def __init__(self, cluster: Cluster, vms: list[str]) -> None:
        self.cluster = cluster
        self.vms = vms
        self.first_seen: dict[tuple[str, int], float] = {}
        self.highest: dict[str, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Poll all daemons until cancelled."""
        while True:
            await asyncio.gather(*(self.poll(vm) for vm in self.vms))
            await asyncio.sleep(POLL_SECONDS)

    async def poll(self, vm: str) -> None:
        """Poll one daemon; skip it if it does not answer."""
        body = await self.cluster.get_json(f"http://{self.cluster.address_of(vm)}/admin/revision")
        if body is None:
            return
        revision = body["revision"]
        known = self.highest.get(vm, 0)
        self.reverted += revision < known
        for number in range(known + 1, revision + 1):
            self.first_seen[vm, number] = time.monotonic()
        self.highest[vm] = max(known, revision)


async def measure(
    options: argparse.Namespace, cluster: Cluster, manifest: Manifest
) -> dict[str, Any]:
    """Apply all changes, some of them by two operators at the same time."""
    before = await cluster.get_json(f"{cluster.key_value}/ledger")
    steady_start = time.monotonic()
    await asyncio.sleep(STEADY_SECONDS)
    after = await cluster.get_json(f"{cluster.key_value}/ledger")
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    steady_rate = calls / (time.monotonic() - steady_start)
    await cluster.set_faults(cluster.key_value, lose_answers=0.2, seed=options.seed)
    monitor = RevisionMonitor(cluster, cluster.daemon_vms())
    monitoring = asyncio.create_task(monitor.run())
    accepted: dict[int, float] = {}
    outcomes: dict[str, int] = {}
    rng = random.Random(options.seed)
    for index in range(options.changes):
        operators = 2 if rng.random() < 0.5 else 1
        results = await asyncio.gather(
            *(
                apply_change(cluster, manifest, f"{index}-{operator}")
                for operator in range(operators)
            )
        )
        for applied in results:
            outcomes[applied.outcome.value] = outcomes.get(applied.outcome.value, 0) + 1
            if applied.outcome is ApplyOutcome.ACCEPTED:
                accepted[applied.configuration.revision] = time.monotonic()
        if options.outage and index == options.changes - 1:
            await cluster.set_faults(cluster.key_value, down=True)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    await wait_for_revision(monitor, max(accepted))
    monitoring.cancel()
    delays = [
        max(monitor.first_seen.get((vm, revision), float("inf")) for vm in monitor.vms) - at
        for revision, at in accepted.items()
    ]
    highest = max(accepted)
    behind = [vm for vm in monitor.vms if monitor.highest.get(vm, 0) < highest]
    return {
        "daemons": len(monitor.vms),
        "entries": len(cluster.entry_vms),
        "changes": len(accepted),
        "outcomes": outcomes,
        "seconds_to_all_p50": round(max(0.0, quantile(delays, 0.5)), 3),
        "seconds_to_all_p99": round(max(0.0, quantile(delays, 0.99)), 3),
        "reverted": monitor.reverted,
        "lost_accepted": await count_lost(cluster, accepted, options.outage) + len(behind),
        "kv_calls_per_second": round(steady_rate, 3),
        "kv_calls_per_second_per_process": round(steady_rate / len(monitor.vms), 4),
        "outage": options.outage,
        "seed": options.seed,
    }


async def apply_change(cluster: Cluster, manifest: Manifest, label: str) -> ApplyResult:
    """Apply one change without notifying any daemon."""
    workspaces = [Workspace(name=f"workspace-{label}")]
    return await apply_manifest(
        cluster, replace(manifest, workspaces=workspaces), f"operator-{label}", notify_entries=False
    )


async def wait_for_revision(monitor: RevisionMonitor, revision: int) -> None:
    """Wait until all daemons have a revision, or until the timeout."""
    until = time.monotonic() + PROPAGATION_TIMEOUT_SECONDS
    while time.monotonic() < until:
        if all(monitor.highest.get(vm, 0) >= revision for vm in monitor.vms):
            return
        await asyncio.sleep(POLL_SECONDS)


async def count_lost(cluster: Cluster, accepted: dict[int, float], outage: bool) -> int:
    """Return how many accepted revisions are missing in the configuration history."""
    if outage:
        await cluster.set_faults(cluster.key_value, down=False)
    await cluster.set_faults(cluster.key_value, lose_answers=0.0)
    query = f"{cluster.key_value}/v1/range?prefix=verbenaward/configuration/history/"
    body = await cluster.get_json(query)
    revisions = {int(item["key"].rsplit("/", 1)[1][:8]) for item in body["entries"]}
    return len(set(accepted) - revisions)
