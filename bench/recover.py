"""Benchmark `recover`: all processes of a role are killed and restarted at the same time."""

import argparse
import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .cluster import Cluster, ClusterPlan, poll_until, running_cluster
from .load_generator import Caller
from .models import make_version, manifest_of
from .operations import apply_or_fail, wait_until_routed, wait_until_served
from .registry import BENCHES

ENTRIES = 4
ENGINES = 6
TIMEOUT_SECONDS = 30.0
PROBES = 24
"""Requests that must all be answered in one round, over all entry processes."""


@BENCHES.register("recover")
async def bench_recover(arguments: Sequence[str]) -> dict[str, Any]:
    """Measure the time until requests through every entry process are answered again."""
    parser = argparse.ArgumentParser(prog="python -m bench recover")
    parser.add_argument("--role", choices=("entry", "endpoint"), default="entry")
    parser.add_argument("--outage", action="store_true", help="with the key-value service down")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        version = make_version(origin, "v1", 1024 * 1024, options.seed)
        plan = ClusterPlan(
            entries=ENTRIES, engines=ENGINES, origin_folder=origin, log_level="warning"
        )
        async with running_cluster(plan) as cluster:
            await apply_or_fail(cluster, manifest_of(version))
            await wait_until_served(cluster, version.digest, cluster.engine_vms, TIMEOUT_SECONDS)
            await wait_until_routed(cluster, version.digest, ENGINES, TIMEOUT_SECONDS)
            await asyncio.sleep(2.0)
            return await measure(options, cluster, {version.served_digest})


async def measure(
    options: argparse.Namespace, cluster: Cluster, served: set[str]
) -> dict[str, Any]:
    """Kill and restart the processes, and wait until all probes are answered."""
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

        async def all_answered() -> bool:
            outcomes = await asyncio.gather(
                *(
                    caller.send_prompt(f"question {index}", resends=0)
                    for index in range(PROBES // len(callers))
                    for caller in callers
                )
            )
            return all(outcome == "answered" for outcome in outcomes)

        recovered = await poll_until(all_answered, TIMEOUT_SECONDS, 0.1)
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
