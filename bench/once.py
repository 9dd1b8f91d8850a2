"""Benchmark `once`: non-idempotent requests with resends, also during a key-value outage."""

import argparse
import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .cluster import Cluster, ClusterPlan, running_cluster
from .load_generator import Caller
from .models import make_version, manifest_of
from .operations import apply_or_fail, wait_until_slots_held
from .registry import BENCHES

SERVICES = 3
RATE = 30.0
"""Reservations a second."""
BEFORE_OUTAGE_SECONDS = 4.0
OUTAGE_SECONDS = 14.0
AFTER_OUTAGE_SECONDS = 5.0
ONCE_SETTINGS = {
    "patience_seconds": 4.0,
    "write_delay_seconds": 0.5,
    "renewal_seconds": 0.8,
    "resend_seconds": 60.0,
}
"""Settings of the section `once` of the endpoint processes."""


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench once")
    parser.add_argument("--outage", action="store_true")
    parser.add_argument("--resends", type=int, default=3)
    parser.add_argument("--kill", action="store_true", help="kill a slot holder during the outage")
    parser.add_argument("--lose-answers", type=float, default=0.1)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


@BENCHES.register("once")
async def bench_once(arguments: Sequence[str]) -> dict[str, Any]:
    """Make reservations, each sent several times, and count their runs at the services."""
    options = parse(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 65536, options.seed)
        plan = ClusterPlan(
            entries=3,
            engines=0,
            services=SERVICES,
            origin_folder=origin,
            endpoint={"once": ONCE_SETTINGS},
            vm_list_lag_seconds=0.5,
            log_level="warning",
        )
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(version))
            if not await wait_until_slots_held(cluster, "reservation", 20):
                raise RuntimeError("not all slots have a holder")
            return await measure(options, cluster)


async def measure(options: argparse.Namespace, cluster: Cluster) -> dict[str, Any]:
    """Run the load, with an outage if chosen, and return the figures."""
    entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
    await cluster.set_faults(
        cluster.key_value, lose_answers=options.lose_answers, seed=options.seed
    )
    before = await cluster.get_json(f"{cluster.key_value}/ledger")
    outcomes: dict[str, tuple[float, str]] = {}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        caller = Caller(session, entries, set(), rng=random.Random(options.seed))
        caller.deadline_seconds = 8.0
        stop = asyncio.Event()
        load = asyncio.create_task(keep_reserving(caller, options.resends, outcomes, stop))
        await asyncio.sleep(BEFORE_OUTAGE_SECONDS)
        outage = (0.0, 0.0)
        if options.outage:
            outage = await run_outage(options, cluster)
        await asyncio.sleep(AFTER_OUTAGE_SECONDS)
        stop.set()
        await load
    after = await cluster.get_json(f"{cluster.key_value}/ledger")
    runs_by_key: Counter[str] = Counter()
    for vm in cluster.service_vms:
        ledger = await cluster.get_json(f"http://{cluster.backend_of(vm)}/ledger")
        runs_by_key.update(run[2] for run in ledger["runs"])
    in_outage = [outcome for at, outcome in outcomes.values() if outage[0] <= at <= outage[1]]
    refused = sum(outcome != "answered" for outcome in in_outage)
    not_run = {
        key for key, (_, outcome) in outcomes.items() if outcome.startswith("refused not-run")
    }
    writes = after["calls"].get("write", 0) - before["calls"].get("write", 0)
    return {
        "keys": len(outcomes),
        "answered": sum(outcome == "answered" for _, outcome in outcomes.values()),
        "ran_twice": sum(count > 1 for count in runs_by_key.values()),
        "false_not_run": len(not_run & set(runs_by_key)),
        "outage_seconds": round(outage[1] - outage[0], 1),
        "asked_in_outage": len(in_outage),
        "refused_in_outage": round(refused / max(1, len(in_outage)), 4),
        "outcomes": dict(Counter(outcome for _, outcome in outcomes.values())),
        "kv_writes_per_request": round(writes / max(1, len(outcomes)), 3),
        "patience_seconds": ONCE_SETTINGS["patience_seconds"],
        "seed": options.seed,
    }


async def run_outage(options: argparse.Namespace, cluster: Cluster) -> tuple[float, float]:
    """Make the key-value service unavailable; return the start and end, monotonic."""
    started = time.monotonic()
    await cluster.set_faults(cluster.key_value, down=True)
    await asyncio.sleep(OUTAGE_SECONDS / 2)
    if options.kill:
        victim = cluster.service_vms[0]
        await cluster.kill(victim)
        await cluster.set_vm_states({victim: "gone"})
    await asyncio.sleep(OUTAGE_SECONDS / 2)
    await cluster.set_faults(cluster.key_value, down=False)
    return started, time.monotonic()


async def keep_reserving(
    caller: Caller, resends: int, outcomes: dict[str, tuple[float, str]], stop: asyncio.Event
) -> None:
    """Make reservations at a constant rate, each resent, until the event is set."""
    tasks = []
    started = time.monotonic()
    index = 0
    while not stop.is_set():
        index += 1
        key = f"bed-{index}"
        tasks.append(asyncio.create_task(make_reservation(caller, key, resends, outcomes)))
        await asyncio.sleep(max(0.0, started + index / RATE - time.monotonic()))
    await asyncio.gather(*tasks)


async def make_reservation(
    caller: Caller, key: str, resends: int, outcomes: dict[str, tuple[float, str]]
) -> None:
    """Make one reservation and store its start time and outcome under its key."""
    at = time.monotonic()
    outcome = await caller.reserve(key, f"text of {key}", force_resends=resends)
    outcomes[key] = (at, outcome)
