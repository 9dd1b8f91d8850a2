"""make demo: weight distribution on loopback under load, from the manifest to a drain."""

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from .cluster import Cluster, ClusterPlan, running_cluster
from .load_generator import Caller, generate_load
from .models import ROLE, SERVICE_ROLE, ModelVersion, make_version, manifest_of
from .operations import apply_or_fail, wait_until_routed, wait_until_served, wait_until_slots_held

MODEL_BYTES = 16 * 1024 * 1024
LINK_RATE = 8 * 1024 * 1024
"""Upload and download rate of a VM, in bytes a second; the origin has twice that."""
VMS = 8
REQUEST_RATE = 40.0
"""Requests a second."""
LOAD_SECONDS = 12.0
CONSOLE = Console()


async def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="verbenaward-demo-") as name:
        origin = Path(name)
        first = make_version(origin, "v1", MODEL_BYTES, 1)
        second = make_version(origin, "v2", MODEL_BYTES, 2)
        plan = ClusterPlan(
            entries=3,
            engines=VMS,
            services=2,
            origin_folder=origin,
            origin_bytes_per_second=2 * LINK_RATE,
            links={"upload_bytes_per_second": LINK_RATE, "download_bytes_per_second": LINK_RATE},
        )
        async with running_cluster(plan) as cluster:
            return await run_demo(cluster, first, second)


async def run_demo(cluster: Cluster, first: ModelVersion, second: ModelVersion) -> int:
    """Distribute two versions, the second under load, drain two VMs and print a table."""
    CONSOLE.print(f"{VMS} endpoint VMs in 2 regions, 3 entry VMs, 2 service VMs are up")
    await apply_or_fail(cluster, manifest_of(first))
    await show_progress(cluster, first, "spread v1")
    await wait_until_routed(cluster, first.digest, VMS, 10)
    await wait_until_slots_held(cluster, SERVICE_ROLE, 15)
    entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        caller = Caller(session, entries, {first.served_digest, second.served_digest})
        load = asyncio.create_task(generate_load(caller, REQUEST_RATE, LOAD_SECONDS))
        reservations = asyncio.create_task(make_reservations(caller))
        await asyncio.sleep(1.0)
        await cluster.post_json(f"{cluster.origin}/ledger/reset", {})
        seconds = await time_distribution(cluster, second)
        ledger = await cluster.get_json(f"{cluster.origin}/ledger")
        CONSOLE.print("draining engine-0 and entry-0 while requests flow")
        await drain(cluster, "engine-0")
        await drain(cluster, "entry-0")
        await asyncio.gather(load, reservations)
    copies = ledger["bytes"] / MODEL_BYTES
    # The longest of: the origin sends the model once, a VM receives it once, and all links together
    # send all copies. The link of the origin is as fast as those of two VMs.
    bound = max(
        MODEL_BYTES / (2 * LINK_RATE),
        MODEL_BYTES / LINK_RATE,
        VMS * MODEL_BYTES / ((VMS + 2) * LINK_RATE),
    )
    return await print_report(cluster, caller, seconds, bound, copies)


async def time_distribution(cluster: Cluster, version: ModelVersion) -> float:
    """Apply a version with a progress bar; return the seconds until all VMs hold it."""
    started = time.time()
    await apply_or_fail(cluster, manifest_of(version))
    await show_progress(cluster, version, "spread v2")
    held = []
    for vm in cluster.engine_vms:
        status = await cluster.status(vm)
        held.append(status["progress"]["held_unix"])
    return max(held) - started


async def show_progress(cluster: Cluster, version: ModelVersion, title: str) -> None:
    """Show a progress bar until all engines serve a version."""
    with Progress(console=CONSOLE) as progress:
        bar = progress.add_task(title, total=100.0)
        done = asyncio.create_task(
            wait_until_served(cluster, version.digest, cluster.engine_vms, 60)
        )
        while not done.done():
            await asyncio.sleep(0.2)
            statuses = [await cluster.status(vm) for vm in cluster.engine_vms]
            shares = [
                status["progress"]["held_share"]
                for status in statuses
                if status and status["progress"]["release"] == version.digest
            ]
            progress.update(bar, completed=100.0 * sum(shares) / VMS)
        if not done.result():
            raise RuntimeError(f"{title}: not all engines serve the version")
        progress.update(bar, completed=100.0)


async def drain(cluster: Cluster, vm: str) -> None:
    """Drain the daemon of a VM with SIGTERM and wait for its end."""
    cluster.signal(vm, signal.SIGTERM)
    await asyncio.wait_for(cluster.processes[vm].process.wait(), 30)


async def make_reservations(caller: Caller) -> None:
    """Make reservations one by one, each sent twice under the same idempotency key."""
    for index in range(40):
        await caller.reserve(f"bed-{index}", f"reservation {index}", force_resends=1)
        await asyncio.sleep(0.1)


async def print_report(
    cluster: Cluster, caller: Caller, seconds: float, bound: float, copies: float
) -> int:
    """Print the table and return the exit status: 0 if every guarantee held."""
    runs: list[str] = []
    for vm in cluster.service_vms:
        ledger = await cluster.get_json(f"http://{cluster.backend_of(vm)}/ledger")
        runs += [run[2] for run in ledger["runs"]]
    twice = len(runs) - len(set(runs))
    tally = caller.tally
    table = Table("measure", "value")
    rows = {
        f"VMs of role {ROLE}": VMS,
        "seconds to all VMs": f"{seconds:.2f}",
        "physical bound, seconds": f"{bound:.2f}",
        "origin copies": f"{copies:.2f}",
        "requests sent": tally.sent,
        "requests answered": tally.answered,
        "refused with a verdict": sum(tally.refused.values()),
        "lost": tally.lost,
        "crossed": tally.crossed,
        "cut off": tally.cut_off,
        "partial or mixed weights served": tally.partial,
        "reservations run twice": twice,
    }
    for label, value in rows.items():
        table.add_row(label, str(value))
    CONSOLE.print(table)
    violations = tally.lost + tally.crossed + tally.cut_off + tally.partial + twice
    refused = sum(tally.refused.values())
    if refused:
        CONSOLE.print(f"refusals: {dict(tally.refused)}")
    if violations:
        CONSOLE.print(f"violations: {dict(tally.lost_reasons)}")
    kept = not violations and tally.answered > 0 and refused <= tally.sent * 0.01
    CONSOLE.print("all guarantees held" if kept else "a guarantee was violated")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
