"""Bench `config`: time until changes are in force everywhere, with racing operators."""

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from verbenaward.configuration.store import Applied, Outcome
from verbenaward.schema.manifest import Manifest, Workspace

from .cluster import Cluster, ClusterPlan, quantile, running
from .models import make_version, manifest_of
from .operations import apply_manifest, apply_surely
from .registry import BENCHES

ENTRY_SHARE = 0.4
POLL_SECONDS = 0.05
SETTLE_SECONDS = 20.0
PAUSE_SECONDS = 0.6
STEADY_SECONDS = 26.0


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the bench."""
    parser = argparse.ArgumentParser(prog="bench config")
    parser.add_argument("--daemons", type=int, default=40)
    parser.add_argument("--changes", type=int, default=12)
    parser.add_argument("--outage", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


@BENCHES.register("config")
async def bench_config(arguments: Sequence[str]) -> dict[str, Any]:
    """Apply changes and watch the revision of every daemon."""
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
        async with running(plan) as cluster:
            await apply_surely(cluster, manifest_of(version))
            await asyncio.sleep(3.0)
            return await measure(options, cluster, manifest_of(version))


class RevisionWatch:
    """Sees when each revision is in force on every daemon.

    Attributes:
      first_seen: Time at which a VM was first seen with at least a revision, by both.
      highest: Highest revision seen on each VM.
      reverted: Number of times that a VM showed a lower revision than before.
    """

    def __init__(self, cluster: Cluster, vms: list[str]) -> None:
        self.cluster = cluster
        self.vms = vms
        self.first_seen: dict[tuple[str, int], float] = {}
        self.highest: dict[str, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Ask all daemons again and again until cancelled."""
        while True:
            await asyncio.gather(*(self.look(vm) for vm in self.vms))
            await asyncio.sleep(POLL_SECONDS)

    async def look(self, vm: str) -> None:
        """Ask one daemon."""
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
    """Apply all changes, some of them by two operators at once."""
    before = await cluster.get_json(f"{cluster.key_value}/ledger")
    steady_start = time.monotonic()
    await asyncio.sleep(STEADY_SECONDS)
    after = await cluster.get_json(f"{cluster.key_value}/ledger")
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    steady_rate = calls / (time.monotonic() - steady_start)
    await cluster.set_faults(cluster.key_value, lose_answers=0.2, seed=options.seed)
    watch = RevisionWatch(cluster, cluster.daemon_vms())
    watching = asyncio.create_task(watch.run())
    accepted: dict[int, float] = {}
    outcomes: dict[str, int] = {}
    rng = random.Random(options.seed)
    for index in range(options.changes):
        racers = 2 if rng.random() < 0.5 else 1
        results = await asyncio.gather(
            *(change(cluster, manifest, f"{index}-{racer}") for racer in range(racers))
        )
        for applied in results:
            outcomes[applied.outcome.value] = outcomes.get(applied.outcome.value, 0) + 1
            if applied.outcome is Outcome.ACCEPTED:
                accepted[applied.configuration.revision] = time.monotonic()
        if options.outage and index == options.changes - 1:
            await cluster.set_faults(cluster.key_value, down=True)
        await asyncio.sleep(PAUSE_SECONDS)
    await settle(watch, max(accepted))
    watching.cancel()
    delays = [
        max(watch.first_seen.get((vm, revision), float("inf")) for vm in watch.vms) - at
        for revision, at in accepted.items()
    ]
    highest = max(accepted)
    behind = [vm for vm in watch.vms if watch.highest.get(vm, 0) < highest]
    return {
        "daemons": len(watch.vms),
        "entries": len(cluster.entry_vms),
        "changes": len(accepted),
        "outcomes": outcomes,
        "seconds_to_all_p50": round(max(0.0, quantile(delays, 0.5)), 3),
        "seconds_to_all_p99": round(max(0.0, quantile(delays, 0.99)), 3),
        "reverted": watch.reverted,
        "lost_accepted": await lost(cluster, accepted, options.outage) + len(behind),
        "kv_calls_per_second": round(steady_rate, 3),
        "kv_calls_per_second_per_process": round(steady_rate / len(watch.vms), 4),
        "outage": options.outage,
        "seed": options.seed,
    }


async def change(cluster: Cluster, manifest: Manifest, label: str) -> Applied:
    """Apply one change, without telling any daemon."""
    workspaces = [Workspace(name=f"workspace-{label}")]
    return await apply_manifest(
        cluster, replace(manifest, workspaces=workspaces), f"operator-{label}", tell=False
    )


async def settle(watch: RevisionWatch, revision: int) -> None:
    """Wait until a revision is seen on all daemons, or a while."""
    until = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < until:
        if all(watch.highest.get(vm, 0) >= revision for vm in watch.vms):
            return
        await asyncio.sleep(POLL_SECONDS)


async def lost(cluster: Cluster, accepted: dict[int, float], outage: bool) -> int:
    """Return how many accepted revisions the history does not hold."""
    if outage:
        await cluster.set_faults(cluster.key_value, down=False)
    await cluster.set_faults(cluster.key_value, lose_answers=0.0)
    query = f"{cluster.key_value}/v1/range?prefix=verbenaward/configuration/history/"
    body = await cluster.get_json(query)
    revisions = {int(item["key"].rsplit("/", 1)[1][:8]) for item in body["entries"]}
    return len(set(accepted) - revisions)
