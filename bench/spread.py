"""Benchmark `spread`: time until N VMs hold a new model, and bytes fetched from the origin."""

import argparse
import asyncio
import math
import random
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from .bound import DistributionRun, bound_seconds
from .cluster import Cluster, ClusterPlan, poll_until, running_cluster
from .load_generator import Caller, generate_load
from .models import ModelVersion, make_version, manifest_of
from .operations import apply_or_fail, wait_until_peers_known, wait_until_served
from .registry import BENCHES

MEBIBYTE = 1024 * 1024
BOUND_TARGET_SECONDS = 2.5
"""Time in which a VM link moves the model once, if --upload-mib does not set its rate."""
FIRST_VERSION_BYTES = 64 * 1024
"""Size of the version that the VMs serve before the measured one."""
WAIT_TIMEOUT_SECONDS = 120.0
LOAD_RATE = 20.0
"""Requests a second, during the distribution."""
FAULT_AFTER_SHARE = 0.4
"""When faults are injected, as a share of the lower bound."""
STALL_SECONDS = 3.0


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Return the options of the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m bench spread")
    parser.add_argument("--vms", type=int, default=24)
    parser.add_argument("--size-mib", type=float, default=24.0)
    parser.add_argument("--regions", type=int, default=2)
    parser.add_argument("--kill", type=float, default=0.0, help="share of VMs killed")
    parser.add_argument("--corrupt", type=float, default=0.0, help="share of corrupt origin reads")
    parser.add_argument("--supersede", action="store_true", help="apply a newer release midway")
    parser.add_argument("--policy", default="auto")
    parser.add_argument("--region-link", type=float, default=0.0, help="Mbit/s; 0 for no limit")
    parser.add_argument("--upload-mib", type=float, default=0.0, help="MiB/s of a VM's link")
    parser.add_argument("--origin-down", type=float, default=0.0, help="seconds of an outage")
    parser.add_argument("--stall", type=float, default=0.0, help="share of VMs frozen for 3 s")
    parser.add_argument("--restart", type=float, default=0.0, help="share of daemons restarted")
    parser.add_argument("--no-naive", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(arguments)


def run_of(options: argparse.Namespace, size: int, chunk: int) -> DistributionRun:
    """Return the parameters of a run; the origin's link has twice the rate of a VM's link."""
    upload = options.upload_mib * MEBIBYTE or size / BOUND_TARGET_SECONDS
    region = options.region_link * 1e6 / 8
    return DistributionRun(
        options.vms, size, chunk, upload, upload, 2 * upload, region, options.regions
    )


def plan_of(run: DistributionRun, policy: str, origin: Path) -> ClusterPlan:
    """Return the cluster that a run needs."""
    return ClusterPlan(
        entries=3,
        engines=run.vms,
        regions=run.regions,
        origin_folder=origin,
        origin_bytes_per_second=run.origin_rate,
        links={
            "upload_bytes_per_second": int(run.upload_rate),
            "download_bytes_per_second": int(run.download_rate),
            "region_bytes_per_second": int(run.region_link_rate),
            "origin_bytes_per_second": int(run.origin_rate),
            "policy": policy,
        },
        log_level="warning",
    )


@BENCHES.register("spread")
async def bench_spread(arguments: Sequence[str]) -> dict[str, Any]:
    """Distribute a model with the chosen policy, and with the naive one for comparison."""
    options = parse(arguments)
    with tempfile.TemporaryDirectory(prefix="verbenaward-origin-") as name:
        origin = Path(name)
        size = int(options.size_mib * MEBIBYTE)
        first = make_version(origin, "v0", FIRST_VERSION_BYTES, options.seed + 1000)
        version = make_version(origin, "v1", size, options.seed)
        newer = make_version(
            origin, "v2", size, options.seed + 1, origin / "care-assistant/v1", 0.5
        )
        run = run_of(options, size, version.table.message.chunk_bytes)
        result = await measure(options, run, options.policy, origin, [first, version, newer])
        if not options.no_naive:
            clean = argparse.Namespace(**{**vars(options), "kill": 0.0, "corrupt": 0.0})
            clean.supersede, clean.origin_down, clean.stall, clean.restart = False, 0.0, 0.0, 0.0
            naive = await measure(clean, run, "naive", origin, [first, version, newer])
            result["naive_seconds"] = naive["seconds"]
            result["naive_origin_copies"] = naive["origin_copies"]
            result["naive_ratio"] = round(naive["seconds"] / result["seconds"], 2)
        return result


async def measure(
    options: argparse.Namespace,
    run: DistributionRun,
    policy: str,
    origin: Path,
    versions: list[ModelVersion],
) -> dict[str, Any]:
    """Distribute one version under load and return the figures."""
    first, version, newer = versions
    served = {item.served_digest for item in versions}
    async with running_cluster(plan_of(run, policy, origin)) as cluster:
        await apply_or_fail(cluster, manifest_of(first))
        if not await wait_until_served(
            cluster, first.digest, cluster.engine_vms, WAIT_TIMEOUT_SECONDS
        ):
            raise RuntimeError("the first version was not served everywhere")
        if not await wait_until_peers_known(cluster, WAIT_TIMEOUT_SECONDS):
            raise RuntimeError("not every endpoint process lists all the others as alive")
        before = await weight_traffic(cluster)
        await cluster.post_json(f"{cluster.origin}/ledger/reset", {})
        await cluster.set_faults(cluster.origin, corrupt=options.corrupt, seed=options.seed)
        entries = [cluster.address_of(vm) for vm in cluster.entry_vms]
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            caller = Caller(session, entries, served)
            stop = asyncio.Event()
            load = asyncio.create_task(generate_load(caller, LOAD_RATE, 600.0, stop=stop))
            started = time.time()
            await apply_or_fail(cluster, manifest_of(version))
            killed = await inject_faults(options, run, cluster)
            if options.supersede:
                await apply_or_fail(cluster, manifest_of(newer))
            wanted = newer if options.supersede else version
            alive = [vm for vm in cluster.engine_vms if vm not in killed]
            held = await wait_until_held(cluster, wanted.digest, alive)
            is_served = await wait_until_served(cluster, wanted.digest, alive, WAIT_TIMEOUT_SECONDS)
            stop.set()
            await load
        after = await weight_traffic(cluster)
        ledger = await cluster.get_json(f"{cluster.origin}/ledger")
        digests = await served_digests(cluster, alive)
    seconds = held - started
    bound = bound_seconds(run, policy != "per-region")
    bound += fault_delay_seconds(options, run)
    return {
        "vms": run.vms,
        "regions": run.regions,
        "policy": policy,
        "size_mib": round(run.model_bytes / MEBIBYTE, 2),
        "chunk_kib": run.chunk_bytes // 1024,
        "shaped": f"VM links {run.upload_rate / MEBIBYTE:.2f} MiB/s both ways, origin twice that"
        + (
            f", region link {run.region_link_rate * 8 / 1e6:.1f} Mbit/s"
            if run.region_link_rate
            else ""
        ),
        "seconds": round(seconds, 3),
        "bound_seconds": round(bound, 3),
        "time_ratio": round(seconds / bound, 3),
        "origin_copies": round(ledger["bytes"] / run.model_bytes, 3),
        "vm_tx_copies_max": copies_max(before, after, alive, "sent", run.model_bytes),
        "vm_rx_copies_max": copies_max(before, after, alive, "received", run.model_bytes),
        "killed": len(killed),
        "partial_served": caller.tally.partial + sum(d != wanted.served_digest for d in digests),
        "all_served": is_served,
        "answered_meanwhile": caller.tally.answered,
        "lost_meanwhile": caller.tally.lost + caller.tally.crossed + caller.tally.cut_off,
        "seed": options.seed,
    }


async def inject_faults(
    options: argparse.Namespace, run: DistributionRun, cluster: Cluster
) -> set[str]:
    """Inject the faults of a run, chosen by its seed, and return the killed VMs."""
    expected = bound_seconds(run, True)
    fault_options = (
        options.kill,
        options.supersede,
        options.origin_down,
        options.stall,
        options.restart,
    )
    if not any(fault_options):
        return set()
    await asyncio.sleep(expected * FAULT_AFTER_SHARE)
    rng = random.Random(options.seed)
    count = math.ceil(options.kill * run.vms) if options.kill else 0
    killed = set(rng.sample(cluster.engine_vms, count))
    await asyncio.gather(*(cluster.kill(vm) for vm in killed))
    if killed:
        await cluster.set_vm_states(dict.fromkeys(killed, "gone"))
    await stall_daemons(options, cluster, rng)
    await restart_daemons(options, cluster, rng)
    if options.origin_down:
        await cluster.set_faults(cluster.origin, stalled=True)
        await asyncio.sleep(options.origin_down)
        await cluster.set_faults(cluster.origin, stalled=False)
    return killed


async def stall_daemons(options: argparse.Namespace, cluster: Cluster, rng: random.Random) -> None:
    """Freeze the daemons of some VMs for STALL_SECONDS; their connections stay open."""
    count = math.ceil(options.stall * options.vms) if options.stall else 0
    frozen = rng.sample(cluster.engine_vms, count)
    for vm in frozen:
        cluster.signal(vm, signal.SIGSTOP)
    if frozen:
        await asyncio.sleep(STALL_SECONDS)
    for vm in frozen:
        cluster.signal(vm, signal.SIGCONT)


async def restart_daemons(
    options: argparse.Namespace, cluster: Cluster, rng: random.Random
) -> None:
    """Kill and restart the daemons of some VMs; their engines keep running."""
    count = math.ceil(options.restart * options.vms) if options.restart else 0
    restarted = rng.sample(cluster.engine_vms, count)
    await asyncio.gather(*(cluster.kill(vm) for vm in restarted))
    for vm in restarted:
        await cluster.start_daemon(vm)
    await asyncio.gather(*(cluster.wait_until_up(vm) for vm in restarted))


def fault_delay_seconds(options: argparse.Namespace, run: DistributionRun) -> float:
    """Return the time that the injected faults add to the lower bound of an affected VM.

    A frozen VM loses the time that it is frozen. A restarted daemon downloads from the start;
    its own start-up time is not added. If a newer release supersedes the first, half of its
    content is new, so half of what was downloaded until then is wasted.
    """
    before_fault = bound_seconds(run, True) * FAULT_AFTER_SHARE
    delay = STALL_SECONDS if options.stall else 0.0
    if options.restart:
        delay += before_fault
    if options.supersede:
        delay += before_fault / 2
    return delay


async def wait_until_held(cluster: Cluster, release: str, vms: list[str]) -> float:
    """Wait until VMs hold all chunks of a release; return the Unix time of the last one."""
    times: dict[str, float] = {}

    async def check() -> bool:
        for vm in vms:
            if vm in times:
                continue
            status = await cluster.status(vm)
            progress = status["progress"] if status else None
            if not progress or progress["release"] != release or not progress["held_unix"]:
                return False
            times[vm] = progress["held_unix"]
        return True

    if not await poll_until(check, WAIT_TIMEOUT_SECONDS, 0.1):
        raise RuntimeError(f"only {len(times)} of {len(vms)} VMs hold the release")
    return max(times.values())


async def weight_traffic(cluster: Cluster) -> dict[str, dict[str, float]]:
    """Return the bytes of weights that each VM has sent and received, from its metrics."""
    result = {}
    for vm in cluster.engine_vms:
        totals = {"sent": 0.0, "received": 0.0}
        for line in (await read_metrics(cluster, vm)).splitlines():
            if line.startswith("verbenaward_weight_bytes_total"):
                labels, value = line.rsplit(" ", 1)
                totals["sent" if '"sent"' in labels else "received"] += float(value)
        result[vm] = totals
    return result


async def read_metrics(cluster: Cluster, vm: str) -> str:
    """Return the metrics text of a daemon; empty if it does not answer."""
    try:
        async with cluster.session.get(f"http://{cluster.address_of(vm)}/metrics") as response:
            return await response.text()
    except (aiohttp.ClientError, OSError):
        return ""


def copies_max(
    before: dict[str, dict[str, float]],
    after: dict[str, dict[str, float]],
    vms: list[str],
    kind: str,
    size: int,
) -> float:
    """Return the largest traffic of one VM between two readings, in copies of the model."""
    moved = [max(0.0, after[vm][kind] - before[vm][kind]) for vm in vms]
    return round(max(moved) / size, 3)


async def served_digests(cluster: Cluster, vms: list[str]) -> list[str]:
    """Return the digest of the weights that each engine serves, from its ledger."""
    ledgers = [await cluster.get_json(f"http://{cluster.backend_of(vm)}/ledger") for vm in vms]
    return [ledger["serving"] for ledger in ledgers]
