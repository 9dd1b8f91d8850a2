"""Bench `recover`: every process of a role is killed and started again at once."""

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .cluster import Cluster, ClusterPlan, running, wait_for
from .load import Caller
from .models import make_version, manifest_of
from .operations import apply_surely, wait_until_routed, wait_until_served
from .registry import BENCHES

ENTRIES = 4
ENGINES = 6
LIMIT_SECONDS = 30.0
WANTED_IN_A_ROW = 24


@BENCHES.register("recover")
async def bench_recover(arguments: Sequence[str]) -> dict[str, Any]:
    """Measure the time until requests are answered through every entry process again."""
    parser = argparse.ArgumentParser(prog="bench recover")
    parser.add_argument("--role", choices=("entry", "endpoint"), default="entry")
    parser.add_argument("--outage", action="store_true", help="key-value service down meanwhile")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 1024 * 1024, options.seed)
        plan = ClusterPlan(
            entries=ENTRIES, engines=ENGINES, origin_folder=origin, log_level="warning"
        )
        async with running(plan) as cluster:
            await apply_surely(cluster, manifest_of(version))
            await wait_until_served(cluster, version.digest, cluster.engine_vms, LIMIT_SECONDS)
            await wait_until_routed(cluster, version.digest, ENGINES, LIMIT_SECONDS)
            await asyncio.sleep(2.0)
            return await measure(options, cluster, {version.served_digest})


async def measure(
    options: argparse.Namespace, cluster: Cluster, served: set[str]
) -> dict[str, Any]:
    """Kill and start the processes and wait for full service."""
    vms = cluster.entry_vms if options.role == "entry" else cluster.engine_vms
    if options.outage:
        await cluster.set_faults(cluster.key_value, down=True)
    await asyncio.gather(*(cluster.kill(vm) for vm in vms))
    started = time.monotonic()
    for vm in vms:
        await cluster.start_daemon(vm)
    await asyncio.gather(*(cluster.wait_until_up(vm) for vm in vms))
    up = time.monotonic() - started
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            Caller(session, [cluster.address_of(vm)], served, rng=random.Random(options.seed))
            for vm in cluster.entry_vms
        ]
        for caller in callers:
            caller.addresses, caller.addresses_until = caller.entries, float("inf")

        async def answers() -> bool:
            outcomes = await asyncio.gather(
                *(
                    caller.ask_model(f"question {index}", resends=0)
                    for index in range(WANTED_IN_A_ROW // len(callers))
                    for caller in callers
                )
            )
            return all(outcome == "answered" for outcome in outcomes)

        recovered = await wait_for(answers, LIMIT_SECONDS, 0.1)
    seconds = time.monotonic() - started
    statuses = await asyncio.gather(*(cluster.status(vm) for vm in cluster.daemon_vms()))
    return {
        "role": options.role,
        "outage": options.outage,
        "processes": len(vms),
        "recovered": recovered,
        "seconds_to_listen": round(up, 2),
        "seconds_to_full_service": round(seconds, 2),
        "lowest_revision": min(status["revision"] for status in statuses if status),
        "partial_served": sum(caller.tally.partial for caller in callers),
        "seed": options.seed,
    }
